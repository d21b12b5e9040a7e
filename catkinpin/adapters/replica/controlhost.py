"""Holds a replica's copy of the control group's state.

While the replica leads the group, it also answers the group's requests.
"""

from __future__ import annotations

import itertools
import logging
from typing import TYPE_CHECKING, Any

from catkinpin import codec
from catkinpin.core import messages
from catkinpin.core.operations import (
    changes,
    control,
    leader,
    plans,
    snapshot,
    usage,
)
from catkinpin.core.programs import sharding
from catkinpin.exceptions import PeerLostError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from catkinpin.adapters.peers import links
    from catkinpin.adapters.replica.context import ReplicaContext

log = logging.getLogger(__name__)

_decoder = codec.decoder(changes.ControlRecord)
_QUARANTINE_TIMEOUT_S = 30.0


class ControlHost:
    """Holds the group's state; answers requests while the replica leads.

    Attributes:
        state: this replica's copy of the state.
        leader: handles requests; None while another replica leads the group.
        group: this replica's part in the group's consensus.
    """

    def __init__(self, replica: ReplicaContext) -> None:
        self._replica = replica
        self._changed_facts: dict[str, changes.ServerFacts] = {}
        self.state = control.ControlState()
        self.leader: leader.ControlLeader | None = None
        self.group = replica.node.add_group(sharding.CONTROL_GROUP, self)

    def handle(self, stream: links.Stream, message: Any) -> None:
        """Handles a request of a process to the control group."""
        if self.leader is None or not self.group.is_leader():
            stream.send(
                messages.NotLeader(
                    ask=message.ask,
                    group=self.group.name,
                    leader=self.group.leader,
                )
            )
            return
        clock = self._replica.clock
        info = _process_info(stream)
        self._run_commands(
            self.leader.handle(info, message, clock.now_ms(), clock.wall_ms())
        )

    def tick(self) -> None:
        """Lets the leader propose changed facts and continue plans."""
        changed_facts, self._changed_facts = self._changed_facts, {}
        if self.leader is None or not self.group.is_leader():
            return
        clock = self._replica.clock
        commands = self.leader.tick(clock.now_ms(), clock.wall_ms())
        facts = list(changed_facts.values())
        commands += self.leader.propose_server_facts(facts, clock.wall_ms())
        self._run_commands(commands)

    def handle_reports(self, reports: Iterable[messages.ServerReport]) -> None:
        """Queues the facts that changed in reports of backend servers."""
        if self.leader is None:
            return
        for report in reports:
            facts = _server_facts(report)
            if self.state.servers.get(report.server) != facts:
                self._changed_facts[report.server] = facts

    def remove_process(self, stream: links.Stream) -> None:
        """Records that a process has no stream to this replica any more."""
        if self.leader is not None and stream.hello is not None:
            self.leader.connected.pop(stream.hello.incarnation, None)

    async def quarantine(self, fingerprint: bytes, reason: str) -> bool:
        """Asks the group's leader to quarantine a request's content.

        Returns:
            Whether the quarantine is in the log; False if no leader answered.
        """

        def make_request(ask: int) -> changes.Quarantine:
            return changes.Quarantine(
                ask=ask, fingerprint=fingerprint, reason=reason
            )

        try:
            await self._replica.replicas.ask(
                self.group.name, make_request, _QUARANTINE_TIMEOUT_S
            )
        except PeerLostError as exc:
            log.error("content not quarantined: %s", exc)
            return False
        return True

    def apply(self, index: int, payload: bytes) -> None:
        """Applies a committed record; the leader answers waiting requests."""
        record = _decoder.decode(payload)
        old_revision = self.state.revision
        outcome = self.state.apply(index, record)
        if self.state.revision != old_revision:
            self._replica.configuration_changed(self.state.cfg)
        if self.leader is not None:
            now_ms = self._replica.clock.now_ms()
            commands = self.leader.answer_waiters(record, outcome, now_ms)
            if self.state.revision != old_revision:
                commands += self.leader.push_update(old_revision)
            self._run_commands(commands)

    def leadership_changed(self, leading: bool) -> None:
        """Starts or stops leading; redirects waiting requests on a change."""
        if self.leader is not None:
            for command in self.leader.redirect_waiters():
                self._run_commands([command])
        self.leader = None
        if leading:
            now_ms = self._replica.clock.now_ms()
            self.leader = leader.ControlLeader(
                self.state, now_ms, self._cluster_view
            )

    def snapshot(self) -> bytes:
        """Returns the encoded state."""
        return snapshot.encode_state(self.state)

    def restore(self, data: bytes) -> None:
        """Replaces the state by a snapshot."""
        old_revision = self.state.revision
        self.state = snapshot.decode_state(data)
        if self.state.revision != old_revision:
            self._replica.configuration_changed(self.state.cfg)

    def referenced(self) -> list[int]:
        """Returns no index, since the state refers to no record of the log."""
        return []

    def _run_commands(self, commands: list[leader.Command]) -> None:
        for command in commands:
            match command:
                case leader.Propose():
                    self.group.propose(codec.encode(command.record))
                case leader.Send():
                    self._replica.send_to(command.to, command.message)

    def _cluster_view(self) -> plans.ClusterView:
        programs = itertools.chain.from_iterable(
            host.state.programs.values()
            for host in self._replica.shards.values()
        )
        cfg = self.state.cfg
        now_ms = self._replica.clock.now_ms()
        view = self._replica.view
        reports = [server.report for server in view.servers.values()]
        return plans.ClusterView(
            cfg=cfg,
            revision=self.state.revision,
            revision_of=self.state.revision_of,
            servers=sorted(reports, key=lambda report: report.server),
            usage=usage.summarize_usage(programs, cfg),
            silent=frozenset(view.silent_servers(now_ms)),
        )


def _process_info(stream: links.Stream) -> changes.ProcessInfo:
    """Returns the description of the process at a stream's other end."""
    hello = stream.hello
    assert hello is not None
    return changes.ProcessInfo(
        process=hello.process,
        incarnation=hello.incarnation,
        role=hello.role,
        address=hello.address,
        domain=hello.domain,
        region=hello.region,
    )


def _server_facts(report: messages.ServerReport) -> changes.ServerFacts:
    """Returns the facts in a report that the log must store.

    They must survive a change of the leader.
    """
    return changes.ServerFacts(
        server=report.server,
        incarnation=report.incarnation,
        address=report.address,
        domain=report.domain,
        region=report.region,
        leaving=report.leaving,
        honours_fencing=report.honours_fencing,
        checks_sender=report.checks_sender,
    )
