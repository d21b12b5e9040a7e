"""The entry process, which connects callers to backend servers."""

from __future__ import annotations

import asyncio
import logging
import uuid
from typing import TYPE_CHECKING, Any

from catkinpin import clock
from catkinpin.adapters.entry import (
    admin,
    callers,
    calls,
    configured,
    dispatch,
    operators,
    orders,
    outgoing,
    relays,
    shards,
    web,
)
from catkinpin.adapters.peers import links, peerserver, wire
from catkinpin.adapters.tasks import keep_running
from catkinpin.core import messages
from catkinpin.core.operations import changes, deployments
from catkinpin.core.programs import sharding
from catkinpin.exceptions import StopTimeoutError

if TYPE_CHECKING:
    from catkinpin.settings import EntrySettings

log = logging.getLogger(__name__)

_REPORT_INTERVAL_S = 0.1
_REPORT_RETENTION_MS = 10_000
_MAX_LOGGED_CALLS = 10


class Entry:
    """An entry process and its parts.

    Attributes:
        active_config: the configuration that this process serves with.
        leaving: whether a graceful stop has begun; the host is then not ready.
        stopping: whether new calls are refused.
    """

    def __init__(self, cfg: EntrySettings) -> None:
        self.cfg = cfg
        self.clock = clock.system_clock()
        self.incarnation = uuid.uuid4().hex
        self.leaving = False
        self.stopping = False
        self.active_config = configured.ActiveConfiguration()
        self.caller_address = ""
        self.admin_address = ""
        self._reports: dict[str, tuple[messages.ServerReport, int]] = {}
        self._unsent_reports: set[str] = set()
        self._links: dict[str, links.PeerLink] = {}
        self._release_tasks: set[asyncio.Task[None]] = set()
        self._background_tasks: list[asyncio.Task[None]] = []
        self._web_servers: list[web.WebServer] = []
        self._peer_server = peerserver.PeerServer(
            wire.BetweenEntries,
            self._on_peer_message,
            lambda _: None,
            link="entry-entry",
        )

    async def start(self) -> None:
        """Connects to the replicas and starts to listen."""
        address = await self._peer_server.start(self.cfg.peer_listen)
        self._hello = messages.Hello(
            process=self.cfg.name or address,
            incarnation=self.incarnation,
            role="entry",
            address=self.cfg.peer_advertise or address,
            domain=self.cfg.failure_domain,
            region=self.cfg.region,
        )
        self._dispatcher = dispatch.Dispatcher(
            _backend_timeouts(self.cfg),
            self.clock,
        )
        self.replicas = shards.Replicas(
            self.cfg.replicas, self._hello, self._on_message, self._on_replica
        )
        self._relay_client = relays.RelayClient(self._dispatcher, self._link_to)
        self.lease = configured.LeaseHolder(
            self.replicas,
            self.clock,
            lambda: self.active_config.revision,
            self.active_config.apply_update,
        )
        self._order_sender = orders.OrderSender(self.replicas, self.clock)
        self.calls = calls.Calls(
            self.replicas, self._dispatcher, self._relay_client, self.cfg.shards
        )
        self.relay_server = relays.RelayServer(
            self._dispatcher,
            self.calls.report_outcome,
            self.cfg.history_cache_bytes,
        )
        self.replicas.start()
        await self._listen()
        self._background_tasks.append(
            asyncio.create_task(keep_running(self._send_reports))
        )
        self._background_tasks.append(
            asyncio.create_task(keep_running(self.lease.run))
        )
        log.info(
            "entry ready",
            extra={
                "callers": self.caller_address,
                "admin": self.admin_address,
                "peer": address,
            },
        )

    async def stop(self) -> None:
        """Refuses new calls, finishes those in flight, then closes.

        Raises:
            StopTimeoutError: calls in flight were aborted.
        """
        self.leaving = True
        # The balancer sends calls here until it has noticed that this host is
        # not ready. Refusing them would delay their callers for no reason.
        await asyncio.sleep(self.cfg.balancer_wait_ms / 1000)
        self.stopping = True
        loop = asyncio.get_running_loop()
        end = loop.time() + self.cfg.stop_timeout_ms / 1000
        while self._tasks_in_flight() and loop.time() < end:
            log.info(
                "waiting for calls in flight",
                extra={
                    "in_flight": len(self._tasks_in_flight()),
                    "calls": self.calls.describe_running()[:_MAX_LOGGED_CALLS],
                },
            )
            await asyncio.wait(
                self._tasks_in_flight(), timeout=min(1.0, end - loop.time())
            )
        cut_count = len(self._tasks_in_flight())
        self.calls.answer_running()
        answered = await self._web_servers[0].close(max(1.0, end - loop.time()))
        await self._web_servers[1].close()
        for task in self._background_tasks:
            task.cancel()
        for link in list(self._links.values()):
            await link.stop()
        await self._order_sender.stop()
        await self.replicas.stop()
        await self._peer_server.stop()
        await self._dispatcher.close()
        if cut_count or not answered:
            text = f"the stop took too long; {cut_count} calls were cut off"
            raise StopTimeoutError(text)

    def _tasks_in_flight(self) -> list[asyncio.Task[None]]:
        return [*self.calls.running, *self.relay_server.running]

    def unready_reason(self) -> str:
        """Returns why this host should get no calls, or an empty string."""
        if self.leaving:
            return "stopping"
        if not self._web_servers:
            return "starting"
        if problem := self.lease.problem():
            return problem
        if self._is_drained():
            return "drained by an operator"
        # The control group's leader is not required: without one, all entries
        # would leave the balancer during an election, although their leases
        # still allow them to serve.
        for group in map(sharding.shard_group, range(self.cfg.shards)):
            if not self.replicas.knows_leader(group):
                return f"no leader of {group}"
        return ""

    def handle_announcement(self, report: messages.ServerReport) -> None:
        """Stores a server's announcement for the next batch to the replicas."""
        self._reports[report.server] = (report, self.clock.now_ms())
        self._unsent_reports.add(report.server)

    def forward_cache_events(self, events: messages.CacheEvents) -> None:
        """Sends an engine's cache events to the replicas."""
        self.replicas.broadcast(events)

    async def _listen(self) -> None:
        caller_app = callers.make_app(self)
        admin_app = admin.make_app("entry", self.unready_reason)
        admin.add_server_routes(admin_app, self)
        operators.add_routes(admin_app, self)
        # Callers come last, so that a stop while a port is in use cuts no call.
        admin_server = await web.serve(admin_app, self.cfg.admin_listen)
        self.admin_address = admin_server.address
        caller_server = await web.serve(caller_app, self.cfg.listen)
        self.caller_address = caller_server.address
        self._web_servers = [caller_server, admin_server]

    def _on_replica(self, link: links.PeerLink) -> None:
        if self._reports:
            link.send(self._make_reports(list(self._reports)))

    def _on_message(self, message: Any) -> None:
        match message:
            case changes.ConfigUpdate():
                self.active_config.apply_update(message)
                self.lease.renew_now()
            case changes.OrderOffer():
                self._order_sender.handle_offer(message)
            case messages.Recall():
                self.calls.handle_recall(message)
            case messages.Recover():
                self.calls.recover(message)
            case messages.Granted():
                # The call that asked has given up, so the unused grant must be
                # returned.
                recall = messages.Recall(
                    key=message.key, attempt=message.attempt
                )
                self.calls.handle_recall(recall)
            case messages.OrderRelease():
                task = asyncio.create_task(self._release(message))
                self._release_tasks.add(task)
                task.add_done_callback(self._release_tasks.discard)

    async def _release(self, order: messages.OrderRelease) -> None:
        """Orders a server to release programs, and confirms those released."""
        done = await self._dispatcher.release(order)
        if done is not None:
            self.replicas.broadcast(done)

    def _is_drained(self) -> bool:
        """Returns whether an operator drained this host, its domain or region.

        Calls that still arrive are served; the balancer sends no new ones.
        """
        cfg = self.active_config.configuration
        return cfg is not None and cfg.is_place_drained(
            deployments.parse_host(self.admin_address),
            self.cfg.failure_domain,
            self.cfg.region,
        )

    async def _send_reports(self) -> None:
        while True:
            await asyncio.sleep(_REPORT_INTERVAL_S)
            self._forget_old_reports()
            names = [
                name for name in self._unsent_reports if name in self._reports
            ]
            self._unsent_reports.clear()
            if names:
                self.replicas.broadcast(self._make_reports(names))

    def _forget_old_reports(self) -> None:
        oldest_ms = self.clock.now_ms() - _REPORT_RETENTION_MS
        self._reports = {
            name: (report, received_ms)
            for name, (report, received_ms) in self._reports.items()
            if received_ms >= oldest_ms
        }

    def _make_reports(self, names: list[str]) -> messages.Reports:
        now = self.clock.now_ms()
        batch = [self._reports[name] for name in names]
        return messages.Reports(
            reports=[report for report, _ in batch],
            age_ms=[now - received_ms for _, received_ms in batch],
        )

    def _link_to(self, address: str) -> links.PeerLink:
        """Returns the link to another entry; opens it on first use."""
        link = self._links.get(address)
        if link is None:
            link = links.PeerLink(
                address,
                self._hello,
                wire.BetweenEntries,
                self._on_entry_message,
                compressed=True,
                link="entry-entry",
            )
            link.start()
            self._links[address] = link
        return link

    def _on_entry_message(self, message: Any) -> None:
        if isinstance(message, messages.Chunk):
            self._relay_client.handle_chunk(message)

    def _on_peer_message(self, stream: links.Stream, message: Any) -> None:
        if isinstance(message, messages.Dispatch):
            self.relay_server.handle(stream, message)


def _backend_timeouts(cfg: EntrySettings) -> outgoing.BackendTimeouts:
    """Returns this entry's timeouts for backend servers."""
    return outgoing.BackendTimeouts(
        connect_ms=cfg.connect_timeout_ms,
        progress_low_ms=cfg.progress_timeout_low_ms,
        progress_high_ms=cfg.progress_timeout_ms,
        first_token_ms=cfg.first_token_timeout_ms,
    )
