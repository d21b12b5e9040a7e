"""A shard's core among fakes of entries, servers, callers and the log.

Everything runs on a stepped clock in one thread, so that a seed replays for
ever. A fault strikes when a chosen call reaches a chosen step.
"""

from __future__ import annotations

import dataclasses
import functools
import heapq
import itertools
import random
from typing import TYPE_CHECKING, Any

import msgspec

from catkinpin import codec, configuration, digest
from catkinpin.adapters import grants
from catkinpin.core import (
    commands,
    leader,
    messages,
    placement,
    records,
    scheduler,
    servers,
    shard,
)
from catkinpin.verdicts import Reason, Verdict

if TYPE_CHECKING:
    from collections.abc import Callable

DEADLINE_MS = 8_000
BOUND_MS = 2_500  # A caller's answer may be this late.
TOKENS = 10  # Of each answer; a prompt's bound is as large.
BUDGET = 2_000
_TICK_MS = 50
_REPORT_MS = 200
_LATENCY_MS = 2
_TOKEN_MS = 20
_PROGRESS_MS = 1_000
_ELECTION_MS = 600
_PATIENCE_MS = 3_000  # A caller without an answer asks another entry.
_CONFIG = (
    b'[[accounts]]\nname = "a"\nkey_sha256 = "%s"\n'
    b'[[deployments]]\nname = "d"\ntargets = ["model", "service"]\n'
    b"budget_tokens = %d\npriority = %d\n"
)
_decoder = codec.decoder(records.ShardRecord)


@dataclasses.dataclass
class Seen:
    """A request as it reached a server."""

    at: int
    server: str
    attempt: str
    key: messages.CallKey
    prompt: list[bytes]
    max_tokens: int


@dataclasses.dataclass
class Sent:
    """A caller's sending of a call, and what came back."""

    key: messages.CallKey
    at: int
    entry: str
    final: messages.Finished | messages.Refused | None = None
    broken: bool = False
    done_at: int = 0


