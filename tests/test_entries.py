"""Faults of entries and between them, with real processes behind a proxy.

What is checked comes from the fakes and the callers, not from our counters.
"""

from __future__ import annotations

import asyncio
import contextlib
import functools
import random
import signal
import time
from typing import TYPE_CHECKING, Any

import aiohttp

from tests import base, cells, processes, replies, test_replicas

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


class EntryFaultsTest(cells.FaultsTest):
    """Faults of the entry that a caller is connected to."""

    def test_entry_dies_while_a_service_works(self) -> None:
        """An entry is killed while a payment is being made.

        The caller resends through another entry and gets the answer of the
        one payment.
        """

        async def body(cluster: base.Cluster) -> None:
            await cluster.steer("service-1", delay_ms=500)
            call = asyncio.create_task(self.pay(cluster))
            await self.effect(cluster, "pay-1")
            cluster.processes["entry-1"].kill()
            await asyncio.gather(call, return_exceptions=True)
            reply = await self.pay(cluster, "entry-2")
            self.assertEqual((200, "ran"), (reply.status, reply.verdict))
            self.assertEqual("pay-1", reply.json["done"])
            seen = await cluster.look("service-1")
            self.assertEqual(1, seen["effects"]["pay-1"])

        self.cell(body, entries=2)

    def test_entry_and_leader_die_together(self) -> None:
        """The hosts of the caller's entry and of the leader fail at once.

        The caller resends through another entry and gets the answer of the
        one payment.
        """

        async def body(cluster: base.Cluster) -> None:
            await cluster.steer("service-1", delay_ms=500)
            leader = await test_replicas.wait_leader(cluster)
            call = asyncio.create_task(self.pay(cluster))
            await self.effect(cluster, "pay-1")
            cluster.processes["entry-1"].kill()
            cluster.processes[leader].kill()
            await asyncio.gather(call, return_exceptions=True)
            headers = {"Catkinpin-Deadline-Ms": "20000"}
            reply = await self.pay(cluster, "entry-2", headers=headers)
            self.assertEqual((200, "pay-1"), (reply.status, reply.json["done"]))
            seen = await cluster.look("service-1")
            self.assertEqual(1, seen["effects"]["pay-1"])

        self.cell(body, entries=2, replicas=3)

    def test_entry_dies_mid_stream(self) -> None:
        """An entry is killed in the middle of an answer.

        The caller resends through another entry and gets the whole answer.
        """

        async def body(cluster: base.Cluster) -> None:
            prompt = [base.user("a")]
            headers = {"Idempotency-Key": "a"}
            kill = cells.at(5, cluster.processes["entry-1"].kill)
            with contextlib.suppress(aiohttp.ClientError):
                await cluster.stream(
                    "entry-1", "berater", prompt, headers, kill
                )
            got = await cluster.stream("entry-2", "berater", prompt, headers)
            self.assert_whole(got)

        self.cell(body, entries=2, engines={"engine-1": {"token_ms": 20}})

    def test_planned_stop_cuts_nothing(self) -> None:
        """An entry is asked to stop in the middle of two answers.

        Both go on to their ends; new requests are refused with "not run" and
        a time to come back; the process then ends with 0.
        """

        async def body(cluster: base.Cluster) -> None:
            process = cluster.processes["entry-1"]
            late: list[replies.Reply] = []

            async def on_token(count: int) -> None:
                if count == 3:
                    process.signal(signal.SIGTERM)
                    await base.until(refused, "the entry refuses")

            async def refused() -> bool:
                late.append(await self.pay(cluster, key=f"late-{len(late)}"))
                return late[-1].status != 200

            whole = asyncio.create_task(
                cluster.chat("entry-1", "berater", [base.user("whole")])
            )
            got = await cluster.stream(
                "entry-1", "berater", [base.user("a")], on_token=on_token
            )
            self.assert_whole(got)
            self.assertEqual(200, (await whole).status)
            self.assertEqual("stopping", late[-1].json["error"]["code"])
            self.assertEqual("not-run", late[-1].verdict)
            self.assertIn("Retry-After", late[-1].headers)
            self.assertEqual(0, process.wait())

        self.cell(body, engines={"engine-1": {"token_ms": 40}})

    def test_reload_signal_ends_no_process(self) -> None:
        """Guards against SIGHUP's default action: calls in flight cut off."""

        async def body(cluster: base.Cluster) -> None:
            await cluster.steer("service-1", delay_ms=500)
            call = asyncio.create_task(self.pay(cluster))
            await self.effect(cluster, "pay-1")
            for name in ("entry-1", "replica-1"):
                process = cluster.processes[name]
                process.signal(signal.SIGHUP)
                logged = functools.partial(self._logged, process, "SIGHUP")
                await base.until(logged, "the process says what it does")
            self.assertEqual(200, (await call).status)

        self.cell(body)

    def test_signals_at_the_end_of_a_stop_change_no_exit_code(self) -> None:
        """Guards against an orderly stop that looks failed to an operator."""

        async def body(cluster: base.Cluster) -> None:
            for name in ("entry-1", "replica-1"):
                process = cluster.processes[name]
                process.signal(signal.SIGTERM)
                while process.exit_code() is None:
                    process.signal(signal.SIGHUP)
                    await asyncio.sleep(0.002)
                self.assertEqual(0, process.exit_code(), name)

        self.cell(body)

    def test_second_signal_ends_at_once(self) -> None:
        """An operator does not want to wait for a hanging tool any more."""

        async def body(cluster: base.Cluster) -> None:
            await cluster.steer("service-1", delay_ms=60_000)
            call = asyncio.create_task(self.pay(cluster))
            await self.effect(cluster, "pay-1")
            process = cluster.processes["entry-1"]
            process.signal(signal.SIGTERM)
            await base.until(
                lambda: self._logged(process, "waiting for calls in flight"),
                "the entry says what it waits for",
            )
            self.assertIn("pay-1", process.log.read_text())
            self.assertEqual(5, process.stop())
            await asyncio.gather(call, return_exceptions=True)

        self.cell(body)

    def test_stop_timeout_bounds_the_stop(self) -> None:
        """A planned stop meets a tool that hangs.

        The stop ends after its bound and says by its exit code that a call
        was cut off.
        """

        async def body(cluster: base.Cluster) -> None:
            await cluster.steer("service-1", delay_ms=60_000)
            call = asyncio.create_task(self.pay(cluster))
            await self.effect(cluster, "pay-1")
            self.assertEqual(4, cluster.processes["entry-1"].stop())
            await asyncio.gather(call, return_exceptions=True)

        self.cell(body, stop_timeout_ms=500)

    def test_caller_leaves_mid_stream(self) -> None:
        """A caller's connection breaks in the middle of its answer.

        It resends through another entry and gets the whole answer; the engine
        generates it once.
        """

        async def body(cluster: base.Cluster) -> None:
            prompt = [base.user("a")]
            headers = {"Idempotency-Key": "a"}

            async def leave(count: int) -> None:
                if count == 5:
                    raise ConnectionError

            with contextlib.suppress(ConnectionError):
                await cluster.stream(
                    "entry-1", "berater", prompt, headers, leave
                )
            got = await cluster.stream("entry-2", "berater", prompt, headers)
            self.assert_whole(got)
            seen = (await cluster.look("engine-1"))["seen"]
            ours = [one for one in seen if one["request_id"] == "a"]
            self.assertEqual(1, len(ours))

        self.cell(body, entries=2, engines={"engine-1": {"token_ms": 20}})

    def test_grant_that_comes_late_is_not_used(self) -> None:
        """A grant is held up on its way to an entry.

        By its arrival the leader may have given the place away. Nothing is
        sent to the server, and the caller hears that its request did not run.
        """

        async def body(cluster: base.Cluster) -> None:
            await cluster.steer("replica-1-proxy", down_delay_ms=1_400)
            headers = {"Catkinpin-Deadline-Ms": "5000"}
            reply = await self.pay(cluster, headers=headers)
            self.assertEqual("not-run", reply.verdict)
            seen = await cluster.look("service-1")
            self.assertNotIn("pay-1", seen["effects"])

        self.cell(body, replicas_proxied=True)

    async def _logged(self, process: processes.Process, text: str) -> bool:
        return text in process.log.read_text()


