"""Detects unresponsive application servers and informs all gateways.

An unresponsive server accepts requests, answers none and still passes its
health checks. Each of many gateways would lose a call of its own before it
notices, and every call that must not be repeated costs a program. A gateway
therefore counts a server as unresponsive once a call takes many times its
usual time, long before the deadline. Once two gateways have reported a server,
the leader informs all of them.

A request may by itself take many times its route's usual time. A server that
has answered a call sent later than the overdue one is therefore responsive: the
gateway doesn't report it, and the leader ignores reports that an answer to
another gateway contradicts. Refusals are no such answers: a server whose work
hangs still refuses requests once its queue is full.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from catkinpin.core.control.servers import ServerState

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from catkinpin.core.control.servers import Instance
    from catkinpin.core.placement.balance import Balancer

# A call is overdue after this multiple of its route's usual time, but not
# before the minimum: a queue at a busy server takes some hundred ms.
_OVERDUE_FACTOR = 6.0
_MIN_OVERDUE_MS = 350
# Gateways that must report a server, if there are as many.
_MIN_GATEWAYS = 2
# Lifetime of a gateway's report.
_REPORT_LIFETIME_MS = 2_000
# Lifetime of an answer at the leader, from the sending of its call. An overdue
# call is reported until its deadline, which is some seconds later.
_ANSWER_LIFETIME_MS = 30_000
_ANSWER_PRUNE_INTERVAL_MS = 1_000
# A cancelled call that lost against a second attempt is reported for this long
# once it is overdue, as its server may hang.
_ABANDONED_REPORT_MS = 1_000
# Answers that one report lists at most.
_MAX_REPORTED_ANSWERS = 64


@dataclasses.dataclass
class _PendingCall:
    """A call without an answer yet.

    Attributes:
        overdue_ms: Time from which the call is overdue.
        is_contradicted: Whether an answer to a later call was found to
            contradict that the server is unresponsive.
        is_abandoned: Whether the gateway cancelled it, as another server
            answered first. Whether the server would have answered is unknown.
    """

    server: str
    sent_ms: int
    overdue_ms: float
    is_contradicted: bool = False
    is_abandoned: bool = False


@dataclasses.dataclass(frozen=True)
class PreventedEjection:
    """An overdue call whose server is not ejected, as it answered a later one.

    Attributes:
        call: Key of the overdue call at its gateway; empty at the leader.
        call_age_ms: Time since the overdue call was sent.
        answered_age_ms: Time since the answered call was sent.
        gateways: Number of gateways that reported the server; 0 at a gateway.
    """

    server: str
    call: str
    call_age_ms: int
    answered_age_ms: int
    gateways: int = 0


class PendingCalls:
    """Unanswered calls of one gateway to application services."""

    def __init__(self) -> None:
        self._calls: dict[str, _PendingCall] = {}
        # Time at which the latest answered call was sent, by server.
        self._answered_sent_ms: dict[str, int] = {}
        self._unreported_answers: set[str] = set()
        self._prevented: list[PreventedEjection] = []

    def add(self, key: str, server: str, usual_ms: float, now_ms: int) -> None:
        """Adds a call that was sent."""
        timeout_ms = max(_MIN_OVERDUE_MS, _OVERDUE_FACTOR * usual_ms)
        self._calls[key] = _PendingCall(server, now_ms, now_ms + timeout_ms)

    def remove(self, key: str) -> None:
        """Removes a call that was answered or given up."""
        self._calls.pop(key, None)

    def abandon(self, key: str) -> None:
        """Marks a call as cancelled because another server answered first.

        It is reported to the leader if it becomes overdue, so that hedged
        calls don't hide a server that answers none. This gateway alone doesn't
        eject the server for it.
        """
        call = self._calls.get(key)
        if call is not None:
            call.is_abandoned = True

    def record_answer(self, key: str) -> None:
        """Removes a call that the server ran and answered."""
        call = self._calls.pop(key, None)
        if call is None:
            return
        known_ms = self._answered_sent_ms.get(call.server, call.sent_ms)
        self._answered_sent_ms[call.server] = max(known_ms, call.sent_ms)
        self._unreported_answers.add(call.server)

    def forget(self, server: str) -> None:
        """Removes the answers of a server that is gone."""
        self._answered_sent_ms.pop(server, None)
        self._unreported_answers.discard(server)

    def overdue_servers(self, now_ms: int) -> set[str]:
        """Returns the servers that have an overdue call and no later answer.

        Abandoned calls don't count.
        """
        overdue = self._find_overdue(now_ms)
        return {call.server for call in overdue if not call.is_abandoned}

    def overdue_ages_ms(self, now_ms: int) -> dict[str, int]:
        """Returns the servers to report, also those with abandoned calls.

        Returns:
            For each server, the time since its latest overdue call was sent.
        """
        ages_ms: dict[str, int] = {}
        for call in self._find_overdue(now_ms):
            age_ms = now_ms - call.sent_ms
            ages_ms[call.server] = min(ages_ms.get(call.server, age_ms), age_ms)
        return ages_ms

    def _find_overdue(self, now_ms: int) -> list[_PendingCall]:
        """Returns overdue calls to servers that answered no later call."""
        overdue, expired = [], []
        for key, call in self._calls.items():
            if call.overdue_ms > now_ms:
                continue
            if call.is_abandoned and (
                call.overdue_ms + _ABANDONED_REPORT_MS <= now_ms
            ):
                expired.append(key)
                continue
            answered_ms = self._answered_sent_ms.get(call.server)
            if answered_ms is None or answered_ms <= call.sent_ms:
                overdue.append(call)
            elif not call.is_contradicted:
                call.is_contradicted = True
                self._record_prevented(key, call, answered_ms, now_ms)
        for key in expired:
            del self._calls[key]
        return overdue

    def _record_prevented(
        self, key: str, call: _PendingCall, answered_ms: int, now_ms: int
    ) -> None:
        if call.is_abandoned:
            return
        self._prevented.append(
            PreventedEjection(
                call.server, key, now_ms - call.sent_ms, now_ms - answered_ms
            )
        )

    @property
    def has_answers(self) -> bool:
        """Whether servers have answered since `take_answers`."""
        return bool(self._unreported_answers)

    def take_answers(self) -> dict[str, int]:
        """Returns the servers that answered since the last time.

        Returns:
            For each server, the time at which the latest answered call was
            sent. Of too many, the rest is left for the next time.
        """
        latest = sorted(
            self._unreported_answers,
            key=lambda server: -self._answered_sent_ms[server],
        )[:_MAX_REPORTED_ANSWERS]
        self._unreported_answers.difference_update(latest)
        return {server: self._answered_sent_ms[server] for server in latest}

    def take_prevented(self) -> list[PreventedEjection]:
        """Returns the ejections prevented since the last time."""
        prevented, self._prevented = self._prevented, []
        return prevented


def eject_unresponsive(
    balancer: Balancer,
    unresponsive: Collection[str],
    servers: Collection[Instance],
    now_ms: int,
    until_ms: int,
) -> None:
    """Ejects the unresponsive servers of a service from a balancer.

    At most half of the ready servers are ejected at once. If more than half
    are unresponsive, none is: they are overloaded, and each ejection would
    overload the others until all had been ejected in turn.

    Args:
        balancer: Balancer of the gateway.
        unresponsive: IDs of unresponsive servers, also of other services.
        servers: Servers of the service.
        now_ms: Monotonic time.
        until_ms: End of the ejection.
    """
    ready = [server for server in servers if server.state is ServerState.READY]
    found = [server.id for server in ready if server.id in unresponsive]
    if 2 * len(found) > len(ready):
        return
    ejected = balancer.ejected_servers(ready, now_ms)
    free_ejections = len(ready) // 2 - len(ejected.difference(found))
    found.sort(key=lambda server: server not in ejected)
    for server in found[: max(0, free_ejections)]:
        balancer.eject_until(server, until_ms)


@dataclasses.dataclass(frozen=True)
class _Report:
    """A gateway's report of a server, in the leader's time.

    Attributes:
        at_ms: Arrival of the report.
        sent_ms: Time at which the overdue call was sent.
    """

    at_ms: int
    sent_ms: int


class UnresponsiveServers:
    """Collects the gateways' reports of unresponsive servers on the leader."""

    def __init__(self) -> None:
        self._reports: dict[str, dict[str, _Report]] = collections.defaultdict(
            dict
        )
        self._answered_sent_ms: dict[str, int] = {}
        self._answers_pruned_ms = 0
        self._contradicted: set[str] = set()
        self._prevented: list[PreventedEjection] = []

    def reset(self) -> None:
        """Clears all reports."""
        self._reports.clear()
        self._answered_sent_ms.clear()
        self._contradicted.clear()

    def report(
        self,
        gateway: str,
        servers: Collection[str],
        now_ms: int,
        ages_ms: Mapping[str, int] | None = None,
    ) -> None:
        """Records the servers that a gateway finds unresponsive.

        Args:
            gateway: The reporting gateway.
            servers: IDs of the servers.
            now_ms: Monotonic time.
            ages_ms: Time since the overdue call to each server was sent. A
                gateway of an earlier release sends none; its calls are at least
                as old as the shortest time after which a call is overdue.
        """
        ages_ms = ages_ms or {}
        for server in servers:
            age_ms = max(0, ages_ms.get(server, _MIN_OVERDUE_MS))
            self._reports[server][gateway] = _Report(now_ms, now_ms - age_ms)

    def record_answers(self, ages_ms: Mapping[str, int], now_ms: int) -> None:
        """Records servers that answered a gateway.

        Args:
            ages_ms: Time since the answered call to each server was sent.
            now_ms: Monotonic time.
        """
        for server, age_ms in ages_ms.items():
            sent_ms = now_ms - max(0, age_ms)
            known_ms = self._answered_sent_ms.get(server, sent_ms)
            self._answered_sent_ms[server] = max(known_ms, sent_ms)

    def confirmed(self, gateways: int, now_ms: int) -> list[str]:
        """Returns the servers that enough gateways have reported.

        Args:
            gateways: Number of gateways.
            now_ms: Monotonic time.
        """
        self._remove_expired(now_ms)
        required = min(_MIN_GATEWAYS, max(1, gateways))
        confirmed, contradicted = [], set()
        for server, reports in self._reports.items():
            answered_ms = self._answered_sent_ms.get(server)
            valid = [
                report
                for report in reports.values()
                if answered_ms is None or answered_ms <= report.sent_ms
            ]
            if len(valid) >= required:
                confirmed.append(server)
            elif answered_ms is not None and len(reports) >= required:
                contradicted.add(server)
                if server not in self._contradicted:
                    self._record_prevented(server, answered_ms, now_ms)
        self._contradicted = contradicted
        return sorted(confirmed)

    def take_prevented(self) -> list[PreventedEjection]:
        """Returns the ejections prevented since the last time."""
        prevented, self._prevented = self._prevented, []
        return prevented

    def _record_prevented(
        self, server: str, answered_ms: int, now_ms: int
    ) -> None:
        reports = self._reports[server].values()
        latest_ms = max(r.sent_ms for r in reports if r.sent_ms < answered_ms)
        self._prevented.append(
            PreventedEjection(
                server,
                "",
                now_ms - latest_ms,
                now_ms - answered_ms,
                len(reports),
            )
        )

    def _remove_expired(self, now_ms: int) -> None:
        oldest_ms = now_ms - _REPORT_LIFETIME_MS
        for server, reports in list(self._reports.items()):
            recent = {g: r for g, r in reports.items() if r.at_ms >= oldest_ms}
            if recent:
                self._reports[server] = recent
            else:
                del self._reports[server]
        if now_ms - self._answers_pruned_ms < _ANSWER_PRUNE_INTERVAL_MS:
            return
        self._answers_pruned_ms = now_ms
        oldest_ms = now_ms - _ANSWER_LIFETIME_MS
        self._answered_sent_ms = {
            server: sent_ms
            for server, sent_ms in self._answered_sent_ms.items()
            if sent_ms >= oldest_ms
        }
