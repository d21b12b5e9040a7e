"""Builds the outcome of an attempt for the shard's leader."""

from __future__ import annotations

from typing import TYPE_CHECKING

from catkinpin import chat
from catkinpin.core.messages import Answer, Finish, Usage
from catkinpin.verdicts import Reason, Verdict

if TYPE_CHECKING:
    from catkinpin.core.messages import Granted

STATUS_OK = 200


def may_have_run(
    grant: Granted, reason: Reason, text: str, *, crashed: bool = False
) -> Finish:
    """Returns the outcome if no answer came and the request may have run."""
    return Finish(
        ask=0,
        key=grant.key,
        attempt=grant.attempt,
        verdict=Verdict.MAY_HAVE_RUN,
        reason=reason,
        text=text,
        crashed=crashed,
    )


def not_run(grant: Granted, reason: Reason, text: str) -> Finish:
    """Returns the outcome if the request certainly did not run."""
    return Finish(
        ask=0,
        key=grant.key,
        attempt=grant.attempt,
        verdict=Verdict.NOT_RUN,
        reason=reason,
        text=text,
    )


def ran_stream(grant: Granted, assembler: chat.StreamAssembler) -> Finish:
    """Returns the outcome of a model call whose stream is complete."""
    answer = Answer(
        status=STATUS_OK,
        content_type="application/json",
        body=assembler.completion(),
    )
    return Finish(
        ask=0,
        key=grant.key,
        attempt=grant.attempt,
        verdict=Verdict.RAN,
        answer=answer,
        usage=assembler.usage or Usage(),
        messages=[chat.canonical_message(assembler.message())],
    )


def ran(grant: Granted, answer: Answer) -> Finish:
    """Returns the outcome of a call that was answered without a stream."""
    return Finish(
        ask=0,
        key=grant.key,
        attempt=grant.attempt,
        verdict=Verdict.RAN,
        answer=answer,
    )
