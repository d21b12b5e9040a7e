"""Members that are replaced with nobody to confirm it."""

from __future__ import annotations

import random

import testtools

from catkinpin.core.consensus import leading, membership
from catkinpin.core.consensus.messages import Member, Members
from catkinpin.core.consensus.state import State, Stored, Timing

_NOW_MS = 100_000


def _leader(voters: str, learners: str = "") -> State:
    """Returns the state of leader 'a', whose members have all it has."""
    members = [Member(node=n, address=f"{n}:1") for n in voters]
    members += [Member(node=n, address=f"{n}:1", voter=False) for n in learners]
    stored = Stored(members=Members(members=members), term=1)
    state = State("a", stored, random.Random(1), 0, Timing())
    leading.begin(state, 0)
    state.announced = True
    state.commit = state.log.last
    for progress in state.progress.values():
        progress.match = state.log.last
        progress.acked_ms = _NOW_MS
    return state


def _silence(state: State, *nodes: str) -> None:
    for node in nodes:
        state.progress[node].acked_ms = 0


def _settle(state: State) -> list[str]:
    """Takes all steps that are due; returns the voters."""
    for _ in range(4):
        membership.settle(state, _NOW_MS)
        state.commit = state.log.last
        for progress in state.progress.values():
            progress.match = state.log.last
    return sorted(state.log.voters)


class SilentVoterTest(testtools.TestCase):
    """Voters that are gone for good."""

    def test_host_at_a_new_address_takes_a_dead_voters_place(self) -> None:
        """A host goes for good; an empty one comes at another address.

        Were the dead one to stay a voter, each such replacement would leave
        one more, until the living are no majority and nothing commits.
        """
        state = _leader("abcde", learners="f")
        _silence(state, "e")
        self.assertEqual(list("abcdf"), _settle(state))

    def test_dead_voter_goes_before_the_new_one_votes(self) -> None:
        """The step between the two must bear the loss of one more voter."""
        state = _leader("abcde", learners="f")
        _silence(state, "e")
        membership.settle(state, _NOW_MS)
        self.assertEqual(list("abcd"), sorted(state.log.voters))

    def test_voter_stays_while_all_are_heard(self) -> None:
        """A sixth host comes; all five voters answer.

        A sixth voter would bear no more losses and slow each commit.
        """
        state = _leader("abcde", learners="f")
        self.assertEqual(list("abcde"), _settle(state))

    def test_group_grows_to_five_voters(self) -> None:
        """Three seeds found the system; two more hosts join."""
        state = _leader("abc", learners="de")
        self.assertEqual(list("abcde"), _settle(state))

    def test_no_voter_goes_where_the_rest_could_not_commit(self) -> None:
        """Half of the voters are cut off, for a while only.

        With one taken out, the rest would need all that are left to commit,
        and they don't answer: the change itself would never commit.
        """
        state = _leader("abcde", learners="f")
        _silence(state, "c", "d", "e")
        self.assertEqual(list("abcde"), _settle(state))

    def test_voter_that_was_just_lost_keeps_its_place(self) -> None:
        """A host restarts within a second while another one waits to join."""
        state = _leader("abcde", learners="f")
        state.progress["e"].acked_ms = _NOW_MS - 1_500
        self.assertEqual(list("abcde"), _settle(state))
