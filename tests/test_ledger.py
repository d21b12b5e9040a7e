"""Budgets of programs, and the trees of their turns."""

from __future__ import annotations

import msgspec
import testtools

from catkinpin import codec
from catkinpin.core.control.ledger import Ledger
from catkinpin.core.control.turnrecords import (
    Begin,
    Denial,
    Finish,
    LedgerState,
)

_RETAIN_MS = 60_000


def _begin(attempt: str, **changes: object) -> Begin:
    plain = Begin(
        attempt=attempt,
        program="p",
        previous="",
        budget=1_000,
        max_tokens=300,
        retain_ms=_RETAIN_MS,
        at_ms=0,
    )
    return msgspec.structs.replace(plain, **changes)


def _finish(attempt: str, **changes: object) -> Finish:
    plain = Finish(
        attempt=attempt,
        program="p",
        tokens=100,
        is_whole=True,
        holders=["h1", "h2"],
        size=10,
        at_ms=0,
    )
    return msgspec.structs.replace(plain, **changes)


class BudgetTest(testtools.TestCase):
    """How many tokens a program may generate."""

    def test_turns_side_by_side_cannot_overspend(self) -> None:
        """Sub-agents begin turns at the same time, through several gateways.

        If turns counted only at their end, all of them would begin, and the
        program would generate far more than its budget.
        """
        ledger = Ledger()
        denials = [ledger.begin(_begin(f"t{n}")).denial for n in range(6)]
        begun = denials.count(Denial.NONE)
        self.assertEqual(4, begun)
        # The program exceeds its budget by at most one turn.
        self.assertLessEqual(begun * 300, 1_000 + 300)
        self.assertEqual(Denial.BUDGET_SPENT, denials[-1])

    def test_reserve_that_was_not_used_is_given_back(self) -> None:
        """A turn ends early, and its unused reservation is released.

        Otherwise a program with budget left would be denied further turns.
        """
        ledger = Ledger()
        for n in range(4):
            ledger.begin(_begin(f"t{n}"))
        ledger.finish(_finish("t0", tokens=0, is_whole=False))
        self.assertEqual(Denial.NONE, ledger.begin(_begin("t9")).denial)

    def test_resent_begin_and_finish_count_once(self) -> None:
        """A leader fails after committing; the gateway resends to the next one.

        If the turn counted twice, a program with budget left would be denied.
        """
        ledger = Ledger()
        for _ in range(5):
            self.assertEqual(Denial.NONE, ledger.begin(_begin("t0")).denial)
        for _ in range(5):
            ledger.finish(_finish("t0", tokens=300))
        for n in range(1, 4):
            denial = ledger.begin(_begin(f"t{n}")).denial
            self.assertEqual(Denial.NONE, denial)

    def test_spent_budget_outlives_the_programs_turns(self) -> None:
        """A stopped program resumes just before its retention ends.

        If its budget had expired, it would begin with a full one, and an
        endless loop would never be stopped.
        """
        ledger = Ledger()
        for n in range(4):
            ledger.begin(_begin(f"t{n}"))
            ledger.finish(_finish(f"t{n}", tokens=300))
        late = _begin("late", at_ms=_RETAIN_MS - 1)
        self.assertEqual(Denial.BUDGET_SPENT, ledger.begin(late).denial)


