"""Timers of a shard's leader: deadlines, retries, recalls and expiry."""

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
    from catkinpin.core.programs.attempts import AttemptTracker
    from catkinpin.core.programs.program import Call, Program
    from catkinpin.core.programs.shard import Shard
    from catkinpin.core.programs.waiters import Waiter, Waiters

# Time that an entry has to report a missed deadline before the leader does.
_DEADLINE_GRACE_MS = 500
# A grant or an outcome can be lost with a stream or with a leader. The leader
# asks about attempts that are older than this, and repeats the question.
_RECALL_AFTER_MS = 2 * replies.GRANT_EXPIRES_MS
_RECALL_RETRY_MS = 10_000
_PROGRAM_RETRY_MS = 1_000


@dataclasses.dataclass(frozen=True)
class CallDeadline:
    """The deadline of a call.

    Attributes:
        grace_over: whether the entry has had its time to report the deadline.
    """

    key: CallKey
    grace_over: bool = False


@dataclasses.dataclass(frozen=True)
class WaiterDeadline:
    """The deadline of one waiter."""

    key: CallKey
    waiter: Waiter


@dataclasses.dataclass(frozen=True)
class PlacementRetry:
    """A call is to be placed again."""

    key: CallKey


@dataclasses.dataclass(frozen=True)
class AttemptRecall:
    """The leader asks about an attempt that is still running."""

    attempt: str


@dataclasses.dataclass(frozen=True)
class ProgramExpiry:
    """A program may have to be ended or forgotten."""

    key: ProgramKey


TimerEvent = (
    CallDeadline
    | WaiterDeadline
    | PlacementRetry
    | AttemptRecall
    | ProgramExpiry
)


@dataclasses.dataclass(frozen=True)
class DueWork:
    """Work that due timers leave to the leader."""

    commands: list[Command]
    calls_to_place: list[CallKey]


