"""What programs have on each backend server, for plans and their progress."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from catkinpin.core.operations.plans import ServerUsage

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from catkinpin.core.operations.deployments import Configuration
    from catkinpin.core.programs.program import Program


@dataclasses.dataclass
class _Sum:
    calls: int = 0
    programs: int = 0
    tokens: int = 0


_Key = tuple[str, str, str]


def summarize_usage(
    programs: Iterable[Program], cfg: Configuration
) -> list[ServerUsage]:
    """Returns calls and cached histories by server and deployment.

    It goes through all programs: call it for an operator or while a plan
    waits, not for each call.
    """
    sums: dict[_Key, _Sum] = collections.defaultdict(_Sum)
    deployments: dict[tuple[str, str], str] = {}

    def place(account: str, target: str, server: str) -> _Sum:
        found = deployments.get((account, target))
        if found is None:
            deployment = cfg.deployment_for(account, target)
            found = deployment.name if deployment is not None else ""
            deployments[account, target] = found
        return sums[server, found, target]

    for program in programs:
        _add(program, place)
    return [
        ServerUsage(
            server, deployment, target, one.calls, one.programs, one.tokens
        )
        for (server, deployment, target), one in sorted(sums.items())
    ]


def _add(program: Program, place: Callable[[str, str, str], _Sum]) -> None:
    account = program.key.account
    for call in program.open.values():
        if call.attempt is not None:
            server = call.attempt.choice.server.server
            place(account, call.begin.target, server).calls += 1
    if program.ended or not program.last_server:
        return
    held = place(account, program.last_target, program.last_server)
    held.programs += 1
    held.tokens += program.history_tokens
