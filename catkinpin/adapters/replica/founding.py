"""How the first members find one another, and how a lost one is replaced."""

from __future__ import annotations

import dataclasses
import logging
from typing import TYPE_CHECKING

from catkinpin import clock, decisions, metrics
from catkinpin.adapters.replica import transport
from catkinpin.core.consensus import foundingtypes as types
from catkinpin.core.consensus.founding import Founder
from catkinpin.core.consensus.messages import Members

if TYPE_CHECKING:
    from collections.abc import Callable

    from catkinpin.adapters.replica.identity import Identity
    from catkinpin.adapters.replica.mesh import Mesh
    from catkinpin.core.consensus.messages import FoundingMessage

log = logging.getLogger(__name__)

# What a founding waits for is noted again after this time.
_NOTE_EVERY_MS = 10_000
# Replicas that an operator repairs are listed whole in their settings: all
# must answer, and an empty disk waits for the operator instead of a time.
_REPAIRED_TIMING = types.FoundingTiming(empty_disks_wait_ms=0)


@dataclasses.dataclass(frozen=True)
class Joining:
    """How a replica takes part where no operator repairs lost ones.

    Attributes:
        seeds: peer addresses of the replicas that found the system.
        first_start: whether the whole system starts for the first time.
    """

    seeds: tuple[str, ...]
    first_start: bool


