"""Sends servers to gateways.

Hundreds of gateways need thousands of servers, and all at once when the system
starts. To bound memory and work, a message is encoded once for all gateways,
changes of some ms are one message, and the queue of a slow gateway is limited:
after the gateway has read it, it gets all servers.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from catkinpin.adapters.peers import streams
from catkinpin.core.control import protocol, servers

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from catkinpin.core.control.servers import Instance
    from catkinpin.core.control.state import ControlState

# Changes within this time are one message. When all servers start, the log
# commits changes every few ms, and each message costs each gateway a read.
_BATCH_S = 0.02
# A gateway for which so many messages are queued counts as slow.
_MAX_QUEUED_MESSAGES = 64


class ServerUpdates:
    """Sends changed servers to gateways, and all servers where needed.

    Args:
        state: the control group's state.
        gateways: returns the streams of the gateways that get changes.
    """

    def __init__(
        self,
        state: ControlState,
        gateways: Callable[[], Iterable[streams.Stream]],
    ) -> None:
        self._state = state
        self._gateways = gateways
        self._changed: list[Instance] = []
        self._batch_timer: asyncio.TimerHandle | None = None
        self._encoded_all: streams.EncodedMessage | None = None
        self._slow_gateways: set[streams.Stream] = set()

    def add_changed(self, instances: list[Instance]) -> None:
        """Queues changed servers for the next batch."""
        self._encoded_all = None
        if instances and self._batch_timer is None:
            loop = asyncio.get_running_loop()
            self._batch_timer = loop.call_later(_BATCH_S, self.flush)
        self._changed.extend(instances)

    def send_all(self, stream: streams.Stream) -> None:
        """Sends all servers to a gateway."""
        if self._encoded_all is None:
            self._encoded_all = streams.encode(
                protocol.AllServers(
                    index=self._state.index,
                    packed=servers.pack(self._state.fleet.servers.values()),
                )
            )
        stream.send_encoded(self._encoded_all)

    def replace_all(self) -> None:
        """Sends all servers to all gateways, instead of queued changes.

        A snapshot that replaces the state does not tell which servers have left
        since.
        """
        self._encoded_all = None
        self._clear_batch()
        for stream in self._gateways():
            if not self.is_slow(stream):
                self.send_all(stream)

    def is_slow(self, stream: streams.Stream) -> bool:
        """Returns whether a gateway gets no changes until it has caught up."""
        if stream.queue_length >= _MAX_QUEUED_MESSAGES:
            self._slow_gateways.add(stream)
        return stream in self._slow_gateways

    def send_to_slow_gateways(self) -> None:
        """Sends all servers to slow gateways that have emptied their queue."""
        self._slow_gateways &= set(self._gateways())
        for stream in [s for s in self._slow_gateways if not s.queue_length]:
            self._slow_gateways.discard(stream)
            self.send_all(stream)

    def flush(self) -> None:
        """Sends the queued changes now."""
        changed = self._clear_batch()
        if not changed:
            return
        update = streams.encode(
            protocol.ServersUpdate(
                index=self._state.index, instances=changed, whole=False
            )
        )
        for stream in self._gateways():
            if not self.is_slow(stream):
                stream.send_encoded(update)

    def _clear_batch(self) -> list[Instance]:
        if self._batch_timer is not None:
            self._batch_timer.cancel()
            self._batch_timer = None
        changed, self._changed = self._changed, []
        return changed
