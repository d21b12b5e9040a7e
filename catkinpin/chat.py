"""Parses, edits and assembles OpenAI chat requests and answers."""

from __future__ import annotations

import json
from typing import Annotated, Any

import msgspec
import pydantic

from catkinpin import configuration, digest
from catkinpin.core.messages import Usage
from catkinpin.core.programs import budgets
from catkinpin.exceptions import BadRequestError

_DEFAULT_MAX_TOKENS = 1024
_MAX_TOKENS = 100_000_000
_CANONICAL_FIELDS = (
    "role",
    "content",
    "name",
    "tool_calls",
    "tool_call_id",
    "function_call",
)


_TokenCount = Annotated[int, pydantic.Field(gt=0, le=_MAX_TOKENS)]


class _Messages(msgspec.Struct):
    messages: list[msgspec.Raw]


# A larger count can't be the number of tokens of a call.
_MAX_COUNTED_TOKENS = 10**9
_messages_decoder = msgspec.json.Decoder(_Messages)
_fields_decoder = msgspec.json.Decoder(dict[str, msgspec.Raw])


class ChatMessage(pydantic.BaseModel):
    """A chat message; fields that the scheduler does not use are kept."""

    model_config = pydantic.ConfigDict(extra="allow")

    role: str
    content: str | list[dict[str, Any]] | None = None


class ChatRequest(pydantic.BaseModel):
    """Body of `POST /v1/chat/completions`."""

    model_config = pydantic.ConfigDict(extra="allow")

    model: str = pydantic.Field(min_length=1, max_length=200)
    messages: list[ChatMessage] = pydantic.Field(min_length=1)
    stream: bool = False
    max_tokens: _TokenCount | None = None
    max_completion_tokens: _TokenCount | None = None
    n: int = pydantic.Field(default=1, ge=1, le=1)

    @property
    def token_limit(self) -> int:
        """Maximum number of tokens that may be generated."""
        return (
            self.max_completion_tokens or self.max_tokens or _DEFAULT_MAX_TOKENS
        )


def parse_request(body: bytes) -> ChatRequest:
    """Returns the validated body.

    Raises:
        BadRequestError: the body is invalid; the text lists every invalid
            field.
    """
    try:
        return ChatRequest.model_validate_json(body)
    except pydantic.ValidationError as exc:
        raise BadRequestError(
            "body", configuration.describe_errors(exc)
        ) from exc


def canonical_message(message: dict[str, Any]) -> bytes:
    """Returns a message in the form that is stored and digested.

    Empty fields are dropped: clients that send an answer's message back may
    add or omit them, and the digest must not change.
    """
    kept = {
        field: message[field]
        for field in _CANONICAL_FIELDS
        if message.get(field) not in (None, [], {})
    }
    return digest.canonical(kept)


def canonical_messages(request: ChatRequest) -> list[bytes]:
    """Returns the canonical form of each message of a request."""
    return [canonical_message(m.model_dump()) for m in request.messages]


def canonical_from_json(message: bytes) -> bytes:
    """Returns the canonical form of a message given as JSON."""
    return canonical_message(json.loads(message))


def raw_messages(body: bytes) -> list[bytes]:
    """Returns the JSON of each message of a request's body."""
    return [bytes(raw) for raw in _messages_decoder.decode(body).messages]


def with_messages(body: bytes, messages: list[bytes]) -> bytes:
    """Returns a request's body with its messages replaced.

    Args:
        body: the JSON body of the request.
        messages: the JSON of each new message.
    """
    raws = [msgspec.Raw(message) for message in messages]
    return with_fields(body, messages=raws)


def without_first_messages(body: bytes, count: int) -> bytes:
    """Returns a request's body without its first `count` messages."""
    return with_fields(
        body, messages=_messages_decoder.decode(body).messages[count:]
    )


def with_fields(body: bytes, **fields: Any) -> bytes:
    """Returns a JSON object with some fields replaced.

    The other fields are copied without decoding: a prompt may be large.

    Args:
        body: the JSON object.
        **fields: new values; None removes the field.
    """
    decoded: dict[str, Any] = _fields_decoder.decode(body)
    decoded.update(fields)
    kept = {name: value for name, value in decoded.items() if value is not None}
    return msgspec.json.encode(kept)


def max_prompt_tokens(canonical: list[bytes], request: ChatRequest) -> int:
    """Returns an upper bound of the number of tokens in a prompt.

    Each token of a byte-level vocabulary covers at least one byte.

    Args:
        canonical: the canonical form of each message.
        request: the request, for its other fields.
    """
    text_bytes = sum(len(message) for message in canonical)
    extra_bytes = len(digest.canonical(request.model_extra or {}))
    return (
        text_bytes
        + extra_bytes
        + budgets.MESSAGE_OVERHEAD_TOKENS * len(canonical)
    )


class _Function(msgspec.Struct):
    name: str | None = None
    arguments: str | None = None


class _ToolCall(msgspec.Struct):
    index: int | None = None
    id: str | None = None
    function: _Function | None = None


