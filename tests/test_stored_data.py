"""Tests what logs and files hold that this build would not have written."""

from __future__ import annotations

import shutil
import threading
from typing import Any

import msgspec

from catkinpin import codec
from catkinpin.adapters.disk.files import FileOps
from catkinpin.adapters.disk.turnbytes import TurnBytes
from catkinpin.adapters.keeper.asks import AskHandler
from catkinpin.adapters.replica.identity import Identity
from catkinpin.core.control import protocol, state, turnrecords
from catkinpin.core.control.stores import Store
from catkinpin.exceptions import StorageError
from tests import base, fuzzpeers

_SEEDS = 40
_TIMEOUT_S = 20.0
_HUGE = 2**64 - 1
_FOLDERS = 150


class CommittedRecordTest(base.TestCase):
    """Committed records, which every replica applies alike."""

    def _assert_ends(self, work: Any) -> None:
        """Fails if the work raises, or doesn't end in time."""
        failures: list[Exception] = []

        def run() -> None:
            try:
                work()
            except Exception as exc:
                failures.append(exc)

        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        thread.join(_TIMEOUT_S)
        self.assertFalse(thread.is_alive(), "it doesn't end")
        self.assertEqual([], failures)

    def test_drawn_records_and_snapshots(self) -> None:
        """Guards against a record that ends all replicas alike."""

        def work() -> None:
            for seed in range(_SEEDS):
                fuzzpeers.fuzz(seed)

        self._assert_ends(work)

    def test_turn_without_a_name(self) -> None:
        """Guards against a turn that continues itself for ever."""
        machine = state.ControlState()
        begin = turnrecords.Begin(
            attempt="",
            program="p",
            previous="",
            budget=-1,
            max_tokens=1,
            retain_ms=1_000,
            at_ms=1,
        )
        finish = turnrecords.Finish(
            attempt="",
            program="p",
            tokens=1,
            is_whole=True,
            holders=[],
            size=1,
            at_ms=2,
        )

        def work() -> None:
            bodies: list[turnrecords.Begin | turnrecords.Finish] = [
                begin,
                finish,
                begin,
            ]
            for index, body in enumerate(bodies):
                machine.apply(index, state.Record(tag="", body=body))

        self._assert_ends(work)

    def test_sum_beyond_64_bits_is_stored(self) -> None:
        """Guards against numbers that fail each replica's next snapshot."""
        machine = state.ControlState()
        for number in range(3):
            begin = turnrecords.Begin(
                attempt=f"a{number}",
                program="p",
                previous="",
                budget=-1,
                max_tokens=_HUGE,
                retain_ms=_HUGE,
                at_ms=1,
                left_ms=_HUGE,
            )
            machine.apply(number, state.Record(tag="", body=begin))
        restored = state.ControlState()
        restored.restore(3, machine.snapshot())
        self.assertTrue(restored.ledger.knows_turn("a2"))
        (budget,) = restored.ledger.state().budgets
        self.assertEqual(codec.MAX_NUMBER, budget.reserved)


class KeeperBorderTest(base.TestCase):
    """Requests to a keeper that would put odd records into the log."""

    def _ask(self, message: Any) -> list[Any]:
        """Returns what a handler without a working keeper replies."""
        replies: list[Any] = []

        class Stream:
            hello = None

            def send(self, reply: Any) -> None:
                replies.append(reply)

        class Nothing:
            def __getattr__(self, name: str) -> Any:
                raise AssertionError(f"used {name}")

        class Host(Nothing):
            class group:  # noqa: N801
                leader = ""

        nothing: Any = Nothing()
        host: Any = Host()
        stream: Any = Stream()
        handler = AskHandler(
            host, nothing, nothing, nothing, nothing, nothing, nothing, 1.0
        )
        self.run_async(handler.answer(stream, message))
        return replies

    def test_odd_requests_are_refused(self) -> None:
        """Guards against a store or a turn that no process can use."""
        begin = turnrecords.Begin(
            attempt="",
            program="",
            previous="",
            budget=-1,
            max_tokens=1,
            retain_ms=1,
            at_ms=0,
        )
        store = Store(node="n", name="n", address="", domain="", region="")
        odd: list[Any] = [protocol.AskBegin(ask=1, begin=begin)]
        for address in ("", "127.0.0.1", "127.0.0.1:\u00b2", "a:99999"):
            named = msgspec.structs.replace(store, address=address)
            odd.append(protocol.AskRegister(ask=1, store=named))
        for message in odd:
            (reply,) = self._ask(message)
            self.assertIsInstance(reply, protocol.Refused)


class DataFolderTest(base.TestCase):
    """Files that another program, or a failing disk, has changed."""

    def test_damaged_folder_is_read_or_refused(self) -> None:
        """Guards against a traceback at a start, and against silent loss."""
        for seed in range(_FOLDERS):
            result = fuzzpeers.fuzz_folder(seed, self.folder / str(seed))
            what, _, outcome = result.partition(": ")
            if outcome != "refused" and ".turns" not in what:
                self.assertIn("(20, ", outcome, f"seed {seed}: {what}")

    def test_foreign_names(self) -> None:
        """Guards against a foreign file that prevents a start."""
        fuzzpeers.write_folder(self.folder / "data")
        for name in ("log/x.segment", "log/\u00b2.segment", "turns/x.turns"):
            (self.folder / "data" / name).write_bytes(b"x")
        (self.folder / "data/log/y.segment").mkdir()
        self.assertEqual((20, 5), fuzzpeers.read_folder(self.folder / "data"))

    def test_lost_segment_is_noticed(self) -> None:
        """Guards against a replica that forgets what it acknowledged."""
        for record_bytes in range(5, 40):
            folder = self.folder / str(record_bytes)
            fuzzpeers.write_folder(folder, record_bytes)
            *older, _ = sorted((folder / "log").glob("*.segment"))
            for path in older:
                copied = folder.with_name(f"{record_bytes} {path.stem}")
                shutil.copytree(folder, copied)
                (copied / "log" / path.name).unlink()
                self.assertRaises(StorageError, fuzzpeers.read_folder, copied)

    def test_deep_identity(self) -> None:
        """Guards against a traceback instead of one line."""
        fuzzpeers.write_folder(self.folder / "data")
        path = self.folder / "data/identity.json"
        contents = (b'{"version":' + b"[" * 50_000, b"[]", b"", b"\0" * 9)
        for content in contents:
            path.write_bytes(content)
            self.assertRaises(StorageError, Identity, path.parent, FileOps())

    def test_damaged_turn_costs_no_other(self) -> None:
        """Guards against a flipped bit that loses all later turns."""
        turns = TurnBytes(self.folder / "turns")
        for number in range(5):
            turns.add(f"a{number}", b"%d" % number * 50)
        turns.sync()
        turns.close()
        (path,) = (self.folder / "turns").glob("*.turns")
        content = bytearray(path.read_bytes())
        content[content.index(b"1" * 50)] ^= 1
        path.write_bytes(content + bytes(100))
        turns = TurnBytes(self.folder / "turns")
        self.assertEqual(["a0", "a2", "a3", "a4"], turns.attempts())
        self.assertEqual(b"4" * 50, turns.read("a4"))
        turns.close()
