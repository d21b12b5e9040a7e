"""Settings of entries, replicas and the operators' command.

Each field is a flag (`--data-folder`) and an environment variable
(`CATKINPIN_DATA_FOLDER`). All invalid settings are reported together.
"""

from __future__ import annotations

import pathlib
import re
import sys
from typing import Annotated, TypeVar

import pydantic

from catkinpin import exits

_HOST_PORT = re.compile(r"[0-9A-Za-z_.\-\[\]:]+:([0-9]{1,5})")
_MAX_PORT = 65_535


def _validate_address(value: str) -> str:
    match = _HOST_PORT.fullmatch(value)
    if match is None or int(match[1]) > _MAX_PORT:
        raise ValueError("an IP and a port are needed, as in 127.0.0.1:8080")
    return value


Address = Annotated[str, pydantic.AfterValidator(_validate_address)]
OptionalAddress = Annotated[
    str, pydantic.AfterValidator(lambda v: _validate_address(v) if v else v)
]
Milliseconds = Annotated[int, pydantic.Field(gt=0)]

ENV_PREFIX = "CATKINPIN_"
_S = TypeVar("_S", bound=pydantic.BaseModel)


def defaults(kind: type[_S]) -> _S:
    """Returns settings with all defaults.

    Prints the problems and exits if a setting without a default is required.
    """
    try:
        return kind()
    except pydantic.ValidationError as exc:
        print(describe_errors(exc), file=sys.stderr)
        sys.exit(exits.USAGE_ERROR)


def describe_errors(exc: pydantic.ValidationError) -> str:
    """Returns every invalid setting with its flag and variable, one a line."""
    lines = [f"{exc.error_count()} invalid settings:"]
    for problem in exc.errors():
        name = str(problem["loc"][0]) if problem["loc"] else "settings"
        flag = "--" + name.replace("_", "-")
        text = f"  {flag} ({ENV_PREFIX}{name.upper()}): {problem['msg']}"
        lines.append(f"{text}, got {problem.get('input')!r}")
    return "\n".join(lines)


class ProcessSettings(pydantic.BaseModel):
    """Settings that entries and replicas share."""

    model_config = pydantic.ConfigDict(validate_default=True, frozen=True)

    name: str = pydantic.Field(
        default="", description="Name of this process, unique in the system."
    )
    region: str = pydantic.Field(
        default="", description="Region that this host is in."
    )
    failure_domain: str = pydantic.Field(
        default="", description="Failure domain that this host is in."
    )
    peer_listen: Address = pydantic.Field(
        default="127.0.0.1:0",
        description="IP and port for the other catkinpin processes (TCP).",
    )
    peer_advertise: OptionalAddress = pydantic.Field(
        default="",
        description="IP and port at which the other processes reach this one;"
        " empty: peer_listen is used.",
    )
    admin_listen: Address = pydantic.Field(
        default="127.0.0.1:0",
        description="IP and port for health, metrics, servers and operators.",
    )
    trace_file: str = pydantic.Field(
        default="",
        description="File for trace spans, one JSON object per line; empty: no"
        " spans.",
    )
    log_level: str = pydantic.Field(
        default="INFO",
        pattern="^(DEBUG|INFO|WARNING|ERROR)$",
        description="Lowest level of the log records that are written.",
    )
    stop_timeout_ms: Milliseconds = pydantic.Field(
        default=30_000,
        description="Longest wait of a graceful stop for work in flight, in"
        " ms.",
    )


class EntrySettings(ProcessSettings):
    """Settings of `catkinpin-entry`."""

    listen: Address = pydantic.Field(
        default="127.0.0.1:8080", description="IP and port for callers (HTTP)."
    )
    replicas: list[Address] = pydantic.Field(
        default=[],
        min_length=1,
        description="Peer addresses of all replicas.",
    )
    shards: int = pydantic.Field(
        default=1,
        gt=0,
        le=1024,
        description="Number of program shards; the same in all processes.",
    )
    operator_key_sha256: str = pydantic.Field(
        default="",
        pattern="^([0-9a-f]{64})?$",
        description="SHA-256 of the operators' key; empty: no operator calls.",
    )
    max_body_bytes: int = pydantic.Field(
        default=8 * 1024 * 1024,
        gt=0,
        description="Largest request body, in bytes.",
    )
    default_deadline_ms: Milliseconds = pydantic.Field(
        default=120_000,
        description="Deadline of a call that sets none, in ms.",
    )
    progress_timeout_ms: Milliseconds = pydantic.Field(
        default=5_000,
        description="Longest silence of a server before it is asked on a new"
        " connection, in ms.",
    )
    progress_timeout_low_ms: Milliseconds = pydantic.Field(
        default=500,
        description="Lower bound of the silence after which a stream is"
        " checked, however fast its server has been, in ms.",
    )
    first_token_timeout_ms: Milliseconds = pydantic.Field(
        default=30_000,
        description="Longest wait for an engine's first token before the call"
        " is sent elsewhere, in ms.",
    )
    history_cache_bytes: int = pydantic.Field(
        default=32 * 1024 * 1024,
        gt=0,
        description="Size of the cache of histories for other regions'"
        " entries, in bytes.",
    )
    balancer_wait_ms: int = pydantic.Field(
        default=0,
        ge=0,
        description="Time that a stopping entry still accepts new calls after"
        " it reports not ready, so that the balancer notices, in ms.",
    )
    connect_timeout_ms: Milliseconds = pydantic.Field(
        default=1_000,
        description="Longest wait for a connection to a server, in ms.",
    )


class ReplicaSettings(ProcessSettings):
    """Settings of `catkinpin-replica`."""

    snapshot_entries: int = pydantic.Field(
        default=100_000,
        gt=0,
        description="Log records of a group between two of its snapshots.",
    )
    operator_key_sha256: str = pydantic.Field(
        default="",
        pattern="^([0-9a-f]{64})?$",
        description="SHA-256 of the operators' key; empty: no operator calls.",
    )
    data_folder: pathlib.Path = pydantic.Field(
        default=pathlib.Path("data"),
        description="Folder for the log; the process writes nowhere else.",
    )
    replicas: list[Address] = pydantic.Field(
        default=[],
        description="Peer addresses of all replicas, this one included.",
    )
    shards: int = pydantic.Field(
        default=1,
        gt=0,
        le=1024,
        description="Number of program shards; the same in all processes.",
    )


class OperatorSettings(pydantic.BaseModel):
    """Settings of the operator's command `catkinpin`."""

    entry: str = pydantic.Field(
        default="http://127.0.0.1:8081",
        description="Admin address (URL) of any entry.",
    )
    operator_key: str = pydantic.Field(
        default="", description="The operators' key."
    )
    timeout_ms: Milliseconds = pydantic.Field(
        default=10_000, description="Longest wait for an answer, in ms."
    )
