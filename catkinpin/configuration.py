"""The border of the configuration: TOML or JSON, validated as a whole."""

from __future__ import annotations

import hashlib
import json
import tomllib
from typing import Annotated, Any

import pydantic

from catkinpin.core.operations import deployments
from catkinpin.core.operations.deployments import Configuration as Configuration
from catkinpin.exceptions import BadRequestError

_DAY_S = 86_400
_MAX_SHOWN = 80

Name = Annotated[
    str, pydantic.Field(pattern=r"^[0-9A-Za-z_.@-][0-9A-Za-z_.@/: -]{0,199}$")
]
Names = Annotated[list[Name], pydantic.Field(max_length=10_000)]


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class LimitsModel(_Model):
    """Limits as operators write them; see `deployments.Limits`."""

    calls_running: int = pydantic.Field(default=0, ge=0, le=1_000_000)
    calls_per_second: float = pydantic.Field(
        default=0.0, ge=0, le=1_000_000, allow_inf_nan=False
    )
    queue: int = pydantic.Field(default=0, ge=0, le=1_000_000)


class AccountModel(_Model):
    """An account as operators write it."""

    name: Name
    key_sha256: str = pydantic.Field(pattern="^[0-9a-f]{64}$")
    limits: LimitsModel = LimitsModel()


class ServerSetModel(_Model):
    """A set of backend servers as operators write it."""

    names: Names = []
    failure_domains: Names = []
    regions: Names = []
    off: Names = []


class DeploymentModel(_Model):
    """A deployment as operators write it; see `deployments.Deployment`."""

    name: Name
    targets: list[Name] = pydantic.Field(min_length=1, max_length=1_000)
    accounts: Names = []
    versions: dict[Name, Name] = {}
    servers: ServerSetModel = ServerSetModel()
    budget_tokens: int = pydantic.Field(
        default=1_000_000, gt=0, le=1_000_000_000
    )
    budget_turns: int = pydantic.Field(default=0, ge=0, le=1_000_000)
    budget_seconds: int = pydantic.Field(default=0, ge=0, le=800 * _DAY_S)
    idle_timeout_seconds: int = pydantic.Field(default=0, ge=0, le=800 * _DAY_S)
    priority: int = pydantic.Field(default=0, ge=0, le=100)
    interactive: bool = False
    limits: LimitsModel = LimitsModel()


class _File(_Model):
    accounts: list[AccountModel] = []
    deployments: list[DeploymentModel] = []


def key_digest(key: str) -> str:
    """Returns the stored form of an API key."""
    return hashlib.sha256(key.encode()).hexdigest()


def parse(content: bytes) -> Configuration:
    """Returns the configuration in `content`, which is TOML or JSON.

    Raises:
        BadRequestError: naming every field at fault, its value and what is
            allowed, one a line.
    """
    data = _load(content)
    problems = []
    try:
        file = _File.model_validate(data)
    except pydantic.ValidationError as exc:
        problems.append(describe_errors(exc))
    problems += _contradictions(data)
    if problems:
        raise BadRequestError("configuration", "\n".join(problems))
    accounts = [_account(model) for model in file.accounts]
    return Configuration([*accounts, *map(_deployment, file.deployments)])


def _load(content: bytes) -> dict[str, Any]:
    try:
        text = content.decode()
        if text.lstrip().startswith("{"):
            return dict(json.loads(text))
        return tomllib.loads(text)
    except (ValueError, RecursionError) as exc:
        text = f"neither TOML nor JSON: {exc}"
        raise BadRequestError("configuration", text) from exc


def _account(model: AccountModel) -> deployments.Account:
    limits = deployments.Limits(**model.limits.model_dump())
    return deployments.Account(
        name=model.name, key_sha256=model.key_sha256, limits=limits
    )


def _deployment(model: DeploymentModel) -> deployments.Deployment:
    fields = model.model_dump()
    fields["limits"] = deployments.Limits(**fields["limits"])
    fields["servers"] = deployments.ServerSet(**fields["servers"])
    return deployments.Deployment(**fields)


def _contradictions(data: dict[str, Any]) -> list[str]:
    """Returns what single fields can't show; tolerates malformed fields."""
    accounts = _dicts(data.get("accounts"))
    found = _dicts(data.get("deployments"))
    problems = [
        *_twice("accounts", "name", accounts),
        *_twice("accounts", "key_sha256", accounts),
        *_twice("deployments", "name", found),
    ]
    known = {str(account.get("name")) for account in accounts}
    for place, deployment in enumerate(found):
        for name in _strings(deployment.get("accounts")):
            if name not in known:
                problems.append(
                    f"deployments.{place}.accounts: an account of this"
                    f" configuration is allowed, got {name!r}"
                )
        targets = _strings(deployment.get("targets"))
        versions = deployment.get("versions")
        for target in versions if isinstance(versions, dict) else ():
            if target not in targets:
                problems.append(
                    f"deployments.{place}.versions: a target of this"
                    f" deployment is allowed, got {target!r}"
                )
    return problems


def _dicts(value: Any) -> list[dict[str, Any]]:
    items = value if isinstance(value, list) else []
    return [item if isinstance(item, dict) else {} for item in items]


def _strings(value: Any) -> list[str]:
    items = value if isinstance(value, list) else []
    return [item for item in items if isinstance(item, str)]


def _twice(kind: str, field: str, items: list[dict[str, Any]]) -> list[str]:
    problems = []
    first: dict[str, int] = {}
    for place, item in enumerate(items):
        value = item.get(field)
        if not isinstance(value, str):
            continue
        if value in first:
            problems.append(
                f"{kind}.{place}.{field}: a value that no other has is"
                f" allowed, got that of {kind}.{first[value]}: {value!r}"
            )
        first.setdefault(value, place)
    return problems


def describe_errors(exc: pydantic.ValidationError) -> str:
    """Returns every problem of a failed validation, one a line."""
    lines = []
    for problem in exc.errors():
        place = ".".join(str(part) for part in problem["loc"]) or "(whole)"
        shown = repr(problem.get("input"))
        if len(shown) > _MAX_SHOWN:
            shown = shown[:_MAX_SHOWN] + "..."
        lines.append(f"{place}: {problem['msg']}, got {shown}")
    return "\n".join(lines)
