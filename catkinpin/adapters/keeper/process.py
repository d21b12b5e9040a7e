"""The keeper process: the control group, turns' bytes, and their repair."""

from __future__ import annotations

import asyncio
import logging
import uuid
from typing import TYPE_CHECKING, Any

from catkinpin import clock, decisions, exits
from catkinpin.adapters.disk.turnbytes import TurnBytes
from catkinpin.adapters.http.server import HttpServer
from catkinpin.adapters.keeper import host, publisher, repair
from catkinpin.adapters.keeper.asks import Asks
from catkinpin.adapters.keeper.host import NotLeading
from catkinpin.adapters.keeper.turns import TurnRequests
from catkinpin.adapters.peers import keepers, links
from catkinpin.adapters.replica import mesh, node, transport
from catkinpin.adapters.replica.config import NodeConfig
from catkinpin.adapters.replica.founding import Joining
from catkinpin.adapters.store.turnserver import TurnServer
from catkinpin.adapters.tasks import Tasks
from catkinpin.core import messages
from catkinpin.core.consensus.state import Timing
from catkinpin.core.control import protocol, routes
from catkinpin.core.control.quotas import QuotaTolerance
from catkinpin.exceptions import PeerLostError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from catkinpin.adapters.http.server import Request, Responder
    from catkinpin.adapters.replica.groups import Group
    from catkinpin.core.control.routes import Routing
    from catkinpin.core.control.servers import Instance
    from catkinpin.roles import KeeperSettings

    ControlHandler = Callable[
        ["Keeper"], Callable[[Request, Responder], Awaitable[None]]
    ]

log = logging.getLogger(__name__)

ROLE = "keeper"
_GROUP = "control"
_TICK_S = 0.1
# Some minutes of records; most of a keeper's disk is for turns' bytes.
_SEGMENT_BYTES = 8 * 1024 * 1024
# All turns wait for an election, and a short program's slack is some 500 ms.
# Between regions a heartbeat takes 16 ms there and back, a slow disk's sync
# 150 ms: an election on either's account would cost more than it saves.
_TIMING = Timing(
    heartbeat_interval_ms=50, election_timeout_ms=400, lease_ms=330
)
# A lost disk is looked for so often; a scan of 10,000 turns takes some ms.
_REPAIR_TICKS = 5
# Plain requests are logged so often; a leader that is lost takes with it what
# came since.
_USE_TICKS = 5
# Gateways learn how many they are so often.
_COUNT_TICKS = 10
# Bytes without a turn go after two rounds: longer than any turn lasts.
_FORGET_S = 20.0
# Longest wait for a quorum: an election and twice the way between regions.
_COMMIT_S = 1.5


