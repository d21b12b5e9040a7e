"""The operators' configuration: validated as a whole at the border."""

from __future__ import annotations

import hashlib
import tomllib

import pydantic

from catkinpin.exceptions import BadRequestError


class Account(pydantic.BaseModel):
    """A caller's account.

    Attributes:
        key_sha256: SHA-256 of the account's API key, in hex; the key itself is
            nowhere stored.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    name: str = pydantic.Field(min_length=1, max_length=200)
    key_sha256: str = pydantic.Field(pattern="^[0-9a-f]{64}$")


class Deployment(pydantic.BaseModel):
    """Which models and services programs may use, and at what price.

    Attributes:
        targets: names of models and services.
        budget_tokens: tokens that one program with its sub-agents may spend.
        priority: higher goes first.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    name: str = pydantic.Field(min_length=1, max_length=200)
    targets: list[str] = pydantic.Field(min_length=1)
    accounts: list[str] = pydantic.Field(default=[])
    budget_tokens: int = pydantic.Field(default=1_000_000, gt=0)
    priority: int = pydantic.Field(default=0, ge=0, le=100)


class Configuration(pydantic.BaseModel):
    """Everything operators decide."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    accounts: list[Account] = []
    deployments: list[Deployment] = []

    @pydantic.model_validator(mode="after")
    def _names_are_unique_and_known(self) -> Configuration:
        problems = []
        names = [account.name for account in self.accounts]
        for name in {name for name in names if names.count(name) > 1}:
            problems.append(f"accounts: {name!r} stands twice")
        for deployment in self.deployments:
            for account in deployment.accounts:
                if account not in names:
                    problems.append(
                        f"deployments: {deployment.name!r} names the unknown"
                        f" account {account!r}"
                    )
        if problems:
            raise ValueError("; ".join(problems))
        return self

    def deployment_for(self, account: str, target: str) -> Deployment | None:
        """Returns the deployment that lets `account` use `target`."""
        for deployment in self.deployments:
            allowed = not deployment.accounts or account in deployment.accounts
            if allowed and target in deployment.targets:
                return deployment
        return None


def key_digest(key: str) -> str:
    """Returns the stored form of an API key."""
    return hashlib.sha256(key.encode()).hexdigest()


def parse(content: bytes) -> Configuration:
    """Returns the configuration in `content`, which is TOML or JSON.

    Raises:
        BadRequestError: naming every field at fault.
    """
    try:
        if content.lstrip().startswith(b"{"):
            return Configuration.model_validate_json(content)
        text = content.decode()
        return Configuration.model_validate(tomllib.loads(text))
    except pydantic.ValidationError as exc:
        raise BadRequestError("configuration", describe(exc)) from exc
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as exc:
        raise BadRequestError("configuration", str(exc)) from exc


def describe(exc: pydantic.ValidationError) -> str:
    """Returns every problem of a failed validation, one a line."""
    lines = []
    for problem in exc.errors():
        place = ".".join(str(part) for part in problem["loc"]) or "(whole)"
        value = problem.get("input")
        shown = f", got {value!r}" if isinstance(value, str | int) else ""
        lines.append(f"{place}: {problem['msg']}{shown}")
    return "\n".join(lines)
