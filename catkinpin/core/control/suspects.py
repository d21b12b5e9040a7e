"""Requests that were running on servers when these crashed.

A crash is a strike against each request that was running on the server, whether
it is at fault or not. Strikes are kept in the log of the control group, because
the next crash may come after a change of the leader. An answer of any server
clears the request: from then on it has no strikes.

A request is known by two digests. The shared digest covers what does not depend
on the program, so that a request is recognized when another program sends it.
The content digest covers the program as well. If other programs get answers to
requests with the same shared digest, only the content digest stays suspect.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from msgspec import structs

from catkinpin.codec import Message

if TYPE_CHECKING:
    from collections.abc import Container, Iterable

# Crashes after which a request is quarantined if it alone explains them.
MAX_CRASHES = 2
# Crashes after which it is quarantined even if other requests ran beside it
# each time.
_MAX_SHARED_CRASHES = 3
# Limits of what is kept. A crash gives some tens of strikes.
_MAX_STRIKES = 1_024
_MAX_EXPLAINED = 1_024


class Strike(Message, frozen=True):
    """A server crashed while a request was running there.

    Attributes:
        shared: digest that does not depend on the program, in hex.
        content: digest that covers the program as well, in hex.
        server: identity of the server's incarnation.
        is_shared_cleared: whether another program has got an answer since.
    """

    shared: str
    content: str
    server: str
    is_shared_cleared: bool = False

    @property
    def suspect(self) -> str:
        """Digest of the request that is suspected of this crash."""
        return self.content if self.is_shared_cleared else self.shared


class AnsweredRequest(Message, frozen=True):
    """A server answered a suspected request without a crash.

    Attributes:
        shared: digest that does not depend on the program, in hex.
        content: digest that covers the program as well, in hex.
    """

    shared: str
    content: str


class Suspects:
    """Strikes of requests, and which of them must be quarantined.

    Attributes:
        revision: grows with each change of the strikes.
    """

    def __init__(self) -> None:
        self.revision = 0
        self._strikes: list[Strike] = []
        # Crashed incarnations whose cause is known, oldest first.
        self._explained: dict[str, None] = {}

    @property
    def strikes(self) -> list[Strike]:
        """The strikes, oldest first."""
        return list(self._strikes)

    @property
    def explained(self) -> list[str]:
        """Crashed incarnations whose cause is known, oldest first."""
        return list(self._explained)

    def restore(
        self, strikes: Iterable[Strike], explained: Iterable[str]
    ) -> None:
        """Replaces all strikes by those of a snapshot."""
        self.revision += 1
        self._strikes = list(strikes)
        self._explained = dict.fromkeys(explained)

    def crash_counts(self) -> dict[str, int]:
        """Returns the number of crashes of each suspect, by digest."""
        servers = self._servers_by_suspect()
        return {suspect: len(crashed) for suspect, crashed in servers.items()}

    def add(self, strike: Strike, quarantined: Container[str]) -> None:
        """Adds a strike, unless the cause of the crash is known.

        A late report of a quarantined request tells the cause of its crash.

        Args:
            strike: the strike; a repeated report of it changes nothing.
            quarantined: digests of the quarantined requests.
        """
        if strike.shared in quarantined or strike.content in quarantined:
            self._explain({strike.server})
        if strike.server in self._explained:
            return
        if any(_is_same(strike, known) for known in self._strikes):
            return
        self.revision += 1
        self._strikes.append(strike)
        del self._strikes[:-_MAX_STRIKES]

    def clear(self, answered: AnsweredRequest) -> None:
        """Clears an answered request, but not that of other programs."""
        self.revision += 1
        self._strikes = [
            structs.replace(strike, is_shared_cleared=True)
            if strike.shared == answered.shared
            else strike
            for strike in self._strikes
            if strike.content != answered.content
        ]

    def find_causes(self) -> list[str]:
        """Returns the digests of the suspects that must be quarantined.

        A request that was running during two crashes may have been there by
        chance. So no other suspect may have been running during the same
        crashes, unless there were three of them.
        """
        servers = {
            suspect: crashed
            for suspect, crashed in self._servers_by_suspect().items()
            if len(crashed) >= MAX_CRASHES
        }
        causes = []
        for suspect, crashed in servers.items():
            others = [s for d, s in servers.items() if d != suspect]
            if any(crashed < other for other in others):
                continue
            is_sole = not any(crashed == other for other in others)
            if is_sole or len(crashed) >= _MAX_SHARED_CRASHES:
                causes.append(suspect)
        return causes

    def explain(self, causes: Iterable[str]) -> None:
        """Drops the strikes of all crashes that the given requests caused."""
        servers = self._servers_by_suspect()
        for cause in causes:
            self._explain(servers.get(cause, set()))

    def _explain(self, crashed: set[str]) -> None:
        self.revision += 1
        self._explained.update(dict.fromkeys(sorted(crashed)))
        while len(self._explained) > _MAX_EXPLAINED:
            del self._explained[next(iter(self._explained))]
        self._strikes = [s for s in self._strikes if s.server not in crashed]

    def _servers_by_suspect(self) -> dict[str, set[str]]:
        servers = collections.defaultdict(set)
        for strike in self._strikes:
            servers[strike.suspect].add(strike.server)
        return servers


def _is_same(strike: Strike, other: Strike) -> bool:
    return (strike.content, strike.server) == (
        other.content,
        other.server,
    )
