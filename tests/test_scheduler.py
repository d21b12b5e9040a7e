"""Tests queueing, priorities and placement under load and server failures."""

from __future__ import annotations

import dataclasses
from typing import Any

import msgspec

from bench import variants, workloads, world
from catkinpin.core import messages
from catkinpin.core.placement import candidates, jobs, scheduler, servers
from catkinpin.verdicts import Reason
from tests import base
from tests.test_operators import command

_CACHE = 10_000
_LONG_MS = 3_600_000


def _report(name: str, **fields: object) -> messages.ServerReport:
    report = messages.ServerReport(
        server=name,
        incarnation="1",
        address=f"http://{name}",
        kind="model",
        serves=["berater"],
        domain="zh-a",
        region="ch-nord",
        capacity=4,
        cache_tokens=_CACHE,
    )
    return msgspec.structs.replace(report, **fields)


def _job(program: str, tokens: int = 100, **fields: object) -> jobs.Job:
    turn = fields.get("turns", 0)
    key = messages.CallKey(
        account="ruegg", program=program, request_id=f"{program}-{turn}"
    )
    job = jobs.Job(key, "model", "berater", prompt_tokens=tokens)
    return dataclasses.replace(job, **fields)  # type: ignore[arg-type]


def _places(decisions: list[jobs.Decision]) -> dict[str, str]:
    return {
        one.key.program: one.server.report.server
        for one in decisions
        if isinstance(one, jobs.Place)
    }


