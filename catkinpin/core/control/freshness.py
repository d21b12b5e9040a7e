"""Tells how old the routes that a gateway holds may be.

A keeper whose state is current sends each change of the routes at once, before
all that it sends later. So a gateway's routes are as new as the latest message
of such a keeper, by the time at which that can have been sent. A process that
stood still reads old messages first, and their times show it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

# A process that has just noticed that its routes are old was frozen or cut off,
# and hears of the newest ones within this time if it can reach a keeper.
_REGAIN_MS = 3_000


class RouteFreshness:
    """Tracks when a gateway's routes were known to be the current ones.

    Args:
        max_age_ms: age from which routes must not be relied on.
    """

    def __init__(self, max_age_ms: int) -> None:
        self._max_age_ms = max_age_ms
        # Keepers that said last that their state is current.
        self._current: set[str] = set()
        self._confirmed_ms: int | None = None
        self._outdated_since_ms: int | None = None

    def record_currency(self, keeper: str, *, is_current: bool) -> None:
        """Records whether a keeper says that its state is current."""
        if is_current:
            self._current.add(keeper)
        else:
            self._current.discard(keeper)

    def remove_keeper(self, keeper: str) -> None:
        """Removes a keeper that has disconnected."""
        self._current.discard(keeper)

    def confirm(self, sent_ms: Mapping[str, int]) -> None:
        """Confirms the routes, which are the newest that was announced.

        Args:
            sent_ms: earliest time at which the latest message of each connected
                keeper can have been sent.
        """
        for keeper in self._current & sent_ms.keys():
            self._confirmed_ms = max(self._confirmed_ms or 0, sent_ms[keeper])

    def age_ms(self, now_ms: int) -> int:
        """Returns how old the routes may be; 0 before they are confirmed."""
        if self._confirmed_ms is None:
            return 0
        return now_ms - self._confirmed_ms

    def are_fresh(self, now_ms: int) -> bool:
        """Returns whether the routes may be relied on."""
        is_fresh = self.age_ms(now_ms) <= self._max_age_ms
        if is_fresh:
            self._outdated_since_ms = None
        elif self._outdated_since_ms is None:
            self._outdated_since_ms = now_ms
        return is_fresh

    def regain_wait_ms(self, now_ms: int) -> int:
        """Returns how long it is worth waiting for outdated routes."""
        if self._outdated_since_ms is None:
            return 0
        return max(0, self._outdated_since_ms + _REGAIN_MS - now_ms)
