"""Budgets in tokens: reserve the worst case before, settle after.

The invariant is `spent + reserved <= budget` at the root of each tree.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from catkinpin.core.messages import Usage
    from catkinpin.core.program import Program


def left(root: Program) -> int:
    """Returns the tokens that are neither spent nor reserved."""
    return root.limits.budget_tokens - root.spent - root.reserved


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
