"""Answers who puts, gets or copies turns' bytes, on keepers and stores."""

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

# A copy of a batch of turns over the link between regions.
COPY_TIMEOUT_S = 3.0


class Reply(Protocol):
    """Whom an answer goes to."""

    def send(self, message: Any) -> None:
        """Sends an answer."""


class TurnServer:
    """Turns' bytes of this process, served to others.

    Args:
        data: the bytes.
        others: links to other holders.
        fail: called where the disk fails; nothing may be acknowledged then.
    """

    def __init__(
        self,
        data: TurnBytes,
        others: Keepers,
        fail: Callable[[Exception], None],
    ) -> None:
        self.data = data
        self._others = others
        self._fail = fail
        self._syncing = False
        self._unsynced: list[tuple[Reply, int]] = []

    def put(self, reply: Reply, message: protocol.Put) -> None:
        """Stores a turn's bytes; answers once they last."""
        try:
            self.data.add(message.attempt, message.data)
        except DiskFullError as exc:
            # Another host has room; what lies here can still be read.
            log.warning("turn not taken: %s", exc)
            reply.send(protocol.Refused(ask=message.ask, reason="disk full"))
            return
        except StorageError as exc:
            self._fail(exc)
            return
        self._unsynced.append((reply, message.ask))
        if not self._syncing:
            self._syncing = True
            asyncio.get_running_loop().call_soon(self._sync)

    def get(self, reply: Reply, message: protocol.Get) -> None:
        """Answers with turns' bytes."""
        parts = [self.data.read(attempt) for attempt in message.attempts]
        reply.send(protocol.Got(ask=message.ask, parts=parts))

    async def copy_turns(
        self, reply: Reply, message: protocol.CopyTurns
    ) -> None:
        """Copies turns' bytes from another holder; answers once they last."""
        missing = [a for a in message.attempts if a not in self.data]
        why = await self._pull(missing, message.source) if missing else ""
        if why:
            reply.send(protocol.Refused(ask=message.ask, reason=why))
        else:
            reply.send(protocol.Done(ask=message.ask))

    async def _pull(self, attempts: list[str], source: str) -> str:
        host = self._others.by_address(source)
        if host is None:
            return "no way to the source"
        try:
            got = await self._others.ask(
                host,
                lambda ask: protocol.Get(ask=ask, attempts=attempts),
                COPY_TIMEOUT_S,
            )
            for attempt, part in zip(attempts, got.parts, strict=True):
                if part is None:
                    return f"the source doesn't hold {attempt}"
                self.data.add(attempt, part)
            self.data.sync()
        except (PeerLostError, DiskFullError) as exc:
            return str(exc)
        except StorageError as exc:
            self._fail(exc)
            return str(exc)
        return ""

    def _sync(self) -> None:
        """Syncs once for all that came in this turn of the loop."""
        self._syncing = False
        waiting, self._unsynced = self._unsynced, []
        try:
            self.data.sync()
        except StorageError as exc:
            self._fail(exc)
            return
        for reply, ask in waiting:
            reply.send(protocol.Done(ask=ask))
