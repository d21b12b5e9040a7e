"""Summarizes the calls and cached histories on each backend server."""

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
class _Totals:
    calls: int = 0
    programs: int = 0
    tokens: int = 0


_TotalsKey = tuple[str, str, str]


def summarize_usage(
    programs: Iterable[Program], cfg: Configuration
) -> list[ServerUsage]:
    """Returns calls and cached histories by server and deployment.

    It iterates over all programs: call it for an operator's request or while a
    plan waits, not for each call.
    """
    totals: dict[_TotalsKey, _Totals] = collections.defaultdict(_Totals)
    deployments: dict[tuple[str, str], str] = {}

    def find_totals(account: str, target: str, server: str) -> _Totals:
        name = deployments.get((account, target))
        if name is None:
            deployment = cfg.deployment_for(account, target)
            name = deployment.name if deployment is not None else ""
            deployments[account, target] = name
        return totals[server, name, target]

    for program in programs:
        _add_program(program, find_totals)
    return [
        ServerUsage(
            server, deployment, target, sums.calls, sums.programs, sums.tokens
        )
        for (server, deployment, target), sums in sorted(totals.items())
    ]


def _add_program(
    program: Program, find_totals: Callable[[str, str, str], _Totals]
) -> None:
    account = program.key.account
    for call in program.open.values():
        if call.attempt is not None:
            server = call.attempt.choice.server.server
            find_totals(account, call.begin.target, server).calls += 1
    if program.ended or not program.last_server:
        return
    cached = find_totals(account, program.last_target, program.last_server)
    cached.programs += 1
    cached.tokens += program.history_tokens
