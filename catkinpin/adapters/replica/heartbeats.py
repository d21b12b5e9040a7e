"""Sends the heartbeats of all groups to a replica in one message.

With one message per group, heartbeats would cost an idle group more than
everything else together.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

from catkinpin.adapters.replica import transport
from catkinpin.core.consensus.messages import Heartbeat, HeartbeatReply

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping


class HeartbeatHandler(Protocol):
    """A group that handles heartbeats and their replies."""

    def handle_heartbeat(
        self, sender: str, heartbeat: Heartbeat, now_ms: int
    ) -> bool:
        """Handles a heartbeat.

        Returns:
            Whether the caller has to confirm it, together with those of other
            groups. If False, the group itself replies if a reply is due.
        """

    def handle_heartbeat_reply(
        self, sender: str, reply: HeartbeatReply, now_ms: int
    ) -> None:
        """Handles the reply to a heartbeat."""


class Outbox:
    """Heartbeats to send with the next flush."""

    def __init__(self) -> None:
        # By receiver and time of sending, with the group of each heartbeat.
        self._queued: dict[tuple[str, int], list[tuple[str, Heartbeat]]] = {}

    def add(self, group: str, to: str, heartbeat: Heartbeat) -> None:
        """Adds a heartbeat of a group to a replica."""
        key = (to, heartbeat.sent_ms)
        self._queued.setdefault(key, []).append((group, heartbeat))

    def send(self, sender: str, send: Callable[[str, Any], None]) -> None:
        """Sends the queued heartbeats, one message to each replica."""
        for (to, sent_ms), queued in self._queued.items():
            message = transport.Heartbeats(
                sender=sender,
                to=to,
                sent_ms=sent_ms,
                groups=[name for name, _ in queued],
                terms=[heartbeat.term for _, heartbeat in queued],
                commits=[heartbeat.commit for _, heartbeat in queued],
            )
            send(to, message)
        self._queued.clear()


def handle(
    message: transport.Heartbeats,
    groups: Mapping[str, HeartbeatHandler],
    now_ms: int,
) -> transport.HeartbeatReplies:
    """Handles heartbeats; returns the reply for those with nothing new."""
    names, terms = [], []
    sent_ms = message.sent_ms
    for name, term, commit in zip(
        message.groups, message.terms, message.commits, strict=True
    ):
        group = groups.get(name)
        if group is None:
            continue
        heartbeat = Heartbeat(term=term, commit=commit, sent_ms=sent_ms)
        if group.handle_heartbeat(message.sender, heartbeat, now_ms):
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
    """Handles replies to heartbeats."""
    for name, term in zip(message.groups, message.terms, strict=True):
        group = groups.get(name)
        if group is not None:
            reply = HeartbeatReply(term=term, sent_ms=message.sent_ms)
            group.handle_heartbeat_reply(message.sender, reply, now_ms)
