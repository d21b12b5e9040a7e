"""Programs' budgets and their trees of turns, as a deterministic state.

A turn continues an earlier one or starts a chain; several may continue the
same. Time is the log's own: each record carries the leader's, which only
rises, so that all replicas expire the same turns at the same record.
"""

from __future__ import annotations

import dataclasses
import enum

import msgspec

from catkinpin.codec import Message
from catkinpin.core.placement.urgency import ProgramStatus

# A program's budget outlives its last turn by this much more than its turns:
# one that was stopped comes back at the last moment, from a slower host.
_BUDGET_SLACK_MS = 30_000
# Expired turns are looked for at most so often.
_SWEEP_EVERY_MS = 1_000


class Begin(Message, frozen=True):
    """Reserves a turn's most tokens.

    Attributes:
        attempt: identity of this turn, never used twice.
        previous: the turn that it continues, empty for a new chain.
        budget: tokens that the whole program may generate; -1 for no limit.
        max_tokens: tokens that this turn may generate.
        retain_ms: how long the program is remembered after it.
        at_ms: the log's time.
        left_ms: until the whole program should be finished.
        account: client account that the turn belongs to, empty for none.
    """

    attempt: str
    program: str
    previous: str
    budget: int
    max_tokens: int
    retain_ms: int
    at_ms: int
    left_ms: int = 0
    account: str = ""


class Finish(Message, frozen=True):
    """Settles a turn.

    Attributes:
        tokens: handed to the caller; they count whatever came of the turn.
        is_whole: whether the turn can be continued from now on.
        holders: identities of the hosts that have its bytes.
        size: length of these bytes.
        at_ms: the log's time.
        server: that ran it, whose cache holds its prompt; empty for none.
        lost_ms: what it took longer than on an idle server.
    """

    attempt: str
    program: str
    tokens: int
    is_whole: bool
    holders: list[str]
    size: int
    at_ms: int
    server: str = ""
    lost_ms: int = 0


class Moved(Message, frozen=True):
    """Names the hosts that have the bytes of some turns now."""

    attempts: list[str]
    holders: list[str]


class Denial(enum.StrEnum):
    """Why a turn may not begin."""

    NONE = ""
    NO_SUCH_TURN = "no-such-turn"
    BUDGET_SPENT = "budget-spent"
    QUOTA_USED_UP = "quota-used-up"


class Link(Message, frozen=True):
    """One turn of a chain, and who has its bytes."""

    attempt: str
    holders: list[str]
    size: int


class Turn(msgspec.Struct, kw_only=True):
    """A finished turn.

    Attributes:
        until_ms: when it may be forgotten, by the log's time.
        account: client account that may continue it.
    """

    attempt: str
    program: str
    previous: str
    holders: list[str]
    size: int
    until_ms: int
    account: str = ""


class Open(Message, frozen=True):
    """A turn that has begun and is not settled."""

    attempt: str
    program: str
    previous: str
    max_tokens: int
    retain_ms: int
    at_ms: int
    account: str = ""


class ProgramBudget(msgspec.Struct, kw_only=True):
    """What a program has spent.

    Attributes:
        spent: tokens of its settled turns.
        reserved: tokens that its open turns may still generate.
        until_ms: when it may be forgotten, by the log's time.
        allowed_ms: what it had at its start to be finished in.
        begun_ms: its start, by the log's time.
        server: that ran its latest turn.
        lost_ms: what its turns took longer than on idle servers.
        turns: settled so far that generated anything.
        account: client account that the program belongs to.
    """

    program: str
    account: str = ""
    allowed_ms: int = 0
    begun_ms: int = 0
    lost_ms: int = 0
    turns: int = 0
    server: str = ""
    spent: int = 0
    reserved: int = 0
    until_ms: int = 0


class LedgerState(Message, frozen=True):
    """Content of a snapshot."""

    turns: list[Turn]
    open: list[Open]
    budgets: list[ProgramBudget] = msgspec.field(name="accounts")
    now_ms: int
    swept_ms: int


@dataclasses.dataclass
class Outcome:
    """What a record brought about.

    Attributes:
        denial: why a turn may not begin.
        chain: the turns before it, the oldest first.
        expired: turns whose bytes are needed no more.
        program_status: how the program is doing.
        server: that ran its latest turn.
    """

    denial: Denial = Denial.NONE
    chain: list[Link] = dataclasses.field(default_factory=list)
    expired: list[str] = dataclasses.field(default_factory=list)
    program_status: ProgramStatus = dataclasses.field(
        default_factory=ProgramStatus
    )
    server: str = ""


