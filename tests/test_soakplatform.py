"""A short soak of gateways, keepers and stores in every test run."""

from __future__ import annotations

from tests import base, soakplatform

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
