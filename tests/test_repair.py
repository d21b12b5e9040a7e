"""Tests the leader's repair of copies, without a network."""

from __future__ import annotations

import asyncio
import types
from typing import Any

import testtools

from catkinpin import clock
from catkinpin.adapters.keeper.repair import CopyRepair
from catkinpin.core.control import state
from catkinpin.core.control.stores import Store


class RegistrationTest(testtools.TestCase):
    """Stores that register with the leader."""

    def test_leader_connects_to_a_store_that_registers_again(self) -> None:
        """Guards against copies that the leader never starts.

        The store was registered when other keepers described themselves for
        the last time, but they had not applied that yet, so that none of them
        named the store to the leader.
        """
        store = Store(
            node="0" * 32,
            name="store-1",
            address="10.0.0.1:7160",
            domain="a",
            region="a",
        )
        control = state.ControlState()
        control.stores.register(store)
        connected: list[str] = []
        parts: list[Any] = [
            types.SimpleNamespace(),
            "1" * 32,
            clock.system_clock(),
            types.SimpleNamespace(holds_lease=lambda: True, state=control),
            types.SimpleNamespace(add=connected.extend),
            None,
            1.0,
        ]
        outcome = asyncio.run(CopyRepair(*parts).register(store))
        self.assertIs(False, outcome)
        self.assertEqual([store.address], connected)
