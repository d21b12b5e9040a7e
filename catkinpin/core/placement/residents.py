"""Which programs' prefixes a server is thought to hold, and which are active.

The engine's own reports come late and with gaps, so the ledger starts from
what was sent to the server and takes reports only as corrections.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from catkinpin.core.messages import ProgramKey

# One report may omit a prefix by a gap; two in a row mean an eviction.
_MISSED_REPORTS = 2


@dataclasses.dataclass
class Resident:
    """A program's prefix on a server.

    Attributes:
        tokens: size of what the server computed for the program itself.
        cached: whether the server is thought to hold it still.
        used_ms: when a call of the program last began or ended there.
        running: calls of the program that run there.
        missed: reports in a row that did not show the prefix.
    """

    tokens: int
    last_used_ms: int
    cached: bool = True
    running: int = 0
    missed_reports: int = 0


class Residents:
    """The programs of one server, active ones apart from idle ones.

    Attributes:
        active_tokens: memory that the active programs need.
    """

    def __init__(self) -> None:
        # Both in order of last use, the oldest first.
        self._active: collections.OrderedDict[ProgramKey, Resident] = (
            collections.OrderedDict()
        )
        self._idle: collections.OrderedDict[ProgramKey, Resident] = (
            collections.OrderedDict()
        )
        self.active_tokens = 0
        self._idle_tokens = 0

    def __len__(self) -> int:
        return len(self._active)

    def is_active(self, key: ProgramKey) -> bool:
        """Returns whether room is kept for the program."""
        return key in self._active

    def cached_tokens(self, key: ProgramKey) -> int:
        """Returns the tokens of the program that are thought to be held."""
        found = self._active.get(key) or self._idle.get(key)
        return found.tokens if found is not None and found.cached else 0

    def start_call(self, key: ProgramKey, tokens: int, now_ms: int) -> None:
        """Notes a call that was granted with a context of `tokens`."""
        resident = self._pop(key) or Resident(tokens, now_ms)
        resident.tokens = max(tokens, resident.tokens)
        resident.running += 1
        resident.cached = True
        self._add_active(key, resident, now_ms)

    def end_call(self, key: ProgramKey, tokens: int, now_ms: int) -> None:
        """Notes that a call has ended, with a context of `tokens` if known."""
        resident = self._pop(key)
        if resident is None:
            return
        resident.tokens = tokens or resident.tokens
        resident.running = max(0, resident.running - 1)
        self._add_active(key, resident, now_ms)

    def deactivate(self, key: ProgramKey) -> None:
        """Keeps no room for a program any more; its prefix may stay."""
        resident = self._pop(key)
        if resident is not None:
            self._idle[key] = resident
            self._idle_tokens += resident.tokens

    def remove(self, key: ProgramKey) -> None:
        """Forgets a program that has ended."""
        self._pop(key)

    def expire_idle(self, now_ms: int, hold_ms: int, cache_tokens: int) -> None:
        """Stops keeping room for programs that have paused for long.

        Their prefixes stay until the engine needs the memory: those used
        longest ago count as evicted once all would not fit any more.
        """
        while self._active:
            key = next(iter(self._active))
            resident = self._active[key]
            if now_ms - resident.last_used_ms < hold_ms:
                break
            if resident.running:
                # It counts as used now, so that it is not met at each call.
                self._active.move_to_end(key)
                resident.last_used_ms = now_ms
            else:
                self.deactivate(key)
        self._shed(cache_tokens)
        while self._idle and (
            self.active_tokens + self._idle_tokens > cache_tokens
        ):
            self._pop(next(iter(self._idle)))

    def _shed(self, cache_tokens: int) -> None:
        """Keeps no room for what the engine must evict to serve the others.

        Contexts grow past what was there when their programs were admitted.
        Were all still let in, each turn would evict another's prefix; so the
        one unused for longest, which the engine evicts first, has to wait.
        """
        while self.active_tokens > cache_tokens:
            for key, resident in self._active.items():
                if not resident.running:
                    self.deactivate(key)
                    break
            else:
                return

    def reconcile(self, held: Iterable[str], made_ms: int) -> None:
        """Takes the engine's own list of what it holds at `made_ms`.

        A prefix that the engine has evicted would otherwise draw its program
        back to a server that has to compute it anew.
        """
        names = set(held)
        for table in (self._active, self._idle):
            for key, resident in table.items():
                if resident.running or resident.last_used_ms >= made_ms:
                    continue
                if f"{key.account}/{key.program}" in names:
                    resident.missed_reports = 0
                    resident.cached = True
                    continue
                resident.missed_reports += 1
                if resident.missed_reports >= _MISSED_REPORTS:
                    resident.cached = False

    def record_cache_event(self, key: ProgramKey, held_tokens: int) -> None:
        """Notes an engine's event: so much of a program is held now."""
        resident = self._active.get(key) or self._idle.get(key)
        if resident is not None and not resident.running:
            resident.cached = held_tokens > 0
            resident.missed_reports = 0

    def active_programs(self) -> list[tuple[ProgramKey, Resident]]:
        """Returns the active programs, the longest unused first."""
        return list(self._active.items())

    def _pop(self, key: ProgramKey) -> Resident | None:
        resident = self._active.pop(key, None)
        if resident is not None:
            self.active_tokens -= resident.tokens
            return resident
        resident = self._idle.pop(key, None)
        if resident is not None:
            self._idle_tokens -= resident.tokens
        return resident

    def _add_active(
        self, key: ProgramKey, resident: Resident, now_ms: int
    ) -> None:
        resident.last_used_ms = now_ms
        resident.missed_reports = 0
        self._active[key] = resident
        self.active_tokens += resident.tokens
