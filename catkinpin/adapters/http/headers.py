"""Header fields in the order and spelling in which they came."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

# Fields that concern one connection only (RFC 9110, section 7.6.1), and those
# that frame a message, which the sender of each hop sets anew.
_HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)


class Headers:
    """Header fields; names compare without regard to case."""

    def __init__(self, fields: Iterable[tuple[bytes, bytes]] = ()) -> None:
        self._fields = list(fields)

    def __iter__(self) -> Iterator[tuple[bytes, bytes]]:
        return iter(self._fields)

    def add(self, name: bytes, value: bytes) -> None:
        """Adds a field at the end."""
        self._fields.append((name, value))

    def get(self, name: bytes) -> str:
        """Returns the value of the first field of that name, or ''."""
        wanted = name.lower()
        for key, value in self._fields:
            if key.lower() == wanted:
                return value.decode("latin-1").strip()
        return ""

    def size(self) -> int:
        """Returns the bytes that the fields take on the wire."""
        return sum(len(k) + len(v) + 4 for k, v in self._fields)

    def end_to_end(self, without: frozenset[bytes] = frozenset()) -> Headers:
        """Returns the fields that travel on, but for some names."""
        named = {
            name.strip().lower().encode("latin-1")
            for name in self.get(b"connection").split(",")
        }
        drop = _HOP_BY_HOP | named | without
        return Headers((k, v) for k, v in self._fields if k.lower() not in drop)

    def encode(self) -> bytes:
        """Returns the fields as they stand on the wire."""
        return b"".join(k + b": " + v + b"\r\n" for k, v in self._fields)
