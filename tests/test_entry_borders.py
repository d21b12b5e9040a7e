"""Tests what servers and engines send on the OpenAI interface."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from aiohttp import web

from catkinpin import clock, codec
from catkinpin.adapters.entry import admin, dispatch, outgoing
from catkinpin.adapters.replica import reportchecks
from catkinpin.core import messages
from catkinpin.exceptions import BadRequestError
from catkinpin.verdicts import Verdict
from tests import base

# A replica takes a server for gone after a shorter time without reports.
_FORGOTTEN_S = 5.0
_ANNOUNCEMENT: dict[str, Any] = {
    "server": "s",
    "incarnation": "1",
    "address": "http://127.0.0.1:8000",
    "kind": "model",
    "serves": ["berater"],
}
_ODD_FIELDS: list[dict[str, Any]] = [
    {"address": "http://127.0.0.1:\u00b2"},
    {"address": "http://127.0.0.1:99999"},
    {"address": "http://127.0.0.1:" + "1" * 5_000},
    {"address": "http://:80"},
    {"address": "http://a b:80"},
    {"capacity": 10**30},
    {"capacity": 2**63},
    {"cache_tokens": 2**64},
    {"running": 10**400},
    {"waiting": 2**63},
    {"running": -1},
]


def _encode(event: Any) -> bytes:
    return json.dumps(event).encode()


_TEXT = {"choices": [{"index": 0, "delta": {"content": "a"}}]}
# Events whose fields have a type or a value that no engine should send.
_ODD_EVENTS: list[bytes] = [
    b"7",
    b"[]",
    b"null",
    b"{",
    b"[" * 50_000,
    b'{"choices":[{"delta":{"content":"\\ud800"}}]}',
    b'{"usage":{"completion_tokens":1e999}}',
    *map(
        _encode,
        [
            {"choices": 5},
            {"choices": [5]},
            {"choices": None},
            {"choices": [{"delta": 5}]},
            {"choices": [{"delta": {"content": 5}}]},
            {"choices": [{"delta": {"content": ["a"]}}]},
            {"choices": [{"delta": {"tool_calls": 5}}]},
            {"choices": [{"delta": {"tool_calls": [5]}}]},
            {"choices": [{"delta": {"tool_calls": [{"index": "x"}]}}]},
            {"choices": [{"delta": {"tool_calls": [{"index": None}]}}]},
            {"choices": [{"delta": {"tool_calls": [{"function": 5}]}}]},
            {"choices": [{"finish_reason": {"a": 1}}]},
            {"usage": 5},
            {"usage": [1]},
            {"usage": {"prompt_tokens": -5}},
            {"usage": {"prompt_tokens": 10**30}},
            {"usage": {"completion_tokens": 2**64 - 1}},
            {"usage": {"completion_tokens": "many"}},
            {"usage": {"completion_tokens": {"a": []}}},
            {"usage": {"prompt_tokens_details": 5}},
            {"id": {"a": 1}, "created": 10**40, "model": []},
        ],
    ),
]


def _grant(address: str) -> messages.Granted:
    return messages.Granted(
        ask=0,
        key=messages.CallKey(account="a", program="p", request_id="r"),
        attempt="s0-1",
        server=messages.ServerRef(server="s", incarnation="1", address=address),
        max_tokens=10,
    )


class AnnouncementTest(base.TestCase):
    """Announcements of backend servers."""

    def test_odd_fields_are_refused(self) -> None:
        """Guards against a report that ends the entry's reports of all."""
        for fields in _ODD_FIELDS:
            body = json.dumps({**_ANNOUNCEMENT, **fields}).encode()
            self.assertRaises(
                BadRequestError, admin._parse, admin.Announcement, body
            )
        deep = (
            json.dumps(_ANNOUNCEMENT)[:-1].encode() + b',"x":' + b"[" * 50_000
        )
        self.assertRaises(
            BadRequestError, admin._parse, admin.Announcement, deep
        )

    def test_odd_announcements_cost_no_other_server(self) -> None:
        """Guards against an entry that passes on no reports any more.

        The servers whose reports reach no replica count as gone, and their
        callers get no answer.
        """
        self.run_async(self._announce_odd_servers())

    async def _announce_odd_servers(self) -> None:
        cluster = await base.small(self.folder)
        async with cluster:
            for name, admin_address in cluster.admin.items():
                if not name.startswith("entry"):
                    continue
                for number, fields in enumerate(_ODD_FIELDS):
                    url = f"http://{admin_address}/v1/servers/announce"
                    server = {"server": f"odd-{number}"}
                    body = {**_ANNOUNCEMENT, **server, **fields}
                    async with cluster.http.post(url, json=body) as resp:
                        self.assertEqual(400, resp.status, fields)
            await asyncio.sleep(_FORGOTTEN_S)
            for text in ("x", "y", "z"):
                reply = await cluster.chat(
                    "entry-1", "berater", [base.user(text)]
                )
                self.assertEqual(200, reply.status)

    def test_plain_announcements_can_be_sent(self) -> None:
        """Guards against a bound that refuses real servers."""
        for address in (
            "http://127.0.0.1:8000",
            "https://engine-1.example:443",
            "http://engine_1",
            "http://[::1]:8000",
        ):
            fields = {"address": address, "cache_tokens": 10**9}
            body = json.dumps({**_ANNOUNCEMENT, **fields}).encode()
            parsed: Any = admin._parse(admin.Announcement, body)
            report = parsed.to_report()
            codec.encode(report)
            self.assertTrue(reportchecks.is_usable(report, 0))

    def test_replica_drops_what_an_earlier_entry_passes_on(self) -> None:
        """Guards against a server's report that costs those of others."""
        parsed: Any = admin._parse(
            admin.Announcement, json.dumps(_ANNOUNCEMENT).encode()
        )
        report = parsed.to_report()
        odd: list[dict[str, Any]] = [
            {"address": "http://127.0.0.1:\u00b2"},
            {"cache_tokens": 2**64 - 1},
            {"running": -(2**63)},
            {"capacity": 0},
        ]
        for fields in odd:
            changed = codec.decoder(messages.ServerReport).decode(
                codec.encode({**_as_dict(report), **fields})
            )
            self.assertFalse(reportchecks.is_usable(changed, 0), fields)
            batch = messages.Reports(reports=[changed, report], age_ms=[0, 0])
            self.assertFalse(codec.must_be_refused(batch))
        self.assertFalse(reportchecks.is_usable(report, -1))
        self.assertTrue(reportchecks.is_usable(report, 0))


