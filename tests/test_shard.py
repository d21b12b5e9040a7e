"""Promises of a shard that the fault matrix does not reach."""

from __future__ import annotations

from typing import Any

import msgspec

from catkinpin import codec, configuration, digest
from catkinpin.core import messages
from catkinpin.core.messages import CallKey, ProgramKey
from catkinpin.core.programs import budgets, records, shard
from catkinpin.core.programs.program import CallState
from catkinpin.exceptions import SnapshotVersionError
from catkinpin.verdicts import Reason, Verdict
from tests import base
from tests.fakes import world as worlds
from tests.fakes import worldfacts
from tests.fakes.worldprogram import Program

_SERVER = messages.ServerRef(server="s", incarnation="s.0", address="")
_CHOICE = records.Choice(server=_SERVER, entry="e", entry_incarnation="e.0")
_LIMITS = records.ProgramLimits(budget_tokens=100, max_turns=3, retain_ms=50)


class Bench:
    """A shard with its log, driven by hand."""

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
    """A tree of programs never spends beyond its budget."""

    def test_unknown_outcomes_keep_their_reserve(self) -> None:
        """A server dies with a call aboard, and nobody knows what it used.

        The user gets shorter answers, or a refusal, rather than a bill beyond
        the budget.
        """
        bench = Bench()
        bench.begin("1")
        self.assertEqual(60, bench.program().reserved)
        bench.finish("1", verdict=Verdict.MAY_HAVE_RUN)
        bench.apply(
            records.AttemptStarted(
                at_ms=1,
                key=CallKey(account="a", program="p", request_id="1"),
                choice=_CHOICE,
            )
        )
        self.assertEqual(30, bench.attempt("1").max_tokens)
        self.assertEqual(100, bench.program().reserved)
        late = next(iter(bench.program().unknown))
        bench.finish("1", attempt=late, used=5)
        self.assertEqual(5, bench.program().spent)
        self.assertEqual(40, bench.program().reserved)

    def test_engine_that_overcounts_ends_the_budget(self) -> None:
        """An engine ignores the bound on its output and says so afterwards.

        The program's later calls are refused; the surplus is shown apart.
        """
        bench = Bench()
        bench.begin("1")
        bench.finish("1", used=130)
        program = bench.program()
        self.assertEqual((100, 30), (program.spent, program.overcounted))
        refused = bench.begin("2", texts=(b"ask", b"answer", b"more"))[0]
        self.assertEqual(Reason.BUDGET_EXHAUSTED, refused.refusal.reason)
        self.assertEqual(Verdict.NOT_RUN, refused.refusal.verdict)

    def test_stored_history_counts_where_only_new_messages_are_sent(
        self,
    ) -> None:
        """A caller sends only its new messages, and the history goes before.

        The engine bills the whole prompt. The reserve must cover what we add,
        or a long session with a small budget is billed beyond it.
        """
        bench = Bench()
        bench.begin("1")
        bench.finish("1", texts=(b"ask", b"answer"), used=1)
        bench.begin("2", texts=(b"more",), whole=False)
        stored = (
            len(b"ask") + len(b"answer") + 2 * budgets.MESSAGE_OVERHEAD_TOKENS
        )
        self.assertEqual(99 - 10 - stored, bench.attempt("2").max_tokens)
        self.assertEqual(99, bench.program().reserved)
        bench.finish("2", texts=(b"more", b"a" * 40), used=1)
        refused = bench.begin("3", texts=(b"last",), whole=False)[0]
        self.assertEqual(Reason.BUDGET_EXHAUSTED, refused.refusal.reason)

    def test_sub_agents_share_the_root_and_end_with_it(self) -> None:
        """A sub-agent loops on while its root has ended.

        Its calls are refused, and the engine memory of both is released.
        """
        bench = Bench()
        bench.begin("1")
        bench.begin("1", program="p/sub", parent="p")
        self.assertEqual(30, bench.attempt("1", "p/sub").max_tokens)
        self.assertEqual(100, bench.program().reserved)
        bench.finish("1")
        key = ProgramKey(account="a", program="p")
        bench.apply(records.ProgramEnded(at_ms=9, key=key, reason="over"))
        self.assertEqual(["a/p"], self._orders(bench))
        bench.finish("1", program="p/sub")
        self.assertEqual(["a/p", "a/p/sub"], self._orders(bench))
        rejected = bench.begin("2", program="p/other")[0]
        self.assertEqual(Reason.PROGRAM_ENDED, rejected.reason)
        self.assertEqual(40, bench.program().spent)

    def _orders(self, bench: Bench) -> list[str]:
        return [order.program for order in bench.shard.outbox.pending("s")]

    def test_loop_without_end_is_stopped(self) -> None:
        """A program calls on and on.

        At its limit of turns it is ended, and the caller reads why.
        """
        bench = Bench()
        texts: tuple[bytes, ...] = ()
        for number in range(3):
            ask = b"ask %d" % number
            bench.begin(str(number), texts=(*texts, ask), kind="model")
            bench.finish(str(number), texts=(ask, b"yes"), used=1)
            texts = (*texts, ask, b"yes")
        refused = bench.begin("3", texts=(*texts, b"ask"))[0]
        self.assertEqual(Reason.LIMIT_REACHED, refused.refusal.reason)
        self.assertIn("3 turns", refused.refusal.text)
        self.assertTrue(bench.program().ended)


