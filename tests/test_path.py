"""Calls from callers to backend servers and back, with real processes."""

from __future__ import annotations

import json
from typing import Any

import openai

from tests import base

_CHAT_BODY = (
    b'{"model": "berater", "messages": [{"role": "user", "content": %s}]}'
)


def _chat_body(**fields: Any) -> bytes:
    """Returns a chat request's body with some fields changed."""
    body = {"model": "berater", "messages": [base.user("bad")], **fields}
    return json.dumps(body).encode()


class WholePathTest(base.TestCase):
    """Requests that pass through entry, replica and backend server."""

    def test_openai_client_streams_and_continues(self) -> None:
        self.run_async(self._use_openai_client())

    async def _use_openai_client(self) -> None:
        cluster = await base.small(self.folder)
        async with cluster:
            client = openai.AsyncOpenAI(
                base_url=cluster.addresses["entry-1"] + "/v1",
                api_key=base.ACCOUNT_KEYS["ruegg"],
                default_headers={"Catkinpin-Program": "advisory-1"},
            )
            history: list[Any] = [base.user("Which cantonal calls fit us?")]
            completion = await client.chat.completions.create(
                model="berater", messages=history
            )
            message = completion.choices[0].message
            self.assertTrue(message.content)
            history += [message.model_dump(), base.user("And federal ones?")]
            stream = await client.chat.completions.create(
                model="berater", messages=history, stream=True
            )
            words = [
                chunk.choices[0].delta.content or ""
                async for chunk in stream
                if chunk.choices
            ]
            self.assertEqual(20, len([word for word in words if word]))
            seen = await cluster.look("engine-1")
            last = seen["seen"][-1]
            self.assertEqual(3, len(last["messages"]))
            self.assertTrue(last["traceparent"])
            await client.close()

    def test_service_effect_happens_once_for_a_resent_request(self) -> None:
        """Guards against running a resent request a second time.

        A caller lost the answer and resends its request. It gets the same
        answer, and the card is charged once.
        """
        self.run_async(self._resend_request())

    async def _resend_request(self) -> None:
        cluster = await base.small(self.folder, entries=2)
        async with cluster:
            headers = {
                "Idempotency-Key": "order-1",
                "Catkinpin-Program": "kiosk-1",
            }
            replies = [
                await cluster.call_service(
                    entry, "kiosk-app", "pay", "12.50", headers=headers
                )
                for entry in ("entry-1", "entry-2", "entry-1")
            ]
            self.assertEqual([200] * 3, [reply.status for reply in replies])
            self.assertEqual(1, len({reply.body for reply in replies}))
            self.assertEqual("ran", replies[0].verdict)
            seen = await cluster.look("service-1")
            self.assertEqual(1, seen["effects"]["order-1"])

    def test_bad_input_is_refused_and_named(self) -> None:
        self.run_async(self._send_bad_input())

    async def _send_bad_input(self) -> None:
        cluster = await base.small(self.folder)
        async with cluster:
            for headers, field in (
                ({"Catkinpin-Seq": "-1"}, "Catkinpin-Seq"),
                ({"Catkinpin-Deadline-Ms": "x"}, "Catkinpin-Deadline-Ms"),
                ({"Catkinpin-Idempotent": "maybe"}, "Catkinpin-Idempotent"),
                ({"Catkinpin-Program": "a b"}, "Catkinpin-Program"),
            ):
                reply = await cluster.chat(
                    "entry-1", "berater", [base.user("x")], headers=headers
                )
                self.assertEqual(400, reply.status)
                self.assertEqual("not-run", reply.verdict)
                self.assertIn(field, reply.json["error"]["message"])
            reply = await cluster.chat("entry-1", "berater", [], n=7)
            self.assertEqual(400, reply.status)
            self.assertIn("messages", reply.json["error"]["message"])
            self.assertIn("n:", reply.json["error"]["message"])
            reply = await cluster.chat("entry-1", "x", [base.user("x")])
            self.assertEqual("unknown-model", reply.json["error"]["code"])
            reply = await cluster.chat("entry-1", "berater", [base.user("x")])
            self.assertEqual(200, reply.status)

    def test_malformed_requests_harm_nothing(self) -> None:
        """Guards against malformed requests that fail or stop a process.

        Callers send broken JSON, wrong types and huge bodies. Each gets a 4xx
        error object with the verdict "not run", and no process restarts.
        """
        self.run_async(self._send_malformed_requests())

    async def _send_malformed_requests(self) -> None:
        cluster = await base.small(self.folder, max_body_bytes=200_000)
        async with cluster:
            await cluster.chat(
                "entry-1",
                "berater",
                [base.user("x")],
                headers={"Catkinpin-Program": "mine"},
            )
            chat = "/v1/chat/completions"
            cases: list[tuple[str, str, bytes]] = [
                ("POST", chat, b"{"),
                ("POST", chat, b"[1, 2]"),
                ("POST", chat, b"\xff\xfe"),
                ("POST", chat, b'{"model": 5, "messages": "x"}'),
                ("POST", chat, b'{"model": "berater", "messages": [7]}'),
                (
                    "POST",
                    chat,
                    _chat_body(messages=[{"role": "user", "content": 3}]),
                ),
                ("POST", chat, _chat_body(max_tokens=-1)),
                ("POST", chat, _chat_body(max_tokens="many")),
                ("POST", chat, _chat_body(max_tokens=10**30)),
                ("POST", chat, _chat_body(model="b" * 10_000)),
                ("POST", chat, _chat_body(messages=[base.user("x" * 300_000)])),
                ("POST", chat, b"[" * 100_000),
                ("POST", chat, _chat_body(tools=[]) + b"x"),
                ("POST", chat, _CHAT_BODY % b'"\\ud800"'),
                ("POST", chat, _CHAT_BODY % (b"[" * 5_000 + b"]" * 5_000)),
                ("GET", chat, b""),
                ("POST", "/v1/nothing", b"{}"),
                ("POST", "/v1/services/unknown/x", b"{}"),
                ("GET", "/v1/programs/unknown", b""),
                ("DELETE", "/v1/programs/unknown", b""),
                ("GET", "/v1/programs/" + "p" * 3_000, b""),
            ]
            pids = [p.pid for p in cluster.processes.values()]
            for method, path, body in cases:
                await self._check_refused(cluster, "ruegg", method, path, body)
            await self._check_refused(
                cluster, "kunci", "GET", "/v1/programs/mine"
            )
            await self._check_refused(
                cluster, "kunci", "DELETE", "/v1/programs/mine"
            )
            reply = await cluster.chat("entry-1", "berater", [base.user("y")])
            self.assertEqual(200, reply.status)
            self.assertEqual(pids, [p.pid for p in cluster.processes.values()])
            seen = (await cluster.look("engine-1"))["seen"]
            prompts_seen = {one["messages"][0]["content"] for one in seen}
            self.assertEqual({"probe", "x", "y"}, prompts_seen)

    async def _check_refused(
        self,
        cluster: base.Cluster,
        account: str,
        method: str,
        path: str,
        body: bytes = b"",
    ) -> None:
        auth = {"Authorization": f"Bearer {base.ACCOUNT_KEYS[account]}"}
        url = cluster.addresses["entry-1"] + path
        async with cluster.http.request(
            method, url, data=body, headers=auth
        ) as resp:
            request_text = f"{method} {path[:40]} {body[:60]!r}: {resp.status}"
            self.assertTrue(400 <= resp.status < 500, request_text)
            self.assertEqual("not-run", resp.headers["Catkinpin-Verdict"])
            error = (await resp.json())["error"]
            self.assertTrue(error["message"], request_text)
            self.assertTrue(error["code"], request_text)

    def test_only_new_messages_are_sent(self) -> None:
        """Guards against an incomplete prompt for callers without a history.

        A caller sends only new messages. The engine must get the complete
        history in order.
        """
        self.run_async(self._send_new_messages_only())

    async def _send_new_messages_only(self) -> None:
        cluster = await base.small(self.folder)
        async with cluster:
            headers = {"Catkinpin-Program": "p", "Catkinpin-History": "new"}
            answers = []
            for text in ("one", "two", "three"):
                reply = await cluster.chat(
                    "entry-1", "berater", [base.user(text)], headers=headers
                )
                self.assertEqual(200, reply.status, reply.body)
                message = reply.json["choices"][0]["message"]
                answers.append(message["content"])
            seen = (await cluster.look("engine-1"))["seen"][-1]["messages"]
            texts = [message["content"] for message in seen]
            expected = ["one", answers[0], "two", answers[1], "three"]
            self.assertEqual(expected, texts)

    def test_spans_join_from_caller_to_server(self) -> None:
        """Guards against spans of one call that do not join into a trace."""
        self.run_async(self._check_spans())

    async def _check_spans(self) -> None:
        cluster = await base.small(self.folder)
        async with cluster:
            trace = "4bf92f3577b34da6a3ce929d0e0e4736"
            headers = {"traceparent": f"00-{trace}-00f067aa0ba902b7-01"}
            await cluster.chat(
                "entry-1", "berater", [base.user("x")], headers=headers
            )
            seen = (await cluster.look("engine-1"))["seen"][-1]
            lines = (self.folder / "spans.jsonl").read_text().splitlines()
            spans = {}
            for span in map(json.loads, lines):
                if span["context"]["trace_id"] == f"0x{trace}":
                    spans[span["name"]] = span
            expected = {"call", "begin", "leader.begin", "dispatch", "finish"}
            self.assertEqual(expected, expected & set(spans))
            self.assertEqual("0x00f067aa0ba902b7", spans["call"]["parent_id"])
            server_parent = seen["traceparent"].split("-")[2]
            dispatch = spans["dispatch"]["context"]["span_id"]
            self.assertEqual(f"0x{server_parent}", dispatch)

    def test_history_conflict_names_the_first_message(self) -> None:
        self.run_async(self._check_conflict())

    async def _check_conflict(self) -> None:
        cluster = await base.small(self.folder)
        async with cluster:
            headers = {"Catkinpin-Program": "p"}
            first = [base.user("one")]
            reply = await cluster.chat(
                "entry-1", "berater", first, headers=headers
            )
            answer = reply.json["choices"][0]["message"]
            other = [base.user("other"), answer, base.user("two")]
            reply = await cluster.chat(
                "entry-1", "berater", other, headers=headers
            )
            self.assertEqual("history-conflict", reply.json["error"]["code"])
            self.assertIn("messages[0]", reply.json["error"]["message"])

    def test_accounts_are_kept_apart(self) -> None:
        self.run_async(self._check_account_isolation())

    async def _check_account_isolation(self) -> None:
        cluster = await base.small(self.folder)
        async with cluster:
            headers = {"Catkinpin-Program": "mine"}
            await cluster.chat(
                "entry-1", "berater", [base.user("x")], headers=headers
            )
            url = cluster.addresses["entry-1"] + "/v1/programs/mine"
            for key, status in (("ruegg-key", 200), ("kunci-key", 404)):
                auth = {"Authorization": f"Bearer {key}"}
                async with cluster.http.get(url, headers=auth) as resp:
                    self.assertEqual(status, resp.status)
            async with cluster.http.get(url) as resp:
                self.assertEqual(401, resp.status)

    def test_state_outlives_a_killed_replica(self) -> None:
        """Guards against losing answers when a replica's process is killed.

        The replica restarts with its disk. A resent request gets the stored
        answer and does not run again.
        """
        self.run_async(self._kill_replica())

    async def _kill_replica(self) -> None:
        cluster = await base.small(self.folder)
        async with cluster:
            headers = {"Idempotency-Key": "once"}
            first = await cluster.call_service(
                "entry-1", "kiosk-app", "cut", "key", headers=headers
            )
            cluster.processes["replica-1"].kill()
            cluster.processes["replica-1"].start()
            await cluster.ready("replica-1")
            await cluster.ready("entry-1")
            again = await cluster.call_service(
                "entry-1", "kiosk-app", "cut", "key", headers=headers
            )
            self.assertEqual(first.body, again.body)
            seen = await cluster.look("service-1")
            self.assertEqual(1, seen["effects"]["once"])
