"""What a shard's leader must do when time passes."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from catkinpin.core import messages
from catkinpin.core.programs import attempts, records, replies
from catkinpin.core.programs.commands import Command, EntryRef, Propose, Send
from catkinpin.core.programs.timers import Timers
from catkinpin.verdicts import Reason, Verdict

if TYPE_CHECKING:
    from catkinpin.core.messages import CallKey, ProgramKey
    from catkinpin.core.programs.attempts import Watch
    from catkinpin.core.programs.program import Call, Program
    from catkinpin.core.programs.shard import Shard
    from catkinpin.core.programs.waiters import Waiter, Waiters

# An entry reports the deadline itself; after this bound the leader does.
_DEADLINE_GRACE_MS = 500
# A grant or an outcome may be lost with a stream, or with a leader. Attempts
# older than this are asked about, again and again.
_RECALL_AFTER_MS = 2 * replies.GRANT_EXPIRES_MS
_RECALL_RETRY_MS = 10_000
_PROGRAM_RETRY_MS = 1_000


@dataclasses.dataclass(frozen=True)
class CallDue:
    """The call's deadline has come.

    Attributes:
        grace: whether the entry has had its time to report that.
    """

    key: CallKey
    grace: bool = False


@dataclasses.dataclass(frozen=True)
class WaiterDue:
    """A waiter's own deadline has come."""

    key: CallKey
    waiter: Waiter


@dataclasses.dataclass(frozen=True)
class PlaceDue:
    """A call may be placed again."""

    key: CallKey


@dataclasses.dataclass(frozen=True)
class RecallDue:
    """An attempt has been under way for long."""

    attempt: str


@dataclasses.dataclass(frozen=True)
class ProgramDue:
    """A program may have been idle too long, or ended long ago."""

    key: ProgramKey


Due = CallDue | WaiterDue | PlaceDue | RecallDue | ProgramDue


@dataclasses.dataclass(frozen=True)
class Fallen:
    """What has fallen due.

    Attributes:
        place: calls to place again.
    """

    commands: list[Command]
    place: list[CallKey]


