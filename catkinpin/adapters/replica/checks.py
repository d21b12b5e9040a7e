"""Checks of messages between replicas before anything acts on them.

An exception while a replica handles a message stops it, since the change may be
half done. So a message that would raise one is refused first.
"""

from __future__ import annotations

import logging
from typing import Any

from catkinpin.adapters.peers import borders
from catkinpin.adapters.replica import transport
from catkinpin.core import addresses

log = logging.getLogger(__name__)

_MAX_NAME_CHARS = 200
_MAX_MEMBERS = 1_000
_MAX_OFFSET = 2**62


def is_refused(message: Any) -> bool:
    """Returns whether a message can't be handled, and logs why."""
    problem = _find_problem(message)
    if problem:
        log.warning("%s refused: %s", type(message).__name__, problem)
    return bool(problem)


def _find_problem(message: Any) -> str:
    match message:
        case transport.NodeInfo() | transport.Join():
            return _replica_problem(message.node, message.address)
        case transport.Found():
            return _found_problem(message)
        case transport.Heartbeats():
            lengths = {
                len(message.groups),
                len(message.terms),
                len(message.commits),
            }
            return "" if len(lengths) == 1 else "lists of unequal lengths"
        case transport.HeartbeatReplies():
            is_even = len(message.groups) == len(message.terms)
            return "" if is_even else "lists of unequal lengths"
        case transport.SnapshotPull():
            is_valid = 0 <= message.offset <= _MAX_OFFSET
            return "" if is_valid else f"offset {message.offset}"
    return ""


def _replica_problem(node: str, address: str) -> str:
    if not 0 < len(node) <= _MAX_NAME_CHARS:
        return f"identity {borders.shown(node)}"
    if not addresses.is_host_port(address):
        return f"its address {borders.shown(address)} is no host and port"
    return ""


def _found_problem(message: transport.Found) -> str:
    members = message.members.members
    if not 0 < len(members) <= _MAX_MEMBERS:
        return f"{len(members)} members"
    problems = (_replica_problem(m.node, m.address) for m in members)
    return next(filter(None, problems), "")
