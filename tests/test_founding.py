"""Founding and repair, without a network."""

from __future__ import annotations

from typing import Any, cast

import msgspec

from catkinpin.adapters.disk import files
from catkinpin.adapters.replica import founding, identity, mesh, transport
from catkinpin.core.consensus import foundingtypes, messages
from catkinpin.core.consensus.founding import Founder
from catkinpin.exceptions import StorageError
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
        self.mesh = _Mesh()
        streams = cast("mesh.Mesh", self.mesh)
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
        self._agree()
        self.assertEqual(1, self.begun)
        self.assertFalse(self.file.joining)
        self._hear(founded=True)
        self.assertEqual(1, self.begun)

    def _agree(self) -> None:
        """Has the other replica answer what it is asked."""
        record = foundingtypes.SeedRecord(empty=True)
        other = Founder("other", _OTHER, (_US, _OTHER), record, 0)
        kinds = (messages.Prepare, messages.Propose)
        for _ in kinds:
            asked = [m for m in self.mesh.sent if isinstance(m, kinds)]
            self.mesh.sent.clear()
            for message in asked:
                other.step(message, 0)
            for command in other.take_output():
                if isinstance(command, foundingtypes.Send):
                    self.founding.handle(command.message)

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

    def _start(
        self, *, first_start: bool, seeds: tuple[str, ...] = (_US, _OTHER)
    ) -> founding.Founding:
        self.begun = 0
        self.group = messages.Members()
        self.file = identity.Identity(self.folder, files.FileOps())
        self.mesh = _Mesh()
        joining = founding.AutoJoin(seeds, first_start)
        found = founding.Founding(
            self.file,
            _US,
            cast("mesh.Mesh", self.mesh),
            self._begin,
            joining,
            lambda: self.group,
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
        again.handle_founded(members)
        self.assertEqual(1, self.begun)
        self.assertEqual(members, self.file.founders)
        self.assertFalse(self.file.joining)

    def test_founder_left_out_of_the_founding_joins(self) -> None:
        """Guards against a replica that waits for its founders for ever."""
        self._start(first_start=True)
        again = self._start(first_start=False)
        again.handle_founded(self._members("other", "third"))
        self.assertEqual(1, self.begun)
        self.assertTrue(self.file.joining)

    def test_empty_folder_of_a_seed_joins_the_system_that_it_hears_of(
        self,
    ) -> None:
        """Guards against a lost disk that is taken for a late founder."""
        ours = self._start(first_start=False)
        self.assertEqual(0, self.begun)
        ours.handle_founded(self._members("other", "third"))
        self.assertEqual(1, self.begun)
        self.assertTrue(self.file.joining)
        self.assertIsNone(self.file.founders)

    def test_empty_folder_of_a_seed_founds_nothing_with_a_new_one(self) -> None:
        """Guards against a second system beside one that lost a disk."""
        ours = self._start(first_start=False)
        info = transport.NodeInfo(node="new", address=_OTHER, founded=False)
        ours.handle_info(info)
        ours.tick()
        sent = [m for m in self.mesh.sent if isinstance(m, messages.Prepare)]
        self.assertEqual([], sent)
        self.assertEqual(0, self.begun)

    def test_empty_folder_of_no_seed_joins_at_once(self) -> None:
        """Guards against an added host that waits for a founding."""
        self._start(first_start=False, seeds=(_OTHER,))
        self.assertEqual(1, self.begun)
        self.assertTrue(self.file.joining)

    def test_member_that_joined_sends_its_members_to_an_empty_seed(
        self,
    ) -> None:
        """Guards against an empty seed where no founder is left to answer."""
        ours = self._start(first_start=False, seeds=(_OTHER,))
        self.group = self._members(self.file.node, "second")
        info = transport.NodeInfo(node="empty", address=_OTHER, founded=False)
        ours.handle_info(info)
        self.assertIn(transport.Found(members=self.group), self.mesh.sent)

    def test_killed_seed_keeps_what_it_promised(self) -> None:
        """Guards against a seed that agrees to two foundings."""
        ours = self._start(first_start=True)
        prepare = messages.Prepare(
            sender="other",
            to=self.file.node,
            ballot=messages.Ballot(count=7, node="other"),
            seeds=[_US, _OTHER],
        )
        ours.handle(prepare)
        again = self._start(first_start=False)
        early = messages.Ballot(count=6, node="third")
        again.handle(
            msgspec.structs.replace(prepare, sender="third", ballot=early)
        )
        promises = [
            m for m in self.mesh.sent if isinstance(m, messages.Promise)
        ]
        self.assertEqual([prepare.ballot], [p.ballot for p in promises])

    def test_seeds_of_the_first_start_stay_the_founders(self) -> None:
        """Guards against majorities of two lists of seeds."""
        self._start(first_start=True)
        again = self._start(first_start=False, seeds=(_US, "127.0.0.1:9"))
        self.assertEqual([_OTHER], again.awaited_seeds())

    def test_broken_identity_file_ends_the_process(self) -> None:
        """Guards against a damaged folder that is taken for an empty one."""
        self._start(first_start=True)
        path = self.folder / "identity.json"
        whole = path.read_bytes()
        for broken in (whole[:20], b"", b"[]", b'{"version": 99}'):
            path.write_bytes(broken)
            error = self.assertRaises(
                StorageError, identity.Identity, self.folder, files.FileOps()
            )
            self.assertIn(str(path), str(error))

    def test_founded_replica_sends_the_founders_to_a_late_one(self) -> None:
        """Guards against a late founder that nobody answers."""
        ours = self._start(first_start=True)
        ours.handle_founded(self._members(self.file.node, "late"))
        self.mesh.sent.clear()
        for node in ("late", "stranger"):
            ours.handle_info(
                transport.NodeInfo(node=node, address=_OTHER, founded=False)
            )
        sent = [m for m in self.mesh.sent if isinstance(m, transport.Found)]
        self.assertEqual(2, len(sent))
