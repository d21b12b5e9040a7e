"""Grants of attempts: who gets one, and those that an earlier leader gave."""

from __future__ import annotations

from typing import TYPE_CHECKING

from catkinpin.core.placement import assignment
from catkinpin.core.programs import attempts, effects, records, replies
from catkinpin.core.programs.commands import Command, Propose

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from catkinpin.core.messages import Begin
    from catkinpin.core.operations.deployments import (
        Configuration,
        Deployment,
    )
    from catkinpin.core.placement.limits import Admission
    from catkinpin.core.programs.commands import EntryRef
    from catkinpin.core.programs.deadlines import Deadlines
    from catkinpin.core.programs.program import Call
    from catkinpin.core.programs.waiters import Waiters


class Grants:
    """Gives attempts to entries, and watches them.

    Args:
        waiters: who waits for which call.
        watch: attempts that are watched until their outcome is in the log.
        deadlines: what falls due.
        placing: the scheduler's side of each call.
        admission: limits on running calls.
        entries: those that are connected, by incarnation.
        cfg: returns the configuration in force.
    """

    def __init__(
        self,
        waiters: Waiters,
        watch: attempts.Watch,
        deadlines: Deadlines,
        placing: assignment.CallAssigner,
        admission: Admission,
        entries: Mapping[str, EntryRef],
        cfg: Callable[[], Configuration],
    ) -> None:
        self._waiters = waiters
        self._watch = watch
        self._deadlines = deadlines
        self._placing = placing
        self._admission = admission
        self._entries = entries
        self._cfg = cfg

    def choice(
        self, placed: assignment.Placed, entry: EntryRef, begin: Begin
    ) -> records.Choice:
        """Returns a server and an entry for a call, as the log keeps them."""
        deployment = self.deployment(begin)
        priority = deployment.priority if deployment is not None else 0
        entries = list(self._entries.values())
        return assignment.logged_choice(placed, entry, entries, priority)

    def granted(
        self, effect: effects.CallGranted, now_ms: int, wall_ms: int
    ) -> list[Command]:
        """Sends the grant of a committed attempt to the entry that waits."""
        call = effect.call
        attempt = call.attempt
        assert attempt is not None
        self._admission.mark_running(call.key, now_ms)
        incarnation = attempt.choice.entry_incarnation
        waiter = self._waiters.for_grant(call.key, incarnation)
        if waiter is None:
            # The grant never left this process, so the request did not run.
            record = attempts.never_sent(call.key, attempt.attempt, wall_ms)
            return [Propose(record)]
        self._waiters.remove(call.key, waiter)
        self._watch.add(call.key, attempt)
        self._deadlines.started(attempt.attempt, now_ms)
        return [replies.grant(waiter, effect.program, call, attempt, now_ms)]

    def deployment(self, begin: Begin) -> Deployment | None:
        """Returns the deployment that lets a call run."""
        return self._cfg().deployment_for(begin.key.account, begin.target)

    def deployment_name(self, begin: Begin) -> str:
        """Returns the name of that deployment, empty for none."""
        found = self.deployment(begin)
        return found.name if found is not None else ""

    def opened(self, call: Call, now_ms: int, wall_ms: int) -> None:
        """Notes an open call of the log."""
        scopes = assignment.limit_scopes(self._cfg(), call.begin)
        self._admission.add_call(call.key, scopes, now_ms)
        self._deadlines.call_open(call, now_ms, wall_ms)

    def resume(self, call: Call, now_ms: int) -> None:
        """Watches the attempt that an earlier leader granted."""
        if call.attempt is None:
            return
        self._admission.mark_running(call.key, now_ms)
        self._watch.add(call.key, call.attempt)
        self._placing.restore_call(call, call.attempt)
        self._deadlines.started(call.attempt.attempt, now_ms)
