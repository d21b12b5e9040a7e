"""Digests by which a request is recognized when it is sent again."""

from __future__ import annotations

import dataclasses
import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from catkinpin.core.requests.calls import RouteCall

_DIGEST_BYTES = 16


@dataclasses.dataclass(frozen=True)
class RequestDigests:
    """Digests of a request, in hex.

    None covers the request's id and times, which are new each time.

    Attributes:
        path: covers the route's host, the method, the target and the client
            account. It recognizes a request whose body is new each time, such
            as a history that its caller sends along.
        shared: covers also the body. It does not depend on the program, which
            may be new each time as well.
        content: covers also the API key, the program, the affinity key and the
            turn that the request continues. It tells apart requests of many
            programs for one path, and equal inputs to different histories.
    """

    shared: str = ""
    content: str = ""
    path: str = ""


def digests_of(
    host: str, method: bytes, target: bytes, body: bytes, call: RouteCall
) -> RequestDigests:
    """Returns the digests of a request.

    Args:
        host: host that the request names, without a port.
        method: its method.
        target: its path and query.
        body: its body, empty for none.
        call: its decoded headers and its account.
    """
    path = (host.lower().encode(), method, target, call.account.encode())
    shared = _digest((*path, body))
    content = _digest(
        (
            shared,
            call.key_digest,
            call.program.encode(),
            call.affinity.encode(),
            call.previous.encode(),
        )
    )
    return RequestDigests(shared.hex(), content.hex(), _digest(path).hex())


def resume_key(digests: RequestDigests, call: RouteCall) -> str:
    """Returns a digest that a request has in common with those that resume it.

    Args:
        digests: the request's digests.
        call: its decoded headers.
    """
    return _digest((digests.content.encode(), call.session.encode())).hex()


def _digest(parts: Iterable[bytes]) -> bytes:
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(4, "big") + part)
    return digest.digest()
