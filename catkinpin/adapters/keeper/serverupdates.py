"""Publishes servers to gateways.

Hundreds of gateways hear of thousands of servers, at their start all at once.
So a message is encoded once for all of them, changes of one turn of the loop
are one message, and a gateway that reads slowly gets no longer queue: once it
has read what waits for it, it gets all servers.
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

# Messages that may wait for a gateway before it counts as slow.
_MAX_QUEUED = 64


class ServerUpdates:
    """What gateways hear of servers.

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
        self._all: streams.Encoded | None = None
        self._behind: set[streams.Stream] = set()

    def changed(self, instances: list[Instance]) -> None:
        """Notes servers that changed; published in the next turn."""
        self._all = None
        if instances and not self._changed:
            asyncio.get_running_loop().call_soon(self._publish)
        self._changed.extend(instances)

    def send_all(self, stream: streams.Stream) -> None:
        """Sends all servers to a gateway."""
        if self._all is None:
            self._all = streams.encode(
                protocol.AllServers(
                    index=self._state.index,
                    packed=servers.pack(self._state.fleet.servers.values()),
                )
            )
        stream.send_encoded(self._all)

    def tick(self) -> None:
        """Sends all servers to slow gateways that have caught up."""
        self._behind &= set(self._gateways())
        for stream in [one for one in self._behind if not one.queue_length]:
            self._behind.discard(stream)
            self.send_all(stream)

    def _publish(self) -> None:
        changed, self._changed = self._changed, []
        update = streams.encode(
            protocol.ServersUpdate(
                index=self._state.index, instances=changed, whole=False
            )
        )
        for stream in self._gateways():
            if stream.queue_length >= _MAX_QUEUED:
                self._behind.add(stream)
            if stream not in self._behind:
                stream.send_encoded(update)
