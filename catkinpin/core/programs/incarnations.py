"""Server incarnations: which have crashed, and what memory to release."""

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

# Reports made this long after a break prove that the server outlived it; the
# bound covers the rounding of the reports' ages.
_MARGIN_MS = 50
_RELEASE_EVERY_MS = 1_000
_RELEASE_BATCH = 64
_COMPARE_EVERY_MS = 2_000


@dataclasses.dataclass
class _Seen:
    """The last report of a server.

    Attributes:
        made_ms: when it was made, on our monotonic clock.
        ordered_ms: when the last order of release went out.
        compared_ms: when the held programs were last compared.
    """

    report: ServerReport
    made_ms: int
    ordered_ms: int = -_RELEASE_EVERY_MS
    compared_ms: int = -_COMPARE_EVERY_MS


class Incarnations:
    """Decides which incarnations of servers are over, and empties their memory.

    Args:
        state: the shard's state, only read here.
        is_account: whether the configuration has an account of this name.
    """

    def __init__(self, state: Shard, is_account: Callable[[str], bool]) -> None:
        self._shard = state
        self._is_account = is_account
        self._servers: dict[str, _Seen] = {}
        self._breaks: dict[tuple[str, str], int] = {}
        self._turn = 0

    def handle_report(self, report: ServerReport, made_ms: int) -> None:
        """Takes a server's report; an older one is dropped."""
        known = self._servers.get(report.server)
        if known is None:
            self._servers[report.server] = _Seen(report, made_ms)
        elif made_ms >= known.made_ms:
            known.report = report
            known.made_ms = made_ms

    def decide(self, now_ms: int, wall_ms: int) -> list[Command]:
        """Returns records about incarnations that are now decided."""
        found: dict[tuple[str, str], int] = {}
        commands: list[Command] = []
        for strike in self._shard.quarantine.open_strikes():
            server_incarnation = (strike.server, strike.incarnation)
            broke_ms = self._breaks.get(server_incarnation, now_ms)
            found[server_incarnation] = broke_ms
            crashed = self._crashed(server_incarnation, broke_ms, now_ms)
            if crashed is not None:
                record = records.IncarnationEnded(
                    at_ms=wall_ms,
                    server=strike.server,
                    incarnation=strike.incarnation,
                    crashed=crashed,
                )
                commands.append(Propose(record))
        self._breaks = found
        return commands

    def _crashed(
        self, server_incarnation: tuple[str, str], broke_ms: int, now_ms: int
    ) -> bool | None:
        """Returns whether an incarnation is over, None while that is open."""
        seen = self._servers.get(server_incarnation[0])
        if seen is None:
            silent_since = broke_ms
        elif seen.report.incarnation != server_incarnation[1]:
            return True
        elif seen.made_ms > broke_ms + _MARGIN_MS:
            return False
        else:
            silent_since = max(seen.made_ms, broke_ms)
        return True if now_ms - silent_since > SILENT_AFTER_MS else None

    def releases(
        self, entries: list[EntryRef], now_ms: int, wall_ms: int
    ) -> list[Command]:
        """Returns orders to release memory, through entries near the server.

        Args:
            entries: those that are connected.
            now_ms: monotonic time.
            wall_ms: wall time.
        """
        commands: list[Command] = []
        for server in self._shard.outbox.servers():
            seen = self._servers.get(server)
            if seen is None:
                continue
            server_incarnation = seen.report.incarnation
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
            commands += self._order(seen, names, entries, now_ms)
        for seen in self._servers.values():
            commands += self._compare(seen, entries, now_ms)
        return commands

    def _compare(
        self, seen: _Seen, entries: list[EntryRef], now_ms: int
    ) -> list[Command]:
        """Orders the release of what a server holds and nobody uses.

        Such memory is left where an order was lost with the state, or where
        an attempt went on after its program had been released.
        """
        due = now_ms - seen.compared_ms >= _COMPARE_EVERY_MS
        if not due or not seen.report.held:
            return []
        seen.compared_ms = now_ms
        unknown = [name for name in seen.report.held if self._is_over(name)]
        return self._order(seen, unknown, entries, now_ms)

    def _is_over(self, name: str) -> bool:
        """Returns whether `name` is a program of this shard that is gone."""
        key = self._key_of(name)
        if key is None:
            return False
        if sharding.group_of(key, self._shard.shards) != self._shard.name:
            return False
        known = self._shard.programs.get(key)
        return known is None or (known.ended and not known.open)

    def _key_of(self, name: str) -> messages.ProgramKey | None:
        """Returns the program that an engine calls `name`, or None.

        Accounts and programs may both have slashes in their names. Read
        wrongly, a live program would look like one that nobody knows, and
        would lose its cache again and again; so a doubtful name is left.
        """
        keys = [
            messages.ProgramKey(account=name[:at], program=name[at + 1 :])
            for at, letter in enumerate(name)
            if letter == "/"
        ]
        known = [key for key in keys if self._is_account(key.account)]
        if len(known) > 1:
            return None
        return next(iter(known or keys), None)

    def _order(
        self,
        seen: _Seen,
        names: list[str],
        entries: list[EntryRef],
        now_ms: int,
    ) -> list[Command]:
        if not names or now_ms - seen.ordered_ms < _RELEASE_EVERY_MS:
            return []
        region = seen.report.region
        near = [e for e in entries if not region or e.region == region]
        if not near:
            return []
        seen.ordered_ms = now_ms
        # Another entry at each try: one may not reach the server.
        self._turn += 1
        entry = near[self._turn % len(near)]
        report = seen.report
        order = messages.OrderRelease(
            group=self._shard.name,
            server=messages.ServerRef(
                server=report.server,
                incarnation=report.incarnation,
                address=report.address,
                region=report.region,
            ),
            programs=names[:_RELEASE_BATCH],
        )
        return [Send(entry, order)]
