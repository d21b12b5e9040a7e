"""Fake entry of the simulation."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from catkinpin.adapters.entry import grants
from catkinpin.core import messages
from catkinpin.core.programs import commands
from catkinpin.verdicts import Reason, Verdict
from tests.fakes.worldfacts import Call

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.fakes.world import World
    from tests.fakes.worldfacts import Sent

_PROGRESS_TIMEOUT_MS = 1_000


class Entry:
    """Asks the leader for grants, dispatches, reports and answers.

    Attributes:
        starts: number of restarts; part of the incarnation.
        epoch: number of the stream to the leader; messages of an earlier
            stream are lost.
        delay: additional latency of messages, in ms.
        deaf: whether messages from the leader are lost.
        mute: whether messages to the leader are lost.
        frozen: whether the process is stopped as by SIGSTOP.
        connected: whether there is a stream to the leader.
    """

    def __init__(self, world: World, name: str) -> None:
        self.world = world
        self.name = name
        self.starts = 0
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
        """Id of the current run of the entry."""
        return f"{self.name}.{self.starts}"

    @property
    def ref(self) -> commands.EntryRef:
        """Reference by which the leader addresses the entry."""
        return commands.EntryRef(self.name, self.incarnation, "", self.name)

    def do(self, act: Callable[[], None]) -> None:
        """Runs `act` now, or once the process is continued if it is frozen.

        An entry that is down drops it.
        """
        if self.frozen:
            self._deferred.append(act)
        elif self.alive:
            act()

    def after(self, delay: int, act: Callable[[], None]) -> None:
        """Runs `act` after a delay, unless the entry restarts before."""
        starts = self.starts
        self.world.after(
            delay, lambda: self.do(act) if self.starts == starts else None
        )

    def break_stream(self) -> None:
        """Breaks the stream to the leader and reconnects after 150 ms."""
        self.epoch += 1
        self.connected = False
        if self.world.leader is not None:
            self.world.leader.entry_lost(self.ref, self.world.now)
        self.after(150, self._connect)

    def lose_messages(self, direction: str) -> None:
        """Loses all messages in one direction for 2 s.

        Then missing pings reveal the loss, and the stream is broken.

        Args:
            direction: `deaf` loses messages from the leader, `mute` those to
                it.
        """
        setattr(self, direction, True)

        def detect() -> None:
            setattr(self, direction, False)
            self.break_stream()

        self.after(2_000, detect)

    def _connect(self) -> None:
        self.connected = True
        if self.world.leader is not None:
            self.world.act(self.world.leader.entry_connected(self.ref))
        self.ask_again()

    def kill(self) -> None:
        """Kills the entry; it restarts after 500 ms.

        The connections of its callers break.
        """
        self.alive = False
        self.epoch += 1
        self.connected = False
        if self.world.leader is not None:
            self.world.leader.entry_lost(self.ref, self.world.now)
        for call in self._open:
            call.sent.broken = True
            call.sent.done_at = self.world.now
        self.starts += 1
        self.deaf = self.mute = False
        self._reset()
        self.world.after(500, self._restart)

    def _restart(self) -> None:
        self.alive = True
        self._connect()

    def freeze(self, ms: int) -> None:
        """Stops the process as SIGSTOP does, and continues it after `ms`."""
        self.frozen = True
        self.frozen_until = max(self.frozen_until, self.world.now + ms)
        self.world.after(2_000, self._disconnect_if_frozen)
        self.world.after(ms, self._continue)

    def _disconnect_if_frozen(self) -> None:
        if self.frozen:
            # The leader closes the stream. What arrived before is still in
            # the buffers of the process.
            self.epoch += 1
            self.connected = False
            if self.world.leader is not None:
                self.world.leader.entry_lost(self.ref, self.world.now)

    def _continue(self) -> None:
        self.frozen = False
        deferred, self._deferred = self._deferred, []
        for act in deferred:
            act()
        if not self.connected:
            self._connect()

    def start(
        self, begin: messages.Begin, sent: Sent, texts: list[bytes]
    ) -> None:
        """Starts a caller's request."""
        call = Call(begin, sent, texts)
        self._open.append(call)
        self.do(lambda: self._begin(call))
        give_up_ms = begin.deadline_ms + 1_500
        self.after(give_up_ms, lambda: self._give_up(call))

    def _begin(self, call: Call) -> None:
        remaining_ms = call.sent.at + call.begin.deadline_ms - self.world.now
        self.ask(call, messages.Begin, deadline_ms=max(1, remaining_ms))

    def ask(self, call: Call, kind: Any, **fields: Any) -> None:
        """Sends a question to the leader and keeps it until the reply."""
        source: Any = call.begin if kind is messages.Begin else call.finish
        ask = self.world.next_ask()
        message = msgspec.structs.replace(source, ask=ask, **fields)
        self._asks[message.ask] = (message, call, self.world.now)
        self.world.to_leader(self, message)
        if kind is messages.Begin:
            self.world.on_step("begin", call.begin.key)

    def ask_again(self) -> None:
        """Repeats unanswered questions on a new stream or to a new leader."""
        asks, self._asks = self._asks, {}
        for message, call, _ in asks.values():
            if not call.sent.done_at:
                self.ask(call, type(message))

    def receive(self, message: Any) -> None:
        """Handles a message from the leader."""
        if isinstance(message, messages.Recall):
            self._handle_recall(message)
        elif isinstance(message, messages.Recover):
            # These fake servers can't report the outcome of an attempt.
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
                self._handle_grant(call, message, asked_at)
            else:
                self._answer_caller(call, message)
        elif isinstance(message, messages.Granted):
            key, attempt = message.key, message.attempt
            self._handle_recall(messages.Recall(key=key, attempt=attempt))

    def _handle_grant(
        self, call: Call, grant: messages.Granted, asked_at: int
    ) -> None:
        self.world.on_step("grant", call.begin.key)
        if not self.alive or not self._grants.mark_used(grant.attempt):
            self._begin(call)
            return
        valid_until = asked_at + grant.waited_ms + grant.expires_ms
        call.grant = grant

        def dispatch() -> None:
            if self.world.now > valid_until:
                self._finish_attempt(call, Verdict.NOT_RUN, Reason.NOT_READY)
                return
            self.world.on_step("connect", call.begin.key)
            if not self.alive or self.frozen:
                self.do(dispatch)
                return
            server = self.world.servers[grant.server.server]
            server.request(self, call, grant)

        dispatch()

    def progress(self, call: Call, grant: messages.Granted) -> None:
        """Records progress of a server and restarts the progress timeout."""
        call.last_progress_at = self.world.now

        def check() -> None:
            if call.grant is not grant or call.sent.done_at:
                return
            if self.world.now - call.last_progress_at >= _PROGRESS_TIMEOUT_MS:
                self._finish_attempt(
                    call, Verdict.MAY_HAVE_RUN, Reason.SERVER_FAILED
                )

        self.after(_PROGRESS_TIMEOUT_MS, check)

    def outcome(
        self, call: Call, grant: messages.Granted, finish: messages.Finish
    ) -> None:
        """Reports the outcome of a dispatch; drops it if it is outdated."""
        if call.grant is not grant:
            return
        call.grant = None
        call.finish = finish
        self.world.on_step("finish", call.begin.key)
        if not self.alive:
            return

        def send() -> None:
            self._grants.mark_over(finish.attempt)
            self.ask(call, messages.Finish)

        self.do(send)

    def _finish_attempt(
        self, call: Call, verdict: Verdict, reason: Reason
    ) -> None:
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

    def _handle_recall(self, recall: messages.Recall) -> None:
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
        # The same request may have been run through another entry.
        refused = messages.Refused(
            ask=0,
            reason=Reason.NO_LEADER,
            text="",
            verdict=Verdict.MAY_HAVE_RUN,
            retry_after_ms=100,
        )
        self._answer_caller(call, refused)

    def _answer_caller(self, call: Call, reply: Any) -> None:
        self.world.on_step("last event", call.begin.key)
        if not self.alive or call.sent.done_at:
            return
        call.sent.final = reply
        call.sent.done_at = self.world.now
        self._open.remove(call)
