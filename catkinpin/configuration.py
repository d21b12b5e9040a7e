"""Parses and validates the operators' configuration, in TOML or JSON."""

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
_MAX_SHOWN_CHARS = 80

Name = Annotated[
    str, pydantic.Field(pattern=r"^[0-9A-Za-z_.@-][0-9A-Za-z_.@/: -]{0,199}$")
]
Names = Annotated[list[Name], pydantic.Field(max_length=10_000)]


class _StrictModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class LimitsModel(_StrictModel):
    """Limits in the configuration file; see `deployments.Limits`."""

    calls_running: int = pydantic.Field(default=0, ge=0, le=1_000_000)
    calls_per_second: float = pydantic.Field(
        default=0.0, ge=0, le=1_000_000, allow_inf_nan=False
    )
    queue: int = pydantic.Field(default=0, ge=0, le=1_000_000)


class AccountModel(_StrictModel):
    """An account in the configuration file."""

    name: Name
    key_sha256: str = pydantic.Field(pattern="^[0-9a-f]{64}$")
    limits: LimitsModel = LimitsModel()


class ServerSetModel(_StrictModel):
    """A set of backend servers in the configuration file."""

    names: Names = []
    failure_domains: Names = []
    regions: Names = []
    off: Names = []


class DeploymentModel(_StrictModel):
    """A deployment in the configuration file; see `deployments.Deployment`."""

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


class _ConfigurationFile(_StrictModel):
    accounts: list[AccountModel] = []
    deployments: list[DeploymentModel] = []


def key_digest(key: str) -> str:
    """Returns the SHA-256 of an API key in hex, the form that is stored."""
    return hashlib.sha256(key.encode()).hexdigest()


def parse(content: bytes) -> Configuration:
    """Returns the configuration in `content`, which is TOML or JSON.

    Raises:
        BadRequestError: `content` is invalid; the text lists every invalid
            field with its value and the allowed values, one per line.
    """
    data = _decode(content)
    problems = []
    try:
        file = _ConfigurationFile.model_validate(data)
    except pydantic.ValidationError as exc:
        problems.append(describe_errors(exc))
    problems += _cross_field_problems(data)
    if problems:
        raise BadRequestError("configuration", "\n".join(problems))
    accounts = [_to_account(model) for model in file.accounts]
    return Configuration([*accounts, *map(_to_deployment, file.deployments)])


def _decode(content: bytes) -> dict[str, Any]:
    try:
        text = content.decode()
        if text.lstrip().startswith("{"):
            return dict(json.loads(text))
        return tomllib.loads(text)
    except (ValueError, RecursionError) as exc:
        text = f"neither TOML nor JSON: {exc}"
        raise BadRequestError("configuration", text) from exc


def _to_account(model: AccountModel) -> deployments.Account:
    limits = deployments.Limits(**model.limits.model_dump())
    return deployments.Account(
        name=model.name, key_sha256=model.key_sha256, limits=limits
    )


def _to_deployment(model: DeploymentModel) -> deployments.Deployment:
    fields = model.model_dump()
    fields["limits"] = deployments.Limits(**fields["limits"])
    fields["servers"] = deployments.ServerSet(**fields["servers"])
    return deployments.Deployment(**fields)


def _cross_field_problems(data: dict[str, Any]) -> list[str]:
    """Returns the problems that involve several fields.

    Malformed fields are skipped, because `data` may be invalid.
    """
    accounts = _as_dicts(data.get("accounts"))
    deployment_items = _as_dicts(data.get("deployments"))
    problems = [
        *_duplicates("accounts", "name", accounts),
        *_duplicates("accounts", "key_sha256", accounts),
        *_duplicates("deployments", "name", deployment_items),
    ]
    account_names = {str(account.get("name")) for account in accounts}
    for index, deployment in enumerate(deployment_items):
        for name in _only_strings(deployment.get("accounts")):
            if name not in account_names:
                problems.append(
                    f"deployments.{index}.accounts: an account of this"
                    f" configuration is allowed, got {name!r}"
                )
        targets = _only_strings(deployment.get("targets"))
        versions = deployment.get("versions")
        for target in versions if isinstance(versions, dict) else ():
            if target not in targets:
                problems.append(
                    f"deployments.{index}.versions: a target of this"
                    f" deployment is allowed, got {target!r}"
                )
    return problems


def _as_dicts(value: Any) -> list[dict[str, Any]]:
    items = value if isinstance(value, list) else []
    return [item if isinstance(item, dict) else {} for item in items]


def _only_strings(value: Any) -> list[str]:
    items = value if isinstance(value, list) else []
    return [item for item in items if isinstance(item, str)]


def _duplicates(
    kind: str, field: str, items: list[dict[str, Any]]
) -> list[str]:
    """Returns a problem for each item that repeats another's `field` value."""
    problems = []
    first_index: dict[str, int] = {}
    for index, item in enumerate(items):
        value = item.get(field)
        if not isinstance(value, str):
            continue
        if value in first_index:
            problems.append(
                f"{kind}.{index}.{field}: a value that no other has is"
                f" allowed, got that of {kind}.{first_index[value]}: {value!r}"
            )
        first_index.setdefault(value, index)
    return problems


def describe_errors(exc: pydantic.ValidationError) -> str:
    """Returns every error of a failed validation, one per line."""
    lines = []
    for problem in exc.errors():
        field = ".".join(str(part) for part in problem["loc"]) or "(whole)"
        value = repr(problem.get("input"))
        if len(value) > _MAX_SHOWN_CHARS:
            value = value[:_MAX_SHOWN_CHARS] + "..."
        lines.append(f"{field}: {problem['msg']}, got {value}")
    return "\n".join(lines)
