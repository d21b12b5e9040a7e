"""A caller's program among the fakes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from catkinpin import digest
from catkinpin.core import messages
from catkinpin.verdicts import Verdict
from tests.fakes.worldfacts import DEADLINE_MS, TOKENS, Sent, ask_text

if TYPE_CHECKING:
    from tests.fakes.world import World

_RETRY_DELAY_MS = 3_000  # A caller without an answer asks another entry.


class Program:
    """A caller's program: calls one after the other, resent until answered.

    Attributes:
        first: place of the first call; others make those before.
        answers: the body of each call's answer, or None where the caller was
            told that a non-idempotent call may have run.
        times: ms from each call's first sending to its answer.
    """

    def __init__(
        self, world: World, name: str, kinds: str, first: int = 1
    ) -> None:
        self.world = world
        self.first = first
        self.name = name
        self.kinds = kinds
        self.texts: list[bytes] = []
        self.answers: list[bytes | None] = []
        self.sends: list[Sent] = []
        self.times: list[int] = []
        self.stopped = False
        self.ended = False
        world.programs.append(self)
        self._next()

    def _make_begin(self) -> messages.Begin:
        number = len(self.answers)
        kind = "model" if self.kinds[number] == "m" else "service"
        request_id = f"{self.name}-{self.first + number}"
        asked = [*self.texts, f"ask {request_id}".encode()]
        digests = [digest.of_bytes(text) for text in asked]
        return messages.Begin(
            ask=0,
            key=messages.CallKey(
                account="a", program=self.name, request_id=request_id
            ),
            kind=kind,
            target=kind,
            seq=self.first + number,
            idempotent=kind == "model",
            deadline_ms=DEADLINE_MS,
            fingerprint=digest.of_bytes(request_id.encode()),
            digests=digests if kind == "model" else [],
            prompt_tokens=TOKENS if kind == "model" else 0,
            max_tokens=TOKENS if kind == "model" else 0,
        )

    def _next(self) -> None:
        if len(self.answers) == len(self.kinds):
            self._end()
            return
        self.sends = []
        self._begin = self._make_begin()
        self._asked = [*self.texts, ask_text(self._begin)]
        self.send()
        self._poll()

    def send(self) -> None:
        """Sends the present call, again through another entry."""
        begin = self._begin
        tried = [sent.entry for sent in self.sends[-2:]]
        names = [name for name in self.world.entries if name not in tried]
        entry = self.world.entries[self.world.rng.choice(names)]
        sent = Sent(begin.key, self.world.now, entry.name)
        self.sends.append(sent)
        self.world.sent.append(sent)
        if not entry.alive:
            sent.broken = True
            sent.done_at = self.world.now
            return
        entry.start(begin, sent, self._asked)

    def _poll(self) -> None:
        for sent in self.sends:
            if isinstance(sent.final, messages.Finished):
                self._answered(sent.final.answer.body)
                return
            if self._refused_for_good(sent.final):
                self._answered(None)
                return
        newest = self.sends[-1]
        waited = self.world.now - newest.at
        if self.stopped and newest.done_at:
            self._end()
            return
        if newest.done_at or waited > _RETRY_DELAY_MS:
            self.send()
            self.world.after(100, self._poll)
            return
        self.world.after(20, self._poll)

    def stop(self) -> None:
        """Ends the program while a call may be under way."""
        self.stopped = True
        self._end()

    def _refused_for_good(self, final: Any) -> bool:
        if not isinstance(final, messages.Refused):
            return False
        unknown = final.verdict is Verdict.MAY_HAVE_RUN
        return unknown and self.kinds[len(self.answers)] == "s"

    def _answered(self, body: bytes | None) -> None:
        if self.kinds[len(self.answers)] == "m":
            assert body is not None
            self.texts = [*self._asked, body]
        self.answers.append(body)
        self.times.append(self.world.now - self.sends[0].at)
        if not self.stopped:
            self._next()

    def _all_answered(self) -> bool:
        same = [p for p in self.world.programs if p.name == self.name]
        return all(p.stopped or len(p.answers) == len(p.kinds) for p in same)

    def _end(self) -> None:
        key = messages.ProgramKey(account="a", program=self.name)
        program = self.world.state.programs.get(key)
        if program is not None and program.ended:
            self.ended = True
            return
        entry = self.world.rng.choice(list(self.world.entries.values()))
        if entry.alive and not entry.frozen and self._all_answered():
            self.world.to_leader(entry, messages.EndProgram(ask=0, key=key))
        self.world.after(300, self._end)
