"""Tests the leader's repair of copies, without a network."""

from __future__ import annotations

import asyncio
import types
from typing import Any
from unittest import mock

import testtools
from msgspec import structs

from catkinpin import clock, decisions
from catkinpin.adapters.keeper.host import Undecided
from catkinpin.adapters.keeper.repair import CopyRepair
from catkinpin.core.control import protocol, state
from catkinpin.core.control.stores import Retire, Store
from catkinpin.core.control.turnrecords import Moved, Outcome, Turn
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

    def __init__(
        self, names: list[str], domains: dict[str, str] | None = None
    ) -> None:
        places = domains or {name: name for name in names}
        self._hosts = {
            name: types.SimpleNamespace(info=_info(name, places[name]))
            for name in names
        }

    def connected(self) -> list[Any]:
        return list(self._hosts.values())

    def by_node(self, node: str) -> Any:
        return self._hosts.get(node)

    async def ask(self, host: Any, make: Any, timeout_s: float) -> Any:
        await asyncio.sleep(0.01)
        return protocol.Done(ask=make(1).ask)


def _info(name: str, domain: str) -> protocol.HostInfo:
    return protocol.HostInfo(
        node=name,
        address=f"{name}:1",
        domain=domain,
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


class EmptiedStoreTest(testtools.TestCase):
    """Stores that an operator takes away where a domain may be lost."""

    def _repair(self, domains: dict[str, str]) -> CopyRepair:
        """Returns the repair of a leader in domain "a", with some stores.

        Args:
            domains: failure domain of each store.
        """
        control = state.ControlState()
        for name, domain in domains.items():
            store = structs.replace(_store(name), domain=domain)
            control.stores.register(store)

        async def propose(body: Any, wait_s: float) -> Outcome:
            if isinstance(body, Retire):
                control.stores.retire(body.name)
            return Outcome()

        group = types.SimpleNamespace(
            members=types.SimpleNamespace(
                members=[types.SimpleNamespace(node="me")]
            )
        )
        host = types.SimpleNamespace(
            holds_lease=lambda: True,
            state=control,
            propose=propose,
            group=group,
        )
        cfg = KeeperSettings(
            name="me",
            seeds=["k:1"],
            failure_domain="a",
            tolerated_domains=1,
        )
        hosts = _Hosts(list(domains), domains)
        self.now_ms = 0
        time = types.SimpleNamespace(now_ms=lambda: self.now_ms)
        parts: list[Any] = [cfg, "me", time, host, hosts, _LocalTurns(), 1.0]
        self.control = control
        return CopyRepair(*parts)

    def _retire(self, repair: CopyRepair, name: str) -> protocol.Retirement:
        outcome = asyncio.run(repair.retire(name, begin=True))
        assert isinstance(outcome, protocol.Retirement)
        return outcome

    def test_only_store_of_a_needed_domain_is_kept(self) -> None:
        """Guards against turns in one domain after a store is taken away."""
        repair = self._repair({"a1": "a", "a2": "a", "b1": "b"})
        self.assertTrue(self._retire(repair, "b1").too_few)
        self.assertFalse(self._retire(repair, "a1").too_few)

    def test_store_is_not_empty_before_its_turns_are_spread(self) -> None:
        """Guards against a disk that goes while turns are in one domain."""
        repair = self._repair({"a1": "a", "a2": "a", "b1": "b", "b2": "b"})
        turn = Turn(
            attempt="t",
            program="p",
            previous="",
            holders=["me", "a2"],
            size=1,
            until_ms=1_000_000,
        )
        self.control.ledger.turns["t"] = turn
        self.assertFalse(self._retire(repair, "b1").is_empty)
        self.now_ms = 10_000
        self.assertFalse(self._retire(repair, "b1").is_empty)
        turn.holders = ["me", "b2"]
        self.assertTrue(self._retire(repair, "b1").is_empty)


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
