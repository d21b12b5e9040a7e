"""What a gateway needs from whoever knows its callers' and servers' headers."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from catkinpin.adapters.http.headers import Headers
    from catkinpin.core.requests.calls import AnswerFacts, RouteCall


@dataclasses.dataclass(frozen=True)
class Sending:
    """What a gateway sends to a server besides the caller's headers.

    Attributes:
        server: id of the server that is meant; another must refuse.
        left_ms: how long the answer is waited for.
        resume_at: last event that the caller has; empty: from the start.
        urgency: 0 is the most urgent, 9 the least.
        hides_key: whether the caller's API key is taken off.
    """

    server: str
    left_ms: int
    resume_at: str = ""
    urgency: int = 5
    hides_key: bool = False


@dataclasses.dataclass(frozen=True)
class HeaderCodec:
    """Translates headers.

    Attributes:
        call: decodes a caller's request.
        to_server: returns the fields that a server gets.
        answer: decodes a server's answer.
        refusal: returns the fields of an answer of our own, from the request's
            id and after how many seconds to come back; 0: not said.
    """

    call: Callable[[Headers], RouteCall]
    to_server: Callable[[Headers, RouteCall, Sending], Headers]
    answer: Callable[[Headers], AnswerFacts]
    refusal: Callable[[str, float], Headers]
