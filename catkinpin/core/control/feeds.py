"""Chooses the keeper whose feed of changes a gateway subscribes to.

Gateways spread over the keepers of their own region by rendezvous hashing, so
that few subscriptions move when a keeper comes or goes. A subscription begins
with all servers; moves are therefore rare where nothing is lost by waiting, and
immediate where changes may be missed.
"""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

from catkinpin import digest

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

# A gateway without a feed takes the first current keeper of its region at once;
# without servers it can't serve. If others come first, it waits for this long:
# keepers of a region describe themselves within a few ms of each other.
SETTLE_MS = 20
# Keepers send their feed's state every 500 ms.
_STATE_TIMEOUT_MS = 1_200
# The timeout is doubled for a keeper of another region, and by each failover
# because of it, until a state arrives that is no older than `_PROMPT_MS`. When
# a region has lost its keepers, all its gateways ask for all servers over the
# link between regions at once, and more lists would only delay the others.
_MAX_STATE_TIMEOUT_MS = 4_800
_PROMPT_MS = 600
# A keeper from which nothing came for this long is chosen only if there is no
# other: pings come every 500 ms. Keepers that froze together have been silent
# for at least this long once the feed's state is overdue.
_SILENCE_MS = 700
_NOT_CURRENT_MS = 1_000
# A better keeper must have been connected and current for so long.
_FAIL_BACK_MS = 5_000
# That time is doubled each time the keeper's feed fell silent while its stream
# stayed open, up to this bound.
_MAX_FAIL_BACK_MS = 60_000
# The adapter decides every 100 ms. A longer gap means that this process was
# stalled and has yet to read what arrived meanwhile; a new proof of a message's
# age takes up to a ping interval.
_STALL_MS = 400
_STALL_GRACE_MS = 700


class FeedReason(enum.StrEnum):
    """Why a gateway changes its feed."""

    FIRST = "first"
    LINK_LOST = "link-lost"
    SILENT = "silent"
    NOT_CURRENT = "not-current"
    PREFERRED = "preferred"


@dataclasses.dataclass(frozen=True)
class FeedChange:
    """A change of the feed.

    Attributes:
        feed: peer address of the new feed, empty for none.
        before: peer address of the former feed, empty for none.
        state_age_ms: age of the former feed's latest state.
        candidates: number of connected keepers that offer a feed.
    """

    feed: str
    before: str
    reason: FeedReason
    state_age_ms: int
    candidates: int


@dataclasses.dataclass
class _Keeper:
    """A connected keeper that offers a feed.

    Attributes:
        rank: lower is better; own region first, then by hash.
        is_current: whether it says that its state is current.
        since_ms: since when it has been connected and `is_current` unchanged.
        fail_back_ms: how long it must be current before it is preferred.
    """

    address: str
    rank: tuple[bool, int]
    since_ms: int
    is_current: bool = False
    fail_back_ms: int = _FAIL_BACK_MS

    def is_current_for(self, duration_ms: int, now_ms: int) -> bool:
        """Returns whether it has been current for this long."""
        return self.is_current and now_ms - self.since_ms >= duration_ms


