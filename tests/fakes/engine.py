"""A model engine: continuous batching and a limited prefix cache.

Speaks the OpenAI chat protocol with the extensions of docs/user/servers.md:
priorities, resume and cancel by attempt id, release, export and import of a
program's prefix. Steered at `/fake`.

The tokens of an answer are words drawn from the prompt's digest, so that the
same prompt always gets the same answer.
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
_END = b"data: [DONE]\n\n"


class Attempt:
    """One running or ended generation."""

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
        self.grew = asyncio.Event()

    def state(self) -> str:
        """Returns how far the generation is."""
        if self.done:
            return "done"
        return "running" if self.words else "waiting"


class Engine:
    """State of the fake; `settings` can be changed while it runs."""

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
        self.barred: set[str] = set()
        self.resumed: list[tuple[str, int]] = []
        self.seen: list[dict[str, Any]] = []
        self.released: list[str] = []
        self.orders: list[dict[str, Any]] = []
        self.fence = 0

    def report(self) -> dict[str, Any] | None:
        """Returns the announcement, or None while silent."""
        if not self.settings["announce"]:
            return None
        lie = self.settings["lie_running"]
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
            "running": running if lie < 0 else lie,
            "waiting": waiting,
            "leaving": self.settings["leaving"],
            "honours_fencing": bool(self.args.honours_fencing),
            "checks_sender": False,
            "held": list(self.cache),
        }

    def lagged_load(self) -> tuple[int, int]:
        """Returns the load as it was a setting's time ago."""
        now = time.monotonic()
        self.loads.append((now, self.running, len(self.waiting)))
        oldest = now - self.settings["load_lag_ms"] / 1000
        while len(self.loads) > 1 and self.loads[1][0] <= oldest:
            self.loads.pop(0)
        return self.loads[0][1:]

    def note_event(self, kind: str, program: str) -> None:
        """Numbers a cache event; some are lost, all are sent late."""
        self.event_seq += 1
        every = self.settings["events_drop_every"]
        if every and self.event_seq % every == 0:
            return
        held = sum(map(tokens, self.cache.get(program, [])))
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
        """Returns the cache events whose time to be sent has come."""
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

    async def admit(self, priority: int) -> None:
        """Waits for a place in the batch; higher priorities go first."""
        if self.running < self.args.capacity:
            self.running += 1
            return
        self.arrivals += 1
        place = asyncio.get_running_loop().create_future()
        self.waiting.append((-priority, self.arrivals, place))
        await place

    def leave(self) -> None:
        """Hands the place in the batch on."""
        self.waiting.sort(key=lambda item: item[:2])
        while self.waiting:
            place = self.waiting.pop(0)[2]
            if not place.done():
                place.set_result(None)
                return
        self.running -= 1

    def match(self, program: str, prompt: list[str]) -> int:
        """Returns the tokens of the prompt that the cache holds."""
        held = self.cache.get(program, [])
        same = 0
        for ours, theirs in zip(held, prompt, strict=False):
            if ours != theirs:
                break
            same += tokens(ours)
        return same

    def keep(self, program: str, messages: list[str]) -> None:
        """Caches a program's prefix; the least recently used goes first."""
        self.cache[program] = messages
        self.cache.move_to_end(program)
        self.note_event("held", program)
        limit = self.args.cache_tokens
        while sum(map(total, self.cache.values())) > limit:
            evicted, _ = self.cache.popitem(last=False)
            self.note_event("evicted", evicted)
            if not self.cache:
                break

    async def generate(self, attempt: Attempt, most: int) -> None:
        """Generates an answer; goes on when its connection breaks."""
        attempt.cached_tokens = self.match(attempt.program, attempt.prompt)
        new = total(attempt.prompt) - attempt.cached_tokens
        await asyncio.sleep(new * self.args.prefill_us / 1e6)
        text = self.args.salt + "".join(attempt.prompt)
        seed = hashlib.sha256(text.encode()).digest()
        wanted = min(most, self.args.answer_tokens)
        for i in range(wanted):
            if attempt.cancelled:
                break
            await asyncio.sleep(self.args.token_ms / 1000)
            while i == self.settings["stall_after"]:
                await asyncio.sleep(0.02)
            if i == self.settings["kill_after"]:
                os._exit(9)
            word = _WORDS[seed[i % len(seed)] % len(_WORDS)]
            attempt.words.append(word if i == 0 else " " + word)
            attempt.grew.set()
        attempt.done = True
        attempt.grew.set()


