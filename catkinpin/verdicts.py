"""Verdicts on whether a request ran, and reasons of refusals and failures."""

from __future__ import annotations

import enum


class Verdict(enum.StrEnum):
    """Whether a request may have run on a backend server.

    NOT_RUN is a guarantee: no byte of the request can have reached a backend
    server, or the server itself reported that it did not run the request.
    """

    NOT_RUN = "not-run"
    RAN = "ran"
    MAY_HAVE_RUN = "may-have-run"


class Reason(enum.StrEnum):
    """Codes of refusals and failures; part of the public API, so stable."""

    BAD_REQUEST = "bad-request"
    UNAUTHORIZED = "unauthorized"
    UNKNOWN_PROGRAM = "unknown-program"
    UNKNOWN_MODEL = "unknown-model"
    UNKNOWN_SERVICE = "unknown-service"
    PROGRAM_ENDED = "program-ended"
    HISTORY_CONFLICT = "history-conflict"
    SEQ_TAKEN = "seq-taken"
    REQUEST_ID_REUSED = "request-id-reused"
    BUDGET_EXHAUSTED = "budget-exhausted"
    LIMIT_REACHED = "limit-reached"
    OVERLOADED = "overloaded"
    NO_SERVER = "no-server"
    NO_LEADER = "no-leader"
    NOT_READY = "not-ready"
    STOPPING = "stopping"
    QUARANTINED = "quarantined"
    DEADLINE = "deadline"
    SERVER_FAILED = "server-failed"
    SERVER_REFUSED = "server-refused"
    OUTCOME_UNKNOWN = "outcome-unknown"
    ANSWER_CHANGED = "answer-changed"
    REVISION_CONFLICT = "revision-conflict"
    INTERNAL = "internal"


# Status codes of the callers' HTTP interface, by reason. Reasons that are not
# listed are answered with 503: the caller may retry later.
HTTP_STATUS: dict[Reason, int] = {
    Reason.BAD_REQUEST: 400,
    Reason.UNAUTHORIZED: 401,
    Reason.UNKNOWN_PROGRAM: 404,
    Reason.UNKNOWN_MODEL: 404,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.PROGRAM_ENDED: 410,
    Reason.HISTORY_CONFLICT: 409,
    Reason.SEQ_TAKEN: 409,
    Reason.REQUEST_ID_REUSED: 409,
    Reason.REVISION_CONFLICT: 409,
    Reason.BUDGET_EXHAUSTED: 402,
    Reason.LIMIT_REACHED: 429,
    Reason.OVERLOADED: 429,
    Reason.QUARANTINED: 422,
    Reason.DEADLINE: 504,
    Reason.SERVER_FAILED: 502,
    Reason.SERVER_REFUSED: 502,
    Reason.OUTCOME_UNKNOWN: 502,
    Reason.ANSWER_CHANGED: 502,
    Reason.INTERNAL: 500,
}
_SERVICE_UNAVAILABLE = 503


def http_status(reason: Reason) -> int:
    """Returns the HTTP status code of a refusal for `reason`."""
    return HTTP_STATUS.get(reason, _SERVICE_UNAVAILABLE)
