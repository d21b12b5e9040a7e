"""The internal HTTP interface: health, metrics and backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated, Any, Literal, TypeVar

import pydantic
import sanic
from sanic import response

from catkinpin import configuration, metrics
from catkinpin.adapters.entry import web
from catkinpin.core import addresses, messages
from catkinpin.exceptions import BadRequestError

if TYPE_CHECKING:
    from collections.abc import Callable

    from catkinpin.adapters.entry.context import EntryContext

_MAX_BODY_BYTES = 4 * 1024 * 1024
_ANNOUNCE_INTERVAL_MS = 500
_MAX_SEQ = 2**62

# Larger counts can't be added up in 64 bits, and count nothing.
_MAX_COUNT = 10**12


def _validate_url(value: str) -> str:
    if not addresses.is_http_url(value):
        raise ValueError("a URL with a host and a port is needed")
    return value


Count = Annotated[int, pydantic.Field(ge=0, le=_MAX_COUNT)]
_Body = TypeVar("_Body", bound=pydantic.BaseModel)


class Announcement(pydantic.BaseModel):
    """A backend server's announcement of itself; see docs/user/servers.md.

    Attributes:
        capacity: number of requests it can run at the same time.
        cache_tokens: size of its prefix cache in tokens; 0 without a cache.
        running: number of requests it is running.
        waiting: number of requests in its queue.
        leaving: whether it asks for no new work.
        honours_fencing: whether it refuses orders with an old fencing token.
        checks_sender: whether it verifies the identity of an order's sender.
        held: ids of programs whose prefixes its cache holds.
    """

    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)

    server: str = pydantic.Field(min_length=1, max_length=200)
    incarnation: str = pydantic.Field(min_length=1, max_length=100)
    address: Annotated[str, pydantic.AfterValidator(_validate_url)]
    kind: Literal["model", "service"]
    serves: list[str] = pydantic.Field(min_length=1)
    failure_domain: str = ""
    region: str = ""
    capacity: int = pydantic.Field(default=1, gt=0, le=_MAX_COUNT)
    cache_tokens: Count = 0
    running: Count = 0
    waiting: Count = 0
    leaving: bool = False
    honours_fencing: bool = False
    checks_sender: bool = False
    held: list[str] = []

    def to_report(self) -> messages.ServerReport:
        """Returns the announcement as a message to the replicas."""
        fields = self.model_dump()
        fields["domain"] = fields.pop("failure_domain")
        return messages.ServerReport(**fields)


class CacheEvent(pydantic.BaseModel):
    """A change of an engine's prefix cache."""

    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)

    seq: int = pydantic.Field(gt=0, le=_MAX_SEQ)
    kind: Literal["held", "evicted"]
    program: str = pydantic.Field(min_length=1, max_length=500)
    tokens: Count = 0


class CacheEvents(pydantic.BaseModel):
    """Cache events of one engine; see docs/user/servers.md."""

    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)

    server: str = pydantic.Field(min_length=1, max_length=200)
    incarnation: str = pydantic.Field(min_length=1, max_length=100)
    events: list[CacheEvent] = pydantic.Field(max_length=10_000)

    def to_message(self) -> messages.CacheEvents:
        """Returns the events as a message to the replicas."""
        return messages.CacheEvents(
            server=self.server,
            incarnation=self.incarnation,
            events=[messages.CacheEvent(**e.model_dump()) for e in self.events],
        )


def make_app(
    role: str, unready_reason: Callable[[], str]
) -> sanic.Sanic[Any, Any]:
    """Returns an application with health and metrics.

    Args:
        role: part of the application's name.
        unready_reason: returns why this process should get no work, or an
            empty string.
    """
    app = web.new_app(role, _MAX_BODY_BYTES)

    @app.get("/health/live")
    async def live(req: sanic.Request) -> Any:
        return response.text("live\n")

    @app.get("/health/ready")
    async def ready(req: sanic.Request) -> Any:
        problem = unready_reason()
        return response.text(
            (problem or "ready") + "\n", status=503 if problem else 200
        )

    @app.get("/metrics")
    async def exposition(req: sanic.Request) -> Any:
        return response.raw(
            metrics.exposition(), content_type="text/plain; version=0.0.4"
        )

    @app.exception(BadRequestError)
    async def bad_request(req: sanic.Request, exc: BadRequestError) -> Any:
        return response.json(
            {"error": {"field": exc.field, "message": str(exc)}}, status=400
        )

    return app


def add_server_routes(app: sanic.Sanic[Any, Any], entry: EntryContext) -> None:
    """Adds the routes for backend servers."""

    @app.post("/v1/servers/announce")
    async def announce(req: sanic.Request) -> Any:
        entry.handle_announcement(_parse(Announcement, req.body).to_report())
        return response.json({"next_ms": _ANNOUNCE_INTERVAL_MS})

    @app.post("/v1/servers/events")
    async def events(req: sanic.Request) -> Any:
        entry.forward_cache_events(_parse(CacheEvents, req.body).to_message())
        return response.json({})


def _parse(kind: type[_Body], body: bytes) -> _Body:
    try:
        return kind.model_validate_json(body)
    except pydantic.ValidationError as exc:
        raise BadRequestError(
            "body", configuration.describe_errors(exc)
        ) from exc