class _Delta(msgspec.Struct):
    content: str | None = None
    tool_calls: list[_ToolCall] | None = None


class _Choice(msgspec.Struct):
    delta: _Delta | None = None
    finish_reason: str | None = None


class _Chunk(msgspec.Struct):
    """The fields of a `chat.completion.chunk` object that are used."""

    choices: list[_Choice] | None = None


_chunk_decoder = msgspec.json.Decoder(_Chunk)


def parse_chunk(data: bytes) -> dict[str, Any]:
    """Returns a `chat.completion.chunk` object.

    Raises:
        ValueError: a field that is used has another type.
    """
    try:
        _chunk_decoder.decode(data)
        chunk: dict[str, Any] = msgspec.json.decode(data)
    except RecursionError as exc:
        raise ValueError("nested too deeply") from exc
    return chunk


class StreamAssembler:
    """Assembles an answer from the chunks of its stream.

    Attributes:
        finish_reason: why the engine stopped; empty while it generates.
        usage: token counts; None until the engine sends them.
    """

    def __init__(self) -> None:
        self.finish_reason = ""
        self.usage: Usage | None = None
        self._content: list[str] = []
        self._tool_calls: dict[int, dict[str, Any]] = {}
        self._first_chunk: dict[str, Any] = {}

    def add(self, chunk: dict[str, Any]) -> None:
        """Adds a `chat.completion.chunk` object."""
        if not self._first_chunk:
            self._first_chunk = chunk
        if usage := _parse_usage(chunk.get("usage")):
            self.usage = usage
        for choice in chunk.get("choices") or []:
            delta = choice.get("delta") or {}
            if delta.get("content"):
                self._content.append(delta["content"])
            for part in delta.get("tool_calls") or []:
                self._add_tool_call(part)
            if choice.get("finish_reason"):
                self.finish_reason = choice["finish_reason"]

    def message(self) -> dict[str, Any]:
        """Returns the assistant's message."""
        message: dict[str, Any] = {
            "role": "assistant",
            "content": "".join(self._content),
        }
        if self._tool_calls:
            calls = [self._tool_calls[i] for i in sorted(self._tool_calls)]
            message["tool_calls"] = calls
        return message

    def completion(self) -> bytes:
        """Returns the `chat.completion` object as JSON."""
        usage = self.usage or Usage()
        total = usage.prompt_tokens + usage.completion_tokens
        body = {
            "id": self._first_chunk.get("id", ""),
            "object": "chat.completion",
            "created": self._first_chunk.get("created", 0),
            "model": self._first_chunk.get("model", ""),
            "choices": [
                {
                    "index": 0,
                    "message": self.message(),
                    "finish_reason": self.finish_reason or "stop",
                }
            ],
            "usage": {
                "prompt_tokens": usage.prompt_tokens,
                "completion_tokens": usage.completion_tokens,
                "total_tokens": total,
                "prompt_tokens_details": {"cached_tokens": usage.cached_tokens},
            },
        }
        return json.dumps(body, ensure_ascii=False).encode()

    def _add_tool_call(self, part: dict[str, Any]) -> None:
        call = self._tool_calls.setdefault(
            part.get("index") or 0,
            {
                "id": "",
                "type": "function",
                "function": {"name": "", "arguments": ""},
            },
        )
        call["id"] = part.get("id") or call["id"]
        function = part.get("function") or {}
        for field in ("name", "arguments"):
            call["function"][field] += function.get(field) or ""


def _parse_usage(usage: Any) -> Usage | None:
    """Returns the token counts of an answer, None if it has none."""
    if not isinstance(usage, dict) or not usage:
        return None
    details = usage.get("prompt_tokens_details")
    return Usage(
        prompt_tokens=_token_count(usage, "prompt_tokens"),
        completion_tokens=_token_count(usage, "completion_tokens"),
        cached_tokens=_token_count(details, "cached_tokens"),
    )


def _token_count(counts: Any, name: str) -> int:
    """Returns a count that an engine reports, 0 if it can't be one."""
    value = counts.get(name) if isinstance(counts, dict) else None
    is_number = (
        isinstance(value, int | float) and 0 <= value <= _MAX_COUNTED_TOKENS
    )
    return int(value) if is_number and value is not None else 0


def completion_chunks(completion: bytes) -> list[dict[str, Any]]:
    """Returns a complete stored answer as the chunks of a stream."""
    body = json.loads(completion)
    base = {
        "id": body["id"],
        "object": "chat.completion.chunk",
        "created": body["created"],
        "model": body["model"],
    }
    choice = body["choices"][0]
    delta = dict(choice["message"])
    if "tool_calls" in delta:
        delta["tool_calls"] = [
            {"index": i, **call} for i, call in enumerate(delta["tool_calls"])
        ]
    first = {"index": 0, "delta": delta, "finish_reason": None}
    last = {
        "index": 0,
        "delta": {},
        "finish_reason": choice["finish_reason"],
    }
    return [{**base, "choices": [first]}, {**base, "choices": [last]}]
