"""Guarantees of a shard that the fault matrix does not cover."""

from __future__ import annotations

from typing import Any

import msgspec

from catkinpin import codec, configuration, digest
from catkinpin.core import messages
from catkinpin.core.messages import CallKey, ProgramKey
from catkinpin.core.programs import (
    attempts,
    budgets,
    commands,
    deadlines,
    records,
    shard,
    waiters,
)
from catkinpin.core.programs.program import CallState
from catkinpin.exceptions import SnapshotVersionError
from catkinpin.verdicts import Reason, Verdict
from tests import base
from tests.fakes import world as worlds
from tests.fakes.worldprogram import Program

_SERVER = messages.ServerRef(server="s", incarnation="s.0", address="")
_CHOICE = records.Choice(server=_SERVER, entry="e", entry_incarnation="e.0")
_IDLE_MS = 1_000
_LIMITS = records.ProgramLimits(
    budget_tokens=100, max_turns=3, retain_ms=50, idle_ms=_IDLE_MS
)


class ShardHarness:
    """Applies records to a shard, with increasing log indexes."""

    def __init__(self) -> None:
        self.shard = shard.Shard("shard-0")
        self.index = 0
        self.now = 0

    def apply(self, record: records.ShardRecord) -> list[Any]:
        self.index += 1
        return self.shard.apply(self.index, record)

    def begin(
        self,
        request_id: str,
        program: str = "p",
        texts: tuple[bytes, ...] = (b"ask",),
        **fields: Any,
    ) -> list[Any]:
        begin = messages.Begin(
            ask=0,
            key=CallKey(account="a", program=program, request_id=request_id),
            kind=fields.pop("kind", "model"),
            target="m",
            idempotent=fields.pop("idempotent", True),
            deadline_ms=1_000,
            digests=[digest.of_bytes(text) for text in texts],
            fingerprint=digest.of_bytes(b"".join(texts)),
            prompt_tokens=10,
            max_tokens=50,
            **fields,
        )
        return self.apply(
            records.CallBegun(
                at_ms=self.now, begin=begin, limits=_LIMITS, choice=_CHOICE
            )
        )

    def finish(
        self,
        request_id: str,
        program: str = "p",
        verdict: Verdict = Verdict.RAN,
        texts: tuple[bytes, ...] = (b"ask", b"answer"),
        used: int = 20,
        attempt: str = "",
        **fields: Any,
    ) -> list[Any]:
        key = CallKey(account="a", program=program, request_id=request_id)
        found = self.shard.find_open(key)
        if not attempt:
            assert found is not None and found[1].attempt is not None
            attempt = found[1].attempt.attempt
        answer = messages.Answer(status=200, content_type="", body=texts[-1])
        ran = verdict is Verdict.RAN
        return self.apply(
            records.AttemptFinished(
                at_ms=self.now,
                key=key,
                attempt=attempt,
                verdict=verdict,
                answer=answer if ran else None,
                usage=messages.Usage(completion_tokens=used if ran else 0),
                messages=list(texts) if ran else [],
                **fields,
            )
        )

    def program(self, name: str = "p") -> Any:
        return self.shard.programs[ProgramKey(account="a", program=name)]

    def attempt(self, request_id: str, name: str = "p") -> Any:
        return self.program(name).open[request_id].attempt


