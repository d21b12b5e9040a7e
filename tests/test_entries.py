"""Faults of entries and between entries, with real processes behind a proxy.

The checks use what callers and fake servers saw, not Catkinpin's metrics.
"""

from __future__ import annotations

import asyncio
import contextlib
import functools
import random
import signal
import subprocess
import sys
import time
from typing import TYPE_CHECKING, Any

import aiohttp

from tests import base, cells, processes, replies, test_replicas

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


# Another process sends signals while this one, which has a second thread,
# ignores them and handles them again.
_REPLACE_HANDLERS = """
import asyncio, itertools, os, signal, threading, time, uvloop
from catkinpin import process
SIGNUMS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
def send_signals(receiver):
    try:
        for signum in itertools.cycle(SIGNUMS):
            os.kill(receiver, signum)
    finally:
        os._exit(0)
async def main():
    loop = asyncio.get_running_loop()
    for signum in SIGNUMS:
        loop.add_signal_handler(signum, lambda: None)
    receiver = os.getpid()
    sender = os.fork()
    if sender == 0:
        send_signals(receiver)
    threading.Thread(target=time.sleep, args=(30,), daemon=True).start()
    await asyncio.sleep(0.05)
    for _ in range(300):
        process._ignore_signals()
        for signum in SIGNUMS:
            loop.add_signal_handler(signum, lambda: None)
    os.kill(sender, signal.SIGKILL)
    os._exit(0)
uvloop.run(main())
"""


