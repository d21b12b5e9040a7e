"""How the cost of a decision and of its state grows; for docs/CAPACITY.md.

Runs in one process and for some seconds only. Each line has three points at
least, so that a bend would show.
"""

from __future__ import annotations

import random
import time
import tracemalloc

from catkinpin import codec
from catkinpin.core import messages
from catkinpin.core.placement import candidates, jobs, scheduler, servers
from catkinpin.core.programs import explanations

_DECISIONS = 2_000
_TARGETS = 4
_CONTEXT = 20_000
_REPEATS = 3
_PROGRAMS = (1_000, 4_000, 16_000)
_SERVERS = (80, 325, 1_300)


def _report(number: int, held: list[str]) -> messages.ServerReport:
    target = f"model-{number % _TARGETS}"
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


def _view(count: int) -> servers.ServerView:
    view = servers.ServerView()
    for number in range(count):
        view.apply_report(_report(number, []), 0)
    return view


def _scheduler(view: servers.ServerView) -> scheduler.Scheduler:
    prices = candidates.CostModel()
    return scheduler.Scheduler(
        view,
        candidates.by_cost(prices, observe=explanations.RecentDecisions().add),
        scheduler.QueueOptions(),
        candidates.home_is_cheapest(prices),
    )


def _job(number: int, turn: int) -> jobs.Job:
    history = _CONTEXT if turn else 0
    return jobs.Job(
        key=messages.CallKey(
            account=f"account-{number % 39_000}",
            program=f"program-{number}",
            request_id=f"{number}-{turn}",
        ),
        kind="model",
        target=f"model-{number % _TARGETS}",
        prompt_tokens=_CONTEXT + 500,
        history_tokens=history,
        turns=turn,
        region=f"region-{number % 3}",
    )


def costs(count: int) -> tuple[float, float]:
    """Returns microseconds of a new program's call, and of a later one.

    Both with the note of the call's end.
    """
    best_new = best_later = float("inf")
    for _ in range(_REPEATS):
        jobs = _scheduler(_view(count))
        best_new = min(best_new, _timed(jobs, 0))
        best_later = min(best_later, _timed(jobs, 1))
    return best_new, best_later


def _timed(jobs: scheduler.Scheduler, turn: int) -> float:
    begin = time.perf_counter()
    for number in range(_DECISIONS):
        job = _job(number, turn)
        jobs.submit(job, number // 100)
        jobs.end_call(job.key, number // 100)
    return (time.perf_counter() - begin) / _DECISIONS * 1e6


def memory(programs: int) -> float:
    """Returns bytes of the scheduler's state for each program."""
    jobs = _scheduler(_view(325))
    tracemalloc.start()
    for number in range(programs):
        job = _job(number, 0)
        jobs.submit(job, 0)
        jobs.end_call(job.key, 0)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size / programs


def reports(held: int) -> tuple[int, float]:
    """Returns bytes of a report on the wire, and microseconds to take it."""
    view = _view(1)
    names = [f"account-{n}/program-{n}" for n in range(held)]
    for number in range(held):
        account, _, program = names[number].partition("/")
        key = messages.ProgramKey(account=account, program=program)
        view.servers["server-0"].residents.start_call(key, 100, 0)
        view.servers["server-0"].residents.end_call(key, 100, 0)
    size = len(codec.encode(_report(0, names)))
    random.Random(0).shuffle(names)
    best = float("inf")
    for turn in range(1, 1 + _REPEATS):
        begin = time.perf_counter()
        view.apply_report(_report(0, names), turn)
        best = min(best, time.perf_counter() - begin)
    return size, best * 1e6


def main() -> None:
    """Prints the figures."""
    print("| servers | new program, us | later call, us |")
    for count in _SERVERS:
        new, later = costs(count)
        print(f"| {count} | {new:.0f} | {later:.0f} |")
    print("| programs | bytes a program |")
    for programs in _PROGRAMS:
        print(f"| {programs} | {memory(programs):.0f} |")
    print("| held programs | bytes of a report | us to take it |")
    for held in (0, 100, 500, 2_000):
        size, cost = reports(held)
        print(f"| {held} | {size} | {cost:.0f} |")


if __name__ == "__main__":
    main()
