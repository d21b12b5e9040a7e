"""How urgent a turn is to a model server, by its program's time.

The pattern: many programs come at once, more than the engines can serve in
time. Served in the order in which they came, all of them end late, and a
backlog that built up in seconds lasts for half a minute: programs that can
gain nothing any more hold the slots of those that still could be in time.

So a turn of a program that can still end in time goes first, one that can
only end late goes behind it, and one of a program that is past twice its time
takes what is left. Nothing is refused for it: with free slots all run.
"""

from __future__ import annotations

# The scale of the engines: 0 is first, 9 last, 5 where nothing is said.
IN_TIME = 4
USUAL = 5
LATE = 6
HOPELESS = 8


def of_turn(allowed_ms: int, elapsed_ms: int) -> int:
    """Returns how urgent a turn is.

    Args:
        allowed_ms: what its program had at its start; 0 where not known.
        elapsed_ms: since its program's start.
    """
    if not allowed_ms:
        return USUAL
    if elapsed_ms <= allowed_ms:
        return IN_TIME
    if elapsed_ms <= 2 * allowed_ms:
        return LATE
    return HOPELESS
