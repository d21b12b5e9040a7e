"""Soak of gateways, keepers and stores under faults: `make soak-platform`.

Callers run programs of turns, and calls that must not be repeated, through all
gateways. Meanwhile two tasks inject faults drawn from a seed: they kill, freeze
and stop processes, send them SIGHUP, delete disks one at a time, change routes,
and make the proxy in front of the backend server reset, delay or drop data.
The soak then checks the requests that the server received and the answers that
the callers got. Seeds from 100 on also kill all processes at once, seeds from
1000 on also kill keepers while the system starts for the first time. Seeds from
3000 on also have a call that crashes the servers that run it, seeds from 4000
on a turn with another body each time. Seeds from 5000 on start the hosts in any
order, one of them late, and send series of signals to processes that start.
Seeds from 8000 on have clients that resume turns at other gateways.
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
import subprocess
import sys
import tempfile
import time
from typing import TYPE_CHECKING

import aiohttp
import uvloop

from tests import base, ports, processes, soakstarts
from tests.fakes.deployment import Deployment
from tests.soakcrashes import CrashLoad
from tests.soakresumes import ResumeLoad

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from tests.fakes.rawserver import ReceivedRequest

# Seeds from here on also kill all processes at once. Lower seeds don't, so that
# each still draws the same faults as before this fault existed.
_FIRST_BLACKOUT_SEED = 100
_FIRST_START_SEED = 1_000
# Seeds from here on run with contended capacity: programs are admitted, plain
# calls hedged, and connections to servers probed and kept.
_CONTENDED_SEED = 2_000
# Seeds from here on, without contended capacity, also have a service whose
# servers crash under one call.
_CRASHING_SEED = 3_000
# Seeds from here on start hosts in any order and signal them while they start.
_SIGNAL_SEED = 5_000
# Seeds from here on also have clients that resume turns.
_RESUMING_SEED = 8_000
# Time from the end of a process until the platform starts it again.
_RESTART_DELAY_S = 0.2
# Exit codes of a process that a signal ends while its interpreter starts: no
# handler is set yet.
_SIGNAL_EXITS = (-signal.SIGTERM, -signal.SIGINT, -signal.SIGHUP)
_CALLER_TASKS = 8
_FAULT_TASKS = 2
_TURNS_PER_PROGRAM = 5
# With one keeper's disk lost and another keeper killed there is no quorum until
# the copies are made again, which takes some 20 s on a busy machine.
_SERVED_TIMEOUT_S = 40.0
_RETRY_INTERVAL_S = 0.15
_DEADLINE_MS = 3_000
# An answer that takes longer is a problem. The margin of 4 s after the deadline
# is more than the 3 s for which a gateway is frozen at most.
_ANSWER_TIMEOUT_S = _DEADLINE_MS / 1_000 + 4.0
_BUDGET_TOKENS = 60
_MAX_TURN_TOKENS = 6
# Statuses that promise that the request did not run and never will.
_NOT_RUN_STATUSES = frozenset({402, 408, 421, 429, 503})


@dataclasses.dataclass
class Findings:
    """Result of a soak.

    Attributes:
        statuses: number of answers by status; 0 for incomplete or missing ones.
        promised_not_run: requests whose callers got a status that promises
            that the request did not run.
        run_counts: how often the server received each request.
        problems: violations that were found.
        faults: faults that were injected.
        resumed: number of turns that were whole after a break.
        restarted: number of times that a client had to start a turn again.
    """

    statuses: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )
    promised_not_run: set[str] = dataclasses.field(default_factory=set)
    run_counts: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    problems: list[str] = dataclasses.field(default_factory=list)
    faults: list[str] = dataclasses.field(default_factory=list)
    resumed: int = 0
    restarted: int = 0


class Soak:
    """A deployment under load and faults.

    Args:
        deployment: the deployment under test.
        proxy: control URL of the proxy in front of the backend server.
        seed: seed of all faults.
        seconds: how long callers and faults run.
    """

    def __init__(
        self, deployment: Deployment, proxy: str, seed: int, seconds: float
    ) -> None:
        self._deployment = deployment
        self._proxy = proxy
        self._seed = seed
        self._rng = random.Random(seed)
        self._end_s = time.monotonic() + seconds
        self._expected_bodies: dict[str, bytes] = {}
        self._disk_lock = asyncio.Lock()
        self._acknowledged_version = 0
        # For each program, attempts that may still hold a budget reserve.
        self._open_reserves: dict[str, int] = {}
        # Latest ends of freezes, on the monotonic clock.
        self._freeze_ends_s: list[float] = []
        self._http = aiohttp.ClientSession()
        self._host_locks: dict[str, asyncio.Lock] = {
            name: asyncio.Lock() for name in deployment.hosts
        }
        self.found = Findings()
        deployment.on_request = self._check_request

    async def run(self) -> Findings:
        """Runs callers and faults for the set time, then checks the results."""
        fault_tasks = [
            asyncio.create_task(self._inject_faults())
            for _ in range(_FAULT_TASKS)
        ]
        callers = [self._run_caller(number) for number in range(_CALLER_TASKS)]
        supervisor = asyncio.create_task(self.supervise())
        await asyncio.gather(*callers)
        await asyncio.gather(*fault_tasks)
        supervisor.cancel()
        for attempt in self.found.promised_not_run:
            if self.found.run_counts[attempt]:
                self._add_problem(
                    f"{attempt} ran after an answer that it did not run"
                )
        for attempt, runs in self.found.run_counts.items():
            if runs > 1:
                self._add_problem(f"{attempt} ran {runs} times")
        await self._check_routes()
        await self.close()
        return self.found

    async def close(self) -> None:
        """Closes the callers' connections."""
        await self._http.close()

    async def is_proxy_ready(self) -> bool:
        """Returns True once the proxy's control port answers."""
        await self._configure_proxy({})
        return True

    def _add_problem(self, text: str) -> None:
        self.found.problems.append(text)

    def _check_request(self, received: ReceivedRequest) -> None:
        attempt = received.headers["x-attempt-id"]
        self.found.run_counts[attempt] += 1
        expected = self._expected_bodies.get(attempt)
        if expected is None:
            self._add_problem(f"{attempt} was received but never sent")
        elif received.body != expected:
            self._add_problem(
                f"{attempt} has body {received.body!r}, not {expected!r}"
            )

    # Callers.

    async def _run_caller(self, number: int) -> None:
        rng = random.Random(number)
        program = 0
        while time.monotonic() < self._end_s:
            program += 1
            await self._run_program(f"c{number}p{program}", rng)

    async def _run_program(self, name: str, rng: random.Random) -> None:
        """Runs consecutive turns, with a non-idempotent call after each."""
        history, previous = b"", ""
        self._open_reserves[name] = 0
        for turn in range(_TURNS_PER_PROGRAM):
            new_text = f"<{name}.{turn}>".encode()
            done = await self._serve_turn(
                f"{name}.{turn}", previous, history + new_text
            )
            if done is None:
                return
            previous, output = done
            history += new_text + output
            if (
                turn + 1
            ) * _MAX_TURN_TOKENS > _BUDGET_TOKENS + _MAX_TURN_TOKENS:
                self._add_problem(
                    f"{name} got more than its {_BUDGET_TOKENS} tokens"
                )
            await self._send_unsafe_call(f"{name}.{turn}.pay")
            await asyncio.sleep(rng.uniform(0, 0.05))

    async def _serve_turn(
        self, name: str, previous: str, body: bytes
    ) -> tuple[str, bytes] | None:
        """Repeats a turn until it is served; returns its ID and its output."""
        program, _, turn = name.partition(".")
        deadline_s = time.monotonic() + _SERVED_TIMEOUT_S
        for number in itertools.count():
            attempt = f"{name}.{number}"
            self._expected_bodies[attempt] = body
            new_text = body[body.rindex(b"<") :]
            status, answer_body = await self._send(
                "/t/x", attempt, new_text, previous, program
            )
            if status == 200:
                parts = [f"{attempt}-{n}".encode() for n in (1, 2)]
                if not all(part in answer_body for part in parts):
                    self._add_problem(f"{attempt} got {answer_body!r}")
                return attempt, b"".join(part + b"\n" for part in parts)
            if status == 402 and self._has_budget(program, int(turn)):
                self._add_problem(f"{attempt}: 402 within the budget")
            if status == 404:
                self._add_problem(f"{attempt}: {previous} is not known")
            if status in (402, 404):
                return None
            if status not in _NOT_RUN_STATUSES:
                self._open_reserves[program] += 1
            if time.monotonic() > deadline_s:
                break
            await asyncio.sleep(_RETRY_INTERVAL_S)
        self._add_problem(f"{name}: not served within {_SERVED_TIMEOUT_S} s")
        return None

    def _has_budget(self, program: str, turns: int) -> bool:
        """Returns whether a program's budget must suffice for one more turn.

        An attempt whose gateway died keeps its reserve, because nobody knows
        how many tokens the caller got.
        """
        reserved_tokens = (
            turns + self._open_reserves[program]
        ) * _MAX_TURN_TOKENS
        return reserved_tokens < _BUDGET_TOKENS

    async def _send_unsafe_call(self, attempt: str) -> None:
        self._expected_bodies[attempt] = b"1"
        status, answer_body = await self._send(
            "/u/pay", attempt, b"1", "", attempt
        )
        if status == 200 and answer_body != attempt.encode():
            self._add_problem(f"{attempt} got {answer_body!r}")

    async def _send(
        self, path: str, attempt: str, body: bytes, previous: str, program: str
    ) -> tuple[int, bytes]:
        """Sends a request through a random gateway.

        Returns:
            Status and body; status 0 if the answer is incomplete or missing.
        """
        gateways = self._names_with_role("gateway")
        headers = {
            "X-Program-Id": program,
            "X-Token-Usage": f"10,{_MAX_TURN_TOKENS}",
            "X-Token-Budget": str(_BUDGET_TOKENS),
            "X-Deadline-Ms": str(_DEADLINE_MS),
        }
        if previous:
            headers["X-Previous-Turn"] = previous
        url = self._deployment.url(self._rng.choice(gateways), path)
        all_headers = {"Host": "h.example", "X-Attempt-Id": attempt, **headers}
        started_s = time.monotonic()
        status, answer_body = 0, b""
        try:
            async with self._http.post(
                url,
                data=body,
                headers=all_headers,
                timeout=aiohttp.ClientTimeout(total=_ANSWER_TIMEOUT_S),
            ) as answer:
                answer_body = await answer.read()
                status = answer.status
        except TimeoutError:
            # A frozen gateway answers nobody, so this is no problem then.
            took_s = time.monotonic() - started_s
            if not self._was_frozen(started_s):
                self._add_problem(f"{attempt}: no answer in {took_s:.1f} s")
        except (aiohttp.ClientError, ConnectionError):
            status = 0
        self.found.statuses[status] += 1
        if status in _NOT_RUN_STATUSES:
            self.found.promised_not_run.add(attempt)
        return status, answer_body

    def _was_frozen(self, since: float) -> bool:
        return any(
            at >= since - _ANSWER_TIMEOUT_S for at in self._freeze_ends_s
        )

    # Faults.

    async def _inject_faults(self) -> None:
        faults: list[Callable[[], Awaitable[str]]] = [
            self._kill,
            self._freeze,
            self._stop,
            self._send_sighup,
            self._wipe,
            self._change_routes,
            self._disturb_server,
        ]
        if self._seed >= _FIRST_BLACKOUT_SEED:
            faults.append(self._blackout)
        if self._seed >= _SIGNAL_SEED:
            faults += [self._signal_start] * 3
        while time.monotonic() < self._end_s:
            fault = self._rng.choice(faults)
            text = await fault()
            if text:
                self.found.faults.append(text)
            await asyncio.sleep(self._rng.uniform(0.1, 1.2))

    def _names_with_role(self, *roles: str) -> list[str]:
        hosts = self._deployment.hosts.values()
        return [host.name for host in hosts if host.role in roles]

    def _has_run(self, name: str) -> bool:
        """Returns whether any line of ours has run in the latest process.

        A process writes a line before anything else that takes long.
        """
        return self._deployment.has_written(name)

    def _all_keepers_joined(self) -> bool:
        return all(
            any(
                line["decision"] == "leader"
                for line in self._deployment.read_log(name)
            )
            for name in self._names_with_role("keeper")
        )

    def _any_host(self) -> str:
        return self._rng.choice(list(self._deployment.hosts))

    async def supervise(self) -> None:
        """Starts processes again that end by themselves, as the platform does.

        Only a reload signal may end one, and only while its interpreter starts:
        it has no handler yet.
        """
        while True:
            await asyncio.sleep(_RESTART_DELAY_S)
            for name, host in self._deployment.hosts.items():
                if self._host_locks[name].locked() or host.process is None:
                    continue
                code = host.process.poll()
                if code is None:
                    continue
                if code != -signal.SIGHUP or self._has_run(name):
                    self._add_problem(f"{name} ended by itself with {code}")
                self.found.faults.append(f"restart {name}, ended with {code}")
                self._deployment.start(name)

    async def _kill(self) -> str:
        name = self._any_host()
        async with self._host_locks[name]:
            self._deployment.kill(name)
            await asyncio.sleep(self._rng.uniform(0.0, 1.0))
            self._deployment.start(name)
        return f"kill {name}"

    async def _blackout(self) -> str:
        """Kills all processes and restarts them within a second."""
        names = sorted(self._deployment.hosts)
        async with contextlib.AsyncExitStack() as locks:
            for name in names:
                await locks.enter_async_context(self._host_locks[name])
            for name in names:
                self._deployment.kill(name)
            self._rng.shuffle(names)
            for name in names:
                await asyncio.sleep(self._rng.uniform(0.0, 0.1))
                self._deployment.start(name)
        return "blackout"

    async def _freeze(self) -> str:
        name = self._any_host()
        async with self._host_locks[name]:
            self._deployment.kill(name, signal.SIGSTOP)
            self._freeze_ends_s.append(time.monotonic() + 3.0)
            await asyncio.sleep(self._rng.uniform(0.1, 3.0))
            self._deployment.kill(name, signal.SIGCONT)
        return f"freeze {name}"

    async def _stop(self) -> str:
        name = self._any_host()
        async with self._host_locks[name]:
            process = self._deployment.hosts[name].process
            assert process is not None
            self._deployment.kill(name, signal.SIGTERM)
            try:
                code = await asyncio.to_thread(process.wait, 9.0)
                if code and (self._has_run(name) or code not in _SIGNAL_EXITS):
                    self._add_problem(f"{name} ended with {code} when stopped")
            finally:
                self._deployment.start(name)
        return f"stop {name}"

    async def _signal_start(self) -> str:
        """Starts a process again and sends it signals while it starts."""
        name = self._any_host()
        async with self._host_locks[name]:
            self._deployment.kill(name)
            self._deployment.start(name)
            process = self._deployment.hosts[name].process
            assert process is not None
            series = await soakstarts.send_series(process, self._rng)
            try:
                code = await soakstarts.wait_for_end(process, series)
            except subprocess.TimeoutExpired:
                names = [number.name for number in series]
                self._add_problem(f"{name} still runs after {names}")
                self._deployment.kill(name)
                code = process.returncode
            if code and (self._has_run(name) or code not in _SIGNAL_EXITS):
                self._add_problem(f"{name} ended with {code} while it started")
            if code is not None:
                self._deployment.start(name)
        return f"signal {name} {len(series)} times"

    async def _send_sighup(self) -> str:
        name = self._any_host()
        async with self._host_locks[name]:
            self._deployment.kill(name, signal.SIGHUP)
        return f"hang up {name}"

    async def _wipe(self) -> str:
        """Deletes the data of one host and waits until it is copied again.

        Does nothing while an earlier call still waits, and until each keeper
        has heard of a leader: one that starts late counts as lost, and the
        others may not lose a disk then.
        """
        if self._disk_lock.locked() or not self._all_keepers_joined():
            return ""
        name = self._rng.choice(self._names_with_role("keeper", "store"))
        async with self._disk_lock:
            async with self._host_locks[name]:
                self._deployment.wipe(name)
                self._deployment.start(name)
            await self._deployment.wait_repaired(name)
        return f"wipe {name}"

    async def _change_routes(self) -> str:
        """Sends new routes, then checks the routes that a keeper returns."""
        version = await self._deployment.send_manifest(
            priority=self._rng.randint(0, 2)
        )
        self._acknowledged_version = max(self._acknowledged_version, version)
        await self._check_routes()
        return "reroute"

    async def _check_routes(self) -> None:
        acknowledged = self._acknowledged_version
        status, body = await self._deployment.call_keeper("GET", "/-/config")
        if status == 200 and json.loads(body)["version"] < acknowledged:
            self._add_problem(f"routes read back are older than {acknowledged}")

    async def _disturb_server(self) -> str:
        choices: list[dict[str, object]] = [
            {"cut": True},
            {"down_silent_open": True},
            {"up_delay_ms": 300},
        ]
        proxy_settings = self._rng.choice(choices)
        await self._configure_proxy(proxy_settings)
        await asyncio.sleep(self._rng.uniform(0.1, 1.5))
        await self._configure_proxy(
            {"cut": False, "down_silent_open": False, "up_delay_ms": 0}
        )
        return f"server {next(iter(proxy_settings))}"

    async def _configure_proxy(self, proxy_settings: dict[str, object]) -> None:
        async with self._http.post(
            self._proxy + "/fake", json=proxy_settings
        ) as answer:
            await answer.read()


