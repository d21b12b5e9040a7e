"""Which servers have read which shared parts of prompts, for all gateways.

The pattern: thousands of programs begin their prompts with one of a few long
parts, 12,600 tokens each. An engine reads one in 87 ms, and all that it runs
wait meanwhile. A gateway learns from its own requests where a part lies; one
that has just started knows nothing. After everything had been restarted, 10 to
20 of 100 turns went where their prompt had to be read anew, 0 to 3 otherwise,
just when all programs came back at once.

So the control group keeps where parts lie, by the turns that end, and tells
each gateway as it connects and each pair of part and server once. A server
that forgets a part under load isn't noticed; the next turn there reads it.
"""

from __future__ import annotations

import collections

from catkinpin.codec import Message

# Parts and servers for each of them; both users have some 16 parts and 24
# servers. The least recently used go.
_MOST_PARTS = 256
_MOST_SERVERS = 64


class PartHolders(Message, frozen=True):
    """Servers that have read a part, the one that read it last at the end."""

    part: str
    servers: list[str]


class SharedParts:
    """Where shared parts lie, as a deterministic state."""

    def __init__(self) -> None:
        self._servers: collections.OrderedDict[
            str, collections.OrderedDict[str, None]
        ] = collections.OrderedDict()

    def read(self, part: str, server: str) -> bool:
        """Notes that a server has read a part; returns whether it is news."""
        servers = self._servers.setdefault(part, collections.OrderedDict())
        is_news = server not in servers
        servers[server] = None
        servers.move_to_end(server)
        self._servers.move_to_end(part)
        if len(servers) > _MOST_SERVERS:
            servers.popitem(last=False)
        if len(self._servers) > _MOST_PARTS:
            self._servers.popitem(last=False)
        return is_news

    def forget(self, server: str) -> None:
        """Forgets a server that is gone, or has begun a new life."""
        for servers in self._servers.values():
            servers.pop(server, None)

    def state(self) -> list[PartHolders]:
        """Returns all that is known, the part used last at the end."""
        return [
            PartHolders(part=part, servers=list(servers))
            for part, servers in self._servers.items()
        ]

    def restore(self, state: list[PartHolders]) -> None:
        """Replaces everything by what `state` returned."""
        self._servers.clear()
        for held in state:
            names = collections.OrderedDict.fromkeys(held.servers)
            self._servers[held.part] = names
