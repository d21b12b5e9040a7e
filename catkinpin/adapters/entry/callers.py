"""The HTTP interface for callers."""

from __future__ import annotations

import json
import logging
import re
import uuid
from typing import TYPE_CHECKING, Any

import msgspec
import sanic
from sanic import exceptions as sanic_exceptions
from sanic import response

from catkinpin import chat, configuration, digest, metrics
from catkinpin.adapters.entry import web
from catkinpin.adapters.entry.calls import CallRequest, RunningCall
from catkinpin.core import messages
from catkinpin.core.programs import sharding
from catkinpin.exceptions import BadRequestError, PeerLostError
from catkinpin.verdicts import Reason, Verdict, http_status

if TYPE_CHECKING:
    from catkinpin.adapters.entry.context import EntryContext

log = logging.getLogger(__name__)

VERDICT_HEADER = "Catkinpin-Verdict"
_NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:/@-]{0,199}")
_MAX_SEQ = 1_000_000
_MAX_DEADLINE_MS = 3_600_000
_HOP_BY_HOP = {
    "authorization", "connection", "content-length", "expect", "host",
    "keep-alive", "proxy-authorization", "te", "trailer",
    "transfer-encoding", "upgrade", "idempotency-key", "traceparent",
}  # fmt: skip
_OWN_HEADER_PREFIX = "catkinpin-"
_METHODS = ["GET", "POST", "PUT", "PATCH", "DELETE"]
_MS_PER_S = 1000
_STATUS_OK = 200
_PROGRAM_TIMEOUT_S = 5.0


def make_app(entry: EntryContext) -> sanic.Sanic[Any, Any]:
    """Returns the application that serves callers."""
    app = web.new_app("callers", entry.cfg.max_body_bytes)

    @app.post("/v1/chat/completions")
    async def chat_completions(req: sanic.Request) -> Any:
        return await _handle_chat(entry, req)

    @app.route("/v1/services/<name:str>/<path:path>", methods=_METHODS)
    async def service(req: sanic.Request, name: str, path: str) -> Any:
        return await _handle_service(entry, req, name, path)

    @app.get("/v1/programs/<program:path>")
    async def get_program(req: sanic.Request, program: str) -> Any:
        return await _get_program(entry, req, program)

    @app.delete("/v1/programs/<program:path>")
    async def end_program(req: sanic.Request, program: str) -> Any:
        return await _end_program(entry, req, program)

    @app.get("/health/live")
    async def live(req: sanic.Request) -> Any:
        return response.text("live\n")

    @app.get("/health/ready")
    async def ready(req: sanic.Request) -> Any:
        problem = entry.unready_reason()
        return response.text(
            (problem or "ready") + "\n", status=503 if problem else 200
        )

    @app.exception(Exception)
    async def failed(req: sanic.Request, exc: Exception) -> Any:
        return _exception_response(exc)

    return app


