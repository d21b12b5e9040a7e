"""Fake caller of the simulation that runs one program."""

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
    """Makes a program's calls in order and resends each until answered.

    Attributes:
        first: sequence number of the first call; other callers of the same
            program make the earlier ones.
        kinds: one letter for each call: `m` for model, `s` for service.
        texts: the model messages so far.
        sends: the sendings of the current call.
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
        prompt = [*self.texts, f"ask {request_id}".encode()]
        digests = [digest.of_bytes(text) for text in prompt]
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
        self._prompt = [*self.texts, ask_text(self._begin)]
        self.send()
        self._poll()

    def send(self) -> None:
        """Sends the current call through an entry not used recently."""
        begin = self._begin
        recent = [sent.entry for sent in self.sends[-2:]]
        names = [name for name in self.world.entries if name not in recent]
        entry = self.world.entries[self.world.rng.choice(names)]
        sent = Sent(begin.key, self.world.now, entry.name)
        self.sends.append(sent)
        self.world.sent.append(sent)
        if not entry.alive:
            sent.broken = True
            sent.done_at = self.world.now
            return
        entry.start(begin, sent, self._prompt)

    def _poll(self) -> None:
        for sent in self.sends:
            if isinstance(sent.final, messages.Finished):
                self._record_answer(sent.final.answer.body)
                return
            if self._is_outcome_unknown(sent.final):
                self._record_answer(None)
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
        """Ends the program, even if a call is in progress."""
        self.stopped = True
        self._end()

    def _is_outcome_unknown(self, final: Any) -> bool:
        if not isinstance(final, messages.Refused):
            return False
        may_have_run = final.verdict is Verdict.MAY_HAVE_RUN
        return may_have_run and self.kinds[len(self.answers)] == "s"

    def _record_answer(self, body: bytes | None) -> None:
        if self.kinds[len(self.answers)] == "m":
            assert body is not None
            self.texts = [*self._prompt, body]
        self.answers.append(body)
        self.times.append(self.world.now - self.sends[0].at)
        if not self.stopped:
            self._next()

    def _all_answered(self) -> bool:
        callers = [p for p in self.world.programs if p.name == self.name]
        return all(p.stopped or len(p.answers) == len(p.kinds) for p in callers)

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
