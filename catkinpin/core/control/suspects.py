"""Requests that were running on servers when these crashed.

A crash is a strike against each request that was running on the server, whether
it is at fault or not. Strikes are kept in the log of the control group, because
the next crash may come after a change of the leader. An answer of any server
clears the request: from then on it has no strikes.

A request is known by three digests, because what it has in common with the
next one that crashes a server isn't known beforehand:

- The content digest covers the program. It is suspected alone once other
  programs got answers to requests with the same shared digest.
- The shared digest covers the body. It is suspected first.
- The path digest covers neither. It is suspected only if requests with
  different bodies crashed servers and no request on the path was answered.

What is quarantined is what the crashed servers' requests have in common, and
nothing wider. Crashes that came at the same time count as one: a request that
crashes each server that runs it also crashes the next one, and servers that
end together mostly do so for a reason of their own. All of it is bounded in
time: a crash is evidence for some minutes, a quarantine has a term, and after
it the next crash is enough to begin another one.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from msgspec import structs

from catkinpin.codec import Message
from catkinpin.core.crashruns import MAX_CRASHES, CrashedRun, count_in_turn
from catkinpin.core.terms import EVIDENCE_MS, Term, Terms

if TYPE_CHECKING:
    from collections.abc import Iterable

# Crashes after which it is quarantined even if other requests ran beside it
# each time.
_MAX_SHARED_CRASHES = 3
# Crashes after which a whole path is quarantined if it alone explains them.
_MAX_PATH_CRASHES = 3
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
        path: digest that does not depend on the body, in hex; empty from a
            gateway of the previous release.
        is_path_cleared: whether another request on the path has got an answer
            since.
        began_ms: wall time at which the request was sent to the server.
        ended_ms: wall time of the crash.
        is_repeat: whether the request was suspected when it was sent.
    """

    shared: str
    content: str
    server: str
    is_shared_cleared: bool = False
    path: str = ""
    is_path_cleared: bool = False
    began_ms: int = 0
    ended_ms: int = 0
    is_repeat: bool = False

    @property
    def digests(self) -> tuple[str, str, str]:
        """Digests of the request, the widest first."""
        return self.path, self.shared, self.content

    @property
    def suspect(self) -> str:
        """Digest of the request that is suspected of this crash."""
        return self.content if self.is_shared_cleared else self.shared


class AnsweredRequest(Message, frozen=True):
    """A server answered a suspected request without a crash.

    Attributes:
        shared: digest that does not depend on the program, in hex.
        content: digest that covers the program as well, in hex.
        path: digest that does not depend on the body, in hex; empty from a
            gateway of the previous release.
    """

    shared: str
    content: str
    path: str = ""


@dataclasses.dataclass
class _Path:
    """Crashes of the requests on one path, by the incarnations that crashed."""

    runs: dict[str, CrashedRun] = dataclasses.field(default_factory=dict)
    servers_by_body: dict[str, set[str]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(set)
    )
    is_proved: bool = False

    @property
    def is_suspect(self) -> bool:
        """Whether its next request may be harmful, whatever its body."""
        has_bodies = len(self.servers_by_body) > 1 and len(self.runs) > 1
        return self.is_proved or has_bodies

    @property
    def is_sole_cause(self) -> bool:
        """Whether it explains more crashes than any of its bodies."""
        return all(
            len(servers) < len(self.runs)
            for servers in self.servers_by_body.values()
        )


