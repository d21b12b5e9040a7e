"""Decides on a leading keeper which requests are quarantined."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from catkinpin import decisions
from catkinpin.adapters.keeper.host import Undecided
from catkinpin.core.control import state

if TYPE_CHECKING:
    from catkinpin.adapters.keeper.host import KeeperHost
    from catkinpin.clock import Clock
    from catkinpin.core.control.suspects import AnsweredRequest, Strike

# Time within which the gateways report a crash: some ms until they see that the
# server accepts no connection, and the way to the leader, also when busy.
_CRASH_REPORTS_MS = 200
# Time until all gateways know of a change: a message to the other keepers, and
# theirs to their gateways, between regions.
_RELAY_S = 0.03


class QuarantineDecider:
    """Records crashes and answers, and begins and ends quarantines.

    Args:
        host: proposes records to the control group.
        clock: the time source.
    """

    def __init__(self, host: KeeperHost, clock: Clock) -> None:
        self._host = host
        self._clock = clock
        # For each suspect with several crashes, their number and the time at
        # which this process first saw it.
        self._held_since_ms: dict[str, tuple[int, int]] = {}
        self._is_proposing = False
        # Revision of the suspects up to which all are judged.
        self._judged_revision = -1

    async def report_crash(
        self, strike: Strike, wait_s: float
    ) -> Undecided | None:
        """Records that a server crashed while it ran a request."""
        if not self._host.holds_lease():
            return Undecided("not the leader")
        decisions.note(
            "crash-report",
            "",
            content=strike.content,
            shared=strike.shared,
            path=strike.path,
            server=strike.server,
            began_ms=strike.began_ms,
            ended_ms=strike.ended_ms,
            quarantined=any(
                digest in self._host.state.quarantined
                for digest in strike.digests
            ),
        )
        outcome = await self._host.propose(
            state.Quarantine(
                contents=[], strikes=[strike], wall_ms=self._clock.wall_ms()
            ),
            wait_s,
        )
        if isinstance(outcome, Undecided):
            return outcome
        # The gateway answers its caller after this, which tries again at once
        # and must not be ahead of the change at the next gateway.
        await asyncio.sleep(_RELAY_S)
        return None

    async def clear_suspects(
        self, answered: list[AnsweredRequest], wait_s: float
    ) -> None:
        """Records that servers answered suspected requests."""
        decisions.note(
            "suspects-answered", "", contents=[r.content for r in answered]
        )
        body = state.Quarantine(contents=[], answered=answered)
        outcome = await self._host.propose(body, wait_s)
        if isinstance(outcome, Undecided):
            # The next answer to such a request is reported again.
            decisions.note("suspects-uncleared", "", reason=outcome.reason)

    async def update(self, wait_s: float) -> None:
        """Begins and ends quarantines; called in short intervals."""
        if self._is_proposing:
            return
        self._is_proposing = True
        try:
            await self._end_terms(wait_s)
            await self._quarantine_causes(wait_s)
        finally:
            self._is_proposing = False

    async def _end_terms(self, wait_s: float) -> None:
        """Ends the quarantines whose term is over, and drops old evidence."""
        wall_ms = self._clock.wall_ms()
        suspects = self._host.state.suspects
        lapsed = suspects.terms.due(wall_ms)
        if lapsed or suspects.is_outdated(wall_ms):
            body = state.Quarantine(contents=[], lapsed=lapsed, wall_ms=wall_ms)
            await self._host.propose(body, wait_s)

    async def _quarantine_causes(self, wait_s: float) -> None:
        """Quarantines the requests that must have crashed several servers.

        One crash may be a coincidence. After the second one the request's
        callers send it again, and each time it would crash another server.
        Gateways report a crash at different times, so the leader waits until
        it knows which other requests were running on the server.
        """
        suspects = self._host.state.suspects
        if suspects.revision == self._judged_revision:
            return
        counts = suspects.judged_counts()
        due = self._due_suspects(counts)
        if len(due) == len(self._held_since_ms):
            self._judged_revision = suspects.revision
        causes = [cause for cause in suspects.find_causes() if cause in due]
        if not causes:
            return
        decisions.note(
            "quarantine",
            "",
            contents=causes,
            crashes=[counts[cause] for cause in causes],
            on_trial=[cause in suspects.terms.trials for cause in causes],
            suspects=len(suspects.crash_counts()),
        )
        body = state.Quarantine(contents=causes, wall_ms=self._clock.wall_ms())
        await self._host.propose(body, wait_s)
        self._judged_revision = -1

    def _due_suspects(self, counts: dict[str, int]) -> set[str]:
        """Returns the suspects whose last crash all gateways have reported.

        Args:
            counts: number of crashes, by suspect.
        """
        now_ms = self._clock.now_ms()
        held_before, self._held_since_ms = self._held_since_ms, {}
        for suspect, count in counts.items():
            since = held_before.get(suspect, (0, 0))
            self._held_since_ms[suspect] = (
                since if since[0] == count else (count, now_ms)
            )
        return {
            suspect
            for suspect, (_, since_ms) in self._held_since_ms.items()
            if now_ms - since_ms >= _CRASH_REPORTS_MS
        }
