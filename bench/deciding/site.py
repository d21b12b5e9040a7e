"""What gateways and callers see of the deployment that is played."""

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
    """A deployment.

    Attributes:
        env: simulated time, in ms.
        scenario: what is played.
        ledger: of the control group.
        fleet: the servers that gateways know, by id.
        engines: model servers, by id.
        services: plain servers, by id.
    """

    env: simpy.Environment
    scenario: Scenario
    ledger: Ledger
    fleet: dict[str, Instance]
    engines: dict[str, Engine]
    services: dict[str, Service]

    def passed(
        self, here: str, there: str, prompt: tuple[PromptPart, ...]
    ) -> None:
        """Counts a prompt that goes from a gateway to a server."""

    def delay_ms(self, here: str, there: str) -> float:
        """Returns the delay between two failure domains, one way."""
