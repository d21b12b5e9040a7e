"""What the path through our processes costs a call.

Starts real processes on loopback, calls the fake servers directly and through
an entry by turns, and prints the added latency as ratios of the same run, the
processor time of a call in each process, and idle memory and threads.
"""

from __future__ import annotations

import argparse
import asyncio
import functools
import itertools
import os
import pathlib
import shutil
import statistics
import subprocess
import sys
import tempfile
import time
from typing import TYPE_CHECKING, Any

import uvloop

from tests import base

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

_CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
_PROMPT = "Which cantonal and federal calls fit a sports club in Zug? " * 20
_WORKERS = 32
_programs = itertools.count()


def cpu_s(pid: int) -> float:
    """Returns the processor time that a process has used, in seconds."""
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _CLOCK_TICKS


def idle(pid: int) -> tuple[float, int]:
    """Returns a process's resident memory in MB and its threads."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    fields = dict(line.split(":", 1) for line in status.splitlines())
    return int(fields["VmRSS"].split()[0]) / 1024, int(fields["Threads"])


async def stream(cluster: base.Cluster, url: str) -> tuple[float, float]:
    """Streams an answer; returns seconds to its first token and its end.

    Each call is a program of its own, so that no prefix is cached either way.
    """
    headers = {
        "Authorization": f"Bearer {base.ACCOUNT_KEYS['ruegg']}",
        "Catkinpin-Program": f"bench-{next(_programs)}",
    }
    body = {
        "model": "berater",
        "messages": [base.user(_PROMPT)],
        "stream": True,
        "max_tokens": 64,
    }
    began = time.perf_counter()
    first = 0.0
    async with cluster.http.post(
        url + "/v1/chat/completions", json=body, headers=headers
    ) as resp:
        async for line in resp.content:
            if not first and b'"content"' in line:
                first = time.perf_counter() - began
    return first, time.perf_counter() - began


def _quantiles(values: list[float]) -> tuple[float, float]:
    ordered = sorted(values)
    return statistics.median(ordered), ordered[int(len(ordered) * 0.95)]


async def latency(cluster: base.Cluster, calls: int) -> None:
    """Compares direct calls with calls through entries, by turns."""
    ways = {"direct": cluster.addresses["engine-1"]}
    ways |= {name: cluster.addresses[name] for name in ("entry-1", "entry-2")}
    seen: dict[str, list[tuple[float, float]]] = {way: [] for way in ways}
    for _ in range(calls):
        for way, url in ways.items():
            seen[way].append(await stream(cluster, url))
    base_line = [
        _quantiles([r[part] for r in seen["direct"]]) for part in (0, 1)
    ]
    print("way      part        median ms  p95 ms  ratio of medians, of p95")
    for way in ways:
        for part, name in enumerate(("first token", "whole")):
            median, p95 = _quantiles([r[part] for r in seen[way]])
            ratios = (median / base_line[part][0], p95 / base_line[part][1])
            print(
                f"{way:8} {name:11} {median * 1e3:9.2f} {p95 * 1e3:7.2f}"
                f"  {ratios[0]:.2f} {ratios[1]:.2f}"
            )


async def load(
    cluster: base.Cluster, seconds: float, one: Callable[[], Awaitable[Any]]
) -> None:
    """Calls with many workers; prints each process's time per call."""
    names = [n for n in cluster.processes if n.startswith(("entry", "replica"))]
    pids = {name: cluster.processes[name].pid for name in names}
    before = {name: cpu_s(pid) for name, pid in pids.items()}
    began = time.perf_counter()
    done = 0

    async def worker() -> None:
        nonlocal done
        while time.perf_counter() - began < seconds:
            await one()
            done += 1

    await asyncio.gather(*(worker() for _ in range(_WORKERS)))
    took = time.perf_counter() - began
    print(f"  {done / took:.0f} calls/s")
    for name, pid in pids.items():
        used = cpu_s(pid) - before[name]
        if used / took > 0.05:
            print(
                f"  {name}: {used / done * 1e3:.2f} ms a call, so"
                f" {done / used:.0f} calls/s a core; busy {used / took:.0%}"
            )