class World:
    """The clock, the log, the leader, and the fakes around it."""

    def __init__(
        self,
        seed: int,
        server_count: int = 3,
        make_server: Callable[[World, str, str], Server] | None = None,
    ) -> None:
        make_server = make_server or Server
        self.rng = random.Random(seed)
        self.now = 1_000
        self._heap: list[tuple[int, int, Callable[[], None]]] = []
        self._count = itertools.count()
        self.on_step: Callable[[str, messages.CallKey | None], None] = (
            lambda step, key: None
        )
        self.cfg = configuration.parse(_CONFIG % (b"0" * 64, BUDGET, 0))
        self.log: list[bytes] = []
        self.state = shard.Shard("shard-0")
        self.leader: leader.ShardLeader | None = None
        self.term = 0
        self.log_delay = 0
        self.seen: list[Seen] = []
        self.sent: list[Sent] = []
        self.programs: list[Program] = []
        self.quarantined: set[bytes] = set()
        self.entries = {f"e{i}": Entry(self, f"e{i}") for i in range(3)}
        kinds = {"m": "model", "s": "service"}
        self.servers = {
            f"{letter}{i}": make_server(self, f"{letter}{i}", kind)
            for letter, kind in kinds.items()
            for i in range(server_count)
        }
        self.elect()
        self.after(_TICK_MS, self._tick)

    def after(self, delay: int, act: Callable[[], None]) -> None:
        """Calls `act` in `delay` ms."""
        heapq.heappush(self._heap, (self.now + delay, next(self._count), act))

    def run(self, ms: int) -> None:
        """Lets time pass."""
        end = self.now + ms
        while self._heap and self._heap[0][0] <= end:
            self.now, _, act = heapq.heappop(self._heap)
            act()
        self.now = end

    def next_ask(self) -> int:
        """Returns a number for a question."""
        return next(self._count) + 1

    def latency(self) -> int:
        """Returns the time of one message."""
        return _LATENCY_MS + self.rng.randrange(3)

    def _tick(self) -> None:
        self.after(_TICK_MS, self._tick)
        if self.leader is not None:
            decisions = self.jobs.tick(self.now)
            self.act(self.leader.decided(decisions, self.now, self.now))
            self.act(self.leader.tick(self.now, self.now))

    # The log and its leader.

    def elect(self) -> None:
        """Replays the log into a new state and starts a leader."""
        self.term += 1
        old, self.state = self.state, shard.Shard("shard-0")
        if self.rng.random() < 0.5 and self.log:
            self.state.restore(old.snapshot())
        else:
            for index, payload in enumerate(self.log, 1):
                self.state.apply(index, _decoder.decode(payload))
        assert self.state.snapshot() == old.snapshot() or not self.log
        self.view = servers.ServerView()
        self.jobs = self.make_scheduler(self.view)
        self.leader = leader.ShardLeader(
            self.state,
            self.jobs,
            self.cfg,
            random.Random(self.term),
            self.quarantined.__contains__,
        )
        for entry in self.entries.values():
            if entry.connected:
                self.leader.entry_connected(entry.ref)
        self.act(self.leader.start(self.now, self.now))
        for entry in self.entries.values():
            entry.do(entry.ask_again)

    def make_scheduler(self, view: servers.ServerView) -> scheduler.Scheduler:
        """Returns a new leader's scheduler: calls may wait, or never do."""
        if self.rng.random() < 0.5:
            return scheduler.Scheduler(view, placement.sticky)
        policy = placement.by_cost(placement.Prices())
        return scheduler.Scheduler(view, policy, scheduler.WaitPlan())

    def reconfigure(self) -> None:
        """Puts another configuration in force."""
        self.cfg = configuration.parse(_CONFIG % (b"0" * 64, BUDGET, 7))
        if self.leader is not None:
            self.leader.cfg = self.cfg

    def depose(self) -> None:
        """Loses the leader, and what is not committed."""
        self.term += 1
        self.leader = None
        self.after(_ELECTION_MS, self.elect)

    def act(self, found: list[commands.Command]) -> None:
        """Carries out a leader's commands."""
        for command in found:
            match command:
                case commands.Propose():
                    self._append(codec.encode(command.record), self.term)
                case commands.Send():
                    self._to_entry(command.to, command.message)
                case commands.ShareQuarantine():
                    self.quarantined.add(command.content)
                case commands.SendGrant():
                    raise AssertionError("the fakes send whole histories")
                case commands.SendAnswer():
                    record = _decoder.decode(self.log[command.record_index - 1])
                    reply = messages.Finished(
                        ask=command.ask,
                        key=command.key,
                        attempt=record.attempt,
                        answer=record.answer,
                        seq=command.seq,
                    )
                    self._to_entry(command.to, reply)

    def _append(self, payload: bytes, term: int) -> None:
        self.log_delay = max(self.log_delay, self.now) + self.rng.randrange(2)
        wait = self.log_delay + 3 - self.now
        self.after(wait, lambda: self._commit(payload, term))

    def _commit(self, payload: bytes, term: int) -> None:
        if term != self.term or self.leader is None:
            return
        record = _decoder.decode(payload)
        self.log.append(payload)
        effects = self.state.apply(len(self.log), record)
        for program in self.state.programs.values():
            assert program.spent + program.reserved <= BUDGET
        self.act(self.leader.applied(record, effects, self.now, self.now))
        match record:
            case records.CallBegun():
                self.on_step("append 1", record.begin.key)
            case records.AttemptFinished():
                self.on_step("append 2", record.key)
            case records.ProgramEnded():
                key = messages.CallKey(
                    account="a", program=record.key.program, request_id=""
                )
                self.on_step("end", key)

    def _to_entry(self, to: commands.EntryRef, message: Any) -> None:
        entry = self.entries[to.process]
        epoch = entry.epoch

        def deliver() -> None:
            if entry.deaf or entry.epoch != epoch:
                return
            if entry.incarnation == to.incarnation:
                entry.do(lambda: entry.receive(message))

        self.after(self.latency() + entry.delay, deliver)

    def to_leader(self, entry: Entry, message: Any) -> None:
        """Carries a message on an entry's stream."""
        epoch = entry.epoch

        def deliver() -> None:
            if entry.mute or entry.epoch != epoch or self.leader is None:
                return
            found: list[commands.Command] = []
            match message:
                case messages.Begin():
                    found = self.leader.begin(
                        entry.ref, message, self.now, self.now
                    )
                case messages.Finish():
                    found = self.leader.finish(
                        entry.ref, message, self.now, self.now
                    )
                case messages.EndProgram():
                    found = self.leader.end_program(
                        entry.ref, message, self.now
                    )
                case messages.ReleaseDone():
                    found = self.leader.release_done(message, self.now)
            self.act(found)

        if entry.connected:
            self.after(self.latency() + entry.delay, deliver)


