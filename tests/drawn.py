"""Draws documents, headers and bytes that a careless program might send.

Each function takes a random number generator, so that a seed names an input.
"""

from __future__ import annotations

import copy
import json
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    import random

DEPTH = 50_000
_LONG = 5_000
_VERY_LONG = 100_000


class Literal(str):
    """Text that stands in a JSON document as it is."""

    __slots__ = ()


# Values that no decoder may trip over, whatever the field's type.
_ODD_VALUES: tuple[Any, ...] = (
    None,
    True,
    False,
    -1,
    0,
    -7,
    1.5,
    2**31,
    2**53 + 1,
    2**63 - 1,
    2**63,
    2**64 - 1,
    2**64,
    -(2**63),
    -(2**64),
    1e300,
    -1e300,
    5e-324,
    "",
    " ",
    "\u00b2",
    "\u0663",
    "\0",
    "a\r\nb: c",
    "\x7f",
    "/",
    "127.0.0.1:\u00b2",
    "127.0.0.1:" + "9" * _LONG,
    "127.0.0.1:0",
    "127.0.0.1:99999",
    "127.0.0.1:-1",
    "127.0.0.1: 80",
    "no-such-host.invalid:80",
    "a" * 70 + ".invalid:80",
    ":80",
    "0.0.0.0:80",
    "224.0.0.1:80",
    "x" * _VERY_LONG,
    "\u4e00" * _LONG,
    [],
    {},
    [None],
    [[]] * 1_000,
    {"a": 1},
    list(range(_LONG)),
    Literal("1e999"),
    Literal("-1e999"),
    Literal("NaN"),
    Literal("Infinity"),
    Literal("9" * _LONG),
    Literal("-" + "9" * _LONG),
    Literal("1." + "0" * _LONG),
    Literal('"\\ud800"'),
    Literal('"\\u0000"'),
    Literal("[" * DEPTH + "]" * DEPTH),
    Literal("[" * DEPTH),
    Literal('{"a":' * 2_000 + "1" + "}" * 2_000),
    Literal("01"),
    Literal("\u00b2"),
)
_HEADER_VALUES = (
    b"",
    b" ",
    b"-1",
    b"0",
    b"nan",
    b"inf",
    b"-inf",
    b"1e308",
    b"1e999",
    b"-1e999",
    b"\xb2",
    b"\xff\xfe",
    b"9" * _LONG,
    b"-" + b"9" * _LONG,
    b"9223372036854775808",
    b"18446744073709551616",
    b"1_0",
    b"0x10",
    b"1,2,3,4,5,6,7",
    b",",
    b",,,",
    b":",
    b"a:b",
    b"a:-1",
    b"a:nan,b:inf,c:1e400",
    b",".join(b"%x:1" % number for number in range(2_500)),
    b"x" * 8_000,
    b"a=b;" * 1_000,
    b"bearer",
    b"Bearer \xff",
    b"timeout=\xb2",
    b"timeout=" + b"9" * _LONG,
    b"h:h:h",
    b"[::1",
)


def value(rng: random.Random) -> Any:
    """Returns an odd value for a field of a JSON document."""
    return copy.deepcopy(rng.choice(_ODD_VALUES))


def header_value(rng: random.Random) -> bytes:
    """Returns an odd value of a header, without line ends and NUL."""
    if rng.random() < 0.2:
        data = rng.randbytes(rng.randrange(40))
        return bytes(byte for byte in data if byte >= 32 and byte != 127)
    return rng.choice(_HEADER_VALUES)


def document(rng: random.Random, good: dict[str, Any]) -> bytes:
    """Returns a JSON document that differs from a good one.

    It may still be valid, as unknown fields and some values are.
    """
    changed = copy.deepcopy(good)
    for _ in range(rng.randrange(1, 4)):
        _change(rng, changed)
    text = encode(changed)
    kind = rng.random()
    if kind < 0.1:
        return text[: rng.randrange(len(text))]
    if kind < 0.2:
        place = rng.randrange(len(text))
        return text[:place] + rng.randbytes(3) + text[place + 3 :]
    if kind < 0.25 and text.startswith(b"{"):
        name = rng.choice(list(good))
        pair = json.dumps(name).encode() + b":" + encode(value(rng))
        return text[:-1] + b"," + pair + b"}"
    if kind < 0.3:
        return encode(value(rng))
    return text


def encode(part: Any) -> bytes:
    """Returns a value as JSON; a `Literal` as it is."""
    return _json(part).encode("utf-8", "surrogatepass")


def server_id(rng: random.Random) -> str:
    """Returns the last part of a path, which is no server's id."""
    return rng.choice(
        (
            "",
            "%00",
            "%2e%2e%2f",
            "a/b",
            "../config",
            "/",
            "x" * 5_000,
            "a%20b",
            "a%0d%0ab",
            "\u00b2".encode().decode("latin-1"),
            "[]",
            "{}",
            '"',
        )
    )


def _change(rng: random.Random, part: Any) -> None:
    """Changes one field of a part of a document, at any depth."""
    while True:
        keys = list(part) if isinstance(part, dict) else list(range(len(part)))
        if not keys:
            return
        key = rng.choice(keys)
        inner = part[key]
        if isinstance(inner, dict | list) and inner and rng.random() < 0.7:
            part = inner
            continue
        kind = rng.random()
        if kind < 0.1:
            del part[key]
        elif kind < 0.2 and isinstance(part, list):
            part[:] = part * 3
        elif kind < 0.2:
            part["unknown"] = value(rng)
        else:
            part[key] = value(rng)
        return


def _json(part: Any) -> str:
    if isinstance(part, Literal):
        return str(part)
    if isinstance(part, dict):
        pairs = (f"{json.dumps(k)}:{_json(v)}" for k, v in part.items())
        return "{" + ",".join(pairs) + "}"
    if isinstance(part, list):
        return "[" + ",".join(_json(item) for item in part) + "]"
    return json.dumps(part)
