"""The store process: stores the bytes of turns and decides nothing."""

from __future__ import annotations

import asyncio
import logging
import uuid
from typing import TYPE_CHECKING, Any

from catkinpin import decisions, exits
from catkinpin.adapters.disk import files
from catkinpin.adapters.disk.turnbytes import TurnBytes
from catkinpin.adapters.keeper.publisher import STORE_ROLE
from catkinpin.adapters.peers import keepers, links, peerserver
from catkinpin.adapters.replica.identity import Identity
from catkinpin.adapters.store.turnserver import TurnServer
from catkinpin.adapters.tasks import BackgroundTasks, keep_running
from catkinpin.core import messages
from catkinpin.core.control import protocol
from catkinpin.core.control.stores import Store as StoreInfo
from catkinpin.exceptions import PeerLostError

if TYPE_CHECKING:
    from catkinpin.core.tolerance import Tolerance
    from catkinpin.roles import StoreSettings

log = logging.getLogger(__name__)

# A store registers periodically, because a new leader may have an older state.
# Registering again costs one message and has no other effect.
_REGISTER_INTERVAL_S = 2.0
_TICK_INTERVAL_S = 0.5


class Store:
    """A store process and its parts.

    Args:
        cfg: settings of the store.
    """

    def __init__(self, cfg: StoreSettings) -> None:
        self.cfg = cfg
        ops = files.FileOps()
        files.make_folder(cfg.data_folder)
        self.identity = Identity(cfg.data_folder, ops).node
        self._info = StoreInfo(
            node=self.identity,
            name=cfg.name,
            address=cfg.peer_listen,
            domain=cfg.failure_domain,
            region=cfg.region,
        )
        self.keepers = keepers.Keepers(
            messages.Hello(
                process=self.identity,
                incarnation=uuid.uuid4().hex[:12],
                role=STORE_ROLE,
                address=cfg.peer_listen,
                domain=cfg.failure_domain,
                region=cfg.region,
            ),
            self._on_keeper_message,
        )
        self._turns = TurnServer(
            TurnBytes(cfg.data_folder / "turns", ops),
            self.keepers,
            exits.exit_immediately,
        )
        self._peers = peerserver.PeerServer(
            protocol.ToKeeper, self._on_message, lambda _: None, link="store"
        )
        self._tasks = BackgroundTasks()

    async def start(self) -> None:
        """Listens and registers with the keepers."""
        await self._peers.start(self.cfg.peer_listen)
        self.keepers.set_seeds(self.cfg.seeds)
        for work in (self._register, self._tick):
            self._tasks.spawn(keep_running(work))
        decisions.note(
            "start",
            "",
            identity=self.identity,
            turns=len(self._turns.data.attempts()),
            seeds=list(self.cfg.seeds),
        )

    async def stop(self) -> None:
        """Closes links and files; acknowledged turns stay on disk."""
        decisions.note("stop", "")
        self._tasks.cancel()
        await self.keepers.stop()
        await self._peers.stop()
        self._turns.data.close()

    def set_seeds(self, seeds: list[str]) -> None:
        """Applies changed seeds while the store runs."""
        decisions.note("reload", "", seeds=seeds)
        self.keepers.set_seeds(seeds)

    def set_tolerance(self, tolerance: Tolerance) -> None:
        """Does nothing: others decide what a store stores."""

    def _on_message(self, stream: links.Stream, message: Any) -> None:
        match message:
            case messages.Hello():
                stream.send(
                    protocol.HostInfo(
                        node=self.identity,
                        address=self.cfg.peer_listen,
                        domain=self.cfg.failure_domain,
                        region=self.cfg.region,
                        known=[],
                        leader="",
                        term=0,
                    )
                )
            case protocol.Put():
                self._turns.put(stream, message)
            case protocol.Get():
                self._turns.get(stream, message)
            case protocol.CopyTurns():
                self._tasks.spawn(self._turns.copy_turns(stream, message))

    def _on_keeper_message(self, host: keepers.Host, message: Any) -> None:
        if isinstance(message, protocol.Expired):
            self._turns.data.drop(message.attempts)

    async def _register(self) -> None:
        while True:
            try:
                await self.keepers.ask_leader(
                    lambda ask: protocol.AskRegister(ask=ask, store=self._info),
                    _REGISTER_INTERVAL_S,
                )
                await asyncio.sleep(_REGISTER_INTERVAL_S)
            except PeerLostError as exc:
                log.info("registering failed: %s", exc)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(_TICK_INTERVAL_S)
            self.keepers.tick()
