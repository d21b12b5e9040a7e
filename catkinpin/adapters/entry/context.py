"""The part of an entry process that its HTTP interfaces use."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from catkinpin.adapters.entry.calls import Calls
    from catkinpin.adapters.entry.configured import (
        ActiveConfiguration,
        LeaseHolder,
    )
    from catkinpin.adapters.entry.shards import Replicas
    from catkinpin.core import messages
    from catkinpin.settings import EntrySettings


class EntryContext(Protocol):
    """The interface of an entry to its HTTP interfaces.

    Attributes:
        cfg: its settings.
        active_config: the configuration that it serves with.
        stopping: whether new calls are refused.
        calls: the calls in progress.
        replicas: connections to the replicas.
        lease: its lease to serve with the configuration.
    """

    cfg: EntrySettings
    active_config: ActiveConfiguration
    stopping: bool
    calls: Calls
    replicas: Replicas
    lease: LeaseHolder

    def unready_reason(self) -> str:
        """Returns why this host should get no calls, or an empty string."""

    def handle_announcement(self, report: messages.ServerReport) -> None:
        """Stores a server's announcement for the next batch to the replicas."""

    def forward_cache_events(self, events: messages.CacheEvents) -> None:
        """Sends an engine's cache events to the replicas."""
