"""The keeper process.

It runs a replica of the control group, stores turns' bytes, and restores lost
copies of them.
"""

from __future__ import annotations

import asyncio
import logging
import uuid
from typing import TYPE_CHECKING, Any

from catkinpin import clock, decisions, exits
from catkinpin.adapters.disk.turnbytes import TurnBytes
from catkinpin.adapters.http import draining
from catkinpin.adapters.http.server import HttpServer
from catkinpin.adapters.keeper import (
    host,
    nodeconfig,
    orphans,
    publisher,
    repair,
)
from catkinpin.adapters.keeper.asks import AskHandler
from catkinpin.adapters.keeper.host import Undecided
from catkinpin.adapters.keeper.quarantines import QuarantineDecider
from catkinpin.adapters.keeper.turns import TurnRequests
from catkinpin.adapters.keeper.unkept import UnkeptLosses
from catkinpin.adapters.peers import keepers, links, peerserver
from catkinpin.adapters.replica import mesh, node, transport
from catkinpin.adapters.store.turnserver import TurnServer
from catkinpin.adapters.tasks import BackgroundTasks, keep_running
from catkinpin.core import messages
from catkinpin.core.control import protocol, routes
from catkinpin.core.control.quotas import QuotaTolerance
from catkinpin.core.placement.contention import ContendedServices
from catkinpin.exceptions import PeerLostError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from catkinpin.adapters.http.server import Request, Responder
    from catkinpin.adapters.replica.groups import Group
    from catkinpin.core.control.routes import Routing
    from catkinpin.core.control.servers import Instance
    from catkinpin.core.control.state import SuspectChange
    from catkinpin.core.tolerance import Tolerance
    from catkinpin.roles import KeeperSettings

    ControlHandler = Callable[
        ["Keeper"], Callable[[Request, Responder], Awaitable[None]]
    ]

log = logging.getLogger(__name__)

ROLE = publisher.KEEPER_ROLE
_CONTROL_GROUP = "control"
_TICK_INTERVAL_S = 0.1
# Between checks whether the state is current, while it is not.
_CURRENCY_INTERVAL_S = 0.01
# Ticks between searches for lost copies; a scan of 10,000 turns takes some ms.
_TICKS_PER_REPAIR = 5
# Ticks between commits of the use of plain requests. Use that a leader has not
# committed is lost with it.
_TICKS_PER_USE_COMMIT = 5
# Ticks between updates of what gateways know of this keeper: the number of
# gateways, by which they divide the servers' limits, and the stores.
_TICKS_PER_INFO = 10
# Ticks between states of the feed. A gateway replaces a keeper from which none
# came for 1.2 s.
_TICKS_PER_FEED_STATE = 5
# Longest wait for a quorum: an election and a round trip between regions.
_COMMIT_TIMEOUT_S = 1.5
# Time for answering a call that waited for one in vain, before a stop.
_ANSWER_TIME_S = 0.2


