"""Changes of a group's members, one at a time, and only by its leader."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from catkinpin.core.consensus import leading
from catkinpin.core.consensus.log import encode_members
from catkinpin.core.consensus.messages import EntryKind, Member, Members

if TYPE_CHECKING:
    from catkinpin.core.consensus.state import State


def add_learner(state: State, node: str, address: str, now_ms: int) -> bool:
    """Adds a replica that gets the log and doesn't vote yet.

    Learners at the same address go: their data folders were lost too.

    Returns:
        Whether the replica now is a member; False where the voter at its
        address still answers, since then no disk was lost.
    """
    members = state.log.members
    if members.find(node) is not None:
        return True
    lost = _voter_at(state, address)
    if not _may_change(state) or _answers(state, lost, now_ms):
        return False
    kept = [m for m in members.members if m.voter or m.address != address]
    learner = Member(node=node, address=address, voter=False)
    _change(state, [*kept, learner], now_ms)
    return True


def settle(state: State, now_ms: int) -> None:
    """Takes the next step from a learner that has caught up to a voter.

    The voter that it replaces goes first. The other order would count the
    lost voter and the new one at once: four voters of which one is gone, so
    that a second loss before the next step would leave no quorum for ever.
    """
    _mark(state, now_ms)
    learner = _caught_up(state)
    if learner is None or not _may_change(state):
        return
    members = state.log.members.members
    lost = _voter_at(state, learner.address) or _silent_voter(state, now_ms)
    if lost is None and len(state.log.voters) >= state.timing.max_voters:
        return
    if lost is not None:
        kept = [m for m in members if m is not lost]
    else:
        voter = msgspec.structs.replace(learner, voter=True)
        kept = [voter if m is learner else m for m in members]
    _change(state, kept, now_ms)


def _silent_voter(state: State, now_ms: int) -> Member | None:
    """Returns a voter that a waiting learner may replace.

    A host that is gone for good stays a voter otherwise: after a few such
    replacements the dead outnumber the living, and nothing commits any more.
    It goes only while the voters that remain can commit without it.
    """
    timing = state.timing
    kept = len(state.log.voters) - 1
    alive = 1
    silent = None
    for node in state.log.voters:
        if node == state.node:
            continue
        last_seen_ms = max(state.progress[node].acked_ms, state.elected_ms)
        if now_ms - last_seen_ms < timing.election_timeout_ms:
            alive += 1
        elif now_ms - last_seen_ms > timing.silent_voter_ms:
            silent = state.log.members.find(node)
    return silent if alive > kept // 2 else None


def _mark(state: State, now_ms: int) -> None:
    """Notes how far the log was a while ago."""
    if now_ms - state.mark_ms >= state.timing.election_timeout_ms // 2:
        state.earlier_last = state.mark_last
        state.mark_ms = now_ms
        state.mark_last = state.log.last


def _caught_up(state: State) -> Member | None:
    """Returns a learner that has what the log held a while ago.

    What is committed now is no measure: where records never stop, near voters
    commit each of them before a far learner has it, and it would never vote.
    One that is less than an election's time behind keeps up.
    """
    for member in state.log.members.members:
        if member.voter or member.node not in state.progress:
            continue
        if state.progress[member.node].match >= state.earlier_last:
            return member
    return None


def _voter_at(state: State, address: str) -> Member | None:
    for member in state.log.members.members:
        if member.voter and member.address == address:
            return member
    return None


def _answers(state: State, member: Member | None, now_ms: int) -> bool:
    if member is None:
        return False
    if member.node == state.node:
        return True
    last_seen_ms = state.progress[member.node].acked_ms
    return now_ms - last_seen_ms < state.timing.election_timeout_ms


def _may_change(state: State) -> bool:
    # Two changes at once, or one before this term has committed anything,
    # could make two majorities that share no voter.
    return state.announced and state.log.members_index <= state.commit


def _change(state: State, members: list[Member], now_ms: int) -> None:
    payload = encode_members(Members(members=members))
    leading.append(state, EntryKind.MEMBERS, payload, now_ms)
