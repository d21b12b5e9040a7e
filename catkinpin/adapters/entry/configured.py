"""The configuration that a process uses, and the lease that confirms it."""

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
_RETRY_DELAY_S = 0.05


class ActiveConfiguration:
    """The newest configuration that this process has received.

    Attributes:
        configuration: None until the first one was received.
        accounts: account names by the digest of their key.
    """

    def __init__(self) -> None:
        self.configuration: Configuration | None = None
        self.revision = 0
        self.accounts: dict[str, str] = {}

    def apply_update(self, update: changes.ConfigUpdate) -> bool:
        """Applies an update, unless it is out of date or leaves a gap.

        A late update may have an older revision than the current one. Applying
        it would make a withdrawn key or budget valid again. An update whose
        base is newer than the current revision lacks the changes in between.

        Returns:
            Whether the update was applied.
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
        self.accounts = {
            account.key_sha256: account.name
            for account in cfg.accounts.values()
        }
        metrics.CONFIGURATION_REVISION.set(update.revision)
        return True


class LeaseHolder:
    """Renews the lease that allows this process to serve.

    A process that is frozen or partitioned misses changes and would still
    accept a key that was withdrawn in the meantime. So it serves only for a
    short time after the control leader confirmed that its revision is the
    newest. This time starts when the process sent its request, on its own
    monotonic clock.

    Args:
        replicas: connections to the replicas.
        clock: source of time.
        revision: returns the revision that this process serves with.
        apply_update: called with updates; None if this process
            receives updates in another way.
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
        self._expires_ms = 0
        self._renewal_requested = asyncio.Event()

    def problem(self) -> str:
        """Returns why this process may not serve now, or an empty string."""
        if self._revision() == 0:
            return "no confirmed configuration"
        if self._clock.now_ms() >= self._expires_ms:
            return "the configuration is not confirmed: its lease lapsed"
        return ""

    def renew_now(self) -> None:
        """Makes `run` renew the lease now, not after its usual pause.

        The process calls this when its configuration's revision has changed.
        """
        self._renewal_requested.set()

    async def run(self) -> None:
        """Renews the lease until cancelled."""
        while True:
            pause_s = _RETRY_DELAY_S
            self._renewal_requested.clear()
            try:
                pause_s = await self._renew()
            except PeerLostError as exc:
                log.debug("lease not renewed: %s", exc)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(pause_s):
                    await self._renewal_requested.wait()

    async def _renew(self) -> float:
        revision = self._revision()
        sent_ms = 0

        def make_message(ask: int) -> changes.RenewLease:
            nonlocal sent_ms
            sent_ms = self._clock.now_ms()
            return changes.RenewLease(
                ask=ask,
                revision=revision,
                wants_update=self._apply_update is not None,
            )

        lease = await self._replicas.ask(
            sharding.CONTROL_GROUP, make_message, _ASK_TIMEOUT_S
        )
        if lease.update is not None and self._apply_update is not None:
            self._apply_update(lease.update)
            return 0.0
        if lease.lease_ms and lease.revision >= revision:
            expires_ms = sent_ms + lease.lease_ms
            self._expires_ms = max(self._expires_ms, expires_ms)
            return RENEW_EVERY_S
        return _RETRY_DELAY_S
