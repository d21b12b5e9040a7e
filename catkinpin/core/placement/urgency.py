"""How urgent a turn is to a model server, by its program's time.

The pattern: many programs come at once, more than the engines can serve in
time. Served in the order in which they came, or all alike while they are in
time, all of them lose their slack together and end late, and a backlog that
built up in seconds lasts for half a minute.

So programs that are under way and have lost little go first, at the engines'
full speed; fresh ones get what these leave. A program that has lost more time
to queues and crowded engines than its slack is behind: it can hardly be in
time any more, and takes what is left.

Nothing is refused for it while the engines have room.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from catkinpin.codec import Message

if TYPE_CHECKING:
    from catkinpin.core.placement.speeds import EngineSpeed
    from catkinpin.core.requests.calls import RouteCall

# The scale of the engines: 0 is first, 9 last, 5 where nothing is said.
URGENCY_ON_TIME = 3
URGENCY_NEW = 4
URGENCY_DEFAULT = 5
URGENCY_LATE = 6
URGENCY_EXPIRED = 8
# Of what a program was allowed, so much may be lost before it is behind.
# Programs allowed twice their time on idle servers have half of it as slack.
_SLACK = 0.35
# The ways, the start of a run and a turn's record.
_TURN_MS = 20.0


class ProgramStatus(Message, frozen=True):
    """How a program is doing when one of its turns begins.

    Attributes:
        allowed_ms: what it had at its start to be finished in; 0: not known.
        elapsed_ms: since its start.
        lost_ms: what its turns took longer than on idle servers.
        turns: that have ended and generated anything.
    """

    allowed_ms: int = 0
    elapsed_ms: int = 0
    lost_ms: int = 0
    turns: int = 0


def turn_urgency(program_status: ProgramStatus) -> int:
    """Returns how urgent a program's next turn is."""
    allowed_ms = program_status.allowed_ms
    elapsed_ms = program_status.elapsed_ms
    if not allowed_ms:
        return URGENCY_DEFAULT
    if elapsed_ms > 2 * allowed_ms:
        return URGENCY_EXPIRED
    slack_ms = _SLACK * allowed_ms
    if not program_status.turns:
        return URGENCY_NEW if elapsed_ms <= slack_ms else URGENCY_LATE
    late = elapsed_ms > allowed_ms
    return (
        URGENCY_LATE
        if late or program_status.lost_ms > slack_ms
        else URGENCY_ON_TIME
    )


def lost_ms(
    call: RouteCall, tokens: int, took_ms: int, speed: EngineSpeed
) -> int:
    """Returns what a turn took longer than it would have on an idle server.

    Args:
        call: the turn; the last part of its prompt is new.
        tokens: that it generated.
        took_ms: from its arrival to its end.
        speed: of a usual server.
    """
    new = call.prompt[-1].tokens if call.prompt else call.prompt_tokens
    idle_ms = _TURN_MS + tokens * speed.token_ms + new * speed.read_ms
    return max(0, int(took_ms - idle_ms))
