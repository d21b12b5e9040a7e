"""Prefix cache of a simulated engine, and its count of wasted tokens."""

from __future__ import annotations

import collections
import dataclasses


@dataclasses.dataclass(eq=False)
class Segment:
    """The tokens that one turn adds to a context.

    Engines share segment objects, so that the counters cover all engines.

    Attributes:
        program: id of the program; empty for the shared system prompt.
        tokens: number of tokens.
        fill_count: how many times engines have computed the segment.
        wasted_fill_count: how many of these fills were wasted.
    """

    program: str
    tokens: int
    fill_count: int = 0
    wasted_fill_count: int = 0


@dataclasses.dataclass
class CacheWaste:
    """Counts the tokens that entered the caches and those that were wasted.

    A fill is wasted if it was evicted before any reuse or if the same prefix
    had to be computed again. Each fill counts as wasted at most once.
    """

    filled_tokens: int = 0
    wasted_tokens: int = 0
    recomputed_tokens: int = 0

    def record_fill(
        self, segment: Segment, tokens: int, recomputed: bool
    ) -> None:
        """Counts a fill; `recomputed` if the segment was filled before."""
        self.filled_tokens += tokens
        if recomputed:
            self.recomputed_tokens += tokens
            if segment.wasted_fill_count < segment.fill_count:
                self._record_waste(segment, tokens)
        segment.fill_count += 1

    def record_eviction(self, segment: Segment, reused: bool) -> None:
        """Counts an evicted fill as wasted unless it was reused."""
        if not reused and segment.wasted_fill_count < segment.fill_count:
            self._record_waste(segment, segment.tokens)

    def _record_waste(self, segment: Segment, tokens: int) -> None:
        segment.wasted_fill_count += 1
        self.wasted_tokens += tokens


@dataclasses.dataclass(eq=False)
class _CachedSegment:
    segment: Segment
    tokens: int
    pins: int = 0
    reused: bool = False


class PrefixCache:
    """Prefix cache of limited size that evicts least recently used segments."""

    def __init__(self, limit_tokens: int, waste: CacheWaste) -> None:
        self._limit_tokens = limit_tokens
        self._waste = waste
        self._entries: collections.OrderedDict[Segment, _CachedSegment] = (
            collections.OrderedDict()
        )
        self._used_tokens = 0

    def cached_prefix_length(self, segments: list[Segment]) -> int:
        """Returns how many leading segments are in the cache."""
        for count, segment in enumerate(segments):
            if segment not in self._entries:
                return count
        return len(segments)

    def admit(self, segments: list[Segment], output_tokens: int) -> int | None:
        """Pins a context and reserves space for its missing part and output.

        Args:
            segments: the whole context; the last segment is new.
            output_tokens: number of tokens that will be generated.

        Returns:
            The number of tokens to compute, or None if there is no space.
        """
        hit_count = self.cached_prefix_length(segments)
        for segment in segments[:hit_count]:
            self._entries[segment].pins += 1
        missing = segments[hit_count:]
        tokens = sum(segment.tokens for segment in missing)
        if not self._evict_for(tokens + output_tokens):
            for segment in segments[:hit_count]:
                self._entries[segment].pins -= 1
            return None
        for segment in segments[:hit_count]:
            self._entries[segment].reused = True
        for segment in missing:
            recomputed = segment.fill_count > 0
            self._waste.record_fill(segment, segment.tokens, recomputed)
            self._entries[segment] = _CachedSegment(
                segment, segment.tokens, pins=1
            )
        self._used_tokens += tokens + output_tokens
        return tokens

    def finish(self, segments: list[Segment], output_tokens: int) -> None:
        """Unpins a context and adds the output to its last segment."""
        last = self._entries[segments[-1]]
        last.tokens += output_tokens
        self._waste.filled_tokens += output_tokens
        # Touches the last segment first, so that it is also evicted first: a
        # prefix stays longer than the segments that depend on it.
        for segment in reversed(segments):
            self._entries[segment].pins -= 1
            self._entries.move_to_end(segment)

    def release(self, segments: list[Segment]) -> None:
        """Drops the unpinned segments of a program that has ended."""
        for segment in segments:
            entry = self._entries.get(segment)
            if entry is not None and segment.program and not entry.pins:
                self._used_tokens -= entry.tokens
                del self._entries[segment]

    def programs(self) -> set[str]:
        """Returns the ids of the programs with segments in the cache."""
        return {segment.program for segment in self._entries}

    def _evict_for(self, tokens: int) -> bool:
        if self._used_tokens + tokens <= self._limit_tokens:
            return True
        evicted_entries = []
        freed = 0
        for entry in self._entries.values():
            if not entry.pins:
                evicted_entries.append(entry)
                freed += entry.tokens
                if self._used_tokens - freed + tokens <= self._limit_tokens:
                    break
        else:
            return False
        for entry in evicted_entries:
            self._used_tokens -= entry.tokens
            del self._entries[entry.segment]
            self._waste.record_eviction(entry.segment, entry.reused)
        return True
