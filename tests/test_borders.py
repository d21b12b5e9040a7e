"""What other programs write: announcements, manifests, requests, answers."""

from __future__ import annotations

import json
import zlib
from typing import Any, cast

import msgspec

from catkinpin import clock, decisions
from catkinpin.adapters.gateway.view import GatewayView
from catkinpin.adapters.http.client import Failure
from catkinpin.adapters.http.headers import Headers
from catkinpin.adapters.http.pool import Pool
from catkinpin.adapters.keeper.host import KeeperHost, Undecided
from catkinpin.core.control import protocol, servers, state
from catkinpin.core.control.accounts import ClientAccount, Quota
from catkinpin.core.control.quotas import QuotaTolerance
from catkinpin.core.control.routes import (
    CallerLimits,
    PackedRouting,
    Route,
    RouteKind,
    Routing,
    Service,
    Share,
    pack,
)
from catkinpin.core.control.servers import Fleet, ServerState
from tests import base, drawn, drawndecoders
from tests.drawndecoders import ANNOUNCEMENT, MANIFEST, documents, is_refused
from tests.fakes.gatewayrig import Rig, answer_ok
from tests.fakes.instances import instance

_DRAWN_SEEDS = 24
_ODD_ADDRESSES = (
    "127.0.0.1:\u00b2",
    "127.0.0.1:" + "9" * 5_000,
    "127.0.0.1:0",
    "127.0.0.1:99999",
    "127.0.0.1:+80",
    "127.0.0.1",
    ":80",
    "no-such-host.invalid:80",
    "0.0.0.0:80",
    "x" * 100_000 + ":80",
)


class DrawnTest(base.TestCase):
    """Drawn input for every decoder; `make fuzz-decoders` plays more."""

    def test_drawn_input_is_refused_or_harmless(self) -> None:
        """Guards against input that raises, or can't be sent on or stored."""
        found = [
            line
            for seed in range(_DRAWN_SEEDS)
            for line in drawndecoders.play(seed)
        ]
        self.assertEqual([], found)

    def test_good_documents_stay_accepted(self) -> None:
        good = json.dumps(ANNOUNCEMENT).encode()
        found = documents.decode_announcement("i-7f3a91c2", good)
        self.assertEqual("10.128.0.9:8080", found.address)
        for body in (b"", b" ", b"{}", b'{"seq":5,"born":1790000000000}'):
            found = documents.decode_departure("i-7f3a91c2", body)
            self.assertIs(ServerState.GONE, found.state)
        manifest = documents.decode_manifest(json.dumps(MANIFEST).encode())
        self.assertEqual(2, len(manifest.routes))


class AnnouncementTest(base.TestCase):
    """Announcements that name no server to use."""

    def _is_refused(self, name: str = "i1", **changes: Any) -> bool:
        body = drawn.encode({**ANNOUNCEMENT, **changes})
        return is_refused(documents.decode_announcement, name, body)

    def test_odd_addresses_are_refused(self) -> None:
        """Guards against an address that raises wherever it is used."""
        taken = [a for a in _ODD_ADDRESSES if not self._is_refused(address=a)]
        self.assertEqual([], taken)

    def test_odd_numbers_and_names_are_refused(self) -> None:
        """Guards against numbers and names that messages can't carry."""
        odd: tuple[dict[str, Any], ...] = (
            {"slots": 0},
            {"slots": -7},
            {"slots": 2**63},
            {"seq": 2**64 - 1},
            {"seq": -1},
            {"born": 2**64 - 1},
            {"born": 2**53},
            {"born": -1},
            {"zone": "z" * 100_000},
            {"service": ""},
            {"unknown": drawn.Literal("[" * drawn.DEPTH + "]" * drawn.DEPTH)},
        )
        taken = [changes for changes in odd if not self._is_refused(**changes)]
        self.assertEqual([], taken)

    def test_odd_ids_are_refused(self) -> None:
        """Guards against an id that no header or path can carry."""
        odd = ("", "a/b", "%00", "\0", "x" * 100_000, "a b", "\u00b2", "a\r\nb")
        self.assertEqual([], [n for n in odd if not self._is_refused(n)])

    def test_odd_departures_end_no_server(self) -> None:
        """Guards against another program's bytes that remove a good server."""
        for body in (
            b'{"seq":18446744073709551615}',
            b'{"seq":18446744073709551616}',
            b'{"born":18446744073709551615}',
            b'{"born":"x"}',
            b"\xff",
            b"[" * drawn.DEPTH,
        ):
            refused = is_refused(documents.decode_departure, "i1", body)
            self.assertTrue(refused, body[:40])


