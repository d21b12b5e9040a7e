"""Membership changes of a group, made by its leader one at a time."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from catkinpin.core.consensus import leading
from catkinpin.core.consensus.log import encode_members
from catkinpin.core.consensus.messages import EntryKind, Member, Members

if TYPE_CHECKING:
    from catkinpin.core.consensus.state import State


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


def promote_learner(state: State, now_ms: int) -> None:
    """Takes the next step of making a caught-up learner a voter.

    The voter that it replaces is removed first. In the other order a group of
    three would have four voters for a while, one of them lost, and a second
    loss before the next step would leave it without a quorum for ever.
    """
    _sample_log(state, now_ms)
    learner = _find_caught_up_learner(state)
    if learner is None or not _may_change_members(state):
        return
    members = state.log.members.members
    replaced = _find_voter_at(state, learner.address) or _find_silent_voter(
        state, now_ms
    )
    if replaced is None and len(state.log.voters) >= state.timing.max_voters:
        return
    if replaced is not None:
        new_members = [m for m in members if m is not replaced]
    else:
        voter = msgspec.structs.replace(learner, voter=True)
        new_members = [voter if m is learner else m for m in members]
    _propose_members(state, new_members, now_ms)


def _find_silent_voter(state: State, now_ms: int) -> Member | None:
    """Returns a voter that is silent for so long that it may be replaced.

    Otherwise each permanently lost host would remain a voter. After a few
    such replacements the lost voters would be a majority, and nothing could be
    committed. A voter may only be replaced while the remaining voters can
    commit without it.
    """
    timing = state.timing
    remaining_count = len(state.log.voters) - 1
    responsive_count = 1
    silent_voter = None
    for node in state.log.voters:
        if node == state.node:
            continue
        last_reply_ms = max(state.progress[node].acked_ms, state.elected_ms)
        if now_ms - last_reply_ms < timing.election_timeout_ms:
            responsive_count += 1
        elif now_ms - last_reply_ms > timing.silent_voter_timeout_ms:
            silent_voter = state.log.members.find(node)
    return silent_voter if responsive_count > remaining_count // 2 else None


def _sample_log(state: State, now_ms: int) -> None:
    """Samples the last log index every half election timeout."""
    if now_ms - state.sample_ms >= state.timing.election_timeout_ms // 2:
        state.previous_sample_last = state.sample_last
        state.sample_ms = now_ms
        state.sample_last = state.log.last


def _find_caught_up_learner(state: State) -> Member | None:
    """Returns a learner that has all entries up to the previous sample.

    Comparing with the present commit index would not work: under constant load
    nearby voters commit each entry before a distant learner has it, so the
    learner would never become a voter. A learner that lags by less than an
    election timeout keeps up.
    """
    for member in state.log.members.members:
        if member.voter or member.node not in state.progress:
            continue
        if (
            state.progress[member.node].match_index
            >= state.previous_sample_last
        ):
            return member
    return None


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


def _may_change_members(state: State) -> bool:
    # Two concurrent changes, or a change before this term has committed an
    # entry, could allow two majorities that have no voter in common.
    return state.leadership_reported and state.log.members_index <= state.commit


def _propose_members(state: State, members: list[Member], now_ms: int) -> None:
    payload = encode_members(Members(members=members))
    leading.append_entry(state, EntryKind.MEMBERS, payload, now_ms)
