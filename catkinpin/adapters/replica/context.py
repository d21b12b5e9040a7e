"""The replica process as its log groups' hosts see it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from collections.abc import Container, Iterable, Mapping

    from catkinpin.adapters.entry.configured import LeaseHolder
    from catkinpin.adapters.entry.shards import Replicas
    from catkinpin.adapters.peers import links
    from catkinpin.adapters.replica.node import Node
    from catkinpin.clock import Clock
    from catkinpin.core.operations.deployments import Configuration
    from catkinpin.core.placement.servers import ServerView
    from catkinpin.core.programs.leader import EntryRef
    from catkinpin.core.programs.shard import Shard
    from catkinpin.settings import ReplicaSettings


class ShardState(Protocol):
    """A shard's host, as far as the control group reads it."""

    @property
    def state(self) -> Shard:
        """The shard's state."""


class QuarantineState(Protocol):
    """The control group's state, as far as shards read it."""

    @property
    def quarantine(self) -> Container[bytes]:
        """Fingerprints of the contents that no server may get."""


class Quarantines(Protocol):
    """The control group's host, as far as shards use it."""

    @property
    def state(self) -> QuarantineState:
        """Its state."""

    async def quarantine(self, fingerprint: bytes, reason: str) -> bool:
        """Has a content quarantined; returns whether it stands in the log."""


class ReplicaContext(Protocol):
    """What the hosts of the log groups need of a replica.

    Attributes:
        cfg: its settings.
        clock: time.
        node: its part in the log groups.
        view: the backend servers, from their reports.
        replicas: streams to all replicas.
        lease: its lease to serve under the configuration.
    """

    cfg: ReplicaSettings
    clock: Clock
    node: Node
    view: ServerView
    replicas: Replicas
    lease: LeaseHolder

    @property
    def shards(self) -> Mapping[str, ShardState]:
        """The hosts of the shards, by name."""

    @property
    def control(self) -> Quarantines:
        """The host of the control group."""

    def led_share(self) -> float:
        """Returns the part of the shards that this replica leads."""

    def send(self, to: EntryRef, message: Any) -> None:
        """Sends to an entry; dropped where that incarnation has gone."""

    def send_to(self, incarnation: str, message: Any) -> None:
        """Sends to a process; dropped where that incarnation has gone."""

    def entry_streams(self) -> Iterable[links.Stream]:
        """Returns the streams of all entries that are connected."""

    def configuration_changed(self, cfg: Configuration) -> None:
        """Puts a new configuration in force here."""