class Keeper:
    """A keeper process and its components.

    Args:
        cfg: the settings.
        regions: region of each failure domain.
        control: returns the HTTP handler of calls by servers and operators.
    """

    def __init__(
        self,
        cfg: KeeperSettings,
        regions: dict[str, str],
        control: ControlHandler,
    ) -> None:
        self.cfg = cfg
        self.clock = clock.system_clock()
        self.incarnation = uuid.uuid4().hex[:12]
        self.address = cfg.peer_listen
        self.node = node.Node(
            nodeconfig.node_config(cfg),
            self._handle_leader_change,
            exits.exit_immediately,
            on_slow_disk=_note_slow_disk,
            on_disk_full_changed=_note_full_disk,
        )
        self.host = self._new_host()
        self.host.group = self.node.add_group(_CONTROL_GROUP, self.host)
        self.turn_bytes = self._open_turn_bytes()
        self.other_hosts = keepers.Keepers(
            self._hello(ROLE), self._on_keeper_message
        )
        self._peer_server = peerserver.PeerServer(
            protocol.ToKeeper | transport.ReplicaMessage,
            self._on_message,
            lambda stream: self._publisher.drop_stream(stream),
            link="from-keeper",
        )
        self._http = HttpServer(control(self))
        self._tasks = BackgroundTasks()
        self._turn_server = TurnServer(
            self.turn_bytes, self.other_hosts, exits.exit_immediately
        )
        self._publisher = publisher.Publisher(
            cfg, self.node, self.host, self._peer_server
        )
        self._copy_repair = repair.CopyRepair(
            cfg,
            self.node.identity,
            self.clock,
            self.host,
            self.other_hosts,
            self._turn_server,
            _COMMIT_TIMEOUT_S,
        )
        self._unkept_losses = self._new_unkept_losses()
        self._turn_requests = self._new_turn_requests(regions)
        self._quarantines = QuarantineDecider(self.host, self.clock)
        self._ask_handler = self._new_ask_handler()

    def _open_turn_bytes(self) -> TurnBytes:
        with self.node.storage.closed_on_error():
            self.node.sync()
            return TurnBytes(self.cfg.data_folder / "turns")

    def _new_host(self) -> host.KeeperHost:
        return host.KeeperHost(
            self.clock,
            self.incarnation,
            self.cfg.silent_server_ms,
            QuotaTolerance(
                self.cfg.quota_window_ms,
                self.cfg.quota_overage,
                self.cfg.quota_slack,
            ),
            self._handle_routing_change,
            self._handle_server_changes,
            self._handle_expired_turns,
            self._handle_suspect_change,
            self._handle_restored_state,
        )

    def _new_turn_requests(self, regions: dict[str, str]) -> TurnRequests:
        return TurnRequests(
            self.host,
            regions,
            self.clock,
            _COMMIT_TIMEOUT_S,
            ContendedServices(configured=self.cfg.contended_capacity),
            self.cfg.account_weights,
        )

    def _new_unkept_losses(self) -> UnkeptLosses:
        return UnkeptLosses(
            self.clock,
            {
                "copies of turns": self._copy_repair.unkept_losses,
                "voters": self.host.group.unkept_losses,
            },
            self.cfg.catch_up_ms,
        )

    def _new_ask_handler(self) -> AskHandler:
        return AskHandler(
            self.host,
            self._quarantines,
            self._publisher,
            self._turn_requests,
            self._copy_repair,
            self._turn_server,
            self.clock,
            _COMMIT_TIMEOUT_S,
        )

    def _hello(self, role: str) -> messages.Hello:
        return messages.Hello(
            process=self.node.identity,
            incarnation=self.incarnation,
            role=role,
            address=self.address,
            domain=self.cfg.failure_domain,
            region=self.cfg.region,
        )

    async def start(self) -> None:
        """Starts the replica of the control group, and listens."""
        self.node.start(self._hello(mesh.ROLE))
        await self._peer_server.start(self.address)
        self.other_hosts.set_seeds(self.cfg.seeds)
        # The other hosts need this keeper, even if its port for servers and
        # operators is in use.
        self._tasks.spawn(self._http.start(self.cfg.listen))
        await asyncio.sleep(0)
        self._tasks.spawn(keep_running(self._run_periodic_work))
        self._tasks.spawn(keep_running(self._publish_currency))
        self._tasks.spawn(keep_running(self._drop_orphaned_bytes))
        decisions.note(
            "start",
            "",
            identity=self.node.identity,
            address=self.address,
            first_start=self.cfg.first_start,
            seeds=list(self.cfg.seeds),
        )

    async def stop(self) -> None:
        """Hands leadership over and stops the process."""
        decisions.note("stop", "", led=self.host.leading)
        await draining.drain(self._http, _COMMIT_TIMEOUT_S + _ANSWER_TIME_S)
        await self.node.stop()
        await self._http.stop()
        self._tasks.cancel()
        await self.other_hosts.stop()
        await self._peer_server.stop()
        self.turn_bytes.close()

    def set_seeds(self, seeds: list[str]) -> None:
        """Connects to the seeds of changed settings."""
        decisions.note("reload", "", seeds=seeds)
        self.other_hosts.set_seeds(seeds)
        for address in seeds:
            self.node.connect_to(address)

    def set_tolerance(self, tolerance: Tolerance) -> None:
        """Repairs copies and chooses voters so that other losses are survived.

        What is stored already is moved to where it must be as well.
        """
        decisions.note("reload", "", **tolerance.described())
        self.node.placement.tolerance = tolerance
        self._copy_repair.tolerance = tolerance

    # Calls by servers and operators, which any keeper takes.

    async def announce(self, instance: Instance) -> str:
        """Handles a server's announcement.

        Returns:
            Why it is not committed, or "" if it is.
        """
        outcome = await self.host.announce(instance, _COMMIT_TIMEOUT_S)
        if outcome is None:
            return ""
        try:
            await self.other_hosts.ask_leader(
                lambda ask: protocol.AskAnnounce(ask=ask, instance=instance),
                _COMMIT_TIMEOUT_S,
            )
        except PeerLostError as exc:
            return str(exc)
        return ""

    async def set_routing(self, document: Routing) -> str:
        """Puts routes in force.

        Returns:
            Why they are not in force, or "" if they are.
        """
        routing = routes.pack(document)
        outcome = await self.host.set_routing(routing, _COMMIT_TIMEOUT_S)
        why = ""
        if outcome is not None:
            try:
                await self.other_hosts.ask_leader(
                    lambda ask: protocol.AskRouting(ask=ask, routing=routing),
                    _COMMIT_TIMEOUT_S,
                )
            except PeerLostError as exc:
                why = str(exc)
        decisions.note(
            "routing",
            "",
            version=routing.version,
            held=self.host.state.version,
            outcome=why or "in force, or held already",
        )
        return why

    async def current_routing(self) -> Routing | Undecided | None:
        """Returns the newest committed routes, None if there are none."""
        packed = self.host.state.routing
        if not self.host.holds_lease():
            try:
                reply = await self.other_hosts.ask_leader(
                    lambda ask: protocol.AskCurrent(ask=ask), _COMMIT_TIMEOUT_S
                )
            except PeerLostError as exc:
                return Undecided(str(exc))
            packed = reply.routing
        return routes.unpack(packed) if packed is not None else None

    @property
    def leader(self) -> str:
        """Peer address of the leader, "" while it is unknown."""
        return self.host.group.leader

    # Messages of other processes.

    def _on_message(self, stream: links.Stream, message: Any) -> None:
        if stream.hello is None:
            return
        if stream.hello.role == mesh.ROLE:
            if isinstance(message, messages.Hello):
                self.node.handle_hello(message)
            else:
                self.node.handle(message)
            return
        if isinstance(message, messages.Hello):
            self._publisher.send_state(stream)
            return
        if isinstance(message, protocol.Subscribe):
            self._publisher.subscribe(stream, active=message.active)
            return
        if isinstance(message, protocol.GroupSeen):
            self.node.record_system_known(stream.hello.process)
            return
        self._tasks.spawn(self._ask_handler.answer(stream, message))

    def _on_keeper_message(self, _host: keepers.Host, message: Any) -> None:
        if isinstance(
            message, protocol.UnresponsiveUpdate | protocol.QuarantineUpdate
        ):
            self._publisher.relay(message)

    # Stores.

    async def retire(
        self, name: str, *, begin: bool
    ) -> protocol.Retirement | Undecided:
        """Begins to empty a store, or only returns how far that is.

        Args:
            name: of the store.
            begin: whether to begin, if the store is not being emptied yet.
        """
        if self.host.holds_lease():
            return await self._ask_handler.retire(name, begin=begin)
        try:
            reply: protocol.Retirement = await self.other_hosts.ask_leader(
                lambda ask: protocol.AskRetire(ask=ask, name=name, begin=begin),
                _COMMIT_TIMEOUT_S,
            )
        except PeerLostError as exc:
            return Undecided(str(exc))
        return reply

    # Changes to publish.

    def _handle_leader_change(self, group: Group) -> None:
        decisions.note("leader", "", address=group.leader, term=group.term)
        self._turn_requests.reset()
        self._unkept_losses.reset()
        self._publisher.publish_status()

    def _handle_routing_change(self) -> None:
        self._turn_requests.admission.retain_accounts(self.host.account_names)
        self._publisher.publish_routing()

    def _handle_server_changes(self, instances: list[Instance]) -> None:
        self._turn_requests.handle_server_changes(instances)
        self._publisher.publish_servers(instances)

    def _handle_suspect_change(self, change: SuspectChange) -> None:
        is_leader = self.host.holds_lease()
        if is_leader and change.lifted:
            decisions.note("quarantine-lifted", "", contents=change.lifted)
        if is_leader and change.lapsed:
            decisions.note("quarantine-lapsed", "", contents=change.lapsed)
        self._publisher.publish_suspects(change, is_leader=is_leader)

    def _handle_restored_state(self) -> None:
        self._publisher.replace_feed()

    def _handle_expired_turns(self, attempts: list[str]) -> None:
        self.turn_bytes.drop(attempts)
        if self.host.leading:
            self._publisher.publish_expired(attempts)

    async def _run_periodic_work(self) -> None:
        """Publishes changes; while leading, also detects losses and repairs."""
        ticks = 0
        while True:
            await asyncio.sleep(_TICK_INTERVAL_S)
            self.other_hosts.tick()
            self._publisher.send_to_slow_gateways()
            ticks += 1
            if ticks % _TICKS_PER_INFO == 0:
                self._publisher.publish_changed_info()
            if ticks % _TICKS_PER_FEED_STATE == 0:
                self._publisher.publish_feed_state()
            if not self.host.holds_lease():
                continue
            self._turn_requests.admission.update_shares()
            self._tasks.spawn(self._quarantines.update(_COMMIT_TIMEOUT_S))
            for lost in self.host.lost_servers():
                self._tasks.spawn(self.host.announce(lost, _COMMIT_TIMEOUT_S))
            if ticks % _TICKS_PER_USE_COMMIT == 0:
                self._tasks.spawn(self.host.commit_use(_COMMIT_TIMEOUT_S))
            if ticks % _TICKS_PER_REPAIR == 0:
                self._tasks.spawn(self._copy_repair.repair())
                self._unkept_losses.update()

    async def _publish_currency(self) -> None:
        """Publishes whether this keeper's state is known to be current.

        Gateways that have just started serve nobody before a keeper's state is,
        so a keeper that waits for that checks it more often.
        """
        was_current = False
        while True:
            await asyncio.sleep(
                _TICK_INTERVAL_S if was_current else _CURRENCY_INTERVAL_S
            )
            is_current = self.host.group.is_current()
            if is_current != was_current:
                was_current = is_current
                self._publisher.publish_status()
                self._publisher.publish_routing()
                self._publisher.publish_feed_state()

    async def _drop_orphaned_bytes(self) -> None:
        await orphans.drop_periodically(self.host, self.turn_bytes)


def _note_full_disk(full: bool) -> None:
    decisions.note("disk", "", full=full)


def _note_slow_disk(group: Group) -> None:
    decisions.note("handover", "", reason="slow disk", term=group.term)
