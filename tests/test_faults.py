"""Faults of backend servers and of their connections, with real processes.

The checks use what callers and fake servers saw, not Catkinpin's metrics.
"""

from __future__ import annotations

import asyncio
import signal
import time

from tests import base, cells, replies


class ServiceFaultsTest(cells.FaultsTest):
    """Faults between an entry and an application service."""

    def test_service_breaks_off_after_the_effect(self) -> None:
        """Guards against the HTTP library resending a payment by itself.

        A service acts on a PUT, then its connection is reset. The entry must
        ask for the answer instead. If the service can't tell, the caller must
        learn at once that the outcome is unknown.
        """

        async def body(cluster: base.Cluster) -> None:
            await cluster.steer("service-1", cut="after")
            reply = await self.call_pay(cluster, key="told", method="PUT")
            self.assertEqual((200, "ran"), (reply.status, reply.verdict))
            self.assertEqual("told", reply.json["done"])
            await cluster.steer("service-1", answers_attempts=False)
            began = time.monotonic()
            reply = await self.call_pay(cluster, key="untold", method="PUT")
            self.assertLess(time.monotonic() - began, cells.PROMPT_REPLY_S)
            self.assertEqual("may-have-run", reply.verdict)
            self.assertEqual("outcome-unknown", reply.json["error"]["code"])
            seen = await cluster.look("service-1")
            self.assertEqual(1, seen["effects"]["told"])
            self.assertEqual(1, seen["effects"]["untold"])

        self.run_on_cluster(body)

    def test_service_dies_after_the_effect(self) -> None:
        """Guards against charging a card again at another server.

        A payment service is killed after it has charged the card. The caller
        must learn at once that the payment may have run, and a resent request
        must not run again.
        """

        async def body(cluster: base.Cluster) -> None:
            await cluster.steer("service-1", cut="kill")
            await cluster.steer("service-2", cut="kill")
            began = time.monotonic()
            first = await self.call_pay(cluster)
            self.assertLess(time.monotonic() - began, cells.PROMPT_REPLY_S)
            again = await self.call_pay(cluster)
            verdicts = [first.verdict, again.verdict]
            self.assertEqual(["may-have-run"] * 2, verdicts)
            lines = (self.folder / "effects").read_text().split()
            self.assertEqual(1, lines.count("pay-1"))

        options = {"effects_file": self.folder / "effects"}
        services = {"service-1": options, "service-2": options}
        self.run_on_cluster(body, services=services)

    def test_service_killed_before_the_request(self) -> None:
        """Guards against failing a request that was certainly not sent.

        A service is killed, and a request follows before this is noticed. No
        connection is established, so another server must run the request.
        """

        async def body(cluster: base.Cluster) -> None:
            for number in range(4):
                reply = await self.call_pay(cluster, key=f"before-{number}")
                self.assertEqual(200, reply.status)
            cluster.processes["service-1"].kill()
            for number in range(4):
                reply = await self.call_pay(cluster, key=f"after-{number}")
                self.assertEqual(200, reply.status)
            seen = await cluster.look("service-2")
            for number in range(4):
                self.assertEqual(1, seen["effects"][f"after-{number}"])

        self.run_on_cluster(body, services={"service-1": {}, "service-2": {}})

    def test_answer_is_lost_on_a_silent_connection(self) -> None:
        """Guards against losing an answer on a connection that goes silent.

        The service's responses are dropped while it works. The caller must get
        the answer, and the request must take effect once.
        """

        async def body(cluster: base.Cluster) -> None:
            await cluster.steer("service-1", delay_ms=300)
            call = asyncio.create_task(self.call_pay(cluster))
            await self.wait_for_effect(cluster, "pay-1")
            await cluster.steer("service-1-proxy", down_silent_open=True)
            reply = await call
            self.assertEqual((200, "pay-1"), (reply.status, reply.json["done"]))
            seen = await cluster.look("service-1")
            self.assertEqual(1, seen["effects"]["pay-1"])

        services = {"service-1": {"proxied": True}}
        self.run_on_cluster(body, services=services, **cells.SHORT_TIMEOUTS_MS)

    def test_request_is_lost_on_a_silent_connection(self) -> None:
        """Guards against failing a request that was lost on its way.

        A new connection drops the request. The service answers that it did not
        receive the request and refuses it from then on, so that it can be sent
        again.
        """

        async def body(cluster: base.Cluster) -> None:
            await cluster.steer("service-1-proxy", up_silent_next=1)
            reply = await self.call_pay(cluster)
            self.assertEqual((200, "pay-1"), (reply.status, reply.json["done"]))
            seen = await cluster.look("service-1")
            second = await cluster.look("service-2")
            effects = [seen["effects"], second["effects"]]
            self.assertEqual(1, sum(e.get("pay-1", 0) for e in effects))

        services = {"service-1": {"proxied": True}, "service-2": {}}
        self.run_on_cluster(body, services=services, **cells.SHORT_TIMEOUTS_MS)

    def test_tool_hangs_until_the_deadline(self) -> None:
        """Guards against waiting beyond the deadline for a hanging tool."""

        async def body(cluster: base.Cluster) -> None:
            await cluster.steer("service-1", delay_ms=60_000)
            began = time.monotonic()
            headers = {"Catkinpin-Deadline-Ms": "700"}
            reply = await self.call_pay(cluster, headers=headers)
            self.assertLess(
                time.monotonic() - began, 0.7 + cells.PROMPT_REPLY_S
            )
            self.assertEqual("may-have-run", reply.verdict)
            self.assertEqual("deadline", reply.json["error"]["code"])

        self.run_on_cluster(body)

    def test_answers_are_crossed(self) -> None:
        """Guards against passing another call's answer to a caller.

        A service and an engine send answers that belong to other calls. Both
        callers must get their own answers.
        """

        async def body(cluster: base.Cluster) -> None:
            await cluster.steer("service-1", cross=True)
            await cluster.steer("engine-1", cross=True)
            reply = await self.call_pay(cluster)
            self.assertEqual("pay-1", reply.json["done"])
            got = await cluster.stream(
                "entry-1", "berater", [base.user("crossed")]
            )
            self.assert_complete(got)
            seen = await cluster.look("service-1")
            self.assertEqual(1, seen["effects"]["pay-1"])

        self.run_on_cluster(body)


