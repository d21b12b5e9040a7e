"""Faults of backend servers and of the way to them, with real processes.

What is checked comes from the fakes and the callers, not from our counters.
"""

from __future__ import annotations

import asyncio
import signal
import time

from tests import base, cells, replies


class ServiceFaultsTest(cells.FaultsTest):
    """Faults between an entry and a plain service."""

    def test_service_breaks_off_after_the_effect(self) -> None:
        """A payment service acts, then its connection is reset.

        The HTTP library would send a PUT again by itself, and the customer
        would pay twice. The answer is fetched instead; where the service
        can't tell, the caller hears at once that the outcome is unknown.
        """

        async def body(cluster: base.Cluster) -> None:
            await cluster.steer("service-1", cut="after")
            reply = await self.pay(cluster, key="told", method="PUT")
            self.assertEqual((200, "ran"), (reply.status, reply.verdict))
            self.assertEqual("told", reply.json["done"])
            await cluster.steer("service-1", answers_attempts=False)
            began = time.monotonic()
            reply = await self.pay(cluster, key="untold", method="PUT")
            self.assertLess(time.monotonic() - began, cells.AT_ONCE_S)
            self.assertEqual("may-have-run", reply.verdict)
            self.assertEqual("outcome-unknown", reply.json["error"]["code"])
            seen = await cluster.look("service-1")
            self.assertEqual(1, seen["effects"]["told"])
            self.assertEqual(1, seen["effects"]["untold"])

        self.cell(body)

    def test_service_dies_after_the_effect(self) -> None:
        """A payment service is killed when it has charged the card.

        The caller hears at once that the payment may have run; no other
        server charges the card again, also when the caller resends.
        """

        async def body(cluster: base.Cluster) -> None:
            await cluster.steer("service-1", cut="kill")
            await cluster.steer("service-2", cut="kill")
            began = time.monotonic()
            first = await self.pay(cluster)
            self.assertLess(time.monotonic() - began, cells.AT_ONCE_S)
            again = await self.pay(cluster)
            verdicts = [first.verdict, again.verdict]
            self.assertEqual(["may-have-run"] * 2, verdicts)
            lines = (self.folder / "effects").read_text().split()
            self.assertEqual(1, lines.count("pay-1"))

        own = {"effects_file": self.folder / "effects"}
        services = {"service-1": own, "service-2": own}
        self.cell(body, services=services)

    def test_service_killed_before_the_request(self) -> None:
        """A service is killed, and a request follows before that is known.

        Nothing can have left for it, so another server runs the request.
        """

        async def body(cluster: base.Cluster) -> None:
            for number in range(4):
                reply = await self.pay(cluster, key=f"before-{number}")
                self.assertEqual(200, reply.status)
            cluster.processes["service-1"].kill()
            for number in range(4):
                reply = await self.pay(cluster, key=f"after-{number}")
                self.assertEqual(200, reply.status)
            seen = await cluster.look("service-2")
            for number in range(4):
                self.assertEqual(1, seen["effects"][f"after-{number}"])

        self.cell(body, services={"service-1": {}, "service-2": {}})

    def test_answer_is_lost_on_a_silent_connection(self) -> None:
        """The way back from a service goes silent while it works.

        The caller gets the answer all the same, and the effect is one.
        """

        async def body(cluster: base.Cluster) -> None:
            await cluster.steer("service-1", delay_ms=300)
            call = asyncio.create_task(self.pay(cluster))
            await self.effect(cluster, "pay-1")
            await cluster.steer("service-1-proxy", down_silent_open=True)
            reply = await call
            self.assertEqual((200, "pay-1"), (reply.status, reply.json["done"]))
            seen = await cluster.look("service-1")
            self.assertEqual(1, seen["effects"]["pay-1"])

        services = {"service-1": {"proxied": True}}
        self.cell(body, services=services, **cells.FAST)

    def test_request_is_lost_on_a_silent_connection(self) -> None:
        """The way to a service swallows a request on a new connection.

        The service says that it never got it, and refuses it from then on, so
        that it can be sent again.
        """

        async def body(cluster: base.Cluster) -> None:
            await cluster.steer("service-1-proxy", up_silent_next=1)
            reply = await self.pay(cluster)
            self.assertEqual((200, "pay-1"), (reply.status, reply.json["done"]))
            seen = await cluster.look("service-1")
            second = await cluster.look("service-2")
            effects = [seen["effects"], second["effects"]]
            self.assertEqual(1, sum(e.get("pay-1", 0) for e in effects))

        services = {"service-1": {"proxied": True}, "service-2": {}}
        self.cell(body, services=services, **cells.FAST)

    def test_tool_hangs_until_the_deadline(self) -> None:
        """A tool never answers.

        Its caller gets a final answer when its deadline passes.
        """

        async def body(cluster: base.Cluster) -> None:
            await cluster.steer("service-1", delay_ms=60_000)
            began = time.monotonic()
            headers = {"Catkinpin-Deadline-Ms": "700"}
            reply = await self.pay(cluster, headers=headers)
            self.assertLess(time.monotonic() - began, 0.7 + cells.AT_ONCE_S)
            self.assertEqual("may-have-run", reply.verdict)
            self.assertEqual("deadline", reply.json["error"]["code"])

        self.cell(body)

    def test_answers_are_crossed(self) -> None:
        """A service and an engine answer with what belongs to another call.

        Neither caller sees a word of it; both get their own answers.
        """

        async def body(cluster: base.Cluster) -> None:
            await cluster.steer("service-1", cross=True)
            await cluster.steer("engine-1", cross=True)
            reply = await self.pay(cluster)
            self.assertEqual("pay-1", reply.json["done"])
            got = await cluster.stream(
                "entry-1", "berater", [base.user("crossed")]
            )
            self.assert_whole(got)
            seen = await cluster.look("service-1")
            self.assertEqual(1, seen["effects"]["pay-1"])

        self.cell(body)


