"""Index of a shard's programs, their trees and their calls."""

from __future__ import annotations

from typing import TYPE_CHECKING

from catkinpin import digest
from catkinpin.core.messages import ProgramKey
from catkinpin.core.programs import history, rules, sharding
from catkinpin.core.programs.effects import BeginRejected
from catkinpin.core.programs.program import CallDigests, Program
from catkinpin.verdicts import Reason, Verdict

if TYPE_CHECKING:
    from catkinpin.core.messages import Begin, CallKey, Finish
    from catkinpin.core.programs import records
    from catkinpin.core.programs.program import Call, ClosedCall


class ProgramIndex:
    """Finds programs and calls; adds and removes programs.

    Attributes:
        programs: every program that is not forgotten yet, by key.
    """

    def __init__(self) -> None:
        self.programs: dict[ProgramKey, Program] = {}

    def find_open(self, key: CallKey) -> tuple[Program, Call] | None:
        """Returns an open call and its program, or None."""
        program = self.programs.get(key.program_key)
        if program is None or key.request_id not in program.open:
            return None
        return program, program.open[key.request_id]

    def find_closed(self, key: CallKey) -> ClosedCall | None:
        """Returns a closed call that is still kept, or None."""
        program = self.programs.get(key.program_key)
        return program.closed.get(key.request_id) if program else None

    def verdict_of(self, key: CallKey) -> Verdict:
        """Returns the verdict that a refusal of a call must carry."""
        found = self.find_open(key)
        if found is not None:
            return found[1].verdict
        program = self.programs.get(key.program_key)
        if program is not None and key.request_id in program.maybe_ran:
            return Verdict.MAY_HAVE_RUN
        return Verdict.NOT_RUN

    def root_of(self, program: Program) -> Program:
        """Returns the root of the program's tree."""
        return self.programs.get(program.root_key, program)

    def check_begin(self, begin: Begin) -> BeginRejected | None:
        """Returns a rejection if a new call can't be admitted, else None."""
        key = begin.key.program_key
        program = self.programs.get(key)
        if program is None:
            return self._check_new_program(begin)
        if program.ended:
            text = f"the program has ended: {program.end_reason}"
            return BeginRejected(begin, Reason.PROGRAM_ENDED, text)
        if not begin.seq:
            return None
        if begin.seq < program.next_seq:
            text = f"seq {begin.seq} is taken; the next is {program.next_seq}"
            return BeginRejected(begin, Reason.SEQ_TAKEN, text)
        if any(call.seq == begin.seq for call in program.open.values()):
            text = f"seq {begin.seq} is taken by a call that is under way"
            return BeginRejected(begin, Reason.SEQ_TAKEN, text)
        return None

    def digests_of(self, begin: Begin) -> CallDigests:
        """Returns what a request is recognized by if it crashes servers.

        The content of a model request does not depend on its program and
        account, nor on whether its history was sent with it or stored here.
        """
        if begin.kind != "model":
            return CallDigests(begin.fingerprint)
        program = self.programs.get(begin.key.program_key)
        head, new = b"", begin.digests
        if program is not None:
            head = program.history.head
            new = new[len(program.history) :] if begin.whole else new
        head = history.extend_chain(head, new)
        target = begin.target.encode()
        message = b""
        if begin.digests:
            account = digest.of_bytes(begin.key.account.encode())
            message = digest.chain(account + begin.digests[-1], target)
        return CallDigests(digest.chain(head, target), message)

    def _check_new_program(self, begin: Begin) -> BeginRejected | None:
        if begin.seq > 1:
            text = "the program is not known; its first call has seq 1"
            return BeginRejected(begin, Reason.UNKNOWN_PROGRAM, text)
        key = begin.key.program_key
        for ancestor in (begin.parent, *rules.ancestor_ids(key.program)):
            found = self.programs.get(
                ProgramKey(account=key.account, program=ancestor)
            )
            if found is not None and found.ended:
                text = (
                    f"program {ancestor!r}, which started this one, has ended"
                )
                return BeginRejected(begin, Reason.PROGRAM_ENDED, text)
        return None

    def get_or_create_program(self, record: records.CallBegun) -> Program:
        """Returns the program of a call, which is created if it is new."""
        key = record.begin.key.program_key
        program = self.programs.get(key)
        if program is not None:
            return program
        program = Program(
            key,
            record.begin.parent,
            record.limits,
            begun_ms=record.at_ms,
            once=record.begin.once,
        )
        self.programs[key] = program
        if program.root_key != key:
            root = self._get_or_create_root(program, record)
            root.members.append(key.program)
        return program

    def _get_or_create_root(
        self, program: Program, record: records.CallBegun
    ) -> Program:
        """Returns the program's root, which is created if it is new."""
        root = self.programs.get(program.root_key)
        if root is None:
            root = Program(
                program.root_key, "", record.limits, begun_ms=record.at_ms
            )
            self.programs[root.key] = root
        return root

    def descendants(self, top: Program) -> list[Program]:
        """Returns the programs that `top` started, directly or indirectly."""
        root = self.root_of(top)
        descendants: dict[str, Program] = {top.key.program: top}
        prefix = top.key.program + sharding.SUB_AGENT_SEPARATOR
        for name in root.members:
            key = ProgramKey(account=top.key.account, program=name)
            program = self.programs[key]
            if program.parent in descendants or name.startswith(prefix):
                descendants[name] = program
        del descendants[top.key.program]
        return list(descendants.values())

    def has_open_calls(self, top: Program) -> bool:
        """Returns whether a program or one that it started has an open call."""
        return any(p.open for p in (top, *self.descendants(top)))

    def mark_active(self, program: Program, at_ms: int) -> None:
        """Records that a program is active, and all that started it.

        They wait for it, and would end it together with themselves if they
        counted as idle.
        """
        program.active_ms = max(program.active_ms, at_ms)
        ancestors = dict.fromkeys(rules.ancestor_ids(program.key.program))
        parent = program.parent
        while parent and parent not in ancestors:
            ancestors[parent] = None
            found = self.find_member(program, parent)
            parent = found.parent if found is not None else ""
        for name in ancestors:
            ancestor = self.find_member(program, name)
            if ancestor is not None:
                ancestor.active_ms = max(ancestor.active_ms, at_ms)

    def find_member(self, root: Program, name: str) -> Program | None:
        """Returns the sub-agent of a root with this id, or None."""
        key = ProgramKey(account=root.key.account, program=name)
        return self.programs.get(key)

    def remove_program(self, program: Program) -> None:
        """Removes a program, also from the members of its root."""
        del self.programs[program.key]
        root = self.programs.get(program.root_key)
        if root is not None and program.key.program in root.members:
            root.members.remove(program.key.program)

    def is_settled(self, finish: Finish) -> bool:
        """Returns whether `finish` can't change the attempt's outcome."""
        program = self.programs.get(finish.key.program_key)
        if program is None:
            return True
        call = program.open.get(finish.key.request_id)
        attempt = call.attempt if call is not None else None
        if attempt is not None and attempt.attempt == finish.attempt:
            return False
        if finish.verdict is Verdict.MAY_HAVE_RUN:
            return True
        return finish.attempt not in program.unknown