class Ledger:
    """Budgets and turns of all programs.

    Attributes:
        turns: finished turns, by attempt.
        now_ms: the log's time.
    """

    def __init__(self) -> None:
        self.turns: dict[str, Turn] = {}
        self.now_ms = 0
        self._open: dict[str, Open] = {}
        # By account and program: accounts choose ids of their own.
        self._budgets: dict[tuple[str, str], ProgramBudget] = {}
        self._swept_ms = 0

    def begin(self, record: Begin) -> Outcome:
        """Reserves for a turn, or says why not; a resend changes nothing."""
        out = self._advance(record.at_ms)
        chain = self.chain(record.previous, record.account)
        if chain is None:
            out.denial = Denial.NO_SUCH_TURN
            return out
        out.chain = chain
        budget = self._budget_of(record.account, record.program)
        if budget is None:
            budget = ProgramBudget(
                program=record.program,
                account=record.account,
                begun_ms=self.now_ms,
            )
        budget.allowed_ms = max(budget.allowed_ms, record.left_ms)
        out.program_status = ProgramStatus(
            allowed_ms=budget.allowed_ms,
            elapsed_ms=self.now_ms - budget.begun_ms,
            lost_ms=budget.lost_ms,
            turns=budget.turns,
        )
        out.server = budget.server
        if self.knows_turn(record.attempt):
            return out
        if not _affords(budget, record):
            out.denial = Denial.BUDGET_SPENT
            return out
        self._budgets[(budget.account, budget.program)] = budget
        budget.reserved += record.max_tokens
        self._keep(budget, record.retain_ms)
        self._open[record.attempt] = Open(
            attempt=record.attempt,
            program=record.program,
            previous=record.previous,
            max_tokens=record.max_tokens,
            retain_ms=record.retain_ms,
            at_ms=self.now_ms,
            account=record.account,
        )
        return out

    def finish(self, record: Finish) -> Outcome:
        """Settles a turn; a resend changes nothing."""
        out = self._advance(record.at_ms)
        begun = self._open.pop(record.attempt, None)
        if begun is None:
            return out
        budget = self._budget_of(begun.account, begun.program)
        if budget is not None:
            budget.reserved -= begun.max_tokens
            budget.spent += record.tokens
            budget.lost_ms += record.lost_ms
            budget.turns += record.tokens > 0
            budget.server = record.server or budget.server
            self._keep(budget, begun.retain_ms)
        if record.is_whole:
            self._store(begun, record)
        return out

    def moved(self, record: Moved) -> None:
        """Notes other holders of turns' bytes."""
        for attempt in record.attempts:
            turn = self.turns.get(attempt)
            if turn is not None:
                turn.holders = list(record.holders)

    def turn_count(self, account: str, program: str) -> int:
        """Returns how many turns a program has had; 0 for a new one."""
        budget = self._budget_of(account, program)
        return 0 if budget is None else max(1, budget.turns)

    def knows_turn(self, attempt: str) -> bool:
        """Returns whether a turn has begun."""
        return attempt in self._open or attempt in self.turns

    def chain(self, attempt: str, account: str = "") -> list[Link] | None:
        """Returns the turns up to `attempt`, oldest first.

        Returns:
            None where the account has no such turn.
        """
        links: list[Link] = []
        while attempt:
            turn = self.turns.get(attempt)
            if turn is None or turn.account not in ("", account):
                return None
            links.append(
                Link(attempt=attempt, holders=turn.holders, size=turn.size)
            )
            attempt = turn.previous
        links.reverse()
        return links

    def state(self) -> LedgerState:
        """Returns all that a snapshot needs."""
        return LedgerState(
            turns=list(self.turns.values()),
            open=list(self._open.values()),
            budgets=list(self._budgets.values()),
            now_ms=self.now_ms,
            swept_ms=self._swept_ms,
        )

    def restore(self, state: LedgerState) -> None:
        """Replaces everything by the content of a snapshot."""
        self.turns = {turn.attempt: turn for turn in state.turns}
        self._open = {begun.attempt: begun for begun in state.open}
        self._budgets = {(b.account, b.program): b for b in state.budgets}
        self.now_ms = state.now_ms
        self._swept_ms = state.swept_ms

    def _budget_of(self, account: str, program: str) -> ProgramBudget | None:
        """Returns what a program has spent; None for a new one.

        A program that began before there were accounts belongs to none.
        """
        own = self._budgets.get((account, program))
        return own or self._budgets.get(("", program))

    def _store(self, begun: Open, record: Finish) -> None:
        until_ms = self.now_ms + begun.retain_ms
        self.turns[begun.attempt] = Turn(
            attempt=begun.attempt,
            program=begun.program,
            previous=begun.previous,
            holders=list(record.holders),
            size=record.size,
            until_ms=until_ms,
            account=begun.account,
        )
        # A turn is kept together with its chain.
        previous = begun.previous
        while previous in self.turns:
            turn = self.turns[previous]
            turn.until_ms = max(turn.until_ms, until_ms)
            previous = turn.previous

    def _keep(self, budget: ProgramBudget, retain_ms: int) -> None:
        until_ms = self.now_ms + retain_ms + _BUDGET_SLACK_MS
        budget.until_ms = max(budget.until_ms, until_ms)

    def _advance(self, at_ms: int) -> Outcome:
        self.now_ms = max(self.now_ms, at_ms)
        out = Outcome()
        if self.now_ms - self._swept_ms >= _SWEEP_EVERY_MS:
            self._swept_ms = self.now_ms
            out.expired = self._sweep()
        return out

    def _sweep(self) -> list[str]:
        now_ms = self.now_ms
        needed = {begun.previous for begun in self._open.values()}
        expired = [
            turn.attempt
            for turn in self.turns.values()
            if turn.until_ms < now_ms and turn.attempt not in needed
        ]
        for attempt in expired:
            del self.turns[attempt]
        # A front that died never settles: its turn holds its reserve until
        # the program itself is forgotten.
        gone = [
            key
            for key, budget in self._budgets.items()
            if budget.until_ms < now_ms
        ]
        for key in gone:
            del self._budgets[key]
        lost = [
            begun.attempt
            for begun in self._open.values()
            if self._budget_of(begun.account, begun.program) is None
        ]
        for attempt in lost:
            del self._open[attempt]
        return expired


def _affords(budget: ProgramBudget, record: Begin) -> bool:
    if record.budget < 0:
        return True
    return budget.spent + budget.reserved < record.budget
