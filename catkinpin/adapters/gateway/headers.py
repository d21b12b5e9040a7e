"""Interface between a gateway and the header formats of a platform."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from catkinpin.adapters.http.headers import Headers
    from catkinpin.core.requests.calls import AnswerFacts, RouteCall


@dataclasses.dataclass(frozen=True)
class ForwardingFields:
    """Values that a gateway adds to the caller's headers for a server.

    Attributes:
        server: id of the intended server; any other must refuse the request.
        left_ms: time until the gateway stops waiting for the answer.
        resume_at: id of the last event that the caller has received; empty to
            stream from the start.
        urgency: 0 is the most urgent, 9 the least.
        strips_key: whether the caller's API key is removed.
    """

    server: str
    left_ms: int
    resume_at: str = ""
    urgency: int = 5
    strips_key: bool = False


@dataclasses.dataclass(frozen=True)
class HeaderCodec:
    """Decodes and encodes the headers of a platform.

    Attributes:
        decode_request: decodes the headers of a caller's request.
        encode_for_server: returns the headers of a request to a server.
        decode_answer: decodes the headers of a server's answer.
        encode_refusal: returns the headers of a refusal by the gateway, given
            the request's id and the retry time in s; 0 for none.
    """

    decode_request: Callable[[Headers], RouteCall]
    encode_for_server: Callable[[Headers, RouteCall, ForwardingFields], Headers]
    decode_answer: Callable[[Headers], AnswerFacts]
    encode_refusal: Callable[[str, float], Headers]
