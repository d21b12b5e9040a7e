"""Requests that crash servers, on the OpenAI interface without processes."""

from __future__ import annotations

from catkinpin import digest
from catkinpin.core import messages
from catkinpin.core.messages import CallKey
from catkinpin.verdicts import Reason
from tests import base
from tests.fakes import world as worlds
from tests.fakes import worldfacts
from tests.fakes.worldprogram import Program


class QuarantineTest(base.TestCase):
    """One request crashes at most two servers."""

    def test_request_that_crashes_servers(self) -> None:
        """A request crashes every server that runs it, and is sent again.

        It comes again with other ids and programs, while other callers use
        the same servers. They see only a short delay; the request is refused
        after its second crash.
        """
        for seed in range(4):
            for restarts in (True, False):
                for gap_ms in (0, 40, 700):
                    self._send_repeatedly(seed, gap_ms, restarts=restarts)

    def _send_repeatedly(
        self, seed: int, gap_ms: int, *, restarts: bool
    ) -> None:
        world = worlds.World(seed, server_count=5)
        world.run(500)
        for server in world.servers.values():
            server.poison = {digest.of_bytes(b"poison")}
            server.restarts = restarts
        other_programs = [Program(world, f"i{i}", "mmmm") for i in range(6)]
        sent = []
        for number in range(8):
            sent.append(self._send_poison(world, number))
            world.run(gap_ms)
        world.run(30_000)
        crashes = sum(server.crashes for server in world.servers.values())
        self.assertLessEqual(crashes, 2, (seed, gap_ms, restarts))
        for request in sent:
            self.assertIsInstance(request.final, messages.Refused)
        last = sent[-1].final
        assert isinstance(last, messages.Refused)
        self.assertEqual(Reason.QUARANTINED, last.reason)
        for program in other_programs:
            self.assertTrue(program.ended, program.answers)

    def test_harmless_request_is_served_after_two_servers_end_at_once(
        self,
    ) -> None:
        """Guards against refusing what all programs send, for good.

        Two servers end at the same moment, while each of them runs the same
        first message of another program.
        """
        for seed in range(6):
            world = worlds.World(seed, server_count=5)
            world.run(500)
            # Answered before, so that copies of it run on several servers.
            self._send_poison(world, 0)
            world.run(2_000)
            sent = [self._send_poison(world, number) for number in range(1, 9)]
            world.run(50)
            busy = [s for s in world.servers.values() if s._running]
            self.assertGreater(len(busy), 1, seed)
            for server in busy:
                server.kill()
            world.run(10_000)
            self.assertEqual(set(), world.quarantined)
            for request in sent:
                self.assertIsInstance(request.final, messages.Finished)

    def test_service_call_is_recognized_under_new_programs(self) -> None:
        """Guards against a crashing call that each time has a new program.

        It goes to a plain service and has no body.
        """
        for seed in range(4):
            world = worlds.World(seed, server_count=5)
            world.run(500)
            for server in world.servers.values():
                server.poison = {digest.of_bytes(b"poison")}
            sent = []
            for number in range(6):
                sent.append(self._send_poison(world, number, kind="service"))
                world.run(700)
            world.run(30_000)
            crashes = sum(server.crashes for server in world.servers.values())
            self.assertLessEqual(crashes, 2, seed)
            last = sent[-1].final
            assert isinstance(last, messages.Refused)
            self.assertEqual(Reason.QUARANTINED, last.reason)

    def test_message_is_recognized_in_other_conversations(self) -> None:
        """Guards against a message that crashes two servers per conversation.

        Each conversation has a history of its own before the message.
        """
        for seed in range(6):
            for gap_ms in (700, 3_000):
                self._send_in_conversations(seed, gap_ms)

    def _send_in_conversations(self, seed: int, gap_ms: int) -> None:
        world = worlds.World(seed, server_count=5)
        world.run(500)
        for server in world.servers.values():
            server.poison = {digest.of_bytes(b"poison")}
        other_programs = [Program(world, f"i{i}", "mmmm") for i in range(6)]
        sent = []
        for number in range(8):
            history = f"history {number}".encode()
            sent.append(self._send_poison(world, number, history=history))
            world.run(gap_ms)
        world.run(30_000)
        crashes = sum(server.crashes for server in world.servers.values())
        self.assertLessEqual(crashes, 3, (seed, gap_ms))
        last = sent[-1].final
        assert isinstance(last, messages.Refused)
        self.assertEqual(Reason.QUARANTINED, last.reason)
        for program in other_programs:
            self.assertTrue(program.ended, program.answers)

    def test_common_message_is_served_after_two_servers_end_in_turn(
        self,
    ) -> None:
        """Guards against refusing what all programs say after their answers.

        Servers end in turn, each while it runs the message of several
        conversations; other servers answer it.
        """
        for seed in range(6):
            world = worlds.World(seed, server_count=5)
            world.run(500)
            sent = []
            for number in range(40):
                history = f"history {number}".encode()
                sent.append(self._send_poison(world, number, history=history))
                world.run(20)
                busy = [s for s in world.servers.values() if s._running]
                if number in (10, 20, 30) and busy:
                    busy[0].kill()
            world.run(10_000)
            self.assertEqual(set(), world.quarantined, seed)
            for request in sent:
                self.assertIsInstance(request.final, messages.Finished)

    def _send_poison(
        self,
        world: worlds.World,
        number: int,
        kind: str = "model",
        history: bytes = b"",
    ) -> worldfacts.Sent:
        key = CallKey(
            account="a", program=f"x{number}", request_id=f"x{number}-1"
        )
        texts = [text for text in (history, b"poison") if text]
        begin = messages.Begin(
            ask=0,
            key=key,
            kind=kind,
            target=kind,
            idempotent=True,
            deadline_ms=worldfacts.DEADLINE_MS,
            fingerprint=digest.of_bytes(b"poison"),
            digests=[digest.of_bytes(text) for text in texts],
            prompt_tokens=worldfacts.TOKENS,
            max_tokens=worldfacts.TOKENS,
        )
        sent = worldfacts.Sent(key, world.now, f"e{number % 3}")
        world.entries[sent.entry].start(begin, sent, texts)
        return sent