def refusal_response(refused: messages.Refused) -> Any:
    """Returns a refusal as an OpenAI error object with Catkinpin headers."""
    headers: dict[str, str] = {VERDICT_HEADER: refused.verdict}
    if refused.retry_after_ms:
        seconds = -(-refused.retry_after_ms // _MS_PER_S)
        headers["Retry-After"] = str(seconds)
        headers["Retry-After-Ms"] = str(refused.retry_after_ms)
    return response.json(
        _error_body(refused),
        status=http_status(refused.reason),
        headers=headers,
    )


def _error_body(refused: messages.Refused) -> dict[str, Any]:
    return {
        "error": {
            "message": refused.text,
            "type": "catkinpin_error",
            "code": refused.reason,
            "param": refused.detail or None,
            "verdict": refused.verdict,
        }
    }


def _refusal(reason: Reason, text: str, detail: str = "") -> messages.Refused:
    """Returns a refusal of a request that did not run."""
    return messages.Refused(
        ask=0,
        reason=reason,
        text=text,
        verdict=Verdict.NOT_RUN,
        detail=detail,
        retry_after_ms=_MS_PER_S if http_status(reason) == 503 else 0,
    )


def _exception_response(exc: Exception) -> Any:
    if isinstance(exc, BadRequestError):
        refused = _refusal(Reason.BAD_REQUEST, str(exc), exc.field)
        metrics.REFUSALS.labels(refused.reason).inc()
        return refusal_response(refused)
    if isinstance(exc, _RefusedError):
        metrics.REFUSALS.labels(exc.refused.reason).inc()
        return refusal_response(exc.refused)
    if isinstance(exc, sanic_exceptions.SanicException):
        refused = _refusal(Reason.BAD_REQUEST, str(exc))
        return response.json(
            _error_body(refused),
            status=exc.status_code,
            headers={VERDICT_HEADER: Verdict.NOT_RUN},
        )
    log.error("request failed", exc_info=exc)
    refused = messages.Refused(
        ask=0,
        reason=Reason.INTERNAL,
        text="internal error",
        verdict=Verdict.MAY_HAVE_RUN,
    )
    return refusal_response(refused)


class _RefusedError(Exception):
    """Carries a refusal to the error handler."""

    def __init__(self, refused: messages.Refused) -> None:
        super().__init__(refused.text)
        self.refused = refused


def _authenticate(entry: EntryContext, req: sanic.Request) -> str:
    """Returns the account of the request's key, while the lease is valid."""
    if problem := entry.lease.problem():
        text = f"this host does not serve now: {problem}"
        raise _RefusedError(_refusal(Reason.NOT_READY, text))
    scheme, _, key = req.headers.get("authorization", "").partition(" ")
    if scheme.lower() == "bearer" and key:
        account = entry.active_config.accounts.get(
            configuration.key_digest(key.strip())
        )
        if account is not None:
            return account
    text = "Authorization: no account has this key"
    raise _RefusedError(_refusal(Reason.UNAUTHORIZED, text, "Authorization"))


def _check_not_stopping(entry: EntryContext) -> None:
    if entry.stopping:
        text = "this host is stopping; another will answer"
        raise _RefusedError(_refusal(Reason.STOPPING, text))


def _id_header(req: sanic.Request, header: str, default: str) -> str:
    value: str = req.headers.get(header, default)
    if value and not _NAME_PATTERN.fullmatch(value):
        raise BadRequestError(
            header, "1 to 200 letters, digits and . _ : / @ - are allowed"
        )
    return value


def _int_header(
    req: sanic.Request, header: str, default: int, low: int, high: int
) -> int:
    text = req.headers.get(header, "")
    if not text:
        return default
    if not re.fullmatch(r"-?\d{1,18}", text) or not low <= int(text) <= high:
        raise BadRequestError(
            header, f"a whole number from {low} to {high} is allowed"
        )
    return int(text)


def _bool_header(req: sanic.Request, header: str, *, default: bool) -> bool:
    text = req.headers.get(header, "").lower()
    if not text:
        return default
    if text not in ("true", "false"):
        raise BadRequestError(header, "true or false is allowed")
    return bool(text == "true")


def _make_begin(
    entry: EntryContext, req: sanic.Request, kind: str, target: str
) -> messages.Begin:
    """Returns the begin message that a call's headers describe."""
    account = _authenticate(entry, req)
    _check_not_stopping(entry)
    request_id = _id_header(req, "Idempotency-Key", uuid.uuid4().hex)
    program = _id_header(req, "Catkinpin-Program", f"single-{request_id}")
    parent = _id_header(req, "Catkinpin-Parent", "")
    if parent and sharding.root_of(parent) != sharding.root_of(program):
        raise BadRequestError(
            "Catkinpin-Parent",
            "a sub-agent's program id begins with its root's id and a slash",
        )
    return messages.Begin(
        ask=0,
        key=messages.CallKey(
            account=account, program=program, request_id=request_id
        ),
        kind=kind,
        target=target,
        parent=parent,
        seq=_int_header(req, "Catkinpin-Seq", 0, 1, _MAX_SEQ),
        idempotent=_bool_header(
            req, "Catkinpin-Idempotent", default=kind == "model"
        ),
        deadline_ms=_int_header(
            req,
            "Catkinpin-Deadline-Ms",
            entry.cfg.default_deadline_ms,
            1,
            _MAX_DEADLINE_MS,
        ),
        region=entry.cfg.region,
        traceparent=req.headers.get("traceparent", ""),
        once="catkinpin-program" not in req.headers,
    )


def _forwarded_headers(req: sanic.Request) -> list[tuple[str, str]]:
    return [
        # msgspec can't encode Sanic's own type of header names.
        (str(name), value)
        for name, value in req.headers.items()
        if name.lower() not in _HOP_BY_HOP
        and not name.lower().startswith(_OWN_HEADER_PREFIX)
    ]


def _with_fields(begin: messages.Begin, **changes: Any) -> messages.Begin:
    return msgspec.structs.replace(begin, **changes)


async def _handle_chat(entry: EntryContext, req: sanic.Request) -> Any:
    begin = _make_begin(entry, req, "model", "")
    parsed = chat.parse_request(req.body)
    canonical = chat.canonical_messages(parsed)
    begin = _with_fields(
        begin,
        target=parsed.model,
        whole=req.headers.get("Catkinpin-History", "whole") != "new",
        digests=[digest.of_bytes(message) for message in canonical],
        fingerprint=digest.of_json([parsed.model, *map(bytes.hex, canonical)]),
        prompt_tokens=chat.max_prompt_tokens(canonical, parsed),
        max_tokens=parsed.token_limit,
    )
    call = entry.calls.start(
        CallRequest(
            begin=begin,
            method="POST",
            path="/v1/chat/completions",
            headers=[],
            body=req.body,
            messages=canonical,
            is_resendable="idempotency-key" in req.headers,
        )
    )
    if parsed.stream:
        return await _stream_response(req, call, begin)
    return _answer_response(await call.wait_final(), begin)


async def _handle_service(
    entry: EntryContext, req: sanic.Request, name: str, path: str
) -> Any:
    begin = _make_begin(entry, req, "service", name)
    query = f"?{req.query_string}" if req.query_string else ""
    begin = _with_fields(
        begin,
        fingerprint=digest.of_bytes(
            f"{req.method} {name} {path}{query}\0".encode() + req.body
        ),
    )
    call = entry.calls.start(
        CallRequest(
            begin=begin,
            method=req.method,
            path=f"/{path}{query}",
            headers=_forwarded_headers(req),
            body=req.body,
            messages=[],
            is_resendable="idempotency-key" in req.headers,
        )
    )
    return _answer_response(await call.wait_final(), begin)


def _answer_response(
    final: messages.Finished | messages.Refused, begin: messages.Begin
) -> Any:
    if isinstance(final, messages.Refused):
        return refusal_response(final)
    answer = final.answer
    return response.raw(
        answer.body,
        status=answer.status,
        content_type=answer.content_type,
        headers={
            VERDICT_HEADER: Verdict.RAN,
            "Catkinpin-Call": begin.key.request_id,
            "Catkinpin-Program": begin.key.program,
            "Catkinpin-Seq": str(final.seq),
        },
    )


async def _stream_response(
    req: sanic.Request, call: RunningCall, begin: messages.Begin
) -> Any:
    """Streams events; sends the last ones once the answer is stored."""
    held_back: list[bytes] = []
    resp = None
    while (ready := await call.next_events()) is not None:
        unsent = []
        for data in ready:
            if held_back or _ends_answer(data):
                held_back.append(data)
            else:
                unsent.append(b"data: " + data + b"\n\n")
        if unsent:
            resp = resp or await _start_stream(req, begin)
            # Sanic emits signals for each send, so all queued events are sent
            # at once.
            await resp.send(b"".join(unsent))
    final = call.final
    assert final is not None
    if isinstance(final, messages.Refused):
        if resp is None:
            return refusal_response(final)
        error = json.dumps(_error_body(final)).encode()
        await resp.send(b"data: " + error + b"\n\n")
    else:
        if final.answer.status != _STATUS_OK:
            return _answer_response(final, begin)
        if resp is None and not held_back:
            held_back = [
                json.dumps(chunk).encode()
                for chunk in chat.completion_chunks(final.answer.body)
            ]
        resp = resp or await _start_stream(req, begin)
        for data in held_back:
            await resp.send(b"data: " + data + b"\n\n")
        await resp.send(b": catkinpin-verdict ran\n\ndata: [DONE]\n\n")
    await resp.eof()
    return resp


async def _start_stream(req: sanic.Request, begin: messages.Begin) -> Any:
    return await req.respond(
        content_type="text/event-stream",
        headers={
            "Catkinpin-Call": begin.key.request_id,
            "Catkinpin-Program": begin.key.program,
            "Cache-Control": "no-store",
        },
    )


class _Choice(msgspec.Struct):
    finish_reason: str | None = None


class _Event(msgspec.Struct):
    choices: list[_Choice] | None = None


_event_decoder = msgspec.json.Decoder(_Event)


def _ends_answer(data: bytes) -> bool:
    choices = _event_decoder.decode(data).choices or []
    return any(choice.finish_reason for choice in choices)


def _program_key(
    entry: EntryContext, req: sanic.Request, program: str
) -> messages.ProgramKey:
    account = _authenticate(entry, req)
    if not _NAME_PATTERN.fullmatch(program):
        raise BadRequestError("program", "not a program id")
    return messages.ProgramKey(account=account, program=program)


async def _get_program(
    entry: EntryContext, req: sanic.Request, program: str
) -> Any:
    key = _program_key(entry, req, program)
    return await _program_reply(
        entry, key, lambda ask: messages.GetProgram(ask=ask, key=key)
    )


async def _end_program(
    entry: EntryContext, req: sanic.Request, program: str
) -> Any:
    key = _program_key(entry, req, program)
    return await _program_reply(
        entry, key, lambda ask: messages.EndProgram(ask=ask, key=key)
    )


async def _program_reply(
    entry: EntryContext, key: messages.ProgramKey, make_message: Any
) -> Any:
    group = sharding.group_of(key, entry.cfg.shards)
    try:
        info = await entry.replicas.ask(group, make_message, _PROGRAM_TIMEOUT_S)
    except PeerLostError:
        text = "the shard's leader did not answer in time"
        return refusal_response(_refusal(Reason.NO_LEADER, text))
    if isinstance(info, messages.Refused):
        return refusal_response(info)
    return response.json(
        {
            "program": info.key.program,
            "parent": info.parent or None,
            "next_seq": info.next_seq,
            "turns": info.turns,
            "ended": info.ended,
            "spent_tokens": info.spent_tokens,
            "reserved_tokens": info.reserved_tokens,
            "budget_tokens": info.budget_tokens,
        }
    )
