"""Measures the processor time per call of a shard's leader.

The log and the network are not included.


python -m bench.corebench
"""

from __future__ import annotations

import time

from catkinpin import codec, configuration, digest
from catkinpin.core import messages
from catkinpin.core.placement import candidates, scheduler, servers
from catkinpin.core.programs import commands, leader, records, shard
from catkinpin.verdicts import Verdict

_CALL_COUNT = 20_000
_SERVER_COUNT = 20
_CONFIG = (
    b'[[accounts]]\nname = "a"\nkey_sha256 = "%s"\n'
    b'[[deployments]]\nname = "d"\ntargets = ["m"]\n' % (b"0" * 64)
)
_ENTRY = commands.EntryRef("e", "e.0", "", "address")
_decoder = codec.decoder(records.ShardRecord)


class ImmediateLeader:
    """A shard's leader whose records are committed immediately."""

    def __init__(self, policy: candidates.Policy) -> None:
        view = servers.ServerView()
        self.shard_state = shard.Shard("shard-0")
        jobs = scheduler.Scheduler(view, policy, scheduler.QueueOptions())
        cfg = configuration.parse(_CONFIG)
        self.leader = leader.ShardLeader(self.shard_state, jobs, cfg)
        self.leader.entry_connected(_ENTRY)
        self.index = 0
        for number in range(_SERVER_COUNT):
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

    def commit(
        self, new_commands: list[commands.Command]
    ) -> list[messages.Granted]:
        """Commits proposed records, and returns the grants that result."""
        grants = []
        pending_commands = list(new_commands)
        while pending_commands:
            command = pending_commands.pop(0)
            if isinstance(command, commands.Propose):
                record = _decoder.decode(codec.encode(command.record))
                self.index += 1
                effects = self.shard_state.apply(self.index, record)
                pending_commands += self.leader.handle_applied(
                    record, effects, 1, 1
                )
            elif isinstance(command, commands.Send) and isinstance(
                command.message, messages.Granted
            ):
                grants.append(command.message)
        return grants

    def make_call(self, program: str, turn: int, digests: list[bytes]) -> None:
        """Makes one call, from its begin to its answer."""
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
        grant = self.commit(self.leader.begin(_ENTRY, begin, 1, 1))[0]
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
        self.commit(self.leader.finish(_ENTRY, finish, 1, 1))
        digests.append(digests[-1])


def main() -> None:
    """Prints the microseconds per call by the turns of a program."""
    print("| turns a program | us a call |")
    print("| --- | --- |")
    for turns in (1, 10, 100):
        shard_leader = ImmediateLeader(candidates.sticky)
        start_s = time.process_time()
        for number in range(_CALL_COUNT // turns):
            digests: list[bytes] = []
            for turn in range(turns):
                shard_leader.make_call(f"p{number}", turn, digests)
        used_s = time.process_time() - start_s
        print(f"| {turns} | {used_s / _CALL_COUNT * 1e6:.0f} |")


if __name__ == "__main__":
    main()
