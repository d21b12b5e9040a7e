"""The log of one group: where each of its records lies."""

from __future__ import annotations

import array
import bisect
from typing import TYPE_CHECKING, Protocol

from catkinpin import codec
from catkinpin.adapters.disk import logrecords
from catkinpin.adapters.disk.logrecords import Base, Record, RecordType
from catkinpin.core.consensus.messages import Entry, Members
from catkinpin.core.consensus.state import StoredState
from catkinpin.exceptions import DamagedLogError, StorageError

if TYPE_CHECKING:
    from collections.abc import Iterator

    from catkinpin.adapters.disk.snapshots import Snapshot


class RecordStore(Protocol):
    """The disk as the log of one group sees it."""

    def add(self, record: Record) -> int:
        """Buffers a record and returns its position."""

    def read(self, position: int) -> Entry:
        """Returns the entry at a position."""

    def mark_unneeded(self, position: int) -> None:
        """Notes that a record is needed no more."""

    def write_snapshot(self, snapshot: Snapshot) -> None:
        """Writes a snapshot file that lasts."""

    def read_snapshot(self, group: str, index: int) -> Snapshot | None:
        """Returns a group's snapshot, None for index 0."""

    def read_snapshot_part(
        self, group: str, index: int, offset: int, size: int
    ) -> tuple[bytes, int]:
        """Returns a part of a snapshot's file, and its whole size."""


class GroupLog:
    """The log of one group.

    Attributes:
        number: stands for the name in the records.
        term: the newest term.
        vote: whom this replica voted for in it.
        led: whether this replica led it.
        base: last index that the log no longer holds.
        snapshot_index: last index of the newest snapshot, 0 for none.
        members: the members as of `base`.
    """

    def __init__(self, storage: RecordStore, name: str, number: int) -> None:
        self.name = name
        self.number = number
        self.term = 0
        self.vote = ""
        self.led = False
        self.base = 0
        self.base_term = 0
        self.snapshot_index = 0
        self.members = Members()
        self._storage = storage
        self._positions = array.array("Q")
        # Records from before the base that the snapshot refers to.
        self._kept = array.array("Q")
        self._kept_positions = array.array("Q")
        # Records fetched for a snapshot that is not installed yet.
        self._fetched: dict[int, int] = {}

    @property
    def last(self) -> int:
        """Index of the last entry."""
        return self.base + len(self._positions)

    def stored_state(self, founders: Members) -> StoredState:
        """Returns what a core starts from.

        Args:
            founders: the members, where no snapshot says otherwise.
        """
        members = self.members if self.members.members else founders
        return StoredState(
            members=members,
            term=self.term,
            vote=self.vote,
            led=self.led,
            base=self.base,
            base_term=self.base_term,
            snapshot=self.snapshot_index,
            entries=map(self.read, range(self.base + 1, self.last + 1)),
        )

    def save_state(self, term: int, vote: str, *, led: bool) -> None:
        """Writes term and vote; they last after the next sync."""
        self.term = term
        self.vote = vote
        self.led = led
        self._storage.add(
            Record(
                type=RecordType.STATE,
                group=self.number,
                index=int(led),
                term=term,
                payload=vote.encode(),
            )
        )

    def append(self, entries: list[Entry]) -> None:
        """Writes entries over whatever the log holds from the first on."""
        self._cut(entries[0].index - 1)
        for entry in entries:
            self._positions.append(self._add(RecordType.ENTRY, entry))

    def read(self, index: int) -> Entry:
        """Returns an entry, or a record kept from before the log's base.

        Raises:
            DamagedLogError: its checksum fails.
            StorageError: it is neither in the log nor kept.
        """
        position = self._find(index)
        if position is None:
            raise StorageError(f"{self.name}: record {index} is not kept")
        return self._storage.read(position)

    def has_record(self, index: int) -> bool:
        """Returns whether the record `index` can be read."""
        return self._find(index) is not None

    def save_snapshot(
        self, snapshot: Snapshot, base: int, base_term: int, members: Members
    ) -> None:
        """Writes a snapshot, then cuts the log up to `base`.

        Args:
            snapshot: the snapshot; what it refers to stays readable.
            base: last index that leaves the log.
            base_term: its term.
            members: the members as of `base`.
        """
        self._storage.write_snapshot(snapshot)
        new = Base(
            snapshot=snapshot.description.index,
            base=base,
            base_term=base_term,
            members=members,
        )
        self._move_base(new, snapshot)

    def add_fetched(self, entry: Entry) -> None:
        """Writes a record that a snapshot to be installed refers to."""
        self._fetched[entry.index] = self._add(RecordType.COPY, entry)

    def install(self, snapshot: Snapshot, keeps_tail: bool) -> None:
        """Replaces the log by a snapshot that came from another replica.

        Args:
            snapshot: the snapshot; what it refers to was kept before.
            keeps_tail: whether the entries after the snapshot stay.
        """
        described = snapshot.description
        self._storage.write_snapshot(snapshot)
        new = Base(
            snapshot=described.index,
            base=described.index,
            base_term=described.term,
            members=described.members,
            drops_tail=not keeps_tail,
        )
        self._move_base(new, snapshot)

    def load_snapshot(self) -> Snapshot | None:
        """Returns the newest snapshot, None where there is none."""
        return self._storage.read_snapshot(self.name, self.snapshot_index)

    def read_snapshot_part(self, offset: int, size: int) -> tuple[bytes, int]:
        """Returns a part of the newest snapshot's file, and its whole size."""
        return self._storage.read_snapshot_part(
            self.name, self.snapshot_index, offset, size
        )

    def oldest_position(self) -> int | None:
        """Returns the position of the first entry after the base."""
        return self._positions[0] if self._positions else None

    def positions(self) -> Iterator[int]:
        """Yields the positions of all records that are needed."""
        yield from self._positions
        yield from self._kept_positions
        yield from self._fetched.values()

    def write_start(self) -> None:
        """Writes all but the entries, for the start of a segment.

        So that older segments can go without being searched.
        """
        name = self.name.encode()
        self._storage.add(
            Record(type=RecordType.NAME, group=self.number, payload=name)
        )
        self.save_state(self.term, self.vote, led=self.led)
        self._write_base(
            Base(
                snapshot=self.snapshot_index,
                base=self.base,
                base_term=self.base_term,
                members=self.members,
            )
        )

    def move_kept(self, segment: int) -> None:
        """Copies the kept records out of a segment."""
        for place, position in enumerate(self._kept_positions):
            if logrecords.segment_of(position) == segment:
                entry = self._storage.read(position)
                moved = self._add(RecordType.COPY, entry)
                self._kept_positions[place] = moved
        for index, position in self._fetched.items():
            if logrecords.segment_of(position) == segment:
                entry = self._storage.read(position)
                self._fetched[index] = self._add(RecordType.COPY, entry)

    def _add(self, kind: RecordType, entry: Entry) -> int:
        return self._storage.add(
            Record(
                type=kind,
                kind=entry.kind,
                group=self.number,
                index=entry.index,
                term=entry.term,
                payload=entry.payload,
            )
        )

    def _write_base(self, base: Base) -> None:
        payload = codec.encode(base)
        self._storage.add(
            Record(type=RecordType.BASE, group=self.number, payload=payload)
        )

    def _find(self, index: int) -> int | None:
        if self.base < index <= self.last:
            return self._positions[index - self.base - 1]
        place = bisect.bisect_left(self._kept, index)
        if place < len(self._kept) and self._kept[place] == index:
            return self._kept_positions[place]
        return self._fetched.get(index)

    def _cut(self, last: int) -> None:
        for position in self._positions[last - self.base :]:
            self._storage.mark_unneeded(position)
        del self._positions[last - self.base :]

    def _move_base(self, base: Base, snapshot: Snapshot) -> None:
        kept = {}
        for index in snapshot.referenced():
            position = self._find(index)
            if position is None:
                raise StorageError(
                    f"{self.name}: the snapshot refers to record {index},"
                    " which is gone"
                )
            if index <= base.base:
                kept[index] = position
        self._write_base(base)
        before = [*self._kept_positions, *self._fetched.values()]
        if base.drops_tail:
            before += self._positions
            self._positions = array.array("Q")
        drop = max(0, base.base - self.base)
        before += self._positions[:drop]
        del self._positions[:drop]
        stay = set(kept.values())
        for position in before:
            if position not in stay:
                self._storage.mark_unneeded(position)
        self._fetched = {}
        self._set_kept(kept)
        self._set_base(base)

    def _set_kept(self, kept: dict[int, int]) -> None:
        self._kept = array.array("Q", sorted(kept))
        positions = (kept[index] for index in self._kept)
        self._kept_positions = array.array("Q", positions)

    def _set_base(self, base: Base) -> None:
        self.base = base.base
        self.base_term = base.base_term
        self.snapshot_index = base.snapshot
        self.members = base.members


