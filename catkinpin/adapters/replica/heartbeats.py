"""Heartbeats of all groups to one replica in one message.

A message a group would cost an idle group more than all else together.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

from catkinpin.adapters.replica import transport
from catkinpin.core.consensus.messages import Heartbeat, HeartbeatReply

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping


class HeartbeatHandler(Protocol):
    """A group that takes part in heartbeats."""

    def heartbeat(self, sender: str, heartbeat: Heartbeat, now_ms: int) -> bool:
        """Handles a heartbeat; returns whether a plain answer will do."""

    def handle_heartbeat_reply(
        self, sender: str, reply: HeartbeatReply, now_ms: int
    ) -> None:
        """Handles the answer to a heartbeat."""


class Outbox:
    """Heartbeats that wait for the end of this turn of the loop."""

    def __init__(self) -> None:
        self._waiting: dict[tuple[str, int], list[tuple[str, Heartbeat]]] = {}

    def add(self, group: str, to: str, heartbeat: Heartbeat) -> None:
        """Adds a heartbeat of a group to a replica."""
        key = (to, heartbeat.sent_ms)
        self._waiting.setdefault(key, []).append((group, heartbeat))

    def send(self, sender: str, send: Callable[[str, Any], None]) -> None:
        """Sends one message to each replica."""
        for (to, sent_ms), listed in self._waiting.items():
            message = transport.Heartbeats(
                sender=sender,
                to=to,
                sent_ms=sent_ms,
                groups=[name for name, _ in listed],
                terms=[heartbeat.term for _, heartbeat in listed],
                commits=[heartbeat.commit for _, heartbeat in listed],
            )
            send(to, message)
        self._waiting.clear()


def handle(
    message: transport.Heartbeats,
    groups: Mapping[str, HeartbeatHandler],
    now_ms: int,
) -> transport.HeartbeatReplies:
    """Takes heartbeats; returns the answer for those with nothing new."""
    names, terms = [], []
    sent_ms = message.sent_ms
    for name, term, commit in zip(
        message.groups, message.terms, message.commits, strict=True
    ):
        group = groups.get(name)
        if group is None:
            continue
        heartbeat = Heartbeat(term=term, commit=commit, sent_ms=sent_ms)
        if group.heartbeat(message.sender, heartbeat, now_ms):
            names.append(name)
            terms.append(term)
    return transport.HeartbeatReplies(
        sender=message.to,
        to=message.sender,
        sent_ms=sent_ms,
        groups=names,
        terms=terms,
    )


def handle_replies(
    message: transport.HeartbeatReplies,
    groups: Mapping[str, HeartbeatHandler],
    now_ms: int,
) -> None:
    """Takes answers to heartbeats."""
    for name, term in zip(message.groups, message.terms, strict=True):
        group = groups.get(name)
        if group is not None:
            reply = HeartbeatReply(term=term, sent_ms=message.sent_ms)
            group.handle_heartbeat_reply(message.sender, reply, now_ms)
