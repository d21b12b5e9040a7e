"""Tests what logs and files hold that this build would not have written."""

from __future__ import annotations

import threading
from typing import Any

import msgspec

from catkinpin import codec
from catkinpin.adapters.keeper.asks import AskHandler
from catkinpin.core.control import ledger, protocol, state
from catkinpin.core.control.stores import Store
from tests import base, fuzzpeers

_SEEDS = 40
_TIMEOUT_S = 20.0
_HUGE = 2**64 - 1


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
        begin = ledger.Begin(
            attempt="",
            program="p",
            previous="",
            budget=-1,
            max_tokens=1,
            retain_ms=1_000,
            at_ms=1,
        )
        finish = ledger.Finish(
            attempt="",
            program="p",
            tokens=1,
            is_whole=True,
            holders=[],
            size=1,
            at_ms=2,
        )

        def work() -> None:
            bodies: list[ledger.Begin | ledger.Finish] = [begin, finish, begin]
            for index, body in enumerate(bodies):
                machine.apply(index, state.Record(tag="", body=body))

        self._assert_ends(work)

    def test_sum_beyond_64_bits_is_stored(self) -> None:
        """Guards against numbers that fail each replica's next snapshot."""
        machine = state.ControlState()
        for number in range(3):
            begin = ledger.Begin(
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
        begin = ledger.Begin(
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
