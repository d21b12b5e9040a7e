"""In-memory index of the log: terms, sizes and members, but no payloads."""

from __future__ import annotations

import array
import dataclasses
from typing import TYPE_CHECKING

import msgspec

from catkinpin import codec
from catkinpin.core.consensus.messages import EntryKind, Members

if TYPE_CHECKING:
    from catkinpin.core.consensus.messages import Entry

_members_decoder = msgspec.msgpack.Decoder(Members)


def encode_members(members: Members) -> bytes:
    """Returns the payload of an entry that changes the members."""
    return codec.encode(members)


def decode_members(payload: bytes) -> Members:
    """Returns the members that an entry sets.

    Raises:
        MsgspecError, RecursionError: the payload has none.
    """
    members: Members = _members_decoder.decode(payload)
    return members


@dataclasses.dataclass
class MembersSince:
    """Members from a log index on.

    Attributes:
        index: index of the entry that set them.
        members: the members.
    """

    index: int
    members: Members


class LogIndex:
    """Terms and sizes of the entries after `base`, and changes of the members.

    Attributes:
        base: index of the last entry that compaction removed; 0 if the log
            holds all entries.
        base_term: term of that entry.
    """

    def __init__(self, base: int, base_term: int, members: Members) -> None:
        self.base = base
        self.base_term = base_term
        self._terms = array.array("Q")
        self._sizes = array.array("I")
        self._members = [MembersSince(base, members)]
        self._voters_source: Members | None = None
        self._voters: list[str] = []

    @property
    def last(self) -> int:
        """Index of the last entry."""
        return self.base + len(self._terms)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self._terms[-1] if self._terms else self.base_term

    @property
    def members(self) -> Members:
        """The newest members, committed or not."""
        return self._members[-1].members

    @property
    def voters(self) -> list[str]:
        """Identities of the voters among the newest members."""
        members = self.members
        if self._voters_source is not members:
            self._voters_source = members
            self._voters = members.voters()
        return self._voters

    @property
    def quorum(self) -> int:
        """Number of voters that form a majority."""
        return len(self.voters) // 2 + 1

    @property
    def members_index(self) -> int:
        """Index of the entry that set the newest members."""
        return self._members[-1].index

    def members_at(self, index: int) -> Members:
        """Returns the members as of `index`."""
        latest = self._members[0]
        for change in self._members:
            if change.index <= index:
                latest = change
        return latest.members

    def term_at(self, index: int) -> int:
        """Returns the term of an entry, -1 if the log doesn't hold it."""
        if index == self.base:
            return self.base_term
        if not self.base < index <= self.last:
            return -1
        return self._terms[index - self.base - 1]

    def append(self, entry: Entry) -> None:
        """Adds the entry that follows the last one."""
        assert entry.index == self.last + 1
        self._terms.append(entry.term)
        self._sizes.append(len(entry.payload))
        if entry.kind is EntryKind.MEMBERS:
            members = decode_members(entry.payload)
            self._members.append(MembersSince(entry.index, members))

    def truncate_after(self, last: int) -> None:
        """Drops the entries after `last`."""
        kept_count = last - self.base
        del self._terms[kept_count:]
        del self._sizes[kept_count:]
        while len(self._members) > 1 and self._members[-1].index > last:
            self._members.pop()

    def compact(self, base: int) -> None:
        """Drops the entries up to `base`."""
        self.base_term = self.term_at(base)
        dropped_count = base - self.base
        del self._terms[:dropped_count]
        del self._sizes[:dropped_count]
        self.base = base
        while len(self._members) > 1 and self._members[1].index <= base:
            self._members.pop(0)

    def first_index_of_term(self, index: int) -> int:
        """Returns the first index whose entry has the same term as `index`.

        Entries that compaction dropped don't count.
        """
        term = self.term_at(index)
        while index > self.base + 1 and self.term_at(index - 1) == term:
            index -= 1
        return index

    def batch_end(self, first: int, max_entries: int, max_bytes: int) -> int:
        """Returns the last index of a batch of entries that begins at `first`.

        A batch holds at least one entry, even if it exceeds `max_bytes`.
        """
        end = min(self.last, first + max_entries - 1)
        position = first - self.base - 1
        total = 0
        for index in range(first, end + 1):
            total += self._sizes[position]
            position += 1
            if total > max_bytes:
                return max(first, index - 1)
        return end
