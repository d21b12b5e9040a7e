"""Tests the leader's repair of copies, without a network."""

from __future__ import annotations

import asyncio
import types
from typing import Any
from unittest import mock

import testtools

from catkinpin import clock, decisions
from catkinpin.adapters.keeper.host import Undecided
from catkinpin.adapters.keeper.repair import CopyRepair
from catkinpin.core.control import protocol, state
from catkinpin.core.control.ledger import Moved, Outcome, Turn
from catkinpin.core.control.stores import Store
from catkinpin.roles import KeeperSettings


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
            KeeperSettings(name="k", seeds=["10.0.0.2:7160"]),
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

    def test_store_whose_registration_was_undecided_is_logged(self) -> None:
        """Guards against a store that counts and that no line names."""
        store = Store(
            node="0" * 32,
            name="store-1",
            address="10.0.0.1:7160",
            domain="a",
            region="a",
        )
        control = state.ControlState()

        async def propose(*_: object) -> Undecided:
            control.stores.register(store)
            return Undecided("leadership was lost")

        parts: list[Any] = [
            KeeperSettings(name="k", seeds=["10.0.0.2:7160"]),
            "1" * 32,
            clock.system_clock(),
            types.SimpleNamespace(
                holds_lease=lambda: True, state=control, propose=propose
            ),
            types.SimpleNamespace(add=lambda _: None),
            None,
            1.0,
        ]
        notes: list[str] = []

        async def register() -> None:
            repair = CopyRepair(*parts)
            for _ in range(3):
                await repair.register(store)

        with mock.patch.object(
            decisions, "note", lambda name, *_, **__: notes.append(name)
        ):
            asyncio.run(register())
        self.assertEqual(["store"], notes)


_TURN_BYTES = 400_000


class _Hosts:
    """Links to hosts that copy what they are asked to, after some ms."""

    def __init__(self, names: list[str]) -> None:
        self._hosts = {
            name: types.SimpleNamespace(info=_info(name)) for name in names
        }

    def connected(self) -> list[Any]:
        return list(self._hosts.values())

    def by_node(self, node: str) -> Any:
        return self._hosts.get(node)

    async def ask(self, host: Any, make: Any, timeout_s: float) -> Any:
        await asyncio.sleep(0.01)
        return protocol.Done(ask=make(1).ask)


def _info(name: str) -> protocol.HostInfo:
    return protocol.HostInfo(
        node=name,
        address=f"{name}:1",
        domain=name,
        region="r",
        known=[],
        leader="",
        term=1,
    )


class RoundTest(testtools.TestCase):
    """Copies that are made after a loss."""

    def test_all_turns_of_a_lost_host_are_copied_at_once(self) -> None:
        """Guards against pauses between batches until the next loss.

        The lost host is a keeper that is still a member of the group.
        """
        control = state.ControlState()
        for number in range(100):
            turn = Turn(
                attempt=f"t{number}",
                program="p",
                previous="",
                holders=["lost", "a"],
                size=_TURN_BYTES,
                until_ms=1_000_000,
            )
            control.ledger.turns[turn.attempt] = turn
        for name in ("a", "b"):
            control.stores.register(_store(name))

        async def propose(body: Moved, wait_s: float) -> Outcome:
            control.ledger.set_holders(body)
            return Outcome()

        members = [types.SimpleNamespace(node=n) for n in ("me", "lost")]
        group = types.SimpleNamespace(
            members=types.SimpleNamespace(members=members)
        )
        host = types.SimpleNamespace(
            holds_lease=lambda: True, state=control, propose=propose
        )
        host.group = group
        now_ms = 0
        time = types.SimpleNamespace(now_ms=lambda: now_ms)
        cfg = KeeperSettings(name="me", seeds=["k:1"], catch_up_ms=3_000)
        hosts = _Hosts(["a", "b"])
        parts: list[Any] = [cfg, "me", time, host, hosts, _LocalTurns(), 1.0]
        repair = CopyRepair(*parts)
        asyncio.run(repair.repair())
        self.assertEqual(100, _count_held_by(control, "lost"))
        now_ms = 1_001
        asyncio.run(repair.repair())
        self.assertEqual(0, _count_held_by(control, "lost"))
        for turn in control.ledger.turns.values():
            self.assertEqual(2, len(set(turn.holders)))


class _LocalTurns:
    """The copies of the keeper itself."""

    async def copy_turns(self, reply: Any, message: protocol.CopyTurns) -> None:
        reply.send(protocol.Done(ask=message.ask))


def _store(name: str) -> Store:
    return Store(
        node=name, name=name, address=f"{name}:1", domain=name, region="r"
    )


def _count_held_by(control: state.ControlState, node: str) -> int:
    return sum(node in t.holders for t in control.ledger.turns.values())