class ManifestTest(base.TestCase):
    """Manifests that must not come into force."""

    def test_odd_values_are_refused(self) -> None:
        """Guards against a manifest that ends or blocks callers' requests."""
        infinite = drawn.Literal("1e999")
        odd: tuple[tuple[tuple[Any, ...], Any], ...] = (
            (("version",), -1),
            (("version",), 2**63),
            (("version",), 2**64),
            (("version",), 7.5),
            (("version",), True),
            (("routes", 0, "timeout_ms"), infinite),
            (("routes", 0, "timeout_ms"), 1e300),
            (("routes", 0, "timeout_ms"), -1),
            (("routes", 0, "timeout_ms"), 0),
            (("routes", 0, "target_latency_ms"), -1),
            (("routes", 0, "retain_s"), -1),
            (("routes", 0, "retain_s"), 1e300),
            (("routes", 0, "priority"), -1),
            (("routes", 0, "priority"), 2**64),
            (("routes", 0, "max_attempts"), -1),
            (("routes", 0, "path_prefix"), "/x"),
            (("routes", 0, "path_prefix"), "x/"),
            (("routes", 0, "name"), ""),
            (("routes", 0, "host"), ""),
            (("routes", 1, "split", 0, "weight"), -1),
            (("routes", 1, "split", 0, "weight"), 2**64),
            (("services", 0, "engine", "slots"), 0),
            (("services", 0, "max_conns"), -1),
            (("services", 0, "name"), ""),
            (("limits", "max_header_bytes"), 0),
            (("limits", "idle_timeout_ms"), -1),
            (("limits", "idle_timeout_ms"), 10**18),
            (("limits", "header_timeout_ms"), 0),
            (("tenants", 0, "rate_per_s"), infinite),
            (("tenants", 0, "burst"), -1),
            (("tenants", 0, "priority"), -1),
            (("unknown",), drawn.Literal("[" * drawn.DEPTH)),
        )
        taken = []
        for path, value in odd:
            manifest = msgspec.json.decode(msgspec.json.encode(MANIFEST))
            part = manifest
            for key in path[:-1]:
                part = part[key]
            part[path[-1]] = value
            body = drawn.encode(manifest)
            if not is_refused(documents.decode_manifest, body):
                taken.append((path, value))
        self.assertEqual([], taken)


class StoredTest(base.TestCase):
    """What an earlier release stored or still sends."""

    def _odd(self) -> list[servers.Instance]:
        found = [
            instance(f"o{number}", address=address)
            for number, address in enumerate(_ODD_ADDRESSES)
            if not address.startswith(("no-such-host", "0.0.0.0"))
        ]
        found += [
            instance("s1", slots=0),
            instance("s1", sequence=2**64 - 1),
            instance("s1", started_ms=2**64 - 1),
            instance("s1", state=ServerState.GONE, started_ms=2**64 - 1),
            instance("s1", service=""),
            instance("a\r\nb"),
        ]
        return found

    def test_odd_records_name_no_server_and_stop_no_good_one(self) -> None:
        """Guards against a stored record that blocks its id for ever."""
        good = instance("s1")
        fleet = Fleet()
        for odd in self._odd():
            self.assertEqual([], fleet.apply(odd))
        self.assertEqual([good], fleet.apply(good))
        for odd in self._odd():
            self.assertEqual([], fleet.apply(odd))
        self.assertEqual([good], list(fleet.servers_of("models")))

    def test_snapshot_with_odd_records_is_restored_without_them(self) -> None:
        """Guards against a keeper that can't use what it stored before."""
        good = instance("s2")
        snapshot = msgspec.msgpack.decode(state.ControlState().snapshot())
        snapshot["instances"] = [*self._odd(), good]
        restored = state.ControlState()
        data = msgspec.msgpack.encode(snapshot)
        left_out = restored.restore(1, data)
        self.assertEqual(len(self._odd()), len(left_out))
        self.assertEqual([good], restored.fleet.state())
        replacement = instance("s1")
        self.assertEqual([replacement], restored.fleet.apply(replacement))

    def test_odd_version_blocks_no_later_routes(self) -> None:
        """Guards against a version that none can follow."""
        control = state.ControlState()
        for index, version in enumerate((2**64 - 1, 2**63, 8)):
            routing = pack(_routing(version=version))
            record = state.SetRouting(routing=routing)
            control.apply(index + 1, state.Record(tag="", body=record))
        self.assertEqual(8, control.version)


class _OwnGroup:
    """A control group of one keeper, which applies what it proposes."""

    term = 1

    def __init__(self) -> None:
        self.host: KeeperHost
        self.proposed = 0

    def is_leader(self) -> bool:
        return True

    def propose(self, payload: bytes) -> None:
        self.proposed += 1
        self.host.apply(self.proposed, payload)


