"""A gateway stores events, and finds those that another one has stored."""

from __future__ import annotations

import asyncio
import types
from typing import TYPE_CHECKING, Any, cast

from catkinpin.adapters.gateway.resuming import EventStorage, SentStreamReader
from catkinpin.adapters.gateway.turnresults import (
    BeginFailed,
    Resumability,
    StartedTurn,
)
from catkinpin.adapters.gateway.turns import TurnClient
from catkinpin.core.control import protocol
from catkinpin.core.control.resumption import SentTurn
from catkinpin.core.control.routes import RouteKind
from catkinpin.core.control.turnrecords import Denial, Link
from catkinpin.core.placement.urgency import ProgramStatus
from catkinpin.core.requests import sentevents
from catkinpin.core.requests.calls import RouteCall
from catkinpin.core.requests.events import Event
from catkinpin.core.requests.sentevents import Mismatch, SentEvent
from catkinpin.core.tolerance import tolerance_of
from catkinpin.exceptions import PeerLostError
from tests import base
from tests.fakes.gatewaycase import GatewayCase
from tests.fakes.gatewayrig import Rig, encode_events, stream_events

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from catkinpin.adapters.gateway.turnstorage import TurnStorage
    from catkinpin.adapters.peers.keepers import Keepers
    from catkinpin.core.control.routes import Route

_COPIES = 2


class _FakeHosts:
    """Fakes the links to hosts with parts and to a leader.

    Attributes:
        parts: what each host has, by its name and the part's; None for a host
            that does not answer.
        leader_replies: what the leader answers, one after the other.
        reply_delay_s: time that the leader takes.
        read_delay_s: time that a host takes.
        asked_leader: the requests that the leader got.
    """

    leader = ""
    retiring: frozenset[str] = frozenset()

    def __init__(self, **parts: dict[str, bytes] | None) -> None:
        self.parts = parts
        self.leader_replies: list[Any] = []
        self.reply_delay_s = 0.0
        self.read_delay_s = 0.0
        self.asked_leader: list[Any] = []

    def host_count(self) -> int:
        return len(self.parts)

    def connected(self) -> list[Any]:
        return [
            types.SimpleNamespace(name=name, info=None) for name in self.parts
        ]

    async def ask(
        self, host: Any, make: Callable[[int], Any], wait_s: float
    ) -> Any:
        await asyncio.sleep(self.read_delay_s)
        parts = self.parts.get(host.name)
        if parts is None:
            raise PeerLostError("no answer")
        message = make(1)
        return protocol.Got(
            ask=1, parts=[parts.get(n) for n in message.attempts]
        )

    async def ask_leader(
        self, make: Callable[[int], Any], wait_s: float
    ) -> Any:
        self.asked_leader.append(make(1))
        await asyncio.sleep(self.reply_delay_s)
        return self.leader_replies.pop(0)

    def by_node(self, node: str) -> Any:
        return types.SimpleNamespace(
            info=None, link=types.SimpleNamespace(address=node)
        )

    def by_address(self, address: str) -> Any:
        return types.SimpleNamespace(name=address)


def _event(number: int) -> SentEvent:
    return SentEvent(id=str(number), data=b"e%d" % number)


def _parts(attempt: str, count: int) -> dict[str, bytes]:
    """Returns the parts of a turn whose events were stored one by one."""
    return {
        sentevents.part_name(attempt, n): sentevents.encode_part([_event(n)])
        for n in range(count)
    }


async def _find(
    hosts: _FakeHosts, turns: Sequence[SentTurn], event_id: str
) -> Any:
    reader = SentStreamReader(cast("Keepers", hosts))
    return await reader.find(turns, event_id, _COPIES)


