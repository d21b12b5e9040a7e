"""Ends and forgets a shard's programs, and releases their engine memory."""

from __future__ import annotations

from typing import TYPE_CHECKING

from catkinpin.core.programs import history, rules
from catkinpin.core.programs.effects import (
    CallRejected,
    Effect,
    ProgramTerminated,
)
from catkinpin.core.programs.index import ProgramIndex
from catkinpin.core.programs.outbox import Order, Outbox
from catkinpin.core.programs.program import CallState
from catkinpin.verdicts import Reason

if TYPE_CHECKING:
    from catkinpin.core.programs import records
    from catkinpin.core.programs.program import Program


class ProgramEndings(ProgramIndex):
    """Ends programs of the index and orders the release of their memory.

    Attributes:
        outbox: orders to release engine memory that are not confirmed yet.
    """

    def __init__(self) -> None:
        super().__init__()
        self.outbox = Outbox()

    def apply_program_ended(self, record: records.ProgramEnded) -> list[Effect]:
        """Applies a record that ends a program."""
        program = self.programs.get(record.key)
        if program is None or program.ended:
            return []
        if record.if_idle and program.open:
            return []
        if record.if_tree_idle and self.has_open_calls(program):
            return []
        return self.end_tree(program, record.reason, record.at_ms)

    def end_tree(self, top: Program, reason: str, at_ms: int) -> list[Effect]:
        """Ends a program and all programs that it started."""
        effects: list[Effect] = []
        for program in [top, *self.descendants(top)]:
            if not program.ended:
                effects += self._end_program(program, reason, at_ms)
        return effects

    def _end_program(
        self, program: Program, reason: str, at_ms: int
    ) -> list[Effect]:
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
            effects.append(CallRejected(call.key, refusal))
        effects.append(ProgramTerminated(program))
        return effects + self.release_memory(program)

    def release_memory(self, program: Program) -> list[Effect]:
        """Orders the release of a program's engine memory if no call is open.

        A running attempt would undo the release, because the engine keeps the
        prefix when the attempt is done.
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

    def apply_programs_forgotten(
        self, record: records.ProgramsForgotten
    ) -> list[Effect]:
        """Removes programs that have ended and whose sub-agents are removed."""
        for key in record.keys:
            program = self.programs.get(key)
            if program is None or not program.ended or program.open:
                continue
            if any(self.find_member(program, name) for name in program.members):
                continue
            self.remove_program(program)
        return []

    def apply_memory_released(
        self, record: records.MemoryReleased
    ) -> list[Effect]:
        """Removes release orders that a server has carried out."""
        if record.empty:
            self.outbox.drop_other_incarnations(
                record.server, record.incarnation
            )
        self.outbox.drop_confirmed(
            record.server, record.incarnation, record.programs
        )
        return []
