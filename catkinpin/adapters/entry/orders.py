"""Carries orders from the control leader to engines."""

from __future__ import annotations

import asyncio
import json
import logging
from typing import TYPE_CHECKING

import aiohttp

from catkinpin.core.operations import changes
from catkinpin.core.programs import sharding
from catkinpin.exceptions import PeerLostError

if TYPE_CHECKING:
    from catkinpin.adapters.entry.shards import Replicas
    from catkinpin.clock import Clock

log = logging.getLogger(__name__)

_PATH = "/v1/orders"
_CLAIM_TIMEOUT_S = 2.0
_RESULT_TIMEOUT_S = 10.0
_MS_PER_S = 1000
_MAX_TEXT = 300


class OrderCarrier:
    """Sends orders that the control leader still stands by."""

    def __init__(self, replicas: Replicas, clock: Clock) -> None:
        self._replicas = replicas
        self._clock = clock
        self._tasks: set[asyncio.Task[None]] = set()

    def offered(self, offer: changes.OrderOffer) -> None:
        """Carries an order in the background."""
        task = asyncio.create_task(self._carry(offer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def stop(self) -> None:
        """Gives up what is under way; the leader asks another entry."""
        for task in self._tasks:
            task.cancel()

    async def _carry(self, offer: changes.OrderOffer) -> None:
        sent_ms = self._clock.now_ms()

        def claim(ask: int) -> changes.OrderClaim:
            return changes.OrderClaim(
                ask=ask, plan_id=offer.plan_id, step=offer.step
            )

        try:
            lease = await self._replicas.ask(
                sharding.CONTROL_GROUP, claim, _CLAIM_TIMEOUT_S
            )
            # An entry that was frozen after its question would send an order
            # that has been overtaken; an engine that ignores fencing tokens
            # would obey it. So the time counts from the question.
            left_ms = sent_ms + lease.valid_ms - self._clock.now_ms()
            if not lease.valid_ms or left_ms <= 0:
                return
            ok, text = await _post(lease, left_ms)
            await self._replicas.ask(
                sharding.CONTROL_GROUP,
                lambda ask: changes.OrderResult(
                    ask=ask,
                    plan_id=offer.plan_id,
                    step=offer.step,
                    ok=ok,
                    text=text,
                ),
                _RESULT_TIMEOUT_S,
            )
        except PeerLostError as exc:
            log.warning("order not carried: %s", exc)


async def _post(lease: changes.OrderLease, left_ms: int) -> tuple[bool, str]:
    """Returns whether the engine took the order, and what it said."""
    body = {**json.loads(lease.body), "fence": lease.fence}
    timeout = aiohttp.ClientTimeout(total=left_ms / _MS_PER_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as http,
            http.post(lease.address + _PATH, json=body) as resp,
        ):
            text = (await resp.text())[:_MAX_TEXT]
            return resp.ok, f"{resp.status}: {text}"
    except (aiohttp.ClientError, TimeoutError) as exc:
        return False, f"no answer: {exc!r}"