class BudgetTest(base.TestCase):
    """A tree of programs never exceeds its token budget."""

    def test_unknown_outcomes_keep_their_reserve(self) -> None:
        """A server crashes during a call, and the call's usage is unknown.

        Its reservation is kept, so later answers get shorter or are refused,
        and the budget is not exceeded.
        """
        harness = ShardHarness()
        harness.begin("1")
        self.assertEqual(60, harness.program().reserved)
        harness.finish("1", verdict=Verdict.MAY_HAVE_RUN)
        harness.apply(
            records.AttemptStarted(
                at_ms=1,
                key=CallKey(account="a", program="p", request_id="1"),
                choice=_CHOICE,
            )
        )
        self.assertEqual(30, harness.attempt("1").max_tokens)
        self.assertEqual(100, harness.program().reserved)
        late_attempt = next(iter(harness.program().unknown))
        harness.finish("1", attempt=late_attempt, used=5)
        self.assertEqual(5, harness.program().spent)
        self.assertEqual(40, harness.program().reserved)

    def test_engine_that_overcounts_ends_the_budget(self) -> None:
        """An engine exceeds its output limit and reports that afterwards.

        The program's later calls are refused; `overcounted` has the surplus.
        """
        harness = ShardHarness()
        harness.begin("1")
        harness.finish("1", used=130)
        program = harness.program()
        self.assertEqual((100, 30), (program.spent, program.overcounted))
        refused = harness.begin("2", texts=(b"ask", b"answer", b"more"))[0]
        self.assertEqual(Reason.BUDGET_EXHAUSTED, refused.refusal.reason)
        self.assertEqual(Verdict.NOT_RUN, refused.refusal.verdict)

    def test_stored_history_counts_where_only_new_messages_are_sent(
        self,
    ) -> None:
        """A caller sends only its new messages; the history is put before.

        The engine bills the whole prompt. If the reservation left out the
        history, a long session would exceed a small budget.
        """
        harness = ShardHarness()
        harness.begin("1")
        harness.finish("1", texts=(b"ask", b"answer"), used=1)
        harness.begin("2", texts=(b"more",), whole=False)
        stored = (
            len(b"ask") + len(b"answer") + 2 * budgets.MESSAGE_OVERHEAD_TOKENS
        )
        self.assertEqual(99 - 10 - stored, harness.attempt("2").max_tokens)
        self.assertEqual(99, harness.program().reserved)
        harness.finish("2", texts=(b"more", b"a" * 40), used=1)
        refused = harness.begin("3", texts=(b"last",), whole=False)[0]
        self.assertEqual(Reason.BUDGET_EXHAUSTED, refused.refusal.reason)

    def test_sub_agents_share_the_root_and_end_with_it(self) -> None:
        """A sub-agent goes on calling after its root has ended.

        Its calls are refused, and the engine memory of both is released.
        """
        harness = ShardHarness()
        harness.begin("1")
        harness.begin("1", program="p/sub", parent="p")
        self.assertEqual(30, harness.attempt("1", "p/sub").max_tokens)
        self.assertEqual(100, harness.program().reserved)
        harness.finish("1")
        key = ProgramKey(account="a", program="p")
        harness.apply(records.ProgramEnded(at_ms=9, key=key, reason="over"))
        self.assertEqual(["a/p"], self._orders(harness))
        harness.finish("1", program="p/sub")
        self.assertEqual(["a/p", "a/p/sub"], self._orders(harness))
        rejected = harness.begin("2", program="p/other")[0]
        self.assertEqual(Reason.PROGRAM_ENDED, rejected.reason)
        self.assertEqual(40, harness.program().spent)

    def _orders(self, harness: ShardHarness) -> list[str]:
        return [order.program for order in harness.shard.outbox.pending("s")]

    def test_loop_without_end_is_stopped(self) -> None:
        """A program makes calls in an endless loop.

        It is ended at its limit of turns, and the caller learns the reason.
        """
        harness = ShardHarness()
        texts: tuple[bytes, ...] = ()
        for number in range(3):
            ask = b"ask %d" % number
            harness.begin(str(number), texts=(*texts, ask), kind="model")
            harness.finish(str(number), texts=(ask, b"yes"), used=1)
            texts = (*texts, ask, b"yes")
        refused = harness.begin("3", texts=(*texts, b"ask"))[0]
        self.assertEqual(Reason.LIMIT_REACHED, refused.refusal.reason)
        self.assertIn("3 turns", refused.refusal.text)
        self.assertTrue(harness.program().ended)


