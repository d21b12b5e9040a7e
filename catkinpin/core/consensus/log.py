"""What the core knows of the log: terms, sizes, members; no payloads."""

from __future__ import annotations

import array
import dataclasses
from typing import TYPE_CHECKING

import msgspec

from catkinpin import codec
from catkinpin.core.consensus.messages import EntryKind, Members

if TYPE_CHECKING:
    from catkinpin.core.consensus.messages import Entry

_members = msgspec.msgpack.Decoder(Members)


def encode_members(members: Members) -> bytes:
    """Returns the payload of an entry that changes the members."""
    return codec.encode(members)


@dataclasses.dataclass
class MembersAt:
    """Members as of a log index."""

    index: int
    members: Members


class LogIndex:
    """Terms and sizes of the entries after `base`.

    Attributes:
        base: last index that the log no longer holds; 0 for a whole log.
        base_term: term of that entry.
    """

    def __init__(self, base: int, base_term: int, members: Members) -> None:
        self.base = base
        self.base_term = base_term
        self._terms = array.array("Q")
        self._sizes = array.array("I")
        self._members = [MembersAt(base, members)]
        self._counted: Members | None = None
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
        if self._counted is not members:
            self._counted = members
            self._voters = members.voters()
        return self._voters

    @property
    def quorum(self) -> int:
        """How many of the voters make a majority."""
        return len(self.voters) // 2 + 1

    @property
    def members_index(self) -> int:
        """Index of the entry that set the newest members."""
        return self._members[-1].index

    def members_at(self, index: int) -> Members:
        """Returns the members as of `index`."""
        found = self._members[0]
        for at in self._members:
            if at.index <= index:
                found = at
        return found.members

    def term_at(self, index: int) -> int:
        """Returns the term of an entry, or -1 where it isn't known."""
        if index == self.base:
            return self.base_term
        if not self.base < index <= self.last:
            return -1
        return self._terms[index - self.base - 1]

    def append(self, entry: Entry) -> None:
        """Adds the next entry."""
        assert entry.index == self.last + 1
        self._terms.append(entry.term)
        self._sizes.append(len(entry.payload))
        if entry.kind is EntryKind.MEMBERS:
            members = _members.decode(entry.payload)
            self._members.append(MembersAt(entry.index, members))

    def cut(self, last: int) -> None:
        """Drops the entries after `last`."""
        keep = last - self.base
        del self._terms[keep:]
        del self._sizes[keep:]
        while len(self._members) > 1 and self._members[-1].index > last:
            self._members.pop()

    def compact(self, base: int) -> None:
        """Drops the entries up to `base`."""
        self.base_term = self.term_at(base)
        drop = base - self.base
        del self._terms[:drop]
        del self._sizes[:drop]
        self.base = base
        while len(self._members) > 1 and self._members[1].index <= base:
            self._members.pop(0)

    def first_of_term(self, index: int) -> int:
        """Returns the first index held of the term at `index`."""
        term = self.term_at(index)
        while index > self.base + 1 and self.term_at(index - 1) == term:
            index -= 1
        return index

    def batch_end(self, first: int, entries: int, size: int) -> int:
        """Returns the last index of a batch from `first`; at least `first`."""
        end = min(self.last, first + entries - 1)
        position = first - self.base - 1
        total = 0
        for index in range(first, end + 1):
            total += self._sizes[position]
            position += 1
            if total > size:
                return max(first, index - 1)
        return end
