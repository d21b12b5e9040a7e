"""A short soak of gateways, keepers and stores in every test run."""

from __future__ import annotations

import json

from tests import base, soakplatform
from tests.fakes import deployment

_SECONDS = 8.0


class SoakTest(base.TestCase):
    """Seeds of faults in series against real processes."""

    def test_faults_in_series_break_no_promise(self) -> None:
        """Processes, disks and connections fail one upon the other.

        Callers get each answer once and whole, no call runs twice, and what
        was called not run never did.
        """
        self._play(1)

    def test_blackouts_among_other_faults_break_no_promise(self) -> None:
        """Now and then everything is killed at once and starts again.

        A leader that is back sets its own lease aside, and gateways let
        callers wait for it. No turn is lost, and no call runs twice.
        """
        self._play(104)

    def test_ends_during_the_first_start_break_no_promise(self) -> None:
        """Guards against keepers that end while the system is founded."""
        self._play(1000)

    def _play(self, seed: int) -> None:
        async def main() -> None:
            found = await soakplatform.play(seed, _SECONDS)
            self.assertEqual([], found.problems, found.faults)
            self.assertGreater(found.statuses[200], 0)
            self.assertTrue(found.faults)

        self.run_async(main())


class RepairedTest(base.TestCase):
    """How the harness knows that a host that lost its disk is back."""

    def test_what_a_host_wrote_before_does_not_count(self) -> None:
        """Guards against a second disk taken before the first one is back."""
        system = deployment.Deployment(self.folder)
        for name in system.hosts:
            (self.folder / f"{name}.log").touch()
        system.hosts["keeper-1"].folder.mkdir()
        before = [{"decision": "start"}, {"decision": "leader"}]
        self._write(before)
        system.wipe("keeper-1")
        self.patch(deployment, "_WAIT_S", 0.2)
        self.patch(deployment, "_SETTLED_S", 0.0)

        async def wait() -> None:
            await system.repaired("keeper-1")

        with self.assertRaises(TimeoutError):
            self.run_async(wait())
        self._write(before * 2)
        self.run_async(wait())

    def _write(self, lines: list[dict[str, str]]) -> None:
        text = "\n".join(json.dumps(line) for line in lines)
        (self.folder / "keeper-1.log").write_text(text)
