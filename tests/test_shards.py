"""An entry's streams to the replicas, against stand-ins of replicas."""

from __future__ import annotations

import asyncio
from typing import Any

from catkinpin.adapters.entry import shards
from catkinpin.adapters.peers import links, wire
from catkinpin.core import messages
from tests import base

_GROUP = "shard-0"
_SOON_S = 2.0
_KEY = messages.ProgramKey(account="ruegg", program="p")


class Replica:
    """A stand-in: says who leads, and answers where it is told to."""

    def __init__(self, *, answers: bool) -> None:
        self._answers = answers
        self.asked = asyncio.Event()
        self.server = links.PeerServer(
            wire.ToReplica, self._handle, lambda _: None
        )
        self.address = ""

    async def start(self) -> None:
        """Listens."""
        self.address = await self.server.start("127.0.0.1:0")

    def announce(self, leader: str, term: int) -> None:
        """Tells every entry who leads."""
        news = messages.GroupLeader(group=_GROUP, term=term, leader=leader)
        for stream in self.server.streams:
            stream.send(news)

    def _handle(self, stream: links.Stream, message: Any) -> None:
        if not isinstance(message, messages.GetProgram):
            return
        self.asked.set()
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
    """Asking the leader while leadership moves."""

    def test_ask_moves_on_when_another_replica_leads(self) -> None:
        """A leader is cut off from the other replicas but not from entries.

        It can commit nothing more, and its streams stay up. A caller must get
        the answer of the next leader, and not wait for its deadline.
        """
        self.run_async(self._moved())

    async def _moved(self) -> None:
        old, new = Replica(answers=False), Replica(answers=True)
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
            await self._ask_while_moving(replicas, old, new)
        finally:
            await replicas.stop()
            await old.server.stop()
            await new.server.stop()

    async def _ask_while_moving(
        self, replicas: shards.Replicas, old: Replica, new: Replica
    ) -> None:
        for link in replicas.links.values():
            await asyncio.wait_for(link.connected.wait(), _SOON_S)
        old.announce(old.address, term=1)
        asking = asyncio.create_task(
            replicas.ask(
                _GROUP,
                lambda ask: messages.GetProgram(ask=ask, key=_KEY),
                timeout_s=30.0,
            )
        )
        await asyncio.wait_for(old.asked.wait(), _SOON_S)
        new.announce(new.address, term=2)
        info = await asyncio.wait_for(asking, _SOON_S)
        self.assertEqual(7, info.next_seq)