class Suspects:
    """Strikes of requests, and which of them must be quarantined.

    Attributes:
        revision: grows with each change of the strikes.
        terms: the quarantined requests, and those on trial.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.terms = Terms()
        self._strikes: list[Strike] = []
        # Strikes of quarantined requests. They tell which path is harmful.
        self._proved: list[Strike] = []
        # Crashed incarnations whose cause is known, oldest first.
        self._explained: dict[str, None] = {}

    @property
    def strikes(self) -> list[Strike]:
        """The strikes whose cause is not known, oldest first."""
        return list(self._strikes)

    @property
    def proved(self) -> list[Strike]:
        """The strikes of quarantined requests, oldest first."""
        return list(self._proved)

    @property
    def explained(self) -> list[str]:
        """Crashed incarnations whose cause is known, oldest first."""
        return list(self._explained)

    def restore(
        self,
        strikes: Iterable[Strike],
        explained: Iterable[str],
        proved: Iterable[Strike] = (),
        running: Iterable[Term] = (),
        trials: Iterable[Term] = (),
    ) -> None:
        """Replaces all strikes and terms by those of a snapshot."""
        self.revision += 1
        self.terms = Terms(running, trials)
        self._strikes = list(strikes)
        self._proved = list(proved)
        self._explained = dict.fromkeys(explained)

    def crash_counts(self) -> dict[str, int]:
        """Returns the number of crashes of each suspect, by digest."""
        runs = self._runs_by_suspect()
        counts = {
            suspect: count_in_turn(runs[suspect].values()) for suspect in runs
        }
        for digest, path in self._paths().items():
            if path.is_suspect:
                counts[digest] = count_in_turn(path.runs.values())
        # A request on trial had a crash before its term.
        for digest, trial_runs in self._runs_on_trial().items():
            counts[digest] = 1 + count_in_turn(trial_runs.values())
        return counts

    def judged_counts(self) -> dict[str, int]:
        """Returns the number of crashes of the suspects with enough of them.

        A suspect with so many crashes is quarantined unless other requests
        explain these as well.
        """
        return {
            digest: count_in_turn(runs.values())
            for digest, runs in self._candidates().items()
        }

    def add(self, strike: Strike) -> None:
        """Adds a strike, unless the cause of the crash is known.

        A late report of a quarantined request tells the cause of its crash. A
        repeated report changes nothing.
        """
        if any(digest in self.terms.running for digest in strike.digests):
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
            structs.replace(
                strike,
                is_shared_cleared=strike.is_shared_cleared
                or strike.shared == answered.shared,
                is_path_cleared=strike.is_path_cleared
                or strike.path == answered.path,
            )
            for strike in self._strikes
            if strike.content != answered.content
        ]
        self._proved = [
            strike
            for strike in self._proved
            if strike.path != answered.path and strike.shared != answered.shared
        ]

    def acquit(self, answered: AnsweredRequest) -> list[str]:
        """Ends the terms and trials of an answered request.

        A copy of it was under way when it was quarantined, or it is on trial.

        Returns:
            The digests that were quarantined.
        """
        digests = (answered.path, answered.shared, answered.content)
        return [digest for digest in digests if self.terms.acquit(digest)]

    def is_outdated(self, now_ms: int) -> bool:
        """Returns whether some of the evidence is too old to count."""
        since_ms = now_ms - EVIDENCE_MS
        strikes = (*self._strikes, *self._proved)
        return any(strike.ended_ms < since_ms for strike in strikes) or bool(
            self.terms.ended_trials(now_ms)
        )

    def drop_outdated(self, now_ms: int) -> None:
        """Drops the evidence that is too old to count.

        Args:
            now_ms: wall time of the leader.
        """
        since_ms = now_ms - EVIDENCE_MS
        self.revision += 1
        self._strikes = [s for s in self._strikes if s.ended_ms >= since_ms]
        self._proved = [s for s in self._proved if s.ended_ms >= since_ms]
        self.terms.end_trials(now_ms)

    def find_causes(self) -> list[str]:
        """Returns the digests of the suspects that must be quarantined.

        A request that was running during two crashes may have been there by
        chance. So no other suspect may have been running during the same
        crashes, unless there were three of them, nor during these and more. A
        path is quarantined only if nothing else explains its crashes. For a
        request on trial one crash is enough.
        """
        candidates = self._candidates()
        paths = self._paths()
        suspected = candidates | {
            digest: path.runs
            for digest, path in paths.items()
            if path.is_suspect and path.is_sole_cause
        }
        causes = []
        for suspect, runs in candidates.items():
            crashed = runs.keys()
            others = [r.keys() for d, r in suspected.items() if d != suspect]
            if any(crashed < other for other in others):
                continue
            tied = {
                other
                for other, other_runs in suspected.items()
                if other_runs.keys() == crashed
            }
            is_proved = suspect in self.terms.trials or (
                not any(digest in paths for digest in tied)
                and count_in_turn(runs.values()) >= _MAX_SHARED_CRASHES
            )
            if tied == {suspect} or is_proved:
                causes.append(suspect)
        return causes

    def explain(self, causes: Iterable[str]) -> None:
        """Drops the strikes of all crashes that the given requests caused."""
        paths = self._paths()
        runs = {**self._runs_by_suspect(), **self._runs_on_trial()}
        for cause in causes:
            crashed = (
                paths[cause].runs if cause in paths else runs.get(cause, {})
            )
            self._proved += [s for s in self._strikes if s.suspect == cause]
            # A quarantined path needs no further proof.
            self._proved = [s for s in self._proved if s.path != cause]
            self._explain(set(crashed))
        del self._proved[:-_MAX_STRIKES]

    def _explain(self, crashed: set[str]) -> None:
        self.revision += 1
        self._explained.update(dict.fromkeys(sorted(crashed)))
        while len(self._explained) > _MAX_EXPLAINED:
            del self._explained[next(iter(self._explained))]
        self._strikes = [s for s in self._strikes if s.server not in crashed]

    def _candidates(self) -> dict[str, dict[str, CrashedRun]]:
        """Returns the runs of the suspects that may have to be quarantined."""
        found = {
            suspect: runs
            for suspect, runs in self._runs_by_suspect().items()
            if count_in_turn(runs.values()) >= MAX_CRASHES
        }
        for digest, path in self._paths().items():
            is_due = count_in_turn(path.runs.values()) >= _MAX_PATH_CRASHES
            if path.is_suspect and path.is_sole_cause and is_due:
                found[digest] = path.runs
        on_trial = self._runs_on_trial()
        return found | {d: runs for d, runs in on_trial.items() if runs}

    def _runs_on_trial(self) -> dict[str, dict[str, CrashedRun]]:
        """Returns the runs of the requests on trial, by crashed incarnation."""
        found: dict[str, dict[str, CrashedRun]] = {
            d: {} for d in self.terms.trials
        }
        for strike in self._strikes:
            for digest in strike.digests:
                if digest in found:
                    _add_run(found[digest], strike)
        return found

    def _runs_by_suspect(self) -> dict[str, dict[str, CrashedRun]]:
        """Returns the runs of each suspect, by crashed incarnation."""
        found: dict[str, dict[str, CrashedRun]] = collections.defaultdict(dict)
        for strike in self._strikes:
            _add_run(found[strike.suspect], strike)
        return found

    def _paths(self) -> dict[str, _Path]:
        """Returns the paths on which no request was answered since a crash."""
        found: dict[str, _Path] = collections.defaultdict(_Path)
        proved = {id(strike) for strike in self._proved}
        for strike in (*self._proved, *self._strikes):
            if not strike.path or strike.is_path_cleared:
                continue
            path = found[strike.path]
            _add_run(path.runs, strike)
            path.servers_by_body[strike.shared].add(strike.server)
            path.is_proved = path.is_proved or id(strike) in proved
        return found


def _add_run(runs: dict[str, CrashedRun], strike: Strike) -> None:
    """Adds the run of a strike to those of a suspect, by server."""
    run = CrashedRun(strike.began_ms, strike.ended_ms, strike.is_repeat)
    runs.setdefault(strike.server, run).add_copy(run)


def _is_same(strike: Strike, other: Strike) -> bool:
    return (strike.content, strike.server) == (
        other.content,
        other.server,
    )
