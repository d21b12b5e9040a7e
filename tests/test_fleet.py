"""The known backend servers, as their announcements describe them."""

from __future__ import annotations

from typing import Any

import testtools

from catkinpin.core.control.servers import Fleet, Instance, ServerState
from tests.fakes.instances import instance


def _server(**changes: Any) -> Instance:
    defaults = {
        "service": "tools",
        "started_ms": 1_000,
        "sequence": 4,
        "slots": 6,
    }
    return instance(**{**defaults, "address": "10.0.0.1:80", **changes})


class LeavingTest(testtools.TestCase):
    """Servers that leave, return and change their address."""

    def test_leave_without_start_time_ends_the_known_incarnation(self) -> None:
        """A server announces its end with nothing but its id.

        Without start time and sequence number, the announcement looks older
        than the known state. If it were ignored, requests would continue to
        reach a server that expects none.
        """
        fleet = Fleet()
        fleet.apply(_server())
        leave = Instance(
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
            fleet.with_known_incarnation(leave, last_sequence=9)
        )
        self.assertEqual([ServerState.GONE], [c.state for c in changed])
        self.assertEqual([], list(fleet.servers_of("tools")))
        # A gateway that only gets the change applies it as well.
        gateway = Fleet()
        gateway.apply(_server())
        self.assertEqual(changed, gateway.apply(changed[0]))

    def test_late_announcement_does_not_bring_back_a_gone_server(
        self,
    ) -> None:
        """A delayed announcement arrives after the one of the server's end.

        If it were applied, requests would be sent to a server that is gone.
        """
        fleet = Fleet()
        fleet.apply(_server())
        fleet.apply(_server(state=ServerState.GONE, sequence=6))
        self.assertEqual([], fleet.apply(_server(sequence=5)))
        self.assertEqual([], fleet.apply(_server(sequence=7)))

    def test_new_incarnation_of_an_id_is_accepted(self) -> None:
        """A server restarts with its id, and its sequence numbers restart too.

        Compared by sequence number alone, its announcements would look old.
        """
        fleet = Fleet()
        fleet.apply(_server(sequence=90))
        restarted = _server(started_ms=2_000, sequence=1)
        self.assertEqual([restarted], fleet.apply(restarted))
        self.assertEqual([], fleet.apply(_server(sequence=91)))

    def test_server_that_was_only_silent_returns(self) -> None:
        """A server is disconnected from the keepers for long, but still runs.

        It was removed as lost, and must get requests after its next
        announcement.
        """
        fleet = Fleet()
        fleet.apply(_server())
        fleet.apply(_server(state=ServerState.LOST, sequence=5))
        self.assertEqual([], list(fleet.servers_of("tools")))
        back = _server(sequence=12)
        self.assertEqual([back], fleet.apply(back))

    def test_server_that_started_last_has_the_address(self) -> None:
        """A server ends, and a server of another service gets its address.

        A late announcement of the first would give both the same address, and
        requests for one service would reach a server of the other.
        """
        fleet = Fleet()
        fleet.apply(_server())
        newer = _server(id="s2", service="other", started_ms=9_000, sequence=1)
        fleet.apply(newer)
        self.assertEqual([newer], list(fleet.servers.values()))
        self.assertEqual([], fleet.apply(_server(sequence=50)))
        self.assertEqual([newer], list(fleet.servers.values()))


class ManyServersTest(testtools.TestCase):
    """Thousands of servers that announce themselves at once."""

    def test_announcement_costs_the_same_among_thousands(self) -> None:
        """Guards against comparing each announced server with all others."""
        fleet = _ScanCountingFleet()
        for number in range(1, 3_001):
            fleet.apply(_server(id=f"s{number}", address=f"10.0.0.1:{number}"))
        self.assertEqual(0, fleet.scans)
        self.assertEqual(3_000, len(fleet.servers_of("tools")))

    def test_indexes_follow_what_servers_become(self) -> None:
        """Guards against looking up a server by its former service."""
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


class _ScanCountingDict(dict[str, Instance]):
    """Servers by id; counts the iterations over all of them."""

    scans = 0

    def values(self) -> Any:
        self.scans += 1
        return super().values()


class _ScanCountingFleet(Fleet):
    """Counts how often the fleet iterates over all its servers."""

    def __init__(self) -> None:
        super().__init__()
        self.servers = _ScanCountingDict()

    @property
    def scans(self) -> int:
        assert isinstance(self.servers, _ScanCountingDict)
        return self.servers.scans
