"""Parses and validates operators' intents."""

from __future__ import annotations

from typing import Annotated, Literal

import pydantic

from catkinpin import configuration
from catkinpin.core.operations import plans
from catkinpin.exceptions import BadRequestError

Name = configuration.Name
_MAX_TOKENS = 1_000_000_000
_MAX_TURNS = 1_000_000
_MAX_SECONDS = 800 * 86_400
_MAX_SERVERS = 100_000


class _Intent(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class _Move(_Intent):
    kind: Literal["move"]
    deployment: Name
    off: list[Name] = pydantic.Field(min_length=1)


class _Drain(_Intent):
    kind: Literal["drain", "undrain"]
    scope: Literal["server", "host", "domain", "region"]
    name: Name


class _Budget(_Intent):
    kind: Literal["budget"]
    deployment: Name
    tokens: int = pydantic.Field(default=0, ge=0, le=_MAX_TOKENS)
    turns: int = pydantic.Field(default=0, ge=0, le=_MAX_TURNS)
    seconds: int = pydantic.Field(default=0, ge=0, le=_MAX_SECONDS)


class _Scale(_Intent):
    kind: Literal["scale"]
    deployment: Name
    servers: int = pydantic.Field(ge=1, le=_MAX_SERVERS)


class _Version(_Intent):
    kind: Literal["version"]
    deployment: Name
    target: Name
    version: Name


_intent_adapter: pydantic.TypeAdapter[
    _Move | _Drain | _Budget | _Scale | _Version
] = pydantic.TypeAdapter(
    Annotated[
        _Move | _Drain | _Budget | _Scale | _Version,
        pydantic.Field(discriminator="kind"),
    ]
)


def parse(body: bytes) -> plans.Intent:
    """Returns the intent in a JSON body.

    Raises:
        BadRequestError: the body is invalid; names every invalid field.
    """
    try:
        model = _intent_adapter.validate_json(body)
    except pydantic.ValidationError as exc:
        raise BadRequestError(
            "intent", configuration.describe_errors(exc)
        ) from exc
    fields = model.model_dump(exclude={"kind"})
    match model:
        case _Move():
            return plans.Move(**fields)
        case _Drain(kind="drain"):
            return plans.DrainPlace(**fields)
        case _Drain():
            return plans.Undrain(**fields)
        case _Budget():
            return plans.SetBudget(**fields)
        case _Scale():
            return plans.Scale(**fields)
        case _Version():
            return plans.NewVersion(**fields)
