"""Fault matrix of the core: injects every fault at every step, with seeds.

The checks use only what the fake servers received and what the fake callers
got, never the core's own counters.
"""

from __future__ import annotations

import collections
import dataclasses
import random
from typing import TYPE_CHECKING

from catkinpin import digest
from catkinpin.core import messages
from catkinpin.verdicts import Verdict
from tests import base
from tests.fakes import world as worlds
from tests.fakes import worldfacts
from tests.fakes.worldprogram import Program

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.fakes.world import World
    from tests.fakes.worldentry import Entry
    from tests.fakes.worldserver import Server

STEPS = (
    "announce", "begin", "append 1", "grant", "connect", "sent", "first token",
    "mid", "last token", "finish", "append 2", "last event", "end", "release",
)  # fmt: skip
SEEDS = (1, 2)
_TARGET = "p0"
_RUN_MS = 60_000
_LEAVE_MS = 2_000
_MAX_CALL_MS_THREE_FAULTS = 30_000
_MANY_SEEDS = (*range(60), 522, 619, 668, 985, 1033)
_CRASHES = ("server killed", "server and leader")


class FaultTarget:
    """What a fault acts on: program, entry and server of the target call."""

    def __init__(self, world: World, programs: list[Program]) -> None:
        self.world = world
        self.program = programs[0]

    @property
    def last_used_entry(self) -> Entry:
        sends = self.program.sends
        return self.world.entries[sends[-1].entry if sends else "e0"]

    @property
    def last_used_server(self) -> Server:
        seen = [s for s in self.world.seen if s.key.program == _TARGET]
        return self.world.servers[seen[-1].server if seen else "m0"]


def _delay(target: FaultTarget) -> None:
    entry = target.last_used_entry
    entry.delay = 700
    target.world.after(1_500, lambda: setattr(entry, "delay", 0))


def _silence(target: FaultTarget) -> None:
    server = target.last_used_server
    server.silent = True
    target.world.after(4_000, lambda: setattr(server, "silent", False))


def _cross(target: FaultTarget) -> None:
    target.program.send()
    _delay(target)


def _leave(target: FaultTarget) -> None:
    target.last_used_server.leaving_since = target.world.now


def _kill_entry_and_leader(target: FaultTarget) -> None:
    target.world.depose()
    target.last_used_entry.kill()


def _kill_server_and_leader(target: FaultTarget) -> None:
    target.last_used_server.kill()
    target.world.depose()


def _duplicate(target: FaultTarget) -> None:
    target.last_used_entry.ask_again()


@dataclasses.dataclass(frozen=True)
class Fault:
    """A fault and what it may cost.

    Attributes:
        inject: injects the fault.
        max_call_ms: longest that a call may take from its first sending.
        allows_unknown: whether the outcome of a service call may stay unknown.
    """

    inject: Callable[[FaultTarget], object]
    max_call_ms: int
    allows_unknown: bool = False


FAULTS = {
    "entry killed": Fault(
        lambda target: target.last_used_entry.kill(), 3_600, allows_unknown=True
    ),
    "entry frozen": Fault(
        lambda target: target.last_used_entry.freeze(1_500), 2_000
    ),
    "entry frozen long": Fault(
        lambda target: target.last_used_entry.freeze(9_000),
        5_600,
        allows_unknown=True,
    ),
    "message lost": Fault(
        lambda target: target.last_used_entry.break_stream(), 700
    ),
    "entry unheard": Fault(
        lambda target: target.last_used_entry.lose_messages("mute"), 3_000
    ),
    "leader unheard": Fault(
        lambda target: target.last_used_entry.lose_messages("deaf"), 3_000
    ),
    "message delayed": Fault(_delay, 2_500),
    "message duplicated": Fault(_duplicate, 500),
    "messages crossed": Fault(_cross, 2_500),
    "server killed": Fault(
        lambda target: target.last_used_server.kill(), 500, allows_unknown=True
    ),
    "server silent": Fault(_silence, 2_600, allows_unknown=True),
    "leader changed": Fault(lambda target: target.world.depose(), 1_200),
    "server leaving": Fault(_leave, 500),
    "configuration changed": Fault(
        lambda target: target.world.reconfigure(), 500
    ),
    "resend elsewhere": Fault(lambda target: target.program.send(), 500),
    "program ended": Fault(lambda target: target.program.stop(), 1_000),
    "leader and entry": Fault(
        _kill_entry_and_leader, 4_200, allows_unknown=True
    ),
    "server and leader": Fault(
        _kill_server_and_leader, 1_500, allows_unknown=True
    ),
}