class Keeper:
    """A keeper process and its parts.

    Args:
        cfg: the settings.
        regions: region of each failure domain.
        control: returns the handler of servers' and operators' calls.
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
            _node_config(cfg),
            self._leader_changed,
            exits.exit_immediately,
            on_slow_disk=_note_slow_disk,
            on_full_disk=_note_full_disk,
        )
        self.bytes = TurnBytes(cfg.data_folder / "turns")
        self.host = self._new_host()
        self.host.group = self.node.add_group(_GROUP, self.host)
        self.others = keepers.Keepers(self._hello(ROLE))
        self._peers = links.PeerServer(
            protocol.ToKeeper | transport.ReplicaMessage,
            self._on_message,
            lambda _: None,
            link="from-keeper",
        )
        self._http = HttpServer(control(self))
        self._tasks = Tasks()
        self._turns = TurnServer(
            self.bytes, self.others, exits.exit_immediately
        )
        self._publisher = publisher.Publisher(
            cfg, self.node, self.host, self._peers
        )
        self._copy_repair = repair.CopyRepair(
            cfg,
            self.node.identity,
            self.clock,
            self.host,
            self.others,
            self._turns,
            _COMMIT_S,
        )
        self._turn_requests = TurnRequests(
            self.host, regions, self.clock, _COMMIT_S
        )
        self._asks = self._new_asks()
        self._was_current = False

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
            self._routing_changed,
            self._fleet_changed,
            self._expired,
            self._quarantine_changed,
        )

    def _new_asks(self) -> Asks:
        return Asks(
            self.host,
            self._publisher,
            self._turn_requests,
            self._copy_repair,
            self._turns,
            self.clock,
            _COMMIT_S,
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
        """Listens, then takes part in the control group."""
        self.node.start(self._hello(mesh.ROLE))
        await self._peers.start(self.address)
        self.others.add(self.cfg.seeds)
        await self._http.start(self.cfg.listen)
        self._tasks.spawn(self._tick())
        self._tasks.spawn(self._forget_bytes())
        decisions.note(
            "start",
            "",
            identity=self.node.identity,
            address=self.address,
            first_start=self.cfg.first_start,
            seeds=list(self.cfg.seeds),
        )

    async def stop(self) -> None:
        """Hands leadership over and stops."""
        decisions.note("stop", "", led=self.host.leading)
        self._http.close_when_answered()
        await self.node.stop()
        await self._http.stop()
        self._tasks.cancel()
        await self.others.stop()
        await self._peers.stop()
        self.bytes.close()

    def reconfigured(self, seeds: list[str]) -> None:
        """Takes other seeds while it runs."""
        decisions.note("reload", "", seeds=seeds)
        self.others.add(seeds)
        for address in seeds:
            self.node.connect_to(address)

    # What servers and operators ask, through whichever keeper.

    async def announce(self, instance: Instance) -> str:
        """Handles a server's announcement; returns an error text or ""."""
        out = await self.host.announce(instance, _COMMIT_S)
        if out is None:
            return ""
        try:
            await self.others.ask_leader(
                lambda ask: protocol.AskAnnounce(ask=ask, instance=instance),
                _COMMIT_S,
            )
        except PeerLostError as exc:
            return str(exc)
        return ""

    async def set_routing(self, document: Routing) -> str:
        """Puts routes in force; returns why not, or an empty string."""
        routing = routes.pack(document)
        out = await self.host.set_routing(routing, _COMMIT_S)
        why = ""
        if out is not None:
            try:
                await self.others.ask_leader(
                    lambda ask: protocol.AskRouting(ask=ask, routing=routing),
                    _COMMIT_S,
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

    async def current_routing(self) -> Routing | NotLeading | None:
        """Returns the newest routes that were acknowledged."""
        packed = self.host.state.routing
        if not self.host.may_decide():
            try:
                reply = await self.others.ask_leader(
                    lambda ask: protocol.AskCurrent(ask=ask), _COMMIT_S
                )
            except PeerLostError as exc:
                return NotLeading(str(exc))
            packed = reply.routing
        return routes.unpack(packed) if packed is not None else None

    @property
    def leader(self) -> str:
        """Peer address of the leader, empty where not known."""
        return self.host.group.leader

    # Messages.

    def _on_message(self, stream: links.Stream, message: Any) -> None:
        if stream.hello is None:
            return
        if stream.hello.role == mesh.ROLE:
            if isinstance(message, messages.Hello):
                self.node.hello(message)
            else:
                self.node.handle(message)
            return
        if isinstance(message, messages.Hello):
            self._publisher.send_state(stream)
            return
        if isinstance(message, protocol.GroupSeen):
            self.node.group_known(stream.hello.process)
            return
        self._tasks.spawn(self._asks.answer(stream, message))

    # Stores.

    async def retire(
        self, name: str, *, begin: bool
    ) -> protocol.Retirement | NotLeading:
        """Has a store emptied, or returns how far that is."""
        if self.host.may_decide():
            return await self._asks.retire(name, begin=begin)
        try:
            reply: protocol.Retirement = await self.others.ask_leader(
                lambda ask: protocol.AskRetire(ask=ask, name=name, begin=begin),
                _COMMIT_S,
            )
        except PeerLostError as exc:
            return NotLeading(str(exc))
        return reply

    # Changes that others must hear of.

    def _leader_changed(self, group: Group) -> None:
        decisions.note("leader", "", address=group.leader, term=group.term)
        self._turn_requests.reset()
        self._publisher.info()

    def _routing_changed(self) -> None:
        self._publisher.routing()

    def _fleet_changed(self, instances: list[Instance]) -> None:
        self._turn_requests.servers_changed(instances)
        self._publisher.fleet(instances)

    def _quarantine_changed(self, contents: list[str]) -> None:
        self._publisher.quarantined(contents)

    def _expired(self, attempts: list[str]) -> None:
        self.bytes.drop(attempts)
        if self.host.leading:
            self._publisher.expired(attempts)

    async def _tick(self) -> None:
        ticks = 0
        published_gateways = 0
        while True:
            await asyncio.sleep(_TICK_S)
            self.others.tick()
            self._publisher.tick()
            ticks += 1
            gateways = self._publisher.gateways()
            if ticks % _COUNT_TICKS == 0 and gateways != published_gateways:
                published_gateways = gateways
                self._publisher.gateways_info()
            current = self.host.group.is_current()
            if current != self._was_current:
                self._was_current = current
                self._publisher.info()
                self._publisher.routing()
            if not self.host.may_decide():
                continue
            for gone in self.host.silent_servers():
                self._tasks.spawn(self.host.announce(gone, _COMMIT_S))
            if ticks % _USE_TICKS == 0:
                self._tasks.spawn(self.host.log_use(_COMMIT_S))
            if ticks % _REPAIR_TICKS == 0:
                self._tasks.spawn(self._copy_repair.repair())

    async def _forget_bytes(self) -> None:
        """Drops turns' bytes that no program can ask for any more.

        A host that was away when turns expired never learns of it, and
        a gateway that died after storing never settles its turn.
        """
        before: set[str] = set()
        while True:
            await asyncio.sleep(_FORGET_S)
            turns = self.host.state.ledger.turns
            if not self.host.group.is_current():
                before = set()
                continue
            unknown = {a for a in self.bytes.attempts() if a not in turns}
            self.bytes.drop(unknown & before)
            before = unknown - before


def _note_full_disk(full: bool) -> None:
    decisions.note("disk", "", full=full)


def _note_slow_disk(group: Group) -> None:
    decisions.note("handover", "", reason="slow disk", term=group.term)


def _node_config(cfg: KeeperSettings) -> NodeConfig:
    """Returns how this keeper takes part in the control group."""
    return NodeConfig(
        cfg.data_folder,
        tuple(cfg.seeds),
        cfg.snapshot_entries,
        Joining(tuple(cfg.seeds), cfg.first_start),
        segment_bytes=_SEGMENT_BYTES,
        timing=_TIMING,
        begun_ms=clock.process_start_ms(),
    )
