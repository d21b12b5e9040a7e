"""Measures the replicated log with three replica processes.

    python -m bench.logbench [commit|failover|recovery|idle|sync ...]

Prints a JSON line per result. Each part takes at most about a minute.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import pathlib
import random
import resource
import shutil
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from typing import TYPE_CHECKING, Any

import uvloop

from catkinpin.adapters.disk.storage import Storage
from catkinpin.core.consensus.core import Core
from catkinpin.core.consensus.messages import (
    Entry,
    EntryKind,
    Member,
    Members,
)
from tests import ports
from tests.fakes.lognode import LogNode

if TYPE_CHECKING:
    from collections.abc import Callable

_PAYLOAD_BYTES = 500
_LOAD_DURATION_S = 3.0
_SYNC_COUNT = 1_000
_IDLE_DURATION_S = 5.0
_ROUND_COUNT = 8
_ROOT = pathlib.Path(__file__).resolve().parent.parent


def _print_result(part: str, **figures: Any) -> None:
    rounded = {
        name: round(value, 3) if isinstance(value, float) else value
        for name, value in figures.items()
    }
    print(json.dumps({"part": part, **rounded}), flush=True)


def _quantiles(seconds: list[float]) -> dict[str, float]:
    percentiles = statistics.quantiles(seconds, n=100)
    return {"p50_ms": percentiles[49] * 1000, "p99_ms": percentiles[98] * 1000}


class ReplicaProcess:
    """A replica process that answers JSON requests, one per line."""

    def __init__(
        self, folder: pathlib.Path, replica_index: int, ports: str, n: int
    ):
        command = [sys.executable, "-m", "bench.logbench", "child"]
        command += [
            str(folder / str(replica_index)),
            str(replica_index),
            ports,
            str(n),
        ]
        self.process = subprocess.Popen(
            command,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
            cwd=_ROOT,
        )

    def request(self, **request: Any) -> Any:
        """Sends a request and returns the answer."""
        assert self.process.stdin is not None
        assert self.process.stdout is not None
        print(json.dumps(request), file=self.process.stdin, flush=True)
        return json.loads(self.process.stdout.readline())

    def kill(self) -> None:
        """Kills the process."""
        self.process.kill()
        self.process.wait()


class ReplicaCluster:
    """Three replica processes with a common folder."""

    def __init__(self, groups: int = 1) -> None:
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="logbench-"))
        self.groups = groups
        self.ports = ",".join(map(str, ports.free_ports(3)))
        self.replicas = [
            self.start_replica(replica_index) for replica_index in range(3)
        ]

    def start_replica(self, replica_index: int) -> ReplicaProcess:
        """Starts or restarts the replica process with the given index."""
        return ReplicaProcess(
            self.folder, replica_index, self.ports, self.groups
        )

    def leader(self, excluded: ReplicaProcess | None = None) -> ReplicaProcess:
        """Waits until a replica other than `excluded` leads, and returns it."""
        while True:
            for replica in self.replicas:
                if replica is not excluded and replica.request(do="leads"):
                    return replica
            time.sleep(0.002)

    def kill(self) -> None:
        """Kills all replicas and removes their files."""
        for replica in self.replicas:
            replica.kill()
        shutil.rmtree(self.folder)


def measure_commit() -> None:
    """Measures commits per second and latency by outstanding records."""
    cluster = ReplicaCluster()
    leader = cluster.leader()
    time.sleep(0.5)
    for outstanding in (1, 8, 64, 512):
        disk = _measure_disk_syncs(cluster.folder, outstanding)
        load_result = leader.request(do="load", outstanding=outstanding)
        _print_result("commit", outstanding=outstanding, **load_result, **disk)
    cluster.kill()


def _measure_disk_syncs(folder: pathlib.Path, records: int) -> dict[str, float]:
    """Measures writes and syncs of `records` payloads, without the log."""
    data = os.urandom(_PAYLOAD_BYTES * records)
    path = folder / "bare"
    fd = os.open(path, os.O_RDWR | os.O_CREAT)
    durations_s: list[float] = []
    offset = 0
    end_s = time.perf_counter() + 1
    while time.perf_counter() < end_s and len(durations_s) < _SYNC_COUNT:
        start_s = time.perf_counter()
        os.pwrite(fd, data, offset)
        os.fdatasync(fd)
        durations_s.append(time.perf_counter() - start_s)
        offset += len(data)
    os.close(fd)
    path.unlink()
    figures = _quantiles(durations_s)
    return {f"disk_{name}": value for name, value in figures.items()}


def measure_failover() -> None:
    """Measures the time until another replica leads.

    The old leader is killed or suspended.
    """
    for signal_number in (signal.SIGKILL, signal.SIGSTOP):
        durations_s: list[float] = []
        cluster = ReplicaCluster()
        for _ in range(_ROUND_COUNT):
            old = cluster.leader()
            time.sleep(0.3)
            start_s = time.monotonic()
            old.process.send_signal(signal_number)
            cluster.leader(excluded=old)
            durations_s.append(time.monotonic() - start_s)
            replica_index = cluster.replicas.index(old)
            if signal_number == signal.SIGKILL:
                old.process.wait()
                cluster.replicas[replica_index] = cluster.start_replica(
                    replica_index
                )
            else:
                old.process.send_signal(signal.SIGCONT)
            time.sleep(1.5)
        cluster.kill()
        _print_result(
            "failover",
            signal=signal_number.name,
            rounds=_ROUND_COUNT,
            median_s=statistics.median(durations_s),
            max_s=max(durations_s),
        )


def measure_recovery() -> None:
    """Measures time and memory to load logs of several sizes at the start."""
    for count in (10_000, 100_000, 400_000):
        folder = pathlib.Path(tempfile.mkdtemp(prefix="logbench-"))
        storage = Storage(folder)
        log = storage.group_log("g")
        log.save_state(1, "n", led=False)
        payload = os.urandom(_PAYLOAD_BYTES)
        for first in range(1, count + 1, 1000):
            log.append(
                [
                    Entry(index, 1, EntryKind.DATA, payload)
                    for index in range(first, first + 1000)
                ]
            )
            storage.sync()
        storage.close()
        before = _read_resident_bytes()
        start_s = time.perf_counter()
        storage = Storage(folder)
        opened_s = time.perf_counter()
        members = Members(members=[Member(node="n", address="a")])
        stored = storage.group_log("g").stored_state(members)
        core = Core("n", stored, random.Random(1), 0)
        ready_s = time.perf_counter()
        _print_result(
            "recovery",
            records=count,
            open_s=opened_s - start_s,
            core_s=ready_s - opened_s,
            bytes_a_record=(_read_resident_bytes() - before) / count,
            last=core.state.log.last,
        )
        storage.close()
        shutil.rmtree(folder)


def _read_resident_bytes() -> int:
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * resource.getpagesize()


def measure_idle_groups() -> None:
    """Measures processor time and memory of replicas with idle groups."""
    for groups in (1, 10, 100):
        cluster = ReplicaCluster(groups)
        cluster.leader()
        time.sleep(3)
        before = [replica.request(do="usage") for replica in cluster.replicas]
        time.sleep(_IDLE_DURATION_S)
        after = [replica.request(do="usage") for replica in cluster.replicas]
        spent = [
            100 * (new["cpu_s"] - old["cpu_s"]) / _IDLE_DURATION_S
            for old, new in zip(before, after, strict=True)
        ]
        _print_result(
            "idle",
            groups=groups,
            leads=[new["leads"] for new in after],
            cpu_percent=[round(value, 2) for value in spent],
            memory_mb=[round(new["memory_mb"], 1) for new in after],
        )
        cluster.kill()


def compare_syncs() -> None:
    """Compares syncs on the event loop with syncs in a thread."""
    uvloop.run(_measure_syncs())


async def _measure_syncs() -> None:
    loop = asyncio.get_running_loop()
    folder = pathlib.Path(tempfile.mkdtemp(prefix="logbench-"))
    fd = os.open(folder / "file", os.O_RDWR | os.O_CREAT)
    data = os.urandom(_PAYLOAD_BYTES * 8)
    for threaded in (False, True):
        lags_s: list[float] = []
        lag_task = asyncio.create_task(_measure_loop_lag(lags_s))
        durations_s: list[float] = []
        for turn in range(_SYNC_COUNT):
            start_s = time.perf_counter()
            os.pwrite(fd, data, turn * len(data))
            if threaded:
                await loop.run_in_executor(None, os.fdatasync, fd)
            else:
                os.fdatasync(fd)
            durations_s.append(time.perf_counter() - start_s)
            await asyncio.sleep(0)
        lag_task.cancel()
        figures = _quantiles(durations_s)
        lag_ms = statistics.quantiles(lags_s, n=100)[98] * 1000
        _print_result(
            "sync", threaded=threaded, **figures, loop_lag_p99_ms=lag_ms
        )
    os.close(fd)
    shutil.rmtree(folder)


async def _measure_loop_lag(lags_s: list[float]) -> None:
    while True:
        start_s = time.perf_counter()
        await asyncio.sleep(0)
        lags_s.append(time.perf_counter() - start_s)


async def _run_replica(
    folder: str, replica_index: str, ports: str, groups: str
) -> None:
    """Runs one replica and answers requests from the parent process."""
    LogNode.snapshot_entries = 10_000_000
    numbers = [int(port) for port in ports.split(",")]
    log_node = LogNode(
        pathlib.Path(folder), int(replica_index), numbers, int(groups)
    )
    await log_node.start()
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    while line := await reader.readline():
        request = json.loads(line)
        match request["do"]:
            case "leads":
                answer: Any = all(g.leader for g in log_node.groups) and (
                    log_node.groups[0].is_leader()
                )
            case "usage":
                answer = _read_usage(log_node)
            case _:
                answer = await _measure_load(log_node, request["outstanding"])
        print(json.dumps(answer), flush=True)


def _read_usage(log_node: LogNode) -> dict[str, float]:
    used = resource.getrusage(resource.RUSAGE_SELF)
    return {
        "cpu_s": used.ru_utime + used.ru_stime,
        "memory_mb": _read_resident_bytes() / 1e6,
        "leads": sum(group.is_leader() for group in log_node.groups),
    }


async def _measure_load(
    log_node: LogNode, outstanding: int
) -> dict[str, float]:
    """Commits records, with `outstanding` of them uncommitted at any time."""
    durations_s: list[float] = []
    numbers = itertools.count()
    syncs = log_node.node.storage.sync_count
    start_cpu_s = _read_usage(log_node)["cpu_s"]
    end_s = time.perf_counter() + _LOAD_DURATION_S
    run_id = os.urandom(8).hex()

    async def commit_records() -> None:
        while time.perf_counter() < end_s:
            payload = f"{run_id}-{next(numbers)}".encode().ljust(
                _PAYLOAD_BYTES, b"."
            )
            durations_s.append(await log_node.commit(payload))

    await asyncio.gather(*(commit_records() for _ in range(outstanding)))
    return {
        "commits_a_s": len(durations_s) / _LOAD_DURATION_S,
        "cpu_us": 1e6
        * (_read_usage(log_node)["cpu_s"] - start_cpu_s)
        / len(durations_s),
        "batch": len(durations_s) / (log_node.node.storage.sync_count - syncs),
        **_quantiles(durations_s),
    }


_PARTS: dict[str, Callable[[], None]] = {
    "commit": measure_commit,
    "failover": measure_failover,
    "recovery": measure_recovery,
    "idle": measure_idle_groups,
    "sync": compare_syncs,
}


def main() -> None:
    """Runs the parts named on the command line, or all."""
    if sys.argv[1:2] == ["child"]:
        uvloop.run(_run_replica(*sys.argv[2:]))
        return
    for name in sys.argv[1:] or _PARTS:
        _PARTS[name]()


if __name__ == "__main__":
    main()
