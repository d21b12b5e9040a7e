"""Checks whether calls may begin, and tracks proposed `CallBegun` records."""

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
    from catkinpin.core.programs.crashes import QuarantineGate
    from catkinpin.core.programs.program import Call, ClosedCall
    from catkinpin.core.programs.shard import Shard
    from catkinpin.core.programs.waiters import Waiter


class Admissions:
    """Checks calls before their `CallBegun` record is proposed.

    Args:
        state: the shard's state, which is only read.
        gate: holds back requests that crash servers.
        admission: limits on running calls.
    """

    def __init__(
        self, state: Shard, gate: QuarantineGate, admission: Admission
    ) -> None:
        self._shard = state
        self._gate = gate
        self._admission = admission
        self._proposed: dict[CallKey, Begin] = {}
        self._programs: collections.Counter[ProgramKey] = collections.Counter()

    def mark_proposed(self, begin: Begin) -> None:
        """Notes that the record of a begin is proposed."""
        self._proposed[begin.key] = begin
        self._programs[begin.key.program_key] += 1

    def mark_committed(self, key: CallKey) -> None:
        """Notes that the record of a begin is committed."""
        if self._proposed.pop(key, None) is None:
            return
        self._programs[key.program_key] -= 1
        if not self._programs[key.program_key]:
            del self._programs[key.program_key]

    def find_proposed(self, key: CallKey) -> Begin | None:
        """Returns the `Begin` of a proposed call, or None."""
        return self._proposed.get(key)

    def find_known(self, key: CallKey) -> Call | ClosedCall | Begin | None:
        """Returns the open, closed or proposed call of this key, or None."""
        found = self._shard.find_open(key)
        if found is not None:
            return found[1]
        return self._shard.find_closed(key) or self._proposed.get(key)

    def refuse_target(self, waiter: Waiter, begin: Begin) -> Send:
        """Refuses a call whose target no deployment offers to the account."""
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
        """Returns a rejection if a call may not begin, else None."""
        rejected = self._shard.check_begin(begin)
        if rejected is not None:
            return rejected
        if self._gate.is_quarantined(self._shard.digests_of(begin)):
            text = "this request crashed servers and is quarantined"
            return effects.BeginRejected(begin, Reason.QUARANTINED, text)
        scopes = assignment.limit_scopes(cfg, begin)
        limit_reached = self._admission.check(scopes, begin.deadline_ms, now_ms)
        if limit_reached is None:
            return None
        return effects.BeginRejected(
            begin,
            Reason.OVERLOADED,
            limit_reached.text,
            retry_after_ms=limit_reached.retry_after_ms,
        )

    def is_next(self, begin: Begin) -> bool:
        """Returns whether a new call could start at once in its program."""
        key = begin.key.program_key
        if key in self._programs:
            return False
        program = self._shard.programs.get(key)
        if program is None:
            return True
        if (
            program.running_call() is not None
            or program.next_call() is not None
        ):
            return False
        return begin.seq in (0, program.next_seq)

    def find_begin(self, key: CallKey) -> Begin | None:
        """Returns the `Begin` of an open or proposed call, or None."""
        found = self._shard.find_open(key)
        return found[1].begin if found is not None else self._proposed.get(key)
