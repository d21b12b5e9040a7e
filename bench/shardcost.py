"""Measures the cost of calls to a shard's replicas; for docs/CAPACITY.md.

Runs only the core of a leader and a follower, without sockets and disk. The
costs of the log and of the streams are not included.
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

_SERVER_COUNT = 325
_TURN_BYTES = 2_000
_PROGRAM_COUNTS = (250, 1_000, 2_000)
_TURN_COUNTS = (1, 10, 40)
_MANY_TURNS_PROGRAM_COUNT = 200
_ENTRY = leader.EntryRef(
    process="entry-1", incarnation="e1", region="region-0", address="e:1"
)
_decoder = codec.decoder(records.ShardRecord)


@dataclasses.dataclass
class ShardCost:
    """Processor time in seconds, and bytes that are written to the log."""

    leader_s: float = 0.0
    follower_s: float = 0.0
    log_bytes: int = 0


class ReplicatedShard:
    """A leader and a follower of a shard that apply the same records."""

    def __init__(self) -> None:
        view = servers.ServerView()
        for number in range(_SERVER_COUNT):
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
        cost_model = candidates.CostModel()
        jobs = scheduler.Scheduler(
            view,
            candidates.by_cost(cost_model),
            scheduler.QueueOptions(),
            candidates.home_is_cheapest(cost_model),
        )
        deployment = deployments.Deployment(
            name="all", targets=["model"], budget_tokens=1_000_000_000
        )
        cfg = deployments.Configuration(
            [deployments.Account("account", "0" * 64), deployment]
        )
        self.cost = ShardCost()
        self._leader_state = shard.Shard("shard-0")
        self._follower_state = shard.Shard("shard-0")
        self._leader = leader.ShardLeader(self._leader_state, jobs, cfg)
        self._leader.entry_connected(_ENTRY)
        self._index = 0

    def make_call(self, program: str, turn: int) -> None:
        """Makes one call, from its begin to its answer.

        Raises:
            RuntimeError: The call got no grant.
        """
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
        start_s = time.perf_counter()
        commands = self._leader.begin(_ENTRY, begin, 0, 0)
        self.cost.leader_s += time.perf_counter() - start_s
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
        start_s = time.perf_counter()
        commands = self._leader.finish(_ENTRY, finish, 0, 0)
        self.cost.leader_s += time.perf_counter() - start_s
        self._commit(commands)

    def _commit(self, commands: list[Command]) -> list[Command]:
        """Commits proposed records and returns the other commands."""
        other_commands: list[Command] = []
        pending_commands = list(commands)
        while pending_commands:
            command = pending_commands.pop(0)
            if not isinstance(command, Propose):
                other_commands.append(command)
                continue
            start_s = time.perf_counter()
            payload = codec.encode(command.record)
            record = _decoder.decode(payload)
            self._index += 1
            effects = self._leader_state.apply(self._index, record)
            pending_commands += self._leader.handle_applied(
                record, effects, 0, 0
            )
            leader_end_s = time.perf_counter()
            self._follower_state.apply(self._index, _decoder.decode(payload))
            self.cost.follower_s += time.perf_counter() - leader_end_s
            self.cost.leader_s += leader_end_s - start_s
            self.cost.log_bytes += len(payload)
        return other_commands


def _measure_cost(programs: int, turns: int) -> ShardCost:
    replicated_shard = ReplicatedShard()
    for turn in range(turns):
        for number in range(programs):
            replicated_shard.make_call(f"program-{number}", turn)
    return replicated_shard.cost


def _measure_memory_bytes(programs: int, turns: int) -> int:
    """Returns the memory of a leader and a follower together, in bytes."""
    replicated_shard = ReplicatedShard()
    tracemalloc.start()
    for turn in range(turns):
        for number in range(programs):
            replicated_shard.make_call(f"program-{number}", turn)
    size_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size_bytes


def main() -> None:
    """Prints both tables."""
    print("| programs | turns | leader us a call | follower us | log bytes |")
    cases = [(programs, 1) for programs in _PROGRAM_COUNTS]
    cases += [(_MANY_TURNS_PROGRAM_COUNT, turns) for turns in _TURN_COUNTS]
    for programs, turns in cases:
        cost = _measure_cost(programs, turns)
        calls = programs * turns
        print(
            f"| {programs} | {turns} | {cost.leader_s / calls * 1e6:.0f}"
            f" | {cost.follower_s / calls * 1e6:.0f}"
            f" | {cost.log_bytes / calls:.0f} |"
        )
    print("| programs | turns | bytes a program, leader and follower |")
    for programs, turns in cases:
        size_bytes = _measure_memory_bytes(programs, turns)
        print(f"| {programs} | {turns} | {size_bytes / programs:.0f} |")


if __name__ == "__main__":
    main()