class PlaceTest(base.TestCase):
    """Only a call that ran, or may have, uses up its sequence number."""

    def test_refused_call_can_be_resent_in_its_place(self) -> None:
        """No server has capacity, and the caller resends the same request.

        It then runs with the same sequence number.
        """
        harness = ShardHarness()
        harness.begin("1", seq=1)
        harness.finish("1", verdict=Verdict.NOT_RUN, reason=Reason.NO_SERVER)
        key = CallKey(account="a", program="p", request_id="1")
        refusal = records.CallRefused(
            at_ms=1,
            key=key,
            reason=Reason.NO_SERVER,
            text="",
            verdict=Verdict.NOT_RUN,
            retry_after_ms=5,
        )
        self.assertEqual(refusal, harness.apply(refusal)[0].refusal)
        harness.begin("1", seq=1)
        harness.finish("1")
        self.assertEqual(2, harness.program().next_seq)

    def test_given_up_call_is_never_said_not_to_have_run(self) -> None:
        """An idempotent call that may have run is abandoned and sent again.

        If the resend is refused for another reason, that refusal must not say
        that the request did not run.
        """
        harness = ShardHarness()
        harness.begin("1")
        harness.now = 2_000
        call_rejected = harness.finish("1", verdict=Verdict.MAY_HAVE_RUN)[0]
        self.assertEqual(Verdict.MAY_HAVE_RUN, call_rejected.refusal.verdict)
        key = CallKey(account="a", program="p", request_id="1")
        verdict = harness.shard.verdict_of(key)
        self.assertEqual(Verdict.MAY_HAVE_RUN, verdict)

    def test_late_answer_replaces_an_unknown_outcome(self) -> None:
        """An entry reports its outcome after a long network partition.

        The caller was told that the service call may have run. Its resend
        gets the answer now, and nothing runs again.
        """
        harness = ShardHarness()
        service: dict[str, Any] = {"kind": "service", "idempotent": False}
        harness.begin("1", texts=(), **service)
        attempt = harness.attempt("1").attempt
        harness.finish("1", verdict=Verdict.MAY_HAVE_RUN)
        effects = harness.apply(
            records.AttemptFinished(
                at_ms=9,
                key=CallKey(account="a", program="p", request_id="1"),
                attempt=attempt,
                verdict=Verdict.RAN,
                answer=messages.Answer(status=200, content_type="", body=b""),
            )
        )
        self.assertEqual(harness.index, effects[0].call.record_index)
        self.assertEqual([], harness.begin("1", texts=(), **service))


class HistoryTest(base.TestCase):
    """Histories are neither lost nor mixed up."""

    def test_messages_of_another_call_are_refused(self) -> None:
        """An entry confuses two calls and reports the other's messages.

        The user gets an error instead of another program's history.
        """
        harness = ShardHarness()
        harness.begin("1")
        call_rejected = harness.finish("1", texts=(b"other", b"answer"))[0]
        self.assertEqual(Reason.INTERNAL, call_rejected.refusal.reason)
        self.assertEqual(0, len(harness.program().history))

    def test_snapshot_restores_all_but_texts(self) -> None:
        """A replica falls behind and gets a snapshot instead of records.

        Its state is then the same as that of the other replicas.
        """
        harness = ShardHarness()
        harness.begin("1")
        harness.finish("1")
        harness.begin("2", texts=(b"ask", b"answer", b"more"))
        harness.begin("1", program="p/sub", parent="p")
        harness.finish("1", program="p/sub", verdict=Verdict.MAY_HAVE_RUN)
        copy = shard.Shard("shard-0")
        data = harness.shard.snapshot()
        copy.restore(data)
        self.assertEqual(data, copy.snapshot())
        self.assertNotIn(b"answer", data)
        self.assertEqual({2}, set(copy.referenced()))
        call = copy.programs[ProgramKey(account="a", program="p")].open["2"]
        self.assertEqual(CallState.RUNNING, call.state)
        newer = msgspec.msgpack.decode(data) | {"version": 99}
        with self.assertRaisesRegex(SnapshotVersionError, "version 99"):
            copy.restore(codec.encode(newer))

    def test_ended_program_is_forgotten_after_its_resends(self) -> None:
        harness = ShardHarness()
        harness.begin("1", once=True)
        harness.finish("1")
        self.assertTrue(harness.program().ended)
        self.assertEqual([], harness.begin("1", once=True))
        key = ProgramKey(account="a", program="p")
        harness.apply(records.ProgramsForgotten(at_ms=99, keys=[key]))
        self.assertEqual({}, harness.shard.programs)


