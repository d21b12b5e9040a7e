"""What the hosts of the log groups need of the replica process."""

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
    """What the control group reads of a shard's host."""

    @property
    def state(self) -> Shard:
        """The shard's state."""


class QuarantineState(Protocol):
    """What the shards read of the control group's state."""

    @property
    def quarantine(self) -> Container[bytes]:
        """Fingerprints of request contents that no server may get."""


class QuarantineHost(Protocol):
    """What the shards need of the control group's host."""

    @property
    def state(self) -> QuarantineState:
        """The control group's state."""

    async def quarantine(self, fingerprint: bytes, reason: str) -> bool:
        """Quarantines a request's content; returns whether the log has it."""


class ReplicaContext(Protocol):
    """What the hosts of the log groups need of a replica.

    Attributes:
        cfg: the replica's settings.
        clock: the replica's clock.
        node: runs the replica's log groups.
        view: the backend servers, according to their reports.
        replicas: streams to all replicas.
        lease: this replica's lease on its configuration, from the control
            group's leader. Without it the replica places no calls.
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
    def control(self) -> QuarantineHost:
        """The host of the control group."""

    def led_share(self) -> float:
        """Returns the share of the shards that this replica leads."""

    def send(self, to: EntryRef, message: Any) -> None:
        """Sends to an entry; drops the message if the entry has ended."""

    def send_to(self, incarnation: str, message: Any) -> None:
        """Sends to a process; drops the message if the process has ended."""

    def entry_streams(self) -> Iterable[links.Stream]:
        """Returns the streams of all entries that are connected."""

    def configuration_changed(self, cfg: Configuration) -> None:
        """Applies a new configuration to the shards and the lease."""
