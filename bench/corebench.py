"""Processor time of a shard's leader a call, without log and network.

python -m bench.corebench
"""

from __future__ import annotations

import time

from catkinpin import codec, configuration, digest
from catkinpin.core import messages
from catkinpin.core.placement import candidates, scheduler, servers
from catkinpin.core.programs import commands, leader, records, shard
from catkinpin.verdicts import Verdict

_CALLS = 20_000
_SERVERS = 20
_CONFIG = (
    b'[[accounts]]\nname = "a"\nkey_sha256 = "%s"\n'
    b'[[deployments]]\nname = "d"\ntargets = ["m"]\n' % (b"0" * 64)
)
_ENTRY = commands.EntryRef("e", "e.0", "", "address")
_decoder = codec.decoder(records.ShardRecord)


class Loop:
    """A leader whose log commits at once."""

    def __init__(self, policy: candidates.Policy) -> None:
        view = servers.ServerView()
        self.state = shard.Shard("shard-0")
        jobs = scheduler.Scheduler(view, policy, scheduler.QueueOptions())
        cfg = configuration.parse(_CONFIG)
        self.leader = leader.ShardLeader(self.state, jobs, cfg)
        self.leader.entry_connected(_ENTRY)
        self.index = 0
        for number in range(_SERVERS):
            report = messages.ServerReport(
                server=f"s{number}",
                incarnation="i",
                address="",
                kind="model",
                serves=["m"],
                domain="",
                region="",
                capacity=64,
                cache_tokens=1_000_000,
            )
            view.apply_report(report, 0)
            self.leader.handle_report(report, 0)

    def act(self, found: list[commands.Command]) -> list[messages.Granted]:
        """Commits what is proposed; returns the grants."""
        grants = []
        waiting = list(found)
        while waiting:
            command = waiting.pop(0)
            if isinstance(command, commands.Propose):
                record = _decoder.decode(codec.encode(command.record))
                self.index += 1
                effects = self.state.apply(self.index, record)
                waiting += self.leader.handle_applied(record, effects, 1, 1)
            elif isinstance(command, commands.Send) and isinstance(
                command.message, messages.Granted
            ):
                grants.append(command.message)
        return grants

    def call(self, program: str, turn: int, digests: list[bytes]) -> None:
        """Takes one call from its begin to its answer."""
        key = messages.CallKey(
            account="a", program=program, request_id=f"{program}-{turn}"
        )
        text = key.request_id.encode()
        digests.append(digest.of_bytes(text))
        begin = messages.Begin(
            ask=2 * self.index + 1,
            key=key,
            kind="model",
            target="m",
            idempotent=True,
            deadline_ms=60_000,
            fingerprint=digests[-1],
            digests=list(digests),
            prompt_tokens=100,
            max_tokens=100,
        )
        grant = self.act(self.leader.begin(_ENTRY, begin, 1, 1))[0]
        answer = messages.Answer(status=200, content_type="", body=text)
        finish = messages.Finish(
            ask=2 * self.index + 2,
            key=key,
            attempt=grant.attempt,
            verdict=Verdict.RAN,
            answer=answer,
            usage=messages.Usage(prompt_tokens=50, completion_tokens=50),
            messages=[text, text],
        )
        self.act(self.leader.finish(_ENTRY, finish, 1, 1))
        digests.append(digests[-1])


def main() -> None:
    """Prints microseconds a call by turns of a program."""
    print("| turns a program | us a call |")
    print("| --- | --- |")
    for turns in (1, 10, 100):
        loop = Loop(candidates.sticky)
        began = time.process_time()
        for number in range(_CALLS // turns):
            digests: list[bytes] = []
            for turn in range(turns):
                loop.call(f"p{number}", turn, digests)
        spent = time.process_time() - began
        print(f"| {turns} | {spent / _CALLS * 1e6:.0f} |")


if __name__ == "__main__":
    main()
