"""Handling of requests that crash servers, in a shard's leader."""

from __future__ import annotations

from typing import TYPE_CHECKING

from catkinpin.core.programs import records
from catkinpin.core.programs.commands import Command, Propose, ShareQuarantine
from catkinpin.verdicts import Reason

if TYPE_CHECKING:
    from collections.abc import Callable

    from catkinpin.core.messages import CallKey
    from catkinpin.core.programs.program import Call, CallDigests
    from catkinpin.core.programs.shard import Shard

_SHARE_RETRY_MS = 5_000


class QuarantineGate:
    """Holds back requests that are or may soon be quarantined.

    Args:
        state: the shard's state, which is only read.
        is_shared: whether the control group quarantined a digest.
    """

    def __init__(
        self, state: Shard, is_shared: Callable[[bytes], bool]
    ) -> None:
        self._shard = state
        self._is_shared = is_shared
        self._next_share_ms = 0
        self._held: dict[CallKey, None] = {}

    def is_quarantined(self, digests: CallDigests) -> bool:
        """Returns whether this shard or the control group quarantined it."""
        in_shard = self._shard.quarantine.is_refused(digests)
        return in_shard or any(map(self._is_shared, digests))

    def hold(self, key: CallKey) -> None:
        """Holds a call until it is known whether a server crashed."""
        self._held[key] = None

    def take_held(self) -> list[CallKey]:
        """Removes and returns the held calls, which are to be placed again."""
        held, self._held = self._held, {}
        return list(held)

    def share_quarantine(self, now_ms: int, wall_ms: int) -> list[Command]:
        """Hands over what this shard quarantined to the control group."""
        unshared_contents = self._shard.quarantine.unshared_contents()
        if not unshared_contents:
            return []
        shared = [
            content for content in unshared_contents if self._is_shared(content)
        ]
        commands: list[Command] = []
        if shared:
            record = records.QuarantineShared(at_ms=wall_ms, contents=shared)
            commands.append(Propose(record))
        if now_ms >= self._next_share_ms:
            self._next_share_ms = now_ms + _SHARE_RETRY_MS
            missing = [
                content
                for content in unshared_contents
                if content not in shared
            ]
            commands += map(ShareQuarantine, missing)
        return commands


def refusal(call: Call, wall_ms: int) -> records.CallRefused:
    """Returns the refusal of a quarantined call."""
    return records.CallRefused(
        at_ms=wall_ms,
        key=call.key,
        reason=Reason.QUARANTINED,
        text="this request crashed servers and is quarantined",
        verdict=call.verdict,
    )