class Founding:
    """Decides when this replica takes part in the groups.

    A system is founded once, by its seeds. A replica whose folder is empty
    while another's is not has lost its disk; were it to vote under its old
    name, what it has forgotten could be decided twice. It waits for an
    operator's repair.

    Where hosts come and go with nobody to repair them, a replica with an empty
    folder joins by itself instead, under its new identity. A seed waits until
    it hears of the founded system, since there may be none yet: it may have
    ended in its first start before it wrote anything. Whether the system
    starts for the first time is told by its settings, and never guessed.

    Args:
        identity: who this replica is.
        address: its peer address, as the others know it.
        mesh: streams to the others.
        begin: called once this replica may take part.
        joining: how it takes part without an operator; None: it doesn't.
        members: returns the newest members that this replica knows.
    """

    def __init__(
        self,
        identity: Identity,
        address: str,
        mesh: Mesh,
        begin: Callable[[], None],
        joining: Joining | None = None,
        members: Callable[[], Members] = Members,
    ) -> None:
        self._identity = identity
        self._address = address
        self._mesh = mesh
        self._begin = begin
        self._joining = joining
        self._members = members
        self._repair_asked = False
        self._others_founded = False
        self._founder = self._new_founder()
        self._noted: types.WaitStatus | None = None
        self._noted_ms = 0
        self._since_ms = clock.since_boot_ms()

    def _new_founder(self) -> Founder:
        """Returns this replica's part in the founding."""
        joining = self._joining
        if joining is None:
            seeds = (self._address, *self._mesh.addresses)
        else:
            if joining.first_start and not self._identity.belongs:
                self._identity.introduce(joining.seeds)
            seeds = self._identity.seeds or joining.seeds
        return Founder(
            self._identity.node,
            self._address,
            seeds,
            self._identity.record,
            clock.since_boot_ms(),
            _REPAIRED_TIMING if joining is None else None,
        )

    def start(self) -> None:
        """Takes part at once where that was settled in an earlier run."""
        if self._identity.belongs:
            self._begin()
        elif self._address not in self._founder.seeds:
            self._join("no seed")
        else:
            self.tick()

    def tick(self) -> None:
        """Introduces this replica, and founds the system, while it waits."""
        if self._identity.belongs:
            return
        self._mesh.broadcast(self.info())
        self._founder.tick(clock.since_boot_ms())
        self._carry_out()
        self._note_waiting()

    def info(self) -> transport.NodeInfo:
        """Returns who this replica is."""
        return transport.NodeInfo(
            node=self._identity.node,
            address=self._address,
            founded=bool(self._known_members().members),
            known=list(self._mesh.addresses),
            empty=self._founder.record.empty,
            knows_group=self._founder.knows_group,
        )

    def handle_info(self, info: transport.NodeInfo) -> None:
        """Takes what another replica says of itself."""
        members = self._known_members()
        if members.members:
            if not info.founded:
                self._mesh.send(info.node, transport.Found(members=members))
            return
        if self._identity.belongs:
            return
        if info.founded:
            self._others_founded |= info.address in self._founder.seeds
            if self._repair_asked:
                self.repair()
            return
        self._founder.handle_introduction(
            types.Introduction(
                info.node, info.address, info.empty, info.knows_group
            ),
            clock.since_boot_ms(),
        )
        self._carry_out()

    def handle(self, message: FoundingMessage) -> None:
        """Takes what another seed asks or answers."""
        members = self._known_members()
        if members.members:
            self._mesh.send(message.sender, transport.Found(members=members))
        elif not self._identity.belongs:
            self._founder.step(message, clock.since_boot_ms())
            self._carry_out()

    def founded(self, members: Members) -> None:
        """Takes the founding by another replica."""
        if self._identity.belongs:
            return
        if members.find(self._identity.node) is not None:
            self._take_part(members)
        elif self._joining is not None:
            self._join("founded without this replica")
        else:
            self._others_founded = True

    def group_known(self, by: str) -> None:
        """Notes that a process knows of a founded system.

        Args:
            by: which process.
        """
        if not self._identity.belongs and not self._founder.knows_group:
            decisions.note("founding", "", system_known_by=by)
            self._founder.group_known()

    def repair(self) -> None:
        """Lets this replica replace the one that was lost at its address.

        An operator's order can come before this replica knows that the
        others have state. Forgotten, it would leave the replica waiting for
        an order that was given, and the operator's command in vain for the
        replica; so it is kept until then. Where the system turns out to be
        new, all found it together and the order means nothing.
        """
        if self._identity.belongs:
            return
        if not self.needs_repair():
            log.info("repair ordered, not yet known to be needed")
            self._repair_asked = True
            return
        self._join("repair ordered")

    def needs_repair(self) -> bool:
        """Returns whether the others have state and this replica has none."""
        waits = self._joining is None and not self._identity.belongs
        return waits and self._others_founded

    def waits_for(self) -> list[str]:
        """Returns the addresses that have not answered."""
        return list(self._founder.wait_status(clock.since_boot_ms()).seeds)

    def _known_members(self) -> Members:
        return self._identity.founders or self._members()

    def _carry_out(self) -> None:
        for command in self._founder.take_output():
            if self._identity.belongs:
                return
            match command:
                case types.Save(record):
                    self._identity.save(record)
                case types.Send(message):
                    self._mesh.send(message.to, message)
                case types.Decided(members):
                    self._take_part(members)
                    self._mesh.broadcast(transport.Found(members=members))

    def _take_part(self, members: Members) -> None:
        self._identity.found(members)
        absent = set(self._founder.seeds)
        absent -= {member.address for member in members.members}
        decisions.note(
            "founded",
            "",
            members={m.address: m.node for m in members.members},
            absent=sorted(absent),
        )
        self._start_part("founded")

    def _join(self, reason: str) -> None:
        self._identity.join()
        decisions.note("joins", "", reason=reason)
        self._start_part("joins")

    def _start_part(self, how: str) -> None:
        metrics.FOUNDING_WAITS.clear()
        log.info("takes part in the groups: %s", how)
        self._begin()

    def _note_waiting(self) -> None:
        """Says what this replica waits for: at each change, and now and then.

        Without this nobody could tell a system that is not founded from one
        that merely has no leader.
        """
        if self._identity.belongs:
            return
        now_ms = clock.since_boot_ms()
        wait_status = self._founder.wait_status(now_ms)
        if (
            wait_status == self._noted
            and now_ms - self._noted_ms < _NOTE_EVERY_MS
        ):
            return
        self._noted, self._noted_ms = wait_status, now_ms
        metrics.FOUNDING_WAITS.clear()
        for address in wait_status.seeds:
            metrics.FOUNDING_WAITS.labels(address).set(1)
        decisions.note(
            "founding",
            "",
            waits_for=wait_status.reason,
            seeds=list(wait_status.seeds),
            since_ms=now_ms - self._since_ms,
            empty=self._founder.record.empty,
        )