class EntryFaultsTest(cells.FaultsTest):
    """Faults of the entry that a caller is connected to."""

    def test_entry_dies_while_a_service_works(self) -> None:
        """Guards against a payment that is made twice or has no answer.

        An entry is killed during the payment, and the caller resends through
        another entry.
        """

        async def body(cluster: base.Cluster) -> None:
            await cluster.steer("service-1", delay_ms=500)
            call = asyncio.create_task(self.call_pay(cluster))
            await self.wait_for_effect(cluster, "pay-1")
            cluster.processes["entry-1"].kill()
            await asyncio.gather(call, return_exceptions=True)
            reply = await self.call_pay(cluster, "entry-2")
            self.assertEqual((200, "ran"), (reply.status, reply.verdict))
            self.assertEqual("pay-1", reply.json["done"])
            seen = await cluster.look("service-1")
            self.assertEqual(1, seen["effects"]["pay-1"])

        self.run_on_cluster(body, entries=2)

    def test_entry_and_leader_die_together(self) -> None:
        """Guards against a payment that is made twice or has no answer.

        The caller's entry and the leader are killed at once during the
        payment, and the caller resends through another entry.
        """

        async def body(cluster: base.Cluster) -> None:
            await cluster.steer("service-1", delay_ms=500)
            leader = await test_replicas.wait_leader(cluster)
            call = asyncio.create_task(self.call_pay(cluster))
            await self.wait_for_effect(cluster, "pay-1")
            cluster.processes["entry-1"].kill()
            cluster.processes[leader].kill()
            await asyncio.gather(call, return_exceptions=True)
            headers = {"Catkinpin-Deadline-Ms": "20000"}
            reply = await self.call_pay(cluster, "entry-2", headers=headers)
            self.assertEqual((200, "pay-1"), (reply.status, reply.json["done"]))
            seen = await cluster.look("service-1")
            self.assertEqual(1, seen["effects"]["pay-1"])

        self.run_on_cluster(body, entries=2, replicas=3)

    def test_entry_dies_mid_stream(self) -> None:
        """Guards against an incomplete answer after an entry was killed.

        The entry is killed while it streams the answer, and the caller resends
        through another entry.
        """

        async def body(cluster: base.Cluster) -> None:
            prompt = [base.user("a")]
            headers = {"Idempotency-Key": "a"}
            kill = cells.call_at_token(5, cluster.processes["entry-1"].kill)
            with contextlib.suppress(aiohttp.ClientError):
                await cluster.stream(
                    "entry-1", "berater", prompt, headers, kill
                )
            got = await cluster.stream("entry-2", "berater", prompt, headers)
            self.assert_complete(got)

        self.run_on_cluster(
            body, entries=2, engines={"engine-1": {"token_ms": 20}}
        )

    def test_planned_stop_cuts_nothing(self) -> None:
        """Guards against calls in flight that a planned stop aborts.

        An entry is stopped during two answers. Both are completed, new
        requests are refused with "not run" and a retry time, and the process
        exits with 0.
        """

        async def body(cluster: base.Cluster) -> None:
            process = cluster.processes["entry-1"]
            late_replies: list[replies.Reply] = []

            async def on_token(count: int) -> None:
                if count == 3:
                    process.signal(signal.SIGTERM)
                    await base.until(is_refused, "the entry refuses")

            async def is_refused() -> bool:
                late_replies.append(
                    await self.call_pay(
                        cluster, key=f"late-{len(late_replies)}"
                    )
                )
                return late_replies[-1].status != 200

            complete_call = asyncio.create_task(
                cluster.chat("entry-1", "berater", [base.user("whole")])
            )
            got = await cluster.stream(
                "entry-1", "berater", [base.user("a")], on_token=on_token
            )
            self.assert_complete(got)
            self.assertEqual(200, (await complete_call).status)
            self.assertEqual("stopping", late_replies[-1].json["error"]["code"])
            self.assertEqual("not-run", late_replies[-1].verdict)
            self.assertIn("Retry-After", late_replies[-1].headers)
            self.assertEqual(0, process.wait())

        self.run_on_cluster(body, engines={"engine-1": {"token_ms": 40}})

    def test_reload_signal_ends_no_process(self) -> None:
        """Guards against SIGHUP's default action, which aborts calls."""

        async def body(cluster: base.Cluster) -> None:
            await cluster.steer("service-1", delay_ms=500)
            call = asyncio.create_task(self.call_pay(cluster))
            await self.wait_for_effect(cluster, "pay-1")
            for name in ("entry-1", "replica-1"):
                process = cluster.processes[name]
                process.signal(signal.SIGHUP)
                has_logged = functools.partial(
                    self._has_logged, process, "SIGHUP"
                )
                await base.until(has_logged, "the process says what it does")
            self.assertEqual(200, (await call).status)

        self.run_on_cluster(body)

    def test_signals_at_the_end_of_a_stop_change_no_exit_code(self) -> None:
        """Guards against an orderly stop whose exit code reports a failure."""

        async def body(cluster: base.Cluster) -> None:
            for name in ("entry-1", "replica-1"):
                process = cluster.processes[name]
                process.signal(signal.SIGTERM)
                while process.exit_code() is None:
                    process.signal(signal.SIGHUP)
                    await asyncio.sleep(0.002)
                self.assertEqual(0, process.exit_code(), name)

        self.run_on_cluster(body)

    def test_signal_while_handlers_are_removed_ends_no_process(self) -> None:
        """Guards against the default action between handler and ignoring."""
        completed = subprocess.run(
            [sys.executable, "-c", _REPLACE_HANDLERS],
            cwd=processes.ROOT,
            timeout=60,
            capture_output=True,
            text=True,
            check=False,
        )
        self.assertEqual((0, ""), (completed.returncode, completed.stderr))

    def test_second_signal_ends_at_once(self) -> None:
        """Guards against a stop that an operator can't shorten.

        A tool hangs, and the operator sends a second signal.
        """

        async def body(cluster: base.Cluster) -> None:
            await cluster.steer("service-1", delay_ms=60_000)
            call = asyncio.create_task(self.call_pay(cluster))
            await self.wait_for_effect(cluster, "pay-1")
            process = cluster.processes["entry-1"]
            process.signal(signal.SIGTERM)
            await base.until(
                lambda: self._has_logged(
                    process, "waiting for calls in flight"
                ),
                "the entry says what it waits for",
            )
            self.assertIn("pay-1", process.log.read_text())
            self.assertEqual(5, process.stop())
            await asyncio.gather(call, return_exceptions=True)

        self.run_on_cluster(body)

    def test_stop_timeout_bounds_the_stop(self) -> None:
        """Guards against a stop that a hanging tool delays for ever.

        The stop ends at its timeout, and its exit code reports that a call was
        aborted.
        """

        async def body(cluster: base.Cluster) -> None:
            await cluster.steer("service-1", delay_ms=60_000)
            call = asyncio.create_task(self.call_pay(cluster))
            await self.wait_for_effect(cluster, "pay-1")
            self.assertEqual(4, cluster.processes["entry-1"].stop())
            await asyncio.gather(call, return_exceptions=True)

        self.run_on_cluster(body, stop_timeout_ms=500)

    def test_call_that_outlasts_a_stop_gets_an_answer(self) -> None:
        """Guards against callers that a stop leaves without an answer."""

        async def body(cluster: base.Cluster) -> None:
            await cluster.steer("service-1", delay_ms=60_000)
            call = asyncio.create_task(self.call_pay(cluster))
            await self.wait_for_effect(cluster, "pay-1")
            self.assertEqual(4, cluster.processes["entry-1"].stop())
            reply = await call
            self.assertEqual("stopping", reply.json["error"]["code"])
            self.assertEqual("may-have-run", reply.verdict)

        self.run_on_cluster(body, stop_timeout_ms=500)

    def test_caller_leaves_mid_stream(self) -> None:
        """Guards against generating an answer again for a resent request.

        A caller's connection breaks during its answer, and the caller resends
        through another entry.
        """

        async def body(cluster: base.Cluster) -> None:
            prompt = [base.user("a")]
            headers = {"Idempotency-Key": "a"}

            async def disconnect(count: int) -> None:
                if count == 5:
                    raise ConnectionError

            with contextlib.suppress(ConnectionError):
                await cluster.stream(
                    "entry-1", "berater", prompt, headers, disconnect
                )
            got = await cluster.stream("entry-2", "berater", prompt, headers)
            self.assert_complete(got)
            seen = (await cluster.look("engine-1"))["seen"]
            sent_for_call = [one for one in seen if one["request_id"] == "a"]
            self.assertEqual(1, len(sent_for_call))

        self.run_on_cluster(
            body, entries=2, engines={"engine-1": {"token_ms": 20}}
        )

    def test_grant_that_comes_late_is_not_used(self) -> None:
        """Guards against using a grant that has expired.

        The grant is delayed on its way to the entry, and the leader may have
        given its slot to another call. The entry sends nothing to the server
        and reports that the request did not run.
        """

        async def body(cluster: base.Cluster) -> None:
            await cluster.steer("replica-1-proxy", down_delay_ms=1_400)
            headers = {"Catkinpin-Deadline-Ms": "5000"}
            reply = await self.call_pay(cluster, headers=headers)
            self.assertEqual("not-run", reply.verdict)
            seen = await cluster.look("service-1")
            self.assertNotIn("pay-1", seen["effects"])

        self.run_on_cluster(body, replicas_proxied=True)

    async def _has_logged(self, process: processes.Process, text: str) -> bool:
        return text in process.log.read_text()