class StreamFaultsTest(cells.FaultsTest):
    """Faults between an entry and an engine during an answer."""

    def test_engine_dies_mid_stream(self) -> None:
        """Guards against lost or repeated tokens after an engine was killed.

        Another engine generates the answer, and the caller's stream must
        continue with the next token.
        """

        async def body(cluster: base.Cluster) -> None:
            got = await self._stream_with_takeover(cluster, "a", salt="")
            self.assert_complete(got)

        self.run_on_cluster(body)

    def test_engine_that_answers_differently_takes_over(self) -> None:
        """Guards against an answer that is joined from two different texts.

        An engine is killed, and the next one generates another text. The
        stream must end with an error, and the resent request must get the
        complete answer.
        """

        async def body(cluster: base.Cluster) -> None:
            got = await self._stream_with_takeover(cluster, "a", salt="other")
            self.assertEqual("answer-changed", got.error["code"])
            self.assertFalse(got.done)
            complete = await cluster.chat(
                "entry-1",
                "berater",
                [base.user("a")],
                headers={"Idempotency-Key": "a"},
            )
            text = complete.json["choices"][0]["message"]["content"]
            self.assertEqual(cells.TOKENS, len(text.split(" ")))
            self.assertNotEqual(got.text, text[: len(got.text)])

        self.run_on_cluster(body)

    def test_connection_is_reset_mid_stream(self) -> None:
        """Guards against computing a prompt again after a connection reset.

        The engine continues, so the entry must resume the stream at its offset
        on a new connection.
        """

        async def body(cluster: base.Cluster) -> None:
            await cluster.steer("engine-1", cut_after=7)
            got = await cluster.stream("entry-1", "berater", [base.user("a")])
            self.assert_complete(got)
            seen = await cluster.look("engine-1")
            attempt = seen["seen"][-1]["attempt"]
            self.assertEqual([[attempt, 7]], seen["resumed"])

        self.run_on_cluster(body)

    def test_connection_goes_silent_mid_stream(self) -> None:
        """Guards against waiting until the deadline on a silent connection.

        A device between entry and engine drops an open connection's packets,
        while new connections work. The entry must resume the stream on a new
        one long before the deadline.
        """

        async def body(cluster: base.Cluster) -> None:
            drop_responses = cells.call_at_token(
                5,
                lambda: cluster.steer("engine-1-proxy", down_silent_open=True),
            )
            began = time.monotonic()
            got = await cluster.stream(
                "entry-1", "berater", [base.user("a")], on_token=drop_responses
            )
            self.assert_complete(got)
            self.assertLess(time.monotonic() - began, cells.PROMPT_REPLY_S)
            seen = await cluster.look("engine-1")
            self.assertEqual(1, len(seen["resumed"]))

        engines = {"engine-1": {"proxied": True, "token_ms": 20}}
        self.run_on_cluster(body, engines=engines, **cells.SHORT_TIMEOUTS_MS)

    def test_engine_is_suspended_and_resumed(self) -> None:
        """Guards against an incomplete answer when an engine is suspended.

        The engine's process is suspended during the stream and resumed later.
        Either this engine or another one must complete the answer.
        """

        async def body(cluster: base.Cluster) -> None:
            process = cluster.processes["engine-1"]
            suspend = cells.call_at_token(
                5, lambda: process.signal(signal.SIGSTOP)
            )
            cluster.add_fake("engine", "engine-2")
            asyncio.get_running_loop().call_later(
                2.5, process.signal, signal.SIGCONT
            )
            got = await cluster.stream(
                "entry-1", "berater", [base.user("a")], on_token=suspend
            )
            self.assert_complete(got)

        engines = {"engine-1": {"token_ms": 20}}
        self.run_on_cluster(body, engines=engines, **cells.SHORT_TIMEOUTS_MS)

    async def _stream_with_takeover(
        self, cluster: base.Cluster, key: str, salt: str
    ) -> replies.Streamed:
        """Streams from an engine that is killed once a second is known."""
        cluster.add_fake("engine", "engine-2", salt=salt)
        await cluster.steer("engine-2", refuse=True)
        await cluster.steer("engine-1", stall_after=9)

        async def on_token(count: int) -> None:
            if count == 8:
                await cluster.steer("engine-2", refuse=False)
                await self.wait_until_called(cluster, "engine-2")
                cluster.processes["engine-1"].kill()

        return await cluster.stream(
            "entry-1",
            "berater",
            [base.user(key)],
            {"Idempotency-Key": key},
            on_token,
        )
