"""A program that was stopped returns, and its next turn is answered 404."""

from __future__ import annotations

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

_EVENTS = 15
# The program returns so long after the end of its last turn. `retain_s` is 60.
_STOPPED_S = 58.5
_NOT_STOPPED_S = 0.4
_RETAIN_S = 60.0
# Pauses between events. The turn that crosses the end of the retention takes
# 3 s, and its route allows 4 s and pauses of 400 ms.
_GAP_S = 0.01
_LONG_GAP_S = 0.2
_TRIES = 3


async def play(record: harness.Record, is_disrupted: bool) -> str:
    """Runs four turns of one program, with a pause before the third."""
    routes = [harness.route("turns", "/turns/", "stream", "models")]
    async with harness.started(record, routes) as deployment:
        server = harness.Server(deployment, record, "models", _answer)
        await server.start()
        try:
            return await _run_program(
                deployment,
                server,
                record,
                _STOPPED_S if is_disrupted else _NOT_STOPPED_S,
            )
        finally:
            await server.stop()


async def _run_program(
    deployment: harness.Deployment,
    server: harness.Server,
    record: harness.Record,
    pause_s: float,
) -> str:
    first, _ = await _turn(deployment, record, "t1", "")
    second, end_s = await _turn(deployment, record, "t2", first)
    record.add("program-stopped", for_s=pause_s)
    await asyncio.sleep(end_s + pause_s - time.monotonic())
    # Within `retain_s` of the second turn's end.
    third, third_end_s = await _turn(deployment, record, "t3", second)
    if _last_body(server) != _prompt([first, second], third):
        return f"UNASKED: {third} ran with another prompt"
    statuses = []
    for number in range(_TRIES):
        attempt = f"t4-{number}"
        outcome = await harness.send_turn(deployment, record, attempt, third)
        age_s = time.monotonic() - third_end_s
        statuses.append(outcome.status)
        if outcome.status in (404, 410) and age_s < _RETAIN_S:
            return (
                f"LOST: {attempt} was answered {outcome.status}, though the"
                f" turn that it names was answered whole {age_s:.1f} s ago"
            )
        if outcome.status == 200 and outcome.is_whole:
            expected = _prompt([first, second, third], attempt)
            is_right = _last_body(server) == expected
            return "" if is_right else f"UNASKED: {attempt}: another prompt"
    raise harness.NotRunError(f"the last turn was answered {statuses}")


async def _turn(
    deployment: harness.Deployment,
    record: harness.Record,
    name: str,
    previous: str,
) -> tuple[str, float]:
    """Runs a turn; returns its id and when its answer ended."""
    for number in range(_TRIES):
        attempt = f"{name}-{number}"
        outcome = await harness.send_turn(deployment, record, attempt, previous)
        if outcome.status == 200 and outcome.is_whole:
            return attempt, outcome.ended_s
        await asyncio.sleep(0.2)
    raise harness.NotRunError(f"turn {name} was not served")


async def _answer(
    received: harness.Received, writer: asyncio.StreamWriter
) -> None:
    gap_s = _LONG_GAP_S if received.attempt.startswith("t3") else _GAP_S
    await harness.answer_stream(received, writer, _EVENTS, gap_s)


def _last_body(server: harness.Server) -> bytes:
    return server.runs[-1].body


def _prompt(previous: list[str], attempt: str) -> bytes:
    parts = [
        f"<{name}>".encode() + harness.event_output(name, _EVENTS)
        for name in previous
    ]
    return b"".join(parts) + f"<{attempt}>".encode()


if __name__ == "__main__":
    harness.run_case(FOLDER, play)