class ServerLifeTest(cells.FaultsTest):
    """Servers that leave, restart and announce themselves twice."""

    def test_leaving_server_gets_no_new_work(self) -> None:
        """Guards against requests to a server that has announced its leave.

        The server leaves under load. It gets no request after two seconds, and
        its answers in progress are completed.
        """

        async def body(cluster: base.Cluster) -> None:
            cluster.add_fake("engine", "engine-2")
            # Without another known server, calls would be refused correctly.
            await self.wait_until_called(cluster, "engine-2")
            results: list[replies.Streamed] = []
            load_end_s = time.monotonic() + 3.5

            async def send_load(worker: int) -> None:
                while time.monotonic() < load_end_s:
                    results.append(
                        await cluster.stream(
                            "entry-1", "berater", [base.user(f"w{worker}")]
                        )
                    )

            async def announce_leave() -> float:
                await asyncio.sleep(1.0)
                # It still accepts requests, so that late ones are noticed.
                await cluster.steer("engine-1", leaving=True, lenient=True)
                return time.time()

            *_, left_at = await asyncio.gather(
                *map(send_load, range(4)), announce_leave()
            )
            for got in results:
                self.assert_complete(got)
            seen = (await cluster.look("engine-1"))["seen"]
            self.assertTrue(seen)
            delays_s = [one["at"] - left_at for one in seen]
            self.assertLess(max(delays_s), 2.0)

        self.run_on_cluster(body)

    def test_server_returns_and_announces_twice(self) -> None:
        """Guards against a wrong verdict after a service has restarted.

        The service restarts under its old address and announces itself twice.
        New requests run once. A request of the earlier incarnation may have
        run, whatever the new incarnation answers.
        """

        async def body(cluster: base.Cluster) -> None:
            await cluster.steer("service-1", delay_ms=60_000)
            call = asyncio.create_task(self.call_pay(cluster, key="old"))
            await self.wait_for_effect(cluster, "old")
            cluster.processes["service-1"].kill()
            cluster.processes["service-1"].start()
            self.assertEqual("may-have-run", (await call).verdict)

            async def is_served() -> bool:
                reply = await self.call_pay(cluster, key="new")
                return reply.status == 200

            await base.until(is_served, "the new incarnation is served")
            seen = await cluster.look("service-1")
            self.assertEqual({"new": 1}, seen["effects"])

        self.run_on_cluster(
            body, entries=2, services={"service-1": {"announce_all": 1}}
        )


