"""Leader role: replication, commits, the lease, and leadership transfer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from catkinpin.core.consensus import commands, messages, progress
from catkinpin.core.consensus.messages import Entry, EntryKind
from catkinpin.core.consensus.progress import Progress
from catkinpin.core.consensus.state import Role

if TYPE_CHECKING:
    from catkinpin.core.consensus.state import State

_MAX_APPENDS_IN_FLIGHT = 8
_MAX_BATCH_ENTRIES = 1024
_MAX_BATCH_BYTES = 1024 * 1024


def become_leader(state: State, now_ms: int) -> None:
    """Makes this replica the leader of its current term."""
    state.role = Role.LEADER
    state.leader = state.node
    state.save_term(state.term, state.node, is_leader=True)
    state.elected_ms = now_ms
    state.leadership_reported = False
    state.heartbeat_slot = -1
    state.progress = {
        node: Progress(next_index=state.log.last + 1)
        for node in state.other_nodes()
    }
    state.term_start_index = append_entry(state, EntryKind.NOOP, b"", now_ms)
    state.sample_ms = now_ms
    state.sample_last = state.previous_sample_last = state.log.last
    _renew_lease(state, now_ms)
    tick(state, now_ms)


def append_entry(
    state: State, kind: EntryKind, payload: bytes, now_ms: int
) -> int:
    """Appends an entry to the leader's log and returns its index."""
    entry = Entry(state.log.last + 1, state.term, kind, payload)
    state.log.append(entry)
    state.emit(commands.SaveEntries([entry]))
    if kind is EntryKind.MEMBERS:
        _update_tracked_members(state, now_ms)
    return entry.index


def replicate(state: State, now_ms: int) -> None:
    """Sends new entries to each member up to its in-flight limit."""
    for node in state.progress:
        _send_entries(state, node, now_ms)


def tick(state: State, now_ms: int) -> None:
    """Sends heartbeats when due; steps down if no quorum answers."""
    # All groups of a process send heartbeats at the same multiples of the
    # interval, so that one batch per stream carries those of all groups.
    heartbeat_slot = now_ms // state.timing.heartbeat_interval_ms
    if heartbeat_slot != state.heartbeat_slot:
        state.heartbeat_slot = heartbeat_slot
        for node, member in state.progress.items():
            commit = min(state.commit, member.match_index)
            state.send(
                node,
                messages.Heartbeat(
                    term=state.term, commit=commit, sent_ms=now_ms
                ),
            )
    # Without this a leader that is cut off would remain leader for ever, and
    # its callers would wait for it instead of asking the next leader.
    last_contact_ms = max(state.quorum_contact_ms, state.elected_ms)
    is_only_voter = len(state.log.voters) == 1
    if (
        now_ms - last_contact_ms > state.timing.election_timeout_ms
        and not is_only_voter
    ):
        state.become_follower(state.term, "", now_ms)
        return
    if state.transfer_to and now_ms > state.transfer_until_ms:
        state.transfer_to = ""
    _hand_over_if_ready(state, now_ms)


def on_append_reply(
    state: State, sender: str, msg: messages.AppendReply, now_ms: int
) -> None:
    """Updates a member's replication progress."""
    member = _register_reply(state, sender, msg, now_ms)
    if member is None:
        return
    if msg.ok:
        member.mark_matched(msg.index)
        advance_commit(state, now_ms)
    else:
        member.mark_rejected(msg.index)
    _hand_over_if_ready(state, now_ms)
    if state.role is Role.LEADER:
        _send_entries(state, sender, now_ms)


def on_heartbeat_reply(
    state: State, sender: str, msg: messages.HeartbeatReply, now_ms: int
) -> None:
    """Renews the lease and resends entries if appends seem to be lost."""
    member = _register_reply(state, sender, msg, now_ms)
    if member is None:
        return
    appends_stalled = (
        now_ms - member.sent_ms > 2 * state.timing.heartbeat_interval_ms
    )
    if member.match_index < state.log.last and appends_stalled:
        member.resend_unmatched()
        _send_entries(state, sender, now_ms)


def on_synced(state: State, now_ms: int) -> None:
    """Counts the leader's own copy of the entries that are now synced."""
    advance_commit(state, now_ms)


def advance_commit(state: State, now_ms: int) -> None:
    """Commits the entries that a quorum has synced.

    The newest of them must be of this term: an entry of an earlier term that a
    quorum holds can still be replaced by another leader.
    """
    synced_indexes = [
        state.synced_index
        if voter == state.node
        else state.progress[voter].match_index
        for voter in state.log.voters
    ]
    index = progress.quorum_value(synced_indexes, state.log.quorum)
    if index <= state.commit or state.log.term_at(index) != state.term:
        return
    state.commit_up_to(index)
    if not state.leadership_reported and index >= state.term_start_index:
        state.leadership_reported = True
        state.emit(commands.ReportLeadership(True))
    if not state.is_voter() and index >= state.log.members_index:
        state.become_follower(state.term, "", now_ms)


