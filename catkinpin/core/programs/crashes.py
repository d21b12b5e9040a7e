"""What a shard's leader does about requests that crash servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from catkinpin.core.programs import records
from catkinpin.core.programs.commands import Command, Propose, ShareQuarantine
from catkinpin.verdicts import Reason

if TYPE_CHECKING:
    from collections.abc import Callable

    from catkinpin.core.messages import CallKey
    from catkinpin.core.programs.program import Call
    from catkinpin.core.programs.shard import Shard

_SHARE_RETRY_MS = 5_000


class Gate:
    """Keeps back quarantined requests, and those whose fate is open.

    Args:
        state: the shard's state, only read here.
        shared: whether the control group quarantined a content.
    """

    def __init__(self, state: Shard, shared: Callable[[bytes], bool]) -> None:
        self._shard = state
        self._shared = shared
        self._share_at_ms = 0
        self._held: dict[CallKey, None] = {}

    def is_closed(self, content: bytes) -> bool:
        """Returns whether the content is quarantined, here or everywhere."""
        here = self._shard.quarantine.is_refused(content)
        return here or self._shared(content)

    def hold(self, key: CallKey) -> None:
        """Keeps a call until a server's fate is known."""
        self._held[key] = None

    def released(self) -> list[CallKey]:
        """Returns the calls that were kept, to be placed again."""
        held, self._held = self._held, {}
        return list(held)

    def share(self, now_ms: int, wall_ms: int) -> list[Command]:
        """Has the control group take over what was quarantined here."""
        waiting = self._shard.quarantine.to_share()
        if not waiting:
            return []
        taken = [one for one in waiting if self._shared(one)]
        commands: list[Command] = []
        if taken:
            record = records.QuarantineShared(at_ms=wall_ms, contents=taken)
            commands.append(Propose(record))
        if now_ms >= self._share_at_ms:
            self._share_at_ms = now_ms + _SHARE_RETRY_MS
            rest = [one for one in waiting if one not in taken]
            commands += map(ShareQuarantine, rest)
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
