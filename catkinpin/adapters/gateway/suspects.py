"""The requests that a gateway knows to crash servers, or to be suspected."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from catkinpin import metrics
from catkinpin.core.control.state import MAX_QUARANTINED

if TYPE_CHECKING:
    from catkinpin.clock import Clock
    from catkinpin.core.control.protocol import QuarantineUpdate
    from catkinpin.core.requests.digests import RequestDigests

_MS_PER_S = 1_000
# Time that the leader takes to decide on a suspect: 0.2 s until all gateways
# have reported the crash, a tick of 0.1 s, and a commit.
_DECISION_MS = 450


class KnownSuspects:
    """Quarantined and suspected requests, as the keepers announce them.

    Args:
        clock: source of the current time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # Digests, oldest first.
        self._quarantined: dict[str, None] = {}
        self._suspects: set[str] = set()
        self._held_until_ms: dict[str, int] = {}
        self._updated = asyncio.Event()

    def apply(self, update: QuarantineUpdate) -> None:
        """Applies an update of a keeper."""
        if update.whole:
            self._suspects.clear()
            self._held_until_ms.clear()
        self._suspects.update(update.suspects)
        self._suspects.difference_update(update.cleared)
        until_ms = self._clock.now_ms() + _DECISION_MS
        self._held_until_ms.update(dict.fromkeys(update.held, until_ms))
        for digest in (*update.cleared, *update.contents):
            self._held_until_ms.pop(digest, None)
        self._quarantined.update(dict.fromkeys(update.contents))
        for digest in update.lifted:
            self._quarantined.pop(digest, None)
        while len(self._quarantined) > MAX_QUARANTINED:
            del self._quarantined[next(iter(self._quarantined))]
        metrics.QUARANTINED_CONTENTS.set(len(self._quarantined))
        self._updated.set()
        self._updated = asyncio.Event()

    def is_quarantined(self, digests: RequestDigests) -> bool:
        """Returns whether no server may get a request."""
        return bool(self.quarantined_digest(digests))

    def quarantined_digest(self, digests: RequestDigests) -> str:
        """Returns the digest by which a request is quarantined, or ""."""
        for digest in _all_digests(digests):
            if digest in self._quarantined:
                return digest
        return ""

    def is_suspect(self, digests: RequestDigests) -> bool:
        """Returns whether a request was running on a server that crashed."""
        return bool(self.suspected_digest(digests))

    def suspected_digest(self, digests: RequestDigests) -> str:
        """Returns the widest digest by which a request is suspected, or ""."""
        for digest in _all_digests(digests):
            if digest in self._suspects:
                return digest
        return ""

    async def wait_for_decision(
        self, digests: RequestDigests, wait_s: float
    ) -> None:
        """Waits while the leader decides whether a request is quarantined.

        It may have crashed two servers, or may only have been running there.

        Args:
            digests: of the request.
            wait_s: longest wait.
        """
        loop = asyncio.get_running_loop()
        until_s = loop.time() + wait_s
        while held_ms := self._held_ms(digests):
            timeout_s = min(held_ms / _MS_PER_S, until_s - loop.time())
            if timeout_s <= 0:
                return
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(timeout_s):
                    await self._updated.wait()

    def _held_ms(self, digests: RequestDigests) -> int:
        """Returns for how long to wait for the leader's decision; 0: not."""
        if not self._held_until_ms or self.is_quarantined(digests):
            return 0
        until_ms = max(
            self._held_until_ms.get(digest, 0)
            for digest in _all_digests(digests)
        )
        return max(0, until_ms - self._clock.now_ms())


def _all_digests(digests: RequestDigests) -> tuple[str, str, str]:
    """Returns the digests of a request, the widest first."""
    return digests.path, digests.shared, digests.content
