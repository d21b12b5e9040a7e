"""Time from a fault to the caller's answer, and memory of programs.

The cells of the fault matrix on more seeds than the tests run; time is that
of the stepped clock, so that the figures depend on the timeouts and not on the
machine.

    python -m bench.faults
"""

from __future__ import annotations

import gc
import tracemalloc

from catkinpin import digest
from catkinpin.core import messages
from catkinpin.core.programs import records, shard
from catkinpin.verdicts import Verdict
from tests import test_matrix

SEEDS = range(21, 41)
_SIZES = (2_500, 5_000, 10_000)
_TURNS = 20


def _answer_times(fault: str) -> tuple[list[int], int, int, int]:
    """Returns times to the answer, problems, unknown outcomes and cells."""
    times: list[int] = []
    problems = unknown = cells = 0
    for step in test_matrix.STEPS:
        for seed in SEEDS:
            run = test_matrix.Run(fault, step, seed)
            cells += 1
            problems += bool(run.problems())
            unknown += sum(p.answers.count(None) for p in run.programs)
            at = run.fault_at
            if not at:
                continue
            times += [
                sent.done_at - at
                for sent in run.world.sent
                if sent.at <= at < sent.done_at and sent.final is not None
            ]
    return sorted(times), problems, unknown, cells


def _program(state: shard.Shard, index: int, number: int, turns: int) -> int:
    """Makes a program with a history; returns the last log index."""
    limits = records.ProgramLimits(budget_tokens=10**9)
    server = messages.ServerRef(server="s1", incarnation="i", address="x")
    choice = records.Choice(server=server, entry="e", entry_incarnation="i")
    digests: list[bytes] = []
    for turn in range(turns):
        key = messages.CallKey(
            account="a", program=f"p{number}", request_id=f"p{number}-{turn}"
        )
        texts = [b"ask %d" % turn, b"answer %d" % turn]
        found = [digest.of_bytes(text) for text in texts]
        begin = messages.Begin(
            ask=0,
            key=key,
            kind="model",
            target="m",
            idempotent=True,
            deadline_ms=1_000,
            fingerprint=found[0],
            digests=[*digests, found[0]],
            prompt_tokens=10,
            max_tokens=10,
        )
        digests += found
        index += 1
        state.apply(
            index,
            records.CallBegun(
                at_ms=index, begin=begin, limits=limits, choice=choice
            ),
        )
        attempt = f"{state.name}-{index}"
        index += 1
        answer = messages.Answer(status=200, content_type="", body=b"")
        state.apply(
            index,
            records.AttemptFinished(
                at_ms=index,
                key=key,
                attempt=attempt,
                verdict=Verdict.RAN,
                answer=answer,
                messages=texts,
            ),
        )
    return index


def _memory(programs: int, turns: int) -> tuple[int, int]:
    """Returns bytes held and bytes of a snapshot."""
    gc.collect()
    tracemalloc.start()
    state = shard.Shard("shard-0")
    index = 0
    for number in range(programs):
        index = _program(state, index, number, turns)
    gc.collect()
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return held, len(state.snapshot())


def main() -> None:
    """Prints both tables."""
    print("| fault | answers | p50, ms | p99, ms | unknown | problems |")
    print("| --- | --- | --- | --- | --- | --- |")
    for fault in test_matrix.FAULTS:
        times, problems, unknown, cells = _answer_times(fault)
        p50 = times[len(times) // 2] if times else 0
        p99 = times[int(len(times) * 0.99)] if times else 0
        print(
            f"| {fault} | {len(times)} | {p50} | {p99} | {unknown}"
            f" | {problems} of {cells} |"
        )
    print("| programs | turns | bytes | bytes a program | snapshot |")
    print("| --- | --- | --- | --- | --- |")
    for turns in (1, _TURNS):
        for programs in _SIZES:
            held, size = _memory(programs, turns)
            each = held // programs
            print(f"| {programs} | {turns} | {held} | {each} | {size} |")


if __name__ == "__main__":
    main()
