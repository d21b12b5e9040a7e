"""Requests of entries about programs: their state and their end."""

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
    """Handles requests about programs.

    Args:
        state: the shard's state, which is only read.
    """

    def __init__(self, state: Shard) -> None:
        self._shard = state

    def get_program(
        self, entry: EntryRef, get: messages.GetProgram
    ) -> list[Command]:
        """Replies with a program's state."""
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
        """Proposes the end of a program and replies with its state."""
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
        """Proposes the record that a server released programs' memory."""
        if not self._shard.outbox.pending(done.server):
            return []
        record = records.MemoryReleased(
            at_ms=wall_ms,
            server=done.server,
            incarnation=done.incarnation,
            programs=done.programs,
        )
        return [Propose(record)]
