"""Token budgets: reserves the worst case of an attempt, settles its usage.

The invariant is `spent + reserved <= budget` at the root of each tree.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from catkinpin.core.messages import Begin, Usage
    from catkinpin.core.programs.program import Program

# Bound of the role markers and separators of a message in a chat template.
MESSAGE_OVERHEAD_TOKENS = 16


def remaining_tokens(root: Program) -> int:
    """Returns the tokens that are neither spent nor reserved."""
    return root.limits.budget_tokens - root.spent - root.reserved


def max_prompt_tokens(program: Program, begin: Begin) -> int:
    """Returns an upper bound of the tokens in the call's prompt.

    If a caller sends only its new messages, the stored ones are put before
    them. The engine bills both, so the reservation must cover both.
    """
    if begin.whole:
        return begin.prompt_tokens
    stored = program.history
    return (
        begin.prompt_tokens
        + stored.size
        + MESSAGE_OVERHEAD_TOKENS * len(stored)
    )


def tokens_to_reserve(
    root: Program, prompt_tokens: int, max_tokens: int
) -> int:
    """Returns the tokens an attempt must reserve, 0 if too few are left.

    These are the upper bound of the prompt and all tokens that may be
    generated. The output is limited to what is left of the budget.
    """
    available = remaining_tokens(root)
    if available <= prompt_tokens:
        return 0
    return min(available, prompt_tokens + max_tokens)


def settle(root: Program, reserved: int, usage: Usage) -> None:
    """Replaces a reservation with the usage that the engine reported.

    An engine may report more than was reserved, if it ignores the limit on
    its output or counts differently. As much as the budget covers is charged.
    The rest is counted in `overcounted`, so that the sum of spent and reserved
    never exceeds the budget; no later call gets a token then.
    """
    root.reserved -= reserved
    used = usage.prompt_tokens + usage.completion_tokens
    charged = min(used, remaining_tokens(root))
    root.spent += charged
    root.overcounted += used - charged
