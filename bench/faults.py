"""Measures the time from a fault to the answer, and memory of programs.

Runs each combination of fault and step in `tests.test_matrix` with more seeds
than the tests do. Time is simulated, so the results depend on the timeouts and
not on the machine.

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
_PROGRAM_COUNTS = (2_500, 5_000, 10_000)
_TURNS_PER_PROGRAM = 20


def _measure_answer_times(fault: str) -> tuple[list[int], int, int, int]:
    """Runs all steps with a fault.

    Returns:
        The sorted times from the fault to the answer in milliseconds, the
        number of runs with problems, of unknown outcomes and of all runs.
    """
    times: list[int] = []
    problems = unknown = run_count = 0
    for step in test_matrix.STEPS:
        for seed in SEEDS:
            run = test_matrix.Run(fault, step, seed)
            run_count += 1
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
    return sorted(times), problems, unknown, run_count


def _apply_program_records(
    shard_state: shard.Shard, index: int, number: int, turns: int
) -> int:
    """Applies the records of a program with several turns to a shard.

    Returns:
        The index of the last record.
    """
    limits = records.ProgramLimits(budget_tokens=10**9)
    server = messages.ServerRef(server="s1", incarnation="i", address="x")
    choice = records.Choice(server=server, entry="e", entry_incarnation="i")
    digests: list[bytes] = []
    for turn in range(turns):
        key = messages.CallKey(
            account="a", program=f"p{number}", request_id=f"p{number}-{turn}"
        )
        texts = [b"ask %d" % turn, b"answer %d" % turn]
        text_digests = [digest.of_bytes(text) for text in texts]
        begin = messages.Begin(
            ask=0,
            key=key,
            kind="model",
            target="m",
            idempotent=True,
            deadline_ms=1_000,
            fingerprint=text_digests[0],
            digests=[*digests, text_digests[0]],
            prompt_tokens=10,
            max_tokens=10,
        )
        digests += text_digests
        index += 1
        shard_state.apply(
            index,
            records.CallBegun(
                at_ms=index, begin=begin, limits=limits, choice=choice
            ),
        )
        attempt = f"{shard_state.name}-{index}"
        index += 1
        answer = messages.Answer(status=200, content_type="", body=b"")
        shard_state.apply(
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


def _measure_memory(programs: int, turns: int) -> tuple[int, int]:
    """Returns the memory of a shard and the size of its snapshot, in bytes."""
    gc.collect()
    tracemalloc.start()
    shard_state = shard.Shard("shard-0")
    index = 0
    for number in range(programs):
        index = _apply_program_records(shard_state, index, number, turns)
    gc.collect()
    memory_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return memory_bytes, len(shard_state.snapshot())


def main() -> None:
    """Prints both tables."""
    print("| fault | answers | p50, ms | p99, ms | unknown | problems |")
    print("| --- | --- | --- | --- | --- | --- |")
    for fault in test_matrix.FAULTS:
        times, problems, unknown, run_count = _measure_answer_times(fault)
        p50 = times[len(times) // 2] if times else 0
        p99 = times[int(len(times) * 0.99)] if times else 0
        print(
            f"| {fault} | {len(times)} | {p50} | {p99} | {unknown}"
            f" | {problems} of {run_count} |"
        )
    print("| programs | turns | bytes | bytes a program | snapshot |")
    print("| --- | --- | --- | --- | --- |")
    for turns in (1, _TURNS_PER_PROGRAM):
        for programs in _PROGRAM_COUNTS:
            memory_bytes, snapshot_bytes = _measure_memory(programs, turns)
            bytes_per_program = memory_bytes // programs
            print(
                f"| {programs} | {turns} | {memory_bytes}"
                f" | {bytes_per_program} | {snapshot_bytes} |"
            )


if __name__ == "__main__":
    main()