class Recovery:
    """Rebuilds a group's log from its records, in the order of writing."""

    def __init__(self, log: GroupLog) -> None:
        self.log = log
        self._before_base: dict[int, int] = {}
        self._gap = False

    def replay(self, record: Record) -> None:
        """Takes the next record."""
        match record.type:
            case RecordType.STATE:
                self.log.term = record.term
                self.log.vote = bytes(record.payload).decode()
                self.log.led = bool(record.index)
            case RecordType.ENTRY:
                self._entry(record)
            case RecordType.COPY:
                self._before_base[record.index] = record.position
            case RecordType.BASE:
                self._base(logrecords.base_decoder.decode(record.payload))

    def finish(self) -> None:
        """Keeps of the older records those that the snapshot refers to.

        Raises:
            DamagedLogError: a record that is needed is in no segment.
        """
        log = self.log
        if self._gap:
            raise DamagedLogError(_missing(log.name, log.base))
        snapshot = log.load_snapshot()
        if snapshot is None:
            return
        kept = {}
        for index in snapshot.referenced():
            if index > log.base:
                continue
            if index not in self._before_base:
                raise DamagedLogError(_missing(log.name, index))
            kept[index] = self._before_base[index]
        log._set_kept(kept)

    def _entry(self, record: Record) -> None:
        log = self.log
        if record.index > log.last + 1:
            # Segments between were removed; a later base must cover them.
            log._positions = array.array("Q")
            log.base = record.index - 1
            self._gap = True
        del log._positions[record.index - log.base - 1 :]
        log._positions.append(record.position)

    def _base(self, base: Base) -> None:
        log = self.log
        if self._gap and base.base < log.base:
            return
        self._gap = False
        if base.drops_tail:
            log._positions = array.array("Q")
        drop = max(0, base.base - log.base)
        for place, position in enumerate(log._positions[:drop]):
            self._before_base[log.base + 1 + place] = position
        del log._positions[:drop]
        log._set_base(base)


def _missing(group: str, index: int) -> str:
    return (
        f"{group}: record {index} is in no segment of this data folder; move"
        " the folder away, start the replica with an empty one and run"
        " `catkinpin repair`"
    )
