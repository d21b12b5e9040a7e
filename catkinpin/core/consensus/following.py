"""Follower role: accepts entries, heartbeats and snapshots from the leader."""

from __future__ import annotations

from typing import TYPE_CHECKING

from catkinpin.core.consensus import commands, messages
from catkinpin.core.consensus.log import LogIndex
from catkinpin.core.consensus.state import Role

if TYPE_CHECKING:
    from catkinpin.core.consensus.state import State

_LeaderMessage = messages.Append | messages.Heartbeat | messages.SnapshotOffer


def on_append(
    state: State, sender: str, msg: messages.Append, now_ms: int
) -> None:
    """Appends the leader's entries if they fit the log, else rejects them."""
    if not _accept_leader(state, sender, msg, now_ms):
        return
    log = state.log
    prev_index, entries = msg.prev_index, msg.entries
    last_index = prev_index + len(entries)
    if prev_index < log.base:
        # Entries covered by the snapshot are committed, so they match.
        entries = entries[log.base - prev_index :]
        prev_index = log.base
        last_index = max(last_index, prev_index)
    elif log.term_at(prev_index) != msg.prev_term:
        _reject_append(state, sender, msg)
        return
    _append_entries(state, entries)
    reply = messages.AppendReply(
        term=state.term, ok=True, index=last_index, sent_ms=msg.sent_ms
    )
    state.send(sender, reply, after_sync=True)
    state.commit_up_to(min(msg.commit, last_index))


def on_heartbeat(
    state: State, sender: str, msg: messages.Heartbeat, now_ms: int
) -> None:
    """Confirms the leader's lease and takes over its commit index."""
    if not _accept_leader(state, sender, msg, now_ms):
        return
    reply = messages.HeartbeatReply(term=state.term, sent_ms=msg.sent_ms)
    state.send(sender, reply, after_sync=True)
    state.commit_up_to(min(msg.commit, state.log.last))


def accept_unchanged_heartbeat(
    state: State, sender: str, term: int, commit: int, now_ms: int
) -> bool:
    """Handles a heartbeat from the current leader that changes nothing.

    Returns:
        Whether it was handled. A heartbeat from another leader, of another
        term or with a newer commit index is not.
    """
    is_unchanged = (
        state.role is Role.FOLLOWER
        and state.leader == sender
        and state.term == term
        and commit <= state.commit
    )
    if is_unchanged:
        state.record_leader_contact(now_ms)
    return is_unchanged


def on_snapshot_offer(
    state: State, sender: str, msg: messages.SnapshotOffer, now_ms: int
) -> None:
    """Fetches the offered snapshot if it is ahead of the commit index."""
    if not _accept_leader(state, sender, msg, now_ms):
        return
    if msg.index <= state.commit:
        _acknowledge_snapshot(state, sender, msg)
    else:
        state.emit(commands.Fetch(sender, msg))


def install_snapshot(
    state: State, sender: str, offer: messages.SnapshotOffer
) -> bool:
    """Replaces the state by a fetched snapshot.

    Returns:
        Whether it was installed; False if this replica has already committed
        that far.
    """
    if offer.index <= state.commit:
        return False
    keeps_tail = state.log.term_at(offer.index) == offer.last_term
    if keeps_tail:
        state.log.compact(offer.index)
        state.synced_index = max(state.synced_index, offer.index)
    else:
        state.log = LogIndex(offer.index, offer.last_term, offer.members)
        state.synced_index = offer.index
    state.snapshot_index = offer.index
    state.commit = offer.index
    state.applied = offer.index
    state.emit(commands.Restore(offer, keeps_tail))
    _acknowledge_snapshot(state, sender, offer)
    return True


def _accept_leader(
    state: State, sender: str, msg: _LeaderMessage, now_ms: int
) -> bool:
    """Follows the sender; returns False if its term is outdated."""
    if msg.term < state.term:
        # The newer term in the reply makes the outdated leader step down.
        reply = messages.HeartbeatReply(term=state.term, sent_ms=msg.sent_ms)
        state.send(sender, reply)
        return False
    state.become_follower(msg.term, sender, now_ms)
    state.record_leader_contact(now_ms)
    return True


def _reject_append(state: State, sender: str, msg: messages.Append) -> None:
    """Answers with the last index at which the two logs may still match."""
    log = state.log
    last_candidate = min(log.last, msg.prev_index - 1)
    if log.term_at(msg.prev_index) >= 0:
        last_candidate = log.first_index_of_term(msg.prev_index) - 1
    reply = messages.AppendReply(
        term=state.term,
        ok=False,
        index=max(last_candidate, state.commit),
        sent_ms=msg.sent_ms,
    )
    state.send(sender, reply, after_sync=True)


def _append_entries(state: State, entries: list[messages.Entry]) -> None:
    """Appends missing entries, after dropping those that conflict with them."""
    log = state.log
    for position, entry in enumerate(entries):
        if log.term_at(entry.index) == entry.term:
            continue
        if entry.index <= log.last:
            assert entry.index > state.commit, (
                "a committed entry would be dropped"
            )
            log.truncate_after(entry.index - 1)
            state.synced_index = min(state.synced_index, log.last)
        new_entries = entries[position:]
        for new_entry in new_entries:
            log.append(new_entry)
        state.emit(commands.SaveEntries(new_entries))
        return


def _acknowledge_snapshot(
    state: State, sender: str, offer: messages.SnapshotOffer
) -> None:
    reply = messages.AppendReply(
        term=state.term, ok=True, index=offer.index, sent_ms=offer.sent_ms
    )
    state.send(sender, reply, after_sync=True)
