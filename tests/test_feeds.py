"""Tests which keeper's feed a gateway selects, without I/O."""

from __future__ import annotations

import collections
import random

import testtools

from catkinpin.core.control import feeds
from catkinpin.core.control.feeds import FeedChange, FeedReason, FeedSelector

_TICK_MS = 100
_GATEWAYS = 230


class _Harness:
    """A selector that is asked at each tick, and what its keepers do.

    Attributes:
        silent: keepers from which nothing comes, with the time since when.
        states: whether a keeper's states arrive.
    """

    def __init__(self, regions: dict[str, str], gateway: str = "g") -> None:
        self.now_ms = 1_000_000
        self.selector = FeedSelector(gateway, "a")
        self.delay_ms = 0
        self.silent: dict[str, int] = {}
        self.states = dict.fromkeys(regions, True)
        self.regions = regions
        self.changes: list[tuple[int, FeedChange]] = []

    def connect(self, *names: str, is_current: bool = True) -> None:
        for name in names:
            self.selector.add_keeper(name, self.regions[name], self.now_ms)
            self.selector.record_currency(
                name, self.now_ms, is_current=is_current
            )

    def freeze(self, name: str) -> None:
        self.silent[name] = self.now_ms
        self.states[name] = False

    def run(self, duration_ms: int) -> list[FeedChange]:
        before = len(self.changes)
        for _ in range(duration_ms // _TICK_MS):
            self.now_ms += _TICK_MS
            feed = self.selector.feed
            if self.now_ms % 500 == 0 and self.states.get(feed):
                sent_ms = self.now_ms - self.delay_ms
                self.selector.record_state(feed, sent_ms, self.now_ms)
            self.choose()
        return [change for _, change in self.changes[before:]]

    def choose(self) -> None:
        silence_ms = {n: self.now_ms - at for n, at in self.silent.items()}
        change = self.selector.choose(self.now_ms, silence_ms)
        if change is not None:
            self.changes.append((self.now_ms, change))


def _settled(regions: dict[str, str]) -> _Harness:
    """Returns a harness with a feed, all keepers long connected."""
    harness = _Harness(regions)
    harness.connect(*regions)
    harness.run(10_000)
    return harness


_REGION = {"k1": "a", "k2": "a", "k3": "a"}
_TWO_REGIONS = {**_REGION, "k4": "b", "k5": "b"}


class SelectionTest(testtools.TestCase):
    """Starts and quiet operation."""

    def test_first_current_keeper_of_the_region_is_taken_at_once(self) -> None:
        """Guards against a gateway that has routes, but no servers yet."""
        harness = _Harness(_TWO_REGIONS)
        harness.connect("k4")
        harness.connect("k1", is_current=False)
        harness.choose()
        self.assertEqual("", harness.selector.feed)
        harness.connect("k2")
        harness.choose()
        self.assertEqual("k2", harness.selector.feed)

    def test_first_feed_waits_shortly_for_a_better_one(self) -> None:
        """Guards against a start that waits for keepers that don't answer."""
        harness = _Harness(_TWO_REGIONS)
        harness.connect("k4")
        harness.now_ms += feeds.SETTLE_MS
        harness.choose()
        self.assertEqual("k4", harness.selector.feed)
        self.assertLess(feeds.SETTLE_MS, 50)

    def test_gateways_spread_over_the_keepers_of_their_region(self) -> None:
        """Guards against one keeper that serves most gateways.

        All gateways hear of the same keeper first.
        """
        counts: collections.Counter[str] = collections.Counter()
        for number in range(_GATEWAYS):
            harness = _Harness(_TWO_REGIONS, f"gateway-{number}")
            for name in _TWO_REGIONS:
                harness.connect(name)
                harness.choose()
            harness.run(6_000)
            self.assertLessEqual(len(harness.changes), 2)
            counts[harness.selector.feed] += 1
        self.assertEqual(set(_REGION), set(counts))
        self.assertLess(max(counts.values()), 1.4 * _GATEWAYS / 3)

    def test_quiet_operation_changes_nothing(self) -> None:
        """Guards against lists of all servers that nobody needs."""
        harness = _settled(_TWO_REGIONS)
        self.assertEqual([], harness.run(60_000))

    def test_lost_keeper_moves_only_its_own_gateways(self) -> None:
        """Guards against a rehash of all gateways when one keeper goes."""
        for number in range(30):
            harness = _Harness(_REGION, f"gateway-{number}")
            harness.connect(*_REGION)
            harness.run(1_000)
            before = harness.selector.feed
            harness.selector.remove_keeper("k1")
            moved = harness.run(1_000)
            self.assertEqual(before == "k1", bool(moved))


class FailoverTest(testtools.TestCase):
    """Feeds that fail in different ways."""

    def test_lost_link_is_replaced_at_once(self) -> None:
        """Guards against a timeout where the loss is known."""
        harness = _settled(_TWO_REGIONS)
        lost = harness.selector.feed
        harness.selector.remove_keeper(lost)
        harness.choose()
        change = harness.changes[-1][1]
        self.assertEqual(FeedReason.LINK_LOST, change.reason)
        self.assertEqual("a", _TWO_REGIONS[change.feed])

    def test_frozen_region_costs_one_timeout(self) -> None:
        """Guards against one timeout for each keeper that froze at once."""
        harness = _settled(_TWO_REGIONS)
        for name in _REGION:
            harness.freeze(name)
        (change,) = harness.run(1_400)
        self.assertEqual(FeedReason.SILENT, change.reason)
        self.assertEqual("b", _TWO_REGIONS[change.feed])

    def test_slow_feed_is_tried_again_ever_more_rarely(self) -> None:
        """Guards against a list of all servers every few seconds.

        The preferred keeper answers pings, but its feed stays silent.
        """
        harness = _settled(_REGION)
        harness.states[harness.selector.feed] = False
        changes = harness.run(120_000)
        self.assertEqual(FeedReason.SILENT, changes[0].reason)
        self.assertLess(len(changes), 12)

    def test_congested_link_does_not_move_its_gateways_for_ever(self) -> None:
        """Guards against lists of all servers that congest a link for good.

        The own region's keepers are gone, and all others are 2 s away.
        """
        harness = _settled(_TWO_REGIONS)
        harness.delay_ms = 2_000
        for name in _REGION:
            harness.selector.remove_keeper(name)
        self.assertLess(len(harness.run(60_000)), 6)
        # A feed that is prompt again has the short timeout again.
        harness.delay_ms = 0
        harness.run(10_000)
        harness.freeze(harness.selector.feed)
        self.assertEqual(1, len(harness.run(1_400)))

    def test_keeper_that_is_not_current_is_left_if_another_is(self) -> None:
        """Guards against a feed that is cut off from the leader."""
        harness = _settled(_TWO_REGIONS)
        for name in _REGION:
            harness.selector.record_currency(
                name, harness.now_ms, is_current=False
            )
        (change,) = harness.run(1_200)
        self.assertEqual(FeedReason.NOT_CURRENT, change.reason)
        self.assertEqual("b", _TWO_REGIONS[change.feed])

    def test_election_changes_no_feed(self) -> None:
        """Guards against moves of all gateways after each long election.

        No keeper is current for 1.5 s; the feed is the last one to be so.
        """
        harness = _settled(_TWO_REGIONS)
        feed = harness.selector.feed
        for name in _TWO_REGIONS:
            harness.selector.record_currency(
                name, harness.now_ms, is_current=False
            )
        changes = harness.run(1_500)
        for name in sorted(_TWO_REGIONS, key=lambda name: name == feed):
            harness.selector.record_currency(
                name, harness.now_ms, is_current=True
            )
            changes += harness.run(_TICK_MS)
        self.assertEqual([], changes + harness.run(5_000))

    def test_preferred_keeper_is_taken_back_after_5_s_of_health(self) -> None:
        """Guards against following a link that is lost again and again."""
        harness = _settled(_TWO_REGIONS)
        preferred = harness.selector.feed
        harness.selector.remove_keeper(preferred)
        harness.run(1_000)
        for _ in range(10):
            harness.connect(preferred)
            self.assertEqual([], harness.run(4_500))
            harness.selector.remove_keeper(preferred)
            self.assertEqual([], harness.run(500))
        harness.connect(preferred)
        (change,) = harness.run(5_500)
        self.assertEqual(
            (FeedReason.PREFERRED, preferred), (change.reason, change.feed)
        )

    def test_stalled_gateway_reads_before_it_judges(self) -> None:
        """Guards against a failover because of the gateway's own stall."""
        harness = _settled(_REGION)
        harness.now_ms += 3_000
        self.assertEqual([], harness.run(2_000))

    def test_stalls_without_end_do_not_hide_a_lost_feed(self) -> None:
        """Guards against a grace period that is renewed for ever."""
        harness = _settled(_REGION)
        harness.freeze(harness.selector.feed)
        for _ in range(6):
            harness.now_ms += 500
            harness.choose()
        self.assertEqual(FeedReason.SILENT, harness.changes[-1][1].reason)


class BoundsTest(testtools.TestCase):
    """Random sequences of events."""

    def test_random_events_break_no_bound(self) -> None:
        """Guards against late failovers and early failbacks."""
        for seed in range(60):
            self._run_events(random.Random(seed), f"seed {seed}")

    def _run_events(self, rng: random.Random, context: str) -> None:
        harness = _Harness(_TWO_REGIONS)
        healthy_since: dict[str, int] = {}
        connected: set[str] = set()
        # When the feed sent a state, was changed, or became replaceable.
        state_ms = harness.now_ms
        timeout_ms = 4_900
        for _ in range(600):
            self._apply_random_event(rng, harness, healthy_since, connected)
            changes = harness.run(_TICK_MS)
            feed, now_ms = harness.selector.feed, harness.now_ms
            for change in changes:
                if change.reason is FeedReason.PREFERRED:
                    healthy_ms = now_ms - healthy_since[change.feed]
                    self.assertGreaterEqual(healthy_ms, 5_000, context)
            is_sent = harness.states.get(feed) and now_ms % 500 == 0
            if changes or is_sent or len(connected) < 2:
                state_ms = now_ms
            # The first state after a failover may take longer.
            if is_sent:
                timeout_ms = 1_300
            elif changes:
                timeout_ms = 4_900
            self.assertLessEqual(now_ms - state_ms, timeout_ms, context)
            self.assertEqual(bool(connected), bool(feed), context)
            self.assertTrue(not feed or feed in connected, context)

    def _apply_random_event(
        self,
        rng: random.Random,
        harness: _Harness,
        healthy_since: dict[str, int],
        connected: set[str],
    ) -> None:
        name = rng.choice(list(_TWO_REGIONS))
        match rng.randrange(40):
            case 0 | 1:
                harness.connect(name)
                connected.add(name)
                healthy_since.setdefault(name, harness.now_ms)
            case 2:
                harness.selector.remove_keeper(name)
                connected.discard(name)
                healthy_since.pop(name, None)
            case 3:
                harness.selector.record_currency(
                    name, harness.now_ms, is_current=False
                )
                healthy_since.pop(name, None)
            case 4:
                harness.states[name] = rng.random() < 0.7
