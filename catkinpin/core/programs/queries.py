"""Answers to questions about programs, and orders to end them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from catkinpin.core import messages
from catkinpin.core.programs import records, replies
from catkinpin.core.programs.commands import Command, Propose, Send
from catkinpin.verdicts import Reason

if TYPE_CHECKING:
    from catkinpin.core.programs.commands import EntryRef
    from catkinpin.core.programs.shard import Shard


class ProgramQueries:
    """Answers what entries ask about programs.

    Args:
        state: the shard's state, only read here.
    """

    def __init__(self, state: Shard) -> None:
        self._shard = state

    def get_program(
        self, entry: EntryRef, get: messages.GetProgram
    ) -> list[Command]:
        """Answers with a program's state."""
        program = self._shard.programs.get(get.key)
        if program is None:
            text = f"program {get.key.program!r} is not known"
            reason = Reason.UNKNOWN_PROGRAM
            return [replies.refuse(entry, get.ask, reason, text)]
        root = self._shard.root_of(program)
        return [Send(entry, replies.program_state(get.ask, program, root))]

    def end_program(
        self, entry: EntryRef, end: messages.EndProgram, wall_ms: int
    ) -> list[Command]:
        """Ends a program."""
        get = messages.GetProgram(ask=end.ask, key=end.key)
        commands = self.get_program(entry, get)
        if end.key not in self._shard.programs:
            return commands
        record = records.ProgramEnded(
            at_ms=wall_ms, key=end.key, reason="ended by the caller"
        )
        return [Propose(record), *commands]

    def release_done(
        self, done: messages.ReleaseDone, wall_ms: int
    ) -> list[Command]:
        """Notes that a server released programs."""
        if not self._shard.outbox.pending(done.server):
            return []
        record = records.MemoryReleased(
            at_ms=wall_ms,
            server=done.server,
            incarnation=done.incarnation,
            programs=done.programs,
        )
        return [Propose(record)]
