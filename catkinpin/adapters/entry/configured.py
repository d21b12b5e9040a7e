"""The configuration that a process serves under, and its lease to do so."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from typing import TYPE_CHECKING

from catkinpin import metrics
from catkinpin.core.operations import changes
from catkinpin.core.operations.deployments import Configuration
from catkinpin.core.programs import sharding
from catkinpin.exceptions import PeerLostError

if TYPE_CHECKING:
    from collections.abc import Callable

    from catkinpin.adapters.entry.shards import Replicas
    from catkinpin.clock import Clock

log = logging.getLogger(__name__)

RENEW_EVERY_S = 1.0
_ASK_TIMEOUT_S = 1.0
_SOON_S = 0.05


class ActiveConfiguration:
    """The newest configuration this process has been sent.

    Attributes:
        configuration: None until the first one has come.
        accounts: account by the digest of its key.
    """

    def __init__(self) -> None:
        self.configuration: Configuration | None = None
        self.revision = 0
        self.accounts: dict[str, str] = {}

    def apply_update(self, update: changes.ConfigUpdate) -> bool:
        """Serves under `update`; returns False where it does not fit.

        An update that is late may carry an older revision than one before;
        going back would let a withdrawn key or budget work again.
        """
        if update.revision <= self.revision or update.base > self.revision:
            return False
        if update.base == 0 or self.configuration is None:
            cfg = Configuration(update.upserts)
        else:
            cfg = self.configuration.with_changes(
                update.upserts, update.removes
            )
        self.configuration = cfg
        self.revision = update.revision
        self.accounts = {a.key_sha256: a.name for a in cfg.accounts.values()}
        metrics.REVISION.set(update.revision)
        return True


class LeaseHolder:
    """Keeps the lease under which this process may serve.

    A process that is frozen or cut off misses changes: a key withdrawn in the
    meantime would still open the door, and nobody would notice. So it serves
    only for a short time after the control leader has last told it that its
    revision is the newest, counted on its own monotonic clock from when it
    *sent* its question.

    Args:
        replicas: streams to the replicas.
        clock: source of time.
        revision: returns the revision that this process serves under.
        apply_update: called with updates; None where they come another way.
    """

    def __init__(
        self,
        replicas: Replicas,
        clock: Clock,
        revision: Callable[[], int],
        apply_update: Callable[[changes.ConfigUpdate], bool] | None,
    ) -> None:
        self._replicas = replicas
        self._clock = clock
        self._revision = revision
        self._apply_update = apply_update
        self._lapses_ms = 0
        self._wake = asyncio.Event()

    def problem(self) -> str:
        """Returns why this process may not serve now, or an empty string."""
        if self._revision() == 0:
            return "no confirmed configuration"
        if self._clock.now_ms() >= self._lapses_ms:
            return "the configuration is not confirmed: its lease lapsed"
        return ""

    def renew_now(self) -> None:
        """Confirms a new revision at once."""
        self._wake.set()

    async def run(self) -> None:
        """Renews the lease for ever."""
        while True:
            pause_s = _SOON_S
            self._wake.clear()
            try:
                pause_s = await self._renew()
            except PeerLostError as exc:
                log.debug("lease not renewed: %s", exc)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(pause_s):
                    await self._wake.wait()

    async def _renew(self) -> float:
        revision = self._revision()
        sent_ms = 0

        def make(ask: int) -> changes.RenewLease:
            nonlocal sent_ms
            sent_ms = self._clock.now_ms()
            return changes.RenewLease(
                ask=ask,
                revision=revision,
                wants_update=self._apply_update is not None,
            )

        lease = await self._replicas.ask(
            sharding.CONTROL_GROUP, make, _ASK_TIMEOUT_S
        )
        if lease.update is not None and self._apply_update is not None:
            self._apply_update(lease.update)
            return 0.0
        if lease.lease_ms and lease.revision >= revision:
            lapses_ms = sent_ms + lease.lease_ms
            self._lapses_ms = max(self._lapses_ms, lapses_ms)
            return RENEW_EVERY_S
        return _SOON_S
