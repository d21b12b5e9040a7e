"""Rules of a shard's state machine that need no state of their own."""

from __future__ import annotations

from typing import TYPE_CHECKING

from catkinpin import digest
from catkinpin.core.programs import records, sharding
from catkinpin.verdicts import Reason, Verdict

if TYPE_CHECKING:
    from collections.abc import Iterator

    from catkinpin.core.messages import Begin
    from catkinpin.core.programs.program import Call, Program

_RETRY_AFTER_MS = 1_000


def ancestors(program: str) -> Iterator[str]:
    """Yields the ids that a sub-agent's id begins with, its root's first."""
    parts = program.split(sharding.SUB_AGENT_SEPARATOR)
    for length in range(1, len(parts)):
        yield sharding.SUB_AGENT_SEPARATOR.join(parts[:length])


def limit_reached(root: Program, at_ms: int) -> str:
    """Returns which limit a tree of programs has reached, or an empty text."""
    limits = root.limits
    if root.turns >= limits.max_turns:
        return f"the program has made {limits.max_turns} turns, its limit"
    if at_ms - root.begun_ms >= limits.max_age_ms:
        return f"the program is {limits.max_age_ms} ms old, its limit"
    return ""


def is_traceless(program: Program) -> bool:
    """Returns whether nothing of the program ever ran."""
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
    """Returns a call's refusal; it says the worst that may have happened."""
    return records.CallRefused(
        at_ms=at_ms,
        key=call.key,
        reason=reason,
        text=text,
        verdict=verdict or call.verdict,
        retry_after_ms=retry_after_ms,
    )


def failure(
    program: Program, call: Call, record: records.AttemptFinished
) -> records.CallRefused:
    """Returns the refusal of a call that is not tried again."""
    reason = record.reason or Reason.SERVER_FAILED
    text = record.text
    verdict = record.verdict
    if verdict is Verdict.NOT_RUN:
        # An earlier attempt may have run even if this one did not.
        verdict = call.verdict
        if program.ended:
            reason = Reason.PROGRAM_ENDED
            text = f"the program has ended: {program.end_reason}"
    retry = 0
    if not program.ended and (
        verdict is Verdict.NOT_RUN or call.begin.idempotent
    ):
        retry = _RETRY_AFTER_MS
    return refusal(record.at_ms, call, reason, text, retry, verdict)


def fits(begin: Begin, skip: int, record: records.AttemptFinished) -> bool:
    """Returns whether an answer's messages are the request's and one more.

    An entry that mixed up two calls would put one program's messages into
    another's history; the digests it sent with the begin show that.
    """
    if begin.kind != "model":
        return not record.messages
    asked = begin.digests[skip:]
    if len(record.messages) != len(asked) + 1:
        return False
    return all(
        digest.of_bytes(message) == item
        for message, item in zip(record.messages, asked, strict=False)
    )
