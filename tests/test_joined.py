"""Decision lines of many processes that relate to one request."""

from __future__ import annotations

import json
import subprocess
import sys
from typing import Any

from catkinpin import joined
from tests import base, processes


def _line(at_ms: int, process: str, decision: str, **fields: Any) -> str:
    entry = {"at_ms": at_ms, "process": process, "decision": decision, **fields}
    return json.dumps(entry)


_LOG_LINES = [
    _line(90_000, "keeper-1", "leader", address="10.0.0.1:1", term=3),
    _line(99_100, "keeper-2", "leadership", leading=True, term=4),
    _line(99_900, "gateway-2", "served", request="r0", program="p"),
    _line(
        100_050, "gateway-1", "failed", request="r1", program="p",
        servers=["s1"], took_ms=40, status=502,
        reason="connection lost: closed",
    ),
    _line(99_950, "gateway-1", "feed", reason="silent", state_age_ms=1_250),
    _line(99_960, "gateway-2", "feed", reason="silent", state_age_ms=1_250),
    _line(100_060, "gateway-1", "ejected", server="s1", reason="closed"),
    _line(100_300, "keeper-2", "crash-report", server="s1", content="c"),
    _line(100_400, "gateway-1", "served", request="r2", servers=["s1"]),
    _line(100_500, "keeper-2", "server", server="s2", state="gone"),
    _line(400_000, "keeper-2", "server", server="s1", state="gone"),
]  # fmt: skip


class JoinTest(base.TestCase):
    """The lines that are shown for a request, and those that are not."""

    def _report(self) -> joined.RequestReport:
        lines = [ln for text in _LOG_LINES if (ln := joined.parse(text))]
        return joined.join(reversed(lines), "r1")

    def test_lines_of_program_servers_and_leaders_go_with_it(self) -> None:
        """Guards against a failure whose cause isn't shown with its request.

        A tool call got 502 because its server crashed. Another process
        noticed the crash; the on-call engineer has only the request's id.
        """
        report = self._report()
        self.assertEqual([100_050], [ln.at_ms for ln in report.request])
        self.assertEqual(
            ["r0"], [ln.fields["request"] for ln in report.program]
        )
        self.assertEqual(
            ["ejected", "crash-report"], [ln.decision for ln in report.servers]
        )
        # Only the feed of the request's own gateway is related to it.
        self.assertEqual(
            ["leader", "leadership", "feed"],
            [ln.decision for ln in report.system],
        )

    def test_other_output_in_a_log_is_ignored(self) -> None:
        texts = ["", "peer silent", "{broken", "[1]", '{"at_ms": "x"}', "{}"]
        self.assertEqual([None] * 6, [joined.parse(text) for text in texts])
        line = joined.parse("  12.5 gateway-1 " + _LOG_LINES[2])
        assert line is not None
        self.assertEqual("served", line.decision)

    def _run(self, request: str) -> subprocess.CompletedProcess[str]:
        log = self.folder / "gateway-1.out"
        log.write_text("\n".join(_LOG_LINES))
        return subprocess.run(
            [sys.executable, "-m", "catkinpin", "why", request, str(log)],
            cwd=processes.ROOT,
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )

    def test_command_prints_the_parts_with_times_around_the_end(self) -> None:
        completed = self._run("r1")
        self.assertEqual(0, completed.returncode, completed.stderr)
        self.assertIn("+0 ms gateway-1 failed request", completed.stdout)
        self.assertIn("+250 ms keeper-2 crash-report", completed.stdout)
        self.assertNotIn('"r2"', completed.stdout)

    def test_command_says_so_where_no_line_names_the_request(self) -> None:
        completed = self._run("never")
        self.assertEqual(1, completed.returncode)
        self.assertIn("no line names never", completed.stderr)
