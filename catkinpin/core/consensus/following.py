"""What a follower does: take entries, heartbeats and snapshots."""

from __future__ import annotations

from typing import TYPE_CHECKING

from catkinpin.core.consensus import commands, messages
from catkinpin.core.consensus.log import LogIndex
from catkinpin.core.consensus.state import Role

if TYPE_CHECKING:
    from catkinpin.core.consensus.state import State

_FromLeader = messages.Append | messages.Heartbeat | messages.SnapshotOffer


def on_append(
    state: State, sender: str, msg: messages.Append, now_ms: int
) -> None:
    """Takes entries where they fit on our log."""
    if not _accepts(state, sender, msg, now_ms):
        return
    log = state.log
    prev, entries = msg.prev_index, msg.entries
    end = prev + len(entries)
    if prev < log.base:
        # Entries under a snapshot are committed, so they match.
        entries = entries[log.base - prev :]
        prev = log.base
        end = max(end, prev)
    elif log.term_at(prev) != msg.prev_term:
        _refuse(state, sender, msg)
        return
    _append_entries(state, entries)
    reply = messages.AppendReply(
        term=state.term, ok=True, index=end, sent_ms=msg.sent_ms
    )
    state.send(sender, reply, synced=True)
    state.commit_to(min(msg.commit, end))


def on_heartbeat(
    state: State, sender: str, msg: messages.Heartbeat, now_ms: int
) -> None:
    """Lets the leader keep its lease."""
    if not _accepts(state, sender, msg, now_ms):
        return
    reply = messages.HeartbeatReply(term=state.term, sent_ms=msg.sent_ms)
    state.send(sender, reply, synced=True)
    state.commit_to(min(msg.commit, state.log.last))


def accept_unchanged_heartbeat(
    state: State, sender: str, term: int, commit: int, now_ms: int
) -> bool:
    """Handles a heartbeat without news; returns False if it has news."""
    known = (
        state.role is Role.FOLLOWER
        and state.leader == sender
        and state.term == term
        and commit <= state.commit
    )
    if known:
        state.hear(now_ms)
    return known


def on_offer(
    state: State, sender: str, msg: messages.SnapshotOffer, now_ms: int
) -> None:
    """Fetches a snapshot that is ahead of us."""
    if not _accepts(state, sender, msg, now_ms):
        return
    if msg.index <= state.commit:
        _reply_installed(state, sender, msg)
    else:
        state.emit(commands.Fetch(sender, msg))


def install(state: State, sender: str, offer: messages.SnapshotOffer) -> bool:
    """Continues from a fetched snapshot; returns whether it was of use."""
    if offer.index <= state.commit:
        return False
    keeps_tail = state.log.term_at(offer.index) == offer.last_term
    if keeps_tail:
        state.log.compact(offer.index)
        state.synced = max(state.synced, offer.index)
    else:
        state.log = LogIndex(offer.index, offer.last_term, offer.members)
        state.synced = offer.index
    state.snapshot = offer.index
    state.commit = offer.index
    state.applied = offer.index
    state.emit(commands.Restore(offer, keeps_tail))
    _reply_installed(state, sender, offer)
    return True


def _accepts(state: State, sender: str, msg: _FromLeader, now_ms: int) -> bool:
    if msg.term < state.term:
        # An old leader learns of the new term, and stops.
        reply = messages.HeartbeatReply(term=state.term, sent_ms=msg.sent_ms)
        state.send(sender, reply)
        return False
    state.follow(msg.term, sender, now_ms)
    state.hear(now_ms)
    return True


def _refuse(state: State, sender: str, msg: messages.Append) -> None:
    log = state.log
    hint = min(log.last, msg.prev_index - 1)
    if log.term_at(msg.prev_index) >= 0:
        hint = log.first_of_term(msg.prev_index) - 1
    reply = messages.AppendReply(
        term=state.term,
        ok=False,
        index=max(hint, state.commit),
        sent_ms=msg.sent_ms,
    )
    state.send(sender, reply, synced=True)


def _append_entries(state: State, entries: list[messages.Entry]) -> None:
    """Appends what we lack; cuts our log where it parts from the leader's."""
    log = state.log
    for position, entry in enumerate(entries):
        if log.term_at(entry.index) == entry.term:
            continue
        if entry.index <= log.last:
            assert entry.index > state.commit, "a committed entry would go"
            log.cut(entry.index - 1)
            state.synced = min(state.synced, log.last)
        new = entries[position:]
        for one in new:
            log.append(one)
        state.emit(commands.SaveEntries(new))
        return


def _reply_installed(
    state: State, sender: str, offer: messages.SnapshotOffer
) -> None:
    reply = messages.AppendReply(
        term=state.term, ok=True, index=offer.index, sent_ms=offer.sent_ms
    )
    state.send(sender, reply, synced=True)
