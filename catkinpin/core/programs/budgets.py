"""Budgets in tokens: reserve the worst case before, settle after.

The invariant is `spent + reserved <= budget` at the root of each tree.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from catkinpin.core.messages import Begin, Usage
    from catkinpin.core.programs.program import Program

# Role markers and separators of a message in a chat template.
MESSAGE_OVERHEAD_TOKENS = 16


def left(root: Program) -> int:
    """Returns the tokens that are neither spent nor reserved."""
    return root.limits.budget_tokens - root.spent - root.reserved


def prompt_bound(program: Program, begin: Begin) -> int:
    """Returns the most tokens that the call's prompt can have.

    A caller may send only its new messages. The stored ones go before them,
    and the engine bills both; a reserve without them would be exceeded.
    """
    if begin.whole:
        return begin.prompt_tokens
    stored = program.history
    return (
        begin.prompt_tokens
        + stored.size
        + MESSAGE_OVERHEAD_TOKENS * len(stored)
    )


def worst_case(root: Program, prompt_tokens: int, max_tokens: int) -> int:
    """Returns what an attempt must reserve, 0 where too little is left.

    The worst case is the upper bound of the prompt and every token that may
    be generated; the output is cut to what is left of the budget.
    """
    available = left(root)
    if available <= prompt_tokens:
        return 0
    return min(available, prompt_tokens + max_tokens)


def settle(root: Program, reserved: int, usage: Usage) -> None:
    """Replaces a reserve by what the engine says was used.

    An engine may count more than the reserve: it ignored the limit on its
    output, or counts otherwise. What the budget still holds is charged; the
    rest can't be undone and is kept apart, so that the sum of spent and
    reserved never exceeds the budget and no later call gets a token.
    """
    root.reserved -= reserved
    used = usage.prompt_tokens + usage.completion_tokens
    charged = min(used, left(root))
    root.spent += charged
    root.overcounted += used - charged
