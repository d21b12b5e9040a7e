"""Tests the log record of a placement."""

from __future__ import annotations

import collections

from catkinpin.core import messages
from catkinpin.core.messages import CallKey
from catkinpin.core.placement import assignment, servers
from catkinpin.core.programs import grants
from catkinpin.core.programs.commands import EntryRef
from tests import base

_PROGRAMS = 300


def _entry(number: int, region: str) -> EntryRef:
    return EntryRef(
        process=f"entry-{number}",
        incarnation=str(number),
        region=region,
        address=f"127.0.0.1:{number}",
    )


def _relays(entries: list[EntryRef]) -> dict[str, str]:
    """Returns the relay of each program for a server in another region."""
    report = messages.ServerReport(
        server="berater-1",
        incarnation="1",
        address="",
        kind="model",
        serves=["berater"],
        domain="ge-a",
        region="ch-west",
    )
    relays = {}
    for number in range(_PROGRAMS):
        program = f"p{number}"
        key = CallKey(account="a", program=program, request_id="1")
        placed = assignment.Placed(key, servers.Server(report, reported_ms=0))
        caller = _entry(99, "ch-nord")
        choice = grants.logged_choice(placed, caller, entries, priority=0)
        relays[program] = choice.dispatcher
    return relays


class RelayTest(base.TestCase):
    """Choice of the entry that relays calls in the server's region."""

    def test_programs_spread_over_the_entries_of_the_region(self) -> None:
        entries = [_entry(number, "ch-west") for number in range(3)]
        entries.append(_entry(7, "ch-nord"))
        counts = collections.Counter(_relays(entries).values())
        self.assertEqual({e.address for e in entries[:3]}, set(counts))
        self.assertGreater(min(counts.values()), _PROGRAMS // 6)

    def test_only_the_programs_of_a_lost_entry_move(self) -> None:
        """Guards against programs that move after the loss of another entry.

        Programs that the lost entry did not relay stay with the entry that has
        their history, which is not sent between regions again.
        """
        entries = [_entry(number, "ch-west") for number in range(3)]
        before = _relays(entries)
        lost = entries.pop(1)
        after = _relays(entries)
        for program, relay in before.items():
            if relay != lost.address:
                self.assertEqual(relay, after[program])
