"""Fake model engine with continuous batching and a limited prefix cache.

Implements the OpenAI chat protocol with the extensions of
docs/user/servers.md: priorities, resume and cancel by attempt id, release,
export and import of a program's prefix. Tests change its settings and read
its state at `/fake`.

The words of an answer are selected by the prompt's digest, so the same prompt
always gets the same answer.
"""

from __future__ import annotations

import asyncio
import collections
import hashlib
import json
import os
import time
from typing import Any

from aiohttp import web

from tests.fakes import common

_WORDS = (
    "grant", "canton", "deadline", "form", "key",
    "blank", "cut", "order", "check", "alert",
)  # fmt: skip
_BYTES_PER_TOKEN = 4
_END_OF_STREAM = b"data: [DONE]\n\n"


class Attempt:
    """A running or finished generation.

    Attributes:
        prompt: the messages as JSON.
        words: the tokens generated so far.
        cached_tokens: tokens of the prompt that were cached.
        has_grown: set when there is a new token, and at the end.
    """

    def __init__(
        self, attempt: str, program: str, prompt: list[str], model: str
    ) -> None:
        self.attempt = attempt
        self.model = model
        self.program = program
        self.prompt = prompt
        self.words: list[str] = []
        self.done = False
        self.cancelled = False
        self.cached_tokens = 0
        self.has_grown = asyncio.Event()

    def state(self) -> str:
        """Returns `done`, `running` or, before the first token, `waiting`."""
        if self.done:
            return "done"
        return "running" if self.words else "waiting"


