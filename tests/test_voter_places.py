"""Voters of a group that follow the places of its hosts, one step at a time."""

from __future__ import annotations

import random

import testtools

from catkinpin.core import tolerance
from catkinpin.core.consensus import leading, membership
from catkinpin.core.consensus.messages import Member, Members
from catkinpin.core.consensus.placement import ReplicaPlacement
from catkinpin.core.consensus.state import State, StoredState, Timing
from catkinpin.core.tolerance import Location, Tolerance, tolerance_of

_NOW_MS = 100_000
_LAYOUTS = 200
_MAX_STEPS = 30
_ONE_DOMAIN = Tolerance(hosts=1, domains=1)


def _leader_state(
    voters: dict[str, str], learners: dict[str, str], tolerated: Tolerance
) -> State:
    """Returns the state of a leader, the first voter; all have its whole log.

    Args:
        voters: failure domain of each voter; each is a region of its own.
        learners: failure domain of each learner.
        tolerated: the losses that the group must survive.
    """
    members = [Member(node=n, address=f"{n}:1") for n in voters]
    members += [Member(node=n, address=f"{n}:1", voter=False) for n in learners]
    stored = StoredState(members=Members(members=members), term=1)
    placement = ReplicaPlacement(tolerated)
    for node, domain in (voters | learners).items():
        placement.record(Location(node, domain, domain))
    leader = next(iter(voters))
    state = State(
        leader, stored, random.Random(1), 0, Timing(), placement=placement
    )
    leading.become_leader(state, 0)
    state.leadership_reported = True
    _answer(state)
    return state


def _answer(state: State, silent: frozenset[str] = frozenset()) -> None:
    """Has all members but the silent ones acknowledge the whole log."""
    state.commit = state.log.last
    for node, progress in state.progress.items():
        progress.match_index = state.log.last
        progress.acked_ms = 0 if node in silent else _NOW_MS


def _step(state: State, silent: frozenset[str] = frozenset()) -> bool:
    """Takes one step; returns whether the voters have changed."""
    before = list(state.log.voters)
    index = state.log.members_index
    membership.update_voters(state, _NOW_MS)
    _answer(state, silent)
    return index != state.log.members_index or before != state.log.voters


def _run(state: State, silent: frozenset[str] = frozenset()) -> list[str]:
    """Takes all steps that are possible; returns the voters."""
    for _ in range(_MAX_STEPS):
        if not _step(state, silent):
            return sorted(state.log.voters)
    raise AssertionError("the voters change for ever")


class VoterPlacesTest(testtools.TestCase):
    """Groups whose voters must survive the loss of a failure domain."""

    def test_seeds_of_one_domain_share_their_votes(self) -> None:
        """Guards against a group that is lost with the domain of its seeds."""
        state = _leader_state(
            {"a1": "a", "a2": "a", "a3": "a"},
            {"b1": "b", "b2": "b", "c1": "c", "c2": "c"},
            _ONE_DOMAIN,
        )
        voters = _run(state)
        self.assertEqual([], membership.unkept_losses(state))
        self.assertEqual(5, len(voters))
        self.assertIn("a1", voters)

    def test_voters_are_added_before_others_are_removed(self) -> None:
        """Guards against a change that tolerates fewer losses for a while."""
        state = _leader_state(
            {"a1": "a", "a2": "a", "a3": "a", "b1": "b", "b2": "b"},
            {"c1": "c"},
            _ONE_DOMAIN,
        )
        sizes = [len(state.log.voters)]
        while _step(state):
            sizes.append(len(state.log.voters))
        self.assertEqual([5, 6, 5], sizes)

    def test_group_in_three_domains_gets_no_fourth_voter(self) -> None:
        """Guards against a domain that has two of four votes for a while."""
        state = _leader_state(
            {"a1": "a", "b1": "b", "c1": "c"},
            {"a2": "a", "b2": "b"},
            _ONE_DOMAIN,
        )
        self.assertFalse(_step(state))

    def test_silent_voter_is_not_replaced_by_one_in_a_full_domain(self) -> None:
        """Guards against two domains with all votes while a third is away."""
        state = _leader_state(
            {"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c"},
            {"a3": "a"},
            _ONE_DOMAIN,
        )
        self.assertFalse(_step(state, frozenset(["c1"])))

    def test_unknown_places_change_no_voters(self) -> None:
        """Guards against a new leader that acts on what it doesn't know."""
        state = _leader_state(
            {"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c"},
            {"c2": "c"},
            _ONE_DOMAIN,
        )
        for node in ("a2", "b1", "b2"):
            del state.placement.locations[node]
        self.assertFalse(_step(state))

    def test_changed_tolerance_moves_votes(self) -> None:
        """Guards against voters that stay as earlier settings chose them."""
        state = _leader_state(
            {"a1": "a", "a2": "a", "a3": "a", "b1": "b", "b2": "b"},
            {"c1": "c", "c2": "c"},
            Tolerance(hosts=1),
        )
        self.assertFalse(_step(state))
        state.placement.tolerance = _ONE_DOMAIN
        _run(state)
        self.assertEqual([], membership.unkept_losses(state))

    def test_drawn_groups_settle_where_a_majority_outlasts_a_loss(self) -> None:
        """Guards against voters that change without end or stop too early."""
        for seed in range(_LAYOUTS):
            rng = random.Random(seed)
            hosts = {
                f"h{n}": rng.choice("abcde"[: rng.randint(1, 5)])
                for n in range(rng.randint(1, 7))
            }
            seeds = dict(list(hosts.items())[:3])
            others = dict(list(hosts.items())[3:])
            tolerated = tolerance_of(
                hosts=rng.randint(1, 2),
                domains=rng.randint(0, 2),
                regions=rng.randint(0, 1),
            )
            state = _leader_state(seeds, others, tolerated)
            self._check_settled(state, hosts, tolerated)
            # One host is away for long, then it is back.
            away = frozenset([rng.choice(list(hosts))]) - {state.node}
            _run(state, away)
            _run(state)
            self._check_settled(state, hosts, tolerated)

    def _check_settled(
        self, state: State, hosts: dict[str, str], tolerated: Tolerance
    ) -> None:
        """Checks that no other voters would survive more."""
        _run(state)
        everyone = [Location(n, d, d) for n, d in hosts.items()]
        best = tolerance.select_voters(everyone, everyone, set(), tolerated, 5)
        self.assertEqual(
            tolerance.unkept_by_voters(best, tolerated),
            membership.unkept_losses(state),
        )
