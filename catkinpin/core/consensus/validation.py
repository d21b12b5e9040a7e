"""Checks whether a message may come from a replica that keeps the protocol.

What fails a check would break an invariant of the core, or leave it in a state
that no later message corrects. Such a message is dropped like a lost one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from catkinpin.core.consensus import messages
from catkinpin.core.consensus.log import decode_members
from catkinpin.core.consensus.messages import EntryKind
from catkinpin.core.consensus.state import Role

if TYPE_CHECKING:
    from catkinpin.core.consensus.state import State

# Terms only grow, so a term near the largest number would leave none for later
# elections. One replica can't start so many elections in years, and a replica
# that joins knows no term yet.
_MAX_TERM_STEP = 2**32
_MAX_INDEX = 2**62


def find_problem(state: State, msg: messages.GroupMessage, now_ms: int) -> str:
    """Returns why a message can't be handled, or "" if it can.

    Args:
        state: state of this replica.
        msg: the message.
        now_ms: monotonic time.
    """
    if not 0 <= msg.term <= state.term + _MAX_TERM_STEP:
        return f"term {msg.term} is out of range"
    match msg:
        case messages.Append():
            return _append_problem(state, msg)
        case messages.AppendReply():
            if not 0 <= msg.index <= _MAX_INDEX:
                return f"index {msg.index} is out of range"
            is_current = state.role is Role.LEADER and msg.term == state.term
            if is_current and msg.index > state.log.last:
                return f"index {msg.index} is beyond the leader's log"
            return _reply_problem(msg.sent_ms, now_ms)
        case messages.HeartbeatReply():
            return _reply_problem(msg.sent_ms, now_ms)
        case messages.Heartbeat():
            return _leader_problem(state, msg.term, msg.commit)
        case messages.SnapshotOffer():
            if not 0 <= msg.last_term <= msg.term:
                return f"last term {msg.last_term} is out of range"
            return _leader_problem(state, msg.term, msg.index)
        case messages.PreVote() | messages.Vote():
            if not 0 <= msg.last_index <= _MAX_INDEX:
                return f"last index {msg.last_index} is out of range"
            if not 0 <= msg.last_term <= msg.term:
                return f"last term {msg.last_term} is out of range"
    return ""


def _append_problem(state: State, msg: messages.Append) -> str:
    problem = _leader_problem(state, msg.term, msg.commit)
    if problem:
        return problem
    if not 0 <= msg.prev_index <= _MAX_INDEX:
        return f"index {msg.prev_index} is out of range"
    index, term = msg.prev_index, msg.prev_term
    if not 0 <= term <= msg.term:
        return f"term {term} is out of range"
    for entry in msg.entries:
        if entry.index != index + 1:
            return f"entry {entry.index} follows entry {index}"
        if not term <= entry.term <= msg.term:
            return f"entry of term {entry.term} follows one of term {term}"
        index, term = entry.index, entry.term
        is_committed = msg.term >= state.term and index <= state.commit
        if is_committed and state.log.term_at(index) not in (-1, term):
            return f"entry {index} differs from the committed one"
        if entry.kind is EntryKind.MEMBERS:
            try:
                decode_members(entry.payload)
            except (msgspec.MsgspecError, RecursionError):
                return f"entry {index} has no members"
    return ""


def _leader_problem(state: State, term: int, commit: int) -> str:
    if not 0 <= commit <= _MAX_INDEX:
        return f"commit index {commit} is out of range"
    if state.role is Role.LEADER and term == state.term:
        return f"term {term} has another leader"
    return ""


def _reply_problem(sent_ms: int, now_ms: int) -> str:
    """Checks the time that a reply echoes, from which the lease counts."""
    return "" if sent_ms <= now_ms else "it answers a message not sent yet"
