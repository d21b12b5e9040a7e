"""Where shared parts of prompts lie, as all gateways learn it."""

from __future__ import annotations

import random

import testtools

from catkinpin.core import prompts
from catkinpin.core.balance import Balancer
from catkinpin.core.calls import Load, PromptPart, RouteCall
from catkinpin.core.fleet import ServerState
from catkinpin.core.keeping import Announce, Keeping, Record
from catkinpin.core.ledger import Begin, Finish
from tests.fakes.instances import instance

_PARTS = 16
_SERVERS = 12
_GATEWAYS = 9
_SLOTS = 12


class _Day:
    """Gateways that send fresh programs' turns, and what engines hold."""

    def __init__(self) -> None:
        self.keeping = Keeping()
        self.servers = [
            instance(f"s{n}", domain="abc"[n % 3], slots=_SLOTS)
            for n in range(_SERVERS)
        ]
        for server in self.servers:
            self.keeping.apply(1, Record(tag="", body=Announce(server)))
        self.gateways = [self._gateway(n) for n in range(_GATEWAYS)]
        self._held = {server.id: set[str]() for server in self.servers}
        self._rng = random.Random(1)
        self._turns = 0

    def _gateway(self, number: int) -> Balancer:
        regions = dict.fromkeys("abc", "near")
        return Balancer("abc"[number % 3], regions, random.Random(number))

    def restart(self, *, told: bool) -> None:
        """All gateways start anew; the engines keep what they have read."""
        self.gateways = [self._gateway(n) for n in range(_GATEWAYS)]
        for held in self.keeping.parts.state() if told else []:
            part = PromptPart(held.part, 0)
            for server in self.servers:
                if server.id in held.servers:
                    for balancer in self.gateways:
                        balancer.read(server, (part,))

    def serve(self, turns: int) -> int:
        """Serves turns; returns how many shared parts were read for them."""
        return sum(self._turn() for _ in range(turns))

    def _turn(self) -> bool:
        self._turns += 1
        part = f"part-{self._rng.randrange(_PARTS)}"
        call = RouteCall(
            attempt=f"t{self._turns}",
            prompt=(
                PromptPart(part, 12_600),
                PromptPart(f"own-{self._turns}", 1_680),
            ),
            most_tokens=500,
        )
        balancer = self._rng.choice(self.gateways)
        choice = balancer.pick(self.servers, call, self._turns)
        assert choice is not None
        server = choice.instance
        balancer.sent(server, call)
        balancer.ended(server)
        running = self._rng.randint(2, 6)
        balancer.told(server, Load(running, 0, _SLOTS), self._turns)
        is_new = part not in self._held[server.id]
        self._held[server.id].add(part)
        finish = Finish(
            attempt=call.attempt,
            program="p",
            tokens=1,
            is_whole=False,
            holders=[],
            size=0,
            at_ms=0,
            server=server.id,
            shared=part,
        )
        self.keeping.apply(1, Record(tag="", body=finish))
        return is_new


class RestartTest(testtools.TestCase):
    """What gateways know that have just started."""

    def test_gateways_that_start_anew_send_prompts_where_they_lie(self) -> None:
        """All processes are restarted, and all programs come back at once.

        Gateways that remember nothing spread prompts over all engines. Each
        long part that is read anew holds up all that runs on its engine.
        """
        reads = []
        for told in (False, True):
            day = _Day()
            day.serve(60)
            day.restart(told=told)
            reads.append(day.serve(120))
        self.assertGreater(reads[0], 40)
        self.assertLess(reads[1], reads[0] / 4)


class KeepingTest(testtools.TestCase):
    """What the control group remembers."""

    def _finish(self, part: str, server: str) -> Record:
        finish = Finish("t", "p", 1, False, [], 0, 0, server, 0, part)
        return Record(tag="", body=finish)

    def test_pair_is_told_once_and_lasts_over_a_restart(self) -> None:
        told: list[tuple[str, str]] = []
        state = Keeping(on_part=lambda *pair: told.append(pair))
        state.apply(1, Record(tag="", body=Announce(instance("s1"))))
        begin = Begin("t", "p", "", -1, 10, 1_000, 0)
        state.apply(2, Record(tag="", body=begin))
        for _ in range(3):
            state.apply(3, self._finish("shared", "s1"))
        state.apply(4, self._finish("", "s1"))
        state.apply(5, self._finish("shared", "never-heard-of"))
        self.assertEqual([("shared", "s1")], told)
        other = Keeping()
        other.restore(5, state.snapshot())
        held = prompts.PartHolders(part="shared", servers=["s1"])
        self.assertEqual([held], other.parts.state())

    def test_server_that_ends_holds_nothing(self) -> None:
        """A server crashes and starts again under its name, with no memory.

        Gateways that still believed in it would send it prompt after prompt.
        """
        state = Keeping()
        state.apply(1, Record(tag="", body=Announce(instance("s1"))))
        state.apply(2, self._finish("shared", "s1"))
        gone = instance("s1", state=ServerState.GONE, sequence=9)
        state.apply(3, Record(tag="", body=Announce(gone)))
        self.assertEqual([[]], [h.servers for h in state.parts.state()])
        self.assertEqual([], Keeping().parts.state())

    def test_memory_is_bounded(self) -> None:
        parts = prompts.SharedParts()
        for part in range(1_000):
            for server in range(100):
                parts.read(f"p{part}", f"s{server}")
        state = parts.state()
        self.assertLessEqual(len(state), 256)
        self.assertEqual("p999", state[-1].part)
        self.assertEqual("s99", state[-1].servers[-1])
        self.assertLessEqual(len(state[-1].servers), 64)
