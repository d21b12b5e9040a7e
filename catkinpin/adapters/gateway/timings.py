"""When the parts of one server's answer came."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from catkinpin.core.placement.speeds import StreamTimings

if TYPE_CHECKING:
    from catkinpin.core.placement.balance import Choice
    from catkinpin.core.requests.calls import Load, RouteCall

_MS = 1_000


@dataclasses.dataclass
class Times:
    """Times of one answer, by the loop's clock in s.

    Attributes:
        sent_s: when the request was sent.
        head_s: when the answer's head came; 0: not yet.
        first_s: when its first events came; 0: not yet.
        last_s: when its latest events came.
        gaps_ms: between events, for each token of the later one.
        load: that the server reported with the head.
    """

    sent_s: float = 0.0
    head_s: float = 0.0
    first_s: float = 0.0
    last_s: float = 0.0
    gaps_ms: list[float] = dataclasses.field(default_factory=list)
    load: Load | None = None

    def head(self, now_s: float, load: Load | None) -> None:
        """Notes the head of the answer."""
        self.head_s = now_s
        self.load = load

    def events(self, now_s: float, tokens: int) -> None:
        """Notes events that came together."""
        if not self.first_s:
            self.first_s = now_s
        elif tokens:
            self.gaps_ms.append((now_s - self.last_s) * _MS / tokens)
        self.last_s = now_s

    @property
    def head_ms(self) -> float:
        """From sending the request to the head of its answer."""
        return (self.head_s - self.sent_s) * _MS

    def streamed(self, call: RouteCall, choice: Choice) -> StreamTimings | None:
        """Returns a sample of the server's speed from a whole stream, if any.

        What a server had to read is known well only where all but the newest
        part of the prompt lay there: other gateways may have sent it the
        parts that many share.
        """
        if self.load is None or not self.first_s:
            return None
        wanted = sum(part.tokens for part in call.prompt)
        new = call.prompt[-1].tokens if call.prompt else 0
        is_known = bool(new) and choice.cached_tokens == wanted - new
        return StreamTimings(
            prefilled_tokens=new if is_known else None,
            first_ms=(self.first_s - self.sent_s) * _MS,
            gaps_ms=self.gaps_ms,
            concurrent=max(0, self.load.running - 1),
            waiting=self.load.waiting,
        )
