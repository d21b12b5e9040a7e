"""Quarantine of a request that crashes servers, with real processes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from catkinpin import codec
from catkinpin.core.operations import changes, control, snapshot
from catkinpin.core.operations.quarantine import ContentQuarantine
from catkinpin.core.programs.program import CallDigests
from catkinpin.core.programs.quarantine import Quarantine, Strike
from tests import base

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

_POISON = "cut blank 0xdead"
_CONTENT = CallDigests(b"content")


class StrikeTest(base.TestCase):
    """Crashes that count against a content."""

    def test_one_crash_with_two_copies_counts_once(self) -> None:
        """Guards against a quarantine after a single crash.

        Two programs sent the same content, and both copies were running on the
        server that crashed.
        """
        quarantine = Quarantine()
        for at_ms in (1, 2):
            strike = Strike("s1", "i1", at_ms)
            quarantine.add_strike(_CONTENT, strike)
        self.assertFalse(quarantine.must_wait(_CONTENT))
        quarantine.resolve("s1", "i1", crashed=True)
        self.assertEqual([], quarantine.quarantine_repeated(2))
        quarantine.add_strike(_CONTENT, Strike("s1", "i2", 3))
        self.assertTrue(quarantine.must_wait(_CONTENT))
        quarantine.resolve("s1", "i2", crashed=True)
        self.assertEqual([b"content"], quarantine.quarantine_repeated(3))

    def _crash(
        self,
        quarantine: Quarantine,
        server: str,
        began_ms: int,
        ended_ms: int,
        *,
        is_repeat: bool = False,
    ) -> list[bytes]:
        """Crashes a server under a content; returns what is quarantined."""
        strike = Strike(
            server, "i1", ended_ms, began_ms=began_ms, is_repeat=is_repeat
        )
        quarantine.add_strike(_CONTENT, strike)
        quarantine.resolve(server, "i1", crashed=True)
        return quarantine.quarantine_repeated(ended_ms)

    def test_crashes_at_one_moment_count_once(self) -> None:
        """Guards against refusing what ran on servers that ended together."""
        quarantine = Quarantine()
        self.assertEqual([], self._crash(quarantine, "s1", 100, 1_000))
        self.assertEqual([], self._crash(quarantine, "s2", 120, 1_010))
        self.assertFalse(quarantine.must_wait(_CONTENT))
        causes = self._crash(quarantine, "s3", 1_500, 1_600)
        self.assertEqual([b"content"], causes)

    def test_crash_of_a_known_suspect_counts(self) -> None:
        """Guards against reports so late that runs seem to overlap."""
        quarantine = Quarantine()
        self._crash(quarantine, "s1", 100, 1_000)
        causes = self._crash(quarantine, "s2", 900, 1_100, is_repeat=True)
        self.assertEqual([b"content"], causes)

    def test_old_crash_is_no_evidence(self) -> None:
        """Guards against refusing a content for two crashes in a long time."""
        quarantine = Quarantine()
        self._crash(quarantine, "s1", 0, 10)
        causes = self._crash(quarantine, "s2", 300_100, 300_200)
        self.assertEqual([], causes)

    def test_one_crash_after_a_quarantine_is_enough(self) -> None:
        """Guards against two servers lost after each quarantine."""
        quarantine = Quarantine()
        self._crash(quarantine, "s1", 0, 10)
        self._crash(quarantine, "s2", 100, 110)
        quarantine.mark_shared([b"content"])
        self.assertTrue(quarantine.is_suspect(_CONTENT))
        self.assertFalse(quarantine.must_wait(_CONTENT))
        causes = self._crash(quarantine, "s3", 30_200, 30_300)
        self.assertEqual([b"content"], causes)
        quarantine.mark_shared([b"content"])
        quarantine.clear_suspect(_CONTENT)
        self.assertFalse(quarantine.is_suspect(_CONTENT))
        self.assertEqual([], self._crash(quarantine, "s4", 60_000, 60_010))


class MessageTest(base.TestCase):
    """Crashes that count against a message in all conversations."""

    def setUp(self) -> None:
        super().setUp()
        self.quarantine = Quarantine()
        self.now_ms = 0

    def _crash(self, content: bytes, server: str) -> list[bytes]:
        """Crashes a server under a message; returns what is quarantined."""
        self.now_ms += 1_000
        digests = CallDigests(content, b"message")
        strike = Strike(server, "i", self.now_ms, began_ms=self.now_ms - 10)
        self.quarantine.add_strike(digests, strike)
        self.quarantine.resolve(server, "i", crashed=True)
        return self.quarantine.quarantine_repeated(self.now_ms)

    def test_message_of_several_conversations_is_quarantined(self) -> None:
        """Guards against two crashes under each conversation."""
        self.assertEqual([], self._crash(b"a", "s1"))
        self.assertFalse(
            self.quarantine.is_suspect(CallDigests(b"b", b"message"))
        )
        self.assertEqual([b"a"], self._crash(b"a", "s2"))
        self.assertTrue(
            self.quarantine.is_suspect(CallDigests(b"b", b"message"))
        )
        self.assertEqual([b"message"], self._crash(b"b", "s3"))
        later = CallDigests(b"c", b"message")
        self.assertTrue(self.quarantine.is_refused(later))

    def test_crashes_of_one_conversation_leave_others_served(self) -> None:
        """Guards against refusing a message for a history that crashes."""
        self._crash(b"a", "s1")
        self._crash(b"a", "s2")
        self.assertEqual([b"a"], self._crash(b"a", "s3"))
        other = CallDigests(b"b", b"message")
        self.assertFalse(self.quarantine.is_refused(other))

    def test_answer_clears_the_message_only(self) -> None:
        """Guards against refusing a common message for one conversation."""
        self._crash(b"a", "s1")
        self._crash(b"a", "s2")
        self.quarantine.clear_suspect(CallDigests(b"b", b"message"))
        self.assertEqual([], self._crash(b"c", "s3"))
        self.assertTrue(
            self.quarantine.is_refused(CallDigests(b"a", b"message"))
        )

    def test_crash_of_a_known_cause_is_no_evidence(self) -> None:
        """Guards against refusing what ran beside a harmful request."""
        beside = CallDigests(b"beside", b"other message")
        self.quarantine.add_strike(beside, Strike("s1", "i", 1))
        self._crash(b"a", "s1")
        self.assertTrue(self.quarantine.is_suspect(beside))
        self._crash(b"a", "s2")
        self.assertFalse(self.quarantine.is_suspect(beside))

    def test_snapshot_keeps_the_evidence(self) -> None:
        """Guards against more crashes after a restart."""
        self._crash(b"a", "s1")
        self._crash(b"a", "s2")
        data = codec.encode(self.quarantine)
        self.quarantine = codec.decoder(Quarantine).decode(data)
        self.assertEqual([b"message"], self._crash(b"b", "s3"))


class TermTest(base.TestCase):
    """Quarantines of the control group."""

    def setUp(self) -> None:
        super().setUp()
        self.state = control.ControlState()
        self.now_ms = 1_000_000

    def _apply(
        self, record: changes.Quarantined | changes.QuarantineLifted
    ) -> None:
        self.state.apply(1, record)

    def _quarantine(self) -> None:
        self._apply(
            changes.Quarantined(
                fingerprint=b"content", reason="r", at_ms=self.now_ms
            )
        )

    def _wait(self, ms: int) -> bool:
        """Lets time pass; returns whether the content may run then."""
        self.now_ms += ms
        for record in self.state.quarantine.lapsed_records(self.now_ms):
            self._apply(record)
        return b"content" not in self.state.quarantine

    def _restart(self) -> None:
        data = snapshot.encode_state(self.state)
        self.state = snapshot.decode_state(data)

    def test_quarantine_ends_and_the_next_one_is_longer(self) -> None:
        """Guards against refusing a harmless content for good."""
        for minutes in (0.5, 2, 8):
            self._quarantine()
            self.assertFalse(self._wait(int(minutes * 60_000) - 1))
            self._restart()
            self.assertTrue(self._wait(1))
            self._restart()

    def test_operator_lifts_a_quarantine_with_its_trial(self) -> None:
        """Guards against a longer term for a content found harmless."""
        self._quarantine()
        self._apply(
            changes.QuarantineLifted(fingerprint=b"content", operator="o")
        )
        self.assertTrue(self._wait(0))
        self._quarantine()
        self.assertTrue(self._wait(30_000))

    def test_quarantine_of_the_previous_release_ends(self) -> None:
        """Guards against an upgrade that keeps a quarantine for good."""
        self._quarantine()
        records = self.state.quarantine.records()
        self.state.quarantine = ContentQuarantine(records)
        self.assertIn(b"content", self.state.quarantine)
        self.assertTrue(self._wait(1))


class QuarantineTest(base.TestCase):
    """One request crashes at most two servers."""

    def test_third_server_survives(self) -> None:
        """A request crashes every engine that runs it, and is sent again.

        It comes again as new calls of other programs. Its caller learns that
        it is quarantined, and concurrent requests get their answers.
        """
        self.run_async(self._third_server_survives())

    async def _third_server_survives(self) -> None:
        cluster = await base.small(self.folder)
        async with cluster:
            names = ["engine-1", "engine-2", "engine-3"]
            for name in names[1:]:
                cluster.add_fake("engine", name)
            for name in names:
                await cluster.steer(name, crash_on=_POISON)
            await base.until(
                self._all_engines_used(cluster), "three engines work"
            )
            other_calls = [
                asyncio.create_task(
                    cluster.chat("entry-1", "berater", [base.user(f"q {i}")])
                )
                for i in range(6)
            ]
            poison = [base.user(_POISON)]
            first = await cluster.chat("entry-1", "berater", poison)
            self.assertEqual("quarantined", first.json["error"]["code"])
            for number in range(4):
                again = await cluster.chat(
                    "entry-1",
                    "berater",
                    poison,
                    headers={"Catkinpin-Program": f"again-{number}"},
                )
                self.assertEqual("quarantined", again.json["error"]["code"])
                self.assertEqual("not-run", again.verdict)
            for reply in await asyncio.gather(*other_calls):
                self.assertEqual(200, reply.status, reply.body)
            self.assertEqual(1, await self._count_alive(cluster, names))

    def test_message_crashes_no_server_in_later_conversations(self) -> None:
        """Guards against two servers lost in each conversation.

        Callers send their histories along, and each has another one.
        """
        self.run_async(self._message_in_several_conversations())

    async def _message_in_several_conversations(self) -> None:
        cluster = await base.small(self.folder)
        async with cluster:
            names = [f"engine-{number}" for number in range(1, 6)]
            for name in names[1:]:
                cluster.add_fake("engine", name)
            for name in names:
                await cluster.steer(name, crash_on=_POISON)
            codes = []
            for number in range(4):
                reply = await cluster.chat(
                    "entry-1",
                    "berater",
                    [
                        base.user(f"question {number}"),
                        {"role": "assistant", "content": f"answer {number}"},
                        base.user(_POISON),
                    ],
                    headers={"Catkinpin-Program": f"conversation-{number}"},
                )
                codes.append(reply.json["error"]["code"])
            self.assertEqual("quarantined", codes[-1])
            self.assertLessEqual(2, await self._count_alive(cluster, names))
            harmless = await cluster.chat(
                "entry-1", "berater", [base.user("question 0")]
            )
            self.assertEqual(200, harmless.status, harmless.body)

    def _all_engines_used(
        self, cluster: base.Cluster
    ) -> Callable[[], Awaitable[bool]]:
        async def check() -> bool:
            # Concurrent, so that they do not all fit on the first engine.
            replies = await asyncio.gather(
                *(
                    cluster.chat(
                        "entry-1", "berater", [base.user(f"warm {number}")]
                    )
                    for number in range(12)
                )
            )
            seen = [
                len((await cluster.look(name))["seen"])
                for name in ("engine-1", "engine-2", "engine-3")
            ]
            all_answered = all(reply.status == 200 for reply in replies)
            return all_answered and min(seen) > 0

        return check

    async def _count_alive(
        self, cluster: base.Cluster, names: list[str]
    ) -> int:
        alive = 0
        for name in names:
            try:
                await cluster.look(name)
            except OSError:
                continue
            alive += 1
        return alive
