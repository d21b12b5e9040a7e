"""A gateway's copy of the routes and servers that keepers announce."""

from __future__ import annotations

import testtools

from catkinpin import clock
from catkinpin.adapters.gateway.view import GatewayView
from catkinpin.core.control import protocol
from catkinpin.core.control.routes import CallerLimits, Routing
from tests.fakes.instances import instance


def _routing(version: int) -> Routing:
    return Routing(
        version=version, routes=[], services=[], limits=CallerLimits()
    )


class RoutesTest(testtools.TestCase):
    """A gateway that has just started, and keepers some of which lag."""

    def setUp(self) -> None:
        super().setUp()
        self.view = GatewayView(clock.system_clock(), lambda _: None)

    def test_lagging_keeper_is_heard_first(self) -> None:
        """Guards against serving by the outdated routes of a lagging keeper.

        The keeper that answers first was disconnected and has old routes. With
        these the gateway would answer 404 for a route that exists by now, or
        serve one that was removed long ago.
        """
        self.view.handle(protocol.RoutingUpdate(version=3, is_current=False))
        self.view.replace_routes(_routing(3))
        self.assertFalse(self.view.has_current_routes)
        self.view.handle(protocol.RoutingUpdate(version=5, is_current=True))
        self.assertFalse(self.view.has_current_routes)
        self.view.replace_routes(_routing(5))
        self.assertTrue(self.view.has_current_routes)

    def test_old_document_comes_late(self) -> None:
        """Guards against an older document that arrives after a newer one."""
        self.view.replace_routes(_routing(5))
        self.view.replace_routes(_routing(4))
        self.assertEqual(5, self.view.version)

    def test_newer_version_that_is_on_its_way_stops_nothing(self) -> None:
        """Guards against refusals while a newer document is being fetched."""
        self.view.replace_routes(_routing(5))
        self.view.handle(protocol.RoutingUpdate(version=5, is_current=True))
        self.view.handle(protocol.RoutingUpdate(version=6, is_current=True))
        self.assertTrue(self.view.has_current_routes)


class ServersTest(testtools.TestCase):
    """Servers that one keeper has removed and another has not yet."""

    def test_whole_list_of_a_lagging_keeper_takes_no_server_away(self) -> None:
        """Guards against removing servers by an outdated list of a keeper."""
        gone: list[str] = []
        view = GatewayView(
            clock.system_clock(), lambda server: gone.append(server.id)
        )
        new, old = [instance("a"), instance("b")], [instance("a")]
        view.handle(protocol.ServersUpdate(index=9, instances=new, whole=True))
        view.handle(protocol.ServersUpdate(index=7, instances=old, whole=True))
        self.assertEqual({"a", "b"}, set(view.fleet.servers))
        view.handle(protocol.ServersUpdate(index=11, instances=old, whole=True))
        self.assertEqual(["b"], gone)

    def test_log_that_is_replayed_adds_no_server_that_has_left(self) -> None:
        """Guards against requests to a server that left long ago.

        A keeper that lost its disk replays the log from its beginning. The
        gateway does not remember a server that left while it was cut off.
        """
        view = GatewayView(clock.system_clock(), lambda _: None)
        left = instance("left")
        for index, listed in ((5, [left]), (90, [instance("a")])):
            view.handle(
                protocol.ServersUpdate(
                    index=index, instances=listed, whole=True
                )
            )
        for whole in (True, False):
            view.handle(
                protocol.ServersUpdate(index=5, instances=[left], whole=whole)
            )
        self.assertEqual({"a"}, set(view.fleet.servers))
