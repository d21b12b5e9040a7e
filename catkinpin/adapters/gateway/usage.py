"""Plain requests of client accounts, reported to the leader.

Turns pass the leader, plain requests don't: asked before each, it would add
the way to it, between regions 16 ms, to every tool call. They are passed on
and reported a moment later; the reply names the accounts that get no more.
The same report names servers that have an overdue call.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from catkinpin import decisions
from catkinpin.core.control import protocol
from catkinpin.core.control.quotas import AccountUse
from catkinpin.exceptions import PeerLostError

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from catkinpin.adapters.peers.keepers import Keepers
    from catkinpin.clock import Clock
    from catkinpin.core.control.accounts import ClientAccount

_MS = 1_000
REPORT_INTERVAL_S = 0.2
_ASK_S = 1.0
# Without a leader for longer, single requests get this gateway's share.
_OUTAGE_MS = 1_000
_RETRY_OUTAGE_MS = 500


async def wait_for_room(retry_ms: int, until_s: float) -> bool:
    """Waits until a quota has room; returns whether it has by `until_s`."""
    now_s = asyncio.get_running_loop().time()
    if now_s + retry_ms / _MS > until_s:
        return False
    await asyncio.sleep(retry_ms / _MS)
    return True


class UsageReporter:
    """Reports plain requests, and knows which accounts get none served.

    Args:
        keepers: links to the leader.
        clock: time.
        gateways: returns how many gateways share a quota.
        unresponsive: returns servers that have an overdue call.
    """

    def __init__(
        self,
        keepers: Keepers,
        clock: Clock,
        gateways: Callable[[], int],
        unresponsive: Callable[[], Collection[str]],
    ) -> None:
        self._keepers = keepers
        self._clock = clock
        self._gateways = gateways
        self._pending: dict[str, AccountUse] = {}
        self._reported_ms = clock.now_ms()
        self._unresponsive = unresponsive
        self._over: dict[str, int] = {}
        self._spent: dict[str, int] = {}

    def retry_ms(self, account: ClientAccount, *, in_program: bool) -> int:
        """Returns in how many ms a request may be passed on, 0 for now."""
        if not account.quota.is_limited:
            return 0
        now_ms = self._clock.now_ms()
        until_ms = self._over.get(account.name, 0)
        if not in_program:
            until_ms = max(until_ms, self._spent.get(account.name, 0))
            if self._is_share_used(account, now_ms):
                return _RETRY_OUTAGE_MS
        return max(0, until_ms - now_ms)

    def record(self, account: ClientAccount, *, in_program: bool) -> None:
        """Counts a request that is passed on."""
        if not account.quota.is_limited:
            return
        use = AccountUse(
            account=account.name,
            single=int(not in_program),
            in_programs=int(in_program),
        )
        self._add(use)

    async def run(self) -> None:
        """Reports for as long as the gateway runs."""
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            unresponsive = sorted(self._unresponsive())
            if self._pending or self._over or self._spent or unresponsive:
                await self._report(unresponsive)

    async def _report(self, unresponsive: list[str]) -> None:
        uses, self._pending = list(self._pending.values()), {}
        try:
            reply = await self._keepers.ask_leader(
                lambda ask: protocol.ReportUse(
                    ask=ask, uses=uses, unresponsive=unresponsive
                ),
                _ASK_S,
            )
        except PeerLostError as exc:
            decisions.note("use-unreported", "", reason=str(exc))
            for use in uses:
                self._add(use)
            return
        now_ms = self._clock.now_ms()
        self._reported_ms = now_ms
        self._over = {a: now_ms + ms for a, ms in reply.over.items()}
        self._spent = {a: now_ms + ms for a, ms in reply.spent.items()}

    def _add(self, use: AccountUse) -> None:
        self._pending[use.account] = use.plus(self._pending.get(use.account))

    def _is_share_used(self, account: ClientAccount, now_ms: int) -> bool:
        """Returns whether an outage has used up this gateway's share.

        Without a leader nobody adds up what the gateways pass on.
        """
        outage_ms = now_ms - self._reported_ms
        unreported = self._pending.get(account.name)
        if unreported is None or outage_ms < _OUTAGE_MS:
            return False
        quota = account.quota
        allowed = quota.burst + quota.rate_per_s * outage_ms / _MS
        return unreported.single >= max(1, allowed / max(1, self._gateways()))
