"""Founding and repair, without a network."""

from __future__ import annotations

from typing import Any, cast

from catkinpin.adapters.disk import files
from catkinpin.adapters.replica import founding, identity, mesh, transport
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
