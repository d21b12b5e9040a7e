"""How the first members find one another, and how a lost one is replaced."""

from __future__ import annotations

import dataclasses
import logging
from typing import TYPE_CHECKING

from catkinpin.adapters.replica import transport
from catkinpin.core.consensus.messages import Member, Members

if TYPE_CHECKING:
    from collections.abc import Callable

    from catkinpin.adapters.replica.identity import Identity
    from catkinpin.adapters.replica.mesh import Mesh

log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True)
class Joining:
    """How a replica takes part where no operator repairs lost ones.

    Attributes:
        seeds: peer addresses of the replicas that found the system.
        first_start: whether the whole system starts for the first time.
    """

    seeds: tuple[str, ...]
    first_start: bool

    def is_founder(self, address: str) -> bool:
        """Returns whether the replica at `address` founds the system."""
        return self.first_start and address in self.seeds


class Founding:
    """Decides when this replica takes part in the groups.

    A system is founded once, by all replicas together, each with an empty
    folder. A replica whose folder is empty while another's is not has lost
    its disk; were it to found anew, or to vote under its old name, what it
    has forgotten could be decided twice. It waits for an operator's repair.

    Where hosts come and go with nobody to repair them, a replica with an empty
    folder joins by itself instead, under its new identity. Its settings say
    whether the system starts for the first time; that is never guessed.

    A founder that ends between its introduction and the founding may be
    counted as a voter by the others. It waits to be sent the founders: as
    a joining replica it would get the log without the members, and neither
    vote nor lead while its place counts in each quorum.

    Args:
        identity: who this replica is.
        address: its peer address, as the others know it.
        mesh: streams to the others.
        begin: called once this replica may take part.
        joining: how it takes part without an operator; None: it doesn't.
    """

    def __init__(
        self,
        identity: Identity,
        address: str,
        mesh: Mesh,
        begin: Callable[[], None],
        joining: Joining | None = None,
    ) -> None:
        self._identity = identity
        self._address = address
        self._mesh = mesh
        self._begin = begin
        self._joining = joining
        if joining is not None:
            self._founders = [a for a in joining.seeds if a != address]
        else:
            self._founders = list(mesh.addresses)
        self._infos: dict[str, transport.NodeInfo] = {}
        self._repair_asked = False

    def start(self) -> None:
        """Takes part at once where that was settled in an earlier run."""
        if self._joining is not None and not self._identity.belongs:
            if self._joining.is_founder(self._address):
                self._identity.introduce()
            elif not self._identity.introduced:
                log.info("joins with an empty data folder")
                self._identity.join()
        if not self._identity.belongs and not self._founders:
            self._identity.found(self._members([]))
        if self._identity.belongs:
            self._begin()

    def tick(self) -> None:
        """Introduces this replica while it waits."""
        if not self._identity.belongs:
            self._mesh.broadcast(self.info())

    def info(self) -> transport.NodeInfo:
        """Returns who this replica is."""
        return transport.NodeInfo(
            node=self._identity.node,
            address=self._address,
            founded=self._identity.belongs,
            known=list(self._mesh.addresses),
        )

    def handle_info(self, info: transport.NodeInfo) -> None:
        """Takes what another replica says of itself."""
        self._infos[info.address] = info
        founders = self._identity.founders
        if founders is not None:
            if not info.founded:
                found = transport.Found(members=founders)
                self._mesh.send(info.node, found)
        elif not self._identity.belongs:
            if self._repair_asked:
                self.repair()
            self._try_to_found()

    def founded(self, members: Members) -> None:
        """Takes the founding by another replica."""
        if self._identity.belongs:
            return
        if members.find(self._identity.node) is not None:
            self._take_part(members)
        elif self._joining is not None:
            log.info("founded without this replica, joins")
            self._identity.join()
            self._begin()

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
        log.info("repair ordered, joins with an empty data folder")
        self._identity.join()
        self._begin()

    def needs_repair(self) -> bool:
        """Returns whether the others have state and this replica has none."""
        # Replicas that join later belong as soon as they start, before there
        # is anything to belong to; only founders tell of a founded system.
        known = [i for a, i in self._infos.items() if a in self._founders]
        return not self._identity.belongs and any(i.founded for i in known)

    def waits_for(self) -> list[str]:
        """Returns the addresses that have not answered."""
        return [a for a in self._founders if a not in self._infos]

    def _try_to_found(self) -> None:
        if self._identity.belongs or self.waits_for() or self.needs_repair():
            return
        # The lowest address founds, so that two don't with other members.
        if all(self._address < other for other in self._founders):
            others = [self._infos[a] for a in self._founders]
            self._take_part(self._members(others))
            assert self._identity.founders is not None
            found = transport.Found(members=self._identity.founders)
            self._mesh.broadcast(found)

    def _members(self, others: list[transport.NodeInfo]) -> Members:
        us = Member(node=self._identity.node, address=self._address)
        rest = [Member(node=i.node, address=i.address) for i in others]
        return Members(members=[us, *rest])

    def _take_part(self, members: Members) -> None:
        self._identity.found(members)
        log.info("system founded", extra={"members": len(members.members)})
        self._begin()
