"""The known backend servers, as their announcements describe them.

Changes that must outlast a leader (a server drains or ends, or has an address)
go through the log; an announcement that repeats what is known does not.
"""

from __future__ import annotations

import enum
import zlib
from typing import TYPE_CHECKING

from catkinpin import codec
from catkinpin.codec import Message

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

# Removed servers that are remembered, in case a late announcement names one. On
# an ordinary day, some hundreds are replaced.
_MAX_REMOVED = 4_096
# An identity is a header value of each request to the server.
_MAX_ID_LENGTH = 128
_MAX_NAME_LENGTH = 256
_MAX_ADDRESS_LENGTH = 128
_MAX_SLOTS = 100_000
# Numbers beyond these are no time and no count, and would make each later
# announcement of the same id look old. The time is in the year 2286.
_MAX_STARTED_MS = 10**13
_MAX_SEQUENCE = 2**62
_MAX_PORT = 65_535
# The fastest level: names and addresses repeat so often that a higher one gains
# little.
_COMPRESSION_LEVEL = 1


class ServerState(enum.StrEnum):
    """State of a server, as announced or as found by the leader.

    A GONE server announced its end. A LOST server sent nothing for long. It may
    only have been disconnected, so its next announcement adds it again.
    """

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"
    LOST = "lost"

    @property
    def is_offline(self) -> bool:
        """Whether a server in this state gets no requests."""
        return self in (ServerState.GONE, ServerState.LOST)


class Instance(Message, frozen=True):
    """One incarnation of a backend server.

    Attributes:
        started_ms: Unix time of its start; distinguishes the incarnations of
            an id.
        sequence: number of the announcement, increasing within an incarnation.
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


def fault(instance: Instance) -> str:
    """Returns why an announcement can't be used; empty if it can.

    Earlier releases stored and sent whatever was announced, so this holds also
    for what comes from other processes and from disk.
    """
    name = instance.id
    if not (_is_name(name, _MAX_ID_LENGTH) and name.isascii()) or " " in name:
        return "its id isn't a name"
    if not 0 <= instance.started_ms <= _MAX_STARTED_MS:
        return "its start is no time"
    if not 0 <= instance.sequence <= _MAX_SEQUENCE:
        return "its sequence number is out of range"
    if instance.state.is_offline:
        return ""
    if not _is_name(instance.service, _MAX_NAME_LENGTH):
        return "its service isn't a name"
    if len(instance.domain) > _MAX_NAME_LENGTH:
        return "its failure domain is too long"
    if not 1 <= instance.slots <= _MAX_SLOTS:
        return "its number of slots is out of range"
    if split_address(instance.address) is None:
        return "its address isn't a host and a port"
    return ""


def split_address(address: str) -> tuple[str, int] | None:
    """Returns the host and the port of an address; None if it has none."""
    host, _, port = address.rpartition(":")
    if not _is_name(host, _MAX_ADDRESS_LENGTH) or not host.isascii():
        return None
    # `isdigit` alone accepts digits that `int` refuses.
    if not (port.isascii() and port.isdigit() and len(port) <= 5):
        return None
    number = int(port)
    return (host, number) if 1 <= number <= _MAX_PORT else None


def _is_name(text: str, max_length: int) -> bool:
    return 0 < len(text) <= max_length and text.isprintable()


def pack(instances: Iterable[Instance]) -> bytes:
    """Compresses instances for sending them to many gateways."""
    return zlib.compress(codec.encode(list(instances)), _COMPRESSION_LEVEL)


def unpack(data: bytes) -> list[Instance]:
    """Decompresses instances."""
    found: list[Instance] = _instances_decoder.decode(codec.decompress(data))
    return found


_instances_decoder = codec.decoder(list[Instance])


class Fleet:
    """Tracks the known servers and those removed recently.

    Attributes:
        servers: servers that are ready or draining, by id.
    """

    def __init__(self) -> None:
        self.servers: dict[str, Instance] = {}
        self._removed: dict[str, Instance] = {}
        # Indexes, because thousands of servers may announce themselves at once
        # and each request looks up the servers of its service.
        self._by_service: dict[str, dict[str, Instance]] = {}
        self._by_address: dict[str, str] = {}

    def would_change(self, announced: Instance) -> bool:
        """Returns whether an announcement must go through the log.

        One that can't be used changes nothing, so that it replaces no good one.
        """
        if fault(announced):
            return False
        known = self.servers.get(announced.id) or self._removed.get(
            announced.id
        )
        if known is not None and _recency(announced) <= _recency(known):
            return False
        if announced.state.is_offline:
            return announced.id in self.servers
        if known is not None and known.state is ServerState.GONE:
            return announced.started_ms > known.started_ms
        return known is None or _facts(announced) != _facts(known)

    def with_known_incarnation(
        self, announced: Instance, last_sequence: int
    ) -> Instance:
        """Completes a server's last announcement from its known incarnation.

        The announcement of an end may lack start time and sequence number.
        Without them, it would look older than the known state and be ignored.

        Args:
            announced: the announcement.
            last_sequence: the highest sequence number received from the server.
        """
        known = self.servers.get(announced.id)
        if known is None or announced.started_ms:
            return announced
        newest = max(known.sequence, last_sequence)
        return _with_state(known, announced.state, known.started_ms, newest + 1)

    def apply(self, announced: Instance) -> list[Instance]:
        """Applies an announcement; returns the changed servers, in order."""
        if not self.would_change(announced):
            return []
        if announced.state.is_offline:
            return [self._remove(announced)]
        changed = []
        other = self.servers.get(self._by_address.get(announced.address, ""))
        if other is not None and other.id != announced.id:
            # An address belongs to one process, the one that started last. If a
            # late announcement gave it back to the older one, requests of one
            # service could reach a server of another.
            if other.started_ms > announced.started_ms:
                return []
            removed = _with_state(other, ServerState.GONE)
            changed.append(self._remove(removed))
        self._removed.pop(announced.id, None)
        self._put(announced)
        return [*changed, announced]

    def state(self) -> list[Instance]:
        """Returns the whole state, for a snapshot."""
        return [*self.servers.values(), *self._removed.values()]

    def restore(self, instances: list[Instance]) -> list[Instance]:
        """Replaces the whole state by a snapshot's.

        Returns:
            The servers that were left out because they can't be used.
        """
        self.servers = {}
        self._removed = {}
        self._by_service = {}
        self._by_address = {}
        unusable = []
        for instance in instances:
            if fault(instance):
                unusable.append(instance)
            elif instance.state.is_offline:
                self._removed[instance.id] = instance
            else:
                self._put(instance)
        return unusable

    def servers_of(self, service: str) -> Collection[Instance]:
        """Returns the servers of a service."""
        return self._by_service.get(service, {}).values()

    def drop(self, server: str) -> Instance | None:
        """Drops a server without remembering it; returns its last state."""
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
        """Drops a server, and remembers it as removed."""
        known = self.drop(announced.id) or announced
        removed = _with_state(
            known,
            announced.state,
            max(known.started_ms, announced.started_ms),
            max(known.sequence, announced.sequence),
        )
        self._removed[announced.id] = removed
        while len(self._removed) > _MAX_REMOVED:
            del self._removed[next(iter(self._removed))]
        return removed


def _recency(instance: Instance) -> tuple[int, int]:
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
