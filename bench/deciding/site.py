"""Interface of a simulated deployment for its gateways and callers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    import simpy

    from bench.deciding.engine import Engine
    from bench.deciding.scenario import Scenario
    from bench.deciding.service import Service
    from catkinpin.core.control.ledger import Ledger
    from catkinpin.core.control.servers import Instance
    from catkinpin.core.requests.calls import PromptPart


class Site(Protocol):
    """A simulated deployment.

    Attributes:
        env: Simulation environment, whose time is in ms.
        scenario: Scenario that runs.
        ledger: The control group's ledger.
        fleet: Servers that the gateways know, by id.
        engines: Model servers, by id.
        services: Plain servers, by id.
    """

    env: simpy.Environment
    scenario: Scenario
    ledger: Ledger
    fleet: dict[str, Instance]
    engines: dict[str, Engine]
    services: dict[str, Service]

    def count_prompt(
        self, here: str, there: str, prompt: tuple[PromptPart, ...]
    ) -> None:
        """Counts the tokens of a prompt sent from a gateway to a server."""

    def delay_ms(self, here: str, there: str) -> float:
        """Returns the one-way delay between two failure domains."""
