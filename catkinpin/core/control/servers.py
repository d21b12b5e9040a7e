"""Which backend servers there are, from what they announce of themselves.

Facts that must outlive a leader (a server leaves, is gone, or stands at an
address) go through the log; a repeated announcement does not.
"""

from __future__ import annotations

import enum
import zlib
from typing import TYPE_CHECKING

from catkinpin import codec
from catkinpin.codec import Message

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

# Servers that are gone and could still be named by a late announcement. A day
# of ordinary replacements is some hundreds.
_MAX_GONE = 4_096
# The fastest level: names and addresses repeat so often that more effort
# gains little.
_COMPRESSION = 1


class ServerState(enum.StrEnum):
    """What a server says of itself, or what became of it.

    LOST is one that was silent for long; it may only have been cut off, so
    unlike one that announced its end it counts again with its next message.
    """

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"
    LOST = "lost"

    @property
    def is_offline(self) -> bool:
        """Whether such a server gets no requests any more."""
        return self in (ServerState.GONE, ServerState.LOST)


class Instance(Message, frozen=True):
    """One incarnation of a backend server.

    Attributes:
        started_ms: Unix time of its start; tells two incarnations of an id
            apart.
        sequence: rises with each announcement of an incarnation.
        slots: requests that it runs at once.
    """

    id: str
    service: str
    address: str
    domain: str
    state: ServerState
    started_ms: int
    sequence: int
    slots: int


def pack(instances: Iterable[Instance]) -> bytes:
    """Returns instances as they are sent to many gateways."""
    return zlib.compress(codec.encode(list(instances)), _COMPRESSION)


def unpack(data: bytes) -> list[Instance]:
    """Returns packed instances."""
    found: list[Instance] = _instances.decode(zlib.decompress(data))
    return found


_instances = codec.decoder(list[Instance])


class Fleet:
    """All servers that are known, and those that are gone."""

    def __init__(self) -> None:
        self.servers: dict[str, Instance] = {}
        self._gone: dict[str, Instance] = {}
        # What else a server is looked up by: thousands announce themselves
        # at once, and each request asks for those of its service.
        self._by_service: dict[str, dict[str, Instance]] = {}
        self._by_address: dict[str, str] = {}

    def would_change(self, announced: Instance) -> bool:
        """Returns whether an announcement changes what must be kept."""
        known = self.servers.get(announced.id) or self._gone.get(announced.id)
        if known is not None and _age(announced) <= _age(known):
            return False
        if announced.state.is_offline:
            return announced.id in self.servers
        if known is not None and known.state is ServerState.GONE:
            return announced.started_ms > known.started_ms
        return known is None or _facts(announced) != _facts(known)

    def with_known_incarnation(
        self, announced: Instance, last_sequence: int
    ) -> Instance:
        """Returns a server's farewell as one of its known incarnation.

        A farewell may come without start time and sequence number. Taken as it
        is, it would look older than all that is known, and change nothing.

        Args:
            announced: what it said.
            last_sequence: the newest number received from it.
        """
        known = self.servers.get(announced.id)
        if known is None or announced.started_ms:
            return announced
        newest = max(known.sequence, last_sequence)
        return _with_state(known, announced.state, known.started_ms, newest + 1)

    def apply(self, announced: Instance) -> list[Instance]:
        """Takes an announcement; returns what changed, in order."""
        if not self.would_change(announced):
            return []
        if announced.state.is_offline:
            return [self._remove(announced)]
        changed = []
        other = self.servers.get(self._by_address.get(announced.address, ""))
        if other is not None and other.id != announced.id:
            # One address serves one process: the younger one has it. A late
            # announcement of the older one would send it requests of another
            # service.
            if other.started_ms > announced.started_ms:
                return []
            gone = _with_state(other, ServerState.GONE)
            changed.append(self._remove(gone))
        self._gone.pop(announced.id, None)
        self._put(announced)
        return [*changed, announced]

    def state(self) -> list[Instance]:
        """Returns all that a snapshot needs."""
        return [*self.servers.values(), *self._gone.values()]

    def restore(self, instances: list[Instance]) -> None:
        """Replaces everything by the content of a snapshot."""
        self.servers = {}
        self._gone = {}
        self._by_service = {}
        self._by_address = {}
        for instance in instances:
            if instance.state.is_offline:
                self._gone[instance.id] = instance
            else:
                self._put(instance)

    def servers_of(self, service: str) -> Collection[Instance]:
        """Returns the servers of a service."""
        return self._by_service.get(service, {}).values()

    def drop(self, server: str) -> Instance | None:
        """Takes a server off without a trace; returns what was known."""
        known = self.servers.pop(server, None)
        if known is not None:
            del self._by_service[known.service][server]
            if self._by_address.get(known.address) == server:
                del self._by_address[known.address]
        return known

    def _put(self, instance: Instance) -> None:
        self.drop(instance.id)
        self.servers[instance.id] = instance
        of_service = self._by_service.setdefault(instance.service, {})
        of_service[instance.id] = instance
        self._by_address[instance.address] = instance.id

    def _remove(self, announced: Instance) -> Instance:
        known = self.drop(announced.id) or announced
        gone = _with_state(
            known,
            announced.state,
            max(known.started_ms, announced.started_ms),
            max(known.sequence, announced.sequence),
        )
        self._gone[announced.id] = gone
        while len(self._gone) > _MAX_GONE:
            del self._gone[next(iter(self._gone))]
        return gone


def _age(instance: Instance) -> tuple[int, int]:
    return instance.started_ms, instance.sequence


def _facts(instance: Instance) -> tuple[str, str, str, str, int]:
    return (
        instance.service,
        instance.address,
        instance.domain,
        instance.state,
        instance.started_ms,
    )


def _with_state(
    instance: Instance,
    state: ServerState,
    started_ms: int | None = None,
    sequence: int | None = None,
) -> Instance:
    return Instance(
        id=instance.id,
        service=instance.service,
        address=instance.address,
        domain=instance.domain,
        state=state,
        started_ms=instance.started_ms if started_ms is None else started_ms,
        sequence=instance.sequence if sequence is None else sequence,
        slots=instance.slots,
    )
