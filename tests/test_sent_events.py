"""Events that are stored before callers get them, and where callers go on."""

from __future__ import annotations

import pathlib
import tempfile

import msgspec
import testtools

from catkinpin import codec
from catkinpin.adapters.disk.turnbytes import TurnBytes
from catkinpin.core.control.ledger import Ledger
from catkinpin.core.control.resumption import Resumption, SentTurn
from catkinpin.core.control.turnrecords import (
    Begin,
    Denial,
    Finish,
    LedgerState,
)
from catkinpin.core.requests import sentevents
from catkinpin.core.requests.sentevents import Mismatch, SentEvent, SentStream

_RETAIN_MS = 60_000
_MAX_TOKENS = 300
_EVENT_TOKENS = 10


def _events(name: str, count: int, kept: list[SentEvent]) -> list[SentEvent]:
    """Returns events up to a number, of which the first ones are kept ones."""
    numbers = range(len(kept) + 1, count + 1)
    own = [SentEvent(id=str(n), data=f"{name}-{n}".encode()) for n in numbers]
    return [*kept, *own]


class ChosenStreamTest(testtools.TestCase):
    """Which of several streams a caller has received in part."""

    def test_stream_is_kept_up_to_the_callers_event(self) -> None:
        """Guards against events in a history that the caller has not got."""
        stream = SentStream("a", _events("a", 9, []))
        chosen = sentevents.choose_stream([stream], "7")
        assert isinstance(chosen, SentStream)
        self.assertEqual(_events("a", 7, []), chosen.events)

    def test_resumed_stream_goes_before_the_one_that_it_resumes(self) -> None:
        """Guards against events of a server that the caller has left.

        The limit of the older stream, 4 events, is applied by the reader.
        """
        first = _events("a", 4, [])
        second = _events("b", 8, first)
        chosen = sentevents.choose_stream(
            [SentStream("a", first), SentStream("b", second)], "6"
        )
        self.assertEqual(SentStream("b", second[:6]), chosen)

    def test_equal_streams_count_as_one(self) -> None:
        """Guards against refusing a caller whose events are known."""
        first = _events("a", 4, [])
        streams = [SentStream("a", first), SentStream("b", first)]
        chosen = sentevents.choose_stream(streams, "3")
        self.assertEqual(SentStream("b", first[:3]), chosen)

    def test_streams_that_differ_are_not_guessed_from(self) -> None:
        """Guards against events of one turn in the history of its twin."""
        streams = [SentStream(n, _events(n, 5, [])) for n in ("a", "b")]
        chosen = sentevents.choose_stream(streams, "3")
        self.assertIs(Mismatch.SEVERAL_TURNS, chosen)

    def test_unknown_event_is_told_from_one_that_cannot_be_read(self) -> None:
        """Guards against refusing for good what a silent host may have."""
        whole = SentStream("a", _events("a", 5, []))
        cut = SentStream("b", _events("b", 2, []), is_complete=False)
        chosen = sentevents.choose_stream([whole], "6")
        self.assertIs(Mismatch.NO_SUCH_EVENT, chosen)
        chosen = sentevents.choose_stream([], "6")
        self.assertIs(Mismatch.NO_SUCH_EVENT, chosen)
        for event_id in ("4", "6"):
            chosen = sentevents.choose_stream([whole, cut], event_id)
            self.assertIs(Mismatch.UNKNOWN, chosen)

    def test_bytes_that_are_no_part_are_ignored(self) -> None:
        """Guards against a part that another program has written."""
        part = sentevents.encode_part(_events("a", 2, []))
        self.assertEqual(_events("a", 2, []), sentevents.decode_part(part))
        for data in (b"", b"\x00", part[:-1], b"<input>1\n"):
            self.assertIsNone(sentevents.decode_part(data))