class Deadlines:
    """Keeps the timers of calls, waiters, attempts and programs.

    Args:
        state: the shard's state, which is only read.
        waiters: entries that wait for calls.
        tracker: attempts without a committed outcome.
        entries: connected entries by incarnation.
    """

    def __init__(
        self,
        state: Shard,
        waiters: Waiters,
        tracker: AttemptTracker,
        entries: dict[str, EntryRef],
    ) -> None:
        self._shard = state
        self._waiters = waiters
        self._attempt_tracker = tracker
        self._entries = entries
        self._timers: Timers[TimerEvent] = Timers()
        self._tracked_programs: set[ProgramKey] = set()

    def track_call(self, call: Call, now_ms: int, wall_ms: int) -> None:
        """Adds the timer of a call's deadline."""
        delay_ms = max(0, call.deadline_wall_ms - wall_ms)
        self._timers.add(now_ms + delay_ms, CallDeadline(call.key))

    def track_waiter(self, key: CallKey, waiter: Waiter) -> None:
        """Adds the timer of a waiter's deadline."""
        due_ms = waiter.deadline_ms + _DEADLINE_GRACE_MS
        self._timers.add(due_ms, WaiterDeadline(key, waiter))

    def schedule_recall(self, attempt: str, now_ms: int) -> None:
        """Adds the timer after which the leader asks about an attempt."""
        self._timers.add(now_ms + _RECALL_AFTER_MS, AttemptRecall(attempt))

    def place_later(self, key: CallKey, now_ms: int, wait_ms: int) -> None:
        """Adds a timer to place a call again."""
        self._timers.add(now_ms + wait_ms, PlacementRetry(key))

    def track_program(
        self, program: Program, now_ms: int, wall_ms: int
    ) -> None:
        """Adds a program's expiry timer, unless it has one."""
        if program.key in self._tracked_programs:
            return
        self._tracked_programs.add(program.key)
        delay_ms = max(0, _expiry_wall_ms(program) - wall_ms)
        self._timers.add(now_ms + delay_ms, ProgramExpiry(program.key))

    def schedule_forgetting(self, program: Program, now_ms: int) -> None:
        """Adds the timer to forget a program that has ended."""
        due_ms = now_ms + program.limits.retain_ms
        self._timers.add(due_ms, ProgramExpiry(program.key))

    def process_due(self, now_ms: int, wall_ms: int) -> DueWork:
        """Removes the timers that are due and returns their work."""
        work = DueWork([], [])
        expired: dict[ProgramKey, None] = {}
        for due in self._timers.pop_due(now_ms):
            match due:
                case CallDeadline():
                    work.commands.extend(
                        self._check_call_deadline(due, now_ms, wall_ms)
                    )
                case WaiterDeadline():
                    work.commands.extend(self._expire_waiter(due))
                case AttemptRecall():
                    work.commands.extend(self._recall_attempt(due, now_ms))
                case PlacementRetry():
                    work.calls_to_place.append(due.key)
                case ProgramExpiry():
                    if self._check_program(due.key, work, now_ms, wall_ms):
                        expired[due.key] = None
        if expired:
            record = records.ProgramsForgotten(
                at_ms=wall_ms, keys=list(expired)
            )
            work.commands.append(Propose(record))
        return work

    def recall_all(self, entry: EntryRef) -> list[Command]:
        """Asks an entry about every attempt that it holds."""
        held = self._attempt_tracker.held_by(entry.incarnation)
        commands: list[Command] = []
        for tracked in held:
            commands += self._recall_commands(entry, tracked)
        return commands

    def recover_or_settle(
        self, tracked: attempts.TrackedAttempt, wall_ms: int
    ) -> Command:
        """Returns the command for an attempt whose entry did not come back.

        For a service call another entry asks the server: the server still has
        the answer, and a call that must not be repeated has no other way to
        get it. Otherwise the attempt is settled as unknown; a model call is
        then retried on another server.
        """
        message = self._recover_message(tracked)
        region = message.server.region if message is not None else ""
        entry = min(
            self._entries.values(),
            key=lambda e: (e.region != region, e.process),
            default=None,
        )
        if message is None or entry is None:
            return Propose(attempts.lost_record(tracked, wall_ms))
        self._attempt_tracker.assign_recovery(tracked, entry.incarnation)
        return Send(entry, message)

    def _recover_message(
        self, tracked: attempts.TrackedAttempt
    ) -> messages.Recover | None:
        found = self._shard.find_open(tracked.key)
        if found is None:
            return None
        call = found[1]
        attempt = call.attempt
        if attempt is None or attempt.attempt != tracked.attempt:
            return None
        if call.begin.kind != "service":
            return None
        return messages.Recover(
            key=tracked.key,
            attempt=tracked.attempt,
            server=attempt.choice.server,
            deadline_ms=call.begin.deadline_ms,
        )

    def _check_call_deadline(
        self, due: CallDeadline, now_ms: int, wall_ms: int
    ) -> list[Command]:
        found = self._shard.find_open(due.key)
        if found is None:
            return []
        call = found[1]
        # An attempt that starts before the record below is applied voids it,
        # so the timer is repeated until the call is closed.
        remaining_ms = call.deadline_wall_ms - wall_ms
        again = CallDeadline(due.key, grace_over=remaining_ms <= 0)
        self._timers.add(now_ms + max(remaining_ms, _DEADLINE_GRACE_MS), again)
        if remaining_ms > 0:
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
        if not due.grace_over:
            return []
        attempt = call.attempt.attempt
        return [Propose(attempts.deadline_record(due.key, attempt, wall_ms))]

    def _expire_waiter(self, due: WaiterDeadline) -> list[Command]:
        if not self._waiters.remove(due.key, due.waiter):
            return []
        # The call stays open and may run for another waiter.
        return [
            replies.refuse(
                due.waiter.entry,
                due.waiter.ask,
                Reason.DEADLINE,
                "the deadline passed; a resend gets the outcome",
                verdict=Verdict.MAY_HAVE_RUN,
            )
        ]

    def _recall_attempt(self, due: AttemptRecall, now_ms: int) -> list[Command]:
        tracked = self._attempt_tracker.get(due.attempt)
        if tracked is None:
            return []
        self._timers.add(now_ms + _RECALL_RETRY_MS, due)
        entry = self._entries.get(tracked.entry_incarnation)
        return [] if entry is None else self._recall_commands(entry, tracked)

    def _recall_commands(
        self, entry: EntryRef, tracked: attempts.TrackedAttempt
    ) -> list[Command]:
        # An entry that did not get `Recover` would reply "not run" to a
        # `Recall`, although the entry that is gone may have sent the request.
        if tracked.recovering:
            recover = self._recover_message(tracked)
            return [] if recover is None else [Send(entry, recover)]
        recall = messages.Recall(key=tracked.key, attempt=tracked.attempt)
        return [Send(entry, recall)]

    def _check_program(
        self, key: ProgramKey, work: DueWork, now_ms: int, wall_ms: int
    ) -> bool:
        """Ends an idle program; returns whether to forget an ended one."""
        program = self._shard.programs.get(key)
        if program is None:
            self._tracked_programs.discard(key)
            return False
        remaining_ms = _expiry_wall_ms(program) - wall_ms
        delay_ms = max(remaining_ms, _PROGRAM_RETRY_MS)
        self._timers.add(now_ms + delay_ms, ProgramExpiry(key))
        if remaining_ms > 0:
            return False
        if program.ended:
            return True
        if not self._shard.has_open_calls(program):
            record = records.ProgramEnded(
                at_ms=wall_ms,
                key=key,
                reason="it was idle, or as old as is allowed",
                if_idle=True,
                if_tree_idle=True,
            )
            work.commands.append(Propose(record))
        return False


def _expiry_wall_ms(program: Program) -> int:
    """Returns the wall time at which to end or forget the program."""
    limits = program.limits
    if program.ended:
        return program.ended_ms + limits.retain_ms
    idle_ms = limits.idle_ms
    if program.once:
        # No call follows, so the program is kept for resends only.
        idle_ms = min(idle_ms, limits.retain_ms)
    active = max(program.active_ms, program.begun_ms)
    return min(active + idle_ms, program.begun_ms + limits.max_age_ms)