class SchedulerTest(base.TestCase):
    """The scheduler on a view to which the test applies reports."""

    def setUp(self) -> None:
        super().setUp()
        self.view = servers.ServerView()
        self.report("a")
        self.jobs = self.scheduler()

    def scheduler(self, **plan: Any) -> scheduler.Scheduler:
        prices = candidates.CostModel()
        return scheduler.Scheduler(
            self.view,
            candidates.by_cost(prices),
            scheduler.QueueOptions(**plan),
            candidates.home_is_cheapest(prices),
        )

    def report(self, name: str, at_ms: int = 0, **fields: object) -> None:
        self.view.apply_report(_report(name, **fields), at_ms)

    def test_full_queue_refuses_at_once(self) -> None:
        """Guards against calls that wait without bound.

        More calls arrive than the servers and the queue can take. Those beyond
        the limit are rejected immediately.
        """
        calls = self.scheduler(max_waiting=2)
        placed = [calls.submit(_job(f"p{n}"), 0) for n in range(4)]
        self.assertEqual(4, sum(len(_places(one)) for one in placed))
        self.assertEqual([], calls.submit(_job("p4"), 0))
        self.assertEqual([], calls.submit(_job("p5"), 0))
        (refused,) = calls.submit(_job("p6"), 0)
        assert isinstance(refused, jobs.Reject)
        self.assertEqual(Reason.OVERLOADED, refused.reason)
        self.assertGreater(refused.retry_after_ms, 0)

    def test_wait_ends_at_the_deadline(self) -> None:
        """Guards against calls that stay queued after their deadline.

        No server becomes free. The call is rejected at its deadline, so that
        its caller gets an answer.
        """
        for number in range(4):
            self.jobs.submit(_job(f"p{number}"), 0)
        self.assertEqual([], self.jobs.submit(_job("q", deadline_ms=900), 0))
        self.assertEqual([], self.jobs.tick(800))
        (refused,) = self.jobs.tick(900)
        assert isinstance(refused, jobs.Reject)
        self.assertEqual(Reason.DEADLINE, refused.reason)

    def test_contexts_of_active_programs_fit_in_the_cache(self) -> None:
        """Guards against programs that evict one another's context.

        A program with a long history arrives while an engine's memory is full.
        If it were admitted, every turn would become slow; it waits until
        another program ends.
        """
        for number in range(2):
            job = _job(f"p{number}", 4_000)
            self.assertIn(job.key.program, _places(self.jobs.submit(job, 0)))
            self.jobs.end_call(job.key, 1)
        new = _job("new", 4_000)
        self.assertEqual([], self.jobs.submit(new, 2))
        later = _job("p0", 4_200, turns=1, history_tokens=4_000)
        self.assertEqual({"p0": "a"}, _places(self.jobs.submit(later, 3)))
        self.jobs.end_program(_job("p1").key.program_key)
        self.assertEqual({"new": "a"}, _places(self.jobs.tick(4)))

    def test_programs_that_never_end_leave_no_engine_idle(self) -> None:
        """Guards against memory reserved for programs that never end.

        Callers stop without ending their programs. Their reservations would
        keep other programs waiting for half a minute beside an idle engine; a
        new program gets the memory after a short pause.
        """
        for number in range(2):
            job = _job(f"p{number}", 4_000)
            self.jobs.submit(job, 0)
            self.jobs.end_call(job.key, 1)
        self.assertEqual([], self.jobs.submit(_job("new", 4_000), 2))
        self.report("a", 1_500)
        self.assertEqual([], self.jobs.tick(1_900))
        self.report("a", 2_100)
        self.assertEqual({"new": "a"}, _places(self.jobs.tick(2_100)))

    def test_large_program_is_not_starved_by_small_ones(self) -> None:
        """Guards against a large program that waits for ever.

        Small programs keep arriving and take any memory that becomes free.
        Once the large program is starved, no other gets memory before it.
        """
        calls = self.scheduler(starved_after_ms=1_000)
        for number in range(3):
            calls.submit(_job(f"p{number}", 2_900), 0)
        self.assertEqual([], calls.submit(_job("large", 5_000), 0))
        calls.tick(1_000)
        self.assertEqual([], calls.submit(_job("small", 100), 1_001))
        placed = {}
        for number in range(3):
            job = _job(f"p{number}")
            placed.update(_places(calls.end_call(job.key, 1_100)))
            calls.end_program(job.key.program_key)
            placed.update(_places(calls.tick(1_100 + number)))
        self.assertEqual(["large", "small"], list(placed))

    def test_call_of_one_deployment_does_not_hold_up_others(self) -> None:
        """Guards against a deployment that blocks the queue of another.

        One deployment may only use a server that is full. Programs of another
        deployment that may use an idle server must not wait behind it.
        """
        self.jobs.submit(_job("p0", 8_000), 0)
        drained = _job(
            "drained",
            5_000,
            deployment="one",
            is_allowed=lambda report: report.server == "a",
        )
        other = _job("other", 6_000, deployment="two")
        self.assertEqual([], self.jobs.submit(drained, 0))
        self.assertEqual([], self.jobs.submit(other, 0))
        self.report("b", 1)
        self.assertEqual({"other": "b"}, _places(self.jobs.tick(1)))

    def test_false_reports_neither_block_nor_overload(self) -> None:
        """Guards against engines with a broken load counter.

        With a counter that is far too high, the server would stay idle while
        callers wait; with one that is always zero, it would get more calls
        than it can run.
        """
        self.report("a", 1, running=10_000, waiting=10_000)
        self.assertEqual({"p0": "a"}, _places(self.jobs.submit(_job("p0"), 1)))
        placed = {}
        for number in range(1, 9):
            self.report("a", 2 + number, running=0)
            placed.update(_places(self.jobs.submit(_job(f"p{number}"), 10)))
        self.assertEqual(3, len(placed))

    def test_programs_of_a_silent_server_go_on_elsewhere(self) -> None:
        """Guards against programs that depend on a lost server.

        A server crashes between the turns of its programs. Their next calls
        spread over the remaining servers.
        """
        for number in range(4):
            job = _job(f"p{number}", 2_000)
            self.jobs.submit(job, 0)
            self.jobs.end_call(job.key, 1)
        for name in "bc":
            self.report(name, 5_000)
        found: list[str] = []
        for number in range(4):
            job = _job(f"p{number}", 2_100, turns=1, history_tokens=2_000)
            found += _places(self.jobs.submit(job, 5_001)).values()
        self.assertEqual(["b", "b", "c", "c"], sorted(found))

    def test_leader_that_steps_down_releases_its_counts(self) -> None:
        """Guards against counts of a former leader that never end.

        The leadership of a shard moves while calls run. The other shards of
        the process share the view, so the former leader's counts would block
        the servers for them.
        """
        for number in range(4):
            self.jobs.submit(_job(f"p{number}", 2_000), 0)
        other = self.scheduler()
        self.assertEqual([], other.submit(_job("q", 2_000), 1))
        self.jobs.release_all()
        self.assertEqual({"q": "a"}, _places(other.tick(2)))

    def test_prefix_counts_as_lost_after_two_reports(self) -> None:
        """Guards against evictions assumed from one incomplete report.

        A single report without a prefix is no proof of its eviction. After the
        second in a row, the program may move to a server with less load.
        """
        job = _job("p0", 4_000)
        self.jobs.submit(job, 0)
        self.jobs.end_call(job.key, 1)
        key = job.key.program_key
        residents = self.view.servers["a"].residents
        self.report("a", 10, held=[])
        self.assertEqual(4_000, residents.cached_tokens(key))
        self.report("a", 20, held=["ruegg/p0"])
        self.report("a", 30, held=[])
        self.assertEqual(4_000, residents.cached_tokens(key))
        self.report("a", 40, held=[])
        self.assertEqual(0, residents.cached_tokens(key))

    def test_sub_agents_go_where_their_parents_prefix_is(self) -> None:
        """Guards against sub-agents placed away from their parent.

        A session starts sub-agents that share its history. On another server,
        each of them would prefill that history again.
        """
        parent = _job("p0", 4_000)
        self.jobs.submit(parent, 0)
        self.report("b", 0)
        child = _job("p0/x", 4_100, parent="p0", shared_tokens=4_000)
        self.assertEqual({"p0/x": "a"}, _places(self.jobs.submit(child, 1)))

    def test_bound_of_a_prompt_is_not_used_as_its_size(self) -> None:
        """Guards against using the upper bound of a prompt as its size.

        Requests carry an upper bound in bytes, and engines count a quarter of
        it as tokens. By the bound, two sessions would fill a cache that holds
        eight, and callers would wait beside an idle engine.
        """
        for number in range(200):
            job = _job(f"short{number}", 400)
            self.jobs.submit(job, 0)
            usage = messages.Usage(prompt_tokens=100)
            self.jobs.end_call(job.key, 1, usage)
            self.jobs.end_program(job.key.program_key)
        for number in range(4):
            job = _job(f"p{number}", 8_000)
            self.assertIn(job.key.program, _places(self.jobs.submit(job, 2)))


