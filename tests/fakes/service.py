"""Fake application service that counts its effects by request id.

Tests change its settings at `/fake`: it can answer late, crash on a text,
abort the connection before or after the effect, exit after the effect, or
answer with the id of another attempt.
"""

from __future__ import annotations

import asyncio
import collections
import os
from typing import Any

from aiohttp import web

from tests.fakes import common


class Service:
    """State of the fake service.

    Attributes:
        effects: number of effects of each request id.
        order: program and request id of each effect, in order.
        started: attempts that started to run.
        answers: answer of each attempt that has one.
        rejected: attempts that must not run, as an entry was told that they
            did not.
        queried: attempts whose outcome an entry queried.
        settings: faults and delays; tests change them while it runs.
    """

    def __init__(self, args: Any) -> None:
        self.args = args
        self.incarnation = common.new_incarnation()
        self.effects: collections.Counter[str] = collections.Counter()
        self.order: list[tuple[str, str]] = []
        self.started: set[str] = set()
        self.answers: dict[str, Any] = {}
        self.rejected: set[str] = set()
        self.queried: list[str] = []
        self.running = 0
        self.settings: dict[str, Any] = {
            "leaving": False,
            "announce": True,
            "delay_ms": 0,
            "crash_on": "",
            "cut": "",
            "cross": False,
            "answers_attempts": True,
        }

    def note_effect(self, request_id: str) -> None:
        """Appends an effect to the effects file, which outlives the process."""
        if self.args.effects_file:
            with open(self.args.effects_file, "a", encoding="utf-8") as file:
                file.write(request_id + "\n")

    def report(self) -> dict[str, Any] | None:
        """Returns the announcement, or None if announcing is switched off."""
        if not self.settings["announce"]:
            return None
        return {
            "server": self.args.name,
            "incarnation": self.incarnation,
            "address": self.args.address
            or f"http://127.0.0.1:{self.args.port}",
            "kind": "service",
            "serves": self.args.serves.split(","),
            "failure_domain": self.args.failure_domain,
            "region": self.args.region,
            "capacity": self.args.capacity,
            "running": self.running,
            "leaving": self.settings["leaving"],
        }


def make_app(service: Service) -> web.Application:
    """Returns the service's HTTP interface."""
    routes = web.RouteTableDef()

    @routes.post("/fake")
    async def steer(req: web.Request) -> web.Response:
        service.settings.update(await req.json())
        return web.json_response(service.settings)

    @routes.get("/fake")
    async def look(req: web.Request) -> web.Response:
        return web.json_response(
            {
                "effects": service.effects,
                "order": service.order,
                "running": service.running,
                "asked": service.queried,
            }
        )

    def attempt_headers(attempt: str, state: str) -> dict[str, str]:
        return {
            "Catkinpin-Attempt": attempt,
            "Catkinpin-Incarnation": service.incarnation,
            "Catkinpin-Attempt-State": state,
        }

    @routes.get("/v1/attempts/{attempt}")
    async def outcome(req: web.Request) -> web.Response:
        attempt = req.match_info["attempt"]
        service.queried.append(attempt)
        if not service.settings["answers_attempts"]:
            raise web.HTTPNotFound
        if attempt in service.answers:
            return web.json_response(
                service.answers[attempt],
                headers=attempt_headers(attempt, "done"),
            )
        if attempt in service.started:
            return web.json_response(
                {}, headers=attempt_headers(attempt, "running")
            )
        # The entry may now run the call at another server, so a copy of
        # this attempt that arrives later must not run here.
        service.rejected.add(attempt)
        headers = attempt_headers(attempt, "") | {
            "Catkinpin-Verdict": "not-run"
        }
        return web.json_response({}, status=404, headers=headers)

    @routes.route("*", "/{path:.*}")
    async def act(req: web.Request) -> web.StreamResponse:
        text = await req.text()
        settings = service.settings
        request_id = req.headers.get("Idempotency-Key", "")
        attempt = req.headers.get("Catkinpin-Attempt", "")
        requested_incarnation = req.headers.get(
            "Catkinpin-Incarnation", service.incarnation
        )
        if (
            attempt in service.rejected
            or requested_incarnation != service.incarnation
        ):
            headers = {"Catkinpin-Verdict": "not-run"}
            return web.json_response({}, status=409, headers=headers)
        if settings["crash_on"] and settings["crash_on"] in text:
            os._exit(9)
        if settings["cut"] == "before":
            assert req.transport is not None
            req.transport.abort()
        service.running += 1
        service.started.add(attempt)
        program = req.headers.get("Catkinpin-Program", "")
        service.order.append((program, request_id))
        service.effects[request_id] += 1
        service.note_effect(request_id)
        if settings["cut"] == "kill":
            os._exit(9)
        await asyncio.sleep(settings["delay_ms"] / 1000)
        service.running -= 1
        answer = {"done": request_id, "path": req.path, "echo": text}
        service.answers[attempt] = answer
        if settings["cut"] == "after":
            assert req.transport is not None
            req.transport.abort()
        headers = attempt_headers(attempt, "done")
        if settings["cross"]:
            settings["cross"] = False
            headers["Catkinpin-Attempt"] = "another"
            answer = {"done": "another"}
        return web.json_response(answer, headers=headers)

    app = web.Application(client_max_size=64 * 1024 * 1024)
    app.add_routes(routes)
    return app


async def main() -> None:
    """Runs the fake service until SIGTERM."""
    args = common.arguments(
        name="service-1",
        port=0,
        entries="",
        address="",
        serves="kiosk-app",
        failure_domain="",
        region="",
        capacity=8,
        effects_file="",
        announce_all=0,
    )
    service = Service(args)
    entries = [entry for entry in args.entries.split(",") if entry]
    announcing = asyncio.create_task(
        common.announce(
            entries, service.report, everywhere=bool(args.announce_all)
        )
    )
    await common.serve(make_app(service), args.port)
    announcing.cancel()


if __name__ == "__main__":
    common.run(main())
