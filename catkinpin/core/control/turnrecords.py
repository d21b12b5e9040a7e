"""Records about turns of programs, and what a ledger keeps of them."""

from __future__ import annotations

import dataclasses
import enum

import msgspec

from catkinpin.codec import Message
from catkinpin.core.control.resumption import ResumableTurn, Resumption
from catkinpin.core.placement.urgency import ProgramStatus


class Begin(Message, frozen=True):
    """Log record: begins a turn and reserves its maximum number of tokens.

    Attributes:
        attempt: unique identity of this turn.
        previous: the turn that it continues, empty if it continues none.
        budget: tokens that the whole program may generate; -1 for no limit.
        max_tokens: tokens that this turn may generate.
        retain_ms: how long the program is retained after this turn.
        at_ms: the log's time.
        left_ms: time left to finish the whole program.
        account: client account that the turn belongs to, empty for none.
        resume_key: digest by which a request that resumes the turn finds it;
            empty if the turn's events are not stored.
        resumption: the turn that it resumes; None for a new one.
        handles_resumption: whether the gateway knows which turns resume others.
            One of the previous release does not.
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
    resume_key: str = ""
    resumption: Resumption | None = None
    handles_resumption: bool = False


class Finish(Message, frozen=True):
    """Log record: ends a turn; its generated tokens replace its reservation.

    Attributes:
        tokens: tokens that the caller received; they are charged even if the
            turn failed.
        is_whole: whether the turn is complete and may be continued.
        holders: identities of the hosts that store its bytes.
        size: length of these bytes.
        at_ms: the log's time.
        server: the server that ran it, whose cache holds its prompt; empty for
            none.
        lost_ms: how much longer it took than on an idle server.
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
    """Replaces the list of hosts that store the bytes of some turns."""

    attempts: list[str]
    holders: list[str]


class Denial(enum.StrEnum):
    """Reason why a turn may not begin."""

    NONE = ""
    NO_SUCH_TURN = "no-such-turn"
    NO_SUCH_EVENT = "no-such-event"
    SEVERAL_TURNS = "several-turns"
    NOT_RESUMABLE = "not-resumable"
    BUDGET_SPENT = "budget-spent"
    QUOTA_USED_UP = "quota-used-up"
    NO_CAPACITY = "no-capacity"


class Link(Message, frozen=True):
    """A turn in a chain of turns, and the hosts that store the turn's bytes."""

    attempt: str
    holders: list[str]
    size: int


class Turn(msgspec.Struct, kw_only=True):
    """A finished turn.

    Attributes:
        until_ms: when it expires, by the log's time.
        account: client account that may continue it; empty for any.
    """

    attempt: str
    program: str
    previous: str
    holders: list[str]
    size: int
    until_ms: int
    account: str = ""


class Open(Message, frozen=True):
    """A turn that has begun and not finished.

    Attributes:
        max_tokens: tokens that are reserved for it.
    """

    attempt: str
    program: str
    previous: str
    max_tokens: int
    retain_ms: int
    at_ms: int
    account: str = ""


class ProgramBudget(msgspec.Struct, kw_only=True):
    """Tokens and time that a program has used.

    Attributes:
        spent: tokens of its finished turns.
        reserved: tokens that its open turns may still generate.
        until_ms: when the budget expires, by the log's time.
        allowed_ms: longest time to finish that any of its turns stated, usually
            the first one.
        begun_ms: start of the program, by the log's time.
        server: the server that ran its latest turn.
        lost_ms: how much longer its turns took than on idle servers.
        turns: number of finished turns that generated tokens.
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
    resumable: list[ResumableTurn] = []


@dataclasses.dataclass
class Outcome:
    """Result of applying a record.

    Attributes:
        denial: why the turn may not begin.
        missing: the turn of its chain that is unknown or belongs to another
            account; or the turn that finishes and is not open. Empty if there
            is none.
        chain: the turns before it, oldest first.
        expired: turns that expired, whose bytes may be deleted.
        program_status: elapsed and lost time of the program.
        server: the server that ran the program's latest turn.
    """

    denial: Denial = Denial.NONE
    missing: str = ""
    chain: list[Link] = dataclasses.field(default_factory=list)
    expired: list[str] = dataclasses.field(default_factory=list)
    program_status: ProgramStatus = dataclasses.field(
        default_factory=ProgramStatus
    )
    server: str = ""