def tokens(message: str) -> int:
    """Returns the number of tokens of a message."""
    return max(1, len(message) // _BYTES_PER_TOKEN)


def total(messages: list[str]) -> int:
    """Returns the number of tokens of messages."""
    return sum(map(tokens, messages))


def event(attempt: Attempt, **fields: Any) -> bytes:
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
    """Streams an attempt's tokens from offset `at` to its end."""
    named = attempt.attempt
    if engine.settings["cross"]:
        engine.settings["cross"] = False
        named = "another"
    resp = web.StreamResponse(
        headers={
            "Content-Type": "text/event-stream",
            "Catkinpin-Attempt": named,
            "Catkinpin-Incarnation": engine.incarnation,
            "Catkinpin-Attempt-State": attempt.state(),
        }
    )
    await resp.prepare(req)
    while True:
        while at < len(attempt.words):
            delta = {"role": "assistant", "content": attempt.words[at]}
            choice = {"index": 0, "delta": delta, "finish_reason": None}
            await resp.write(event(attempt, choices=[choice]))
            at += 1
            if at == engine.settings["cut_after"]:
                engine.settings["cut_after"] = -1
                assert req.transport is not None
                req.transport.abort()
                return resp
        if attempt.done:
            break
        attempt.grew.clear()
        await attempt.grew.wait()
    choice = {"index": 0, "delta": {}, "finish_reason": "stop"}
    await resp.write(event(attempt, choices=[choice]))
    usage = {
        "prompt_tokens": total(attempt.prompt),
        "completion_tokens": len(attempt.words),
        "total_tokens": total(attempt.prompt) + len(attempt.words),
        "prompt_tokens_details": {"cached_tokens": attempt.cached_tokens},
    }
    await resp.write(event(attempt, choices=[], usage=usage))
    await resp.write(_END)
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
        poison = engine.settings["crash_on"]
        if poison and poison in "".join(prompt):
            os._exit(9)
        named = req.headers.get("Catkinpin-Attempt", "")
        meant = req.headers.get("Catkinpin-Incarnation", engine.incarnation)
        leaving = engine.settings["leaving"] and not engine.settings["lenient"]
        refuses = engine.settings["refuse"] or leaving
        if refuses or named in engine.barred or meant != engine.incarnation:
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
        await engine.admit(priority)

        async def work() -> None:
            try:
                most = body.get("max_tokens") or 64
                await engine.generate(attempt, most)
                answer = {
                    "content": "".join(attempt.words),
                    "role": "assistant",
                }
                said = json.dumps(answer, sort_keys=True)
                engine.keep(program, [*prompt, said])
            finally:
                engine.leave()

        task = asyncio.create_task(work())
        background.add(task)
        task.add_done_callback(background.discard)
        return await stream(engine, req, attempt, 0)

    @routes.get("/v1/attempts/{attempt}")
    async def resume(req: web.Request) -> web.StreamResponse:
        named = req.match_info["attempt"]
        attempt = engine.attempts.get(named)
        if attempt is None:
            engine.barred.add(named)
            headers = {
                "Catkinpin-Attempt": named,
                "Catkinpin-Incarnation": engine.incarnation,
                "Catkinpin-Verdict": "not-run",
            }
            return web.json_response({}, status=404, headers=headers)
        at = int(req.query.get("offset", "0"))
        engine.resumed.append((named, at))
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
            engine.keep(body["program"], body["kv"])
        return web.json_response({})

    @routes.post("/v1/orders")
    async def order(req: web.Request) -> web.Response:
        body = await req.json()
        old = body.get("fence", 0) < engine.fence
        if old and engine.args.honours_fencing:
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
    """Runs the engine."""
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
