"""What decides about streams in the core: splicing, patience, histories."""

from __future__ import annotations

import json
from typing import Any

import prometheus_client

from catkinpin.adapters.entry import calls
from catkinpin.core.programs import texts
from catkinpin.core.requests import pauses, splice
from catkinpin.exceptions import DivergedError
from tests import base


def _event(delta: dict[str, Any], end: str | None = None) -> bytes:
    choice = {"index": 0, "delta": delta, "finish_reason": end}
    return json.dumps({"id": "first", "choices": [choice]}).encode()


def _words(text: str, size: int) -> list[bytes]:
    parts = [text[i : i + size] for i in range(0, len(text), size)]
    return [_event({"content": part}) for part in parts]


class SpliceTest(base.TestCase):
    """An answer that is generated anew goes on where the first one ended."""

    def test_every_cut_of_differently_cut_streams(self) -> None:
        """Two servers cut one text into events of different sizes.

        Wherever the first one is lost, the caller gets the text once.
        """
        text = "the grant needs a form and a deadline"
        for size in (1, 3, 5, 40):
            for cut in range(len(text)):
                joined = splice.Splice()
                got = [joined.feed(e) for e in _words(text, 4)[:cut]]
                joined.restart()
                got += [joined.feed(e) for e in _words(text, size)]
                texts = [
                    json.loads(data)["choices"][0]["delta"]["content"]
                    for data in got
                    if data is not None
                ]
                self.assertEqual(text, "".join(texts), (size, cut))

    def test_another_text_and_a_shorter_one_are_refused(self) -> None:
        for events in (
            _words("other", 2),
            [*_words("te", 2), _event({}, "stop")],
        ):
            joined = splice.Splice()
            for event in _words("text", 2):
                joined.feed(event)
            joined.restart()
            with self.assertRaises(DivergedError):
                for event in events:
                    joined.feed(event)

    def test_tool_calls_are_joined_too(self) -> None:
        """A server is lost in the middle of a tool call's arguments."""
        parts = ['{"am', "ount", '": 5}']
        events = [
            _event({"tool_calls": [{"index": 0, "function": {"arguments": p}}]})
            for p in parts
        ]
        joined = splice.Splice()
        got = [joined.feed(event) for event in events[:2]]
        joined.restart()
        got += [joined.feed(event) for event in events]
        arguments = [
            json.loads(data)["choices"][0]["delta"]["tool_calls"][0]["function"]
            for data in got
            if data is not None
        ]
        text = "".join(part["arguments"] for part in arguments)
        self.assertEqual({"amount": 5}, json.loads(text))


class FirstTokenTest(base.TestCase):
    """The time to the first token, as operators see it."""

    def test_only_the_first_event_of_a_call_is_timed(self) -> None:
        """A call streams many events, and is generated anew on the way.

        The metric counts the call once, with the time to its first event.
        """
        times = iter((1.0, 1.5))
        name = "catkinpin_first_token_seconds"
        before = [self._value(f"{name}_{part}") for part in ("count", "sum")]
        call = calls.RunningCall(lambda: next(times))
        for word in _words("some text", 4):
            call.feed(word)
        call.restart()
        for word in _words("some text and more", 4):
            call.feed(word)
        after = [self._value(f"{name}_{part}") for part in ("count", "sum")]
        self.assertEqual(before[0] + 1, after[0])
        self.assertAlmostEqual(before[1] + 0.5, after[1])

    def _value(self, name: str) -> float:
        return prometheus_client.REGISTRY.get_sample_value(name) or 0.0


class GapsTest(base.TestCase):
    """Patience with a silent stream follows the server's own pace."""

    def test_patience_lies_within_its_bounds(self) -> None:
        known = pauses.Gaps(200, 5_000)
        self.assertEqual(5_000, known.election_timeout_ms("unknown"))
        for gap, low, high in (
            (1, 200, 200),
            (26, 200, 400),
            (9_000, 5_000, 5_000),
        ):
            for _ in range(60):
                known.note(f"s{gap}", gap)
            patience = known.election_timeout_ms(f"s{gap}")
            self.assertTrue(low <= patience <= high, (gap, patience))


class HistoriesTest(base.TestCase):
    """What is held of histories stays within its bound."""

    def test_bound_and_replacement(self) -> None:
        held = texts.HistoryCache(max_bytes=100)
        held.put(b"a", [b"x" * 40], b"")
        held.put(b"b", [b"x" * 40, b"y" * 20], b"a")
        self.assertIsNone(held.get(b"a"))
        self.assertEqual(2, len(held.get(b"b") or []))
        held.put(b"c", [b"z" * 60], b"")
        self.assertIsNone(held.get(b"b"))
        held.put(b"d", [b"z" * 600], b"")
        self.assertIsNone(held.get(b"d"))