class RelayFaultsTest(cells.FaultsTest):
    """Faults between entries in two regions."""

    def test_history_crosses_once(self) -> None:
        """Guards against sending a program's history with every turn.

        The caller and the engine are in two regions, and each turn may send
        only new messages over the link between them.
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

        self.run_in_two_regions(body)

    def test_relay_entry_dies_mid_stream(self) -> None:
        """Guards against losing an answer when the relaying entry is killed.

        The caller's entry resumes the stream at the engine.
        """
        self._check_lost_relay(lambda c: c.processes["entry-2"].kill())

    def test_link_is_cut_mid_stream(self) -> None:
        """Guards against losing an answer when the link is cut."""
        self._check_lost_relay(lambda c: c.steer("entry-2-proxy", cut=True))

    def test_link_goes_silent_mid_stream(self) -> None:
        """Guards against losing an answer on a link that drops one way."""
        self._check_lost_relay(
            lambda c: c.steer("entry-2-proxy", down_silent=True)
        )

    def test_callers_entry_dies_while_another_region_works(self) -> None:
        """Guards against losing an outcome when the caller's entry is killed.

        A payment runs in another region. The entry there reports the outcome,
        so that a resent request gets it without a status request.
        """

        async def body(cluster: base.Cluster) -> None:
            await cluster.steer("service-1", delay_ms=500)
            call = asyncio.create_task(self.call_pay(cluster))
            await self.wait_for_effect(cluster, "pay-1")
            cluster.processes["entry-1"].kill()
            await asyncio.gather(call, return_exceptions=True)
            reply = await self.call_pay(cluster, "entry-3")
            self.assertEqual((200, "pay-1"), (reply.status, reply.json["done"]))
            seen = await cluster.look("service-1")
            self.assertEqual(1, seen["effects"]["pay-1"])
            self.assertEqual([], seen["asked"])

        self.run_in_two_regions(body)

    def _check_lost_relay(
        self, inject_fault: Callable[[base.Cluster], Any]
    ) -> None:
        async def body(cluster: base.Cluster) -> None:
            got = await cluster.stream(
                "entry-1",
                "berater",
                [base.user("a")],
                on_token=cells.call_at_token(5, lambda: inject_fault(cluster)),
            )
            self.assert_complete(got)
            seen = (await cluster.look("engine-1"))["seen"]
            attempts = [one["messages"] for one in seen]
            self.assertEqual(1, attempts.count([base.user("a")]))

        self.run_in_two_regions(body)

    def run_in_two_regions(
        self, body: Callable[[base.Cluster], Awaitable[None]]
    ) -> None:
        """Runs a test's body with the caller and the engine in two regions."""

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
