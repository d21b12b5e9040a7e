"""Measures the replicated log with three replica processes.

    python -m bench.logbench [commit|failover|recovery|idle|sync ...]

Prints JSON lines. Each part is bounded to about a minute.
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

_PAYLOAD = 500
_LOAD_S = 3.0
_SYNCS = 1_000
_IDLE_S = 5.0
_ROUNDS = 8
_ROOT = pathlib.Path(__file__).resolve().parent.parent


def _report(part: str, **figures: Any) -> None:
    rounded = {
        name: round(value, 3) if isinstance(value, float) else value
        for name, value in figures.items()
    }
    print(json.dumps({"part": part, **rounded}), flush=True)


def _quantiles(seconds: list[float]) -> dict[str, float]:
    cuts = statistics.quantiles(seconds, n=100)
    return {"p50_ms": cuts[49] * 1000, "p99_ms": cuts[98] * 1000}


class Child:
    """A replica process, steered by lines."""

    def __init__(self, folder: pathlib.Path, place: int, ports: str, n: int):
        command = [sys.executable, "-m", "bench.logbench", "child"]
        command += [str(folder / str(place)), str(place), ports, str(n)]
        self.popen = subprocess.Popen(
            command,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
            cwd=_ROOT,
        )

    def ask(self, **request: Any) -> Any:
        """Sends a line and returns the answer."""
        assert self.popen.stdin is not None
        assert self.popen.stdout is not None
        print(json.dumps(request), file=self.popen.stdin, flush=True)
        return json.loads(self.popen.stdout.readline())

    def end(self) -> None:
        """Kills the process."""
        self.popen.kill()
        self.popen.wait()


class Trio:
    """Three replica processes."""

    def __init__(self, groups: int = 1) -> None:
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="logbench-"))
        self.groups = groups
        self.ports = ",".join(map(str, ports.free_ports(3)))
        self.children = [self.child(place) for place in range(3)]

    def child(self, place: int) -> Child:
        """Starts a replica, or starts it again."""
        return Child(self.folder, place, self.ports, self.groups)

    def leader(self, but: Child | None = None) -> Child:
        """Waits for a leader."""
        while True:
            for child in self.children:
                if child is not but and child.ask(do="leads"):
                    return child
            time.sleep(0.002)

    def end(self) -> None:
        """Kills all and removes what they wrote."""
        for child in self.children:
            child.end()
        shutil.rmtree(self.folder)


def commit() -> None:
    """Commits a second and latency by how many wait at once."""
    trio = Trio()
    leader = trio.leader()
    time.sleep(0.5)
    for outstanding in (1, 8, 64, 512):
        disk = _bare_syncs(trio.folder, outstanding)
        got = leader.ask(do="load", outstanding=outstanding)
        _report("commit", outstanding=outstanding, **got, **disk)
    trio.end()


def _bare_syncs(folder: pathlib.Path, records: int) -> dict[str, float]:
    """Writes and syncs as many bytes as one batch has, over and over."""
    data = os.urandom(_PAYLOAD * records)
    path = folder / "bare"
    fd = os.open(path, os.O_RDWR | os.O_CREAT)
    took: list[float] = []
    offset = 0
    until = time.perf_counter() + 1
    while time.perf_counter() < until and len(took) < _SYNCS:
        begun = time.perf_counter()
        os.pwrite(fd, data, offset)
        os.fdatasync(fd)
        took.append(time.perf_counter() - begun)
        offset += len(data)
    os.close(fd)
    path.unlink()
    figures = _quantiles(took)
    return {f"disk_{name}": value for name, value in figures.items()}


def failover() -> None:
    """Time until another replica leads, after a kill and after silence."""
    for number in (signal.SIGKILL, signal.SIGSTOP):
        took: list[float] = []
        trio = Trio()
        for _ in range(_ROUNDS):
            old = trio.leader()
            time.sleep(0.3)
            begun = time.monotonic()
            old.popen.send_signal(number)
            trio.leader(but=old)
            took.append(time.monotonic() - begun)
            place = trio.children.index(old)
            if number == signal.SIGKILL:
                old.popen.wait()
                trio.children[place] = trio.child(place)
            else:
                old.popen.send_signal(signal.SIGCONT)
            time.sleep(1.5)
        trio.end()
        _report(
            "failover",
            signal=number.name,
            rounds=_ROUNDS,
            median_s=statistics.median(took),
            max_s=max(took),
        )


def recovery() -> None:
    """Time to read a log of so many records at the start, and memory."""
    for count in (10_000, 100_000, 400_000):
        folder = pathlib.Path(tempfile.mkdtemp(prefix="logbench-"))
        storage = Storage(folder)
        log = storage.group_log("g")
        log.save_state(1, "n", led=False)
        payload = os.urandom(_PAYLOAD)
        for first in range(1, count + 1, 1000):
            log.append(
                [
                    Entry(index, 1, EntryKind.DATA, payload)
                    for index in range(first, first + 1000)
                ]
            )
            storage.sync()
        storage.close()
        before = _resident()
        begun = time.perf_counter()
        storage = Storage(folder)
        opened = time.perf_counter()
        members = Members(members=[Member(node="n", address="a")])
        stored = storage.group_log("g").stored_state(members)
        core = Core("n", stored, random.Random(1), 0)
        ready = time.perf_counter()
        _report(
            "recovery",
            records=count,
            open_s=opened - begun,
            core_s=ready - opened,
            bytes_a_record=(_resident() - before) / count,
            last=core.state.log.last,
        )
        storage.close()
        shutil.rmtree(folder)


def _resident() -> int:
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * resource.getpagesize()


def idle() -> None:
    """Processor time and memory of replicas whose groups have no work."""
    for groups in (1, 10, 100):
        trio = Trio(groups)
        trio.leader()
        time.sleep(3)
        before = [child.ask(do="usage") for child in trio.children]
        time.sleep(_IDLE_S)
        after = [child.ask(do="usage") for child in trio.children]
        spent = [
            100 * (new["cpu_s"] - old["cpu_s"]) / _IDLE_S
            for old, new in zip(before, after, strict=True)
        ]
        _report(
            "idle",
            groups=groups,
            leads=[new["leads"] for new in after],
            cpu_percent=[round(value, 2) for value in spent],
            memory_mb=[round(new["memory_mb"], 1) for new in after],
        )
        trio.end()


def sync() -> None:
    """A sync on the loop against one in a thread."""
    uvloop.run(_sync())


async def _sync() -> None:
    loop = asyncio.get_running_loop()
    folder = pathlib.Path(tempfile.mkdtemp(prefix="logbench-"))
    fd = os.open(folder / "file", os.O_RDWR | os.O_CREAT)
    data = os.urandom(_PAYLOAD * 8)
    for threaded in (False, True):
        lags: list[float] = []
        watch = asyncio.create_task(_watch_lag(lags))
        took: list[float] = []
        for turn in range(_SYNCS):
            begun = time.perf_counter()
            os.pwrite(fd, data, turn * len(data))
            if threaded:
                await loop.run_in_executor(None, os.fdatasync, fd)
            else:
                os.fdatasync(fd)
            took.append(time.perf_counter() - begun)
            await asyncio.sleep(0)
        watch.cancel()
        figures = _quantiles(took)
        lag = statistics.quantiles(lags, n=100)[98] * 1000
        _report("sync", threaded=threaded, **figures, loop_lag_p99_ms=lag)
    os.close(fd)
    shutil.rmtree(folder)


async def _watch_lag(lags: list[float]) -> None:
    while True:
        begun = time.perf_counter()
        await asyncio.sleep(0)
        lags.append(time.perf_counter() - begun)


async def _child(folder: str, place: str, ports: str, groups: str) -> None:
    """Runs one replica and answers lines from the parent."""
    LogNode.snapshot_entries = 10_000_000
    numbers = [int(port) for port in ports.split(",")]
    one = LogNode(pathlib.Path(folder), int(place), numbers, int(groups))
    await one.start()
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    while line := await reader.readline():
        request = json.loads(line)
        match request["do"]:
            case "leads":
                answer: Any = all(g.leader for g in one.groups) and (
                    one.groups[0].is_leader()
                )
            case "usage":
                answer = _usage(one)
            case _:
                answer = await _load(one, request["outstanding"])
        print(json.dumps(answer), flush=True)


def _usage(one: LogNode) -> dict[str, float]:
    used = resource.getrusage(resource.RUSAGE_SELF)
    return {
        "cpu_s": used.ru_utime + used.ru_stime,
        "memory_mb": _resident() / 1e6,
        "leads": sum(group.is_leader() for group in one.groups),
    }


async def _load(one: LogNode, outstanding: int) -> dict[str, float]:
    """Keeps so many records waiting for their commit."""
    took: list[float] = []
    numbers = itertools.count()
    syncs = one.node.storage.sync_count
    spent = _usage(one)["cpu_s"]
    until = time.perf_counter() + _LOAD_S
    run = os.urandom(8).hex()

    async def work() -> None:
        while time.perf_counter() < until:
            payload = f"{run}-{next(numbers)}".encode().ljust(_PAYLOAD, b".")
            took.append(await one.commit(payload))

    await asyncio.gather(*(work() for _ in range(outstanding)))
    return {
        "commits_a_s": len(took) / _LOAD_S,
        "cpu_us": 1e6 * (_usage(one)["cpu_s"] - spent) / len(took),
        "batch": len(took) / (one.node.storage.sync_count - syncs),
        **_quantiles(took),
    }


_PARTS: dict[str, Callable[[], None]] = {
    "commit": commit,
    "failover": failover,
    "recovery": recovery,
    "idle": idle,
    "sync": sync,
}


def main() -> None:
    """Runs the parts named on the command line, or all."""
    if sys.argv[1:2] == ["child"]:
        uvloop.run(_child(*sys.argv[2:]))
        return
    for name in sys.argv[1:] or _PARTS:
        _PARTS[name]()


if __name__ == "__main__":
    main()
