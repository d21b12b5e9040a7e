"""The control group in a replica: configuration and operators' changes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from catkinpin import codec
from catkinpin.core import changes, control, messages, routing

if TYPE_CHECKING:
    from catkinpin.adapters import peers
    from catkinpin.replica import Replica

_decoder = codec.decoder(changes.ControlRecord)


class ControlHost:
    """The control group's state, and what its leader answers."""

    def __init__(self, replica: Replica) -> None:
        self._replica = replica
        self._waiters: dict[str, list[tuple[peers.Stream, int]]] = {}
        self.state = control.Control()
        self.group = replica.node.add_group(routing.CONTROL_GROUP, self)

    def propose_change(
        self, stream: peers.Stream, change: changes.Apply
    ) -> None:
        """Takes an operator's change."""
        if not self.group.is_leader():
            stream.send(
                messages.NotLeader(
                    ask=change.ask,
                    group=self.group.name,
                    leader=self.group.leader,
                )
            )
            return
        waiters = self._waiters.setdefault(change.request_id, [])
        waiters.append((stream, change.ask))
        record = changes.ConfigChanged(
            at_ms=self._replica.clock.wall_ms(),
            request_id=change.request_id,
            base_revision=change.base_revision,
            content=change.content,
            operator=change.operator,
        )
        self.group.propose(codec.encode(record))

    def update(self) -> changes.ConfigUpdate:
        """Returns the newest configuration for an entry."""
        return changes.ConfigUpdate(
            revision=self.state.revision, content=self.state.content
        )

    def apply(self, index: int, payload: bytes) -> None:
        """Applies a committed change and answers who waits for it."""
        record = _decoder.decode(payload)
        before = self.state.revision
        result = self.state.apply(index, record)
        for stream, ask in self._waiters.pop(record.request_id, []):
            stream.send(
                changes.Applied(
                    ask=ask,
                    accepted=result.accepted,
                    revision=result.revision,
                    operator=result.operator,
                )
            )
        if self.state.revision != before:
            self._replica.configuration_changed(self.state.content)

    def leadership(self, leading: bool) -> None:
        """Takes up or lays down the leader's part."""

    def snapshot(self) -> bytes:
        """Returns the state."""
        raise NotImplementedError

    def restore(self, data: bytes) -> None:
        """Replaces the state by a snapshot."""
        raise NotImplementedError

    def referenced(self) -> list[int]:
        """Returns the log indexes whose records are still read: none."""
        return []