def _begin(attempt: str, **fields: object) -> Begin:
    plain = Begin(
        attempt=attempt,
        program="p",
        previous="",
        budget=1_000,
        max_tokens=_MAX_TOKENS,
        retain_ms=_RETAIN_MS,
        at_ms=0,
        resume_key="k",
    )
    return msgspec.structs.replace(plain, **fields)


def _finish(attempt: str, **fields: object) -> Finish:
    plain = Finish(
        attempt=attempt,
        program="p",
        tokens=0,
        is_whole=False,
        holders=[],
        size=0,
        at_ms=0,
    )
    return msgspec.structs.replace(plain, **fields)


def _resume(attempt: str, kept: int, stored: int) -> Resumption:
    return Resumption(
        attempt=attempt,
        kept_events=kept,
        kept_tokens=kept * _EVENT_TOKENS,
        sent_tokens=stored * _EVENT_TOKENS,
    )


def _spent(ledger: Ledger) -> tuple[int, int]:
    """Returns the spent and the reserved tokens of the only program."""
    (budget,) = ledger.state().budgets
    return budget.spent, budget.reserved


class ResumableTurnsTest(testtools.TestCase):
    """What the ledger knows of turns that callers resume."""

    def test_turn_is_found_until_it_expires(self) -> None:
        """Guards against a part that is forgotten as its gateway is gone."""
        ledger = Ledger()
        for attempt in ("open", "left", "whole"):
            ledger.begin(_begin(attempt))
        ledger.finish(_finish("left"))
        ledger.finish(_finish("whole", is_whole=True, holders=["h"]))
        names = ["open", "left", "whole"]
        found = ledger.resumable.find("", "p", "k")
        self.assertEqual([SentTurn(attempt=name) for name in names], found)
        self.assertEqual([], ledger.resumable.find("other", "p", "k"))
        self.assertEqual([], ledger.resumable.find("", "q", "k"))
        self.assertEqual([], ledger.resumable.find("", "p", "other"))
        out = ledger.finish(_finish("none", at_ms=_RETAIN_MS + 1))
        self.assertEqual(["left", "whole"], sorted(set(out.expired)))
        # The open one goes with the budget of its program.
        out = ledger.finish(_finish("none", at_ms=2 * _RETAIN_MS))
        self.assertEqual(["open"], out.expired)
        self.assertEqual([], ledger.resumable.find("", "p", "k"))

    def test_turns_without_stored_events_are_not_tracked(self) -> None:
        """Guards against a ledger that grows with turns nobody resumes."""
        ledger = Ledger()
        ledger.begin(_begin("a", resume_key=""))
        self.assertEqual([], ledger.state().resumable)

    def test_state_outlasts_a_snapshot(self) -> None:
        """Guards against turns that a restarted keeper can't find."""
        ledger = Ledger()
        ledger.begin(_begin("a"))
        ledger.begin(_begin("b", resumption=_resume("a", 4, 6)))
        data = codec.encode(ledger.state())
        restored = Ledger()
        restored.restore(codec.decoder(LedgerState).decode(data))
        self.assertEqual(
            ledger.resumable.find("", "p", "k"),
            restored.resumable.find("", "p", "k"),
        )
        self.assertEqual(ledger.state(), restored.state())

    def test_caller_goes_on_only_from_events_that_it_has(self) -> None:
        """Guards against events that a left server sent to nobody."""
        ledger = Ledger()
        ledger.begin(_begin("a"))
        ledger.begin(_begin("b", resumption=_resume("a", 4, 6)))
        found = ledger.resumable.find("", "p", "k")
        self.assertEqual(
            [SentTurn(attempt="a", usable_events=4), SentTurn(attempt="b")],
            found,
        )

    def test_turn_that_was_resumed_does_not_finish(self) -> None:
        """Guards against two outputs of a turn, one of which nobody got."""
        ledger = Ledger()
        ledger.begin(_begin("a"))
        ledger.begin(_begin("b", resumption=_resume("a", 4, 6)))
        out = ledger.finish(_finish("a", is_whole=True, holders=["h"]))
        self.assertEqual("a", out.missing)
        ledger.finish(_finish("b", is_whole=True, holders=["h"]))
        self.assertEqual(["b"], list(ledger.turns))

    def test_turn_that_expired_is_not_resumed(self) -> None:
        """Guards against a resumed turn whose parts are being dropped."""
        ledger = Ledger()
        out = ledger.begin(_begin("b", resumption=_resume("a", 4, 6)))
        self.assertEqual(Denial.NO_SUCH_EVENT, out.denial)

    def test_tokens_of_a_chain_count_once(self) -> None:
        """Guards against a budget that broken parts use up twice.

        The first turn has sent 6 events, of which its caller got 4; the
        second one 3 more, all of which it got.
        """
        ledger = Ledger()
        ledger.begin(_begin("a"))
        ledger.begin(_begin("b", resumption=_resume("a", 4, 6)))
        self.assertEqual((60, _MAX_TOKENS - 40), _spent(ledger))
        ledger.begin(_begin("c", resumption=_resume("b", 7, 7)))
        self.assertEqual((60 + 30, _MAX_TOKENS - 70), _spent(ledger))
        ledger.finish(_finish("c", is_whole=True, tokens=50))
        self.assertEqual((60 + 30 + 50, 0), _spent(ledger))

    def test_last_turn_that_the_budget_allows_can_be_resumed(self) -> None:
        """Guards against a 402 for the rest of a turn that was allowed."""
        for has_ended in (False, True):
            ledger = Ledger()
            ledger.begin(_begin("a", budget=50))
            if has_ended:
                ledger.finish(_finish("a", tokens=60))
            resumption = _resume("a", 4, 6)
            begin = _begin("b", budget=50, resumption=resumption)
            self.assertEqual(Denial.NONE, ledger.begin(begin).denial)
            again = _begin("c", budget=50)
            self.assertEqual(Denial.BUDGET_SPENT, ledger.begin(again).denial)

    def test_resuming_again_and_again_spends_the_budget(self) -> None:
        """Guards against a caller that resumes to evade its budget."""
        ledger = Ledger()
        ledger.begin(_begin("t0"))
        sent = 0
        for number in range(1, 200):
            ledger.finish(_finish(f"t{number - 1}", tokens=_MAX_TOKENS - 10))
            sent += _MAX_TOKENS - 10
            resumption = _resume(f"t{number - 1}", 1, 30)
            begin = _begin(f"t{number}", resumption=resumption)
            if ledger.begin(begin).denial:
                break
        self.assertLess(sent, 1_000 + _MAX_TOKENS)

    def test_tokens_sent_after_the_break_are_charged(self) -> None:
        """Guards against tokens of a frozen gateway that nobody counts."""
        ledger = Ledger()
        ledger.begin(_begin("a"))
        ledger.begin(_begin("b", resumption=_resume("a", 4, 6)))
        for _ in range(2):
            ledger.finish(_finish("a", tokens=90))
        self.assertEqual((90, _MAX_TOKENS - 40), _spent(ledger))
        ledger.finish(_finish("a", tokens=20))
        self.assertEqual((90, _MAX_TOKENS - 40), _spent(ledger))


class StoredPartsTest(testtools.TestCase):
    """Parts of turns on a disk."""

    def test_parts_are_dropped_with_their_turn(self) -> None:
        """Guards against parts that stay on the disk for good."""
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(name)
            store = TurnBytes(folder)
            for number in range(3):
                store.add(sentevents.part_name("a", number), b"x")
                store.add(sentevents.part_name("b", number), b"y")
            store.add("a", b"whole")
            store.sync()
            store.close()
            store = TurnBytes(folder)
            self.assertEqual(["a", "b"], sorted(store.attempts()))
            store.drop(["a"])
            self.assertEqual(["b"], store.attempts())
            self.assertIsNone(store.read(sentevents.part_name("a", 1)))
            self.assertEqual(b"y", store.read(sentevents.part_name("b", 2)))
            store.close()
