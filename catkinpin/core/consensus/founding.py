"""Agreement of the seeds on the first members, reached once.

The seeds decide on one value, the first members, as single-decree Paxos does:
an attempt has a ballot, seeds promise and then accept, and what may have been
decided by an earlier attempt is proposed again. What a seed says is on its disk
before it is sent.

A seed with an empty disk that was not told that the system starts for the
first time may have promised, accepted, or even served before it lost its disk.
It counts only in an attempt that every seed answers, and only after a time in
which nobody said that a founded system exists.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from catkinpin.core.consensus.foundingtypes import (
    Command,
    Decided,
    FoundingTiming,
    Introduction,
    Save,
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


@dataclasses.dataclass
class _Attempt:
    """An attempt of this seed.

    Attributes:
        sent_ms: when the seeds were last asked.
        asked: identity of each seed that was asked, by address.
        promises: answers so far, by address.
        accepted: seeds that have accepted, each with whether it is empty.
    """

    ballot: Ballot
    counts_empty: bool
    begun_ms: int
    sent_ms: int
    asked: dict[str, str]
    promises: dict[str, Promise] = dataclasses.field(default_factory=dict)
    accepted: dict[str, bool] = dataclasses.field(default_factory=dict)
    members: Members | None = None


class Founder:
    """A seed's part in the founding; its driver carries out its commands.

    Args:
        node: identity of this seed.
        address: its peer address.
        seeds: addresses of all seeds, its own included.
        record: what was found on the disk.
        now_ms: monotonic time that counts a suspended host's sleep, too.
        timing: times of the founding.
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
            len(self.seeds), record.empty, self._timing.touch_ms
        )
        self._differing: set[str] = set()
        self._next_ms = now_ms
        self._highest = record.promised
        self._attempt: _Attempt | None = None
        self._out: list[Command] = []

    def introduction(self) -> Introduction:
        """Returns what this seed says of itself."""
        return Introduction(
            self.node, self.address, self.record.empty, self.knows_group
        )

    def handle_introduction(self, info: Introduction, now_ms: int) -> None:
        """Takes what another seed that waits says of itself."""
        if info.address not in self.seeds or info.address == self.address:
            return
        self._presence.note_introduction(info, now_ms)
        if info.knows_group:
            self.group_known()
        self.tick(now_ms)

    def group_known(self) -> None:
        """Notes that somebody knows of a founded system.

        Seeds with empty disks found nothing from now on; those that kept
        theirs know better than who said it.
        """
        self.knows_group = True
        if self._attempt is not None and self._attempt.counts_empty:
            self._attempt = None

    def step(self, msg: FoundingMessage, now_ms: int) -> None:
        """Takes a message of another seed."""
        if msg.to != self.node:
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

    def tick(self, now_ms: int) -> None:
        """Begins an attempt once one can succeed, and ends one that is late."""
        self._presence.update(now_ms)
        attempt = self._attempt
        if attempt is not None:
            if now_ms - attempt.begun_ms < self._timing.answer_ms:
                if now_ms - attempt.sent_ms >= self._timing.resend_ms:
                    self._ask(attempt, now_ms)
                return
            if attempt.members is None and self._may_decide(
                {a: p.empty for a, p in attempt.promises.items()}
            ):
                self._propose(attempt, now_ms)
                attempt.begun_ms = now_ms
                return
            self._give_up(now_ms)
        ready_ms = self._ready_ms()
        present = self._presence.nodes(now_ms)
        if ready_ms is None or self._is_copied(present):
            return
        rank = sum(address < self.address for address in present)
        turn_ms = ready_ms + rank * self._timing.retry_ms
        if now_ms >= max(turn_ms, self._next_ms):
            self._begin(now_ms)

    def wait_status(self, now_ms: int) -> WaitStatus:
        """Returns what the founding waits for."""
        present = {self.address, *self._presence.nodes(now_ms)}
        away = tuple(a for a in self.seeds if a not in present)
        if self._is_copied(self._presence.nodes(now_ms)):
            return WaitStatus("seeds with copies of one data folder", away)
        if self._differing:
            return WaitStatus("seeds name other seeds", tuple(self._differing))
        if self._presence.kept(now_ms) >= self._majority():
            return WaitStatus("seeds about to agree", away)
        if self.knows_group:
            return WaitStatus(
                "a founded system of which no member answers", away
            )
        if away:
            return WaitStatus("too few seeds that kept their disks", away)
        return WaitStatus("all disks are empty; anyone who knows a system")

    def take_output(self) -> list[Command]:
        """Returns the commands since the last call, in order."""
        out, self._out = self._out, []
        return out

    # When to begin.

    def _majority(self) -> int:
        return len(self.seeds) // 2 + 1

    def _is_copied(self, present: dict[str, str]) -> bool:
        """Returns whether two seeds have one identity.

        Each would vote in the name of both.
        """
        return len({self.node, *present.values()}) <= len(present)

    def _ready_ms(self) -> int | None:
        """Returns the time from which an attempt may be made, if any."""
        presence = self._presence
        complete = presence.complete_since_ms
        if presence.majority_since_ms is not None:
            if complete is not None:
                return complete
            return presence.majority_since_ms + self._timing.grace_ms
        if complete is not None and not self.knows_group:
            return complete + self._timing.empty_disks_wait_ms
        return None

    # This seed's attempt.

    def _begin(self, now_ms: int) -> None:
        ballot = Ballot(count=self._highest.count + 1, node=self.node)
        counts_empty = self._presence.majority_since_ms is None
        asked = self._presence.nodes(now_ms)
        attempt = _Attempt(ballot, counts_empty, now_ms, now_ms, asked)
        self._attempt = attempt
        self._save(dataclasses.replace(self.record, promised=ballot))
        self._ask(attempt, now_ms)
        attempt.promises[self.address] = self._promise(self.node)
        if not asked:
            self._propose(attempt, now_ms)

    def _ask(self, attempt: _Attempt, now_ms: int) -> None:
        """Sends what the seeds that have not answered are to answer."""
        attempt.sent_ms = now_ms
        if attempt.members is None:
            for address, node in attempt.asked.items():
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

    def _give_up(self, now_ms: int) -> None:
        self._attempt = None
        self._next_ms = now_ms + self._timing.retry_ms

    def _may_decide(self, empty: dict[str, bool]) -> bool:
        """Returns whether these seeds are enough, by who lost its disk."""
        if len(empty) - sum(empty.values()) >= self._majority():
            return True
        attempt = self._attempt
        return (
            attempt is not None
            and attempt.counts_empty
            and len(empty) == len(self.seeds)
        )

    def _on_promise(self, msg: Promise, now_ms: int) -> None:
        attempt = self._attempt
        self._highest = max(self._highest, msg.ballot)
        if attempt is None or attempt.members is not None:
            return
        if msg.ballot > attempt.ballot:
            self._give_up(now_ms)
            return
        if msg.ballot != attempt.ballot:
            return
        if attempt.asked.get(msg.address) != msg.sender:
            return
        attempt.promises[msg.address] = msg
        if len(attempt.promises) == len(attempt.asked) + 1:
            self._propose(attempt, now_ms)

    def _propose(self, attempt: _Attempt, now_ms: int) -> None:
        promises = attempt.promises
        if not self._may_decide({a: p.empty for a, p in promises.items()}):
            return
        accepted = [p.accepted for p in promises.values() if p.accepted]
        if accepted:
            # An earlier attempt may have decided on these.
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
        self._ask(attempt, now_ms)
        self._count(attempt, self.address)

    def _on_accepted(self, msg: Accepted) -> None:
        attempt = self._attempt
        if (
            attempt is not None
            and attempt.members is not None
            and msg.ballot == attempt.ballot
            and msg.address in attempt.promises
            and attempt.promises[msg.address].sender == msg.sender
        ):
            self._count(attempt, msg.address)

    def _count(self, attempt: _Attempt, address: str) -> None:
        attempt.accepted[address] = attempt.promises[address].empty
        if self._may_decide(attempt.accepted):
            assert attempt.members is not None
            self._out.append(Decided(attempt.members))

    # What others attempt.

    def _on_prepare(self, msg: Prepare, now_ms: int) -> None:
        self._highest = max(self._highest, msg.ballot)
        if sorted(msg.seeds) != list(self.seeds):
            self._differing = set(msg.seeds) ^ set(self.seeds)
            return
        if msg.counts_empty and self.knows_group:
            return
        if msg.ballot > self.record.promised:
            if self._attempt is not None:
                self._give_up(now_ms)
            self._yield(now_ms)
            self._save(dataclasses.replace(self.record, promised=msg.ballot))
        self._out.append(Send(self._promise(msg.sender)))

    def _on_propose(self, msg: Propose, now_ms: int) -> None:
        proposal = msg.proposal
        outdated = proposal.ballot < self.record.promised
        if outdated or (self.record.empty and self.knows_group):
            return
        self._yield(now_ms)
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

    def _yield(self, now_ms: int) -> None:
        """Gives another's attempt the time to end."""
        wait_ms = self._timing.answer_ms + self._timing.retry_ms
        self._next_ms = max(self._next_ms, now_ms + wait_ms)

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
