"""The control group in a replica: its log, its state, its leader's part."""

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
    """The control group's state, and what its leader answers."""

    def __init__(self, replica: ReplicaContext) -> None:
        self._replica = replica
        self._reported: dict[str, changes.ServerFacts] = {}
        self.state = control.ControlState()
        self.leader: leader.ControlLeader | None = None
        self.group = replica.node.add_group(sharding.CONTROL_GROUP, self)

    def handle(self, stream: links.Stream, message: Any) -> None:
        """Takes a process's message for the control group."""
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
        info = process_info(stream)
        self._run(
            self.leader.handle(info, message, clock.now_ms(), clock.wall_ms())
        )

    def tick(self) -> None:
        """Lets the leader register what is new and carry plans on."""
        reported, self._reported = self._reported, {}
        if self.leader is None or not self.group.is_leader():
            return
        clock = self._replica.clock
        commands = self.leader.tick(clock.now_ms(), clock.wall_ms())
        facts = list(reported.values())
        commands += self.leader.propose_server_facts(facts, clock.wall_ms())
        self._run(commands)

    def reported(self, reports: Iterable[messages.ServerReport]) -> None:
        """Notes the hard facts in reports of backend servers."""
        if self.leader is None:
            return
        for report in reports:
            facts = server_facts(report)
            if self.state.servers.get(report.server) != facts:
                self._reported[report.server] = facts

    def disconnected(self, stream: links.Stream) -> None:
        """Notes that a process has no stream to here any more."""
        if self.leader is not None and stream.hello is not None:
            self.leader.connected.pop(stream.hello.incarnation, None)

    async def quarantine(self, fingerprint: bytes, reason: str) -> bool:
        """Quarantines a request's content through whoever leads the group.

        Returns:
            Whether it stands in the log; False where no leader answered.
        """

        def make(ask: int) -> changes.Quarantine:
            return changes.Quarantine(
                ask=ask, fingerprint=fingerprint, reason=reason
            )

        try:
            await self._replica.replicas.ask(
                self.group.name, make, _QUARANTINE_TIMEOUT_S
            )
        except PeerLostError as exc:
            log.error("not quarantined: %s", exc)
            return False
        return True

    def apply(self, index: int, payload: bytes) -> None:
        """Applies a committed record; the leader answers who waits for it."""
        record = _decoder.decode(payload)
        before = self.state.revision
        outcome = self.state.apply(index, record)
        if self.state.revision != before:
            self._replica.configuration_changed(self.state.cfg)
        if self.leader is not None:
            now = self._replica.clock.now_ms()
            commands = self.leader.answer_waiters(record, outcome, now)
            if self.state.revision != before:
                commands += self.leader.push_update(before)
            self._run(commands)

    def leadership(self, leading: bool) -> None:
        """Takes up or lays down the leader's part."""
        if self.leader is not None:
            for command in self.leader.redirect_waiters():
                self._run([command])
        self.leader = None
        if leading:
            now = self._replica.clock.now_ms()
            self.leader = leader.ControlLeader(self.state, now, self._look)

    def snapshot(self) -> bytes:
        """Returns the state."""
        return snapshot.encode_state(self.state)

    def restore(self, data: bytes) -> None:
        """Replaces the state by a snapshot."""
        before = self.state.revision
        self.state = snapshot.decode_state(data)
        if self.state.revision != before:
            self._replica.configuration_changed(self.state.cfg)

    def referenced(self) -> list[int]:
        """Returns the log indexes whose records are still read: none."""
        return []

    def _run(self, commands: list[leader.Command]) -> None:
        for command in commands:
            match command:
                case leader.Propose():
                    self.group.propose(codec.encode(command.record))
                case leader.Send():
                    self._replica.send_to(command.to, command.message)

    def _look(self) -> plans.ClusterView:
        programs = itertools.chain.from_iterable(
            host.state.programs.values()
            for host in self._replica.shards.values()
        )
        cfg = self.state.cfg
        now = self._replica.clock.now_ms()
        view = self._replica.view
        reports = [server.report for server in view.servers.values()]
        return plans.ClusterView(
            cfg=cfg,
            revision=self.state.revision,
            revision_of=self.state.revision_of,
            servers=sorted(reports, key=lambda report: report.server),
            usage=usage.summarize_usage(programs, cfg),
            silent=frozenset(view.silent_servers(now)),
        )


def process_info(stream: links.Stream) -> changes.ProcessInfo:
    """Returns the process at the other end of a stream."""
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


def server_facts(report: messages.ServerReport) -> changes.ServerFacts:
    """Returns what of a report must outlive the leader."""
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
