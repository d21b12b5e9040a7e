"""Tracks the program prefixes that a server is assumed to have cached.

The engine's reports are late and incomplete. The state is therefore derived
from the calls sent to the server, and reports only correct it.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from catkinpin.core.messages import ProgramKey

# Consecutive reports without a prefix that mean an eviction. A single report
# may be incomplete.
_MISSED_REPORTS_FOR_EVICTION = 2


@dataclasses.dataclass
class Resident:
    """A program's prefix on a server.

    Attributes:
        tokens: Tokens that the server computed for this program alone.
        last_used_ms: Time at which a call of the program last began or ended.
        cached: Whether the server is assumed to have the prefix cached.
        running: Running calls of the program on the server.
        missed_reports: Consecutive reports that did not contain the prefix.
    """

    tokens: int
    last_used_ms: int
    cached: bool = True
    running: int = 0
    missed_reports: int = 0


class Residents:
    """The active and idle programs of one server.

    Memory is reserved for active programs. The prefixes of idle programs may
    be evicted.

    Attributes:
        active_tokens: Memory that the active programs need, in tokens.
    """

    def __init__(self) -> None:
        # Both are in order of last use, the oldest first.
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
        """Returns whether memory is reserved for the program."""
        return key in self._active

    def cached_tokens(self, key: ProgramKey) -> int:
        """Returns the program's tokens that are assumed to be cached."""
        resident = self._active.get(key) or self._idle.get(key)
        return (
            resident.tokens if resident is not None and resident.cached else 0
        )

    def start_call(self, key: ProgramKey, tokens: int, now_ms: int) -> None:
        """Records a granted call with a context of `tokens`."""
        resident = self._pop(key) or Resident(tokens, now_ms)
        resident.tokens = max(tokens, resident.tokens)
        resident.running += 1
        resident.cached = True
        self._add_active(key, resident, now_ms)

    def end_call(self, key: ProgramKey, tokens: int, now_ms: int) -> None:
        """Records the end of a call; `tokens` is its context, 0 if unknown."""
        resident = self._pop(key)
        if resident is None:
            return
        resident.tokens = tokens or resident.tokens
        resident.running = max(0, resident.running - 1)
        self._add_active(key, resident, now_ms)

    def deactivate(self, key: ProgramKey) -> None:
        """Releases a program's memory reservation but not its prefix."""
        resident = self._pop(key)
        if resident is not None:
            self._idle[key] = resident
            self._idle_tokens += resident.tokens

    def remove(self, key: ProgramKey) -> None:
        """Removes a program that has ended."""
        self._pop(key)

    def expire_idle(self, now_ms: int, hold_ms: int, cache_tokens: int) -> None:
        """Releases the reservations of programs that have paused for long.

        Their prefixes stay until the engine needs the memory: the least
        recently used count as evicted once the total exceeds the cache.

        Args:
            now_ms: Monotonic time.
            hold_ms: Pause after which a program loses its reservation.
            cache_tokens: Size of the cache.
        """
        while self._active:
            key = next(iter(self._active))
            resident = self._active[key]
            if now_ms - resident.last_used_ms < hold_ms:
                break
            if resident.running:
                # Marked as used now, so that later scans do not meet it again.
                self._active.move_to_end(key)
                resident.last_used_ms = now_ms
            else:
                self.deactivate(key)
        self._deactivate_overflow(cache_tokens)
        while self._idle and (
            self.active_tokens + self._idle_tokens > cache_tokens
        ):
            self._pop(next(iter(self._idle)))

    def _deactivate_overflow(self, cache_tokens: int) -> None:
        """Deactivates programs until the active ones fit in the cache.

        Contexts grow after their programs were admitted. If all stayed active,
        each turn would evict the prefix of another program. The least recently
        used program, which the engine evicts first, therefore has to wait.
        """
        while self.active_tokens > cache_tokens:
            for key, resident in self._active.items():
                if not resident.running:
                    self.deactivate(key)
                    break
            else:
                return

    def reconcile(self, held: Iterable[str], made_ms: int) -> None:
        """Applies the engine's list of the prefixes that it held at `made_ms`.

        Otherwise an evicted prefix would attract its program to a server that
        has to prefill it again.
        """
        held_names = set(held)
        for table in (self._active, self._idle):
            for key, resident in table.items():
                if resident.running or resident.last_used_ms >= made_ms:
                    continue
                if f"{key.account}/{key.program}" in held_names:
                    resident.missed_reports = 0
                    resident.cached = True
                    continue
                resident.missed_reports += 1
                if resident.missed_reports >= _MISSED_REPORTS_FOR_EVICTION:
                    resident.cached = False

    def record_cache_event(self, key: ProgramKey, held_tokens: int) -> None:
        """Applies an engine's event: `held_tokens` of a program are cached."""
        resident = self._active.get(key) or self._idle.get(key)
        if resident is not None and not resident.running:
            resident.cached = held_tokens > 0
            resident.missed_reports = 0

    def active_programs(self) -> list[tuple[ProgramKey, Resident]]:
        """Returns the active programs, the least recently used first."""
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
