"""Fake backend server of the simulation."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

from catkinpin.core import messages
from catkinpin.verdicts import Reason, Verdict
from tests.fakes.worldfacts import TOKENS, Seen, answer_text

if TYPE_CHECKING:
    from tests.fakes.world import World
    from tests.fakes.worldentry import Entry
    from tests.fakes.worldfacts import Call

_REPORT_INTERVAL_MS = 200
_TOKEN_INTERVAL_MS = 20


class Server:
    """Runs requests, holds prefixes, and may crash.

    Attributes:
        starts: number of restarts; part of the incarnation.
        silent: whether it runs requests but sends nothing.
        leaving_since: time at which it began to leave; 0 if it does not.
        held: programs whose prefix it holds.
        poison: digests of contents that crash it.
        restarts: whether it restarts after a crash.
    """

    def __init__(self, world: World, name: str, kind: str) -> None:
        self.world = world
        self.name = name
        self.kind = kind
        self.starts = 0
        self.alive = True
        self.silent = False
        self.leaving_since = 0
        self.held: set[str] = set()
        self.poison: set[bytes] = set()
        self.restarts = True
        self.crashes = 0
        self._running: list[tuple[Entry, Call, messages.Granted]] = []
        world.after(1, self._announce)

    @property
    def incarnation(self) -> str:
        """Id of the current run of the server."""
        return f"{self.name}.{self.starts}"

    def _announce(self) -> None:
        self.world.after(_REPORT_INTERVAL_MS, self._announce)
        self.world.on_step("announce", None)
        if not self.alive or self.silent:
            return
        report = messages.ServerReport(
            server=self.name,
            incarnation=self.incarnation,
            address="",
            kind=self.kind,
            serves=[self.kind],
            domain="",
            region="",
            capacity=4,
            leaving=bool(self.leaving_since),
            held=sorted(self.held),
        )
        made_at = self.world.now

        def deliver() -> None:
            if self.world.leader is not None:
                self.world.view.apply_report(report, made_at)
                self.world.leader.handle_report(report, made_at)

        self.world.after(self.world.latency(), deliver)

    def kill(self) -> None:
        """Crashes the server: connections break, and it restarts after 1 s."""
        if not self.alive:
            return
        self.alive = False
        self.crashes += 1
        self.held.clear()
        interrupted, self._running = self._running, []
        for entry, call, grant in interrupted:
            self._to_entry(entry, call, grant, _make_crash_outcome(call, grant))
        if self.restarts:
            self.world.after(1_000, self._restart)

    def _restart(self) -> None:
        self.starts += 1
        self.alive = True

    def request(
        self, entry: Entry, call: Call, grant: messages.Granted
    ) -> None:
        """Receives a dispatched request after a latency."""
        entry.progress(call, grant)
        self.world.after(
            self.world.latency(),
            lambda: self._handle_arrival(entry, call, grant),
        )

    def _handle_arrival(
        self, entry: Entry, call: Call, grant: messages.Granted
    ) -> None:
        if not self.alive:
            refused = messages.Finish(
                ask=0,
                key=grant.key,
                attempt=grant.attempt,
                verdict=Verdict.NOT_RUN,
                reason=Reason.SERVER_FAILED,
            )
            self._to_entry(entry, call, grant, refused)
            return
        prompt = list(call.begin.digests)
        self.world.seen.append(
            Seen(
                self.world.now,
                self.name,
                grant.attempt,
                grant.key,
                prompt,
                grant.max_tokens,
            )
        )
        self._running.append((entry, call, grant))
        if self.poison & {*prompt, call.begin.fingerprint}:
            self.kill()
            return
        self.world.on_step("sent", grant.key)
        starts = self.starts
        for number, step in enumerate(("first token", "mid", "last token"), 1):
            token = functools.partial(
                self._handle_token, starts, entry, call, grant, step
            )
            self.world.after(number * _TOKEN_INTERVAL_MS, token)

    def _handle_token(
        self,
        starts: int,
        entry: Entry,
        call: Call,
        grant: messages.Granted,
        step: str,
    ) -> None:
        if not self.alive or self.starts != starts:
            return
        if step != "last token":
            self._to_entry(entry, call, grant, None)
            self.world.on_step(step, grant.key)
            return
        self._running.remove((entry, call, grant))
        new_messages = []
        if self.kind == "model":
            self.held.add(f"a/{grant.key.program}")
            new_messages = [
                *call.texts[grant.skip :],
                answer_text(call.begin.digests),
            ]
        body = (
            new_messages[-1]
            if new_messages
            else f"did {grant.key.request_id}".encode()
        )
        finish = messages.Finish(
            ask=0,
            key=grant.key,
            attempt=grant.attempt,
            verdict=Verdict.RAN,
            answer=messages.Answer(status=200, content_type="", body=body),
            usage=messages.Usage(
                prompt_tokens=TOKENS, completion_tokens=TOKENS
            ),
            messages=new_messages,
        )
        self._to_entry(entry, call, grant, finish)
        self.world.on_step(step, grant.key)

    def _to_entry(
        self,
        entry: Entry,
        call: Call,
        grant: messages.Granted,
        finish: messages.Finish | None,
    ) -> None:
        if self.silent:
            return

        def deliver() -> None:
            if finish is None:
                entry.progress(call, grant)
            else:
                entry.outcome(call, grant, finish)

        entry.after(self.world.latency(), deliver)


def _make_crash_outcome(call: Call, grant: messages.Granted) -> messages.Finish:
    return messages.Finish(
        ask=0,
        key=grant.key,
        attempt=grant.attempt,
        verdict=Verdict.MAY_HAVE_RUN,
        reason=Reason.SERVER_FAILED,
        crashed=True,
    )