class LeaderTest(base.TestCase):
    """A leading keeper, and what other keepers pass on to it."""

    def setUp(self) -> None:
        super().setUp()
        self.group = _OwnGroup()
        self.host = KeeperHost(
            clock.system_clock(),
            "i",
            15_000,
            QuotaTolerance(1_000, 1.0, 0.0),
            lambda: None,
            lambda _: None,
            lambda _: None,
            lambda _: None,
        )
        self.host.group = cast("Any", self.group)
        self.group.host = self.host
        self.host.leadership_changed(leading=True)

    def test_what_earlier_releases_pass_on_is_checked(self) -> None:
        """Guards against replicating what this release refuses itself."""
        self.run_async(self._pass_on())

    async def _pass_on(self) -> None:
        odd = instance("s1", address="127.0.0.1:\u00b2")
        with self.assertLogs("catkinpin.adapters"):
            self.assertIsNone(await self.host.announce(odd, 1.0))
            for routing in (
                pack(_routing(limits=CallerLimits(max_body_bytes=-1))),
                pack(_routing(version=2**64 - 1)),
                PackedRouting(version=2, data=b"no such thing"),
                PackedRouting(version=2, data=zlib.compress(b"\xc1")),
            ):
                outcome = await self.host.set_routing(routing, 1.0)
                self.assertIsInstance(outcome, Undecided)
        self.assertEqual(0, self.group.proposed)
        self.assertIsNone(await self.host.announce(instance("s1"), 1.0))
        self.assertIsNone(await self.host.set_routing(pack(_routing()), 1.0))
        self.assertEqual(2, self.group.proposed)

    def test_departures_of_unknown_servers_take_no_memory(self) -> None:
        """Guards against memory for each id that another program names."""
        self.run_async(self._depart())

    async def _depart(self) -> None:
        await self.host.announce(instance("s1", sequence=7), 1.0)
        for number in range(5_000):
            gone = instance(f"u{number}", state=ServerState.GONE)
            await self.host.announce(gone, 1.0)
        self.host.lost_servers()
        self.assertEqual(["s1"], list(self.host._last_announced_ms))
        self.assertEqual(["s1"], list(self.host._last_sequence))


class RequestTest(base.TestCase):
    """Headers of callers' requests."""

    def test_id_of_any_length_is_no_id(self) -> None:
        """Guards against ids that fill the memory and disks of keepers."""
        decode = drawndecoders.names.header_codec().decode_request
        good = drawndecoders.REQUEST
        for name in (b"X-Attempt-Id", b"X-Program-Id", b"X-Previous-Turn"):
            call = decode(Headers([*{**good, name: b"x" * 513}.items()]))
            self.assertEqual("", call.attempt, name)
            call = decode(Headers([*{**good, name: b"x" * 512}.items()]))
            self.assertNotEqual("", call.attempt, name)


class LineTest(base.TestCase):
    """Lines about requests."""

    def test_long_id_makes_no_long_line(self) -> None:
        """Guards against lines of the size of a caller's headers."""
        lines: list[dict[str, Any]] = []
        writer = decisions._LineWriter()
        writer.enabled = True
        cast("Any", writer).enqueue = lines.append
        usual, decisions._writer = decisions._writer, writer
        try:
            decisions.note(
                "refused", "9" * 8_000, program="x" * 8_000, tokens=3
            )
        finally:
            decisions._writer = usual
        self.assertEqual(3, lines[0]["tokens"])
        self.assertLess(len(json.dumps(lines[0])), 2_500)


