"""Sends the control leader's orders to engines."""

from __future__ import annotations

import asyncio
import json
import logging
from typing import TYPE_CHECKING

import aiohttp

from catkinpin.adapters.entry import backends
from catkinpin.core.operations import changes
from catkinpin.core.programs import sharding
from catkinpin.exceptions import PeerLostError

if TYPE_CHECKING:
    from catkinpin.adapters.entry.shards import Replicas
    from catkinpin.clock import Clock

log = logging.getLogger(__name__)

_ORDERS_PATH = "/v1/orders"
_CLAIM_TIMEOUT_S = 2.0
_RESULT_TIMEOUT_S = 10.0
_MS_PER_S = 1000
_MAX_TEXT_CHARS = 300


class OrderSender:
    """Sends orders to engines after the control leader has confirmed them."""

    def __init__(self, replicas: Replicas, clock: Clock) -> None:
        self._replicas = replicas
        self._clock = clock
        self._tasks: set[asyncio.Task[None]] = set()

    def handle_offer(self, offer: changes.OrderOffer) -> None:
        """Sends an offered order in the background."""
        task = asyncio.create_task(self._send_order(offer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def stop(self) -> None:
        """Cancels the orders in progress; the leader asks another entry."""
        for task in self._tasks:
            task.cancel()

    async def _send_order(self, offer: changes.OrderOffer) -> None:
        sent_ms = self._clock.now_ms()

        def make_claim(ask: int) -> changes.OrderClaim:
            return changes.OrderClaim(
                ask=ask, plan_id=offer.plan_id, step=offer.step
            )

        try:
            lease = await self._replicas.ask(
                sharding.CONTROL_GROUP, make_claim, _CLAIM_TIMEOUT_S
            )
            # An entry that was frozen after its claim could send an outdated
            # order, and an engine that ignores fencing tokens would follow it.
            # So the lease counts from the time of the claim.
            left_ms = sent_ms + lease.valid_ms - self._clock.now_ms()
            if not lease.valid_ms or left_ms <= 0:
                return
            is_accepted, text = await _post_order(lease, left_ms)
            await self._replicas.ask(
                sharding.CONTROL_GROUP,
                lambda ask: changes.OrderResult(
                    ask=ask,
                    plan_id=offer.plan_id,
                    step=offer.step,
                    ok=is_accepted,
                    text=text,
                ),
                _RESULT_TIMEOUT_S,
            )
        except PeerLostError as exc:
            log.warning("order not sent or not confirmed: %s", exc)


async def _post_order(
    lease: changes.OrderLease, left_ms: int
) -> tuple[bool, str]:
    """Returns whether the engine accepted the order, and its answer."""
    body = {**json.loads(lease.body), "fence": lease.fence}
    timeout = aiohttp.ClientTimeout(total=left_ms / _MS_PER_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.post(lease.address + _ORDERS_PATH, json=body) as resp,
        ):
            answer = await backends.read_body(resp)
            text = answer.decode(errors="replace")[:_MAX_TEXT_CHARS]
            return resp.ok, f"{resp.status}: {text}"
    except (aiohttp.ClientError, TimeoutError) as exc:
        return False, f"no answer: {exc!r}"
