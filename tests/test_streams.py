"""Streams in the core: splicing, timeouts of silent streams, histories."""

from __future__ import annotations

import json
from typing import Any

from prometheus_client.parser import text_string_to_metric_families

from catkinpin import metrics
from catkinpin.adapters.entry import calls
from catkinpin.core.programs import texts
from catkinpin.core.requests import pauses, splice
from catkinpin.exceptions import DivergedError
from tests import base


def _event(delta: dict[str, Any], end: str | None = None) -> bytes:
    choice = {"index": 0, "delta": delta, "finish_reason": end}
    return json.dumps({"id": "first", "choices": [choice]}).encode()


def _text_events(text: str, size: int) -> list[bytes]:
    parts = [text[i : i + size] for i in range(0, len(text), size)]
    return [_event({"content": part}) for part in parts]


class SpliceTest(base.TestCase):
    """A regenerated answer continues where the first one ended."""

    def test_every_cut_of_differently_cut_streams(self) -> None:
        """Two servers split the same text into events of different sizes.

        Wherever the first server is lost, the caller gets the text once.
        """
        text = "the grant needs a form and a deadline"
        for size in (1, 3, 5, 40):
            for cut in range(len(text)):
                spliced = splice.StreamSplicer()
                got = [spliced.feed(e) for e in _text_events(text, 4)[:cut]]
                spliced.restart()
                got += [spliced.feed(e) for e in _text_events(text, size)]
                contents = [
                    json.loads(data)["choices"][0]["delta"]["content"]
                    for data in got
                    if data is not None
                ]
                self.assertEqual(text, "".join(contents), (size, cut))

    def test_another_text_and_a_shorter_one_are_refused(self) -> None:
        for events in (
            _text_events("other", 2),
            [*_text_events("te", 2), _event({}, "stop")],
        ):
            spliced = splice.StreamSplicer()
            for event in _text_events("text", 2):
                spliced.feed(event)
            spliced.restart()
            with self.assertRaises(DivergedError):
                for event in events:
                    spliced.feed(event)

    def test_tool_calls_are_joined_too(self) -> None:
        """A server fails in the middle of a tool call's arguments."""
        parts = ['{"am', "ount", '": 5}']
        events = [
            _event({"tool_calls": [{"index": 0, "function": {"arguments": p}}]})
            for p in parts
        ]
        spliced = splice.StreamSplicer()
        got = [spliced.feed(event) for event in events[:2]]
        spliced.restart()
        got += [spliced.feed(event) for event in events]
        arguments = [
            json.loads(data)["choices"][0]["delta"]["tool_calls"][0]["function"]
            for data in got
            if data is not None
        ]
        text = "".join(part["arguments"] for part in arguments)
        self.assertEqual({"amount": 5}, json.loads(text))


class FirstTokenTest(base.TestCase):
    """The metric of the time to the first token."""

    def test_only_the_first_event_of_a_call_is_timed(self) -> None:
        """A call streams several events and is restarted once.

        The metric counts the call once, with the time to its first event.
        """
        times = iter((1.0, 1.5))
        name = "catkinpin_first_token_seconds"
        before = [
            self._sample_value(f"{name}_{part}") for part in ("count", "sum")
        ]
        call = calls.RunningCall(lambda: next(times))
        for word in _text_events("some text", 4):
            call.feed(word)
        call.start_attempt()
        for word in _text_events("some text and more", 4):
            call.feed(word)
        after = [
            self._sample_value(f"{name}_{part}") for part in ("count", "sum")
        ]
        self.assertEqual(before[0] + 1, after[0])
        self.assertAlmostEqual(before[1] + 0.5, after[1])

    def _sample_value(self, name: str) -> float:
        text = metrics.exposition().decode()
        return sum(
            sample.value
            for family in text_string_to_metric_families(text)
            for sample in family.samples
            if sample.name == name
        )


class GapsTest(base.TestCase):
    """The timeout of a silent stream follows the server's usual pace."""

    def test_timeout_stays_within_its_bounds(self) -> None:
        gaps = pauses.GapEstimator(200, 5_000)
        self.assertEqual(5_000, gaps.timeout_ms("unknown"))
        for gap_ms, low_ms, high_ms in (
            (1, 200, 200),
            (26, 200, 400),
            (9_000, 5_000, 5_000),
        ):
            for _ in range(60):
                gaps.record_gap(f"s{gap_ms}", gap_ms)
            timeout_ms = gaps.timeout_ms(f"s{gap_ms}")
            self.assertTrue(
                low_ms <= timeout_ms <= high_ms, (gap_ms, timeout_ms)
            )


class HistoryCacheTest(base.TestCase):
    """The cache of histories stays within its size limit."""

    def test_bound_and_replacement(self) -> None:
        cache = texts.HistoryCache(max_bytes=100)
        cache.put(b"a", [b"x" * 40], b"")
        cache.put(b"b", [b"x" * 40, b"y" * 20], b"a")
        self.assertIsNone(cache.get(b"a"))
        self.assertEqual(2, len(cache.get(b"b") or []))
        cache.put(b"c", [b"z" * 60], b"")
        self.assertIsNone(cache.get(b"b"))
        cache.put(b"d", [b"z" * 600], b"")
        self.assertIsNone(cache.get(b"d"))
