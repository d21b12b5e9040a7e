"""Stateless rules of a shard's state machine."""

from __future__ import annotations

from typing import TYPE_CHECKING

from catkinpin import digest
from catkinpin.core.programs import records, sharding
from catkinpin.verdicts import Reason, Verdict

if TYPE_CHECKING:
    from collections.abc import Iterator

    from catkinpin.core.messages import Begin
    from catkinpin.core.programs.program import Call, Program

# Dispatches of one call. Bounds the retries if every server fails it.
_MAX_ATTEMPTS = 8
_RETRY_AFTER_MS = 1_000


def ancestor_ids(program: str) -> Iterator[str]:
    """Yields the ids of a sub-agent's ancestors, its root's first."""
    parts = program.split(sharding.SUB_AGENT_SEPARATOR)
    for length in range(1, len(parts)):
        yield sharding.SUB_AGENT_SEPARATOR.join(parts[:length])


def limit_reached(root: Program, at_ms: int) -> str:
    """Returns a text on the limit that a tree has reached, empty if none."""
    limits = root.limits
    if root.turns >= limits.max_turns:
        return f"the program has made {limits.max_turns} turns, its limit"
    if at_ms - root.begun_ms >= limits.max_age_ms:
        return f"the program is {limits.max_age_ms} ms old, its limit"
    return ""


def has_never_run(program: Program) -> bool:
    """Returns whether no call of the program can ever have run."""
    return not (
        program.closed
        or program.unknown
        or program.maybe_ran
        or program.members
        or program.servers
        or program.turns
    )


def refusal(
    at_ms: int,
    call: Call,
    reason: Reason,
    text: str,
    retry_after_ms: int = 0,
    verdict: Verdict | None = None,
) -> records.CallRefused:
    """Returns a refusal of a call, by default with the call's verdict."""
    return records.CallRefused(
        at_ms=at_ms,
        key=call.key,
        reason=reason,
        text=text,
        verdict=verdict or call.verdict,
        retry_after_ms=retry_after_ms,
    )


def may_retry(
    program: Program, call: Call, record: records.AttemptFinished
) -> bool:
    """Returns whether a call whose last attempt failed may have another."""
    if program.ended or call.attempts >= _MAX_ATTEMPTS:
        return False
    if record.at_ms >= call.deadline_wall_ms:
        return False
    # A non-idempotent request that may have run is never retried: a second
    # dispatch could charge a customer twice.
    return call.begin.idempotent or record.verdict is Verdict.NOT_RUN


def failure_refusal(
    program: Program, call: Call, record: records.AttemptFinished
) -> records.CallRefused:
    """Returns the refusal of a call whose last attempt failed."""
    reason = record.reason or Reason.SERVER_FAILED
    text = record.text
    verdict = record.verdict
    if verdict is Verdict.NOT_RUN:
        # An earlier attempt may have run even if this one did not.
        verdict = call.verdict
        if program.ended:
            reason = Reason.PROGRAM_ENDED
            text = f"the program has ended: {program.end_reason}"
    retry_after_ms = 0
    if not program.ended and (
        verdict is Verdict.NOT_RUN or call.begin.idempotent
    ):
        retry_after_ms = _RETRY_AFTER_MS
    return refusal(record.at_ms, call, reason, text, retry_after_ms, verdict)


def answer_matches_request(
    begin: Begin, skip: int, record: records.AttemptFinished
) -> bool:
    """Returns whether a record has the request's messages and an answer.

    If an entry confused two calls, one program's messages would get into the
    other's history. To detect that, the messages are compared with the digests
    in the call's `Begin` message.
    """
    if begin.kind != "model":
        return not record.messages
    expected = begin.digests[skip:]
    if len(record.messages) != len(expected) + 1:
        return False
    return all(
        digest.of_bytes(message) == item
        for message, item in zip(record.messages, expected, strict=False)
    )
