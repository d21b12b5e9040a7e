"""Settings of gateways, keepers and stores.

These processes run on many small hosts. The settings of the other processes
use pydantic, which took 10 of the 40 MB of each process and a third of the
CPU time of its start. These use msgspec, which is loaded for messages anyway.
"""

from __future__ import annotations

import pathlib
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from catkinpin.core.tolerance import Tolerance, tolerance_of
from catkinpin.exceptions import SettingsError

# `[0-9]`, as `\d` matches digits of all alphabets.
_PORT_PATTERN = (
    r"(6553[0-5]|655[0-2][0-9]|65[0-4][0-9]{2}|6[0-4][0-9]{3}"
    r"|[1-5]?[0-9]{1,4})"
)
_ADDRESS_PATTERN = rf"[0-9A-Za-z_.\-\[\]:]+:{_PORT_PATTERN}"

Address = Annotated[str, Meta(pattern=f"^{_ADDRESS_PATTERN}$")]
OptionalAddress = Annotated[str, Meta(pattern=f"^({_ADDRESS_PATTERN})?$")]
Milliseconds = Annotated[int, Meta(gt=0)]
PositiveInt = Annotated[int, Meta(gt=0)]
NonNegativeInt = Annotated[int, Meta(ge=0)]
Fraction = Annotated[float, Meta(ge=0, le=1)]
PositiveFloat = Annotated[float, Meta(gt=0)]
Seeds = Annotated[list[Address], Meta(min_length=1)]


class ReloadedSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings that may change while a process runs.

    Attributes:
        seeds: peer addresses of some keepers.
        tolerance: losses that stored data must survive.
    """

    seeds: list[str]
    tolerance: Tolerance = Tolerance()


class RoleSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings that gateways, keepers and stores share.

    Attributes:
        name: name of this process, unique in the system.
        region: region that this host is in.
        failure_domain: failure domain that this host is in.
        peer_listen: IP and port for the other catkinpin processes (TCP).
        metrics_listen: IP and port of the metrics; empty: no metrics.
        seeds: peer addresses of some keepers.
        stop_timeout_ms: longest duration of a graceful stop.

    Raises:
        SettingsError: settings are invalid; the text lists all of them.
    """

    name: str = ""
    region: str = ""
    failure_domain: str = ""
    peer_listen: Address = "127.0.0.1:0"
    metrics_listen: OptionalAddress = ""
    seeds: Seeds
    stop_timeout_ms: Milliseconds = 7_000

    @property
    def tolerance(self) -> Tolerance:
        """Losses that stored data must survive; none for most roles."""
        return Tolerance()

    def __post_init__(self) -> None:
        problems = [
            f"  {field.name}: {problem}, got {value!r}"
            for field in msgspec.structs.fields(self)
            if (
                problem := _find_problem(
                    value := getattr(self, field.name), field
                )
            )
        ]
        if problems:
            count = f"{len(problems)} invalid settings:"
            raise SettingsError("\n".join([count, *problems]))


class PlacingSettings(RoleSettings, frozen=True, kw_only=True):
    """Settings of processes that choose where turns are stored.

    Attributes:
        copies: number of hosts that store each turn: one more than the hosts,
            failure domains or regions that may be lost at once.
        tolerated_domains: failure domains that may be lost at once.
        tolerated_regions: regions that may be lost at once.
    """

    copies: PositiveInt = 2
    tolerated_domains: NonNegativeInt = 0
    tolerated_regions: NonNegativeInt = 0

    @property
    def tolerance(self) -> Tolerance:
        """Losses that stored data must survive."""
        return tolerance_of(
            hosts=self.copies - 1,
            domains=self.tolerated_domains,
            regions=self.tolerated_regions,
        )


class KeeperSettings(PlacingSettings, frozen=True, kw_only=True):
    """Settings of a keeper.

    Attributes:
        listen: IP and port for servers and operators (HTTP).
        data_folder: the only folder that the process writes to.
        first_start: whether the whole system starts for the first time. If
            so, a seed founds it; if not, a keeper with an empty folder joins.
        snapshot_entries: log records between two snapshots.
        silent_server_ms: time without an announcement after which a server
            counts as gone.
        catch_up_ms: time after which the next host may be lost once a lost one
            is back or its successor has started.
        quota_window_ms: time window in which an account's quota must hold.
        quota_overage: share of a quota that may be used beyond it in a window.
        quota_slack: requests that may be made beyond that in a window.
        contended_capacity: whether callers compete for the servers' capacity,
            so that the leader admits programs by what the servers can finish.
        account_weights: weight of a client account's share of contended
            capacity; 1 for accounts that are not listed.
    """

    listen: Address = "127.0.0.1:8082"
    data_folder: pathlib.Path = pathlib.Path("data")
    first_start: bool = False
    snapshot_entries: PositiveInt = 5_000
    silent_server_ms: Milliseconds = 15_000
    catch_up_ms: Milliseconds = 15_000
    quota_window_ms: Milliseconds = 5_000
    quota_overage: Fraction = 0.0
    quota_slack: NonNegativeInt = 0
    contended_capacity: bool = False
    account_weights: dict[str, PositiveFloat] = {}


class StoreSettings(RoleSettings, frozen=True, kw_only=True):
    """Settings of a store.

    Attributes:
        data_folder: the only folder that the process writes to.
    """

    data_folder: pathlib.Path = pathlib.Path("data")


class GatewaySettings(PlacingSettings, frozen=True, kw_only=True):
    """Settings of a gateway.

    Attributes:
        listen: IP and port for callers (HTTP).
        ready_listen: IP and port at which the balancer checks readiness.
        balancer_wait_ms: time that a stopping gateway still accepts new calls
            after it reports not ready, so that the balancer notices.
        cache_bytes: size of the memory cache of turns, for the turns that
            continue them.
        gateways_expected: number of gateways assumed to share each server's
            connections until the keepers report the number.
        contended_capacity: whether callers compete for the servers' capacity.
        max_routes_age_ms: time after which a change of the routes must be in
            force everywhere. A gateway that doesn't know for this long whether
            its routes are the current ones serves nothing.
    """

    listen: Address = "127.0.0.1:8080"
    ready_listen: Address = "127.0.0.1:8081"
    balancer_wait_ms: NonNegativeInt = 3_000
    cache_bytes: NonNegativeInt = 8 * 1024 * 1024
    gateways_expected: PositiveInt = 9
    contended_capacity: bool = False
    max_routes_age_ms: PositiveInt = 2_500


def _find_problem(value: Any, field: msgspec.structs.FieldInfo) -> str:
    """Returns why a setting is invalid, or an empty string."""
    if field.type is pathlib.Path:
        return "" if isinstance(value, pathlib.Path) else "no path"
    try:
        msgspec.convert(value, field.type)
    except msgspec.ValidationError as exc:
        return str(exc)
    return ""
