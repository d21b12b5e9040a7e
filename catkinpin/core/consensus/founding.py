"""One-time agreement of the seeds on the first members of the system.

The seeds decide on one value, the first members, by single-decree Paxos. Each
attempt has a ballot. Seeds first promise, then accept. A value that an earlier
attempt may have decided is proposed again. A seed syncs its state to disk
before it sends a message that depends on it.

A seed with an empty disk may have promised or accepted something, or even
belonged to a founded system, before it lost its disk, unless its settings say
that the system starts for the first time. Such a seed counts only in attempts
that all seeds answer, and only after a time in which no process has reported a
founded system.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from catkinpin.core.consensus.foundingtypes import (
    Command,
    Decided,
    FoundingTiming,
    Save,
    SeedInfo,
    SeedRecord,
    Send,
    WaitStatus,
)
from catkinpin.core.consensus.messages import (
    Accepted,
    Ballot,
    Member,
    Members,
    Prepare,
    Promise,
    Proposal,
    Propose,
)
from catkinpin.core.consensus.presence import Presence

if TYPE_CHECKING:
    from catkinpin.core.consensus.messages import FoundingMessage


# A seed makes few attempts a second, so no other seed is so far ahead.
_MAX_BALLOT_STEP = 2**32


@dataclasses.dataclass
class _Attempt:
    """An attempt of this seed to found the system.

    Attributes:
        ballot: its number.
        counts_empty: whether it counts seeds that may have lost their disks.
        started_ms: time from which `attempt_timeout_ms` counts.
        last_request_ms: time at which requests were last sent.
        nodes_by_address: identities of the seeds that are asked.
        promises: promises received, by address.
        accepted: addresses of the seeds that have accepted, each with whether
            the seed may have lost its disk.
        members: the first members that it proposes; None before it does.
    """

    ballot: Ballot
    counts_empty: bool
    started_ms: int
    last_request_ms: int
    nodes_by_address: dict[str, str]
    promises: dict[str, Promise] = dataclasses.field(default_factory=dict)
    accepted: dict[str, bool] = dataclasses.field(default_factory=dict)
    members: Members | None = None


class Founder:
    """A seed's part in the founding; its driver carries out its commands.

    Args:
        node: identity of this seed.
        address: its peer address.
        seeds: addresses of all seeds, its own included.
        record: state read from the disk.
        now_ms: monotonic time, which must advance while the host is suspended.
        timing: timeouts of the founding.

    Attributes:
        record: state as of the last `Save` command.
        knows_group: whether a process has reported that the system is
            initialized.
    """

    def __init__(
        self,
        node: str,
        address: str,
        seeds: tuple[str, ...],
        record: SeedRecord,
        now_ms: int,
        timing: FoundingTiming | None = None,
    ) -> None:
        self.node = node
        self.address = address
        self.seeds = tuple(sorted(set(seeds)))
        self.record = record
        self.knows_group = False
        self._timing = timing or FoundingTiming()
        self._presence = Presence(
            len(self.seeds), record.empty, self._timing.silence_timeout_ms
        )
        self._differing_seeds: set[str] = set()
        self._next_attempt_ms = now_ms
        self._highest_ballot = record.promised
        self._attempt: _Attempt | None = None
        self._out: list[Command] = []

    def seed_info(self) -> SeedInfo:
        """Returns what this seed tells the other seeds about itself."""
        return SeedInfo(
            self.node, self.address, self.record.empty, self.knows_group
        )

    def handle_seed_info(self, info: SeedInfo, now_ms: int) -> None:
        """Handles what another seed tells about itself."""
        if info.address not in self.seeds or info.address == self.address:
            return
        self._presence.record_seed_info(info, now_ms)
        if info.knows_group:
            self.group_known()
        self.tick(now_ms)

    def group_known(self) -> None:
        """Records that another process has seen the system initialized.

        From now on no attempt may count seeds that may have lost their disks.
        Seeds that kept their disks can still found the system: what is stored
        there is more reliable than the report.
        """
        self.knows_group = True
        if self._attempt is not None and self._attempt.counts_empty:
            self._attempt = None

    def step(self, msg: FoundingMessage, now_ms: int) -> None:
        """Handles a message from another seed."""
        if msg.to != self.node or self._is_out_of_range(msg):
            return
        match msg:
            case Prepare():
                self._on_prepare(msg, now_ms)
            case Promise():
                self._on_promise(msg, now_ms)
            case Propose():
                self._on_propose(msg, now_ms)
            case Accepted():
                self._on_accepted(msg)

    def _is_out_of_range(self, msg: FoundingMessage) -> bool:
        """Returns whether a ballot's number can't come from another seed.

        Numbers only grow, so one near the largest would leave none for later
        attempts.
        """
        match msg:
            case Propose():
                ballot = msg.proposal.ballot
            case _:
                ballot = msg.ballot
        known = max(self._highest_ballot.count, self.record.promised.count)
        return not 0 <= ballot.count <= known + _MAX_BALLOT_STEP

    def tick(self, now_ms: int) -> None:
        """Starts, advances or ends an attempt to found the system.

        An attempt starts once it can succeed, and ends when it times out.
        """
        self._presence.update(now_ms)
        attempt = self._attempt
        if attempt is not None:
            if now_ms - attempt.started_ms < self._timing.attempt_timeout_ms:
                if (
                    now_ms - attempt.last_request_ms
                    >= self._timing.resend_interval_ms
                ):
                    self._send_requests(attempt, now_ms)
                return
            if attempt.members is None and self._is_quorum(
                {a: p.empty for a, p in attempt.promises.items()}
            ):
                self._propose(attempt, now_ms)
                attempt.started_ms = now_ms
                return
            self._abandon_attempt(now_ms)
        earliest_ms = self._earliest_attempt_ms()
        present = self._presence.reachable_nodes(now_ms)
        if earliest_ms is None or self._has_duplicate_identity(present):
            return
        rank = sum(address < self.address for address in present)
        own_turn_ms = earliest_ms + rank * self._timing.retry_delay_ms
        if now_ms >= max(own_turn_ms, self._next_attempt_ms):
            self._start_attempt(now_ms)

    def wait_status(self, now_ms: int) -> WaitStatus:
        """Returns why the system is not founded yet."""
        present = {self.address, *self._presence.reachable_nodes(now_ms)}
        absent = tuple(a for a in self.seeds if a not in present)
        if self._has_duplicate_identity(self._presence.reachable_nodes(now_ms)):
            return WaitStatus("seeds with copies of one data folder", absent)
        if self._differing_seeds:
            return WaitStatus(
                "seeds name other seeds", tuple(self._differing_seeds)
            )
        if self._presence.count_kept_disks(now_ms) >= self._majority_size():
            return WaitStatus("seeds about to agree", absent)
        if self.knows_group:
            return WaitStatus(
                "a founded system of which no member answers", absent
            )
        if absent:
            return WaitStatus("too few seeds that kept their disks", absent)
        return WaitStatus("all disks are empty; anyone who knows a system")

    def take_output(self) -> list[Command]:
        """Returns the commands queued since the last call, in order."""
        out, self._out = self._out, []
        return out

    # Conditions for an attempt.

    def _majority_size(self) -> int:
        return len(self.seeds) // 2 + 1

    def _has_duplicate_identity(self, present: dict[str, str]) -> bool:
        """Returns whether two seeds have the same identity.

        Each would vote in the name of both.

        Args:
            present: identities of the other reachable seeds, by address.
        """
        return len({self.node, *present.values()}) <= len(present)

    def _earliest_attempt_ms(self) -> int | None:
        """Returns the earliest time of an attempt, None if none may be made."""
        presence = self._presence
        all_since_ms = presence.all_since_ms
        if presence.majority_since_ms is not None:
            if all_since_ms is not None:
                return all_since_ms
            return (
                presence.majority_since_ms + self._timing.absent_seeds_wait_ms
            )
        if all_since_ms is not None and not self.knows_group:
            return all_since_ms + self._timing.empty_disks_wait_ms
        return None

    # Attempts of this seed.

    def _start_attempt(self, now_ms: int) -> None:
        ballot = Ballot(count=self._highest_ballot.count + 1, node=self.node)
        counts_empty = self._presence.majority_since_ms is None
        nodes_by_address = self._presence.reachable_nodes(now_ms)
        attempt = _Attempt(
            ballot, counts_empty, now_ms, now_ms, nodes_by_address
        )
        self._attempt = attempt
        self._save(dataclasses.replace(self.record, promised=ballot))
        self._send_requests(attempt, now_ms)
        attempt.promises[self.address] = self._promise(self.node)
        if not nodes_by_address:
            self._propose(attempt, now_ms)

    def _send_requests(self, attempt: _Attempt, now_ms: int) -> None:
        """Sends the present phase's request to seeds that have not answered."""
        attempt.last_request_ms = now_ms
        if attempt.members is None:
            for address, node in attempt.nodes_by_address.items():
                if address not in attempt.promises:
                    self._out.append(Send(self._prepare(attempt, node)))
            return
        proposal = Proposal(ballot=attempt.ballot, members=attempt.members)
        for address, promise in attempt.promises.items():
            if address not in attempt.accepted and address != self.address:
                message = Propose(
                    sender=self.node, to=promise.sender, proposal=proposal
                )
                self._out.append(Send(message))

    def _prepare(self, attempt: _Attempt, node: str) -> Prepare:
        return Prepare(
            sender=self.node,
            to=node,
            ballot=attempt.ballot,
            seeds=list(self.seeds),
            counts_empty=attempt.counts_empty,
        )

    def _abandon_attempt(self, now_ms: int) -> None:
        self._attempt = None
        self._next_attempt_ms = now_ms + self._timing.retry_delay_ms

    def _is_quorum(self, lost_disks: dict[str, bool]) -> bool:
        """Returns whether the answers of these seeds suffice.

        Args:
            lost_disks: addresses of the seeds, each with whether the seed may
                have lost its disk.
        """
        if len(lost_disks) - sum(lost_disks.values()) >= self._majority_size():
            return True
        attempt = self._attempt
        return (
            attempt is not None
            and attempt.counts_empty
            and len(lost_disks) == len(self.seeds)
        )

    def _on_promise(self, msg: Promise, now_ms: int) -> None:
        attempt = self._attempt
        self._highest_ballot = max(self._highest_ballot, msg.ballot)
        if attempt is None or attempt.members is not None:
            return
        if msg.ballot > attempt.ballot:
            self._abandon_attempt(now_ms)
            return
        if msg.ballot != attempt.ballot:
            return
        if attempt.nodes_by_address.get(msg.address) != msg.sender:
            return
        attempt.promises[msg.address] = msg
        if len(attempt.promises) == len(attempt.nodes_by_address) + 1:
            self._propose(attempt, now_ms)

    def _propose(self, attempt: _Attempt, now_ms: int) -> None:
        promises = attempt.promises
        if not self._is_quorum({a: p.empty for a, p in promises.items()}):
            return
        accepted = [p.accepted for p in promises.values() if p.accepted]
        if accepted:
            # An earlier attempt may have decided on the newest of these.
            newest = max(accepted, key=lambda proposal: proposal.ballot)
            members = newest.members
        else:
            members = Members(
                members=[
                    Member(node=promises[a].sender, address=a)
                    for a in sorted(promises)
                ]
            )
        attempt.members = members
        proposal = Proposal(ballot=attempt.ballot, members=members)
        self._save(dataclasses.replace(self.record, accepted=proposal))
        self._send_requests(attempt, now_ms)
        self._count_acceptance(attempt, self.address)

    def _on_accepted(self, msg: Accepted) -> None:
        attempt = self._attempt
        if (
            attempt is not None
            and attempt.members is not None
            and msg.ballot == attempt.ballot
            and msg.address in attempt.promises
            and attempt.promises[msg.address].sender == msg.sender
        ):
            self._count_acceptance(attempt, msg.address)

    def _count_acceptance(self, attempt: _Attempt, address: str) -> None:
        attempt.accepted[address] = attempt.promises[address].empty
        if self._is_quorum(attempt.accepted):
            assert attempt.members is not None
            self._out.append(Decided(attempt.members))

    # Attempts of other seeds.

    def _on_prepare(self, msg: Prepare, now_ms: int) -> None:
        self._highest_ballot = max(self._highest_ballot, msg.ballot)
        if sorted(msg.seeds) != list(self.seeds):
            self._differing_seeds = set(msg.seeds) ^ set(self.seeds)
            return
        if msg.counts_empty and self.knows_group:
            return
        if msg.ballot > self.record.promised:
            if self._attempt is not None:
                self._abandon_attempt(now_ms)
            self._postpone_own_attempt(now_ms)
            self._save(dataclasses.replace(self.record, promised=msg.ballot))
        self._out.append(Send(self._promise(msg.sender)))

    def _on_propose(self, msg: Propose, now_ms: int) -> None:
        proposal = msg.proposal
        is_outdated = proposal.ballot < self.record.promised
        if is_outdated or (self.record.empty and self.knows_group):
            return
        self._postpone_own_attempt(now_ms)
        if proposal != self.record.accepted:
            self._save(
                dataclasses.replace(
                    self.record, promised=proposal.ballot, accepted=proposal
                )
            )
        self._out.append(
            Send(
                Accepted(
                    sender=self.node,
                    to=msg.sender,
                    address=self.address,
                    ballot=proposal.ballot,
                )
            )
        )

    def _postpone_own_attempt(self, now_ms: int) -> None:
        """Leaves another seed's attempt time to complete."""
        wait_ms = self._timing.attempt_timeout_ms + self._timing.retry_delay_ms
        self._next_attempt_ms = max(self._next_attempt_ms, now_ms + wait_ms)

    def _promise(self, to: str) -> Promise:
        return Promise(
            sender=self.node,
            to=to,
            address=self.address,
            ballot=self.record.promised,
            empty=self.record.empty,
            accepted=self.record.accepted,
        )

    def _save(self, record: SeedRecord) -> None:
        self.record = record
        self._out.append(Save(record))
