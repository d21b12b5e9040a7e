"""What a leader does: replicate, commit, keep its lease, hand over."""

from __future__ import annotations

from typing import TYPE_CHECKING

from catkinpin.core.consensus import commands, messages, progress
from catkinpin.core.consensus.messages import Entry, EntryKind
from catkinpin.core.consensus.progress import Progress
from catkinpin.core.consensus.state import Role

if TYPE_CHECKING:
    from catkinpin.core.consensus.state import State

_MAX_IN_FLIGHT = 8
_BATCH_ENTRIES = 1024
_BATCH_BYTES = 1024 * 1024


def begin(state: State, now_ms: int) -> None:
    """Takes the office of the leader."""
    state.role = Role.LEADER
    state.leader = state.node
    state.save(state.term, state.node, led=True)
    state.elected_ms = now_ms
    state.announced = False
    state.beat = -1
    state.progress = {
        node: Progress(next=state.log.last + 1) for node in state.others()
    }
    state.term_start = append(state, EntryKind.NOOP, b"", now_ms)
    state.mark_ms = now_ms
    state.mark_last = state.earlier_last = state.log.last
    _renew_lease(state, now_ms)
    tick(state, now_ms)


def append(state: State, kind: EntryKind, payload: bytes, now_ms: int) -> int:
    """Appends an entry and returns its index."""
    entry = Entry(state.log.last + 1, state.term, kind, payload)
    state.log.append(entry)
    state.emit(commands.SaveEntries([entry]))
    if kind is EntryKind.MEMBERS:
        _track_members(state, now_ms)
    return entry.index


def replicate(state: State, now_ms: int) -> None:
    """Sends what is new to each member that can take it."""
    for node in state.progress:
        _send_entries(state, node, now_ms)


def tick(state: State, now_ms: int) -> None:
    """Sends heartbeats when they are due and checks the quorum."""
    # All groups of a process beat at the same multiples of the interval, so
    # that one batch on each stream carries the beats of all of them.
    beat = now_ms // state.timing.heartbeat_interval_ms
    if beat != state.beat:
        state.beat = beat
        for node, member in state.progress.items():
            commit = min(state.commit, member.match)
            state.send(
                node,
                messages.Heartbeat(
                    term=state.term, commit=commit, sent_ms=now_ms
                ),
            )
    # A leader that is cut off would go on for ever without this, and its
    # callers would wait for it instead of asking the next leader.
    reached = max(state.reached_ms, state.elected_ms)
    alone = len(state.log.voters) == 1
    if now_ms - reached > state.timing.election_timeout_ms and not alone:
        state.follow(state.term, "", now_ms)
        return
    if state.transfer_to and now_ms > state.transfer_until_ms:
        state.transfer_to = ""
    _give_up(state, now_ms)


def on_append_reply(
    state: State, sender: str, msg: messages.AppendReply, now_ms: int
) -> None:
    """Notes how far a member is."""
    member = _answered(state, sender, msg, now_ms)
    if member is None:
        return
    if msg.ok:
        member.matched(msg.index)
        advance(state, now_ms)
    else:
        member.refused(msg.index)
    _give_up(state, now_ms)
    if state.role is Role.LEADER:
        _send_entries(state, sender, now_ms)


def on_heartbeat_reply(
    state: State, sender: str, msg: messages.HeartbeatReply, now_ms: int
) -> None:
    """Renews the lease and sends again what got lost."""
    member = _answered(state, sender, msg, now_ms)
    if member is None:
        return
    quiet = now_ms - member.sent_ms > 2 * state.timing.heartbeat_interval_ms
    if member.match < state.log.last and quiet:
        member.restart()
        _send_entries(state, sender, now_ms)


def synced(state: State, now_ms: int) -> None:
    """Counts our own copy of the entries that are now synced."""
    advance(state, now_ms)


def advance(state: State, now_ms: int) -> None:
    """Commits what a quorum holds.

    Only an entry of this term commits by being counted: one of an earlier
    term that a quorum holds can still be replaced by another leader.
    """
    held = [
        state.synced if voter == state.node else state.progress[voter].match
        for voter in state.log.voters
    ]
    index = progress.quorum_value(held, state.log.quorum)
    if index <= state.commit or state.log.term_at(index) != state.term:
        return
    state.commit_to(index)
    if not state.announced and index >= state.term_start:
        state.announced = True
        state.emit(commands.ReportLeadership(True))
    if not state.is_voter() and index >= state.log.members_index:
        state.follow(state.term, "", now_ms)


