"""What calls cost a shard's leader and its followers; for docs/CAPACITY.md.

Drives the core alone: no sockets, no disk. The cost of the log and of the
streams comes on top.
"""

from __future__ import annotations

import dataclasses
import time
import tracemalloc
from typing import TYPE_CHECKING

from catkinpin import codec, digest
from catkinpin.core import messages
from catkinpin.core.operations import deployments
from catkinpin.core.placement import candidates, scheduler, servers
from catkinpin.core.programs import leader, records, shard
from catkinpin.core.programs.commands import Propose, Send
from catkinpin.verdicts import Verdict

if TYPE_CHECKING:
    from catkinpin.core.programs.commands import Command

_SERVERS = 325
_TURN_BYTES = 2_000
_PROGRAMS = (250, 1_000, 2_000)
_TURNS = (1, 10, 40)
_MANY_TURNS_PROGRAMS = 200
_ENTRY = leader.EntryRef(
    process="entry-1", incarnation="e1", region="region-0", address="e:1"
)
_decoder = codec.decoder(records.ShardRecord)


@dataclasses.dataclass
class Spent:
    """Seconds of processor time, and bytes that go into the log."""

    leader_s: float = 0.0
    follower_s: float = 0.0
    log_bytes: int = 0


class Driver:
    """A leader and a follower of a shard, with a log in between."""

    def __init__(self) -> None:
        view = servers.ServerView()
        for number in range(_SERVERS):
            report = messages.ServerReport(
                server=f"server-{number}",
                incarnation="1",
                address=f"http://10.0.0.{number % 250}:8000",
                kind="model",
                serves=["model"],
                domain="domain-0",
                region="region-0",
                capacity=122,
            )
            view.apply_report(report, 0)
        prices = candidates.CostModel()
        jobs = scheduler.Scheduler(
            view,
            candidates.by_cost(prices),
            scheduler.QueueOptions(),
            candidates.home_is_cheapest(prices),
        )
        deployment = deployments.Deployment(
            name="all", targets=["model"], budget_tokens=1_000_000_000
        )
        cfg = deployments.Configuration(
            [deployments.Account("account", "0" * 64), deployment]
        )
        self.spent = Spent()
        self._state = shard.Shard("shard-0")
        self._copy = shard.Shard("shard-0")
        self._leader = leader.ShardLeader(self._state, jobs, cfg)
        self._leader.entry_connected(_ENTRY)
        self._index = 0

    def call(self, program: str, turn: int) -> None:
        """Makes one call from its begin to its answer."""
        text = f"{program}/{turn}".encode().ljust(_TURN_BYTES)
        key = messages.CallKey(
            account="account", program=program, request_id=str(turn)
        )
        begin = messages.Begin(
            ask=1,
            key=key,
            kind="model",
            target="model",
            idempotent=True,
            deadline_ms=60_000,
            fingerprint=digest.of_bytes(text),
            whole=False,
            digests=[digest.of_bytes(text)],
            prompt_tokens=500,
            max_tokens=500,
        )
        start = time.perf_counter()
        commands = self._leader.begin(_ENTRY, begin, 0, 0)
        self.spent.leader_s += time.perf_counter() - start
        for command in self._commit(commands):
            granted = isinstance(command, Send) and isinstance(
                command.message, messages.Granted
            )
            attempt = getattr(command, "grant", None)
            if granted:
                attempt = command.message  # type: ignore[union-attr]
            if attempt is None:
                raise RuntimeError(f"the call got no grant: {command}")
            self._finish(key, attempt.attempt, text)

    def _finish(self, key: messages.CallKey, attempt: str, text: bytes) -> None:
        answer = messages.Answer(200, "application/json", text)
        finish = messages.Finish(
            ask=2,
            key=key,
            attempt=attempt,
            verdict=Verdict.RAN,
            answer=answer,
            usage=messages.Usage(500, 200, 400),
            messages=[text, text],
        )
        start = time.perf_counter()
        commands = self._leader.finish(_ENTRY, finish, 0, 0)
        self.spent.leader_s += time.perf_counter() - start
        self._commit(commands)

    def _commit(self, commands: list[Command]) -> list[Command]:
        """Appends what is proposed and returns the other commands."""
        rest: list[Command] = []
        queue = list(commands)
        while queue:
            command = queue.pop(0)
            if not isinstance(command, Propose):
                rest.append(command)
                continue
            start = time.perf_counter()
            payload = codec.encode(command.record)
            record = _decoder.decode(payload)
            self._index += 1
            effects = self._state.apply(self._index, record)
            queue += self._leader.handle_applied(record, effects, 0, 0)
            between = time.perf_counter()
            self._copy.apply(self._index, _decoder.decode(payload))
            self.spent.follower_s += time.perf_counter() - between
            self.spent.leader_s += between - start
            self.spent.log_bytes += len(payload)
        return rest


def _run(programs: int, turns: int) -> Spent:
    driver = Driver()
    for turn in range(turns):
        for number in range(programs):
            driver.call(f"program-{number}", turn)
    return driver.spent


def _memory(programs: int, turns: int) -> int:
    """Returns the bytes of a leader and a follower together."""
    driver = Driver()
    tracemalloc.start()
    for turn in range(turns):
        for number in range(programs):
            driver.call(f"program-{number}", turn)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size


def main() -> None:
    """Prints the figures."""
    print("| programs | turns | leader us a call | follower us | log bytes |")
    sizes = [(programs, 1) for programs in _PROGRAMS]
    sizes += [(_MANY_TURNS_PROGRAMS, turns) for turns in _TURNS]
    for programs, turns in sizes:
        spent = _run(programs, turns)
        calls = programs * turns
        print(
            f"| {programs} | {turns} | {spent.leader_s / calls * 1e6:.0f}"
            f" | {spent.follower_s / calls * 1e6:.0f}"
            f" | {spent.log_bytes / calls:.0f} |"
        )
    print("| programs | turns | bytes a program, leader and follower |")
    for programs, turns in sizes:
        size = _memory(programs, turns)
        print(f"| {programs} | {turns} | {size / programs:.0f} |")


if __name__ == "__main__":
    main()
