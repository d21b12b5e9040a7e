"""Faults in series against gateways, keepers and stores: `make soak-platform`.

Callers run programs of turns, and calls that must not be repeated, through all
gateways, while by a seed processes are killed, frozen, stopped and sent
signals, disks are taken away one at a time, routes change, and the proxy
before the backend server resets its connections or falls silent. What the
server saw and what callers got decides. Two series of faults overlap. Seeds
from 100 on also kill everything at once, those from 1000 on also strike while
the system starts for the first time.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import dataclasses
import itertools
import json
import pathlib
import random
import shutil
import signal
import sys
import tempfile
import time
from typing import TYPE_CHECKING

import aiohttp
import uvloop

from tests import base, ports, processes
from tests.fakes.deployment import Deployment

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from tests.fakes.rawserver import ReceivedRequest

# Seeds from here on also kill everything at once; those before stay what they
# were when they were played.
_FIRST_BLACKOUT_SEED = 100
_FIRST_START_SEED = 1_000
_CALLERS = 8
_STRIKERS = 2
_TURNS = 5
# A keeper's lost disk and another one that is killed leave no quorum until the
# copies are made again, on a busy machine some 20 s; then turns are served.
_SERVED_WITHIN_S = 40.0
_RETRY_S = 0.15
_DEADLINE_MS = 3_000
# An answer that comes so long after its deadline came too late: a frozen
# gateway thaws after 3 s at most.
_LATE_S = _DEADLINE_MS / 1_000 + 4.0
_BUDGET = 60
_MAX = 6
# Statuses that promise that the request has not run and never will.
_PROMISES = frozenset({402, 408, 421, 429, 503})


@dataclasses.dataclass
class Findings:
    """What was seen, and what must not have been.

    Attributes:
        statuses: of all answers; 0 for those that broke off.
        promised: requests that have not run, as their callers were told.
        runs: how often the server began each request.
    """

    statuses: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )
    promised: set[str] = dataclasses.field(default_factory=set)
    runs: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    problems: list[str] = dataclasses.field(default_factory=list)
    faults: list[str] = dataclasses.field(default_factory=list)


class Soak:
    """A deployment under load and faults.

    Args:
        deployment: that serves.
        proxy: control address of the proxy before its server.
        seed: decides all faults.
        seconds: how long callers and faults go on.
    """

    def __init__(
        self, deployment: Deployment, proxy: str, seed: int, seconds: float
    ) -> None:
        self._deployment = deployment
        self._proxy = proxy
        self._seed = seed
        self._rng = random.Random(seed)
        self._until = time.monotonic() + seconds
        self._bodies: dict[str, bytes] = {}
        self._disk = asyncio.Lock()
        self._acknowledged = 0
        # Tries of each program that may keep a reserve of its budget.
        self._open: dict[str, int] = {}
        # Ends of freezes, on the monotonic clock.
        self._frozen_at: list[float] = []
        self._http = aiohttp.ClientSession()
        self._hands: dict[str, asyncio.Lock] = {
            name: asyncio.Lock() for name in deployment.hosts
        }
        # Lines that say "start", of each process's earlier lives.
        self._starts = dict.fromkeys(deployment.hosts, 0)
        self.found = Findings()
        deployment.on_request = self._turn_result

    async def run(self) -> Findings:
        """Runs callers and faults until the time is over, then checks."""
        strikers = [
            asyncio.create_task(self._strike()) for _ in range(_STRIKERS)
        ]
        callers = [self._caller(number) for number in range(_CALLERS)]
        await asyncio.gather(*callers)
        await asyncio.gather(*strikers)
        for attempt in self.found.promised:
            if self.found.runs[attempt]:
                self._problem(f"{attempt} ran, though told that it had not")
        for attempt, runs in self.found.runs.items():
            if runs > 1:
                self._problem(f"{attempt} ran {runs} times")
        await self._read_back()
        await self._http.close()
        return self.found

    async def is_proxied(self) -> bool:
        """Returns whether the proxy before the server can be steered."""
        await self._steer({})
        return True

    def _problem(self, text: str) -> None:
        self.found.problems.append(text)

    def _turn_result(self, seen: ReceivedRequest) -> None:
        attempt = seen.headers["x-attempt-id"]
        self.found.runs[attempt] += 1
        expected = self._bodies.get(attempt)
        if expected is None:
            self._problem(f"{attempt} was sent by nobody")
        elif seen.body != expected:
            self._problem(f"{attempt} has {seen.body!r}, not {expected!r}")

    # Callers.

    async def _caller(self, number: int) -> None:
        rng = random.Random(number)
        program = 0
        while time.monotonic() < self._until:
            program += 1
            await self._program(f"c{number}p{program}", rng)

    async def _program(self, name: str, rng: random.Random) -> None:
        """Runs a chain of turns, with a call that must not be repeated."""
        history, previous = b"", ""
        self._open[name] = 0
        for turn in range(_TURNS):
            said = f"<{name}.{turn}>".encode()
            done = await self._turn(f"{name}.{turn}", previous, history + said)
            if done is None:
                return
            previous, output = done
            history += said + output
            if (turn + 1) * _MAX > _BUDGET + _MAX:
                self._problem(f"{name} got more than its {_BUDGET} tokens")
            await self._call(f"{name}.{turn}.pay")
            await asyncio.sleep(rng.uniform(0, 0.05))

    async def _turn(
        self, name: str, previous: str, body: bytes
    ) -> tuple[str, bytes] | None:
        """Sends a turn until it is served; returns its id and its output."""
        program, _, turn = name.partition(".")
        give_up = time.monotonic() + _SERVED_WITHIN_S
        for number in itertools.count():
            attempt = f"{name}.{number}"
            self._bodies[attempt] = body
            said = body[body.rindex(b"<") :]
            status, got = await self._send(
                "/t/x", attempt, said, previous, program
            )
            if status == 200:
                parts = [f"{attempt}-{n}".encode() for n in (1, 2)]
                if not all(part in got for part in parts):
                    self._problem(f"{attempt} got {got!r}")
                return attempt, b"".join(part + b"\n" for part in parts)
            if status == 402 and self._affords(program, int(turn)):
                self._problem(f"{attempt}: 402 within the budget")
            if status == 404:
                self._problem(f"{attempt}: {previous} is not known")
            if status in (402, 404):
                return None
            if status not in _PROMISES:
                self._open[program] += 1
            if time.monotonic() > give_up:
                break
            await asyncio.sleep(_RETRY_S)
        self._problem(f"{name}: not served within {_SERVED_WITHIN_S} s")
        return None

    def _affords(self, program: str, turns: int) -> bool:
        """Returns whether a program's budget must hold one more turn.

        A try whose gateway died keeps its reserve: what it may have handed
        out is not known to anyone.
        """
        held = (turns + self._open[program]) * _MAX
        return held < _BUDGET

    async def _call(self, attempt: str) -> None:
        self._bodies[attempt] = b"1"
        status, got = await self._send("/u/pay", attempt, b"1", "", attempt)
        if status == 200 and got != attempt.encode():
            self._problem(f"{attempt} got {got!r}")

    async def _send(
        self, path: str, attempt: str, body: bytes, previous: str, program: str
    ) -> tuple[int, bytes]:
        """Sends once through any gateway; returns 0 for a broken answer."""
        gateways = self._named("gateway")
        headers = {
            "X-Program-Id": program,
            "X-Token-Usage": f"10,{_MAX}",
            "X-Token-Budget": str(_BUDGET),
            "X-Deadline-Ms": str(_DEADLINE_MS),
        }
        if previous:
            headers["X-Previous-Turn"] = previous
        url = self._deployment.url(self._rng.choice(gateways), path)
        told = {"Host": "h.example", "X-Attempt-Id": attempt, **headers}
        begun = time.monotonic()
        status, got = 0, b""
        try:
            async with self._http.post(
                url,
                data=body,
                headers=told,
                timeout=aiohttp.ClientTimeout(total=_LATE_S),
            ) as answer:
                got = await answer.read()
                status = answer.status
        except TimeoutError:
            # A gateway that is frozen answers nobody.
            took_s = time.monotonic() - begun
            if not self._was_frozen(begun):
                self._problem(f"{attempt}: no answer in {took_s:.1f} s")
        except (aiohttp.ClientError, ConnectionError):
            status = 0
        self.found.statuses[status] += 1
        if status in _PROMISES:
            self.found.promised.add(attempt)
        return status, got

    def _was_frozen(self, since: float) -> bool:
        return any(at >= since - _LATE_S for at in self._frozen_at)

    # Faults.

    async def _strike(self) -> None:
        faults: list[Callable[[], Awaitable[str]]] = [
            self._kill,
            self._freeze,
            self._stop,
            self._hang_up,
            self._wipe,
            self._reroute,
            self._cut_server,
        ]
        if self._seed >= _FIRST_BLACKOUT_SEED:
            faults.append(self._blackout)
        while time.monotonic() < self._until:
            fault = self._rng.choice(faults)
            text = await fault()
            if text:
                self.found.faults.append(text)
            await asyncio.sleep(self._rng.uniform(0.1, 1.2))

    def _named(self, *roles: str) -> list[str]:
        hosts = self._deployment.hosts.values()
        return [host.name for host in hosts if host.role in roles]

    def _restart(self, name: str) -> None:
        self._starts[name] = self._count_starts(name)
        self._deployment.start(name)

    def _count_starts(self, name: str) -> int:
        lines = self._deployment.log(name)
        return sum(line["decision"] == "start" for line in lines)

    def _has_begun(self, name: str) -> bool:
        """Returns whether the running process has said that it serves."""
        return self._count_starts(name) > self._starts[name]

    def _any_host(self) -> str:
        return self._rng.choice(list(self._deployment.hosts))

    async def _kill(self) -> str:
        name = self._any_host()
        async with self._hands[name]:
            self._deployment.kill(name)
            await asyncio.sleep(self._rng.uniform(0.0, 1.0))
            self._restart(name)
        return f"kill {name}"

    async def _blackout(self) -> str:
        """Kills everything at once; all are back within a second."""
        names = sorted(self._deployment.hosts)
        async with contextlib.AsyncExitStack() as held:
            for name in names:
                await held.enter_async_context(self._hands[name])
            for name in names:
                self._deployment.kill(name)
            self._rng.shuffle(names)
            for name in names:
                await asyncio.sleep(self._rng.uniform(0.0, 0.1))
                self._restart(name)
        return "blackout"

    async def _freeze(self) -> str:
        name = self._any_host()
        async with self._hands[name]:
            self._deployment.kill(name, signal.SIGSTOP)
            self._frozen_at.append(time.monotonic() + 3.0)
            await asyncio.sleep(self._rng.uniform(0.1, 3.0))
            self._deployment.kill(name, signal.SIGCONT)
        return f"freeze {name}"

    async def _stop(self) -> str:
        name = self._any_host()
        async with self._hands[name]:
            process = self._deployment.hosts[name].process
            assert process is not None
            began = self._has_begun(name)
            self._deployment.kill(name, signal.SIGTERM)
            try:
                code = await asyncio.to_thread(process.wait, 9.0)
                # One that has served nothing yet has nothing to finish.
                if code and (began or code != -signal.SIGTERM):
                    self._problem(f"{name} ended with {code} when stopped")
            finally:
                self._restart(name)
        return f"stop {name}"

    async def _hang_up(self) -> str:
        name = self._any_host()
        async with self._hands[name]:
            self._deployment.kill(name, signal.SIGHUP)
        return f"hang up {name}"

    async def _wipe(self) -> str:
        """Takes one disk away; the next only once what it held is copied."""
        if self._disk.locked():
            return ""
        name = self._rng.choice(self._named("keeper", "store"))
        async with self._disk:
            async with self._hands[name]:
                self._deployment.wipe(name)
                self._restart(name)
            await self._deployment.repaired(name)
        return f"wipe {name}"

    async def _reroute(self) -> str:
        """Sends new routes, and reads them back from any keeper."""
        if await self._deployment.configure(priority=self._rng.randint(0, 2)):
            self._acknowledged = self._deployment.version
        await self._read_back()
        return "reroute"

    async def _read_back(self) -> None:
        wanted = self._acknowledged
        status, body = await self._deployment.control("GET", "/-/config")
        if status == 200 and json.loads(body)["version"] < wanted:
            self._problem(f"routes read back are older than {wanted}")

    async def _cut_server(self) -> str:
        hows: list[dict[str, object]] = [
            {"cut": True},
            {"down_silent_open": True},
            {"up_delay_ms": 300},
        ]
        how = self._rng.choice(hows)
        await self._steer(how)
        await asyncio.sleep(self._rng.uniform(0.1, 1.5))
        await self._steer(
            {"cut": False, "down_silent_open": False, "up_delay_ms": 0}
        )
        return f"server {next(iter(how))}"

    async def _steer(self, how: dict[str, object]) -> None:
        async with self._http.post(self._proxy + "/fake", json=how) as answer:
            await answer.read()


async def strike_first_start(deployment: Deployment, seed: int) -> list[str]:
    """Ends keepers, one or all at once, while the system is being founded."""
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


async def play(seed: int, seconds: float) -> Findings:
    """Plays one seed."""
    with tempfile.TemporaryDirectory(
        prefix="catkinpin-soak-", ignore_cleanup_errors=True
    ) as folder:
        deployment = Deployment(pathlib.Path(folder), gateways=3)
        control, port = ports.free_ports(2)
        await deployment.model.start()
        proxy = processes.Process(
            "tests.fakes.proxy",
            [
                *("--port", str(port), "--control", str(control)),
                *("--target", deployment.model.address),
            ],
            pathlib.Path(folder) / "proxy.log",
        )
        deployment.server_address = f"127.0.0.1:{port}"
        early: list[str] = []

        async def strike() -> None:
            early.extend(await strike_first_start(deployment, seed))

        if seed >= _FIRST_START_SEED:
            deployment.on_first_start = strike
        try:
            async with deployment:
                soak = Soak(
                    deployment, f"http://127.0.0.1:{control}", seed, seconds
                )
                await base.until(soak.is_proxied, "the proxy listens")
                found = await soak.run()
                found.faults[:0] = early
                if found.problems:
                    _keep_logs(pathlib.Path(folder), seed)
                return found
        except BaseException:
            _keep_logs(pathlib.Path(folder), seed)
            raise
        finally:
            proxy.end()


def _keep_logs(folder: pathlib.Path, seed: int) -> None:
    """Keeps what the processes wrote, to trace what was found."""
    kept = processes.ROOT / "out" / f"soak-{seed}"
    kept.mkdir(parents=True, exist_ok=True)
    for log in folder.glob("*.log"):
        shutil.copy(log, kept)


async def main(first: int, last: int, seconds: float) -> int:
    """Plays seeds and prints what was found."""
    bad = 0
    for seed in range(first, last):
        found = await play(seed, seconds)
        statuses = dict(sorted(found.statuses.items()))
        print(f"seed {seed}: {len(found.faults)} faults, answers {statuses}")
        for problem in found.problems:
            print(f"PROBLEM {problem}")
        if found.problems:
            bad += 1
            print(f"  faults: {', '.join(found.faults)}", flush=True)
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(
        uvloop.run(main(int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3])))
    )
