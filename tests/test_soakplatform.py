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

        async def main() -> None:
            found = await soakplatform.play(1, _SECONDS)
            self.assertEqual([], found.problems, found.faults)
            self.assertGreater(found.statuses[200], 0)
            self.assertTrue(found.faults)

        self.run_async(main())
