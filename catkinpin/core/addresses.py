"""Checks of addresses that other processes send."""

from __future__ import annotations

import re

_MAX_HOST_CHARS = 253
_MAX_PORT = 65_535
_HTTP_URL = re.compile(
    r"https?://([0-9A-Za-z_.\-]+|\[[0-9A-Fa-f:.]+\])(?::([0-9]{1,5}))?"
)
_HOST_PORT = re.compile(r"([0-9A-Za-z_.\-\[\]:]+):([0-9]{1,5})")


def is_host_port(text: str) -> bool:
    """Returns whether a text is a host and a port, as in 127.0.0.1:7160."""
    match = _HOST_PORT.fullmatch(text)
    return (
        match is not None
        and len(match[1]) <= _MAX_HOST_CHARS
        and 0 < int(match[2]) <= _MAX_PORT
    )


def is_http_url(text: str) -> bool:
    """Returns whether a text is an HTTP URL without a path."""
    match = _HTTP_URL.fullmatch(text)
    return (
        match is not None
        and len(match[1]) <= _MAX_HOST_CHARS
        and (match[2] is None or 0 < int(match[2]) <= _MAX_PORT)
    )
