"""Records when the parts of one server's answer arrived."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from catkinpin.core.placement.speeds import StreamTimings

if TYPE_CHECKING:
    from catkinpin.core.placement.balance import Choice
    from catkinpin.core.requests.calls import Load, RouteCall

_MS_PER_S = 1_000


@dataclasses.dataclass
class AnswerTimes:
    """Arrival times of one answer, in s of the loop's clock.

    Attributes:
        sent_s: when the request was sent.
        head_s: when the answer's head arrived; 0 before that.
        first_event_s: when the first events arrived; 0 before that.
        last_event_s: when the latest events arrived.
        gaps_ms: times between events, per token of the later event.
        load: load that the server reported in the head.
    """

    sent_s: float = 0.0
    head_s: float = 0.0
    first_event_s: float = 0.0
    last_event_s: float = 0.0
    gaps_ms: list[float] = dataclasses.field(default_factory=list)
    load: Load | None = None

    def record_head(self, now_s: float, load: Load | None) -> None:
        """Records the arrival of the answer's head."""
        self.head_s = now_s
        self.load = load

    def record_events(self, now_s: float, tokens: int) -> None:
        """Records the arrival of events that came in one chunk."""
        if not self.first_event_s:
            self.first_event_s = now_s
        elif tokens:
            self.gaps_ms.append(
                (now_s - self.last_event_s) * _MS_PER_S / tokens
            )
        self.last_event_s = now_s

    @property
    def head_ms(self) -> float:
        """Time from sending the request to the head of its answer."""
        return (self.head_s - self.sent_s) * _MS_PER_S

    def stream_timings(
        self, call: RouteCall, choice: Choice
    ) -> StreamTimings | None:
        """Returns the timings of a complete stream, or None if it had none.

        The number of tokens that the server had to read is reliable only if
        it had cached all but the last part of the prompt. Otherwise other
        gateways may have sent it parts that many prompts share.
        """
        if self.load is None or not self.first_event_s:
            return None
        prompt_tokens = sum(part.tokens for part in call.prompt)
        new_tokens = call.prompt[-1].tokens if call.prompt else 0
        is_known = bool(new_tokens) and (
            choice.cached_tokens == prompt_tokens - new_tokens
        )
        return StreamTimings(
            prefilled_tokens=new_tokens if is_known else None,
            first_ms=(self.first_event_s - self.sent_s) * _MS_PER_S,
            gaps_ms=self.gaps_ms,
            concurrent=max(0, self.load.running - 1),
            waiting=self.load.waiting,
        )