class ChainTest(testtools.TestCase):
    """Which turns can be continued."""

    def _chain(self) -> Ledger:
        ledger = Ledger()
        for name, previous in (("a", ""), ("b", "a"), ("c", "b"), ("d", "a")):
            begin = _begin(name, previous=previous, budget=-1)
            self.assertEqual(Denial.NONE, ledger.begin(begin).denial)
            ledger.finish(_finish(name))
        return ledger

    def test_chain_starts_with_its_oldest_turn(self) -> None:
        """Several turns continue the same one; each has its own chain."""
        ledger = self._chain()
        chain = ledger.chain("c")
        assert chain is not None
        self.assertEqual(["a", "b", "c"], [link.attempt for link in chain])
        branch = ledger.chain("d")
        assert branch is not None
        self.assertEqual(["a", "d"], [link.attempt for link in branch])

    def test_turn_that_never_ended_cannot_be_continued(self) -> None:
        """A caller continues a turn that ended early.

        If it could, the server would get a history that no caller received.
        """
        ledger = self._chain()
        ledger.begin(_begin("e", previous="c", budget=-1))
        ledger.finish(_finish("e", is_whole=False))
        out = ledger.begin(_begin("f", previous="e", budget=-1))
        self.assertEqual(Denial.NO_SUCH_TURN, out.denial)

    def test_denial_names_the_missing_turn(self) -> None:
        """Guards against logs that can't tell a lost ancestor from no turn."""
        ledger = self._chain()
        del ledger.turns["a"]
        out = ledger.begin(_begin("x", previous="c"))
        self.assertEqual((Denial.NO_SUCH_TURN, "a"), (out.denial, out.missing))
        out = ledger.begin(_begin("y", previous="never"))
        self.assertEqual("never", out.missing)

    def test_log_tells_why_a_turn_is_missing(self) -> None:
        """Guards against one log line for three faults."""
        ledger = Ledger()
        ledger.begin(_begin("open"))
        ledger.begin(_begin("other", account="x"))
        ledger.finish(_finish("other"))
        self.assertEqual("it has not finished", ledger.why_missing("open"))
        self.assertEqual(
            "it belongs to another account", ledger.why_missing("other")
        )
        self.assertEqual("it is not known", ledger.why_missing("never"))
        self.assertEqual("never", ledger.finish(_finish("never")).missing)
        self.assertEqual("", ledger.finish(_finish("other")).missing)

    def test_old_turn_stays_as_long_as_its_chain(self) -> None:
        """A session continues beyond the retention of its first turn.

        If the first turn expired by its own age, it would be missing from the
        prompt of the latest one.
        """
        ledger = self._chain()
        at = _RETAIN_MS - 1_000
        ledger.begin(_begin("g", previous="c", budget=-1, at_ms=at))
        ledger.finish(_finish("g", at_ms=at))
        at += _RETAIN_MS - 1_000
        out = ledger.begin(_begin("h", previous="g", budget=-1, at_ms=at))
        self.assertEqual(Denial.NONE, out.denial)
        self.assertEqual(4, len(out.chain))
        self.assertNotIn("d", ledger.turns)

    def _end_open_turn(self, ledger: Ledger, at_ms: int) -> Denial:
        """Ends turn "x", and begins a turn that continues it."""
        ledger.finish(_finish("x", at_ms=at_ms))
        after = _begin("y", previous="x", budget=-1, at_ms=at_ms)
        return ledger.begin(after).denial

    def test_ancestors_outlast_a_turn_that_ends_after_their_retention(
        self,
    ) -> None:
        """Guards against a whole turn that can't be continued.

        It begins shortly before its ancestors expire, and ends after that.
        """
        ledger = self._chain()
        at_ms = _RETAIN_MS - 1_500
        ledger.begin(_begin("x", previous="c", budget=-1, at_ms=at_ms))
        for late_ms in range(at_ms, _RETAIN_MS + 3_000, 500):
            name = f"other-{late_ms}"
            ledger.begin(_begin(name, program="q", at_ms=late_ms))
        denial = self._end_open_turn(ledger, _RETAIN_MS + 3_000)
        self.assertEqual(Denial.NONE, denial)
        chain = ledger.chain("y") or ledger.chain("x")
        assert chain is not None
        self.assertEqual(["a", "b", "c", "x"], [k.attempt for k in chain])

    def test_ancestors_outlast_an_open_turn_longer_than_the_retention(
        self,
    ) -> None:
        """Guards against a whole turn without ancestors.

        It runs for longer than its program is retained, and the snapshot from
        which the replica starts is of an earlier release, which did not retain
        its ancestors when it began.
        """
        ledger = self._chain()
        ledger.begin(_begin("x", previous="c", budget=-1, at_ms=1_000))
        state = ledger.state()
        for turn in state.turns:
            turn.until_ms = _RETAIN_MS
        restored = Ledger()
        restored.restore(codec.decoder(LedgerState).decode(codec.encode(state)))
        at_ms = 1_000 + _RETAIN_MS + 20_000
        restored.begin(_begin("other", program="q", at_ms=at_ms))
        self.assertNotIn("d", restored.turns)
        self.assertEqual(Denial.NONE, self._end_open_turn(restored, at_ms))

    def test_failed_turn_can_be_sent_again_after_the_retention(self) -> None:
        """Guards against 404 for a turn that is sent again after a failure.

        The first try began in time, its retry begins after the retention.
        """
        ledger = self._chain()
        at_ms = _RETAIN_MS - 500
        ledger.begin(_begin("x", previous="c", budget=-1, at_ms=at_ms))
        at_ms = _RETAIN_MS + 3_000
        ledger.finish(_finish("x", is_whole=False, at_ms=at_ms))
        retry = _begin("x2", previous="c", budget=-1, at_ms=at_ms + 1_500)
        self.assertEqual(Denial.NONE, ledger.begin(retry).denial)

    def test_branch_keeps_the_turn_that_others_continue(self) -> None:
        """Guards against a program that loses its turn while its agents run.

        A sub-agent continues the turn as well, beyond that one's retention.
        """
        ledger = self._chain()
        for step in range(4):
            at_ms = (step + 1) * (_RETAIN_MS - 1_000)
            previous = f"agent-{step - 1}" if step else "c"
            begin = _begin(f"agent-{step}", previous=previous, budget=-1)
            ledger.begin(msgspec.structs.replace(begin, at_ms=at_ms))
            ledger.finish(_finish(f"agent-{step}", at_ms=at_ms + 500))
        at_ms += 1_000
        main = _begin("main", previous="c", budget=-1, at_ms=at_ms)
        self.assertEqual(Denial.NONE, ledger.begin(main).denial)

    def test_turn_that_never_ends_keeps_its_ancestors_no_longer(self) -> None:
        """Guards against turns that stay for good after a gateway's crash."""
        ledger = self._chain()
        ledger.begin(_begin("x", previous="c", budget=-1, at_ms=1_000))
        for minute in range(1, 5):
            begin = _begin("other", program="q", at_ms=minute * 60_000)
            ledger.begin(begin)
        self.assertEqual({}, ledger.turns)

    def test_restored_state_expires_at_the_same_record(self) -> None:
        """A replica starts from a snapshot taken between two sweeps.

        If it swept at another record than the other replicas, it would deny a
        turn that they allow, and their states would diverge.
        """
        ledger = self._chain()
        ledger.begin(_begin("x", budget=-1, at_ms=61_500))
        state = codec.encode(ledger.state())
        other = Ledger()
        other.restore(codec.decoder(LedgerState).decode(state))
        for at in range(61_600, 64_000, 150):
            begin = _begin(f"n{at}", previous="c", budget=-1, at_ms=at)
            own_result, other_result = ledger.begin(begin), other.begin(begin)
            self.assertEqual(own_result, other_result)
            self.assertEqual(set(ledger.turns), set(other.turns))


