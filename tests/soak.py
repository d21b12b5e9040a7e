"""Injects random faults into real processes under load: `make soak`.

Callers send kiosk orders and short model programs through all entries while
processes are killed, frozen and stopped, one fault at a time. The seed selects
the faults; the third argument restricts them to those whose name contains it,
as in `freeze entry`. The run fails if the effects that the service recorded
contradict the replies that callers received. The timing differs between runs,
so CI does not run this.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import pathlib
import random
import signal
import sys
import tempfile
import time
from typing import TYPE_CHECKING, Any

import aiohttp
import uvloop

from tests import base, replies

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

_CALLER_COUNT = 12
_CALLS_PER_PROGRAM = 4
_MAX_ATTEMPTS = 40
_DEADLINE_MS = 15_000
_SLOW_CALL_S = 6.0
_MAX_CALL_S = _DEADLINE_MS / 1000 + 1.0
_ENTRIES = ("entry-1", "entry-2", "entry-3")
_REPLICAS = ("replica-1", "replica-2", "replica-3")
_ENGINES = ("engine-1", "engine-2")


@dataclasses.dataclass
class Findings:
    """Results of a run.

    Attributes:
        answered: number of calls with status 200.
        unknown: number of calls that may have run.
        resent: number of times that a request was sent again.
        problems: violations; each makes the run fail.
        final: last verdict of each request.
        slow: calls that exceeded `_SLOW_CALL_S`.
        slowest_s: longest time of a call.
    """

    answered: int = 0
    unknown: int = 0
    resent: int = 0
    problems: list[str] = dataclasses.field(default_factory=list)
    final: dict[str, str] = dataclasses.field(default_factory=dict)
    slow: list[str] = dataclasses.field(default_factory=list)
    slowest_s: float = 0.0


class Soak:
    """Runs load and faults on a cluster.

    Attributes:
        only: text that the name of a fault must contain; empty for all.
        until: monotonic time at which the run ends.
        found: the results.
        faults: names of the injected faults.
    """

    def __init__(
        self, cluster: base.Cluster, seed: int, until: float, only: str
    ) -> None:
        self.cluster = cluster
        self.only = only
        self.rng = random.Random(seed)
        self.until = until
        self.found = Findings()
        self.faults: list[str] = []

    async def caller(self, number: int) -> None:
        """Runs programs one after another until the end of the run."""
        rng = random.Random(f"{number}")
        program = 0
        while time.monotonic() < self.until:
            program += 1
            name = f"c{number}-{program}"
            history: list[Any] = []
            for step in range(_CALLS_PER_PROGRAM):
                if step % 2:
                    await self._call_model(rng, name, history, step)
                elif not await self._call_service(rng, name, step):
                    break

    async def _call_service(
        self, rng: random.Random, name: str, step: int
    ) -> bool:
        request = f"{name}-{step}"
        headers = {"Catkinpin-Program": name, "Idempotency-Key": request}

        async def call(entry: str) -> replies.Reply:
            return await self.cluster.call_service(
                entry,
                "kiosk-app",
                "pay",
                request,
                headers=self._with_deadline(headers),
            )

        reply = await self._send_until_final(rng, call, request)
        if reply is None:
            return False
        if reply.status == 200 and reply.json["done"] != request:
            self.found.problems.append(f"{request}: answer of {reply.body!r}")
        return reply.status == 200

    async def _call_model(
        self, rng: random.Random, name: str, history: list[Any], step: int
    ) -> None:
        history.append(base.user(f"{name} asks {step}"))
        headers = {
            "Catkinpin-Program": name,
            "Idempotency-Key": f"{name}-{step}",
        }

        async def call(entry: str) -> replies.Reply:
            return await self.cluster.chat(
                entry,
                "berater",
                history,
                account="kunci",
                headers=self._with_deadline(headers),
            )

        reply = await self._send_until_final(rng, call, f"{name}-{step}")
        if reply is not None and reply.status == 200:
            history.append(reply.json["choices"][0]["message"])

    def _with_deadline(self, headers: dict[str, str]) -> dict[str, str]:
        return {**headers, "Catkinpin-Deadline-Ms": str(_DEADLINE_MS)}

    async def _send_until_final(
        self,
        rng: random.Random,
        call: Callable[[str], Awaitable[replies.Reply]],
        request: str,
    ) -> replies.Reply | None:
        """Resends a request until its outcome is final.

        Returns:
            The reply with status 200; None if the call was refused, may have
            run, or got no answer in all attempts.
        """
        for _ in range(_MAX_ATTEMPTS):
            started_at = time.monotonic()
            try:
                reply = await call(rng.choice(_ENTRIES))
            except (aiohttp.ClientError, ConnectionError, TimeoutError):
                self.found.resent += 1
                await asyncio.sleep(0.2)
                continue
            duration_s = time.monotonic() - started_at
            self.found.slowest_s = max(self.found.slowest_s, duration_s)
            if duration_s > _SLOW_CALL_S:
                text = f"{request}: {duration_s:.1f} s, {reply.status}"
                self.found.slow.append(f"{text} {reply.body[:200]!r}")
            if duration_s > _MAX_CALL_S:
                self.found.problems.append(
                    f"{request}: took {duration_s:.1f} s"
                )
            self.found.final[request] = reply.verdict
            if reply.status == 200:
                self.found.answered += 1
                return reply
            if reply.status < 500 and reply.status != 429:
                text = f"{request}: {reply.status} {reply.body!r}"
                self.found.problems.append(text)
                return None
            if reply.verdict == "may-have-run":
                self.found.unknown += 1
                return None
            self.found.resent += 1
            await asyncio.sleep(0.2)
        self.found.problems.append(
            f"{request}: no answer in {_MAX_ATTEMPTS} tries"
        )
        return None

    async def inject_faults(self) -> None:
        """Injects one fault after another until the end of the run."""
        faults = (self._kill, self._freeze, self._stop)
        while time.monotonic() < self.until:
            name = self.rng.choice((*_ENTRIES, *_REPLICAS, *_ENGINES))
            fault = self.rng.choice(faults)
            text = f"{fault.__name__[1:]} {name}"
            if self.only not in text:
                continue
            self.faults.append(text)
            await fault(name)
            for process in (*_ENTRIES, *_REPLICAS):
                await self.cluster.ready(process)
            await asyncio.sleep(self.rng.uniform(0.2, 1.5))

    async def _kill(self, name: str) -> None:
        self.cluster.processes[name].kill()
        await asyncio.sleep(self.rng.uniform(0.0, 1.0))
        self.cluster.processes[name].start()

    async def _freeze(self, name: str) -> None:
        self.cluster.processes[name].signal(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0.1, 4.0))
        self.cluster.processes[name].signal(signal.SIGCONT)

    async def _stop(self, name: str) -> None:
        process = self.cluster.processes[name]
        process.signal(signal.SIGTERM)

        async def ended() -> bool:
            return process.exit_code() is not None

        await base.until(ended, f"{name} stops")
        process.start()

    async def check(self) -> None:
        """Compares the service's effects with the verdicts of the callers."""
        effects = (await self.cluster.look("service-1"))["effects"]
        for request, verdict in self.found.final.items():
            count = effects.get(request, 0)
            step = int(request.rpartition("-")[2])
            if step % 2:
                continue
            if count > 1:
                self.found.problems.append(f"{request}: {count} effects")
            if verdict == "ran" and count != 1:
                self.found.problems.append(f"{request}: ran, no effect")
            if verdict == "not-run" and count:
                self.found.problems.append(f"{request}: not-run, but it ran")


