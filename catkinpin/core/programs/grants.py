"""Sends grants of attempts to entries, and resumes those already sent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from catkinpin import digest
from catkinpin.core.placement import assignment
from catkinpin.core.programs import (
    attempts,
    effects,
    records,
    replies,
    sharding,
)
from catkinpin.core.programs.commands import Command, Propose

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from catkinpin.core.messages import Begin, CallKey
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
    """Grants attempts to entries, and tracks them.

    Args:
        waiters: entries that wait for calls.
        tracker: attempts without a committed outcome.
        deadlines: the leader's timers.
        assigner: submits calls to the scheduler.
        admission: limits on running calls.
        entries: connected entries by incarnation.
        cfg: returns the configuration in force.
    """

    def __init__(
        self,
        waiters: Waiters,
        tracker: attempts.AttemptTracker,
        deadlines: Deadlines,
        assigner: assignment.CallAssigner,
        admission: Admission,
        entries: Mapping[str, EntryRef],
        cfg: Callable[[], Configuration],
    ) -> None:
        self._waiters = waiters
        self._attempt_tracker = tracker
        self._deadlines = deadlines
        self._assigner = assigner
        self._admission = admission
        self._entries = entries
        self._cfg = cfg

    def choose(
        self, placed: assignment.Placed, entry: EntryRef, begin: Begin
    ) -> records.Choice:
        """Returns the choice of server and entry that goes into the log."""
        deployment = self.find_deployment(begin)
        priority = deployment.priority if deployment is not None else 0
        entries = list(self._entries.values())
        return logged_choice(placed, entry, entries, priority)

    def send_grant(
        self, effect: effects.CallGranted, now_ms: int, wall_ms: int
    ) -> list[Command]:
        """Sends the grant of a committed attempt to the waiting entry."""
        call = effect.call
        attempt = call.attempt
        assert attempt is not None
        self._admission.mark_running(call.key, now_ms)
        incarnation = attempt.choice.entry_incarnation
        waiter = self._waiters.find_for_grant(call.key, incarnation)
        if waiter is None:
            # The grant was never sent, so the request did not run.
            record = attempts.unsent_record(call.key, attempt.attempt, wall_ms)
            return [Propose(record)]
        self._waiters.remove(call.key, waiter)
        self._attempt_tracker.add(call.key, attempt)
        self._deadlines.schedule_recall(attempt.attempt, now_ms)
        return [replies.grant(waiter, effect.program, call, attempt, now_ms)]

    def find_deployment(self, begin: Begin) -> Deployment | None:
        """Returns the deployment under which a call runs, or None."""
        return self._cfg().deployment_for(begin.key.account, begin.target)

    def deployment_name(self, begin: Begin) -> str:
        """Returns the name of a call's deployment, empty if it has none."""
        found = self.find_deployment(begin)
        return found.name if found is not None else ""

    def register_call(self, call: Call, now_ms: int, wall_ms: int) -> None:
        """Counts an open call for its limits and adds its deadline timer."""
        scopes = assignment.limit_scopes(self._cfg(), call.begin)
        self._admission.add_call(call.key, scopes, now_ms)
        self._deadlines.track_call(call, now_ms, wall_ms)

    def resume_attempt(self, call: Call, now_ms: int) -> None:
        """Tracks an attempt that an earlier leader granted, if there is one."""
        if call.attempt is None:
            return
        self._admission.mark_running(call.key, now_ms)
        self._attempt_tracker.add(call.key, call.attempt)
        self._assigner.restore_call(call, call.attempt)
        self._deadlines.schedule_recall(call.attempt.attempt, now_ms)


def logged_choice(
    placed: assignment.Placed,
    entry: EntryRef,
    entries: list[EntryRef],
    priority: int,
) -> records.Choice:
    """Returns the log record of a placement.

    Args:
        placed: The call and its server.
        entry: The entry that gets the grant.
        entries: The connected entries. If `entry` is in another region than
            the server, one of those in the server's region dispatches the call.
        priority: Priority of the deployment.
    """
    server = placed.server.ref
    is_local = not server.region or server.region == entry.region
    candidates = [e.address for e in entries if e.region == server.region]
    return records.Choice(
        server=server,
        entry=entry.process,
        entry_incarnation=entry.incarnation,
        dispatcher="" if is_local else _relay_of(placed.key, candidates),
        priority=priority,
    )


def _relay_of(key: CallKey, candidates: list[str]) -> str:
    """Returns the entry that relays a program's calls to another region.

    The entry is chosen by rendezvous hashing: programs spread over the
    entries, each stays with the entry that has its history, and when an entry
    leaves, only its own programs move.
    """
    root = f"{key.account}/{sharding.root_of(key.program)}"

    def weight(address: str) -> bytes:
        return digest.of_bytes(f"{root}\0{address}".encode())

    return max(candidates, key=weight, default="")
