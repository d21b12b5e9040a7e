"""Logs that are read while a process writes them."""

from __future__ import annotations

import json

import testtools

from tests import logfiles

_DECISION = {"decision": "served", "request": "Z\u00fcrich"}
_LINE = json.dumps(_DECISION, ensure_ascii=False).encode() + b"\n"


class LogFileTest(testtools.TestCase):
    """What of a log counts."""

    def test_line_counts_once_it_is_written_to_its_end(self) -> None:
        """Guards against a test that fails on half a line."""
        for size in range(len(_LINE)):
            data = b"starting\n" + _LINE + _LINE[:size]
            self.assertEqual([_DECISION], logfiles.decisions(data))
        self.assertEqual(2, len(logfiles.decisions(_LINE * 2)))

    def test_line_that_is_no_json_still_fails(self) -> None:
        """Guards against a process whose broken lines nobody notices."""
        half = _LINE[:20] + b"\n"
        for broken in (half, b"{\n", half + _LINE):
            self.assertRaises(ValueError, logfiles.decisions, broken)

    def test_separators_within_a_text_end_no_line(self) -> None:
        """Guards against a caller's text that is taken for two lines."""
        line = '{"request": "a\u2028b\x85c"}\n'.encode()
        self.assertEqual(
            [{"request": "a\u2028b\x85c"}], logfiles.decisions(line)
        )
