"""Routing documents: finding routes, errors in documents, compression."""

from __future__ import annotations

import random

import testtools

from catkinpin.core.control import routes
from catkinpin.core.control.routes import (
    CallerLimits,
    Route,
    RouteKind,
    RouteTable,
    Routing,
    Service,
    Share,
)


def _route(
    prefix: str, shares: list[Share] | None = None, **more: int
) -> Route:
    return Route(
        name=prefix,
        host="h",
        prefix=prefix,
        kind=RouteKind.IDEMPOTENT,
        shares=shares or [Share(service="s", weight=1)],
        timeout_ms=more.get("timeout_ms", 100),
        target_ms=10,
        rank=0,
        max_attempts=1,
        keeps_history=False,
        retain_ms=0,
        affine=False,
        resumable=False,
    )


def _routing(*listed: Route, version: int = 1) -> Routing:
    services = [
        Service(name=name, health_path="/", max_connections=9)
        for name in ("s", "t")
    ]
    return Routing(
        version=version,
        routes=list(listed),
        services=services,
        limits=CallerLimits(),
        source=b"the document",
    )


class RouteTest(testtools.TestCase):
    """Finding routes, and checking and packing documents."""

    def test_longest_prefix_wins(self) -> None:
        """Two prefixes match the path; the more specific one applies."""
        table = RouteTable(_routing(_route("/a/"), _route("/a/b/")))
        found = table.find("h", "/a/b/c")
        assert found is not None
        self.assertEqual("/a/b/", found.prefix)
        self.assertIsNone(table.find("h", "/b/"))
        self.assertIsNone(table.find("other", "/a/"))

    def test_every_problem_is_listed(self) -> None:
        """An operator sends a document with several errors.

        In force, it would route requests to no service, or ambiguously.
        """
        routing = _routing(
            _route("/a/", [Share(service="none", weight=1)]),
            _route("/a/"),
            _route("/b/", [Share(service="s", weight=0)]),
            _route("/c/", timeout_ms=0),
        )
        self.assertEqual(4, len(routes.problems(routing)))
        self.assertEqual([], routes.problems(_routing(_route("/a/"))))

    def test_split_follows_the_weights(self) -> None:
        """A tenth of a route's requests goes to a new service."""
        shares = [Share(service="s", weight=90), Share(service="t", weight=10)]
        rng = random.Random(1)
        picked = [
            routes.pick_service(_route("/a/", shares), rng)
            for _ in range(1_000)
        ]
        self.assertTrue(60 < picked.count("t") < 140)

    def test_large_document_is_compressed(self) -> None:
        """A document has thousands of routes.

        If each keeper sent it uncompressed to each gateway, it would fill the
        link between regions for seconds, and leaders would lose their lease.
        """
        routing = _routing(*(_route(f"/r{n}/") for n in range(4_000)))
        packed = routes.pack(routing)
        self.assertLess(len(packed.data), 100_000)
        self.assertEqual(routing, routes.unpack(packed))
