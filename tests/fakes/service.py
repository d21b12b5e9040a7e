"""A plain service that counts its effects by request id.

Steered at `/fake`: it can answer late, crash on a text, or break off the
connection before or after the effect.
"""

from __future__ import annotations

import asyncio
import collections
import os
from typing import Any

from aiohttp import web

from tests.fakes import common


class Service:
    """State of the fake; `settings` can be changed while it runs."""

    def __init__(self, args: Any) -> None:
        self.args = args
        self.incarnation = common.new_incarnation()
        self.effects: collections.Counter[str] = collections.Counter()
        self.order: list[tuple[str, str]] = []
        self.attempts: dict[str, str] = {}
        self.running = 0
        self.settings: dict[str, Any] = {
            "leaving": False,
            "announce": True,
            "delay_ms": 0,
            "crash_on": "",
            "cut": "",
        }

    def report(self) -> dict[str, Any] | None:
        """Returns the announcement, or None while silent."""
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
            {"effects": service.effects, "order": service.order}
        )

    @routes.get("/v1/attempts/{attempt}")
    async def outcome(req: web.Request) -> web.Response:
        state = service.attempts.get(req.match_info["attempt"])
        if state is None:
            raise web.HTTPNotFound
        return web.json_response({"state": state})

    @routes.route("*", "/{path:.*}")
    async def act(req: web.Request) -> web.StreamResponse:
        text = await req.text()
        settings = service.settings
        request_id = req.headers.get("Idempotency-Key", "")
        attempt = req.headers.get("Catkinpin-Attempt", "")
        if settings["crash_on"] and settings["crash_on"] in text:
            os._exit(9)
        if settings["cut"] == "before":
            assert req.transport is not None
            req.transport.abort()
        service.running += 1
        service.attempts[attempt] = "running"
        service.effects[request_id] += 1
        program = req.headers.get("Catkinpin-Program", "")
        service.order.append((program, request_id))
        await asyncio.sleep(settings["delay_ms"] / 1000)
        service.running -= 1
        service.attempts[attempt] = "done"
        if settings["cut"] == "after":
            assert req.transport is not None
            req.transport.abort()
        return web.json_response(
            {"done": request_id, "path": req.path, "echo": text}
        )

    app = web.Application(client_max_size=64 * 1024 * 1024)
    app.add_routes(routes)
    return app


async def main() -> None:
    """Runs the service."""
    args = common.arguments(
        name="service-1",
        port=0,
        entries="",
        address="",
        serves="kiosk-app",
        failure_domain="",
        region="",
        capacity=8,
    )
    service = Service(args)
    entries = [entry for entry in args.entries.split(",") if entry]
    announcing = asyncio.create_task(common.announce(entries, service.report))
    await common.serve(make_app(service), args.port)
    announcing.cancel()


if __name__ == "__main__":
    common.run(main())
