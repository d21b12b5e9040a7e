"""A program's history without its texts: digests and log positions."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from catkinpin import digest

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

_PLACE_SIZE = 8
_POSITION_BITS = 20
_POSITION_MASK = (1 << _POSITION_BITS) - 1


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryItem:
    """A message of a history, kept in the log and not in memory.

    Attributes:
        digest: digest of the message.
        record_index: log index of the record that holds the message.
        position: place among the messages of that record.
    """

    digest: bytes
    record_index: int
    position: int


@dataclasses.dataclass(slots=True)
class History:
    """Messages of a program in order, 24 bytes each.

    An object a message would take ten times as much; a program has hundreds.

    Attributes:
        head: digest chain over all messages.
        digests: digests one after the other.
        places: log index and position of each message, packed.
        size: bytes of all messages together.
    """

    head: bytes = b""
    digests: bytearray = dataclasses.field(default_factory=bytearray)
    places: bytearray = dataclasses.field(default_factory=bytearray)
    size: int = 0

    def __len__(self) -> int:
        return len(self.places) // _PLACE_SIZE

    def __iter__(self) -> Iterator[HistoryItem]:
        for number in range(len(self)):
            at = number * _PLACE_SIZE
            place = int.from_bytes(self.places[at : at + _PLACE_SIZE], "big")
            yield HistoryItem(
                digest=self.digest_at(number),
                record_index=place >> _POSITION_BITS,
                position=place & _POSITION_MASK,
            )

    def digest_at(self, number: int) -> bytes:
        """Returns the digest of message `number`, counted from 0."""
        at = number * digest.DIGEST_SIZE
        return bytes(self.digests[at : at + digest.DIGEST_SIZE])

    def add(self, message: bytes, record_index: int, position: int) -> None:
        """Adds a message, of which the log keeps the text."""
        item = digest.of_bytes(message)
        self.size += len(message)
        place = record_index << _POSITION_BITS | position
        self.digests += item
        self.places += place.to_bytes(_PLACE_SIZE, "big")
        self.head = digest.chain(self.head, item)

    def first_difference(self, digests: Sequence[bytes]) -> int | None:
        """Returns where `digests` leaves the history, or None.

        Args:
            digests: of the messages of a request that holds the whole history
                and new messages after it.
        """
        for number in range(len(self)):
            if number >= len(digests):
                return number
            if digests[number] != self.digest_at(number):
                return number
        return None


def chain_all(head: bytes, digests: Sequence[bytes]) -> bytes:
    """Returns the head of the chain after all `digests`."""
    for item in digests:
        head = digest.chain(head, item)
    return head