def transfer(state: State, now_ms: int, address: str) -> bool:
    """Starts to transfer leadership to the most up-to-date responsive voter.

    Args:
        state: state of this replica, the leader.
        now_ms: monotonic time.
        address: peer address of the voter to transfer it to; empty for any.

    Returns:
        Whether there is such a voter.
    """
    recent_since_ms = now_ms - state.timing.election_timeout_ms
    voters = [
        (member.match_index, node)
        for node, member in state.progress.items()
        if node in state.log.voters
        and member.acked_ms > recent_since_ms
        and address in ("", _address_of(state, node))
    ]
    if not voters:
        return False
    state.transfer_to = max(voters)[1]
    state.transfer_until_ms = now_ms + state.timing.transfer_timeout_ms
    _hand_over_if_ready(state, now_ms)
    return True


def _address_of(state: State, node: str) -> str:
    member = state.log.members.find(node)
    return member.address if member is not None else ""


def _hand_over_if_ready(state: State, now_ms: int) -> None:
    """Completes a transfer once its target has the whole log."""
    if not state.transfer_to or state.role is not Role.LEADER:
        return
    target = state.transfer_to
    if state.progress[target].match_index < state.log.last:
        return
    # Give up the lease first, since the next leader may be elected at once.
    state.become_follower(state.term, "", now_ms)
    state.send(target, messages.TimeoutNow(term=state.term))


def _register_reply(
    state: State,
    sender: str,
    msg: messages.AppendReply | messages.HeartbeatReply,
    now_ms: int,
) -> Progress | None:
    """Renews the lease by a reply.

    Returns:
        The sender's progress; None if the reply has no further effect.
    """
    if msg.term > state.term:
        state.become_follower(msg.term, "", now_ms)
        return None
    if state.role is not Role.LEADER or msg.term < state.term:
        return None
    member = state.progress.get(sender)
    if member is not None and msg.sent_ms > member.acked_ms:
        member.acked_ms = msg.sent_ms
        _renew_lease(state, now_ms)
    return member


def _renew_lease(state: State, now_ms: int) -> None:
    """Updates the lease from the members' latest replies."""
    log = state.log
    if len(log.voters) == 1:
        state.quorum_contact_ms = now_ms
        state.lease_until_ms = 1 << 62
        return
    contact_times_ms = [
        now_ms if voter == state.node else state.progress[voter].acked_ms
        for voter in log.voters
    ]
    # The lease counts from when the leader sent a message, not from when the
    # reply came: the follower may have begun to withhold its vote right then.
    state.quorum_contact_ms = progress.quorum_value(
        contact_times_ms, log.quorum
    )
    state.lease_until_ms = state.quorum_contact_ms + state.timing.lease_ms


def _send_entries(state: State, node: str, now_ms: int) -> None:
    member = state.progress.get(node)
    if member is None:
        return
    log = state.log
    max_in_flight = 1 if member.is_probing else _MAX_APPENDS_IN_FLIGHT
    while (
        member.next_index <= log.last
        and member.appends_in_flight < max_in_flight
    ):
        prev_term = log.term_at(member.next_index - 1)
        if prev_term < 0:
            _offer_snapshot(state, node, member, now_ms)
            return
        last_index = log.batch_end(
            member.next_index, _MAX_BATCH_ENTRIES, _MAX_BATCH_BYTES
        )
        message = messages.Append(
            term=state.term,
            prev_index=member.next_index - 1,
            prev_term=prev_term,
            commit=state.commit,
            sent_ms=now_ms,
        )
        state.emit(
            commands.SendEntries(node, message, member.next_index, last_index)
        )
        member.appends_in_flight += 1
        member.sent_ms = now_ms
        if member.is_probing:
            return
        member.next_index = last_index + 1


def _offer_snapshot(
    state: State, node: str, member: Progress, now_ms: int
) -> None:
    """Offers the snapshot instead of entries that the log no longer holds."""
    if now_ms - member.offered_ms < state.timing.snapshot_offer_interval_ms:
        return
    member.offered_ms = now_ms
    index = state.snapshot_index
    offer = messages.SnapshotOffer(
        term=state.term,
        index=index,
        last_term=state.log.term_at(index),
        members=state.log.members_at(index),
        sent_ms=now_ms,
    )
    state.send(node, offer)


def _update_tracked_members(state: State, now_ms: int) -> None:
    """Tracks the progress of exactly the newest members except this one."""
    state.progress = {
        node: state.progress.get(node) or Progress(next_index=state.log.last)
        for node in state.other_nodes()
    }
    state.transfer_to = ""
    _renew_lease(state, now_ms)
