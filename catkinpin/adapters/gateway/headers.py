"""What a gateway needs from whoever knows its callers' and servers' headers."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from catkinpin.adapters.http.headers import Headers
    from catkinpin.core.requests.calls import AnswerFacts, RouteCall


@dataclasses.dataclass(frozen=True)
class ForwardingFields:
    """What a gateway sends to a server besides the caller's headers.

    Attributes:
        server: id of the server that is meant; another must refuse.
        left_ms: how long the answer is waited for.
        resume_at: last event that the caller has; empty: from the start.
        urgency: 0 is the most urgent, 9 the least.
        strips_key: whether the caller's API key is taken off.
    """

    server: str
    left_ms: int
    resume_at: str = ""
    urgency: int = 5
    strips_key: bool = False


@dataclasses.dataclass(frozen=True)
class HeaderCodec:
    """Translates headers.

    Attributes:
        decode_request: decodes a caller's request.
        encode_for_server: returns the fields that a server gets.
        decode_answer: decodes a server's answer.
        encode_refusal: returns the fields of an answer of our own, from the
            request's id and after how many seconds to come back; 0: not said.
    """

    decode_request: Callable[[Headers], RouteCall]
    encode_for_server: Callable[[Headers, RouteCall, ForwardingFields], Headers]
    decode_answer: Callable[[Headers], AnswerFacts]
    encode_refusal: Callable[[str, float], Headers]
