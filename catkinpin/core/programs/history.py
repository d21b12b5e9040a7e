"""A program's history without its texts: digests and places in the log."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from catkinpin import digest

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

_PLACE_BYTES = 8
_POSITION_BITS = 20
_POSITION_MASK = (1 << _POSITION_BITS) - 1


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryItem:
    """A message of a history, whose text is in the log and not in memory.

    Attributes:
        record_index: log index of the record that holds the message.
        position: index among the messages of that record.
    """

    digest: bytes
    record_index: int
    position: int


@dataclasses.dataclass(slots=True)
class History:
    """The messages of a program in order, packed into 24 bytes each.

    A program has hundreds of messages. One object for each would take ten
    times as much memory.

    Attributes:
        head: digest chain over all messages.
        digests: digests of the messages, concatenated.
        places: log index and position of each message, packed and concatenated.
        size: total size of the messages in bytes.
    """

    head: bytes = b""
    digests: bytearray = dataclasses.field(default_factory=bytearray)
    places: bytearray = dataclasses.field(default_factory=bytearray)
    size: int = 0

    def __len__(self) -> int:
        return len(self.places) // _PLACE_BYTES

    def __iter__(self) -> Iterator[HistoryItem]:
        for number in range(len(self)):
            offset = number * _PLACE_BYTES
            place = int.from_bytes(
                self.places[offset : offset + _PLACE_BYTES], "big"
            )
            yield HistoryItem(
                digest=self.digest_at(number),
                record_index=place >> _POSITION_BITS,
                position=place & _POSITION_MASK,
            )

    def digest_at(self, number: int) -> bytes:
        """Returns the digest of message `number`, counted from 0."""
        offset = number * digest.DIGEST_SIZE
        return bytes(self.digests[offset : offset + digest.DIGEST_SIZE])

    def add(self, message: bytes, record_index: int, position: int) -> None:
        """Appends a message whose text is in the log."""
        message_digest = digest.of_bytes(message)
        self.size += len(message)
        place = record_index << _POSITION_BITS | position
        self.digests += message_digest
        self.places += place.to_bytes(_PLACE_BYTES, "big")
        self.head = digest.chain(self.head, message_digest)

    def first_difference(self, digests: Sequence[bytes]) -> int | None:
        """Returns the index of the first message that differs, or None.

        Args:
            digests: digests of a request's messages, which must be the whole
                history followed by new messages.
        """
        for number in range(len(self)):
            if number >= len(digests):
                return number
            if digests[number] != self.digest_at(number):
                return number
        return None


def extend_chain(head: bytes, digests: Sequence[bytes]) -> bytes:
    """Returns the head of a digest chain extended by `digests`."""
    for message_digest in digests:
        head = digest.chain(head, message_digest)
    return head