async def run_seed(seed: int, seconds: float) -> Findings:
    """Runs the soak of one seed on a new deployment."""
    with tempfile.TemporaryDirectory(
        prefix="catkinpin-soak-", ignore_cleanup_errors=True
    ) as folder:
        deployment = Deployment(pathlib.Path(folder), gateways=3)
        control, port = ports.free_ports(2)
        await deployment.model_server.start()
        proxy = processes.Process(
            "tests.fakes.proxy",
            [
                *("--port", str(port), "--control", str(control)),
                *("--target", deployment.model_server.address),
            ],
            pathlib.Path(folder) / "proxy.log",
        )
        deployment.server_address = f"127.0.0.1:{port}"
        first_start_faults: list[str] = []

        async def inject() -> None:
            first_start_faults.extend(
                await soakstarts.inject_faults(deployment, seed)
            )

        if seed >= _SIGNAL_SEED:
            deployment.start_delays_s = soakstarts.draw_starts(
                list(deployment.hosts), random.Random(seed)
            )
        elif seed >= _FIRST_START_SEED:
            deployment.on_first_start = inject
        crashes = None
        if _CRASHING_SEED <= seed < _SIGNAL_SEED:
            crashes = CrashLoad(deployment, seed)
        elif _CONTENDED_SEED <= seed < _RESUMING_SEED:
            deployment.policies = ["pressure"]
        resumes = None
        if seed >= _RESUMING_SEED:
            resumes = ResumeLoad(deployment, seed)
        try:
            async with deployment:
                soak = Soak(
                    deployment, f"http://127.0.0.1:{control}", seed, seconds
                )
                await base.until(soak.is_proxy_ready, "the proxy listens")
                loads = [load for load in (crashes, resumes) if load]
                running = [
                    asyncio.ensure_future(load.run(seconds)) for load in loads
                ]
                found = await soak.run()
                await asyncio.gather(*running)
                if crashes is not None:
                    found.problems += crashes.problems()
                if resumes is not None:
                    found.problems += resumes.problems
                    found.resumed = resumes.resumed
                    found.restarted = resumes.restarted
                found.faults[:0] = first_start_faults
                if found.problems:
                    _copy_logs(pathlib.Path(folder), seed)
                return found
        except BaseException:
            _copy_logs(pathlib.Path(folder), seed)
            raise
        finally:
            proxy.end()


def _copy_logs(folder: pathlib.Path, seed: int) -> None:
    """Copies the logs to the folder out, for tracing the problems."""
    target = processes.ROOT / "out" / f"soak-{seed}"
    target.mkdir(parents=True, exist_ok=True)
    for log in folder.glob("*.log"):
        shutil.copy(log, target)


async def main(first: int, last: int, seconds: float) -> int:
    """Runs the seeds from first up to last and prints the problems."""
    failed_seeds = 0
    for seed in range(first, last):
        found = await run_seed(seed, seconds)
        statuses = dict(sorted(found.statuses.items()))
        print(f"seed {seed}: {len(found.faults)} faults, answers {statuses}")
        if found.resumed or found.restarted:
            print(f"  resumed {found.resumed}, restarted {found.restarted}")
        for problem in found.problems:
            print(f"PROBLEM {problem}")
        if found.problems:
            failed_seeds += 1
            print(f"  faults: {', '.join(found.faults)}", flush=True)
    return 1 if failed_seeds else 0


if __name__ == "__main__":
    sys.exit(
        uvloop.run(main(int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3])))
    )
