"""The log of one group: an index of the positions of its records."""

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
    """What the log of one group needs of the storage."""

    def add(self, record: Record) -> int:
        """Buffers a record and returns its position."""

    def read(self, position: int) -> Entry:
        """Returns the entry at a position."""

    def mark_unneeded(self, position: int) -> None:
        """Records that the record at a position is no longer needed."""

    def write_snapshot(self, snapshot: Snapshot) -> None:
        """Writes and syncs a snapshot file."""

    def read_snapshot(self, group: str, index: int) -> Snapshot | None:
        """Returns a group's snapshot; None if `index` is 0."""

    def read_snapshot_part(
        self, group: str, index: int, offset: int, size: int
    ) -> tuple[bytes, int]:
        """Returns a part of a snapshot's file, and the file's size."""


class GroupLog:
    """The log of one group.

    Attributes:
        name: name of the group.
        number: represents the name in the records.
        term: the current term.
        vote: identity of the replica voted for in that term; empty for none.
        led: whether this replica is, or was, the leader of that term.
        base: last index that the log no longer holds.
        base_term: term of the entry at `base`.
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
        # Records up to the base that the snapshot refers to.
        self._kept_indexes = array.array("Q")
        self._kept_positions = array.array("Q")
        # By index: records received for a snapshot that is not installed yet.
        self._fetched_positions: dict[int, int] = {}

    @property
    def last(self) -> int:
        """Index of the last entry."""
        return self.base + len(self._positions)

    def stored_state(self, founders: Members) -> StoredState:
        """Returns the state from which a consensus core starts.

        Args:
            founders: the members to use if no snapshot has any.
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
        """Writes the term and the vote; the next sync makes them durable."""
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
        """Writes entries; replaces the log from the first one's index on."""
        self._truncate_after(entries[0].index - 1)
        for entry in entries:
            self._positions.append(self._add_entry(RecordType.ENTRY, entry))

    def read(self, index: int) -> Entry:
        """Returns an entry of the log, or a kept record up to its base.

        Raises:
            DamagedLogError: the record's checksum does not match.
            StorageError: the record is neither in the log nor kept.
        """
        position = self._find_position(index)
        if position is None:
            raise StorageError(f"{self.name}: record {index} is not kept")
        return self._storage.read(position)

    def has_record(self, index: int) -> bool:
        """Returns whether the record `index` can be read."""
        return self._find_position(index) is not None

    def save_snapshot(
        self, snapshot: Snapshot, base: int, base_term: int, members: Members
    ) -> None:
        """Writes a snapshot, then removes the entries up to `base`.

        Args:
            snapshot: the snapshot; records that it refers to stay readable.
            base: index of the last entry to remove.
            base_term: term of that entry.
            members: the members as of `base`.
        """
        self._storage.write_snapshot(snapshot)
        new_base = Base(
            snapshot=snapshot.description.index,
            base=base,
            base_term=base_term,
            members=members,
        )
        self._replace_base(new_base, snapshot)

    def add_fetched(self, entry: Entry) -> None:
        """Writes a received record to which a fetched snapshot refers."""
        self._fetched_positions[entry.index] = self._add_entry(
            RecordType.COPY, entry
        )

    def install(self, snapshot: Snapshot, keeps_tail: bool) -> None:
        """Replaces the log by a snapshot from another replica.

        Args:
            snapshot: the snapshot; all records that it refers to must be in
                this log or added by `add_fetched`.
            keeps_tail: whether to keep the entries after the snapshot.
        """
        description = snapshot.description
        self._storage.write_snapshot(snapshot)
        new_base = Base(
            snapshot=description.index,
            base=description.index,
            base_term=description.term,
            members=description.members,
            drops_tail=not keeps_tail,
        )
        self._replace_base(new_base, snapshot)

    def load_snapshot(self) -> Snapshot | None:
        """Returns the newest snapshot, None if there is none."""
        return self._storage.read_snapshot(self.name, self.snapshot_index)

    def read_snapshot_part(self, offset: int, size: int) -> tuple[bytes, int]:
        """Returns a part of the newest snapshot's file, and the file's size."""
        return self._storage.read_snapshot_part(
            self.name, self.snapshot_index, offset, size
        )

    def first_entry_position(self) -> int | None:
        """Returns the position of the first entry after the base."""
        return self._positions[0] if self._positions else None

    def positions(self) -> Iterator[int]:
        """Yields the positions of all needed records."""
        yield from self._positions
        yield from self._kept_positions
        yield from self._fetched_positions.values()

    def write_group_header(self) -> None:
        """Writes the group's name, state and base at the start of a segment.

        Older segments can then be removed without searching them for these.
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
                last=self.last,
            )
        )

    def move_kept_records(self, segment: int) -> None:
        """Copies the records to keep from a segment to the active one."""
        for offset, position in enumerate(self._kept_positions):
            if logrecords.segment_of(position) == segment:
                entry = self._storage.read(position)
                moved = self._add_entry(RecordType.COPY, entry)
                self._kept_positions[offset] = moved
        for index, position in self._fetched_positions.items():
            if logrecords.segment_of(position) == segment:
                entry = self._storage.read(position)
                self._fetched_positions[index] = self._add_entry(
                    RecordType.COPY, entry
                )

    def _add_entry(self, kind: RecordType, entry: Entry) -> int:
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

    def _find_position(self, index: int) -> int | None:
        if self.base < index <= self.last:
            return self._positions[index - self.base - 1]
        offset = bisect.bisect_left(self._kept_indexes, index)
        if (
            offset < len(self._kept_indexes)
            and self._kept_indexes[offset] == index
        ):
            return self._kept_positions[offset]
        return self._fetched_positions.get(index)

    def _truncate_after(self, last: int) -> None:
        for position in self._positions[last - self.base :]:
            self._storage.mark_unneeded(position)
        del self._positions[last - self.base :]

    def _replace_base(self, base: Base, snapshot: Snapshot) -> None:
        kept = {}
        for index in snapshot.referenced():
            position = self._find_position(index)
            if position is None:
                raise StorageError(
                    f"{self.name}: the snapshot refers to record {index},"
                    " which is gone"
                )
            if index <= base.base:
                kept[index] = position
        self._write_base(base)
        released = [*self._kept_positions, *self._fetched_positions.values()]
        if base.drops_tail:
            released += self._positions
            self._positions = array.array("Q")
        dropped_count = max(0, base.base - self.base)
        released += self._positions[:dropped_count]
        del self._positions[:dropped_count]
        still_needed = set(kept.values())
        for position in released:
            if position not in still_needed:
                self._storage.mark_unneeded(position)
        self._fetched_positions = {}
        self._set_kept_records(kept)
        self._set_base(base)

    def _set_kept_records(self, kept: dict[int, int]) -> None:
        self._kept_indexes = array.array("Q", sorted(kept))
        positions = (kept[index] for index in self._kept_indexes)
        self._kept_positions = array.array("Q", positions)

    def _set_base(self, base: Base) -> None:
        self.base = base.base
        self.base_term = base.base_term
        self.snapshot_index = base.snapshot
        self.members = base.members


class Recovery:
    """Rebuilds a group's log from its records, in the order written."""

    def __init__(self, log: GroupLog) -> None:
        self.log = log
        self._positions_before_base: dict[int, int] = {}
        self._has_gap = False
        # Last entry that a removed segment held, 0 for none.
        self._missing_up_to = 0

    def replay(self, record: Record) -> None:
        """Applies the next record."""
        match record.type:
            case RecordType.STATE:
                self.log.term = record.term
                self.log.vote = bytes(record.payload).decode()
                self.log.led = bool(record.index)
            case RecordType.ENTRY:
                self._replay_entry(record)
            case RecordType.COPY:
                self._positions_before_base[record.index] = record.position
            case RecordType.BASE:
                self._replay_base(
                    logrecords.base_decoder.decode(record.payload)
                )

    def finish(self) -> None:
        """Keeps the records up to the base that the snapshot refers to.

        Raises:
            DamagedLogError: a needed record is in no segment.
        """
        log = self.log
        if self._has_gap:
            raise DamagedLogError(_missing_message(log.name, log.base))
        if self._missing_up_to > log.base:
            raise DamagedLogError(
                _missing_message(log.name, self._missing_up_to)
            )
        snapshot = log.load_snapshot()
        if snapshot is None:
            return
        kept = {}
        for index in snapshot.referenced():
            if index > log.base:
                continue
            if index not in self._positions_before_base:
                raise DamagedLogError(_missing_message(log.name, index))
            kept[index] = self._positions_before_base[index]
        log._set_kept_records(kept)

    def _replay_entry(self, record: Record) -> None:
        log = self.log
        if record.index > log.last + 1:
            # Segments in between were removed; a later base must cover them.
            log._positions = array.array("Q")
            log.base = record.index - 1
            self._has_gap = True
        # An entry that follows what was read replaces all that was missing.
        self._missing_up_to = 0
        del log._positions[record.index - log.base - 1 :]
        log._positions.append(record.position)

    def _replay_base(self, base: Base) -> None:
        log = self.log
        if base.last > max(log.last, base.base):
            self._missing_up_to = base.last
        if self._has_gap and base.base < log.base:
            return
        self._has_gap = False
        if base.drops_tail:
            self._missing_up_to = 0
            log._positions = array.array("Q")
        dropped_count = max(0, base.base - log.base)
        for offset, position in enumerate(log._positions[:dropped_count]):
            self._positions_before_base[log.base + 1 + offset] = position
        del log._positions[:dropped_count]
        log._set_base(base)


def _missing_message(group: str, index: int) -> str:
    return (
        f"{group}: record {index} is in no segment of this data folder; move"
        " the folder away, start the replica with an empty one and run"
        " `catkinpin repair`"
    )