class Engine:
    """State of the fake engine.

    Attributes:
        settings: faults and delays; tests change them while it runs.
        events: cache events that are not sent yet.
        loads: past loads: time, running and waiting requests.
        cache: messages of each cached prefix by program, least recently used
            first.
        waiting: queue of the batch: negated priority, arrival, slot.
        rejected: attempts that must not run, as an entry was told that they
            did not.
        resumed: attempt and offset of each resumed stream.
        seen: the chat requests received.
        orders: the orders carried out.
        fence: highest fencing number received.
    """

    def __init__(self, args: Any) -> None:
        self.args = args
        self.incarnation = common.new_incarnation()
        self.settings: dict[str, Any] = {
            "leaving": False,
            "lenient": False,
            "announce": True,
            "crash_on": "",
            "refuse": False,
            "stall_after": -1,
            "lie_running": -1,
            "cut_after": -1,
            "kill_after": -1,
            "cross": False,
            "events_lag_ms": 0,
            "events_drop_every": 0,
            "load_lag_ms": 0,
        }
        self.events: list[dict[str, Any]] = []
        self.event_seq = 0
        self.loads: list[tuple[float, int, int]] = []
        self.cache: collections.OrderedDict[str, list[str]] = (
            collections.OrderedDict()
        )
        self.running = 0
        self.waiting: list[tuple[int, int, asyncio.Future[None]]] = []
        self.arrivals = 0
        self.attempts: dict[str, Attempt] = {}
        self.rejected: set[str] = set()
        self.resumed: list[tuple[str, int]] = []
        self.seen: list[dict[str, Any]] = []
        self.released: list[str] = []
        self.orders: list[dict[str, Any]] = []
        self.fence = 0

    def report(self) -> dict[str, Any] | None:
        """Returns the announcement, or None if announcing is switched off."""
        if not self.settings["announce"]:
            return None
        reported_running = self.settings["lie_running"]
        running, waiting = self.lagged_load()
        return {
            "server": self.args.name,
            "incarnation": self.incarnation,
            "address": self.args.address
            or f"http://127.0.0.1:{self.args.port}",
            "kind": "model",
            "serves": self.args.serves.split(","),
            "failure_domain": self.args.failure_domain,
            "region": self.args.region,
            "capacity": self.args.capacity,
            "cache_tokens": self.args.cache_tokens,
            "running": running if reported_running < 0 else reported_running,
            "waiting": waiting,
            "leaving": self.settings["leaving"],
            "honours_fencing": bool(self.args.honours_fencing),
            "checks_sender": False,
            "held": list(self.cache),
        }

    def lagged_load(self) -> tuple[int, int]:
        """Returns the running and waiting requests `load_lag_ms` ago."""
        now = time.monotonic()
        self.loads.append((now, self.running, len(self.waiting)))
        oldest = now - self.settings["load_lag_ms"] / 1000
        while len(self.loads) > 1 and self.loads[1][0] <= oldest:
            self.loads.pop(0)
        return self.loads[0][1:]

    def note_event(self, kind: str, program: str) -> None:
        """Numbers and queues a cache event, or drops it by the setting."""
        self.event_seq += 1
        every = self.settings["events_drop_every"]
        if every and self.event_seq % every == 0:
            return
        held = sum(map(count_tokens, self.cache.get(program, [])))
        self.events.append(
            {
                "seq": self.event_seq,
                "kind": kind,
                "program": program,
                "tokens": held,
                "at": time.monotonic(),
            }
        )

    def due_events(self) -> dict[str, Any] | None:
        """Returns the events that are `events_lag_ms` old, None if none is."""
        limit = time.monotonic() - self.settings["events_lag_ms"] / 1000
        due = [event for event in self.events if event["at"] <= limit]
        self.events = [event for event in self.events if event["at"] > limit]
        if not due:
            return None
        return {
            "server": self.args.name,
            "incarnation": self.incarnation,
            "events": [
                {name: value for name, value in event.items() if name != "at"}
                for event in due
            ],
        }

    async def acquire_slot(self, priority: int) -> None:
        """Waits for a slot of the batch; a higher priority goes first."""
        if self.running < self.args.capacity:
            self.running += 1
            return
        self.arrivals += 1
        slot = asyncio.get_running_loop().create_future()
        self.waiting.append((-priority, self.arrivals, slot))
        await slot

    def release_slot(self) -> None:
        """Passes the slot to the next waiting request, or frees it."""
        self.waiting.sort(key=lambda item: item[:2])
        while self.waiting:
            slot = self.waiting.pop(0)[2]
            if not slot.done():
                slot.set_result(None)
                return
        self.running -= 1

    def count_cached_tokens(self, program: str, prompt: list[str]) -> int:
        """Returns the number of tokens of the prompt that are cached."""
        held = self.cache.get(program, [])
        matching = 0
        for cached, sent in zip(held, prompt, strict=False):
            if cached != sent:
                break
            matching += count_tokens(cached)
        return matching

    def cache_prefix(self, program: str, messages: list[str]) -> None:
        """Caches a program's prefix and evicts the least recently used."""
        self.cache[program] = messages
        self.cache.move_to_end(program)
        self.note_event("held", program)
        limit = self.args.cache_tokens
        while sum(map(count_all_tokens, self.cache.values())) > limit:
            evicted, _ = self.cache.popitem(last=False)
            self.note_event("evicted", evicted)
            if not self.cache:
                break

    async def generate(self, attempt: Attempt, max_tokens: int) -> None:
        """Generates an answer, also after its connection was lost."""
        attempt.cached_tokens = self.count_cached_tokens(
            attempt.program, attempt.prompt
        )
        uncached = count_all_tokens(attempt.prompt) - attempt.cached_tokens
        await asyncio.sleep(uncached * self.args.prefill_us / 1e6)
        text = self.args.salt + "".join(attempt.prompt)
        seed = hashlib.sha256(text.encode()).digest()
        token_count = min(max_tokens, self.args.answer_tokens)
        for i in range(token_count):
            if attempt.cancelled:
                break
            await asyncio.sleep(self.args.token_ms / 1000)
            while i == self.settings["stall_after"]:
                await asyncio.sleep(0.02)
            if i == self.settings["kill_after"]:
                os._exit(9)
            word = _WORDS[seed[i % len(seed)] % len(_WORDS)]
            attempt.words.append(word if i == 0 else " " + word)
            attempt.has_grown.set()
        attempt.done = True
        attempt.has_grown.set()


