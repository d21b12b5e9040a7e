"""Prefix cache of a fake engine, and the account of what it wasted."""

from __future__ import annotations

import collections
import dataclasses


@dataclasses.dataclass(eq=False)
class Segment:
    """What one turn adds to a context; all engines know the same segments.

    Attributes:
        program: id of the program, empty for a prompt that many share.
        tokens: size, in tokens.
        fills: how often engines have computed it.
        wasted: how many of these fills were in vain.
    """

    program: str
    tokens: int
    fills: int = 0
    wasted: int = 0


@dataclasses.dataclass
class Waste:
    """Tokens that entered the engines' memory, and those in vain.

    A fill is in vain when it was evicted before any reuse, or when the same
    prefix had to be computed again. Each fill counts once at most.
    """

    filled_tokens: int = 0
    wasted_tokens: int = 0
    recomputed_tokens: int = 0

    def filled(self, segment: Segment, tokens: int, again: bool) -> None:
        """Counts a fill; `again` where an earlier one is computed anew."""
        self.filled_tokens += tokens
        if again:
            self.recomputed_tokens += tokens
            if segment.wasted < segment.fills:
                self._waste(segment, tokens)
        segment.fills += 1

    def evicted(self, segment: Segment, reused: bool) -> None:
        """Counts an eviction."""
        if not reused and segment.wasted < segment.fills:
            self._waste(segment, segment.tokens)

    def _waste(self, segment: Segment, tokens: int) -> None:
        segment.wasted += 1
        self.wasted_tokens += tokens


@dataclasses.dataclass(eq=False)
class _Copy:
    segment: Segment
    tokens: int
    pins: int = 0
    reused: bool = False


class PrefixCache:
    """Limited memory with eviction of what was used longest ago."""

    def __init__(self, limit_tokens: int, waste: Waste) -> None:
        self._limit = limit_tokens
        self._waste = waste
        self._copies: collections.OrderedDict[Segment, _Copy] = (
            collections.OrderedDict()
        )
        self._used = 0

    def cached(self, chain: list[Segment]) -> int:
        """Returns how many leading segments of `chain` are held."""
        for count, segment in enumerate(chain):
            if segment not in self._copies:
                return count
        return len(chain)

    def admit(self, chain: list[Segment], extra_tokens: int) -> int | None:
        """Pins a chain and makes room for the rest of it.

        Args:
            chain: the whole context; its last segment is new.
            extra_tokens: what will be generated.

        Returns:
            The tokens to compute, or None where there is no room.
        """
        hits = self.cached(chain)
        for segment in chain[:hits]:
            self._copies[segment].pins += 1
        missing = chain[hits:]
        tokens = sum(segment.tokens for segment in missing)
        if not self._make_room(tokens + extra_tokens):
            for segment in chain[:hits]:
                self._copies[segment].pins -= 1
            return None
        for segment in chain[:hits]:
            self._copies[segment].reused = True
        for segment in missing:
            again = segment.fills > 0
            self._waste.filled(segment, segment.tokens, again)
            self._copies[segment] = _Copy(segment, segment.tokens, pins=1)
        self._used += tokens + extra_tokens
        return tokens

    def finish(self, chain: list[Segment], generated: int) -> None:
        """Unpins a chain whose last segment grew by what was generated."""
        last = self._copies[chain[-1]]
        last.tokens += generated
        self._waste.filled_tokens += generated
        # The deepest segment is touched first, so that it also goes first.
        for segment in reversed(chain):
            self._copies[segment].pins -= 1
            self._copies.move_to_end(segment)

    def release(self, chain: list[Segment]) -> None:
        """Frees what a program that has ended holds."""
        for segment in chain:
            copy = self._copies.get(segment)
            if copy is not None and segment.program and not copy.pins:
                self._used -= copy.tokens
                del self._copies[segment]

    def held(self) -> set[str]:
        """Returns the ids of the programs that have something here."""
        return {segment.program for segment in self._copies}

    def _make_room(self, tokens: int) -> bool:
        if self._used + tokens <= self._limit:
            return True
        victims = []
        freed = 0
        for copy in self._copies.values():
            if not copy.pins:
                victims.append(copy)
                freed += copy.tokens
                if self._used - freed + tokens <= self._limit:
                    break
        else:
            return False
        for copy in victims:
            self._used -= copy.tokens
            del self._copies[copy.segment]
            self._waste.evicted(copy.segment, copy.reused)
        return True
