"""Founding, repair and joining of one replica, without a network."""

from __future__ import annotations

from typing import Any, cast

import msgspec

from catkinpin.adapters.disk import files
from catkinpin.adapters.replica import founding, identity, mesh, transport
from catkinpin.core.consensus import foundingtypes, messages
from catkinpin.core.consensus.founding import Founder
from catkinpin.exceptions import StorageError
from tests import base

_OWN_ADDRESS = "127.0.0.1:1"
_OTHER_ADDRESS = "127.0.0.1:2"


class _RecordingMesh:
    """Replaces the streams to the others; records what was sent."""

    def __init__(self) -> None:
        self.addresses = [_OTHER_ADDRESS]
        self.sent: list[Any] = []

    def known(self) -> list[str]:
        return self.addresses

    def broadcast(self, message: Any) -> None:
        self.sent.append(message)

    def send(self, node: str, message: Any) -> None:
        self.sent.append(message)


class RepairTest(base.TestCase):
    """A replica with an empty folder, in a system that an operator repairs."""

    def setUp(self) -> None:
        super().setUp()
        self.identity_file = identity.Identity(self.folder, files.FileOps())
        self.participation_count = 0
        self.mesh = _RecordingMesh()
        streams = cast("mesh.Mesh", self.mesh)
        self.founding = founding.Founding(
            self.identity_file, _OWN_ADDRESS, streams, self._count_participation
        )
        self.founding.start()

    def _count_participation(self) -> None:
        self.participation_count += 1

    def _receive_info(self, *, founded: bool) -> None:
        info = transport.NodeInfo(
            node="other", address=_OTHER_ADDRESS, founded=founded, known=[]
        )
        self.founding.handle_info(info)

    def test_order_comes_before_the_others_are_heard(self) -> None:
        """Guards against a forgotten order to repair.

        The operator may order it before the replica learns that the others
        have state. The operator's command would then wait in vain and report
        that the system is not safe.
        """
        self.founding.repair()
        self.assertEqual(0, self.participation_count)
        self._receive_info(founded=True)
        self.assertEqual(1, self.participation_count)
        self.assertTrue(self.identity_file.joining)

    def test_order_to_a_new_system_changes_nothing(self) -> None:
        """Guards against a replica that joins a system not yet founded.

        An operator orders a repair in a new system. A replica that joined
        would wait for a leader forever; it must found the system instead.
        """
        self.founding.repair()
        self._receive_info(founded=False)
        self._answer_requests()
        self.assertEqual(1, self.participation_count)
        self.assertFalse(self.identity_file.joining)
        self._receive_info(founded=True)
        self.assertEqual(1, self.participation_count)

    def _answer_requests(self) -> None:
        """Lets the other replica answer the requests to it."""
        record = foundingtypes.SeedRecord(empty=True)
        other_founder = Founder(
            "other", _OTHER_ADDRESS, (_OWN_ADDRESS, _OTHER_ADDRESS), record, 0
        )
        request_types = (messages.Prepare, messages.Propose)
        for _ in request_types:
            requests = [
                m for m in self.mesh.sent if isinstance(m, request_types)
            ]
            self.mesh.sent.clear()
            for message in requests:
                other_founder.step(message, 0)
            for command in other_founder.take_output():
                if isinstance(command, foundingtypes.Send):
                    self.founding.handle(command.message)

    def test_nobody_orders_a_repair(self) -> None:
        """Guards against a replica that votes after it lost its disk.

        It may have forgotten votes, so it must wait for an operator's order.
        """
        self._receive_info(founded=True)
        self.assertEqual(0, self.participation_count)
        self.assertTrue(self.founding.needs_repair())
        self.founding.repair()
        self.assertEqual(1, self.participation_count)