class ServerLifeTest(cells.FaultsTest):
    """Servers that leave, return and announce themselves twice."""

    def test_leaving_server_gets_no_new_work(self) -> None:
        """A server announces under load that it is leaving.

        After two seconds it gets no request any more, and the answers that it
        is giving come to their ends.
        """

        async def body(cluster: base.Cluster) -> None:
            cluster.add_fake("engine", "engine-2")
            # Without another server that is known, calls are refused rightly.
            await self.known(cluster, "engine-2")
            results: list[replies.Streamed] = []
            until = time.monotonic() + 3.5

            async def load(worker: int) -> None:
                while time.monotonic() < until:
                    results.append(
                        await cluster.stream(
                            "entry-1", "berater", [base.user(f"w{worker}")]
                        )
                    )

            async def leave() -> float:
                await asyncio.sleep(1.0)
                # It still takes what comes: nobody may send any.
                await cluster.steer("engine-1", leaving=True, lenient=True)
                return time.time()

            *_, left_at = await asyncio.gather(*map(load, range(4)), leave())
            for got in results:
                self.assert_whole(got)
            seen = (await cluster.look("engine-1"))["seen"]
            self.assertTrue(seen)
            late = [one["at"] - left_at for one in seen]
            self.assertLess(max(late), 2.0)

        self.cell(body)

    def test_server_returns_and_announces_twice(self) -> None:
        """A service is restarted under its old address and announces twice.

        Requests go to its new life and run once; a request that was under way
        in its old life may have run, whatever the new one knows.
        """

        async def body(cluster: base.Cluster) -> None:
            await cluster.steer("service-1", delay_ms=60_000)
            call = asyncio.create_task(self.pay(cluster, key="old"))
            await self.effect(cluster, "old")
            cluster.processes["service-1"].kill()
            cluster.processes["service-1"].start()
            self.assertEqual("may-have-run", (await call).verdict)

            async def served() -> bool:
                reply = await self.pay(cluster, key="new")
                return reply.status == 200

            await base.until(served, "the new life is served")
            seen = await cluster.look("service-1")
            self.assertEqual({"new": 1}, seen["effects"])

        self.cell(body, entries=2, services={"service-1": {"announce_all": 1}})


