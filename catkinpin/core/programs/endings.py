"""How programs of a shard end, and what is released then."""

from __future__ import annotations

from typing import TYPE_CHECKING

from catkinpin.core.programs import history, rules
from catkinpin.core.programs.effects import (
    CallTurnedDown,
    Effect,
    ProgramOver,
)
from catkinpin.core.programs.index import ProgramIndex
from catkinpin.core.programs.outbox import Order, Outbox
from catkinpin.core.programs.program import CallState
from catkinpin.verdicts import Reason

if TYPE_CHECKING:
    from catkinpin.core.programs import records
    from catkinpin.core.programs.program import Program


class ProgramEndings(ProgramIndex):
    """Programs that can be ended.

    Attributes:
        outbox: orders to release engine memory.
    """

    def __init__(self) -> None:
        super().__init__()
        self.outbox = Outbox()

    def program_ended(self, record: records.ProgramEnded) -> list[Effect]:
        """Applies the end of a program."""
        program = self.programs.get(record.key)
        if program is None or program.ended:
            return []
        if record.if_idle and program.open:
            return []
        return self.end_tree(program, record.reason, record.at_ms)

    def end_tree(self, top: Program, reason: str, at_ms: int) -> list[Effect]:
        """Ends a program and all that it started."""
        effects: list[Effect] = []
        for program in [top, *self.below(top)]:
            if not program.ended:
                effects += self._end(program, reason, at_ms)
        return effects

    def _end(self, program: Program, reason: str, at_ms: int) -> list[Effect]:
        program.ended = True
        program.end_reason = reason
        program.ended_ms = at_ms
        effects: list[Effect] = []
        for call in list(program.open.values()):
            if call.state is CallState.RUNNING:
                continue
            text = f"the program has ended: {reason}"
            refusal = rules.refusal(at_ms, call, Reason.PROGRAM_ENDED, text)
            program.close(call, None)
            effects.append(CallTurnedDown(call.key, refusal))
        effects.append(ProgramOver(program))
        return effects + self.memory_free(program)

    def memory_free(self, program: Program) -> list[Effect]:
        """Orders the release of engine memory, once nothing runs any more.

        An order that went out earlier would be undone by the attempt that
        still runs: the engine keeps the prefix when it is done.
        """
        if program.open:
            return []
        name = f"{program.key.account}/{program.key.program}"
        for server, incarnation in program.servers.items():
            order = Order(server, incarnation, name, program.ended_ms)
            self.outbox.add(order)
        program.servers.clear()
        program.history = history.History()
        return []

    def forget(self, record: records.ProgramsForgotten) -> list[Effect]:
        """Drops programs that have ended and that nobody asks for."""
        for key in record.keys:
            program = self.programs.get(key)
            if program is None or not program.ended or program.open:
                continue
            if any(self.member(program, name) for name in program.members):
                continue
            self.drop(program)
        return []

    def memory_released(self, record: records.MemoryReleased) -> list[Effect]:
        """Drops orders that a server has carried out."""
        if record.empty:
            self.outbox.restarted(record.server, record.incarnation)
        self.outbox.confirmed(
            record.server, record.incarnation, record.programs
        )
        return []