def transfer(state: State, now_ms: int, address: str) -> bool:
    """Begins to hand over; returns whether there is anyone to take over."""
    recent = now_ms - state.timing.election_timeout_ms
    voters = [
        (member.match, node)
        for node, member in state.progress.items()
        if node in state.log.voters
        and member.acked_ms > recent
        and address in ("", _address(state, node))
    ]
    if not voters:
        return False
    state.transfer_to = max(voters)[1]
    state.transfer_until_ms = now_ms + state.timing.transfer_ms
    _give_up(state, now_ms)
    return True


def _address(state: State, node: str) -> str:
    member = state.log.members.find(node)
    return member.address if member is not None else ""


def _give_up(state: State, now_ms: int) -> None:
    """Hands over once the next leader has the whole log."""
    if not state.transfer_to or state.role is not Role.LEADER:
        return
    target = state.transfer_to
    if state.progress[target].match < state.log.last:
        return
    # The lease goes first: the next leader may be elected at once.
    state.follow(state.term, "", now_ms)
    state.send(target, messages.TimeoutNow(term=state.term))


def _answered(
    state: State,
    sender: str,
    msg: messages.AppendReply | messages.HeartbeatReply,
    now_ms: int,
) -> Progress | None:
    if msg.term > state.term:
        state.follow(msg.term, "", now_ms)
        return None
    if state.role is not Role.LEADER or msg.term < state.term:
        return None
    member = state.progress.get(sender)
    if member is not None and msg.sent_ms > member.acked_ms:
        member.acked_ms = msg.sent_ms
        _renew_lease(state, now_ms)
    return member


def _renew_lease(state: State, now_ms: int) -> None:
    """Works out when a quorum was last known to follow us."""
    log = state.log
    if len(log.voters) == 1:
        state.reached_ms = now_ms
        state.lease_until_ms = 1 << 62
        return
    times = [
        now_ms if voter == state.node else state.progress[voter].acked_ms
        for voter in log.voters
    ]
    # The lease counts from when we asked, not from when the answer came: the
    # followers' promises may be as old as the question.
    state.reached_ms = progress.quorum_value(times, log.quorum)
    state.lease_until_ms = state.reached_ms + state.timing.lease_ms


def _send_entries(state: State, node: str, now_ms: int) -> None:
    member = state.progress.get(node)
    if member is None:
        return
    log = state.log
    limit = 1 if member.probing else _MAX_IN_FLIGHT
    while member.next <= log.last and member.in_flight < limit:
        prev_term = log.term_at(member.next - 1)
        if prev_term < 0:
            _offer(state, node, member, now_ms)
            return
        end = log.batch_end(member.next, _BATCH_ENTRIES, _BATCH_BYTES)
        message = messages.Append(
            term=state.term,
            prev_index=member.next - 1,
            prev_term=prev_term,
            commit=state.commit,
            sent_ms=now_ms,
        )
        state.emit(commands.SendEntries(node, message, member.next, end))
        member.in_flight += 1
        member.sent_ms = now_ms
        if member.probing:
            return
        member.next = end + 1


def _offer(state: State, node: str, member: Progress, now_ms: int) -> None:
    """Offers the snapshot: the log no longer holds what this one lacks."""
    if now_ms - member.offered_ms < state.timing.offer_ms:
        return
    member.offered_ms = now_ms
    index = state.snapshot
    offer = messages.SnapshotOffer(
        term=state.term,
        index=index,
        last_term=state.log.term_at(index),
        members=state.log.members_at(index),
        sent_ms=now_ms,
    )
    state.send(node, offer)


def _track_members(state: State, now_ms: int) -> None:
    """Keeps progress of exactly the other members."""
    state.progress = {
        node: state.progress.get(node) or Progress(next=state.log.last)
        for node in state.others()
    }
    state.transfer_to = ""
    _renew_lease(state, now_ms)
