"""An entry's connections to the replicas, tested with fake replicas."""

from __future__ import annotations

import asyncio
from typing import Any

from catkinpin.adapters.entry import shards
from catkinpin.adapters.peers import links, peerserver, wire
from catkinpin.core import messages
from tests import base

_GROUP = "shard-0"
_TIMEOUT_S = 2.0
_KEY = messages.ProgramKey(account="ruegg", program="p")


class FakeReplica:
    """A fake replica that announces leaders.

    Args:
        answers: whether it answers requests for programs.
    """

    def __init__(self, *, answers: bool) -> None:
        self._answers = answers
        self.received_ask = asyncio.Event()
        self.server = peerserver.PeerServer(
            wire.ToReplica, self._handle, lambda _: None
        )
        self.address = ""

    async def start(self) -> None:
        """Listens."""
        self.address = await self.server.start("127.0.0.1:0")

    def announce(self, leader: str, term: int) -> None:
        """Announces the group's leader to all connected entries."""
        announcement = messages.GroupLeader(
            group=_GROUP, term=term, leader=leader
        )
        for stream in self.server.streams:
            stream.send(announcement)

    def _handle(self, stream: links.Stream, message: Any) -> None:
        if not isinstance(message, messages.GetProgram):
            return
        self.received_ask.set()
        if self._answers:
            stream.send(
                messages.ProgramInfo(
                    ask=message.ask,
                    key=message.key,
                    next_seq=7,
                    turns=6,
                    ended=False,
                    spent_tokens=0,
                    reserved_tokens=0,
                    budget_tokens=0,
                )
            )


class ReplicasTest(base.TestCase):
    """Requests to a leader that changes."""

    def test_ask_moves_on_when_another_replica_leads(self) -> None:
        """Guards against waiting for a leader that has been replaced.

        The leader is partitioned from the other replicas, but not from the
        entries. It can't commit, and its connections stay open. The caller must
        get the next leader's answer and not wait until its deadline.
        """
        self.run_async(self._check_moved_leader())

    async def _check_moved_leader(self) -> None:
        old, new = FakeReplica(answers=False), FakeReplica(answers=True)
        await old.start()
        await new.start()
        hello = messages.Hello(
            process="entry-1",
            incarnation="1",
            role="entry",
            address="127.0.0.1:1",
            domain="",
            region="",
        )
        replicas = shards.Replicas(
            [old.address, new.address], hello, lambda _: None, lambda _: None
        )
        replicas.start()
        try:
            await self._ask_during_change(replicas, old, new)
        finally:
            await replicas.stop()
            await old.server.stop()
            await new.server.stop()

    async def _ask_during_change(
        self, replicas: shards.Replicas, old: FakeReplica, new: FakeReplica
    ) -> None:
        for link in replicas.links.values():
            await asyncio.wait_for(link.connected.wait(), _TIMEOUT_S)
        old.announce(old.address, term=1)
        ask_task = asyncio.create_task(
            replicas.ask(
                _GROUP,
                lambda ask: messages.GetProgram(ask=ask, key=_KEY),
                timeout_s=30.0,
            )
        )
        await asyncio.wait_for(old.received_ask.wait(), _TIMEOUT_S)
        new.announce(new.address, term=2)
        info = await asyncio.wait_for(ask_task, _TIMEOUT_S)
        self.assertEqual(7, info.next_seq)
