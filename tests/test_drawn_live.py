"""Drawn input against real processes; `make fuzz-live` plays more seeds."""

from __future__ import annotations

from tests import base, drawnlive

_SEED = 1
_SECONDS = 4.0


class DrawnLiveTest(base.TestCase):
    """Odd announcements, manifests, requests and answers beside good ones."""

    def test_turns_are_served_beside_drawn_input(self) -> None:
        """Guards against another program's bytes that stop callers' turns."""
        self.run_async(self._play())

    async def _play(self) -> None:
        one = await drawnlive.play(self.folder, _SEED, _SECONDS)
        self.assertEqual([], one.errors)
        self.assertTrue(all(one.counts.values()), one.counts)
