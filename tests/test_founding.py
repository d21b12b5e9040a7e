"""Founding and repair, without a network."""

from __future__ import annotations

from typing import Any, cast

from catkinpin.adapters.disk import files
from catkinpin.adapters.replica import founding, identity, mesh, transport
from catkinpin.core.consensus import messages
from tests import base

_US = "127.0.0.1:1"
_OTHER = "127.0.0.1:2"


class _Mesh:
    """Streams to the others that only keep what was sent."""

    def __init__(self) -> None:
        self.addresses = [_OTHER]
        self.sent: list[Any] = []

    def broadcast(self, message: Any) -> None:
        self.sent.append(message)

    def send(self, node: str, message: Any) -> None:
        self.sent.append(message)


class RepairTest(base.TestCase):
    """A replica with an empty folder that an operator lets in."""

    def setUp(self) -> None:
        super().setUp()
        self.file = identity.Identity(self.folder, files.FileOps())
        self.begun = 0
        streams = cast("mesh.Mesh", _Mesh())
        self.founding = founding.Founding(self.file, _US, streams, self._begin)
        self.founding.start()

    def _begin(self) -> None:
        self.begun += 1

    def _hear(self, *, founded: bool) -> None:
        info = transport.NodeInfo(
            node="other", address=_OTHER, founded=founded, known=[]
        )
        self.founding.handle_info(info)

    def test_order_comes_before_the_others_are_heard(self) -> None:
        """A disk is lost, and the operator repairs as soon as HTTP answers.

        The replica has not yet heard that the others have state. Were the
        order forgotten, the operator's command would wait in vain and report
        that the system is not safe, while nothing is wrong with it.
        """
        self.founding.repair()
        self.assertEqual(0, self.begun)
        self._hear(founded=True)
        self.assertEqual(1, self.begun)
        self.assertTrue(self.file.joining)

    def test_order_to_a_new_system_changes_nothing(self) -> None:
        """An operator repairs a replica of a system that is just founded.

        Joining alone it would wait for a leader that never comes; it founds
        the system with the others instead.
        """
        self.founding.repair()
        self._hear(founded=False)
        self.assertEqual(1, self.begun)
        self.assertFalse(self.file.joining)
        self._hear(founded=True)
        self.assertEqual(1, self.begun)

    def test_nobody_orders_a_repair(self) -> None:
        """A disk is lost and no operator has said so.

        The replica may have forgotten votes; it takes no part by itself.
        """
        self._hear(founded=True)
        self.assertEqual(0, self.begun)
        self.assertTrue(self.founding.needs_repair())
        self.founding.repair()
        self.assertEqual(1, self.begun)


class JoiningTest(base.TestCase):
    """Founders that end before they learn that the system is founded."""

    def _start(self, *, first_start: bool) -> founding.Founding:
        self.begun = 0
        self.file = identity.Identity(self.folder, files.FileOps())
        self.mesh = _Mesh()
        joining = founding.Joining((_US, _OTHER), first_start)
        found = founding.Founding(
            self.file,
            _US,
            cast("mesh.Mesh", self.mesh),
            self._begin,
            joining,
        )
        found.start()
        return found

    def _begin(self) -> None:
        self.begun += 1

    def _members(self, *nodes: str) -> messages.Members:
        members = [messages.Member(node=node, address=_OTHER) for node in nodes]
        return messages.Members(members=members)

    def test_founder_killed_before_the_founding_takes_its_place(self) -> None:
        """Guards against a voter that knows no members and can't vote."""
        self._start(first_start=True)
        again = self._start(first_start=False)
        self.assertEqual(0, self.begun)
        members = self._members(self.file.node, "other")
        again.founded(members)
        self.assertEqual(1, self.begun)
        self.assertEqual(members, self.file.founders)
        self.assertFalse(self.file.joining)

    def test_founder_left_out_of_the_founding_joins(self) -> None:
        """Guards against a replica that waits for its founders for ever."""
        self._start(first_start=True)
        again = self._start(first_start=False)
        again.founded(self._members("other", "third"))
        self.assertEqual(1, self.begun)
        self.assertTrue(self.file.joining)

    def test_empty_folder_joins_at_once(self) -> None:
        """Guards against a lost disk that is taken for a late founder."""
        self._start(first_start=False)
        self.assertEqual(1, self.begun)
        self.assertTrue(self.file.joining)

    def test_founded_replica_sends_the_founders_to_a_late_one(self) -> None:
        """Guards against a late founder that nobody answers."""
        ours = self._start(first_start=True)
        ours.founded(self._members(self.file.node, "late"))
        self.mesh.sent.clear()
        for node in ("late", "stranger"):
            ours.handle_info(
                transport.NodeInfo(node=node, address=_OTHER, founded=False)
            )
        sent = [m for m in self.mesh.sent if isinstance(m, transport.Found)]
        self.assertEqual(2, len(sent))
