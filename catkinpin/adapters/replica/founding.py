"""Initializes (founds) a system of replicas, or joins an existing one."""

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

# While the initialization waits for the same seeds, it logs them this often.
_WAIT_LOG_INTERVAL_MS = 10_000
# If an operator repairs replicas, the settings list all of them: all must
# answer, and one with an empty disk waits for the operator, not for a timeout.
_OPERATOR_REPAIR_TIMING = types.FoundingTiming(empty_disks_wait_ms=0)


@dataclasses.dataclass(frozen=True)
class AutoJoin:
    """Settings of a replica that joins without an operator's repair.

    Attributes:
        seeds: peer addresses of the replicas that initialize the system.
        first_start: whether the whole system starts for the first time.
    """

    seeds: tuple[str, ...]
    first_start: bool


class Founding:
    """Decides when this replica participates in the groups.

    The seeds initialize ("found") a system once: they agree on the first
    members of its groups. If a replica's data folder is empty and another's is
    not, the replica has lost its disk. If it voted under its old identity, a
    decision that it has forgotten could be made a second time. So it waits for
    an operator's repair.

    With `auto_join`, for systems whose hosts are replaced without an operator,
    a replica with an empty folder joins under its new identity instead. A seed
    first waits until it learns that the system is initialized. It may not be
    yet: the seed may have stopped during the system's first start before it
    wrote anything. Only the settings say whether the system starts for the
    first time; the replica can't infer it.

    Args:
        identity: this replica's identity file.
        address: the peer address that this replica advertises.
        mesh: streams to the other replicas.
        on_participation: called once this replica may participate.
        auto_join: settings for joining without an operator; None if an
            operator repairs lost replicas.
        members: returns the newest members that this replica knows.
    """

    def __init__(
        self,
        identity: Identity,
        address: str,
        mesh: Mesh,
        on_participation: Callable[[], None],
        auto_join: AutoJoin | None = None,
        members: Callable[[], Members] = Members,
    ) -> None:
        self._identity = identity
        self._address = address
        self._mesh = mesh
        self._on_participation = on_participation
        self._auto_join = auto_join
        self._newest_members = members
        self._repair_requested = False
        self._others_founded = False
        self._founder = self._new_founder()
        self._logged_status: types.WaitStatus | None = None
        self._logged_ms = 0
        self._waiting_since_ms = clock.since_boot_ms()

    def _new_founder(self) -> Founder:
        """Returns the state of the founding algorithm for this replica."""
        auto_join = self._auto_join
        if auto_join is None:
            seeds = (self._address, *self._mesh.addresses)
        else:
            if auto_join.first_start and not self._identity.participates:
                self._identity.save_first_start(auto_join.seeds)
            seeds = self._identity.seeds or auto_join.seeds
        return Founder(
            self._identity.node,
            self._address,
            seeds,
            self._identity.seed_record,
            clock.since_boot_ms(),
            _OPERATOR_REPAIR_TIMING if auto_join is None else None,
        )

    def start(self) -> None:
        """Starts initializing, unless this replica can participate at once.

        It can if an earlier run of it participated already, or if it is no seed
        and so joins the existing system.
        """
        if self._identity.participates:
            self._on_participation()
        elif self._address not in self._founder.seeds:
            self._join("no seed")
        else:
            self.tick()

    def tick(self) -> None:
        """Continues the initialization, unless this replica participates."""
        if self._identity.participates:
            return
        self._mesh.broadcast(self.node_info())
        self._founder.tick(clock.since_boot_ms())
        self._run_commands()
        self._log_wait_status()

    def node_info(self) -> transport.NodeInfo:
        """Returns the description of this replica for the others."""
        return transport.NodeInfo(
            node=self._identity.node,
            address=self._address,
            founded=bool(self._known_members().members),
            known=self._mesh.known(),
            empty=self._founder.record.empty,
            knows_group=self._founder.knows_group,
        )

    def handle_info(self, info: transport.NodeInfo) -> None:
        """Handles another replica's description of itself."""
        members = self._known_members()
        if members.members:
            if not info.founded:
                self._mesh.send(info.node, transport.Found(members=members))
            return
        if self._identity.participates:
            return
        if info.founded:
            self._others_founded |= info.address in self._founder.seeds
            if self._repair_requested:
                self.repair()
            return
        self._founder.handle_seed_info(
            types.SeedInfo(
                info.node,
                info.address,
                info.empty,
                info.knows_group,
            ),
            clock.since_boot_ms(),
        )
        self._run_commands()

    def handle(self, message: FoundingMessage) -> None:
        """Handles an initialization request or reply of another seed."""
        members = self._known_members()
        if members.members:
            self._mesh.send(message.sender, transport.Found(members=members))
        elif not self._identity.participates:
            self._founder.step(message, clock.since_boot_ms())
            self._run_commands()

    def handle_founded(self, members: Members) -> None:
        """Handles the first members that another replica has sent."""
        if self._identity.participates:
            return
        if members.find(self._identity.node) is not None:
            self._participate_as_founder(members)
        elif self._auto_join is not None:
            self._join("founded without this replica")
        else:
            self._others_founded = True

    def record_system_known(self, by: str) -> None:
        """Records that another process has seen the system initialized.

        From now on, seeds that may have lost their disks don't count for an
        initialization: it could create a second system beside the existing one.

        Args:
            by: name of the process that reported it.
        """
        if not self._identity.participates and not self._founder.knows_group:
            decisions.note("founding", "", system_known_by=by)
            self._founder.group_known()

    def repair(self) -> None:
        """Lets this replica replace the lost one at its address.

        The operator may order a repair before this replica knows that the
        others have state. The order is remembered until then; otherwise the
        replica and the operator's command would wait for each other. If the
        system turns out to be new, all replicas found it together and the
        order has no effect.
        """
        if self._identity.participates:
            return
        if not self.needs_repair():
            log.info("repair ordered before it is known to be needed")
            self._repair_requested = True
            return
        self._join("repair ordered")

    def needs_repair(self) -> bool:
        """Returns whether the others have state and this replica has none."""
        is_waiting = self._auto_join is None and not self._identity.participates
        return is_waiting and self._others_founded

    def awaited_seeds(self) -> list[str]:
        """Returns the addresses of the seeds that this replica waits for."""
        return list(self._founder.wait_status(clock.since_boot_ms()).seeds)

    def _known_members(self) -> Members:
        return self._identity.founders or self._newest_members()

    def _run_commands(self) -> None:
        for command in self._founder.take_output():
            if self._identity.participates:
                return
            match command:
                case types.Save(record):
                    self._identity.save_seed_record(record)
                case types.Send(message):
                    self._mesh.send(message.to, message)
                case types.Decided(members):
                    self._participate_as_founder(members)
                    self._mesh.broadcast(transport.Found(members=members))

    def _participate_as_founder(self, members: Members) -> None:
        self._identity.save_founders(members)
        absent = set(self._founder.seeds)
        absent -= {member.address for member in members.members}
        decisions.note(
            "founded",
            "",
            members={m.address: m.node for m in members.members},
            absent=sorted(absent),
        )
        self._participate("founded")

    def _join(self, reason: str) -> None:
        self._identity.save_joining()
        decisions.note("joins", "", reason=reason)
        self._participate("joins")

    def _participate(self, reason: str) -> None:
        metrics.FOUNDING_WAITS.clear()
        log.info("participating in the groups: %s", reason)
        self._on_participation()

    def _log_wait_status(self) -> None:
        """Logs what this replica waits for, on each change and periodically.

        Otherwise a system that is not initialized would look the same as one
        that has no leader.
        """
        if self._identity.participates:
            return
        now_ms = clock.since_boot_ms()
        wait_status = self._founder.wait_status(now_ms)
        if (
            wait_status == self._logged_status
            and now_ms - self._logged_ms < _WAIT_LOG_INTERVAL_MS
        ):
            return
        self._logged_status, self._logged_ms = wait_status, now_ms
        metrics.FOUNDING_WAITS.clear()
        for address in wait_status.seeds:
            metrics.FOUNDING_WAITS.labels(address).set(1)
        decisions.note(
            "founding",
            "",
            waits_for=wait_status.reason,
            seeds=list(wait_status.seeds),
            since_ms=now_ms - self._waiting_since_ms,
            empty=self._founder.record.empty,
        )
