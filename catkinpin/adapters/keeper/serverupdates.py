"""Sends servers to gateways.

Hundreds of gateways need thousands of servers, and all at once when the system
starts. To bound memory and work, a message is encoded once for all gateways,
all changes of one iteration of the event loop are one message, and the queue of
a slow gateway is limited: after the gateway has read it, it gets all servers.
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

# A gateway for which so many messages are queued counts as slow.
_MAX_QUEUED_MESSAGES = 64


class ServerUpdates:
    """Sends changed servers to gateways, and all servers where needed.

    Args:
        state: the control group's state.
        gateways: returns the streams of all gateways.
    """

    def __init__(
        self,
        state: ControlState,
        gateways: Callable[[], Iterable[streams.Stream]],
    ) -> None:
        self._state = state
        self._gateways = gateways
        self._changed: list[Instance] = []
        self._encoded_all: streams.EncodedMessage | None = None
        self._slow_gateways: set[streams.Stream] = set()

    def add_changed(self, instances: list[Instance]) -> None:
        """Queues changed servers for the next iteration of the event loop."""
        self._encoded_all = None
        if instances and not self._changed:
            asyncio.get_running_loop().call_soon(self._publish)
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

    def send_to_slow_gateways(self) -> None:
        """Sends all servers to slow gateways that have emptied their queue."""
        self._slow_gateways &= set(self._gateways())
        for stream in [s for s in self._slow_gateways if not s.queue_length]:
            self._slow_gateways.discard(stream)
            self.send_all(stream)

    def _publish(self) -> None:
        changed, self._changed = self._changed, []
        update = streams.encode(
            protocol.ServersUpdate(
                index=self._state.index, instances=changed, whole=False
            )
        )
        for stream in self._gateways():
            if stream.queue_length >= _MAX_QUEUED_MESSAGES:
                self._slow_gateways.add(stream)
            if stream not in self._slow_gateways:
                stream.send_encoded(update)