class Run:
    """Runs one cell of the matrix, or several faults, to the end."""

    def __init__(self, fault: str, step: str, seed: int) -> None:
        self.world = worlds.World(seed)
        self.fault = FAULTS[fault]
        self.fault_at = 0
        self._start([(self.fault, step, 2 + seed % 2)])

    @classmethod
    def of_many(cls, seed: int) -> Run:
        """Returns a run with three faults at random steps."""
        run = cls.__new__(cls)
        run.world = worlds.World(seed)
        run.fault = Fault(
            lambda target: None, _MAX_CALL_MS_THREE_FAULTS, allows_unknown=True
        )
        run.fault_at = 0
        rng = random.Random(seed)
        names = [name for name in FAULTS if name != "program ended"]
        pending = []
        for number in sorted(rng.choices((1, 2, 3, 4), k=3)):
            name = rng.choice(names)
            pending.append((FAULTS[name], rng.choice(STEPS), number))
            if name in _CRASHES:
                # A call that runs during two crashes is rightly quarantined.
                names = [name for name in names if name not in _CRASHES]
        run._start(pending)
        return run

    def _start(self, pending: list[tuple[Fault, str, int]]) -> None:
        self.world.run(500)
        self.programs = [
            Program(self.world, f"p{i}", "msmm" if i % 2 else "smsm")
            for i in range(3)
        ]
        # One program sends all its calls at once and out of order.
        self.programs += [
            Program(self.world, "p3", "s", first=number)
            for number in (2, 3, 1, 4)
        ]
        target = FaultTarget(self.world, self.programs)

        def on_step(name: str, key: messages.CallKey | None) -> None:
            for injection in list(pending):
                fault, step, call = injection
                is_pending = injection in pending
                if is_pending and name == step and self._is_target(key, call):
                    pending.remove(injection)
                    self.fault_at = self.world.now
                    fault.inject(target)

        self.world.on_step = on_step
        end = self.world.now + _RUN_MS
        while self.world.now < end and not self.done():
            self.world.run(250)
        self.world.run(250)

    def _is_target(self, key: messages.CallKey | None, call: int) -> bool:
        if key is None:
            return self.world.now >= 1_500 + 100 * call
        wanted = ("", f"{_TARGET}-{call}")
        return key.program == _TARGET and key.request_id in wanted

    def done(self) -> bool:
        """Returns whether all programs ended and all memory is released."""
        held = any(server.held for server in self.world.servers.values())
        return all(program.ended for program in self.programs) and not held

    def problems(self) -> list[str]:
        """Returns a text for every guarantee that the run broke."""
        return [
            *self._lost_calls(),
            *self._wrong_order(),
            *self._mixed_histories(),
            *self._repeated_services(),
            *self._false_not_run(),
            *self._late_replies(),
            *self._exceeded_budgets(),
            *self._unreleased_memory(),
            *self._work_for_leaving(),
        ]

    def _lost_calls(self) -> list[str]:
        found = []
        for program in self.programs:
            missing = len(program.answers) < len(program.kinds)
            unknown = None in program.answers and not self.fault.allows_unknown
            slow = max(program.times, default=0) > self.fault.max_call_ms
            if (missing and not program.stopped) or unknown or slow:
                found.append(f"{program.answers} {program.times}")
        return found

    def _wrong_order(self) -> list[str]:
        found = []
        last: dict[str, int] = collections.defaultdict(int)
        for seen in self.world.seen:
            number = int(seen.key.request_id.rpartition("-")[2])
            if number < last[seen.key.program]:
                found.append(f"order: {seen}")
            last[seen.key.program] = number
        return found

    def _mixed_histories(self) -> list[str]:
        found = []
        for seen in self.world.seen:
            texts = self._texts(seen.key.program)
            expected = [digest.of_bytes(text) for text in texts]
            if seen.prompt != expected[: len(seen.prompt)]:
                found.append(f"mixed prompt: {seen}")
        for program in self.programs:
            for number, body in enumerate(program.answers, program.first):
                did = f"did {program.name}-{number}".encode()
                service = program.kinds[number - program.first] == "s"
                if service and body not in (None, did):
                    found.append(f"another's answer: {program.name} {body!r}")
        return found

    def _texts(self, name: str) -> list[bytes]:
        program = next(p for p in self.programs if p.name == name)
        texts: list[bytes] = []
        for number, kind in enumerate(program.kinds, 1):
            if kind == "m":
                texts.append(f"ask {name}-{number}".encode())
                digests = [digest.of_bytes(text) for text in texts]
                texts.append(worldfacts.answer_text(digests))
        return texts

    def _repeated_services(self) -> list[str]:
        counts = collections.Counter(
            seen.key.request_id
            for seen in self.world.seen
            if seen.server.startswith("s")
        )
        return [f"twice: {name}" for name, n in counts.items() if n > 1]

    def _false_not_run(self) -> list[str]:
        found = []
        for sent in self.world.sent:
            final = sent.final
            if not isinstance(final, messages.Refused):
                continue
            if final.verdict is not Verdict.NOT_RUN:
                continue
            if final.text == "" and not sent.done_at:
                continue
            again = [
                other.at
                for other in self.world.sent
                if other.key == sent.key and other is not sent
            ]
            for seen in self.world.seen:
                ran = seen.key == sent.key and seen.at >= sent.at
                if ran and not any(sent.at <= at <= seen.at for at in again):
                    found.append(f"not-run ran: {seen} {final}")
        return found

    def _late_replies(self) -> list[str]:
        found = []
        for sent in self.world.sent:
            # A stopped process sends no replies until it is continued.
            stopped = self.world.entries[sent.entry].frozen_until
            due = (
                max(sent.at + worldfacts.DEADLINE_MS, stopped)
                + worldfacts.MAX_ANSWER_DELAY_MS
            )
            if (sent.done_at or self.world.now) > due:
                found.append(f"late: {sent}")
        return found

    def _exceeded_budgets(self) -> list[str]:
        spent: collections.Counter[str] = collections.Counter()
        for seen in self.world.seen:
            if seen.server.startswith("m"):
                spent[seen.key.program] += worldfacts.TOKENS + seen.max_tokens
        return [
            f"budget: {name} {count}"
            for name, count in spent.items()
            if count > worldfacts.BUDGET
        ]

    def _unreleased_memory(self) -> list[str]:
        return [
            f"held: {server.name} {server.held}"
            for server in self.world.servers.values()
            if server.held
        ]

    def _work_for_leaving(self) -> list[str]:
        found = []
        for server in self.world.servers.values():
            since = server.leaving_since
            for seen in self.world.seen:
                late = since and seen.at > since + _LEAVE_MS
                if late and seen.server == server.name:
                    found.append(f"work for a leaving server: {seen}")
        return found


class MatrixTest(base.TestCase):
    """A fault occurs at each step of a program's call.

    The caller resends calls without an answer, as the client libraries do. It
    must see no more than a delay. A service call whose outcome can't be known
    is reported as such and never runs again.
    """

    def test_three_faults_in_one_program(self) -> None:
        """More faults occur before a program has recovered from the first."""
        problems = []
        for seed in _MANY_SEEDS:
            for problem in Run.of_many(seed).problems():
                problems.append(f"seed {seed}: {problem}")
        self.assertEqual([], problems)


def _test_of(fault: str) -> Callable[[MatrixTest], None]:
    def test(self: MatrixTest) -> None:
        problems = []
        for step in STEPS:
            for seed in SEEDS:
                run = Run(fault, step, seed)
                for problem in run.problems():
                    problems.append(f"{step}, seed {seed}: {problem}")
        self.assertEqual([], problems)

    test.__doc__ = f"The fault is: {fault}; at each step in turn."
    return test


for _fault in FAULTS:
    _name = "test_" + _fault.replace(" ", "_")
    setattr(MatrixTest, _name, _test_of(_fault))
