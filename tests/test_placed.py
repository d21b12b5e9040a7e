"""Tests how a gateway uses the server that the leader selects for a turn."""

from __future__ import annotations

import asyncio

import msgspec

from catkinpin.adapters.gateway.turnresults import StartedTurn
from catkinpin.core.control.routes import RouteKind
from catkinpin.core.control.servers import ServerState
from catkinpin.core.placement.urgency import ProgramStatus
from tests.fakes.gatewaycase import GatewayCase
from tests.fakes.gatewayrig import Rig, abort_connection, stream_events

_TURNS = 8


async def _rig(*answers: object, placed: str) -> Rig:
    rig = Rig(RouteKind.STREAM, keeps_history=True, max_attempts=2)
    await rig.start(*answers)  # type: ignore[arg-type]
    rig.turns.begin_result = StartedTurn(b"", ProgramStatus(), "", placed)
    return rig


async def _ask_turns(rig: Rig) -> list[int]:
    """Sends turns one after the other and returns their statuses."""
    return [(await rig.ask(f"q{n}", Program="p")).status for n in range(_TURNS)]


class PlacedTest(GatewayCase):
    """Turns go to the leader's server while it can be used."""

    def test_turns_go_to_the_named_server(self) -> None:
        """Guards against gateways that ignore the leader's choice."""

        async def work() -> None:
            rig = await _rig(
                stream_events, stream_events, stream_events, placed="s2"
            )
            self.assertEqual([200] * _TURNS, await _ask_turns(rig))
            self.assertEqual(_TURNS, len(rig.servers[2].requests))
            await rig.stop()

        self.run_within_limit(work())

    def test_named_server_that_is_not_known_here_is_left(self) -> None:
        """Guards against turns that fail as the gateway's list is old."""

        async def work() -> None:
            rig = await _rig(stream_events, stream_events, placed="s9")
            self.assertEqual([200] * _TURNS, await _ask_turns(rig))
            await rig.stop()

        self.run_within_limit(work())

    def test_named_server_that_drains_gets_no_turn(self) -> None:
        """Guards against turns on a server that is about to stop."""

        async def work() -> None:
            rig = await _rig(stream_events, stream_events, placed="s0")
            known = rig.view.fleet.servers["s0"]
            draining = msgspec.structs.replace(
                known, state=ServerState.DRAINING, sequence=known.sequence + 1
            )
            rig.view.fleet.apply(draining)
            self.assertEqual([200] * _TURNS, await _ask_turns(rig))
            self.assertEqual(0, len(rig.servers[0].requests))
            await rig.stop()

        self.run_within_limit(work())

    def test_named_server_of_another_service_gets_no_turn(self) -> None:
        """Guards against turns on a service that their route doesn't allow."""

        async def work() -> None:
            rig = await _rig(stream_events, stream_events, placed="s0")
            known = rig.view.fleet.servers["s0"]
            other = msgspec.structs.replace(
                known, service="other", started_ms=known.started_ms + 1
            )
            rig.view.fleet.apply(other)
            self.assertEqual([200] * _TURNS, await _ask_turns(rig))
            self.assertEqual(0, len(rig.servers[0].requests))
            await rig.stop()

        self.run_within_limit(work())

    def test_named_server_that_fails_here_is_left_after_some_turns(
        self,
    ) -> None:
        """Guards against failures if this host cannot reach the server."""

        async def work() -> None:
            rig = await _rig(abort_connection, stream_events, placed="s0")
            await _ask_turns(rig)
            self.assertLess(len(rig.servers[0].requests), _TURNS)
            self.assertGreater(len(rig.servers[1].requests), 0)
            await rig.stop()

        self.run_within_limit(work())

    def test_server_with_its_address_closed_is_replaced_at_once(self) -> None:
        """Guards against turns that are lost to a server that has gone."""

        async def work() -> None:
            rig = await _rig(stream_events, stream_events, placed="s0")
            await rig.servers[0].stop()
            await asyncio.sleep(0.05)
            self.assertEqual([200] * _TURNS, await _ask_turns(rig))
            self.assertEqual(_TURNS, len(rig.servers[1].requests))
            await rig.stop()

        self.run_within_limit(work())
