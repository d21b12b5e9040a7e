"""Deterministic state of the budgets and the turns of all programs.

A turn continues an earlier turn or none. A chain is a turn with all turns that
it continues, back to the first. Several turns may continue the same one, so the
turns of a program form trees. A chain is retained as a whole: from the begin
and from the end of each turn that continues it, and as long as one is open.

Each record carries the log's time, which the leader sets and which never
decreases. All replicas therefore expire the same turns at the same record.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from catkinpin.core.control.resumption import ResumableTurn, ResumableTurns
from catkinpin.core.control.turnrecords import (
    Denial,
    LedgerState,
    Link,
    Open,
    Outcome,
    ProgramBudget,
    Turn,
)
from catkinpin.core.placement.urgency import ProgramStatus

if TYPE_CHECKING:
    from catkinpin.core.control.resumption import Resumption
    from catkinpin.core.control.turnrecords import Begin, Finish, Moved

# A budget is retained for this much longer than the program's last turn: a
# stopped program may be resumed at the last moment, from a slower host.
_BUDGET_EXTRA_RETAIN_MS = 30_000
# Minimum interval between two sweeps for expired turns.
_SWEEP_INTERVAL_MS = 1_000


class Ledger:
    """Tracks budgets and turns of all programs.

    Attributes:
        turns: finished turns that may be continued, by attempt.
        resumable: turns whose streams callers may resume.
        now_ms: the log's time.
    """

    def __init__(self) -> None:
        self.turns: dict[str, Turn] = {}
        self.resumable = ResumableTurns()
        self.now_ms = 0
        self._open_turns: dict[str, Open] = {}
        # By account and program: two accounts may choose the same program id.
        self._budgets: dict[tuple[str, str], ProgramBudget] = {}
        self._last_sweep_ms = 0

    def begin(self, record: Begin) -> Outcome:
        """Begins a turn or denies it; a resent record changes nothing."""
        out = self._advance(record.at_ms)
        chain = self.chain(record.previous, record.account)
        if chain is None:
            out.denial = Denial.NO_SUCH_TURN
            out.missing = self._first_missing(record.previous, record.account)
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
        resumed = record.resumption
        if resumed is not None and not self.resumable.get(resumed.attempt):
            out.denial = Denial.NO_SUCH_EVENT
        elif not self._has_budget_left(budget, record):
            out.denial = Denial.BUDGET_SPENT
        else:
            self._open_turn(record, budget)
        return out

    def _open_turn(self, record: Begin, budget: ProgramBudget) -> None:
        """Opens a turn that may begin."""
        if record.resumption is not None:
            self._supersede(record.resumption, budget)
        self._retain_chain(record.previous, record.retain_ms)
        self._budgets[(budget.account, budget.program)] = budget
        max_tokens = _tokens_to_reserve(record)
        budget.reserved += max_tokens
        self._extend_retention(budget, record.retain_ms)
        if record.resume_key:
            self.resumable.add(_resumable_turn(record))
        self._open_turns[record.attempt] = Open(
            attempt=record.attempt,
            program=record.program,
            previous=record.previous,
            max_tokens=max_tokens,
            retain_ms=record.retain_ms,
            at_ms=self.now_ms,
            account=record.account,
        )

    def finish(self, record: Finish) -> Outcome:
        """Finishes a turn; a resent record changes nothing."""
        out = self._advance(record.at_ms)
        open_turn = self._open_turns.pop(record.attempt, None)
        if open_turn is None:
            if record.attempt not in self.turns:
                out.missing = record.attempt
                self._charge_late(record)
            return out
        budget = self._budget_of(open_turn.account, open_turn.program)
        if budget is not None:
            budget.reserved -= open_turn.max_tokens
            budget.spent += record.tokens
            budget.lost_ms += record.lost_ms
            budget.turns += record.tokens > 0
            budget.server = record.server or budget.server
            self._extend_retention(budget, open_turn.retain_ms)
        until_ms = self.now_ms + open_turn.retain_ms
        self.resumable.end(record.attempt, record.tokens, until_ms)
        if record.is_whole:
            self._add_turn(open_turn, record)
        return out

    def set_holders(self, record: Moved) -> None:
        """Replaces the holders of turns' bytes."""
        for attempt in record.attempts:
            turn = self.turns.get(attempt)
            if turn is not None:
                turn.holders = list(record.holders)

    def turn_count(self, account: str, program: str) -> int:
        """Returns how many turns a program has had; 0 for a new program.

        A program without a finished turn that generated tokens counts one.
        """
        budget = self._budget_of(account, program)
        return 0 if budget is None else max(1, budget.turns)

    def knows_turn(self, attempt: str) -> bool:
        """Returns whether a turn is open or may be continued."""
        return attempt in self._open_turns or attempt in self.turns

    def chain(self, attempt: str, account: str = "") -> list[Link] | None:
        """Returns the chain that ends with `attempt`, oldest turn first.

        Returns:
            None where a turn is unknown or belongs to another account.
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

    def why_missing(self, attempt: str) -> str:
        """Returns why a turn can't be continued, for the log."""
        if attempt in self._open_turns:
            return "it has not finished"
        if attempt in self.turns:
            return "it belongs to another account"
        return "it is not known"

    def _first_missing(self, attempt: str, account: str) -> str:
        """Returns the newest turn of a chain that can't be continued."""
        while attempt:
            turn = self.turns.get(attempt)
            if turn is None or turn.account not in ("", account):
                return attempt
            attempt = turn.previous
        return ""

    def state(self) -> LedgerState:
        """Returns the whole state, for a snapshot."""
        return LedgerState(
            turns=list(self.turns.values()),
            open=list(self._open_turns.values()),
            budgets=list(self._budgets.values()),
            now_ms=self.now_ms,
            swept_ms=self._last_sweep_ms,
            resumable=self.resumable.state(),
        )

    def restore(self, state: LedgerState) -> None:
        """Replaces the whole state by a snapshot's."""
        self.turns = {turn.attempt: turn for turn in state.turns}
        self._open_turns = {
            open_turn.attempt: open_turn for open_turn in state.open
        }
        self._budgets = {(b.account, b.program): b for b in state.budgets}
        self.now_ms = state.now_ms
        self._last_sweep_ms = state.swept_ms
        self.resumable.restore(state.resumable)

    def _budget_of(self, account: str, program: str) -> ProgramBudget | None:
        """Returns a program's budget; None for a new program.

        A program that began before accounts were in force has no account.
        """
        account_budget = self._budgets.get((account, program))
        return account_budget or self._budgets.get(("", program))

    def _has_budget_left(self, budget: ProgramBudget, record: Begin) -> bool:
        """Returns whether a turn may begin.

        What the caller of a resumed turn has of it is not generated again, so
        the turn passed this check with these tokens to come.
        """
        if record.budget < 0:
            return True
        used = budget.spent + budget.reserved
        resumed = record.resumption
        if resumed is not None:
            open_turn = self._open_turns.get(resumed.attempt)
            if open_turn is not None:
                used += self._own_tokens(resumed) - open_turn.max_tokens
            used -= resumed.kept_tokens
        return used < record.budget

    def _supersede(self, resumed: Resumption, budget: ProgramBudget) -> None:
        """Ends a turn that a new one resumes, unless it has ended already.

        It can't finish whole any more: its caller has left it.
        """
        self.resumable.limit(resumed)
        open_turn = self._open_turns.pop(resumed.attempt, None)
        if open_turn is None:
            return
        budget.reserved -= open_turn.max_tokens
        tokens = self._own_tokens(resumed)
        budget.spent += tokens
        until_ms = self.now_ms + open_turn.retain_ms
        self.resumable.end(resumed.attempt, tokens, until_ms)

    def _own_tokens(self, resumed: Resumption) -> int:
        """Returns how many tokens a resumed turn itself may have sent."""
        turn = self.resumable.get(resumed.attempt)
        kept_tokens = turn.kept_tokens if turn is not None else 0
        return max(0, resumed.sent_tokens - kept_tokens)

    def _charge_late(self, record: Finish) -> None:
        """Charges what a superseded turn has sent after that."""
        turn = self.resumable.get(record.attempt)
        if turn is None or record.tokens <= turn.charged:
            return
        budget = self._budget_of(turn.account, turn.program)
        if budget is not None:
            budget.spent += record.tokens - turn.charged
        turn.charged = record.tokens

    def _add_turn(self, open_turn: Open, record: Finish) -> None:
        """Adds a finished turn, and retains its whole chain as long."""
        self.turns[open_turn.attempt] = Turn(
            attempt=open_turn.attempt,
            program=open_turn.program,
            previous=open_turn.previous,
            holders=list(record.holders),
            size=record.size,
            until_ms=0,
            account=open_turn.account,
        )
        self._retain_chain(open_turn.attempt, open_turn.retain_ms)

    def _retain_chain(self, attempt: str, retain_ms: int) -> None:
        """Retains the chain that ends with `attempt` for `retain_ms`."""
        until_ms = self.now_ms + retain_ms
        # A turn without a name, which a foreign record may add, would continue
        # itself.
        while attempt and (turn := self.turns.get(attempt)) is not None:
            turn.until_ms = max(turn.until_ms, until_ms)
            attempt = turn.previous

    def _extend_retention(self, budget: ProgramBudget, retain_ms: int) -> None:
        until_ms = self.now_ms + retain_ms + _BUDGET_EXTRA_RETAIN_MS
        budget.until_ms = max(budget.until_ms, until_ms)

    def _advance(self, at_ms: int) -> Outcome:
        """Advances the log's time, and sweeps when a sweep is due."""
        self.now_ms = max(self.now_ms, at_ms)
        out = Outcome()
        if self.now_ms - self._last_sweep_ms >= _SWEEP_INTERVAL_MS:
            self._last_sweep_ms = self.now_ms
            out.expired = self._sweep()
        return out

    def _continued_turns(self) -> set[str]:
        """Returns the turns in the chains that open turns continue."""
        found: set[str] = set()
        for open_turn in self._open_turns.values():
            attempt = open_turn.previous
            while attempt in self.turns and attempt not in found:
                found.add(attempt)
                attempt = self.turns[attempt].previous
        return found

    def _sweep(self) -> list[str]:
        """Removes what has expired; returns the turns among it."""
        now_ms = self.now_ms
        continued = self._continued_turns()
        expired = [
            turn.attempt
            for turn in self.turns.values()
            if turn.until_ms < now_ms and turn.attempt not in continued
        ]
        for attempt in expired:
            del self.turns[attempt]
        # A gateway that crashed never finishes its turns: their reservations
        # last until the program's budget expires.
        expired_budgets = [
            key
            for key, budget in self._budgets.items()
            if budget.until_ms < now_ms
        ]
        for key in expired_budgets:
            del self._budgets[key]
        orphaned = [
            open_turn.attempt
            for open_turn in self._open_turns.values()
            if self._budget_of(open_turn.account, open_turn.program) is None
        ]
        for attempt in orphaned:
            del self._open_turns[attempt]
        expired += self.resumable.expire(now_ms, self.knows_turn)
        return expired


def _resumable_turn(record: Begin) -> ResumableTurn:
    return ResumableTurn(
        attempt=record.attempt,
        account=record.account,
        program=record.program,
        previous=record.previous,
        key=record.resume_key,
        kept_tokens=record.resumption.kept_tokens if record.resumption else 0,
    )


def _tokens_to_reserve(record: Begin) -> int:
    """Returns how many tokens a turn may still generate."""
    if record.resumption is None:
        return record.max_tokens
    return max(0, record.max_tokens - record.resumption.kept_tokens)