class Entry:
    """An entry: asks, dispatches, reports outcomes, answers callers."""

    def __init__(self, world: World, name: str) -> None:
        self.world = world
        self.name = name
        self.life = 0
        self.epoch = 0
        self.delay = 0
        self.deaf = False
        self.mute = False
        self.alive = True
        self.frozen = False
        self.frozen_until = 0
        self.connected = True
        self._deferred: list[Callable[[], None]] = []
        self._reset()

    def _reset(self) -> None:
        self._asks: dict[int, tuple[Any, Call, int]] = {}
        self._grants = grants.Grants()
        self._open: list[Call] = []

    @property
    def incarnation(self) -> str:
        """This life of the entry."""
        return f"{self.name}.{self.life}"

    @property
    def ref(self) -> commands.EntryRef:
        """How the leader knows the entry."""
        return commands.EntryRef(self.name, self.incarnation, "", self.name)

    def do(self, act: Callable[[], None]) -> None:
        """Acts now, once continued, or never."""
        if self.frozen:
            self._deferred.append(act)
        elif self.alive:
            act()

    def after(self, delay: int, act: Callable[[], None]) -> None:
        """Acts later, in this life."""
        life = self.life
        self.world.after(
            delay, lambda: self.do(act) if self.life == life else None
        )

    def cut(self) -> None:
        """Breaks the stream to the leader; it comes back."""
        self.epoch += 1
        self.connected = False
        if self.world.leader is not None:
            self.world.leader.entry_lost(self.ref, self.world.now)
        self.after(150, self._connect)

    def silence(self, way: str) -> None:
        """Loses all messages one way until the pings show it.

        Args:
            way: `deaf` or `mute`.
        """
        setattr(self, way, True)

        def noticed() -> None:
            setattr(self, way, False)
            self.cut()

        self.after(2_000, noticed)

    def _connect(self) -> None:
        self.connected = True
        if self.world.leader is not None:
            self.world.act(self.world.leader.entry_connected(self.ref))
        self.ask_again()

    def kill(self) -> None:
        """Ends this life; another begins soon. Callers see a reset."""
        self.alive = False
        self.epoch += 1
        self.connected = False
        if self.world.leader is not None:
            self.world.leader.entry_lost(self.ref, self.world.now)
        for call in self._open:
            call.sent.broken = True
            call.sent.done_at = self.world.now
        self.life += 1
        self.deaf = self.mute = False
        self._reset()
        self.world.after(500, self._restart)

    def _restart(self) -> None:
        self.alive = True
        self._connect()

    def freeze(self, ms: int) -> None:
        """Stops the process as SIGSTOP does, and continues it later."""
        self.frozen = True
        self.frozen_until = max(self.frozen_until, self.world.now + ms)
        self.world.after(2_000, self._silent)
        self.world.after(ms, self._thaw)

    def _silent(self) -> None:
        if self.frozen:
            # Nothing more arrives; what was sent before lies in its buffers.
            self.epoch += 1
            self.connected = False
            if self.world.leader is not None:
                self.world.leader.entry_lost(self.ref, self.world.now)

    def _thaw(self) -> None:
        self.frozen = False
        deferred, self._deferred = self._deferred, []
        for act in deferred:
            act()
        if not self.connected:
            self._connect()

    def start(
        self, begin: messages.Begin, sent: Sent, texts: list[bytes]
    ) -> None:
        """Takes a caller's request."""
        call = Call(begin, sent, texts)
        self._open.append(call)
        self.do(lambda: self._begin(call))
        late = begin.deadline_ms + 1_500
        self.after(late, lambda: self._give_up(call))

    def _begin(self, call: Call) -> None:
        left = call.sent.at + call.begin.deadline_ms - self.world.now
        self.ask(call, messages.Begin, deadline_ms=max(1, left))

    def ask(self, call: Call, kind: Any, **fields: Any) -> None:
        """Sends a question and remembers it until the reply."""
        source: Any = call.begin if kind is messages.Begin else call.finish
        ask = self.world.next_ask()
        message = msgspec.structs.replace(source, ask=ask, **fields)
        self._asks[message.ask] = (message, call, self.world.now)
        self.world.to_leader(self, message)
        if kind is messages.Begin:
            self.world.on_step("begin", call.begin.key)

    def ask_again(self) -> None:
        """Asks what has no reply, on a new stream or of a new leader."""
        asks, self._asks = self._asks, {}
        for message, call, _ in asks.values():
            if not call.sent.done_at:
                self.ask(call, type(message))

    def receive(self, message: Any) -> None:
        """Takes a message of the leader."""
        if isinstance(message, messages.Recall):
            self._recalled(message)
        elif isinstance(message, messages.Recover):
            # These servers can't tell what became of an attempt.
            finish = messages.Finish(
                ask=0,
                key=message.key,
                attempt=message.attempt,
                verdict=Verdict.MAY_HAVE_RUN,
                reason=Reason.OUTCOME_UNKNOWN,
            )
            self.world.to_leader(self, finish)
        elif isinstance(message, messages.OrderRelease):
            self._release(message)
        elif message.ask in self._asks:
            _, call, asked_at = self._asks.pop(message.ask)
            if isinstance(message, messages.Granted):
                self._granted(call, message, asked_at)
            else:
                self._final(call, message)
        elif isinstance(message, messages.Granted):
            key, attempt = message.key, message.attempt
            self._recalled(messages.Recall(key=key, attempt=attempt))

    def _granted(
        self, call: Call, grant: messages.Granted, asked_at: int
    ) -> None:
        self.world.on_step("grant", call.begin.key)
        if not self.alive or not self._grants.use(grant.attempt):
            self._begin(call)
            return
        until = asked_at + grant.waited_ms + grant.expires_ms
        call.grant = grant

        def dispatch() -> None:
            if self.world.now > until:
                self._finish(call, Verdict.NOT_RUN, Reason.NOT_READY)
                return
            self.world.on_step("connect", call.begin.key)
            if not self.alive or self.frozen:
                self.do(dispatch)
                return
            server = self.world.servers[grant.server.server]
            server.request(self, call, grant)

        dispatch()

    def progress(self, call: Call, grant: messages.Granted) -> None:
        """Notes that a server sent something; watches for the next."""
        call.heard = self.world.now

        def check() -> None:
            if call.grant is not grant or call.sent.done_at:
                return
            if self.world.now - call.heard >= _PROGRESS_MS:
                self._finish(call, Verdict.MAY_HAVE_RUN, Reason.SERVER_FAILED)

        self.after(_PROGRESS_MS, check)

    def outcome(
        self, call: Call, grant: messages.Granted, finish: messages.Finish
    ) -> None:
        """Takes what became of a dispatch; a late outcome is dropped."""
        if call.grant is not grant:
            return
        call.grant = None
        call.finish = finish
        self.world.on_step("finish", call.begin.key)
        if not self.alive:
            return

        def send() -> None:
            self._grants.over(finish.attempt)
            self.ask(call, messages.Finish)

        self.do(send)

    def _finish(self, call: Call, verdict: Verdict, reason: Reason) -> None:
        grant = call.grant
        assert grant is not None
        finish = messages.Finish(
            ask=0,
            key=call.begin.key,
            attempt=grant.attempt,
            verdict=verdict,
            reason=reason,
        )
        self.outcome(call, grant, finish)

    def _recalled(self, recall: messages.Recall) -> None:
        state = self._grants.recall(recall.attempt)
        pending = any(
            call.finish is not None and call.finish.attempt == recall.attempt
            for _, call, _ in self._asks.values()
        )
        if state is grants.GrantState.IN_USE or pending:
            return
        unused = state is grants.GrantState.REVOKED
        finish = messages.Finish(
            ask=0,
            key=recall.key,
            attempt=recall.attempt,
            verdict=Verdict.NOT_RUN if unused else Verdict.MAY_HAVE_RUN,
            reason=Reason.NOT_READY if unused else Reason.OUTCOME_UNKNOWN,
        )
        self.world.to_leader(self, finish)

    def _release(self, order: messages.OrderRelease) -> None:
        server = self.world.servers[order.server.server]
        for name in order.programs:
            key = messages.CallKey(account="a", program=name[2:], request_id="")
            self.world.on_step("release", key)
        if not server.alive or server.silent:
            return
        if server.incarnation != order.server.incarnation:
            return
        server.held -= set(order.programs)
        done = messages.ReleaseDone(
            group=order.group,
            server=server.name,
            incarnation=server.incarnation,
            programs=order.programs,
        )
        self.world.to_leader(self, done)

    def _give_up(self, call: Call) -> None:
        if call.sent.done_at:
            return
        # The same request may have run through another entry.
        refused = messages.Refused(
            ask=0,
            reason=Reason.NO_LEADER,
            text="",
            verdict=Verdict.MAY_HAVE_RUN,
            retry_after_ms=100,
        )
        self._final(call, refused)

    def _final(self, call: Call, reply: Any) -> None:
        self.world.on_step("last event", call.begin.key)
        if not self.alive or call.sent.done_at:
            return
        call.sent.final = reply
        call.sent.done_at = self.world.now
        self._open.remove(call)