class RelayFaultsTest(cells.FaultsTest):
    """Faults between the entries of two regions."""

    def test_history_crosses_once(self) -> None:
        """A long session's caller and engine stand in two regions.

        Each turn sends only what is new over the link between them.
        """

        async def body(cluster: base.Cluster) -> None:
            rng = random.Random(1)
            words = [f"{rng.getrandbits(64):x}" for _ in range(2_000)]
            history = [base.user(" ".join(words))]
            sizes = []
            for turn in range(3):
                before = await cluster.look("entry-2-proxy")
                reply = await cluster.chat(
                    "entry-1",
                    "berater",
                    history,
                    headers={"Catkinpin-Program": "session"},
                )
                self.assertEqual(200, reply.status)
                after = await cluster.look("entry-2-proxy")
                sizes.append(after["passed"]["up"] - before["passed"]["up"])
                message = reply.json["choices"][0]["message"]
                history += [message, base.user(f"turn {turn}")]
            seen = (await cluster.look("engine-1"))["seen"][-1]
            self.assertEqual(5, len(seen["messages"]))
            self.assertLess(max(sizes[1:]), 2_000)

        self.regions(body)

    def test_relay_entry_dies_mid_stream(self) -> None:
        """The entry in the engine's region is killed in mid-answer.

        The caller's entry resumes the stream at the engine; the caller gets
        the whole answer.
        """
        self._relay_lost(lambda c: c.processes["entry-2"].kill())

    def test_link_is_cut_mid_stream(self) -> None:
        """The link between two entries is cut in mid-answer."""
        self._relay_lost(lambda c: c.steer("entry-2-proxy", cut=True))

    def test_link_goes_silent_mid_stream(self) -> None:
        """The link goes silent one way in mid-answer, for good."""
        self._relay_lost(lambda c: c.steer("entry-2-proxy", down_silent=True))

    def test_callers_entry_dies_while_another_region_works(self) -> None:
        """The caller's entry is killed while a payment runs far away.

        The entry in the service's region reports the outcome, so that the
        caller's resend gets it without a question to the service.
        """

        async def body(cluster: base.Cluster) -> None:
            await cluster.steer("service-1", delay_ms=500)
            call = asyncio.create_task(self.pay(cluster))
            await self.effect(cluster, "pay-1")
            cluster.processes["entry-1"].kill()
            await asyncio.gather(call, return_exceptions=True)
            reply = await self.pay(cluster, "entry-3")
            self.assertEqual((200, "pay-1"), (reply.status, reply.json["done"]))
            seen = await cluster.look("service-1")
            self.assertEqual(1, seen["effects"]["pay-1"])
            self.assertEqual([], seen["asked"])

        self.regions(body)

    def _relay_lost(self, act: Callable[[base.Cluster], Any]) -> None:
        async def body(cluster: base.Cluster) -> None:
            got = await cluster.stream(
                "entry-1",
                "berater",
                [base.user("a")],
                on_token=cells.at(5, lambda: act(cluster)),
            )
            self.assert_whole(got)
            seen = (await cluster.look("engine-1"))["seen"]
            attempts = [one["messages"] for one in seen]
            self.assertEqual(1, attempts.count([base.user("a")]))

        self.regions(body)

    def regions(self, body: Callable[[base.Cluster], Awaitable[None]]) -> None:
        """Runs a test's body with caller and engine in two regions."""

        async def main() -> None:
            async with base.Cluster(self.folder) as cluster:
                cluster.add_replicas(1)
                cluster.add_entry("entry-1", region="a")
                cluster.add_entry("entry-2", region="b", proxied=True)
                cluster.add_entry("entry-3", region="a")
                cluster.add_fake("engine", "engine-1", region="b", token_ms=20)
                cluster.add_fake("service", "service-1", region="b")
                await cluster.apply(base.config())
                await cluster.ready("entry-1")
                await cluster.ready("entry-2")
                await cluster.ready("entry-3")
                await cluster.serving("entry-1", "berater", "model")
                await cluster.serving("entry-1", "kiosk-app", "service")
                await body(cluster)

        self.run_async(main())
