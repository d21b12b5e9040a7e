"""The entry process: callers in front, backend servers behind."""

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
from catkinpin.adapters.peers import links, wire
from catkinpin.core import messages
from catkinpin.core.operations import changes, deployments
from catkinpin.core.programs import sharding
from catkinpin.exceptions import StopTimeoutError

if TYPE_CHECKING:
    from catkinpin.settings import EntrySettings

log = logging.getLogger(__name__)

_REPORT_EVERY_S = 0.1
_KEEP_REPORT_MS = 10_000
_MAX_LOGGED = 10


class Entry:
    """An entry process and its parts.

    Attributes:
        configured: the configuration that this process serves under.
        leaving: set once a graceful stop has begun; the host is not ready.
        stopping: set once new calls are refused.
    """

    def __init__(self, cfg: EntrySettings) -> None:
        self.cfg = cfg
        self.clock = clock.system_clock()
        self.incarnation = uuid.uuid4().hex
        self.leaving = False
        self.stopping = False
        self.configured = configured.ActiveConfiguration()
        self.caller_address = ""
        self.admin_address = ""
        self._reports: dict[str, tuple[messages.ServerReport, int]] = {}
        self._fresh: set[str] = set()
        self._links: dict[str, links.PeerLink] = {}
        self._releases: set[asyncio.Task[None]] = set()
        self._tasks: list[asyncio.Task[None]] = []
        self._web: list[web.WebServer] = []
        self._peers = links.PeerServer(
            wire.BetweenEntries,
            self._on_peer_message,
            lambda _: None,
            link="entry-entry",
        )

    async def start(self) -> None:
        """Connects and listens."""
        address = await self._peers.start(self.cfg.peer_listen)
        self._hello = messages.Hello(
            process=self.cfg.name or address,
            incarnation=self.incarnation,
            role="entry",
            address=self.cfg.peer_advertise or address,
            domain=self.cfg.failure_domain,
            region=self.cfg.region,
        )
        self._dispatcher = dispatch.Dispatcher(
            _timeouts(self.cfg),
            self.clock,
        )
        self.replicas = shards.Replicas(
            self.cfg.replicas, self._hello, self._on_message, self._on_replica
        )
        self._relay = relays.RelayClient(self._dispatcher, self._link_to)
        self.lease = configured.LeaseHolder(
            self.replicas,
            self.clock,
            lambda: self.configured.revision,
            self.configured.apply_update,
        )
        self._orders = orders.OrderCarrier(self.replicas, self.clock)
        self.calls = calls.Calls(
            self.replicas, self._dispatcher, self._relay, self.cfg.shards
        )
        self.relayed = relays.RelayServer(
            self._dispatcher,
            self.calls.report,
            self.cfg.history_cache_bytes,
        )
        self.replicas.start()
        await self._listen()
        self._tasks.append(asyncio.create_task(self._send_reports()))
        self._tasks.append(asyncio.create_task(self.lease.run()))
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
            StopTimeoutError: calls in flight were cut off.
        """
        self.leaving = True
        # Until the balancer has seen that this host is not ready, it sends
        # calls here; refusing them would make callers wait for nothing.
        await asyncio.sleep(self.cfg.balancer_wait_ms / 1000)
        self.stopping = True
        loop = asyncio.get_running_loop()
        end = loop.time() + self.cfg.stop_timeout_ms / 1000
        while self._in_flight() and loop.time() < end:
            log.info(
                "waiting for calls in flight",
                extra={
                    "in_flight": len(self._in_flight()),
                    "calls": self.calls.waits_for()[:_MAX_LOGGED],
                },
            )
            await asyncio.wait(
                self._in_flight(), timeout=min(1.0, end - loop.time())
            )
        cut = len(self._in_flight())
        answered = await self._web[0].close(max(1.0, end - loop.time()))
        await self._web[1].close()
        for task in self._tasks:
            task.cancel()
        for link in self._links.values():
            await link.stop()
        await self._orders.stop()
        await self.replicas.stop()
        await self._peers.stop()
        await self._dispatcher.close()
        if cut or not answered:
            text = f"the stop took too long; {cut} calls were cut off"
            raise StopTimeoutError(text)

    def _in_flight(self) -> list[asyncio.Task[None]]:
        return [*self.calls.running, *self.relayed.running]

    def not_ready(self) -> str:
        """Returns why no calls should come here, or an empty string."""
        if self.leaving:
            return "stopping"
        if problem := self.lease.problem():
            return problem
        if self._drained():
            return "drained by an operator"
        # The control group's leader is not asked for: all entries would leave
        # the balancer at once for as long as an election takes, while their
        # leases still let them serve.
        for group in map(sharding.shard_group, range(self.cfg.shards)):
            if not self.replicas.knows_leader(group):
                return f"no leader of {group}"
        return ""

    def announced(self, report: messages.ServerReport) -> None:
        """Takes a server's announcement; replicas get it in a batch."""
        self._reports[report.server] = (report, self.clock.now_ms())
        self._fresh.add(report.server)

    def cache_changed(self, events: messages.CacheEvents) -> None:
        """Passes an engine's cache events on to the replicas."""
        self.replicas.broadcast(events)

    async def _listen(self) -> None:
        caller_app = callers.make_app(self)
        admin_app = admin.make_app("entry", self.not_ready)
        admin.add_server_routes(admin_app, self)
        operators.add_routes(admin_app, self)
        self._web = [
            await web.serve(caller_app, self.cfg.listen),
            await web.serve(admin_app, self.cfg.admin_listen),
        ]
        self.caller_address = self._web[0].address
        self.admin_address = self._web[1].address

    def _on_replica(self, link: links.PeerLink) -> None:
        if self._reports:
            link.send(self._batch(list(self._reports)))

    def _on_message(self, message: Any) -> None:
        match message:
            case changes.ConfigUpdate():
                self.configured.apply_update(message)
                self.lease.renew_now()
            case changes.OrderOffer():
                self._orders.offered(message)
            case messages.Recall():
                self.calls.recalled(message)
            case messages.Recover():
                self.calls.recover(message)
            case messages.Granted():
                # Who asked has given up; the grant must not stay outstanding.
                recall = messages.Recall(
                    key=message.key, attempt=message.attempt
                )
                self.calls.recalled(recall)
            case messages.OrderRelease():
                task = asyncio.create_task(self._release(message))
                self._releases.add(task)
                task.add_done_callback(self._releases.discard)

    async def _release(self, order: messages.OrderRelease) -> None:
        """Orders a server to release programs, and confirms what it did."""
        done = await self._dispatcher.release(order)
        if done is not None:
            self.replicas.broadcast(done)

    def _drained(self) -> bool:
        """Returns whether an operator drained the place this host stands in.

        Calls that still arrive are served; the balancer sends no new ones.
        """
        cfg = self.configured.configuration
        return cfg is not None and cfg.is_place_drained(
            deployments.parse_host(self.admin_address),
            self.cfg.failure_domain,
            self.cfg.region,
        )

    async def _send_reports(self) -> None:
        while True:
            await asyncio.sleep(_REPORT_EVERY_S)
            self._forget_old_reports()
            names = [name for name in self._fresh if name in self._reports]
            self._fresh.clear()
            if names:
                self.replicas.broadcast(self._batch(names))

    def _forget_old_reports(self) -> None:
        oldest = self.clock.now_ms() - _KEEP_REPORT_MS
        self._reports = {
            name: (report, at)
            for name, (report, at) in self._reports.items()
            if at >= oldest
        }

    def _batch(self, names: list[str]) -> messages.Reports:
        now = self.clock.now_ms()
        chosen = [self._reports[name] for name in names]
        return messages.Reports(
            reports=[report for report, _ in chosen],
            age_ms=[now - at for _, at in chosen],
        )

    def _link_to(self, address: str) -> links.PeerLink:
        """Returns the stream to another entry, opened at its first use."""
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
            self._relay.chunk(message)

    def _on_peer_message(self, stream: links.Stream, message: Any) -> None:
        if isinstance(message, messages.Dispatch):
            self.relayed.handle(stream, message)


def _timeouts(cfg: EntrySettings) -> outgoing.Timeouts:
    """Returns how long this entry waits for backend servers."""
    return outgoing.Timeouts(
        connect_ms=cfg.connect_timeout_ms,
        progress_low_ms=cfg.progress_timeout_low_ms,
        progress_high_ms=cfg.progress_timeout_ms,
        first_token_ms=cfg.first_token_timeout_ms,
    )
