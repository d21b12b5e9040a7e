"""Automatic replacement of group members, without an operator."""

from __future__ import annotations

import random

import testtools

from catkinpin.core.consensus import leading, membership
from catkinpin.core.consensus.messages import EntryKind, Member, Members
from catkinpin.core.consensus.state import State, StoredState, Timing

_NOW_MS = 100_000


def _leader_state(voters: str, learners: str = "") -> State:
    """Returns the state of leader 'a'; all members have its whole log."""
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


def _mark_silent(state: State, *nodes: str) -> None:
    for node in nodes:
        state.progress[node].acked_ms = 0


def _promote_until_done(state: State) -> list[str]:
    """Takes all promotion steps that are possible; returns the voters."""
    for _ in range(4):
        membership.update_voters(state, _NOW_MS)
        state.commit = state.log.last
        for progress in state.progress.values():
            progress.match_index = state.log.last
    return sorted(state.log.voters)


class SilentVoterTest(testtools.TestCase):
    """Replacement of voters that are lost permanently."""

    def test_host_at_a_new_address_replaces_a_lost_voter(self) -> None:
        """Guards against lost hosts that remain voters for ever.

        A host is lost and an empty one joins at another address. After a few
        such replacements the lost voters would be a majority, and nothing
        could be committed.
        """
        state = _leader_state("abcde", learners="f")
        _mark_silent(state, "e")
        self.assertEqual(list("abcdf"), _promote_until_done(state))

    def test_lost_voter_is_removed_before_the_new_one_votes(self) -> None:
        """Guards against a step that does not tolerate another lost voter."""
        state = _leader_state("abcde", learners="f")
        _mark_silent(state, "e")
        membership.update_voters(state, _NOW_MS)
        self.assertEqual(list("abcd"), sorted(state.log.voters))

    def test_voter_stays_while_all_are_heard(self) -> None:
        """Guards against a sixth voter while all five voters answer.

        It would not tolerate more losses and would slow down each commit.
        """
        state = _leader_state("abcde", learners="f")
        self.assertEqual(list("abcde"), _promote_until_done(state))

    def test_group_grows_to_five_voters(self) -> None:
        """Two more hosts join a system that three seeds have founded."""
        state = _leader_state("abc", learners="de")
        self.assertEqual(list("abcde"), _promote_until_done(state))

    def test_no_voter_is_removed_if_the_rest_could_not_commit(self) -> None:
        """Guards against a membership change that could never commit.

        A majority of the voters is cut off for a while. Without one of them
        the change would still need votes of voters that don't answer.
        """
        state = _leader_state("abcde", learners="f")
        _mark_silent(state, "c", "d", "e")
        self.assertEqual(list("abcde"), _promote_until_done(state))

    def test_voter_that_was_just_lost_keeps_its_place(self) -> None:
        """Guards against replacing a host that only restarts.

        The host restarts within a second while another one waits to join.
        """
        state = _leader_state("abcde", learners="f")
        state.progress["e"].acked_ms = _NOW_MS - 1_500
        self.assertEqual(list("abcde"), _promote_until_done(state))


class BusyGroupTest(testtools.TestCase):
    """Learners of a group under constant load."""

    def test_far_learner_votes_though_records_never_stop(self) -> None:
        """Guards against a distant learner that never becomes a voter.

        A distant host lost its disk while the load continues. The nearby
        voters commit each record before the host has it, so it never reaches
        the commit index. If it had to, the lost voter would remain a voter for
        as long as the load lasts, and two more losses, which must be
        tolerated, would leave no quorum.
        """
        state = _leader_state("abcde", learners="f")
        _mark_silent(state, "e")
        now_ms = _NOW_MS
        for _ in range(40):
            now_ms += 50
            for node in "bcd":
                state.progress[node].acked_ms = now_ms
            # The learner lags by 30 ms, that is by a few records.
            state.progress["f"].acked_ms = now_ms
            state.progress["f"].match_index = state.log.last - 3
            membership.update_voters(state, now_ms)
            for _ in range(6):
                leading.append_entry(state, EntryKind.DATA, b"", now_ms)
            state.commit = state.log.last
        self.assertEqual(list("abcdf"), sorted(state.log.voters))

    def test_learner_that_falls_behind_does_not_vote(self) -> None:
        """Guards against a voter that can't keep up with the load.

        A new host's disk is too slow. As a voter it could not help to commit,
        and the next loss would stop the group.
        """
        state = _leader_state("abcde", learners="f")
        _mark_silent(state, "e")
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
            membership.update_voters(state, now_ms)
            for _ in range(6):
                leading.append_entry(state, EntryKind.DATA, b"", now_ms)
            state.commit = state.log.last
        self.assertNotIn("f", state.log.voters)
