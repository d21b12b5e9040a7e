"""Decides which server incarnations crashed, and releases server memory."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from catkinpin.core import messages
from catkinpin.core.placement.servers import SILENT_AFTER_MS
from catkinpin.core.programs import records, sharding
from catkinpin.core.programs.commands import Command, EntryRef, Propose, Send

if TYPE_CHECKING:
    from collections.abc import Callable

    from catkinpin.core.messages import ServerReport
    from catkinpin.core.programs.shard import Shard

# A report made this long after a connection broke proves that the server is
# still running. The margin covers the rounding of the reports' ages.
_REPORT_AGE_ERROR_MS = 50
_RELEASE_INTERVAL_MS = 1_000
_MAX_PROGRAMS_PER_ORDER = 64
_COMPARE_INTERVAL_MS = 2_000


@dataclasses.dataclass
class _LastReport:
    """The last report of a server.

    Attributes:
        made_ms: when it was made, on this process's monotonic clock.
        ordered_ms: when the last order to release memory was sent.
        compared_ms: when the programs that the server holds were last
            compared with those of the shard.
    """

    report: ServerReport
    made_ms: int
    ordered_ms: int = -_RELEASE_INTERVAL_MS
    compared_ms: int = -_COMPARE_INTERVAL_MS


class Incarnations:
    """Finds crashed servers, and lets servers drop caches of ended programs.

    Args:
        state: the shard's state, which is only read.
        account_exists: returns whether the configuration has an account with
            the name given to it.
    """

    def __init__(
        self, state: Shard, account_exists: Callable[[str], bool]
    ) -> None:
        self._shard = state
        self._account_exists = account_exists
        self._servers: dict[str, _LastReport] = {}
        self._broken_at_ms: dict[tuple[str, str], int] = {}
        self._next_entry = 0

    def handle_report(self, report: ServerReport, made_ms: int) -> None:
        """Keeps a server's report unless it is older than the last one."""
        known = self._servers.get(report.server)
        if known is None:
            self._servers[report.server] = _LastReport(report, made_ms)
        elif made_ms >= known.made_ms:
            known.report = report
            known.made_ms = made_ms

    def resolve_strikes(self, now_ms: int, wall_ms: int) -> list[Command]:
        """Proposes whether incarnations with open strikes have crashed."""
        broken_at_ms: dict[tuple[str, str], int] = {}
        commands: list[Command] = []
        for strike in self._shard.quarantine.open_strikes():
            server_incarnation = (strike.server, strike.incarnation)
            broke_ms = self._broken_at_ms.get(server_incarnation, now_ms)
            broken_at_ms[server_incarnation] = broke_ms
            crashed = self._has_crashed(server_incarnation, broke_ms, now_ms)
            if crashed is not None:
                record = records.IncarnationEnded(
                    at_ms=wall_ms,
                    server=strike.server,
                    incarnation=strike.incarnation,
                    crashed=crashed,
                )
                commands.append(Propose(record))
        self._broken_at_ms = broken_at_ms
        return commands

    def _has_crashed(
        self, server_incarnation: tuple[str, str], broke_ms: int, now_ms: int
    ) -> bool | None:
        """Returns whether an incarnation has crashed, None if not yet known."""
        last = self._servers.get(server_incarnation[0])
        if last is None:
            silent_since = broke_ms
        elif last.report.incarnation != server_incarnation[1]:
            return True
        elif last.made_ms > broke_ms + _REPORT_AGE_ERROR_MS:
            return False
        else:
            silent_since = max(last.made_ms, broke_ms)
        return True if now_ms - silent_since > SILENT_AFTER_MS else None

    def release_orders(
        self, entries: list[EntryRef], now_ms: int, wall_ms: int
    ) -> list[Command]:
        """Returns orders to release memory, sent by entries in the region.

        Args:
            entries: the connected entries.
            now_ms: monotonic time.
            wall_ms: wall time.
        """
        commands: list[Command] = []
        for server in self._shard.outbox.servers():
            last = self._servers.get(server)
            if last is None:
                continue
            server_incarnation = last.report.incarnation
            orders = self._shard.outbox.pending(server)
            if any(order.incarnation != server_incarnation for order in orders):
                # A new incarnation starts with empty memory.
                record = records.MemoryReleased(
                    at_ms=wall_ms,
                    server=server,
                    incarnation=server_incarnation,
                    empty=True,
                )
                commands.append(Propose(record))
                continue
            names = [order.program for order in orders]
            commands += self._release_order(last, names, entries, now_ms)
        for last in self._servers.values():
            commands += self._release_unused(last, entries, now_ms)
        return commands

    def _release_unused(
        self, last: _LastReport, entries: list[EntryRef], now_ms: int
    ) -> list[Command]:
        """Orders the release of programs that a server holds unnecessarily.

        A server holds them if an order was lost with the shard's state, or if
        an attempt went on after its program had been released.
        """
        due = now_ms - last.compared_ms >= _COMPARE_INTERVAL_MS
        if not due or not last.report.held:
            return []
        last.compared_ms = now_ms
        unused = [name for name in last.report.held if self._is_unused(name)]
        return self._release_order(last, unused, entries, now_ms)

    def _is_unused(self, name: str) -> bool:
        """Returns whether a program of this shard has ended or is unknown."""
        key = self._parse_program_name(name)
        if key is None:
            return False
        if sharding.group_of(key, self._shard.shard_count) != self._shard.name:
            return False
        known = self._shard.programs.get(key)
        return known is None or (known.ended and not known.open)

    def _parse_program_name(self, name: str) -> messages.ProgramKey | None:
        """Returns the key of the program that an engine calls `name`, or None.

        Names of accounts and of programs may both contain slashes. If a name
        were split at the wrong one, a live program would look unknown and
        lose its cache again and again, so an ambiguous name gives None.
        """
        keys = [
            messages.ProgramKey(account=name[:at], program=name[at + 1 :])
            for at, letter in enumerate(name)
            if letter == "/"
        ]
        known = [key for key in keys if self._account_exists(key.account)]
        if len(known) > 1:
            return None
        return next(iter(known or keys), None)

    def _release_order(
        self,
        last: _LastReport,
        names: list[str],
        entries: list[EntryRef],
        now_ms: int,
    ) -> list[Command]:
        """Returns an order to a server, unless one was sent just before."""
        if not names or now_ms - last.ordered_ms < _RELEASE_INTERVAL_MS:
            return []
        region = last.report.region
        in_region = [e for e in entries if not region or e.region == region]
        if not in_region:
            return []
        last.ordered_ms = now_ms
        # Each order takes another entry, as one may not reach the server.
        self._next_entry += 1
        entry = in_region[self._next_entry % len(in_region)]
        report = last.report
        order = messages.OrderRelease(
            group=self._shard.name,
            server=messages.ServerRef(
                server=report.server,
                incarnation=report.incarnation,
                address=report.address,
                region=report.region,
            ),
            programs=names[:_MAX_PROGRAMS_PER_ORDER],
        )
        return [Send(entry, order)]