def _as_dict(report: messages.ServerReport) -> dict[str, Any]:
    decoded: dict[str, Any] = codec.decoder(dict).decode(codec.encode(report))
    return decoded


class EngineAnswerTest(base.TestCase):
    """Streams of an engine with odd events."""

    def test_odd_events_cost_one_call(self) -> None:
        """Guards against an event after which a slot stays blocked.

        Without an outcome that the leader can store, the program's next call
        waits until the deadline.
        """
        self.run_async(self._send_odd_events())

    async def _send_odd_events(self) -> None:
        self.event = b""
        app = web.Application()
        app.router.add_route("*", "/{tail:.*}", self._answer)
        runner = web.AppRunner(app)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        port = runner.addresses[0][1]
        timeouts = outgoing.BackendTimeouts(
            connect_ms=1_000,
            progress_low_ms=1_000,
            progress_high_ms=1_000,
            first_token_ms=1_000,
        )
        dispatcher = dispatch.Dispatcher(timeouts, clock.system_clock())
        grant = _grant(f"http://127.0.0.1:{port}")
        req = outgoing.BackendRequest(
            kind="model",
            method="POST",
            path="",
            headers=[],
            body=b'{"model":"m","messages":[]}',
            deadline_ms=5_000,
            traceparent="",
        )
        for self.event in _ODD_EVENTS:
            finish = await asyncio.wait_for(
                dispatcher.dispatch(grant, req, lambda _: None), 10.0
            )
            self.assertIn(finish.verdict, (Verdict.RAN, Verdict.MAY_HAVE_RUN))
            self.assertFalse(
                codec.has_number_out_of_range(finish), self.event[:80]
            )
            self.assertGreaterEqual(finish.usage.prompt_tokens, 0)
            codec.encode(finish)
        await dispatcher.close()
        await runner.cleanup()

    async def _answer(self, req: web.Request) -> web.Response:
        events = [json.dumps(_TEXT).encode(), self.event, b"[DONE]"]
        body = b"".join(b"data: " + event + b"\n\n" for event in events)
        return web.Response(body=body, content_type="text/event-stream")