class PlaceTest(base.TestCase):
    """A place in a program is taken only by what can't be undone."""

    def test_refused_call_can_be_resent_in_its_place(self) -> None:
        """No server has room, and the caller sends the same request again.

        It runs in the same place as if nothing had happened.
        """
        bench = Bench()
        bench.begin("1", seq=1)
        bench.finish("1", verdict=Verdict.NOT_RUN, reason=Reason.NO_SERVER)
        key = CallKey(account="a", program="p", request_id="1")
        refusal = records.CallRefused(
            at_ms=1,
            key=key,
            reason=Reason.NO_SERVER,
            text="",
            verdict=Verdict.NOT_RUN,
            retry_after_ms=5,
        )
        self.assertEqual(refusal, bench.apply(refusal)[0].refusal)
        bench.begin("1", seq=1)
        bench.finish("1")
        self.assertEqual(2, bench.program().next_seq)

    def test_given_up_call_is_never_said_not_to_have_run(self) -> None:
        """An idempotent call may have run, is given up on, and sent again.

        The resend is refused for another reason; that refusal must not say
        that the request did not run.
        """
        bench = Bench()
        bench.begin("1")
        bench.now = 2_000
        down = bench.finish("1", verdict=Verdict.MAY_HAVE_RUN)[0]
        self.assertEqual(Verdict.MAY_HAVE_RUN, down.refusal.verdict)
        key = CallKey(account="a", program="p", request_id="1")
        verdict = bench.shard.verdict_of(key)
        self.assertEqual(Verdict.MAY_HAVE_RUN, verdict)

    def test_late_answer_replaces_an_unknown_outcome(self) -> None:
        """An entry is cut off for long, and reports its outcome at last.

        The caller was told that the payment may have run. Its resend now gets
        the answer; nothing runs again.
        """
        bench = Bench()
        service: dict[str, Any] = {"kind": "service", "idempotent": False}
        bench.begin("1", texts=(), **service)
        attempt = bench.attempt("1").attempt
        bench.finish("1", verdict=Verdict.MAY_HAVE_RUN)
        effects = bench.apply(
            records.AttemptFinished(
                at_ms=9,
                key=CallKey(account="a", program="p", request_id="1"),
                attempt=attempt,
                verdict=Verdict.RAN,
                answer=messages.Answer(status=200, content_type="", body=b""),
            )
        )
        self.assertEqual(bench.index, effects[0].call.record_index)
        self.assertEqual([], bench.begin("1", texts=(), **service))