class Call:
    """A caller's request at an entry."""

    def __init__(
        self, begin: messages.Begin, sent: Sent, texts: list[bytes]
    ) -> None:
        self.begin = begin
        self.texts = texts
        self.sent = sent
        self.grant: messages.Granted | None = None
        self.finish: messages.Finish | None = None
        self.heard = 0


class Server:
    """A backend server: runs requests, holds prefixes, may crash."""

    def __init__(self, world: World, name: str, kind: str) -> None:
        self.world = world
        self.name = name
        self.kind = kind
        self.life = 0
        self.alive = True
        self.silent = False
        self.leaving_since = 0
        self.held: set[str] = set()
        self.poison: set[bytes] = set()
        self.restarts = True
        self.crashes = 0
        self._aboard: list[tuple[Entry, Call, messages.Granted]] = []
        world.after(1, self._announce)

    @property
    def incarnation(self) -> str:
        """This life of the server."""
        return f"{self.name}.{self.life}"

    def _announce(self) -> None:
        self.world.after(_REPORT_MS, self._announce)
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
        made = self.world.now

        def deliver() -> None:
            if self.world.leader is not None:
                self.world.view.report(report, made)
                self.world.leader.reported(report, made)

        self.world.after(self.world.latency(), deliver)

    def kill(self) -> None:
        """Ends this life; connections break, and another life begins."""
        if not self.alive:
            return
        self.alive = False
        self.crashes += 1
        self.held.clear()
        aboard, self._aboard = self._aboard, []
        for entry, call, grant in aboard:
            self._to_entry(entry, call, grant, _broken(call, grant))
        if self.restarts:
            self.world.after(1_000, self._restart)

    def _restart(self) -> None:
        self.life += 1
        self.alive = True

    def request(
        self, entry: Entry, call: Call, grant: messages.Granted
    ) -> None:
        """Takes a dispatched request."""
        entry.progress(call, grant)
        self.world.after(
            self.world.latency(), lambda: self._arrived(entry, call, grant)
        )

    def _arrived(
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
        self._aboard.append((entry, call, grant))
        if self.poison & {*prompt, call.begin.fingerprint}:
            self.kill()
            return
        self.world.on_step("sent", grant.key)
        life = self.life
        for number, step in enumerate(("first token", "mid", "last token"), 1):
            token = functools.partial(
                self._token, life, entry, call, grant, step
            )
            self.world.after(number * _TOKEN_MS, token)

    def _token(
        self,
        life: int,
        entry: Entry,
        call: Call,
        grant: messages.Granted,
        step: str,
    ) -> None:
        if not self.alive or self.life != life:
            return
        if step != "last token":
            self._to_entry(entry, call, grant, None)
            self.world.on_step(step, grant.key)
            return
        self._aboard.remove((entry, call, grant))
        new = []
        if self.kind == "model":
            self.held.add(f"a/{grant.key.program}")
            new = [*call.texts[grant.skip :], answer_text(call.begin.digests)]
        body = new[-1] if new else f"did {grant.key.request_id}".encode()
        finish = messages.Finish(
            ask=0,
            key=grant.key,
            attempt=grant.attempt,
            verdict=Verdict.RAN,
            answer=messages.Answer(status=200, content_type="", body=body),
            usage=messages.Usage(
                prompt_tokens=TOKENS, completion_tokens=TOKENS
            ),
            messages=new,
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


def _broken(call: Call, grant: messages.Granted) -> messages.Finish:
    return messages.Finish(
        ask=0,
        key=grant.key,
        attempt=grant.attempt,
        verdict=Verdict.MAY_HAVE_RUN,
        reason=Reason.SERVER_FAILED,
        crashed=True,
    )


def answer_text(digests: list[bytes]) -> bytes:
    """Returns what a model answers to a prompt."""
    return b"answer to " + digest.of_bytes(b"".join(digests)).hex().encode()


def _ask_text(begin: messages.Begin) -> bytes:
    return f"ask {begin.key.request_id}".encode()


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
        self._asked = [*self.texts, _ask_text(self._begin)]
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
        if newest.done_at or waited > _PATIENCE_MS:
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