async def link_bytes(cluster: base.Cluster, calls: int) -> None:
    """Prints the bytes that a relayed stream costs the entries' link."""
    before = await _sent(cluster)
    for _ in range(calls):
        await stream(cluster, cluster.addresses["entry-2"])
    after = await _sent(cluster)
    print("bytes a stream of 20 tokens on the link between entries:")
    for name, value in after.items():
        print(f"  {name}: {(value - before.get(name, 0)) / calls:.0f}")


async def _sent(cluster: base.Cluster) -> dict[str, float]:
    found: dict[str, float] = {}
    for name in ("entry-1", "entry-2"):
        url = f"http://{cluster.admin[name]}/metrics"
        async with cluster.http.get(url) as resp:
            lines = (await resp.text()).splitlines()
        for line in lines:
            if line.startswith("catkinpin_peer_") and 'link="entry-e' in line:
                label, _, value = line.rpartition(" ")
                if "_bytes_total" in label:
                    found[f"{name} {label[15:]}"] = float(value)
    return found


async def run(args: argparse.Namespace, folder: pathlib.Path) -> None:
    """Runs all parts on one cluster."""
    async with base.Cluster(folder) as cluster:
        cluster.add_replicas(args.replicas)
        cluster.add_entry("entry-1", region="a", **_spans(args, folder))
        cluster.add_entry("entry-2", region="b", **_spans(args, folder))
        cluster.add_fake(
            "engine", "engine-1", region="a", capacity=256, cache_tokens=10**7
        )
        cluster.add_fake("service", "service-1", region="a", capacity=256)
        await cluster.apply(base.config(budget=10**9))
        for name in ("entry-1", "entry-2"):
            await cluster.ready(name)
        await cluster.serving("entry-1", "berater", "model")
        await cluster.serving("entry-1", "kiosk-app", "service")
        print("idle:")
        for name, process in cluster.processes.items():
            if name.startswith(("entry", "replica")):
                memory, threads = idle(process.pid)
                print(f"  {name}: {memory:.0f} MB, {threads} threads")
        print(f"  catkinpin --help: {_operator_mb():.0f} MB at its peak")
        await latency(cluster, args.calls)
        await link_bytes(cluster, args.calls)
        if args.seconds:
            await loads(cluster, args.seconds)


async def loads(cluster: base.Cluster, seconds: float) -> None:
    """Measures the throughput of service calls, streams and relayed ones."""
    print("service calls through entry-1:")
    await load(
        cluster,
        seconds,
        lambda: cluster.call_service("entry-1", "kiosk-app", "x", "y"),
    )
    for entry in ("entry-1", "entry-2"):
        url = cluster.addresses[entry]
        print(f"streams of 20 tokens through {entry}:")
        await load(cluster, seconds, functools.partial(stream, cluster, url))


def _spans(args: argparse.Namespace, folder: pathlib.Path) -> dict[str, Any]:
    return {} if args.spans else {"trace_file": ""}


def _operator_mb() -> float:
    code = (
        "import resource, sys, runpy; sys.argv = ['catkinpin', '--help']\n"
        "try: runpy.run_module('catkinpin', run_name='__main__')\n"
        "except SystemExit: pass\n"
        "print(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss)"
    )
    out = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, check=True
    )
    return int(out.stdout.split()[-1]) / 1024


def main() -> None:
    """Runs the bench."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--calls", type=int, default=100)
    parser.add_argument("--seconds", type=float, default=4)
    parser.add_argument("--replicas", type=int, default=1)
    parser.add_argument("--spans", action="store_true")
    args = parser.parse_args()
    folder = pathlib.Path(tempfile.mkdtemp(prefix="catkinpin-bench-"))
    try:
        uvloop.run(asyncio.wait_for(run(args, folder), 120))
    finally:
        shutil.rmtree(folder, ignore_errors=True)


if __name__ == "__main__":
    main()
