"""Members that are replaced with nobody to confirm it."""

from __future__ import annotations

import random

import testtools

from catkinpin.core.consensus import leading, membership
from catkinpin.core.consensus.messages import EntryKind, Member, Members
from catkinpin.core.consensus.state import State, StoredState, Timing

_NOW_MS = 100_000


def _leader(voters: str, learners: str = "") -> State:
    """Returns the state of leader 'a', whose members have all it has."""
    members = [Member(node=n, address=f"{n}:1") for n in voters]
    members += [Member(node=n, address=f"{n}:1", voter=False) for n in learners]
    stored = StoredState(members=Members(members=members), term=1)
    state = State("a", stored, random.Random(1), 0, Timing())
    leading.become_leader(state, 0)
    state.leadership_reported = True
    state.commit = state.log.last
    for progress in state.progress.values():
        progress.match_index = state.log.last
        progress.acked_ms = _NOW_MS
    return state


def _silence(state: State, *nodes: str) -> None:
    for node in nodes:
        state.progress[node].acked_ms = 0


def _settle(state: State) -> list[str]:
    """Takes all steps that are due; returns the voters."""
    for _ in range(4):
        membership.promote_learner(state, _NOW_MS)
        state.commit = state.log.last
        for progress in state.progress.values():
            progress.match_index = state.log.last
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
        membership.promote_learner(state, _NOW_MS)
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


class BusyGroupTest(testtools.TestCase):
    """Learners of a group that commits all the time."""

    def test_far_learner_votes_though_records_never_stop(self) -> None:
        """A host far away lost its disk, and turns go on at full rate.

        The near voters commit each record before the far host has it, so it
        is never as far as what is committed. Were that asked for, the lost
        voter would keep its seat for as long as the load lasts; two more
        losses, which must be borne, would then leave no quorum.
        """
        state = _leader("abcde", learners="f")
        _silence(state, "e")
        now_ms = _NOW_MS
        for _ in range(40):
            now_ms += 50
            for node in "bcd":
                state.progress[node].acked_ms = now_ms
            # What it has is always 30 ms old: some records behind.
            state.progress["f"].acked_ms = now_ms
            state.progress["f"].match_index = state.log.last - 3
            membership.promote_learner(state, now_ms)
            for _ in range(6):
                leading.append_entry(state, EntryKind.DATA, b"", now_ms)
            state.commit = state.log.last
        self.assertEqual(list("abcdf"), sorted(state.log.voters))

    def test_learner_that_falls_behind_does_not_vote(self) -> None:
        """A new host's disk is too slow for the load: it never keeps up.

        As a voter it could not help to commit; the next loss would stop all.
        """
        state = _leader("abcde", learners="f")
        _silence(state, "e")
        for _ in range(100):
            leading.append_entry(state, EntryKind.DATA, b"", _NOW_MS)
        state.commit = state.sample_last = state.log.last
        state.progress["f"].match_index = 0
        now_ms = _NOW_MS
        for _ in range(40):
            now_ms += 50
            for node in "bcdf":
                state.progress[node].acked_ms = now_ms
            state.progress["f"].match_index += 1
            membership.promote_learner(state, now_ms)
            for _ in range(6):
                leading.append_entry(state, EntryKind.DATA, b"", now_ms)
            state.commit = state.log.last
        self.assertNotIn("f", state.log.voters)