class FeedSelector:
    """Selects one gateway's feed.

    Args:
        gateway: name of the gateway.
        region: region of the gateway.

    Attributes:
        feed: peer address of the keeper subscribed to, empty for none.
    """

    def __init__(self, gateway: str, region: str) -> None:
        self.feed = ""
        self._gateway = gateway
        self._region = region
        self._keepers: dict[str, _Keeper] = {}
        self._first_seen_ms = 0
        self._state_ms = 0
        self._state_timeout_ms = _STATE_TIMEOUT_MS
        self._last_choice_ms = 0
        self._grace_until_ms = 0

    def add_keeper(self, address: str, region: str, now_ms: int) -> None:
        """Adds a keeper that is connected and offers a feed."""
        if address in self._keepers:
            return
        if not self._keepers:
            self._first_seen_ms = now_ms
        weight = digest.of_bytes(f"{self._gateway}\0{address}".encode())
        rank = (region != self._region, -int.from_bytes(weight))
        self._keepers[address] = _Keeper(address, rank, now_ms)

    def remove_keeper(self, address: str) -> None:
        """Removes a keeper that has disconnected."""
        self._keepers.pop(address, None)

    def record_currency(
        self, address: str, now_ms: int, *, is_current: bool
    ) -> None:
        """Records whether a keeper says that its state is current."""
        keeper = self._keepers.get(address)
        if keeper is not None and keeper.is_current != is_current:
            keeper.is_current = is_current
            keeper.since_ms = now_ms

    def record_state(self, address: str, sent_ms: int, now_ms: int) -> None:
        """Records a state of the feed.

        Args:
            address: of the keeper that sent it.
            sent_ms: when it was sent, as far as that is known.
            now_ms: monotonic time.
        """
        if address != self.feed:
            return
        self._state_ms = max(self._state_ms, sent_ms)
        if now_ms - sent_ms <= _PROMPT_MS:
            self._state_timeout_ms = _STATE_TIMEOUT_MS

    def choose(
        self, now_ms: int, silence_ms: Mapping[str, int]
    ) -> FeedChange | None:
        """Returns the change of the feed that is due, None for none.

        Args:
            now_ms: monotonic time.
            silence_ms: time since the last byte from each connected keeper.
        """
        self._note_stall(now_ms)
        feed = self._keepers.get(self.feed)
        heard = [
            keeper
            for keeper in self._keepers.values()
            if silence_ms.get(keeper.address, 0) <= _SILENCE_MS
        ]
        if feed is None:
            return self._replace_lost(heard, now_ms)
        others = [keeper for keeper in heard if keeper is not feed]
        if self._is_silent(now_ms):
            if not others:
                return None
            feed.since_ms = now_ms
            feed.fail_back_ms = min(2 * feed.fail_back_ms, _MAX_FAIL_BACK_MS)
            return self._change_to(_best(others), FeedReason.SILENT, now_ms)
        if not feed.is_current and now_ms - feed.since_ms >= _NOT_CURRENT_MS:
            current = [
                keeper
                for keeper in others
                if keeper.is_current_for(_NOT_CURRENT_MS, now_ms)
            ]
            if current:
                reason = FeedReason.NOT_CURRENT
                return self._change_to(_best(current), reason, now_ms)
        better = [
            keeper
            for keeper in others
            if keeper.rank < feed.rank
            and keeper.is_current_for(keeper.fail_back_ms, now_ms)
        ]
        if better:
            return self._change_to(_best(better), FeedReason.PREFERRED, now_ms)
        return None

    def _replace_lost(
        self, heard: list[_Keeper], now_ms: int
    ) -> FeedChange | None:
        """Returns the first feed, or the one in place of a lost one."""
        keepers = heard or list(self._keepers.values())
        if self.feed:
            best = _best(keepers) if keepers else None
            return self._change_to(best, FeedReason.LINK_LOST, now_ms)
        is_suitable = any(k.is_current and not k.rank[0] for k in keepers)
        is_settled = now_ms - self._first_seen_ms >= SETTLE_MS
        if not keepers or not (is_suitable or is_settled):
            return None
        return self._change_to(_best(keepers), FeedReason.FIRST, now_ms)

    def _change_to(
        self, keeper: _Keeper | None, reason: FeedReason, now_ms: int
    ) -> FeedChange:
        change = FeedChange(
            feed=keeper.address if keeper is not None else "",
            before=self.feed,
            reason=reason,
            state_age_ms=now_ms - self._state_ms if self.feed else 0,
            candidates=len(self._keepers),
        )
        self.feed = change.feed
        # The new feed has the full time to send its first state.
        self._state_ms = now_ms
        is_remote = keeper is not None and keeper.rank[0]
        if reason is FeedReason.SILENT or is_remote:
            self._state_timeout_ms = min(
                2 * self._state_timeout_ms, _MAX_STATE_TIMEOUT_MS
            )
        self._grace_until_ms = 0
        return change

    def _is_silent(self, now_ms: int) -> bool:
        deadline_ms = self._state_ms + self._state_timeout_ms
        return now_ms > max(deadline_ms, self._grace_until_ms)

    def _note_stall(self, now_ms: int) -> None:
        """Grants the feed some time after a stall of this process.

        It does so once until the next state, so that a process that is stalled
        all the time still replaces a lost feed.
        """
        gap_ms = now_ms - self._last_choice_ms
        self._last_choice_ms = now_ms
        if gap_ms > _STALL_MS and self._grace_until_ms <= self._state_ms:
            self._grace_until_ms = now_ms + _STALL_GRACE_MS


def _best(keepers: Iterable[_Keeper]) -> _Keeper:
    """Returns the best keeper: of the own region, current, by its hash."""
    return min(
        keepers,
        key=lambda keeper: (
            keeper.rank[0],
            not keeper.is_current,
            keeper.rank[1],
        ),
    )