async def main(seed: int, seconds: int, only: str) -> int:
    """Runs the load and the faults, and prints the results.

    Returns:
        The exit code: 1 if there were problems.
    """
    with tempfile.TemporaryDirectory(
        prefix="catkinpin-soak-", ignore_cleanup_errors=True
    ) as folder:
        async with base.Cluster(pathlib.Path(folder)) as cluster:
            cluster.add_replicas(3)
            for name in _ENTRIES:
                cluster.add_entry(name)
            for name in _ENGINES:
                cluster.add_fake("engine", name)
            cluster.add_fake("service", "service-1")
            await cluster.apply(base.config())
            for name in _ENTRIES:
                await cluster.ready(name)
            await cluster.serving("entry-1", "berater", "model")
            await cluster.serving("entry-1", "kiosk-app", "service")
            soak = Soak(cluster, seed, time.monotonic() + seconds, only)
            injector = asyncio.create_task(soak.inject_faults())
            await asyncio.gather(*map(soak.caller, range(_CALLER_COUNT)))
            injector.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await injector
            await soak.check()
            found = soak.found
    print(f"seed {seed}: {len(soak.faults)} faults: {', '.join(soak.faults)}")
    print(
        f"answered {found.answered}, unknown {found.unknown},"
        f" sent again {found.resent}, slowest {found.slowest_s:.1f} s"
    )
    for slow in found.slow:
        print(f"slow {slow}")
    for problem in found.problems:
        print(f"PROBLEM {problem}")
    return 1 if found.problems else 0


if __name__ == "__main__":
    sys.exit(uvloop.run(main(int(sys.argv[1]), int(sys.argv[2]), sys.argv[3])))