class StreamFaultsTest(cells.FaultsTest):
    """Faults between an entry and an engine in the middle of an answer."""

    def test_engine_dies_mid_stream(self) -> None:
        """An engine is killed while it generates an answer.

        The caller's stream goes on with the next token from another server;
        no token is missing or comes twice.
        """

        async def body(cluster: base.Cluster) -> None:
            got = await self._take_over(cluster, "a", salt="")
            self.assert_whole(got)

        self.cell(body)

    def test_engine_that_answers_differently_takes_over(self) -> None:
        """An engine is killed, and the next one generates another text.

        The two parts do not make one answer: the stream ends with an error,
        and the same request sent again gets the whole answer.
        """

        async def body(cluster: base.Cluster) -> None:
            got = await self._take_over(cluster, "a", salt="other")
            self.assertEqual("answer-changed", got.error["code"])
            self.assertFalse(got.done)
            whole = await cluster.chat(
                "entry-1",
                "berater",
                [base.user("a")],
                headers={"Idempotency-Key": "a"},
            )
            text = whole.json["choices"][0]["message"]["content"]
            self.assertEqual(cells.TOKENS, len(text.split(" ")))
            self.assertNotEqual(got.text, text[: len(got.text)])

        self.cell(body)

    def test_connection_is_reset_mid_stream(self) -> None:
        """The connection to an engine is reset while the engine runs on.

        The stream is resumed at its offset on a new connection: the prompt is
        not computed again, and the caller notices nothing.
        """

        async def body(cluster: base.Cluster) -> None:
            await cluster.steer("engine-1", cut_after=7)
            got = await cluster.stream("entry-1", "berater", [base.user("a")])
            self.assert_whole(got)
            seen = await cluster.look("engine-1")
            attempt = seen["seen"][-1]["attempt"]
            self.assertEqual([[attempt, 7]], seen["resumed"])

        self.cell(body)

    def test_connection_goes_silent_mid_stream(self) -> None:
        """Something on the way to an engine forgets an open connection.

        New connections work. The stream is resumed on one long before the
        deadline; the caller gets the whole answer.
        """

        async def body(cluster: base.Cluster) -> None:
            act = cells.at(
                5,
                lambda: cluster.steer("engine-1-proxy", down_silent_open=True),
            )
            began = time.monotonic()
            got = await cluster.stream(
                "entry-1", "berater", [base.user("a")], on_token=act
            )
            self.assert_whole(got)
            self.assertLess(time.monotonic() - began, cells.AT_ONCE_S)
            seen = await cluster.look("engine-1")
            self.assertEqual(1, len(seen["resumed"]))

        engines = {"engine-1": {"proxied": True, "token_ms": 20}}
        self.cell(body, engines=engines, **cells.FAST)

    def test_engine_stops_still_and_goes_on(self) -> None:
        """An engine's process is stopped for a while in mid-stream.

        Either it goes on or another server does; the answer is whole.
        """

        async def body(cluster: base.Cluster) -> None:
            process = cluster.processes["engine-1"]
            stop = cells.at(5, lambda: process.signal(signal.SIGSTOP))
            cluster.add_fake("engine", "engine-2")
            asyncio.get_running_loop().call_later(
                2.5, process.signal, signal.SIGCONT
            )
            got = await cluster.stream(
                "entry-1", "berater", [base.user("a")], on_token=stop
            )
            self.assert_whole(got)

        engines = {"engine-1": {"token_ms": 20}}
        self.cell(body, engines=engines, **cells.FAST)

    async def _take_over(
        self, cluster: base.Cluster, key: str, salt: str
    ) -> replies.Streamed:
        """Streams from an engine that is killed once a second one is known."""
        cluster.add_fake("engine", "engine-2", salt=salt)
        await cluster.steer("engine-2", refuse=True)
        await cluster.steer("engine-1", stall_after=9)

        async def on_token(count: int) -> None:
            if count == 8:
                await cluster.steer("engine-2", refuse=False)
                await self.known(cluster, "engine-2")
                cluster.processes["engine-1"].kill()

        return await cluster.stream(
            "entry-1",
            "berater",
            [base.user(key)],
            {"Idempotency-Key": key},
            on_token,
        )
