"""Membership changes of a group, made by its leader one at a time."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

import msgspec

from catkinpin.core import tolerance
from catkinpin.core.consensus import leading
from catkinpin.core.consensus.log import encode_members
from catkinpin.core.consensus.messages import EntryKind, Member, Members

if TYPE_CHECKING:
    from collections.abc import Collection

    from catkinpin.core.consensus.state import State
    from catkinpin.core.tolerance import Location, Loss, Tolerance


def add_learner(state: State, node: str, address: str, now_ms: int) -> bool:
    """Adds a replica as a learner, which receives the log but doesn't vote.

    Other learners at the same address are removed, since their data folders
    have been lost too.

    Returns:
        Whether the replica is a member now. False if the members cannot be
        changed yet, or if the voter at its address still answers, since then
        that voter's disk is not lost.
    """
    members = state.log.members
    if members.find(node) is not None:
        return True
    replaced = _find_voter_at(state, address)
    if not _may_change_members(state) or _is_responsive(
        state, replaced, now_ms
    ):
        return False
    remaining = [m for m in members.members if m.voter or m.address != address]
    learner = Member(node=node, address=address, voter=False)
    _propose_members(state, [*remaining, learner], now_ms)
    return True


def update_voters(state: State, now_ms: int) -> None:
    """Takes the next step towards the voters that survive the best.

    Learners become voters once they have caught up. A voter that is lost is
    removed before another replica takes its place. In the other order a group
    of three would have four voters for a while, one of them lost, and a second
    loss before the next step would leave it without a quorum for ever. A voter
    that is heard is removed last, as the others tolerate no less until then.
    """
    _sample_log(state, now_ms)
    if not _may_change_members(state) or _is_place_missing(state, now_ms):
        return
    learners = _caught_up_learners(state, now_ms)
    lost = _lost_voters(state, learners, now_ms)
    selected = _select_voters(state, learners, lost)
    added = [m for m in learners if m.node in selected]
    removed = [m for m in _present_voters(state) if m.node not in selected]
    lost_removed = [m for m in removed if m.node in lost]
    if added and lost_removed:
        _propose_without(state, lost_removed[0], now_ms)
        return
    for member in added or removed:
        voters = _voters_with_change(state, member)
        if _may_vote(state, voters, selected):
            if _can_commit(state, voters, now_ms):
                _propose_change(state, member, now_ms)
            return


def _voters_with_change(state: State, changed: Member) -> list[Member]:
    """Returns the voters once a learner is one, or a voter is none."""
    others = [m for m in _present_voters(state) if m is not changed]
    return others if changed.voter else [*others, changed]


def _may_vote(
    state: State, voters: list[Member], selected: Collection[str]
) -> bool:
    """Returns whether these may be the voters on the way to those selected.

    They may survive less than the present voters only if those selected
    survive more. With three voters in as many places, a fourth one gives two
    votes of four to one of the places.
    """
    placement = state.placement
    present, on_the_way, target = (
        tolerance.survived_by_voters(
            placement.locate(nodes), placement.tolerance
        )
        for nodes in (
            state.log.voters,
            [voter.node for voter in voters],
            sorted(selected),
        )
    )
    survives_no_less = all(
        after >= before
        for after, before in zip(on_the_way, present, strict=True)
    )
    return survives_no_less or target > present


def unkept_losses(state: State) -> list[Loss]:
    """Returns the kinds of tolerated losses that may take the majority."""
    placement = state.placement
    return tolerance.unkept_by_voters(
        placement.locate(state.log.voters), placement.tolerance
    )


def _is_place_missing(state: State, now_ms: int) -> bool:
    """Returns whether a place that matters is not known yet.

    A leader that has just started learns the places as the others connect. It
    must not replace voters by what it doesn't know.
    """
    placement = state.placement
    return placement.tolerance.is_by_place and any(
        member.node not in placement.locations
        and _is_responsive(state, member, now_ms)
        for member in state.log.members.members
    )


def _select_voters(
    state: State, learners: list[Member], lost: set[str]
) -> frozenset[str]:
    """Returns the identities of the replicas that should vote.

    Args:
        state: the leader's state.
        learners: the learners that may vote.
        lost: identities of the voters that may be replaced.
    """
    replaced = {m.address for m in learners}
    voters = [m for m in _present_voters(state) if m.address not in replaced]
    # A voter that leads comes first, as its removal costs an election.
    candidates = sorted(
        [*voters, *learners],
        key=lambda m: (m.node in lost, not m.voter, m.node != state.node),
    )
    placement = state.placement
    return _select_voters_at(
        placement.locate(state.log.voters),
        placement.locate(m.node for m in candidates),
        frozenset(lost),
        placement.tolerance,
        state.timing.max_voters,
    )


# The leader asks at each tick, and the answer seldom changes.
@functools.lru_cache(maxsize=64)
def _select_voters_at(
    voters: tuple[Location, ...],
    candidates: tuple[Location, ...],
    lost: frozenset[str],
    tolerated: Tolerance,
    max_voters: int,
) -> frozenset[str]:
    selected = tolerance.select_voters(
        voters, candidates, lost, tolerated, max_voters
    )
    return frozenset(location.node for location in selected)


def _lost_voters(state: State, learners: list[Member], now_ms: int) -> set[str]:
    """Returns the identities of the voters that may be replaced.

    They are silent for long, or a learner has their address, which has lost
    the voter's disk. Otherwise each permanently lost host would remain a voter.
    After a few such replacements the lost voters would be a majority, and
    nothing could be committed.
    """
    replaced = {m.address for m in learners}
    silent_ms = state.timing.silent_voter_timeout_ms
    return {
        voter.node
        for voter in _present_voters(state)
        if voter.node != state.node
        and (
            voter.address in replaced
            or now_ms - _last_reply_ms(state, voter) > silent_ms
        )
    }


def _propose_without(state: State, voter: Member, now_ms: int) -> None:
    """Removes a lost voter, if the remaining ones can commit without it."""
    remaining = [m for m in _present_voters(state) if m is not voter]
    if _can_commit(state, remaining, now_ms):
        members = state.log.members.members
        _propose_members(state, [m for m in members if m is not voter], now_ms)


def _propose_change(state: State, changed: Member, now_ms: int) -> None:
    """Makes a learner a voter, or a voter a learner."""
    replacement = msgspec.structs.replace(changed, voter=not changed.voter)
    members = [
        replacement if m is changed else m for m in state.log.members.members
    ]
    _propose_members(state, members, now_ms)


def _can_commit(state: State, voters: list[Member], now_ms: int) -> bool:
    """Returns whether a majority of these voters answers."""
    heard = sum(_is_responsive(state, voter, now_ms) for voter in voters)
    return heard > len(voters) // 2


def _sample_log(state: State, now_ms: int) -> None:
    """Samples the last log index every half election timeout."""
    if now_ms - state.sample_ms >= state.timing.election_timeout_ms // 2:
        state.previous_sample_last = state.sample_last
        state.sample_ms = now_ms
        state.sample_last = state.log.last


def _caught_up_learners(state: State, now_ms: int) -> list[Member]:
    """Returns the learners that answer and have the log up to a sample.

    It is the sample before the latest one. Comparing with the present commit
    index would not work: under constant load nearby voters commit each entry
    before a distant learner has it, so the learner would never become a voter.
    A learner that lags by less than an election timeout keeps up.
    """
    return [
        member
        for member in state.log.members.members
        if not member.voter
        and member.node in state.progress
        and state.progress[member.node].match_index
        >= state.previous_sample_last
        and _is_responsive(state, member, now_ms)
    ]


def _present_voters(state: State) -> list[Member]:
    return [member for member in state.log.members.members if member.voter]


def _find_voter_at(state: State, address: str) -> Member | None:
    for member in state.log.members.members:
        if member.voter and member.address == address:
            return member
    return None


def _is_responsive(state: State, member: Member | None, now_ms: int) -> bool:
    if member is None:
        return False
    if member.node == state.node:
        return True
    last_reply_ms = state.progress[member.node].acked_ms
    return now_ms - last_reply_ms < state.timing.election_timeout_ms


def _last_reply_ms(state: State, voter: Member) -> int:
    """Returns when a voter last replied; a new leader counts from its start."""
    return max(state.progress[voter.node].acked_ms, state.elected_ms)


def _may_change_members(state: State) -> bool:
    # Two concurrent changes, or a change before this term has committed an
    # entry, could allow two majorities that have no voter in common.
    return state.leadership_reported and state.log.members_index <= state.commit


def _propose_members(state: State, members: list[Member], now_ms: int) -> None:
    payload = encode_members(Members(members=members))
    leading.append_entry(state, EntryKind.MEMBERS, payload, now_ms)