class HistoryTest(base.TestCase):
    """Histories are neither lost nor mixed."""

    def test_messages_of_another_call_are_refused(self) -> None:
        """An entry mixes up two calls and reports the other's messages.

        The user gets an error instead of another program's history.
        """
        bench = Bench()
        bench.begin("1")
        down = bench.finish("1", texts=(b"other", b"answer"))[0]
        self.assertEqual(Reason.INTERNAL, down.refusal.reason)
        self.assertEqual(0, len(bench.program().history))

    def test_snapshot_restores_all_but_texts(self) -> None:
        """A replica falls behind and gets a snapshot in place of records.

        It goes on exactly where the others stand.
        """
        bench = Bench()
        bench.begin("1")
        bench.finish("1")
        bench.begin("2", texts=(b"ask", b"answer", b"more"))
        bench.begin("1", program="p/sub", parent="p")
        bench.finish("1", program="p/sub", verdict=Verdict.MAY_HAVE_RUN)
        copy = shard.Shard("shard-0")
        data = bench.shard.snapshot()
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
        bench = Bench()
        bench.begin("1", once=True)
        bench.finish("1")
        self.assertTrue(bench.program().ended)
        self.assertEqual([], bench.begin("1", once=True))
        key = ProgramKey(account="a", program="p")
        bench.apply(records.ProgramsForgotten(at_ms=99, keys=[key]))
        self.assertEqual({}, bench.shard.programs)


class IdleTest(base.TestCase):
    """Programs whose caller went away don't stay."""

    def test_idle_program_is_ended_released_and_forgotten(self) -> None:
        """A caller dies between two turns and never ends its program.

        After the idle timeout its engine memory is free for others; a resend
        of its last call still gets the answer, until that is forgotten too.
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


class QuarantineTest(base.TestCase):
    """At most two servers are lost to one request."""

    def test_request_that_crashes_servers(self) -> None:
        """A request crashes every server that runs it; its caller insists.

        It comes again under other ids and programs, while other callers work
        on the same servers. Those notice a short delay; the request is
        refused after its second crash.
        """
        for seed in range(4):
            for restarts in (True, False):
                for gap_ms in (0, 40, 700):
                    self._insist(seed, gap_ms, restarts=restarts)

    def _insist(self, seed: int, gap_ms: int, *, restarts: bool) -> None:
        world = worlds.World(seed, server_count=5)
        world.run(500)
        for server in world.servers.values():
            server.poison = {digest.of_bytes(b"poison")}
            server.restarts = restarts
        innocents = [Program(world, f"i{i}", "mmmm") for i in range(6)]
        sent = []
        for number in range(8):
            sent.append(self._poison(world, number))
            world.run(gap_ms)
        world.run(30_000)
        crashes = sum(server.crashes for server in world.servers.values())
        self.assertLessEqual(crashes, 2, (seed, gap_ms, restarts))
        for one in sent:
            self.assertIsInstance(one.final, messages.Refused)
        last = sent[-1].final
        assert isinstance(last, messages.Refused)
        self.assertEqual(Reason.QUARANTINED, last.reason)
        for program in innocents:
            self.assertTrue(program.ended, program.answers)

    def _poison(self, world: worlds.World, number: int) -> worldfacts.Sent:
        key = CallKey(
            account="a", program=f"x{number}", request_id=f"x{number}-1"
        )
        texts = [b"poison"]
        begin = messages.Begin(
            ask=0,
            key=key,
            kind="model",
            target="model",
            idempotent=True,
            deadline_ms=worldfacts.DEADLINE_MS,
            fingerprint=digest.of_bytes(b"poison"),
            digests=[digest.of_bytes(b"poison")],
            prompt_tokens=worldfacts.TOKENS,
            max_tokens=worldfacts.TOKENS,
        )
        sent = worldfacts.Sent(key, world.now, f"e{number % 3}")
        world.entries[sent.entry].start(begin, sent, texts)
        return sent
