"""HTTP header fields that keep their order and spelling."""

from __future__ import annotations

import http
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

# Fields that apply to one connection only (RFC 9110, section 7.6.1), and the
# fields that frame a message, which each hop's sender sets itself.
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
    """A list of header fields, looked up by case-insensitive names."""

    def __init__(self, fields: Iterable[tuple[bytes, bytes]] = ()) -> None:
        self._fields = list(fields)

    def __iter__(self) -> Iterator[tuple[bytes, bytes]]:
        return iter(self._fields)

    def add(self, name: bytes, value: bytes) -> None:
        """Adds a field at the end."""
        self._fields.append((name, value))

    def get(self, name: bytes) -> str:
        """Returns the value of the first field with a name, or ''."""
        lower_name = name.lower()
        for key, value in self._fields:
            if key.lower() == lower_name:
                return value.decode("latin-1").strip()
        return ""

    def size(self) -> int:
        """Returns the size of the encoded fields in bytes."""
        return sum(len(k) + len(v) + 4 for k, v in self._fields)

    def end_to_end(self, excluded: frozenset[bytes] = frozenset()) -> Headers:
        """Returns the fields that a proxy forwards.

        Args:
            excluded: lower-case names of further fields to leave out.
        """
        connection_fields = {
            name.strip().lower().encode("latin-1")
            for name in self.get(b"connection").split(",")
        }
        dropped = _HOP_BY_HOP | connection_fields | excluded
        return Headers(
            (k, v) for k, v in self._fields if k.lower() not in dropped
        )

    def encode(self) -> bytes:
        """Returns the fields encoded as header lines."""
        return b"".join(k + b": " + v + b"\r\n" for k, v in self._fields)


def default_phrase(status: int) -> bytes:
    """Returns the usual reason phrase of a status code."""
    try:
        return http.HTTPStatus(status).phrase.encode()
    except ValueError:
        return b"Unknown"