def count_tokens(message: str) -> int:
    """Returns the number of tokens of a message."""
    return max(1, len(message) // _BYTES_PER_TOKEN)


def count_all_tokens(messages: list[str]) -> int:
    """Returns the number of tokens of all messages."""
    return sum(map(count_tokens, messages))


def encode_chunk(attempt: Attempt, **fields: Any) -> bytes:
    """Returns a `chat.completion.chunk` event."""
    body = {
        "id": f"chatcmpl-{attempt.attempt}",
        "object": "chat.completion.chunk",
        "created": int(time.time()),
        "model": attempt.model,
        **fields,
    }
    return b"data: " + json.dumps(body).encode() + b"\n\n"


async def stream(
    engine: Engine, req: web.Request, attempt: Attempt, at: int
) -> web.StreamResponse:
    """Streams the tokens of an attempt from offset `at` to the end."""
    attempt_id = attempt.attempt
    if engine.settings["cross"]:
        engine.settings["cross"] = False
        attempt_id = "another"
    resp = web.StreamResponse(
        headers={
            "Content-Type": "text/event-stream",
            "Catkinpin-Attempt": attempt_id,
            "Catkinpin-Incarnation": engine.incarnation,
            "Catkinpin-Attempt-State": attempt.state(),
        }
    )
    await resp.prepare(req)
    while True:
        while at < len(attempt.words):
            delta = {"role": "assistant", "content": attempt.words[at]}
            choice = {"index": 0, "delta": delta, "finish_reason": None}
            await resp.write(encode_chunk(attempt, choices=[choice]))
            at += 1
            if at == engine.settings["cut_after"]:
                engine.settings["cut_after"] = -1
                assert req.transport is not None
                req.transport.abort()
                return resp
        if attempt.done:
            break
        attempt.has_grown.clear()
        await attempt.has_grown.wait()
    choice = {"index": 0, "delta": {}, "finish_reason": "stop"}
    await resp.write(encode_chunk(attempt, choices=[choice]))
    usage = {
        "prompt_tokens": count_all_tokens(attempt.prompt),
        "completion_tokens": len(attempt.words),
        "total_tokens": count_all_tokens(attempt.prompt) + len(attempt.words),
        "prompt_tokens_details": {"cached_tokens": attempt.cached_tokens},
    }
    await resp.write(encode_chunk(attempt, choices=[], usage=usage))
    await resp.write(_END_OF_STREAM)
    return resp


def make_app(engine: Engine) -> web.Application:
    """Returns the engine's HTTP interface."""
    routes = web.RouteTableDef()
    background: set[asyncio.Task[None]] = set()

    @routes.post("/v1/chat/completions")
    async def chat(req: web.Request) -> web.StreamResponse:
        body = await req.json()
        prompt = [json.dumps(m, sort_keys=True) for m in body["messages"]]
        program = req.headers.get("Catkinpin-Program", "")
        engine.seen.append(
            {
                "program": program,
                "attempt": req.headers.get("Catkinpin-Attempt", ""),
                "request_id": req.headers.get("Idempotency-Key", ""),
                "traceparent": req.headers.get("traceparent", ""),
                "messages": body["messages"],
                "max_tokens": body.get("max_tokens"),
                "at": time.time(),
            }
        )
        crash_text = engine.settings["crash_on"]
        if crash_text and crash_text in "".join(prompt):
            os._exit(9)
        attempt_id = req.headers.get("Catkinpin-Attempt", "")
        requested_incarnation = req.headers.get(
            "Catkinpin-Incarnation", engine.incarnation
        )
        rejects_as_leaving = (
            engine.settings["leaving"] and not engine.settings["lenient"]
        )
        refused = engine.settings["refuse"] or rejects_as_leaving
        if (
            refused
            or attempt_id in engine.rejected
            or requested_incarnation != engine.incarnation
        ):
            return web.json_response(
                {"error": "no new work"},
                status=503,
                headers={"Catkinpin-Verdict": "not-run"},
            )
        attempt = Attempt(
            req.headers.get("Catkinpin-Attempt", ""),
            program,
            prompt,
            body["model"],
        )
        engine.attempts[attempt.attempt] = attempt
        priority = int(req.headers.get("Catkinpin-Priority", "0"))
        await engine.acquire_slot(priority)

        async def work() -> None:
            try:
                max_tokens = body.get("max_tokens") or 64
                await engine.generate(attempt, max_tokens)
                answer = {
                    "content": "".join(attempt.words),
                    "role": "assistant",
                }
                answer_text = json.dumps(answer, sort_keys=True)
                engine.cache_prefix(program, [*prompt, answer_text])
            finally:
                engine.release_slot()

        task = asyncio.create_task(work())
        background.add(task)
        task.add_done_callback(background.discard)
        return await stream(engine, req, attempt, 0)

    @routes.get("/v1/attempts/{attempt}")
    async def resume(req: web.Request) -> web.StreamResponse:
        attempt_id = req.match_info["attempt"]
        attempt = engine.attempts.get(attempt_id)
        if attempt is None:
            engine.rejected.add(attempt_id)
            headers = {
                "Catkinpin-Attempt": attempt_id,
                "Catkinpin-Incarnation": engine.incarnation,
                "Catkinpin-Verdict": "not-run",
            }
            return web.json_response({}, status=404, headers=headers)
        at = int(req.query.get("offset", "0"))
        engine.resumed.append((attempt_id, at))
        return await stream(engine, req, attempt, at)

    @routes.delete("/v1/attempts/{attempt}")
    async def cancel(req: web.Request) -> web.Response:
        attempt = engine.attempts.get(req.match_info["attempt"])
        if attempt is None:
            raise web.HTTPNotFound
        attempt.cancelled = True
        return web.json_response({"cancelled": True})

    @routes.post("/v1/programs/release")
    async def release(req: web.Request) -> web.Response:
        body = await req.json()
        if engine.cache.pop(body["program"], None) is not None:
            engine.note_event("evicted", body["program"])
        engine.released.append(body["program"])
        return web.json_response({"incarnation": engine.incarnation})

    @routes.post("/v1/programs/export")
    async def export(req: web.Request) -> web.Response:
        body = await req.json()
        return web.json_response({"kv": engine.cache.get(body["program"])})

    @routes.post("/v1/programs/import")
    async def import_(req: web.Request) -> web.Response:
        body = await req.json()
        if body["kv"]:
            engine.cache_prefix(body["program"], body["kv"])
        return web.json_response({})

    @routes.post("/v1/orders")
    async def order(req: web.Request) -> web.Response:
        body = await req.json()
        stale = body.get("fence", 0) < engine.fence
        if stale and engine.args.honours_fencing:
            return web.json_response({"fence": engine.fence}, status=409)
        engine.fence = max(engine.fence, body.get("fence", 0))
        engine.orders.append(body)
        return web.json_response({"fence": engine.fence})

    @routes.post("/fake")
    async def steer(req: web.Request) -> web.Response:
        engine.settings.update(await req.json())
        return web.json_response(engine.settings)

    @routes.get("/fake")
    async def look(req: web.Request) -> web.Response:
        return web.json_response(
            {
                "incarnation": engine.incarnation,
                "running": engine.running,
                "held": list(engine.cache),
                "released": engine.released,
                "resumed": engine.resumed,
                "seen": engine.seen,
                "orders": engine.orders,
            }
        )

    app = web.Application(client_max_size=64 * 1024 * 1024)
    app.add_routes(routes)
    return app


async def main() -> None:
    """Runs the fake engine until SIGTERM."""
    args = common.arguments(
        name="engine-1",
        port=0,
        entries="",
        address="",
        serves="berater",
        failure_domain="",
        region="",
        capacity=8,
        cache_tokens=20_000,
        prefill_us=50,
        token_ms=2.0,
        answer_tokens=20,
        honours_fencing=0,
        salt="",
    )
    engine = Engine(args)
    entries = [entry for entry in args.entries.split(",") if entry]
    announcing = asyncio.create_task(
        common.announce(entries, engine.report, engine.due_events)
    )
    await common.serve(make_app(engine), args.port)
    announcing.cancel()


if __name__ == "__main__":
    common.run(main())
