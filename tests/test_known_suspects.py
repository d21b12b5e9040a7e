"""How gateways recognize requests that crash servers."""

from __future__ import annotations

from typing import Any

import testtools

from catkinpin.adapters.gateway.suspects import KnownSuspects
from catkinpin.clock import Clock
from catkinpin.core.control import protocol
from catkinpin.core.requests.calls import RouteCall
from catkinpin.core.requests.digests import RequestDigests, digests_of


class DigestsTest(testtools.TestCase):
    """How a request is recognized."""

    def _digests(
        self,
        call: RouteCall,
        host: str = "h",
        target: bytes = b"/x?q=1",
        body: bytes = b"",
    ) -> RequestDigests:
        return digests_of(host, b"GET", target, body, call)

    def test_request_sent_again_is_recognized(self) -> None:
        """Guards against ids, times and programs that hide a request."""
        kinds: tuple[dict[str, Any], ...] = (
            {},
            {"affinity": "object"},
            {"account": "a"},
            {"key_digest": b"key"},
            {"budget": 100, "max_tokens": 10},
        )
        for number, fields in enumerate(kinds):
            for body in (b"", b"body"):
                first = RouteCall("a1", 900, "p1", "l1", 5_000, **fields)
                again = RouteCall("a2", 700, "p2", "l2", 4_000, **fields)
                self.assertEqual(
                    self._digests(first, body=body).shared,
                    self._digests(again, body=body).shared,
                    (number, body),
                )

    def test_other_requests_differ(self) -> None:
        """Guards against refusing requests that only look alike."""
        call = RouteCall("a1", account="a")
        base = self._digests(call)
        others = (
            self._digests(call, host="other"),
            self._digests(call, target=b"/x?q=2"),
            self._digests(call, body=b"body"),
            self._digests(RouteCall("a1", account="b")),
        )
        for other in others:
            self.assertNotEqual(base.shared, other.shared)

    def test_turn_with_another_history_has_another_content(self) -> None:
        """Guards against refusing a short input to all histories."""
        first = self._digests(RouteCall("a1", previous="t1"), body=b"yes")
        other = self._digests(RouteCall("a2", previous="t2"), body=b"yes")
        self.assertNotEqual(first.content, other.content)


class KnownSuspectsTest(testtools.TestCase):
    """What a gateway knows of suspects."""

    def setUp(self) -> None:
        super().setUp()
        self.now_ms = 0
        clock = Clock(now_ms=lambda: self.now_ms, wall_ms=lambda: self.now_ms)
        self.known = KnownSuspects(clock)

    def test_request_is_held_only_until_the_decision(self) -> None:
        """Guards against holding a harmless request for long."""
        good = RequestDigests("good", "good/p")
        update = protocol.QuarantineUpdate(
            contents=[], suspects=["bad", "good"], held=["bad", "good"]
        )
        self.known.apply(update)
        self.assertTrue(self.known._held_ms(good))
        self.known.apply(
            protocol.QuarantineUpdate(contents=["bad"], cleared=["bad", "good"])
        )
        self.assertFalse(self.known._held_ms(good))
        self.assertFalse(self.known.is_suspect(good))
        self.assertFalse(self.known.is_quarantined(good))
        self.assertTrue(
            self.known.is_quarantined(RequestDigests("bad", "bad/new"))
        )

    def test_hold_ends_without_a_leader(self) -> None:
        """Guards against a hold whose end is never announced."""
        self.known.apply(protocol.QuarantineUpdate(contents=[], held=["good"]))
        self.now_ms = 1_000
        self.assertFalse(self.known._held_ms(RequestDigests("good", "good/p")))

    def test_new_feed_replaces_suspects_and_keeps_the_quarantine(self) -> None:
        """Guards against a keeper that lags and lifts a quarantine."""
        self.known.apply(
            protocol.QuarantineUpdate(contents=["bad"], suspects=["old"])
        )
        self.known.apply(
            protocol.QuarantineUpdate(contents=[], suspects=["new"], whole=True)
        )
        self.assertTrue(self.known.is_quarantined(RequestDigests("bad", "b")))
        self.assertFalse(self.known.is_suspect(RequestDigests("old", "o")))
        self.assertTrue(self.known.is_suspect(RequestDigests("new", "n")))