class ExplainTest(base.TestCase):
    """The command `catkinpin explain` with real processes."""

    def test_explain_shows_candidates_and_choice(self) -> None:
        self.run_async(self._explain())

    async def _explain(self) -> None:
        cluster = await base.small(self.folder)
        async with cluster:
            headers = {"Catkinpin-Program": "p0", "Idempotency-Key": "r1"}
            reply = await cluster.chat(
                "entry-1", "berater", [base.user("hello")], headers=headers
            )
            self.assertEqual(200, reply.status)
            entry = cluster.entries[0]
            found = await command(entry, "explain", "ruegg/p0/r1", "--json")
            self.assertEqual("engine-1", found["chosen"])
            (candidate,) = found["candidates"]
            self.assertTrue(candidate["fits"])
            await command(entry, "explain", "ruegg/p0/none", code=1)


class BenchTest(base.TestCase):
    """A short run of the benchmark."""

    def test_run_is_the_same_for_a_seed(self) -> None:
        workload = workloads.kunci()
        per_ms = workloads.capacity(workload)
        plan = world.RunPlan(
            workload, per_ms, 0.8, 7, arrivals_ms=10_000, lost="server"
        )
        make = variants.VARIANTS[variants.POLICY]
        first = world.World(plan, make).run()
        again = world.World(plan, make).run()
        self.assertEqual(first, again)
        self.assertEqual(0, first.unfinished)
        self.assertGreater(len(first.latencies), 10)