class IdleTest(base.TestCase):
    """Programs whose caller is gone are removed."""

    def test_idle_program_is_ended_released_and_forgotten(self) -> None:
        """A caller crashes between two turns and never ends its program.

        After the idle timeout the engine memory is released. A resend of the
        last call still gets the answer, until the program is forgotten.
        """
        world = worlds.World(1)
        world.cfg = configuration.parse(
            b"[[accounts]]\nname = 'a'\nkey_sha256 = '%s'\n"
            b"[[deployments]]\nname = 'd'\ntargets = ['model']\n"
            b"idle_timeout_seconds = 5\n" % (b"0" * 64)
        )
        assert world.leader is not None
        world.leader.cfg = world.cfg
        world.run(500)
        program = Program(world, "p", "mm")
        program.kinds = "m"
        program.stopped = True
        world.run(1_000)
        self.assertEqual(1, len(program.answers))
        held = [s for s in world.servers.values() if s.held]
        self.assertEqual(1, len(held))
        world.run(4_000)
        self.assertTrue(held[0].held)
        world.run(4_000)
        self.assertFalse(held[0].held)
        world.depose()
        world.run(2_000)
        program.send()
        world.run(1_000)
        final = program.sends[-1].final
        assert isinstance(final, messages.Finished)
        self.assertEqual(program.answers[0], final.answer.body)
        world.run(620_000)
        self.assertEqual({}, world.state.programs)


class BusyTreeTest(base.TestCase):
    """Programs that are idle themselves while programs they started are not."""

    def _is_ended_as_idle(self, harness: ShardHarness, at_ms: int) -> bool:
        """Runs the leader's timers at `at_ms`, and applies what it proposes."""
        timers = deadlines.Deadlines(
            harness.shard, waiters.Waiters(), attempts.AttemptTracker(), {}
        )
        for program in harness.shard.programs.values():
            timers.track_program(program, 0, 0)
        for command in timers.process_due(at_ms, at_ms).commands:
            assert isinstance(command, commands.Propose)
            harness.apply(command.record)
        return bool(harness.program().ended)

    def test_program_is_not_idle_while_its_sub_agent_runs(self) -> None:
        """Guards against ending a call that outlasts the idle timeout."""
        harness = ShardHarness()
        harness.begin("1")
        harness.finish("1")
        harness.begin("1", program="p/a", parent="p")
        self.assertFalse(self._is_ended_as_idle(harness, _IDLE_MS + 1))
        harness.now = _IDLE_MS + 1
        harness.finish("1", program="p/a")
        self.assertFalse(self._is_ended_as_idle(harness, _IDLE_MS + 10))
        self.assertTrue(self._is_ended_as_idle(harness, 2 * _IDLE_MS + 10))

    def test_sub_agent_is_not_idle_while_one_that_it_started_calls(
        self,
    ) -> None:
        """Guards against ending a live program together with its parent.

        The parent waits for it, and makes no call of its own meanwhile.
        """
        harness = ShardHarness()
        harness.begin("1")
        harness.finish("1")
        harness.begin("1", program="p/a", parent="p")
        harness.finish("1", program="p/a")
        harness.now = _IDLE_MS // 2
        harness.begin("1", program="p/b", parent="p/a")
        harness.finish("1", program="p/b")
        self._is_ended_as_idle(harness, _IDLE_MS + 1)
        self.assertFalse(harness.program("p/b").ended)

    def test_call_of_a_sub_agent_voids_the_end_of_an_idle_program(self) -> None:
        """Guards against a call that begins while the end is being logged."""
        harness = ShardHarness()
        harness.begin("1")
        harness.finish("1")
        harness.begin("1", program="p/a", parent="p")
        ended = records.ProgramEnded(
            at_ms=9,
            key=ProgramKey(account="a", program="p"),
            reason="idle",
            if_idle=True,
            if_tree_idle=True,
        )
        harness.apply(ended)
        self.assertFalse(harness.program().ended)
