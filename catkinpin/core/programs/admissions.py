"""Whether a call may begin, and the begins whose record is proposed."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from catkinpin.core.placement import assignment
from catkinpin.core.programs import effects, replies
from catkinpin.verdicts import Reason

if TYPE_CHECKING:
    from catkinpin.core.messages import Begin, CallKey, ProgramKey
    from catkinpin.core.operations.deployments import Configuration
    from catkinpin.core.placement.limits import Admission
    from catkinpin.core.programs.commands import Send
    from catkinpin.core.programs.crashes import Gate
    from catkinpin.core.programs.program import Call, ClosedCall
    from catkinpin.core.programs.shard import Shard
    from catkinpin.core.programs.waiters import Waiter


class Admissions:
    """Checks calls before they begin.

    Args:
        state: the shard's state, only read here.
        gate: keeps back requests that crash servers.
        admission: limits on running calls.
    """

    def __init__(self, state: Shard, gate: Gate, admission: Admission) -> None:
        self._shard = state
        self._gate = gate
        self._admission = admission
        self._proposed: dict[CallKey, Begin] = {}
        self._programs: collections.Counter[ProgramKey] = collections.Counter()

    def propose(self, begin: Begin) -> None:
        """Notes a begin whose record is proposed."""
        self._proposed[begin.key] = begin
        self._programs[begin.key.program_key] += 1

    def begun(self, key: CallKey) -> None:
        """Notes that the record of a begin is committed."""
        if self._proposed.pop(key, None) is None:
            return
        self._programs[key.program_key] -= 1
        if not self._programs[key.program_key]:
            del self._programs[key.program_key]

    def proposed(self, key: CallKey) -> Begin | None:
        """Returns a begin whose record is proposed, None for no such."""
        return self._proposed.get(key)

    def known(self, key: CallKey) -> Call | ClosedCall | Begin | None:
        """Returns the call of this id, also one whose begin is proposed."""
        found = self._shard.find_open(key)
        if found is not None:
            return found[1]
        return self._shard.find_closed(key) or self._proposed.get(key)

    def refuse_target(self, waiter: Waiter, begin: Begin) -> Send:
        """Refuses a call that no deployment lets run."""
        model = begin.kind == "model"
        reason = Reason.UNKNOWN_MODEL if model else Reason.UNKNOWN_SERVICE
        text = f"no deployment lets this account use {begin.target!r}"
        verdict = self._shard.verdict_of(begin.key)
        return replies.refuse(
            waiter.entry, waiter.ask, reason, text, verdict=verdict
        )

    def check(
        self, cfg: Configuration, begin: Begin, now_ms: int
    ) -> effects.BeginRejected | None:
        """Returns why a call may not begin, None where it may."""
        rejected = self._shard.check_begin(begin)
        if rejected is not None:
            return rejected
        content = self._shard.content_digest(begin)
        if self._gate.is_closed(content):
            text = "this request crashed servers and is quarantined"
            return effects.BeginRejected(begin, Reason.QUARANTINED, text)
        scopes = assignment.scopes_of(cfg, begin)
        down = self._admission.check(scopes, begin.deadline_ms, now_ms)
        if down is None:
            return None
        return effects.BeginRejected(
            begin,
            Reason.OVERLOADED,
            down.text,
            retry_after_ms=down.retry_after_ms,
        )

    def is_next(self, begin: Begin) -> bool:
        """Returns whether a call is next in its program."""
        key = begin.key.program_key
        if key in self._programs:
            return False
        program = self._shard.programs.get(key)
        if program is None:
            return True
        if program.running() is not None or program.next_call() is not None:
            return False
        return begin.seq in (0, program.next_seq)

    def begin_of(self, key: CallKey) -> Begin | None:
        """Returns the begin of an open or proposed call."""
        found = self._shard.find_open(key)
        return found[1].begin if found is not None else self._proposed.get(key)
