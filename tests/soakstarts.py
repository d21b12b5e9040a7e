"""Faults during starts, for the soak."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import subprocess

    from tests.fakes.deployment import Deployment

_MAX_SERIES = 12
_MAX_GAP_S = 0.08
_MAX_START_DELAY_S = 2.0
_STOP_TIMEOUT_S = 9.0
_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
# Shares of the series that end with a stop signal, and that go on after it.
_STOP_SHARE = 0.5
_GO_ON_SHARE = 0.5


def draw_starts(names: list[str], rng: random.Random) -> dict[str, float]:
    """Returns the hosts in the order of their first starts.

    Args:
        names: names of the hosts.
        rng: source of the draw.

    Returns:
        For each host, the time before its start in s, counted from the start
        of the one before.
    """
    order = rng.sample(names, len(names))
    late = rng.choice(order)
    return {
        name: rng.uniform(0.0, _MAX_START_DELAY_S if name == late else 0.2)
        for name in order
    }


async def send_series(
    process: subprocess.Popen[bytes], rng: random.Random
) -> list[signal.Signals]:
    """Sends reload signals, and in some series a stop among them.

    Returns:
        The signals that were sent.
    """
    series = [signal.SIGHUP] * rng.randint(1, _MAX_SERIES)
    if rng.random() < _STOP_SHARE:
        series.append(rng.choice(_STOP_SIGNALS))
        if rng.random() < _GO_ON_SHARE:
            series += [signal.SIGHUP] * rng.randint(1, _MAX_SERIES)
    for number in series:
        await asyncio.sleep(rng.uniform(0.0, _MAX_GAP_S))
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(number)
    return series


async def wait_for_end(
    process: subprocess.Popen[bytes], series: list[signal.Signals]
) -> int | None:
    """Returns the exit code; None if the process goes on, as it should.

    Raises:
        subprocess.TimeoutExpired: a stop signal was sent, and it still runs.
    """
    if any(number in _STOP_SIGNALS for number in series):
        return await asyncio.to_thread(process.wait, _STOP_TIMEOUT_S)
    return process.poll()


async def inject_faults(deployment: Deployment, seed: int) -> list[str]:
    """Kills one or all keepers at a time while the system is founded."""
    rng = random.Random(seed)
    keepers = [h.name for h in deployment.hosts.values() if h.role == "keeper"]
    wiped = ""
    faults = []
    for _ in range(rng.randint(1, 4)):
        await asyncio.sleep(rng.uniform(0.0, 0.4))
        ended = rng.choice([[rng.choice(keepers)], keepers])
        if not wiped and rng.random() < 0.3:
            wiped = rng.choice(ended)
        for name in ended:
            deployment.kill(name)
        if wiped in ended:
            deployment.wipe(wiped)
        await asyncio.sleep(rng.uniform(0.0, 0.3))
        for name in ended:
            deployment.start(name)
        faults.append(f"first start: end {','.join(ended)}, wiped {wiped}")
    return faults
