"""Computes the urgency of a turn to a model server from its program's progress.

During a burst, more programs arrive than the engines can serve in time. If
they were served in order of arrival, or equally while they are in time, all of
them would use up their slack together and finish late, and a backlog that
builds up in seconds would last for half a minute.

Programs that have started and lost little time therefore go first, at the
full speed of the engines; new programs get the remaining capacity. A program
that has lost more than its slack to queues and busy engines can hardly finish
in time and goes last.

Urgency alone does not refuse a turn while the engines have room.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from catkinpin.codec import Message

if TYPE_CHECKING:
    from catkinpin.core.placement.speeds import EngineSpeed
    from catkinpin.core.requests.calls import RouteCall

# Values on the scale of the engines: 0 is served first, 9 last; engines assume
# 5 if a request does not state its urgency.
URGENCY_ON_TIME = 3
URGENCY_NEW = 4
URGENCY_DEFAULT = 5
URGENCY_LATE = 6
URGENCY_EXPIRED = 8
# Share of its allowed time that a program may lose before it counts as late. A
# program that is allowed twice its time on idle servers has half as slack.
_SLACK_SHARE = 0.35
# Fixed time of a turn: network, start of the run and the turn's record.
_TURN_OVERHEAD_MS = 20.0


class ProgramStatus(Message, frozen=True):
    """Progress of a program when one of its turns begins.

    Attributes:
        allowed_ms: Time from the program's start to its deadline; 0 if it is
            unknown.
        elapsed_ms: Time since the program's start.
        lost_ms: Time that its turns took beyond that on idle servers.
        turns: Number of its turns that have ended and generated tokens.
    """

    allowed_ms: int = 0
    elapsed_ms: int = 0
    lost_ms: int = 0
    turns: int = 0


def turn_urgency(program_status: ProgramStatus) -> int:
    """Returns the urgency of a program's next turn."""
    allowed_ms = program_status.allowed_ms
    elapsed_ms = program_status.elapsed_ms
    if not allowed_ms:
        return URGENCY_DEFAULT
    if elapsed_ms > 2 * allowed_ms:
        return URGENCY_EXPIRED
    slack_ms = _SLACK_SHARE * allowed_ms
    if not program_status.turns:
        return URGENCY_NEW if elapsed_ms <= slack_ms else URGENCY_LATE
    is_overdue = elapsed_ms > allowed_ms
    return (
        URGENCY_LATE
        if is_overdue or program_status.lost_ms > slack_ms
        else URGENCY_ON_TIME
    )


def lost_ms(
    call: RouteCall, tokens: int, took_ms: int, speed: EngineSpeed
) -> int:
    """Returns the time that a turn took beyond that on an idle server.

    Args:
        call: The turn; only the last part of its prompt needs prefill.
        tokens: Number of tokens that it generated.
        took_ms: Time from its arrival to its end.
        speed: Typical speed of the service's servers.
    """
    new_tokens = call.prompt[-1].tokens if call.prompt else call.prompt_tokens
    idle_ms = (
        _TURN_OVERHEAD_MS + tokens * speed.token_ms + new_tokens * speed.read_ms
    )
    return max(0, int(took_ms - idle_ms))