class SentStreamTest(base.TestCase):
    """Reading the parts that other gateways have stored."""

    def test_parts_of_several_hosts_make_a_stream(self) -> None:
        """Guards against a stream that ends where one host's parts end."""

        async def main() -> None:
            parts = _parts("a", 150)
            names = list(parts)
            hosts = _FakeHosts(
                one={n: parts[n] for n in names[::2]},
                two={n: parts[n] for n in names[1::2]},
                three={},
            )
            found = await _find(hosts, [SentTurn(attempt="a")], "140")
            self.assertEqual([_event(n) for n in range(141)], found.kept)
            self.assertEqual(150, found.sent_count)

        self.run_async(main())

    def test_silent_host_may_have_the_event(self) -> None:
        """Guards against refusing for good what may still be found."""

        async def main() -> None:
            parts = _parts("a", 3)
            turns = [SentTurn(attempt="a")]
            hosts = _FakeHosts(one=parts, two={}, three=None)
            self.assertIs(
                Mismatch.NO_SUCH_EVENT, await _find(hosts, turns, "7")
            )
            hosts = _FakeHosts(one=parts, two=None, three=None)
            self.assertIs(Mismatch.UNKNOWN, await _find(hosts, turns, "7"))
            found = await _find(hosts, turns, "1")
            self.assertEqual([_event(0), _event(1)], found.kept)

        self.run_async(main())

    def test_host_that_is_not_known_yet_may_have_the_event(self) -> None:
        """Guards against a new gateway that refuses for good what exists."""

        async def main() -> None:
            hosts = _FakeHosts(one={}, two={})
            turns = [SentTurn(attempt="a")]
            reader = SentStreamReader(cast("Keepers", hosts))
            self.assertIs(
                Mismatch.UNKNOWN, await reader.find(turns, "1", _COPIES, 4)
            )
            self.assertIs(
                Mismatch.NO_SUCH_EVENT,
                await reader.find(turns, "1", _COPIES, 3),
            )

        self.run_async(main())

    def test_turn_that_was_sent_too_often_is_not_read(self) -> None:
        """Guards against a gateway that reads streams without end."""

        async def main() -> None:
            turns = [SentTurn(attempt=f"a{n}") for n in range(9)]
            hosts = _FakeHosts(one=_parts("a8", 3))
            self.assertIs(
                Mismatch.SEVERAL_TURNS, await _find(hosts, turns, "1")
            )
            found = await _find(hosts, turns[1:], "1")
            self.assertEqual(2, len(found.kept))

        self.run_async(main())

    def test_events_after_a_break_do_not_count(self) -> None:
        """Guards against events that a server sent to a client that left."""

        async def main() -> None:
            hosts = _FakeHosts(one=_parts("a", 9), two=None, three=None)
            turns = [SentTurn(attempt="a", usable_events=5)]
            found = await _find(hosts, turns, "4")
            self.assertEqual(5, len(found.kept))
            self.assertIs(
                Mismatch.NO_SUCH_EVENT, await _find(hosts, turns, "6")
            )

        self.run_async(main())


class _FakeStorage:
    """Fakes the storage of turns; stores only while `works` is set."""

    def __init__(self) -> None:
        self.works = True
        self.stored: dict[str, bytes] = {}

    async def store(self, attempt: str, data: bytes) -> list[str]:
        if not self.works:
            return []
        self.stored[attempt] = data
        return ["one", "two"]


def _event_storage(
    storage: _FakeStorage, kept: Sequence[SentEvent] = ()
) -> EventStorage:
    return EventStorage(cast("TurnStorage", storage), "q1", kept)


class StoredEventsTest(GatewayCase):
    """Events are stored before the caller gets them."""

    def test_first_part_repeats_what_the_caller_has(self) -> None:
        """Guards against a second break that loses what was sent before."""

        async def scenario() -> None:
            storage = _FakeStorage()
            events = _event_storage(storage, [_event(1), _event(2)])
            for number in (3, 4):
                await events.add([Event(str(number), b"e%d" % number)])
            self.assertEqual(
                [[_event(1), _event(2), _event(3)], [_event(4)]],
                [sentevents.decode_part(d) for d in storage.stored.values()],
            )

        self.run_within_limit(scenario())

    def test_event_that_is_not_stored_is_not_sent(self) -> None:
        """Guards against an event that only its caller knows."""

        async def scenario() -> None:
            rig = Rig(RouteKind.STREAM, keeps_history=True, resumable=True)
            await rig.start(stream_events)
            storage = _FakeStorage()
            for works in (True, False):
                storage.works = works
                rig.turns.begin_result = StartedTurn(
                    b"", ProgramStatus(), "", events=_event_storage(storage)
                )
                got = await rig.ask(Program="p")
                self.assertEqual(200, got.status)
                self.assertEqual(works, got.is_complete)
                expected = encode_events(1, 3) if works else b""
                self.assertEqual(expected, got.body)
            self.assertEqual([b"ine1\ne2\ne3\n"], rig.turns.finished)
            self.assertEqual([0], rig.turns.settled)
            await rig.stop()

        self.run_within_limit(scenario())

    def test_resumed_turn_is_stored_with_what_the_caller_has(self) -> None:
        """Guards against a stored output that begins at the break."""

        async def scenario() -> None:
            rig = Rig(RouteKind.STREAM, keeps_history=True, resumable=True)
            await rig.start(stream_events)
            kept = [SentEvent(id="0", data=b"e0")]
            rig.turns.begin_result = StartedTurn(
                b"",
                ProgramStatus(),
                "",
                events=_event_storage(_FakeStorage(), kept),
                kept=kept,
            )
            got = await rig.ask(Program="p")
            self.assertEqual(encode_events(1, 3), got.body)
            self.assertEqual([b"ine0\ne1\ne2\ne3\n"], rig.turns.finished)
            await rig.stop()

        self.run_within_limit(scenario())

    def test_turn_that_cannot_be_resumed_is_refused_for_good(self) -> None:
        """Guards against an error that promises success at the next try."""

        async def scenario() -> None:
            rig = Rig(RouteKind.STREAM, keeps_history=True, resumable=True)
            await rig.start(stream_events)
            for denial in (
                Denial.NO_SUCH_EVENT,
                Denial.SEVERAL_TURNS,
                Denial.NOT_RESUMABLE,
            ):
                rig.turns.begin_result = denial
                got = await rig.ask(Program="p")
                self.assertEqual(409, got.status)
                self.assertNotIn("retry-after", got.headers)
            self.assertEqual(0, rig.count_server_requests())
            await rig.stop()

        self.run_within_limit(scenario())


