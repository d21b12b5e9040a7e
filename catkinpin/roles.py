"""Settings of gateways, keepers and stores, declared once.

These run on many small hosts. Declared with pydantic like those of the other
processes, they took 10 of each one's 40 MB and a third of the processor time
of its start; msgspec, which checks them here, is loaded for messages anyway.
"""

from __future__ import annotations

import pathlib
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from catkinpin.exceptions import SettingsError

_PORT = r"(6553[0-5]|655[0-2]\d|65[0-4]\d{2}|6[0-4]\d{3}|[1-5]?\d{1,4})"
_ADDRESS = rf"[0-9A-Za-z_.\-\[\]:]+:{_PORT}"

Address = Annotated[str, Meta(pattern=f"^{_ADDRESS}$")]
OptionalAddress = Annotated[str, Meta(pattern=f"^({_ADDRESS})?$")]
Milliseconds = Annotated[int, Meta(gt=0)]
Positive = Annotated[int, Meta(gt=0)]
NotNegative = Annotated[int, Meta(ge=0)]
Fraction = Annotated[float, Meta(ge=0, le=1)]
Seeds = Annotated[list[Address], Meta(min_length=1)]


class RoleSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings that all three have.

    Attributes:
        name: of this process, unique in the system.
        region: that this host stands in.
        failure_domain: that this host stands in.
        peer_listen: IP and port for the other catkinpin processes (TCP).
        metrics_listen: IP and port of the metrics; empty: none.
        seeds: peer addresses of some keepers.
        stop_timeout_ms: longest that a graceful stop takes.

    Raises:
        SettingsError: some are invalid; it lists all of them.
    """

    name: str = ""
    region: str = ""
    failure_domain: str = ""
    peer_listen: Address = "127.0.0.1:0"
    metrics_listen: OptionalAddress = ""
    seeds: Seeds
    stop_timeout_ms: Milliseconds = 7_000

    def __post_init__(self) -> None:
        problems = [
            f"  {field.name}: {problem}, got {value!r}"
            for field in msgspec.structs.fields(self)
            if (problem := _problem(value := getattr(self, field.name), field))
        ]
        if problems:
            count = f"{len(problems)} invalid settings:"
            raise SettingsError("\n".join([count, *problems]))


class KeeperSettings(RoleSettings, frozen=True, kw_only=True):
    """Settings of a keeper.

    Attributes:
        listen: IP and port for servers and operators (HTTP).
        data_folder: the only place that is written.
        first_start: whether the whole system starts for the first time. A
            seed then founds it; without this an empty folder joins.
        snapshot_entries: records of the log between two snapshots.
        copies: hosts that hold each turn's bytes: one more than disks that
            may be lost at once.
        silent_server_ms: a server that announced nothing for so long is gone.
        quota_window_ms: span in which an account's quota must hold.
        quota_overage: part of a quota that such a span may hold beyond it.
        quota_slack: requests that such a span may hold besides.
    """

    listen: Address = "127.0.0.1:8082"
    data_folder: pathlib.Path = pathlib.Path("data")
    first_start: bool = False
    snapshot_entries: Positive = 5_000
    copies: Positive = 2
    silent_server_ms: Milliseconds = 15_000
    quota_window_ms: Milliseconds = 5_000
    quota_overage: Fraction = 0.0
    quota_slack: NotNegative = 0


class StoreSettings(RoleSettings, frozen=True, kw_only=True):
    """Settings of a store.

    Attributes:
        data_folder: the only place that is written.
    """

    data_folder: pathlib.Path = pathlib.Path("data")


class GatewaySettings(RoleSettings, frozen=True, kw_only=True):
    """Settings of a gateway.

    Attributes:
        listen: IP and port for callers (HTTP).
        ready_listen: IP and port at which the balancer asks for readiness.
        balancer_wait_ms: how long a stopping gateway still takes new calls
            after its readiness went down, so that the balancer notices.
        copies: hosts that hold each turn's bytes: one more than disks that
            may be lost at once.
        cache_bytes: of turns, kept in memory for those that follow.
        gateways_expected: that share each server's connections, until the
            keepers tell how many there are.
    """

    listen: Address = "127.0.0.1:8080"
    ready_listen: Address = "127.0.0.1:8081"
    balancer_wait_ms: NotNegative = 3_000
    copies: Positive = 2
    cache_bytes: NotNegative = 8 * 1024 * 1024
    gateways_expected: Positive = 9


def _problem(value: Any, field: msgspec.structs.FieldInfo) -> str:
    """Returns what is wrong with a setting, or an empty string."""
    if field.type is pathlib.Path:
        return "" if isinstance(value, pathlib.Path) else "no path"
    try:
        msgspec.convert(value, field.type)
    except msgspec.ValidationError as exc:
        return str(exc)
    return ""
