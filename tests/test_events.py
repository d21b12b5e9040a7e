"""Splitting a stream into events."""

from __future__ import annotations

import testtools

from catkinpin.core.requests.events import EventReader


class EventReaderTest(testtools.TestCase):
    """Bytes of events that come in any pieces."""

    def test_pieces_of_any_size_give_the_same(self) -> None:
        """The network cuts a stream anywhere, also within a line's end."""
        text = (
            b"id: 1\ndata: one\n\n"
            b"id: 2\r\ndata: two\r\ndata: more\r\n\r\n"
            b"x-note: 7\nid: 3\ndata:three\n\n"
        )
        for size in range(1, len(text) + 1):
            reader = EventReader()
            found = []
            raw = b""
            for start in range(0, len(text), size):
                events, passed = reader.feed(text[start : start + size])
                found += events
                raw += passed
            self.assertEqual(["1", "2", "3"], [e.id for e in found])
            data = [e.data for e in found]
            self.assertEqual([b"one", b"two\nmore", b"three"], data)
            self.assertEqual(text, raw)
            self.assertTrue(reader.is_at_boundary)

    def test_half_an_event_is_kept_back(self) -> None:
        """A server breaks off in the middle of an event.

        Passed on, that half would stand before the whole one that another
        server sends in its place.
        """
        reader = EventReader()
        events, raw = reader.feed(b"id: 1\ndata: one\n\nid: 2\nda")
        self.assertEqual(1, len(events))
        self.assertEqual(b"id: 1\ndata: one\n\n", raw)
        self.assertFalse(reader.is_at_boundary)
