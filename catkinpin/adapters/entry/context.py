"""The entry process as its HTTP interfaces see it."""

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
    """What the HTTP interfaces need of an entry.

    Attributes:
        cfg: its settings.
        configured: the configuration that it serves under.
        stopping: whether new calls are refused.
        calls: calls under way.
        replicas: streams to the replicas.
        lease: its lease to serve under the configuration.
    """

    cfg: EntrySettings
    configured: ActiveConfiguration
    stopping: bool
    calls: Calls
    replicas: Replicas
    lease: LeaseHolder

    def not_ready(self) -> str:
        """Returns why no calls should come here, or an empty string."""

    def announced(self, report: messages.ServerReport) -> None:
        """Handles a server's announcement."""

    def cache_changed(self, events: messages.CacheEvents) -> None:
        """Passes an engine's cache events on to the replicas."""
