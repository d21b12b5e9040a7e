"""Leader election: pre-votes and votes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from catkinpin.core.consensus import leading, messages
from catkinpin.core.consensus.state import Role

if TYPE_CHECKING:
    from catkinpin.core.consensus.state import State


def start_pre_vote(state: State, now_ms: int) -> None:
    """Asks the voters whether this replica would win an election.

    Without pre-votes, a replica that was cut off by the network would return
    with a higher term and thereby depose a healthy leader.
    """
    state.schedule_pre_vote_retry(now_ms)
    state.role = Role.PRE_CANDIDATE
    state.leader = ""
    state.granted_by = {state.node}
    if _has_won(state):
        start_election(state, now_ms)
        return
    request = messages.PreVote(
        term=state.term + 1,
        last_index=state.log.last,
        last_term=state.log.last_term,
        void_term=state.void_term,
    )
    for voter in _other_voters(state):
        state.send(voter, request)


def start_election(state: State, now_ms: int, transfer: bool = False) -> None:
    """Starts a new term and asks for votes in it.

    Args:
        state: state of this replica.
        now_ms: monotonic time.
        transfer: whether the leader has given up its lease and asked for this
            election.
    """
    state.role = Role.CANDIDATE
    state.leader = ""
    state.save_term(state.term + 1, state.node)
    state.schedule_vote_retry(now_ms)
    state.granted_by = {state.node}
    if _has_won(state):
        leading.become_leader(state, now_ms)
        return
    request = messages.Vote(
        term=state.term,
        last_index=state.log.last,
        last_term=state.log.last_term,
        transfer=transfer,
        void_term=state.void_term,
    )
    for voter in _other_voters(state):
        state.send(voter, request, after_sync=True)


def on_pre_vote(
    state: State, sender: str, msg: messages.PreVote, now_ms: int
) -> None:
    """Answers whether this replica would vote for `sender`."""
    granted = (
        msg.term > state.term
        and not state.must_withhold_vote(msg.void_term, now_ms)
        and state.is_up_to_date(msg.last_index, msg.last_term)
    )
    # Two simultaneous candidates would each vote for themselves, and the group
    # would have no leader for another round. The one with the lower identity
    # withdraws.
    if granted and state.role is Role.PRE_CANDIDATE and sender > state.node:
        state.role = Role.FOLLOWER
        state.schedule_vote_retry(now_ms)
    term = msg.term if granted else state.term
    state.send(sender, messages.PreVoteReply(term=term, granted=granted))


def on_pre_vote_reply(
    state: State, sender: str, msg: messages.PreVoteReply, now_ms: int
) -> None:
    """Counts an answer to a pre-vote of this replica."""
    if not msg.granted:
        if msg.term > state.term:
            state.become_follower(msg.term, "", now_ms)
        return
    if state.role is Role.PRE_CANDIDATE and msg.term == state.term + 1:
        state.granted_by.add(sender)
        if _has_won(state):
            start_election(state, now_ms)


def on_vote(state: State, sender: str, msg: messages.Vote, now_ms: int) -> None:
    """Answers a request for a vote; votes for at most one replica per term."""
    if msg.term < state.term:
        state.send(sender, messages.VoteReply(term=state.term, granted=False))
        return
    # A leader's lease relies on this replica not voting for a while. Only the
    # leader asks for a transfer, and it gives up its lease first.
    bound_by_lease = state.must_withhold_vote(msg.void_term, now_ms)
    if bound_by_lease and not msg.transfer:
        return
    if msg.term > state.term:
        state.become_follower(msg.term, "", now_ms)
    may_vote = state.vote in ("", sender) and state.role is Role.FOLLOWER
    granted = may_vote and state.is_up_to_date(msg.last_index, msg.last_term)
    if granted:
        state.save_term(state.term, sender)
        state.reset_election_deadline(now_ms)
    state.send(
        sender,
        messages.VoteReply(term=state.term, granted=granted),
        after_sync=True,
    )


def on_vote_reply(
    state: State, sender: str, msg: messages.VoteReply, now_ms: int
) -> None:
    """Counts an answer to a request for a vote."""
    if msg.term > state.term:
        state.become_follower(msg.term, "", now_ms)
    elif (
        state.role is Role.CANDIDATE and msg.term == state.term and msg.granted
    ):
        state.granted_by.add(sender)
        if _has_won(state):
            leading.become_leader(state, now_ms)


def on_timeout_now(state: State, msg: messages.TimeoutNow, now_ms: int) -> None:
    """Starts an election at once, as the leader transfers its leadership."""
    is_follower = state.role is Role.FOLLOWER and msg.term == state.term
    if is_follower and state.is_voter():
        start_election(state, now_ms, transfer=True)


def _other_voters(state: State) -> list[str]:
    return [v for v in state.log.voters if v != state.node]


def _has_won(state: State) -> bool:
    votes = sum(voter in state.granted_by for voter in state.log.voters)
    return votes >= state.log.quorum
