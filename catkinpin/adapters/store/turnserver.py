"""Serves requests to put, get and copy turns, on keepers and stores."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Any, Protocol

from catkinpin.core.control import protocol
from catkinpin.exceptions import (
    DiskFullError,
    PeerLostError,
    StorageError,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from catkinpin.adapters.disk.turnbytes import TurnBytes
    from catkinpin.adapters.peers.keepers import Keepers

log = logging.getLogger(__name__)

# Timeout for copying a batch of turns over the link between regions.
COPY_TIMEOUT_S = 3.0


class ReplyStream(Protocol):
    """The stream of the process that sent a request."""

    def send(self, message: Any) -> None:
        """Sends the reply to a request."""


class TurnServer:
    """Serves the bytes of turns that this process stores.

    Args:
        data: the bytes on disk.
        others: links to the other hosts that store turns.
        on_disk_failure: called if the disk fails; the request is then not
            acknowledged.
    """

    def __init__(
        self,
        data: TurnBytes,
        others: Keepers,
        on_disk_failure: Callable[[Exception], None],
    ) -> None:
        self.data = data
        self._others = others
        self._on_disk_failure = on_disk_failure
        self._sync_scheduled = False
        self._unsynced: list[tuple[ReplyStream, int]] = []

    def put(self, reply: ReplyStream, message: protocol.Put) -> None:
        """Stores the bytes of a turn; replies once they are synced to disk."""
        try:
            self.data.add(message.attempt, message.data)
        except DiskFullError as exc:
            # Another host may have room. Turns stored here can still be read.
            log.warning("turn not stored: %s", exc)
            reply.send(protocol.Refused(ask=message.ask, reason="disk full"))
            return
        except StorageError as exc:
            self._on_disk_failure(exc)
            return
        self._unsynced.append((reply, message.ask))
        if not self._sync_scheduled:
            self._sync_scheduled = True
            asyncio.get_running_loop().call_soon(self._sync)

    def get(self, reply: ReplyStream, message: protocol.Get) -> None:
        """Replies with the bytes of turns."""
        parts = [self.data.read(attempt) for attempt in message.attempts]
        reply.send(protocol.Got(ask=message.ask, parts=parts))

    async def copy_turns(
        self, reply: ReplyStream, message: protocol.CopyTurns
    ) -> None:
        """Copies turns from another host; replies once they are synced."""
        missing = [
            attempt for attempt in message.attempts if attempt not in self.data
        ]
        error = (
            await self._copy_from(missing, message.source) if missing else ""
        )
        if error:
            reply.send(protocol.Refused(ask=message.ask, reason=error))
        else:
            reply.send(protocol.Done(ask=message.ask))

    async def _copy_from(self, attempts: list[str], source: str) -> str:
        host = self._others.by_address(source)
        if host is None:
            return "no way to the source"
        try:
            reply = await self._others.ask(
                host,
                lambda ask: protocol.Get(ask=ask, attempts=attempts),
                COPY_TIMEOUT_S,
            )
            for attempt, part in zip(attempts, reply.parts, strict=True):
                if part is None:
                    return f"the source doesn't hold {attempt}"
                self.data.add(attempt, part)
            self.data.sync()
        except (PeerLostError, DiskFullError) as exc:
            return str(exc)
        except StorageError as exc:
            self._on_disk_failure(exc)
            return str(exc)
        return ""

    def _sync(self) -> None:
        """Syncs once for all puts of one iteration of the event loop."""
        self._sync_scheduled = False
        synced, self._unsynced = self._unsynced, []
        try:
            self.data.sync()
        except StorageError as exc:
            self._on_disk_failure(exc)
            return
        for reply, ask in synced:
            reply.send(protocol.Done(ask=ask))