class GatewayViewTest(base.TestCase):
    """What a keeper of an earlier release sends to a gateway."""

    def test_odd_server_hides_no_good_one(self) -> None:
        """Guards against one odd entry that keeps a list from being used."""
        view = GatewayView(clock.system_clock(), lambda _: None)
        listed = [instance("s1", address="127.0.0.1:\u00b2"), instance("s2")]
        packed = servers.pack(listed)
        with self.assertLogs("catkinpin.adapters.unusable") as logs:
            view.handle(protocol.AllServers(index=1, packed=packed))
        self.assertEqual(["s2"], list(view.fleet.servers))
        self.assertEqual(1, len(logs.output))
        again = [instance("s1", sequence=0), instance("s2")]
        packed = servers.pack(again)
        view.handle(protocol.AllServers(index=2, packed=packed))
        self.assertEqual({"s1", "s2"}, set(view.fleet.servers))

    def test_odd_part_of_the_routes_hides_no_good_one(self) -> None:
        """Guards against routes in force that close callers' connections."""
        view = GatewayView(clock.system_clock(), lambda _: None)
        odd = Service(name="odd", health_path="/", max_connections=-1)
        routing = _routing(
            routes=[
                _route("/a/"),
                _route("/b/", timeout_ms=-1),
                _route("/c/", shares=[Share(service="odd", weight=1)]),
                _route("/d/", shares=[Share(service="s", weight=2**64 - 1)]),
            ],
            more=[odd],
            limits=CallerLimits(idle_timeout_ms=-5),
            accounts=[ClientAccount(name="a", quota=Quota(burst=-1.0))],
        )
        with self.assertLogs("catkinpin.adapters.unusable") as logs:
            view.replace_routes(routing)
        self.assertLess(len(logs.output[0]), 1_000)
        assert view.table is not None
        self.assertEqual(CallerLimits(), view.table.routing.limits)
        found = [view.table.find("h", f"/{p}/") is not None for p in "abcd"]
        self.assertEqual([True, False, False, False], found)
        self.assertFalse(view.is_lagging)

    def test_odd_version_is_ignored(self) -> None:
        """Guards against waiting for ever for a version that can't exist."""
        view = GatewayView(clock.system_clock(), lambda _: None)
        odd = protocol.RoutingUpdate(version=2**64 - 1, is_current=True)
        view.handle(odd)
        view.replace_routes(_routing(version=2**64 - 1))
        view.handle(protocol.RoutingUpdate(version=7, is_current=True))
        view.replace_routes(_routing(version=7))
        self.assertEqual(7, view.version)
        self.assertTrue(view.has_current_routes)
        self.assertFalse(view.is_lagging)


class ServingTest(base.TestCase):
    """Requests whose handling fails unexpectedly."""

    def test_address_that_is_none_is_a_failed_connection(self) -> None:
        """Guards against requests cut without an answer by odd addresses."""
        self.run_async(self._connect_to_odd_addresses())

    async def _connect_to_odd_addresses(self) -> None:
        pool = Pool()
        for address in (*_ODD_ADDRESSES, "a" * 70 + ".invalid:80"):
            if not address.startswith(("0.0.0.0", "no-such-host")):
                found = await pool.acquire(address, 2, 0.5)
                self.assertIsInstance(found, Failure, address[:40])
                reason = getattr(found, "reason", "")
                self.assertTrue(reason.startswith("no connection:"), reason)

    def test_request_that_fails_unexpectedly_is_answered(self) -> None:
        """Guards against a connection that is cut without an answer."""
        self.run_async(self._fail_unexpectedly())

    async def _fail_unexpectedly(self) -> None:
        rig = Rig(RouteKind.NON_IDEMPOTENT)
        await rig.start(answer_ok)

        def fail(*_: object, **__: object) -> Any:
            raise ValueError("9" * 5_000)

        usual = rig.balancer.record_sent
        with self.assertLogs("catkinpin.adapters.gateway.serving") as logs:
            rig.view.suspects.quarantined_digest = fail  # type: ignore[method-assign]
            before = await rig.ask("q1")
            del rig.view.suspects.quarantined_digest
            rig.balancer.record_sent = fail  # type: ignore[method-assign]
            not_sent = await rig.ask("q2")
            rig.balancer.record_sent = usual  # type: ignore[method-assign]
            rig.pending.record_answer = fail  # type: ignore[method-assign]
            sent = await rig.ask("q3")
        await rig.stop()
        self.assertEqual([503, 503], [before.status, not_sent.status])
        # A server may have run it, so that its status promises nothing.
        self.assertEqual(502, sent.status)
        self.assertEqual(3, len(logs.output))
        self.assertTrue(all(len(line) < 600 for line in logs.output))


def _route(prefix: str, **changes: Any) -> Route:
    fields: dict[str, Any] = {
        "name": prefix,
        "host": "h",
        "prefix": prefix,
        "kind": RouteKind.IDEMPOTENT,
        "shares": [Share(service="s", weight=1)],
        "timeout_ms": 100,
        "target_ms": 10.0,
        "rank": 0,
        "max_attempts": 1,
        "keeps_history": False,
        "retain_ms": 0,
        "affine": False,
        "resumable": False,
        **changes,
    }
    return Route(**fields)


def _routing(
    routes: list[Route] | None = None,
    more: list[Service] | None = None,
    **changes: Any,
) -> Routing:
    service = Service(name="s", health_path="/", max_connections=9)
    fields: dict[str, Any] = {
        "version": 1,
        "routes": routes or [],
        "services": [service, *(more or [])],
        "limits": CallerLimits(),
        **changes,
    }
    return Routing(**fields)