class AccountTest(testtools.TestCase):
    """Turns of several client accounts."""

    def setUp(self) -> None:
        super().setUp()
        self.ledger = Ledger()
        self.ledger.begin(_begin("t1", account="a"))
        self.ledger.finish(_finish("t1"))

    def _continue(self, account: str) -> Denial:
        name = f"next-{account}"
        turn = _begin(name, account=account, previous="t1")
        return self.ledger.begin(turn).denial

    def test_turn_is_continued_by_its_account_only(self) -> None:
        """Guards against another account reading a program's history."""
        self.assertEqual(Denial.NONE, self._continue("a"))
        self.assertEqual(Denial.NO_SUCH_TURN, self._continue("b"))
        self.assertEqual(Denial.NO_SUCH_TURN, self._continue(""))

    def test_owner_survives_a_snapshot(self) -> None:
        """Guards against turns that a restart opens to all accounts."""
        snapshot = codec.encode(self.ledger.state())
        self.ledger = Ledger()
        self.ledger.restore(codec.decoder(LedgerState).decode(snapshot))
        self.assertEqual(Denial.NO_SUCH_TURN, self._continue("b"))
        self.assertEqual(Denial.NONE, self._continue("a"))

    def test_turn_from_before_the_accounts_can_be_continued(self) -> None:
        """Guards against programs cut off when accounts come into force."""
        self.ledger.begin(_begin("t0"))
        self.ledger.finish(_finish("t0"))
        turn = _begin("t2", account="a", previous="t0")
        self.assertEqual(Denial.NONE, self.ledger.begin(turn).denial)


class AccountBudgetTest(testtools.TestCase):
    """Programs of several accounts with the same program id."""

    def test_program_of_another_account_spends_a_budget_of_its_own(
        self,
    ) -> None:
        """Guards against one account using up another's budget."""
        ledger = Ledger()
        for number in range(4):
            ledger.begin(_begin(f"x{number}", account="x"))
        denied = ledger.begin(_begin("x4", account="x"))
        self.assertEqual(Denial.BUDGET_SPENT, denied.denial)
        other = ledger.begin(_begin("y0", account="y"))
        self.assertEqual(Denial.NONE, other.denial)
        self.assertEqual(1, ledger.turn_count("y", "p"))
        ledger.finish(_finish("y0"))
        again = ledger.begin(_begin("y1", account="y", budget=350))
        self.assertEqual(Denial.NONE, again.denial)

    def test_budgets_of_accounts_survive_a_snapshot(self) -> None:
        """Guards against a restart that mixes up the accounts' budgets."""
        ledger = Ledger()
        ledger.begin(_begin("x0", account="x", max_tokens=1_000))
        ledger.begin(_begin("y0", account="y"))
        restored = Ledger()
        restored.restore(ledger.state())
        denied = restored.begin(_begin("x1", account="x"))
        self.assertEqual(Denial.BUDGET_SPENT, denied.denial)
        kept = restored.begin(_begin("y1", account="y"))
        self.assertEqual(Denial.NONE, kept.denial)

    def test_program_from_before_the_accounts_keeps_its_budget(self) -> None:
        """Guards against a second budget when accounts come into force."""
        ledger = Ledger()
        ledger.begin(_begin("t0", max_tokens=1_000))
        denied = ledger.begin(_begin("t1", account="x"))
        self.assertEqual(Denial.BUDGET_SPENT, denied.denial)
        ledger.finish(_finish("t0", tokens=0))
        kept = ledger.begin(_begin("t2", account="x"))
        self.assertEqual(Denial.NONE, kept.denial)
