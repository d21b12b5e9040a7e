"""Tests splitting a stream into events."""

from __future__ import annotations

import time

import testtools

from catkinpin.core.requests.events import EventReader

_PIECE_BYTES = 9


class EventReaderTest(testtools.TestCase):
    """Events whose bytes arrive in pieces of any size."""

    def test_pieces_of_any_size_give_the_same(self) -> None:
        """Guards against lost events if a piece ends within a line ending."""
        text = (
            b"id: 1\ndata: one\n\n"
            b"id: 2\r\ndata: two\r\ndata: more\r\n\r\n"
            b"x-note: 7\nid: 3\ndata:three\n\n"
        )
        for size in range(1, len(text) + 1):
            reader = EventReader()
            events_read = []
            raw = b""
            for start in range(0, len(text), size):
                events, passed = reader.feed(text[start : start + size])
                events_read += events
                raw += passed
            self.assertEqual(["1", "2", "3"], [e.id for e in events_read])
            data = [e.data for e in events_read]
            self.assertEqual([b"one", b"two\nmore", b"three"], data)
            self.assertEqual(text, raw)
            self.assertTrue(reader.is_at_boundary)

    def test_half_an_event_is_kept_back(self) -> None:
        """Guards against forwarding half an event.

        A server fails in the middle of an event. The caller would get that
        half before the complete event from another server.
        """
        reader = EventReader()
        events, raw = reader.feed(b"id: 1\ndata: one\n\nid: 2\nda")
        self.assertEqual(1, len(events))
        self.assertEqual(b"id: 1\ndata: one\n\n", raw)
        self.assertFalse(reader.is_at_boundary)

    def test_long_event_in_small_pieces_takes_linear_time(self) -> None:
        """Guards against a slow event that takes up a gateway's processor."""

        def cpu_s(size: int) -> float:
            reader = EventReader()
            started_s = time.process_time()
            for _ in range(size // _PIECE_BYTES):
                reader.feed(b"x" * _PIECE_BYTES)
            return time.process_time() - started_s

        short_s = min(cpu_s(90_000) for _ in range(3))
        # Ten times the bytes take some ten times as long, not a hundred times.
        self.assertLess(cpu_s(900_000), 40 * short_s)