class JoiningTest(base.TestCase):
    """Replicas that join or found a system without an operator."""

    def _start(
        self,
        *,
        first_start: bool,
        seeds: tuple[str, ...] = (_OWN_ADDRESS, _OTHER_ADDRESS),
    ) -> founding.Founding:
        self.participation_count = 0
        self.known_members = messages.Members()
        self.identity_file = identity.Identity(self.folder, files.FileOps())
        self.mesh = _RecordingMesh()
        joining = founding.AutoJoin(seeds, first_start)
        started = founding.Founding(
            self.identity_file,
            _OWN_ADDRESS,
            cast("mesh.Mesh", self.mesh),
            self._count_participation,
            joining,
            lambda: self.known_members,
        )
        started.start()
        return started

    def _count_participation(self) -> None:
        self.participation_count += 1

    def _members(self, *nodes: str) -> messages.Members:
        members = [
            messages.Member(node=node, address=_OTHER_ADDRESS) for node in nodes
        ]
        return messages.Members(members=members)

    def test_founder_killed_before_the_founding_takes_its_place(self) -> None:
        """Guards against a voter that knows no members and can't vote."""
        self._start(first_start=True)
        restarted = self._start(first_start=False)
        self.assertEqual(0, self.participation_count)
        members = self._members(self.identity_file.node, "other")
        restarted.handle_founded(members)
        self.assertEqual(1, self.participation_count)
        self.assertEqual(members, self.identity_file.founders)
        self.assertFalse(self.identity_file.joining)

    def test_founder_left_out_of_the_founding_joins(self) -> None:
        """Guards against a replica that waits for its founders forever."""
        self._start(first_start=True)
        restarted = self._start(first_start=False)
        restarted.handle_founded(self._members("other", "third"))
        self.assertEqual(1, self.participation_count)
        self.assertTrue(self.identity_file.joining)

    def test_empty_folder_of_a_seed_joins_the_system_that_it_hears_of(
        self,
    ) -> None:
        """Guards against a lost disk that is taken for a late founder."""
        own_founding = self._start(first_start=False)
        self.assertEqual(0, self.participation_count)
        own_founding.handle_founded(self._members("other", "third"))
        self.assertEqual(1, self.participation_count)
        self.assertTrue(self.identity_file.joining)
        self.assertIsNone(self.identity_file.founders)

    def test_empty_folder_of_a_seed_founds_nothing_with_a_new_one(self) -> None:
        """Guards against a second system beside one that lost a disk."""
        own_founding = self._start(first_start=False)
        info = transport.NodeInfo(
            node="new", address=_OTHER_ADDRESS, founded=False
        )
        own_founding.handle_info(info)
        own_founding.tick()
        sent = [m for m in self.mesh.sent if isinstance(m, messages.Prepare)]
        self.assertEqual([], sent)
        self.assertEqual(0, self.participation_count)

    def test_empty_folder_of_no_seed_joins_at_once(self) -> None:
        """Guards against an added host that waits for a founding."""
        self._start(first_start=False, seeds=(_OTHER_ADDRESS,))
        self.assertEqual(1, self.participation_count)
        self.assertTrue(self.identity_file.joining)

    def test_member_that_joined_sends_its_members_to_an_empty_seed(
        self,
    ) -> None:
        """Guards against an empty seed that waits if no founder is left."""
        own_founding = self._start(first_start=False, seeds=(_OTHER_ADDRESS,))
        self.known_members = self._members(self.identity_file.node, "second")
        info = transport.NodeInfo(
            node="empty", address=_OTHER_ADDRESS, founded=False
        )
        own_founding.handle_info(info)
        self.assertIn(
            transport.Found(members=self.known_members), self.mesh.sent
        )

    def test_killed_seed_keeps_what_it_promised(self) -> None:
        """Guards against a seed that agrees to two foundings."""
        own_founding = self._start(first_start=True)
        prepare = messages.Prepare(
            sender="other",
            to=self.identity_file.node,
            ballot=messages.Ballot(count=7, node="other"),
            seeds=[_OWN_ADDRESS, _OTHER_ADDRESS],
        )
        own_founding.handle(prepare)
        restarted = self._start(first_start=False)
        earlier = messages.Ballot(count=6, node="third")
        restarted.handle(
            msgspec.structs.replace(prepare, sender="third", ballot=earlier)
        )
        promises = [
            m for m in self.mesh.sent if isinstance(m, messages.Promise)
        ]
        self.assertEqual([prepare.ballot], [p.ballot for p in promises])

    def test_seeds_of_the_first_start_stay_the_founders(self) -> None:
        """Guards against majorities of two lists of seeds."""
        self._start(first_start=True)
        restarted = self._start(
            first_start=False, seeds=(_OWN_ADDRESS, "127.0.0.1:9")
        )
        self.assertEqual([_OTHER_ADDRESS], restarted.awaited_seeds())

    def test_broken_identity_file_ends_the_process(self) -> None:
        """Guards against a damaged folder that is taken for an empty one."""
        self._start(first_start=True)
        path = self.folder / "identity.json"
        valid_content = path.read_bytes()
        for content in (valid_content[:20], b"", b"[]", b'{"version": 99}'):
            path.write_bytes(content)
            error = self.assertRaises(
                StorageError, identity.Identity, self.folder, files.FileOps()
            )
            self.assertIn(str(path), str(error))

    def test_founded_replica_sends_the_founders_to_a_late_one(self) -> None:
        """Guards against a late founder that gets no answer."""
        own_founding = self._start(first_start=True)
        own_founding.handle_founded(
            self._members(self.identity_file.node, "late")
        )
        self.mesh.sent.clear()
        for node in ("late", "stranger"):
            own_founding.handle_info(
                transport.NodeInfo(
                    node=node, address=_OTHER_ADDRESS, founded=False
                )
            )
        sent = [m for m in self.mesh.sent if isinstance(m, transport.Found)]
        self.assertEqual(2, len(sent))