class BegunTurnTest(base.TestCase):
    """A gateway begins a turn that resumes another one."""

    def _begin(self, hosts: _FakeHosts, call: RouteCall | None = None) -> Any:
        client = TurnClient(
            cast("Keepers", hosts),
            "r",
            1_000,
            tolerance_of(hosts=1, domains=0, regions=0),
        )
        fields = {"keeps_history": True, "retain_ms": 1, "timeout_ms": 1}
        resumed = RouteCall("b", program="p", resume_at="1", max_tokens=300)
        return client.begin(
            call or resumed,
            cast("Route", types.SimpleNamespace(**fields)),
            1.0,
            None,
            Resumability("k", 10),
        )

    def test_resumed_turn_names_what_its_caller_has(self) -> None:
        """Guards against tokens that are reserved or charged twice."""

        async def main() -> None:
            hosts = _FakeHosts(one=_parts("a", 6), two=None)
            hosts.leader_replies = [
                protocol.Began(
                    ask=1, denial="", chain=[], sent=[SentTurn(attempt="a")]
                ),
                protocol.Began(ask=1, denial="", chain=[]),
            ]
            began = await self._begin(hosts)
            self.assertEqual([_event(0), _event(1)], began.kept)
            find, begin = hosts.asked_leader
            self.assertTrue(find.finds_sent)
            self.assertIsNone(find.begin.resumption)
            resumption = begin.begin.resumption
            self.assertEqual(
                ("a", 2, 20, 60),
                (
                    resumption.attempt,
                    resumption.kept_events,
                    resumption.kept_tokens,
                    resumption.sent_tokens,
                ),
            )

        self.run_async(main())

    def test_turn_whose_caller_leaves_while_it_begins_is_settled(self) -> None:
        """Guards against tokens reserved for good by a turn that never ran."""

        async def main() -> None:
            for chain in ([], [Link(attempt="a", holders=["h"], size=1)]):
                hosts = _FakeHosts()
                hosts.leader_replies = [
                    protocol.Began(ask=1, denial="", chain=chain),
                    protocol.Done(ask=1),
                ]
                hosts.reply_delay_s = 0.0 if chain else 0.05
                hosts.read_delay_s = 0.05
                call = RouteCall("b", program="p", previous="a", max_tokens=9)
                beginning = asyncio.ensure_future(self._begin(hosts, call))
                await asyncio.sleep(0.01)
                beginning.cancel()
                await asyncio.wait([beginning])
                await asyncio.sleep(0.1)
                begun, settled = hosts.asked_leader
                self.assertIsInstance(begun, protocol.AskBegin)
                self.assertEqual("b", settled.finish.attempt)
                self.assertFalse(settled.finish.is_whole)

        self.run_async(main())

    def test_leader_of_the_previous_release_finds_nothing(self) -> None:
        """Guards against a turn that runs without its first events.

        Such a leader skips what it does not know, and begins the turn.
        """

        async def main() -> None:
            hosts = _FakeHosts(one={})
            settled = protocol.Done(ask=1)
            began = protocol.Began(ask=1, denial="", chain=[])
            hosts.leader_replies = [began, settled]
            self.assertIsInstance(await self._begin(hosts), BeginFailed)
            await asyncio.sleep(0)
            self.assertIsInstance(hosts.asked_leader[-1], protocol.AskFinish)

        self.run_async(main())