class Deadlines:
    """Deadlines of calls and waiters, ends of programs, old attempts.

    Args:
        state: the shard's state, only read here.
        waiters: who waits for what.
        watch: attempts under way.
        entries: connected entries by incarnation.
    """

    def __init__(
        self,
        state: Shard,
        waiters: Waiters,
        watch: Watch,
        entries: dict[str, EntryRef],
    ) -> None:
        self._shard = state
        self._waiters = waiters
        self._watch = watch
        self._entries = entries
        self._timers: Timers[Due] = Timers()
        self._programs: set[ProgramKey] = set()

    def call_open(self, call: Call, now_ms: int, wall_ms: int) -> None:
        """Keeps a call's deadline."""
        wait = max(0, call.deadline_wall_ms - wall_ms)
        self._timers.add(now_ms + wait, CallDue(call.key))

    def waiting(self, key: CallKey, waiter: Waiter) -> None:
        """Keeps a waiter's deadline."""
        due = waiter.deadline_ms + _DEADLINE_GRACE_MS
        self._timers.add(due, WaiterDue(key, waiter))

    def started(self, attempt: str, now_ms: int) -> None:
        """Sees to it that an old attempt is asked about."""
        self._timers.add(now_ms + _RECALL_AFTER_MS, RecallDue(attempt))

    def place_later(self, key: CallKey, now_ms: int, wait_ms: int) -> None:
        """Has a call placed again."""
        self._timers.add(now_ms + wait_ms, PlaceDue(key))

    def program_seen(self, program: Program, now_ms: int, wall_ms: int) -> None:
        """Keeps the end of a program; later calls change nothing."""
        if program.key in self._programs:
            return
        self._programs.add(program.key)
        wait = max(0, _next_step(program) - wall_ms)
        self._timers.add(now_ms + wait, ProgramDue(program.key))

    def program_over(self, program: Program, now_ms: int) -> None:
        """Has an ended program forgotten in time."""
        due = now_ms + program.limits.retain_ms
        self._timers.add(due, ProgramDue(program.key))

    def fall_due(self, now_ms: int, wall_ms: int) -> Fallen:
        """Returns what is to be done now."""
        fallen = Fallen([], [])
        over: dict[ProgramKey, None] = {}
        for due in self._timers.due(now_ms):
            match due:
                case CallDue():
                    fallen.commands.extend(self._call(due, now_ms, wall_ms))
                case WaiterDue():
                    fallen.commands.extend(self._waiter(due))
                case RecallDue():
                    fallen.commands.extend(self._recall(due, now_ms))
                case PlaceDue():
                    fallen.place.append(due.key)
                case ProgramDue():
                    if self._program(due.key, fallen, now_ms, wall_ms):
                        over[due.key] = None
        if over:
            record = records.ProgramsForgotten(at_ms=wall_ms, keys=list(over))
            fallen.commands.append(Propose(record))
        return fallen

    def recall_all(self, entry: EntryRef) -> list[Command]:
        """Asks an entry about every attempt that it was granted."""
        held = self._watch.held_by(entry.incarnation)
        commands: list[Command] = []
        for watched in held:
            commands += self._recall_from(entry, watched)
        return commands

    def gone(self, watched: attempts.Watched, wall_ms: int) -> Command:
        """Acts on an attempt whose entry has been gone for too long.

        Another entry asks the server, or the attempt is lost. A service's
        answer outlives the entry that asked for it, and a call that must not
        be repeated has no other way to get it. A model call is made again
        elsewhere.
        """
        message = self._recover(watched)
        region = message.server.region if message is not None else ""
        entry = min(
            self._entries.values(),
            key=lambda e: (e.region != region, e.process),
            default=None,
        )
        if message is None or entry is None:
            return Propose(attempts.lost(watched, wall_ms))
        self._watch.recover(watched, entry.incarnation)
        return Send(entry, message)

    def _recover(self, watched: attempts.Watched) -> messages.Recover | None:
        found = self._shard.find_open(watched.key)
        if found is None:
            return None
        call = found[1]
        attempt = call.attempt
        if attempt is None or attempt.attempt != watched.attempt:
            return None
        if call.begin.kind != "service":
            return None
        return messages.Recover(
            key=watched.key,
            attempt=watched.attempt,
            server=attempt.choice.server,
            deadline_ms=call.begin.deadline_ms,
        )

    def _call(self, due: CallDue, now_ms: int, wall_ms: int) -> list[Command]:
        found = self._shard.find_open(due.key)
        if found is None:
            return []
        call = found[1]
        # An attempt that starts meanwhile makes the record below void, so the
        # deadline is kept until the call is closed.
        left = call.deadline_wall_ms - wall_ms
        again = CallDue(due.key, grace=left <= 0)
        self._timers.add(now_ms + max(left, _DEADLINE_GRACE_MS), again)
        if left > 0:
            return []
        if call.attempt is None:
            record = records.CallRefused(
                at_ms=wall_ms,
                key=due.key,
                reason=Reason.DEADLINE,
                text="the deadline passed before the call's turn came",
                verdict=call.verdict,
            )
            return [Propose(record)]
        if not due.grace:
            return []
        attempt = call.attempt.attempt
        return [Propose(attempts.too_late(due.key, attempt, wall_ms))]

    def _waiter(self, due: WaiterDue) -> list[Command]:
        if not self._waiters.remove(due.key, due.waiter):
            return []
        # The call is still open and may run for another waiter.
        return [
            replies.refuse(
                due.waiter.entry,
                due.waiter.ask,
                Reason.DEADLINE,
                "the deadline passed; a resend gets the outcome",
                verdict=Verdict.MAY_HAVE_RUN,
            )
        ]

    def _recall(self, due: RecallDue, now_ms: int) -> list[Command]:
        watched = self._watch.get(due.attempt)
        if watched is None:
            return []
        self._timers.add(now_ms + _RECALL_RETRY_MS, due)
        entry = self._entries.get(watched.incarnation)
        return [] if entry is None else self._recall_from(entry, watched)

    def _recall_from(
        self, entry: EntryRef, watched: attempts.Watched
    ) -> list[Command]:
        # An entry that never got a `Recover` would answer a recall with "not
        # run", though the gone entry may have sent the request.
        if watched.recovering:
            recover = self._recover(watched)
            return [] if recover is None else [Send(entry, recover)]
        recall = messages.Recall(key=watched.key, attempt=watched.attempt)
        return [Send(entry, recall)]

    def _program(
        self, key: ProgramKey, fallen: Fallen, now_ms: int, wall_ms: int
    ) -> bool:
        """Ends an idle program; returns whether an ended one can go."""
        program = self._shard.programs.get(key)
        if program is None:
            self._programs.discard(key)
            return False
        left = _next_step(program) - wall_ms
        wait = max(left, _PROGRAM_RETRY_MS)
        self._timers.add(now_ms + wait, ProgramDue(key))
        if left > 0:
            return False
        if program.ended:
            return True
        if not program.open:
            record = records.ProgramEnded(
                at_ms=wall_ms,
                key=key,
                reason="it was idle, or as old as is allowed",
                if_idle=True,
            )
            fallen.commands.append(Propose(record))
        return False


def _next_step(program: Program) -> int:
    """Returns the wall time at which the program ends, or is forgotten."""
    limits = program.limits
    if program.ended:
        return program.ended_ms + limits.retain_ms
    idle_ms = limits.idle_ms
    if program.once:
        # No call follows; the program waits for resends only.
        idle_ms = min(idle_ms, limits.retain_ms)
    active = max(program.active_ms, program.begun_ms)
    return min(active + idle_ms, program.begun_ms + limits.max_age_ms)
