"""Restarts and their steps, found in decision lines."""

from __future__ import annotations

import json
import subprocess
import sys
from typing import Any

from catkinpin import joined, timeline
from tests import base, processes


def _line(at_ms: int, process: str, decision: str, **fields: Any) -> str:
    entry = {"at_ms": at_ms, "process": process, "decision": decision, **fields}
    return json.dumps(entry)


_LOG_LINES = [
    _line(1_000, "gateway-1", "start"),
    _line(1_300, "keeper-1", "start"),
    _line(1_500, "keeper-1", "leadership", leading=True),
    _line(1_700, "gateway-1", "ready", ready=True),
    _line(30_000, "gateway-1", "served", tokens=5),
    _line(30_100, "keeper-1", "leadership", leading=False),
    _line(32_000, "gateway-1", "start"),
    _line(32_400, "keeper-1", "start"),
    _line(32_500, "gateway-1", "refused", status=503),
    _line(32_600, "gateway-1", "routes", version=3),
    _line(32_650, "keeper-1", "leadership", leading=True),
    _line(32_700, "gateway-1", "ready", ready=True),
    _line(32_900, "gateway-1", "served", tokens=0),
    _line(33_100, "gateway-1", "served", tokens=9),
    _line(60_000, "gateway-1", "refused", status=503),
]


class TimelineTest(base.TestCase):
    """A system starts, loses power and starts again."""

    def _restarts(self) -> list[timeline.Restart]:
        lines = [ln for text in _LOG_LINES if (ln := joined.parse(text))]
        return timeline.find_restarts(list(reversed(lines)))

    def test_steps_of_a_blackout_come_in_order(self) -> None:
        """All processes were down for two seconds; programs lost three.

        Guards against steps that are missing or in the wrong order.
        """
        first, blackout = self._restarts()
        self.assertEqual(["gateway-1", "keeper-1"], blackout.processes)
        self.assertEqual("started", first.steps[0].name)
        self.assertEqual(
            [
                ("last word before", 30_100),
                ("started", 32_000),
                ("last request refused or failed", 32_500),
                ("routes known", 32_600),
                ("leads", 32_650),
                ("ready", 32_700),
                ("first request served", 32_900),
                ("first turn served", 33_100),
            ],
            [(step.name, step.first.at_ms) for step in blackout.steps],
        )

    def test_command_shows_times_from_the_last_word_before(self) -> None:
        log = self.folder / "all.out"
        log.write_text("\n".join(_LOG_LINES))
        completed = subprocess.run(
            [sys.executable, "-m", "catkinpin", "timeline", str(log)],
            cwd=processes.ROOT,
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )
        self.assertEqual(0, completed.returncode, completed.stderr)
        self.assertIn("+3000 ms first turn served: gateway-1", completed.stdout)
        self.assertIn("last of 2 +2300 ms keeper-1", completed.stdout)
