"""Which backend servers there are, from what they say of themselves."""

from __future__ import annotations

from typing import Any

import testtools

from catkinpin.core.control.servers import Fleet, Instance, ServerState
from tests.fakes.instances import instance


def _server(**changes: Any) -> Instance:
    own = {"service": "tools", "started_ms": 1_000, "sequence": 4, "slots": 6}
    return instance(**{**own, "address": "10.0.0.1:80", **changes})


class LeavingTest(testtools.TestCase):
    """Servers that go, return and change places."""

    def test_goodbye_without_birth_or_number_ends_the_known_life(self) -> None:
        """A server says that it goes and gives nothing but its id.

        Read as it stands, that word is older than all that is known of the
        server and would be dropped: requests would go on reaching a server
        that has been promised none.
        """
        fleet = Fleet()
        fleet.apply(_server())
        goodbye = Instance(
            id="s1",
            service="",
            address="",
            domain="",
            state=ServerState.GONE,
            started_ms=0,
            sequence=0,
            slots=0,
        )
        changed = fleet.apply(
            fleet.with_known_incarnation(goodbye, last_sequence=9)
        )
        self.assertEqual([ServerState.GONE], [c.state for c in changed])
        self.assertEqual([], list(fleet.servers_of("tools")))
        # A gateway that only hears of the change takes it as well.
        gateway = Fleet()
        gateway.apply(_server())
        self.assertEqual(changed, gateway.apply(changed[0]))

    def test_late_word_of_a_server_that_went_does_not_bring_it_back(
        self,
    ) -> None:
        """A check-in is held up on its way and arrives after the goodbye.

        Taken for news, it would send requests to a server that is gone.
        """
        fleet = Fleet()
        fleet.apply(_server())
        fleet.apply(_server(state=ServerState.GONE, sequence=6))
        self.assertEqual([], fleet.apply(_server(sequence=5)))
        self.assertEqual([], fleet.apply(_server(sequence=7)))

    def test_new_life_under_the_same_id_counts(self) -> None:
        """A server starts again under its id, and its numbers start anew.

        Compared by number alone, its words would all look old for long.
        """
        fleet = Fleet()
        fleet.apply(_server(sequence=90))
        reborn = _server(started_ms=2_000, sequence=1)
        self.assertEqual([reborn], fleet.apply(reborn))
        self.assertEqual([], fleet.apply(_server(sequence=91)))

    def test_server_that_was_only_silent_returns(self) -> None:
        """A server is cut off from the keepers for long, but lives on.

        It was counted as lost; once heard again it must get work again.
        """
        fleet = Fleet()
        fleet.apply(_server())
        fleet.apply(_server(state=ServerState.LOST, sequence=5))
        self.assertEqual([], list(fleet.servers_of("tools")))
        back = _server(sequence=12)
        self.assertEqual([back], fleet.apply(back))

    def test_younger_life_has_the_address(self) -> None:
        """A server dies and its address goes to one of another service.

        A late word of the dead one would have both stand at one address, and
        requests for one service reach a server of the other.
        """
        fleet = Fleet()
        fleet.apply(_server())
        younger = _server(
            id="s2", service="other", started_ms=9_000, sequence=1
        )
        fleet.apply(younger)
        self.assertEqual([younger], list(fleet.servers.values()))
        self.assertEqual([], fleet.apply(_server(sequence=50)))
        self.assertEqual([younger], list(fleet.servers.values()))


class ManyServersTest(testtools.TestCase):
    """Thousands of servers that announce themselves at once."""

    def test_announcement_costs_the_same_among_thousands(self) -> None:
        """Guards against a start that compares each server with all others."""
        fleet = _CountingFleet()
        for number in range(3_000):
            fleet.apply(_server(id=f"s{number}", address=f"10.0.0.1:{number}"))
        self.assertEqual(0, fleet.scans)
        self.assertEqual(3_000, len(fleet.servers_of("tools")))

    def test_indexes_follow_what_servers_become(self) -> None:
        """Guards against a server that is offered after it went or moved."""
        fleet = Fleet()
        fleet.apply(_server())
        moved = _server(
            address="10.0.0.2:80", service="other", started_ms=2_000
        )
        fleet.apply(moved)
        self.assertEqual([], list(fleet.servers_of("tools")))
        self.assertEqual([moved], list(fleet.servers_of("other")))
        newcomer = _server(id="s2", address="10.0.0.1:80", started_ms=3_000)
        self.assertEqual([newcomer], fleet.apply(newcomer))
        follower = _server(id="s3", address="10.0.0.2:80", started_ms=4_000)
        self.assertEqual(2, len(fleet.apply(follower)))
        self.assertEqual([], list(fleet.servers_of("other")))
        fleet.restore([moved])
        self.assertEqual([moved], list(fleet.servers_of("other")))
        self.assertEqual([], list(fleet.servers_of("tools")))


class _Scanned(dict[str, Instance]):
    """Servers by id, of which goings through all are counted."""

    scans = 0

    def values(self) -> Any:
        self.scans += 1
        return super().values()


class _CountingFleet(Fleet):
    """A fleet that counts how often it goes through all its servers."""

    def __init__(self) -> None:
        super().__init__()
        self.servers = _Scanned()

    @property
    def scans(self) -> int:
        assert isinstance(self.servers, _Scanned)
        return self.servers.scans
