"""Replica process that replicates logs for small test state machines."""

from __future__ import annotations

import asyncio
import json
import time
from typing import TYPE_CHECKING, Any

from catkinpin.adapters.peers import links, peerserver, wire
from catkinpin.adapters.replica import mesh, node
from catkinpin.adapters.replica.config import NodeConfig
from catkinpin.core import messages
from catkinpin.settings import ReplicaSettings

if TYPE_CHECKING:
    import pathlib
    from collections.abc import Callable

    from catkinpin.adapters.replica.groups import Group


class CountingMachine:
    """Counts the applied records; its snapshot refers to every tenth one."""

    def __init__(self) -> None:
        self.applied = 0
        self.refs: list[int] = []
        self.restored = 0
        self.leading = False
        self.on_leader: Callable[[], None] = lambda: None
        self.waiters: dict[bytes, asyncio.Future[None]] = {}

    def apply(self, index: int, payload: bytes) -> None:
        self.applied += 1
        if self.applied % 10 == 0:
            self.refs.append(index)
        fut = self.waiters.pop(payload, None)
        if fut is not None and not fut.done():
            fut.set_result(None)

    def leadership_changed(self, leading: bool) -> None:
        self.leading = leading
        if leading:
            self.on_leader()

    def snapshot(self) -> bytes:
        return json.dumps([self.applied, self.refs]).encode()

    def restore(self, data: bytes) -> None:
        self.applied, self.refs = json.loads(data)
        self.restored += 1

    def referenced(self) -> list[int]:
        return self.refs


class LogNode:
    """A replica with `count` groups, named g0, g1 and so on."""

    def __init__(
        self,
        folder: pathlib.Path,
        replica_index: int,
        ports: list[int],
        count: int = 1,
    ) -> None:
        addresses = [f"127.0.0.1:{port}" for port in ports]
        self.cfg = ReplicaSettings(
            data_folder=folder,
            peer_listen=addresses[replica_index],
            replicas=addresses,
            snapshot_entries=self.snapshot_entries,
        )
        self.address = addresses[replica_index]
        self.failure: Exception | None = None
        self.node = node.Node(
            NodeConfig(
                self.cfg.data_folder,
                tuple(self.cfg.replicas),
                self.cfg.snapshot_entries,
            ),
            lambda group: None,
            self._fail,
        )
        self.machines = [CountingMachine() for _ in range(count)]
        self.groups: list[Group] = [
            self.node.add_group(f"g{number}", machine)
            for number, machine in enumerate(self.machines)
        ]
        self._server = peerserver.PeerServer(
            wire.ToReplica, self._handle, lambda _: None
        )

    snapshot_entries = 100

    async def start(self) -> None:
        self.node.start(
            messages.Hello(
                process=self.node.identity,
                incarnation=self.node.identity,
                role=mesh.ROLE,
                address=self.address,
                domain="",
                region="",
            )
        )
        await self._server.start(self.address)

    async def stop(self) -> None:
        await self.node.stop()
        await self._server.stop()

    async def commit(self, payload: bytes, group: int = 0) -> float:
        """Proposes a record; returns the seconds until it was applied."""
        started_s = time.perf_counter()
        fut = asyncio.get_running_loop().create_future()
        self.machines[group].waiters[payload] = fut
        self.groups[group].propose(payload)
        await fut
        return time.perf_counter() - started_s

    def _handle(self, stream: links.Stream, message: Any) -> None:
        if isinstance(message, messages.Hello):
            self.node.handle_hello(message)
        else:
            self.node.handle(message)

    def _fail(self, exc: Exception) -> None:
        self.failure = exc
        raise exc
