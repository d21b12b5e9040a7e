"""Measures the overhead of calls that go through entries and replicas.

Starts real processes on loopback and calls fake servers alternately directly
and through an entry. Prints the added latency as ratios within the run, the
processor time per call in each process, and idle memory and threads.
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
_PROMPT_TEXT = (
    "Which cantonal and federal calls fit a sports club in Zug? " * 20
)
_WORKER_COUNT = 32
_program_numbers = itertools.count()


def read_cpu_s(pid: int) -> float:
    """Returns the processor time that a process has used, in seconds."""
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _CLOCK_TICKS


def read_memory_and_threads(pid: int) -> tuple[float, int]:
    """Returns a process's resident memory in MB and its number of threads."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    fields = dict(line.split(":", 1) for line in status.splitlines())
    return int(fields["VmRSS"].split()[0]) / 1024, int(fields["Threads"])


async def stream(cluster: base.Cluster, url: str) -> tuple[float, float]:
    """Streams an answer; returns the seconds to its first token and its end.

    Each call belongs to a new program, so that no prefix is cached on either
    path.
    """
    headers = {
        "Authorization": f"Bearer {base.ACCOUNT_KEYS['ruegg']}",
        "Catkinpin-Program": f"bench-{next(_program_numbers)}",
    }
    body = {
        "model": "berater",
        "messages": [base.user(_PROMPT_TEXT)],
        "stream": True,
        "max_tokens": 64,
    }
    start_s = time.perf_counter()
    first_token_s = 0.0
    async with cluster.http.post(
        url + "/v1/chat/completions", json=body, headers=headers
    ) as resp:
        async for line in resp.content:
            if not first_token_s and b'"content"' in line:
                first_token_s = time.perf_counter() - start_s
    return first_token_s, time.perf_counter() - start_s


def _quantiles(values: list[float]) -> tuple[float, float]:
    ordered = sorted(values)
    return statistics.median(ordered), ordered[int(len(ordered) * 0.95)]


async def compare_latencies(cluster: base.Cluster, calls: int) -> None:
    """Compares direct calls with calls through entries, made alternately."""
    urls_by_path = {"direct": cluster.addresses["engine-1"]}
    urls_by_path |= {
        name: cluster.addresses[name] for name in ("entry-1", "entry-2")
    }
    timings: dict[str, list[tuple[float, float]]] = {
        path: [] for path in urls_by_path
    }
    for _ in range(calls):
        for path, url in urls_by_path.items():
            timings[path].append(await stream(cluster, url))
    direct_quantiles = [
        _quantiles([r[part] for r in timings["direct"]]) for part in (0, 1)
    ]
    print("way      part        median ms  p95 ms  ratio of medians, of p95")
    for path in urls_by_path:
        for part, name in enumerate(("first token", "whole")):
            median, p95 = _quantiles([r[part] for r in timings[path]])
            ratios = (
                median / direct_quantiles[part][0],
                p95 / direct_quantiles[part][1],
            )
            print(
                f"{path:8} {name:11} {median * 1e3:9.2f} {p95 * 1e3:7.2f}"
                f"  {ratios[0]:.2f} {ratios[1]:.2f}"
            )


async def measure_load(
    cluster: base.Cluster,
    seconds: float,
    make_call: Callable[[], Awaitable[Any]],
) -> None:
    """Makes calls from many workers and prints each process's time per call."""
    names = [n for n in cluster.processes if n.startswith(("entry", "replica"))]
    pids = {name: cluster.processes[name].pid for name in names}
    before = {name: read_cpu_s(pid) for name, pid in pids.items()}
    start_s = time.perf_counter()
    call_count = 0

    async def worker() -> None:
        nonlocal call_count
        while time.perf_counter() - start_s < seconds:
            await make_call()
            call_count += 1

    await asyncio.gather(*(worker() for _ in range(_WORKER_COUNT)))
    elapsed_s = time.perf_counter() - start_s
    print(f"  {call_count / elapsed_s:.0f} calls/s")
    for name, pid in pids.items():
        used_s = read_cpu_s(pid) - before[name]
        if used_s / elapsed_s > 0.05:
            print(
                f"  {name}: {used_s / call_count * 1e3:.2f} ms a call, so"
                f" {call_count / used_s:.0f} calls/s a core;"
                f" busy {used_s / elapsed_s:.0%}"
            )


async def measure_link_bytes(cluster: base.Cluster, calls: int) -> None:
    """Prints the bytes that a relayed stream sends on the entries' link."""
    before = await _read_link_bytes(cluster)
    for _ in range(calls):
        await stream(cluster, cluster.addresses["entry-2"])
    after = await _read_link_bytes(cluster)
    print("bytes a stream of 20 tokens on the link between entries:")
    for name, value in after.items():
        print(f"  {name}: {(value - before.get(name, 0)) / calls:.0f}")


async def _read_link_bytes(cluster: base.Cluster) -> dict[str, float]:
    bytes_by_label: dict[str, float] = {}
    for name in ("entry-1", "entry-2"):
        url = f"http://{cluster.admin[name]}/metrics"
        async with cluster.http.get(url) as resp:
            lines = (await resp.text()).splitlines()
        for line in lines:
            if line.startswith("catkinpin_peer_") and 'link="entry-e' in line:
                label, _, value = line.rpartition(" ")
                if "_bytes_total" in label:
                    bytes_by_label[f"{name} {label[15:]}"] = float(value)
    return bytes_by_label


async def run_all(args: argparse.Namespace, folder: pathlib.Path) -> None:
    """Runs all measurements on one cluster."""
    async with base.Cluster(folder) as cluster:
        cluster.add_replicas(args.replicas)
        cluster.add_entry("entry-1", region="a", **_trace_options(args, folder))
        cluster.add_entry("entry-2", region="b", **_trace_options(args, folder))
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
                memory, threads = read_memory_and_threads(process.pid)
                print(f"  {name}: {memory:.0f} MB, {threads} threads")
        print(f"  catkinpin --help: {_measure_cli_mb():.0f} MB at its peak")
        await compare_latencies(cluster, args.calls)
        await measure_link_bytes(cluster, args.calls)
        if args.seconds:
            await measure_loads(cluster, args.seconds)


async def measure_loads(cluster: base.Cluster, seconds: float) -> None:
    """Measures throughput of service calls and of local and relayed streams."""
    print("service calls through entry-1:")
    await measure_load(
        cluster,
        seconds,
        lambda: cluster.call_service("entry-1", "kiosk-app", "x", "y"),
    )
    for entry in ("entry-1", "entry-2"):
        url = cluster.addresses[entry]
        print(f"streams of 20 tokens through {entry}:")
        await measure_load(
            cluster, seconds, functools.partial(stream, cluster, url)
        )


def _trace_options(
    args: argparse.Namespace, folder: pathlib.Path
) -> dict[str, Any]:
    return {} if args.spans else {"trace_file": ""}


def _measure_cli_mb() -> float:
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
    """Runs the benchmark in a temporary folder."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--calls", type=int, default=100)
    parser.add_argument("--seconds", type=float, default=4)
    parser.add_argument("--replicas", type=int, default=1)
    parser.add_argument("--spans", action="store_true")
    args = parser.parse_args()
    folder = pathlib.Path(tempfile.mkdtemp(prefix="catkinpin-bench-"))
    try:
        uvloop.run(asyncio.wait_for(run_all(args, folder), 120))
    finally:
        shutil.rmtree(folder, ignore_errors=True)


if __name__ == "__main__":
    main()
