"""Measures how the cost and the state of decisions grow; for docs/CAPACITY.md.

Runs in one process for a few seconds. Each table has at least three points, so
that non-linear growth is visible.
"""

from __future__ import annotations

import random
import time
import tracemalloc

from catkinpin import codec
from catkinpin.core import messages
from catkinpin.core.placement import candidates, jobs, scheduler, servers
from catkinpin.core.programs import explanations

_DECISION_COUNT = 2_000
_TARGET_COUNT = 4
_CONTEXT_TOKENS = 20_000
_REPEAT_COUNT = 3
_PROGRAM_COUNTS = (1_000, 4_000, 16_000)
_SERVER_COUNTS = (80, 325, 1_300)


def _make_report(number: int, held: list[str]) -> messages.ServerReport:
    target = f"model-{number % _TARGET_COUNT}"
    return messages.ServerReport(
        server=f"server-{number}",
        incarnation="1",
        address=f"http://10.0.0.{number % 250}:8000",
        kind="model",
        serves=[target],
        domain=f"domain-{number % 8}",
        region=f"region-{number % 3}",
        capacity=122,
        cache_tokens=50_000_000,
        running=10,
        held=held,
    )


def _make_view(count: int) -> servers.ServerView:
    view = servers.ServerView()
    for number in range(count):
        view.apply_report(_make_report(number, []), 0)
    return view


def _make_scheduler(view: servers.ServerView) -> scheduler.Scheduler:
    cost_model = candidates.CostModel()
    return scheduler.Scheduler(
        view,
        candidates.by_cost(
            cost_model, observe=explanations.RecentDecisions().add
        ),
        scheduler.QueueOptions(),
        candidates.home_is_cheapest(cost_model),
    )


def _make_job(number: int, turn: int) -> jobs.Job:
    history = _CONTEXT_TOKENS if turn else 0
    return jobs.Job(
        key=messages.CallKey(
            account=f"account-{number % 39_000}",
            program=f"program-{number}",
            request_id=f"{number}-{turn}",
        ),
        kind="model",
        target=f"model-{number % _TARGET_COUNT}",
        prompt_tokens=_CONTEXT_TOKENS + 500,
        history_tokens=history,
        turns=turn,
        region=f"region-{number % 3}",
    )


def measure_decision_us(count: int) -> tuple[float, float]:
    """Measures the scheduler's time for a call, including its end.

    Returns:
        Microseconds for the first call of a program and for a later one.
    """
    best_new_us = best_later_us = float("inf")
    for _ in range(_REPEAT_COUNT):
        jobs = _make_scheduler(_make_view(count))
        best_new_us = min(best_new_us, _time_calls_us(jobs, 0))
        best_later_us = min(best_later_us, _time_calls_us(jobs, 1))
    return best_new_us, best_later_us


def _time_calls_us(jobs: scheduler.Scheduler, turn: int) -> float:
    start_s = time.perf_counter()
    for number in range(_DECISION_COUNT):
        job = _make_job(number, turn)
        jobs.submit(job, number // 100)
        jobs.end_call(job.key, number // 100)
    return (time.perf_counter() - start_s) / _DECISION_COUNT * 1e6


def measure_program_bytes(programs: int) -> float:
    """Returns the size of the scheduler's state per program, in bytes."""
    jobs = _make_scheduler(_make_view(325))
    tracemalloc.start()
    for number in range(programs):
        job = _make_job(number, 0)
        jobs.submit(job, 0)
        jobs.end_call(job.key, 0)
    size_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size_bytes / programs


def measure_report(held: int) -> tuple[int, float]:
    """Measures a report that names `held` programs.

    Returns:
        Its encoded size in bytes and the microseconds to apply it.
    """
    view = _make_view(1)
    program_names = [f"account-{n}/program-{n}" for n in range(held)]
    for number in range(held):
        account, _, program = program_names[number].partition("/")
        key = messages.ProgramKey(account=account, program=program)
        view.servers["server-0"].residents.start_call(key, 100, 0)
        view.servers["server-0"].residents.end_call(key, 100, 0)
    size_bytes = len(codec.encode(_make_report(0, program_names)))
    random.Random(0).shuffle(program_names)
    best_s = float("inf")
    for turn in range(1, 1 + _REPEAT_COUNT):
        start_s = time.perf_counter()
        view.apply_report(_make_report(0, program_names), turn)
        best_s = min(best_s, time.perf_counter() - start_s)
    return size_bytes, best_s * 1e6


def main() -> None:
    """Prints all tables."""
    print("| servers | new program, us | later call, us |")
    for count in _SERVER_COUNTS:
        new_us, later_us = measure_decision_us(count)
        print(f"| {count} | {new_us:.0f} | {later_us:.0f} |")
    print("| programs | bytes a program |")
    for programs in _PROGRAM_COUNTS:
        print(f"| {programs} | {measure_program_bytes(programs):.0f} |")
    print("| held programs | bytes of a report | us to take it |")
    for held in (0, 100, 500, 2_000):
        size_bytes, apply_us = measure_report(held)
        print(f"| {held} | {size_bytes} | {apply_us:.0f} |")


if __name__ == "__main__":
    main()
