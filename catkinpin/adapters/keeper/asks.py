"""Answers what gateways, stores and other keepers ask a keeper."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from msgspec import structs

from catkinpin import exits
from catkinpin.adapters.keeper.host import NotLeading
from catkinpin.core.control import protocol, routes
from catkinpin.exceptions import StorageError

if TYPE_CHECKING:
    from catkinpin.adapters.keeper.host import KeeperHost
    from catkinpin.adapters.keeper.publisher import Publisher
    from catkinpin.adapters.keeper.repair import CopyRepair
    from catkinpin.adapters.keeper.turns import TurnRequests
    from catkinpin.adapters.peers import links
    from catkinpin.adapters.store.turnserver import TurnServer
    from catkinpin.clock import Clock


# Gateways are told again of servers that are still unresponsive.
_REPEAT_MS = 500


class Asks:
    """Answers through the part that is asked.

    Args:
        host: the control group's state, and how this keeper decides.
        publisher: publishes what changes.
        turn_requests: begins and settles turns, and counts quotas.
        copy_repair: registers and empties stores.
        turns: turns' bytes held here.
        clock: time.
        commit_s: longest wait for a quorum.
    """

    def __init__(
        self,
        host: KeeperHost,
        publisher: Publisher,
        turn_requests: TurnRequests,
        copy_repair: CopyRepair,
        turns: TurnServer,
        clock: Clock,
        commit_s: float,
    ) -> None:
        self._host = host
        self._publisher = publisher
        self._turn_requests = turn_requests
        self._copy_repair = copy_repair
        self._turns = turns
        self._clock = clock
        self._commit_s = commit_s
        self._unresponsive: list[str] = []
        self._published_ms = 0

    async def answer(self, stream: links.Stream, message: Any) -> None:
        """Answers what a gateway, a store or another keeper asks."""
        try:
            match message:
                case protocol.AskBegin():
                    began = await self._turn_requests.begin(message)
                    if isinstance(began, NotLeading):
                        self._reply(stream, message.ask, began)
                    else:
                        stream.send(began)
                case protocol.AskFinish():
                    done = await self._turn_requests.finish(message)
                    self._reply(stream, message.ask, done)
                case protocol.AskRouting():
                    routing = message.routing
                    done = await self._host.set_routing(routing, self._commit_s)
                    self._reply(stream, message.ask, done)
                case protocol.AskAnnounce():
                    instance = message.instance
                    done = await self._host.announce(instance, self._commit_s)
                    self._reply(stream, message.ask, done)
                case protocol.AskCurrent():
                    self._send_current(stream, message)
                case protocol.AskRegister():
                    await self._register(stream, message)
                case protocol.ReportCrash():
                    done = await self._host.report_crash(
                        message.content, message.server, self._commit_s
                    )
                    self._reply(stream, message.ask, done)
                case protocol.ReportUse():
                    name = stream.hello.process if stream.hello else ""
                    update = self._turn_requests.report_use(message, name)
                    self._publish_unresponsive()
                    if isinstance(update, NotLeading):
                        self._reply(stream, message.ask, update)
                    else:
                        stream.send(update)
                case protocol.AskRetire():
                    await self._answer_retire(stream, message)
                case protocol.Put():
                    self._turns.put(stream, message)
                case protocol.Get():
                    self._turns.get(stream, message)
                case protocol.CopyTurns():
                    await self._turns.copy_turns(stream, message)
        except StorageError as exc:
            exits.exit_immediately(exc)

    def _publish_unresponsive(self) -> None:
        """Tells all gateways of unresponsive servers, again while they are."""
        servers = self._turn_requests.unresponsive(self._publisher.gateways())
        now_ms = self._clock.now_ms()
        if servers and (
            servers != self._unresponsive
            or now_ms - self._published_ms > _REPEAT_MS
        ):
            self._published_ms = now_ms
            self._publisher.unresponsive(servers)
        self._unresponsive = servers

    async def _register(
        self, stream: links.Stream, message: protocol.AskRegister
    ) -> None:
        out = await self._copy_repair.register(message.store)
        if out is True:
            self._publisher.info()
        failed = out if isinstance(out, NotLeading) else None
        self._reply(stream, message.ask, failed)

    async def _answer_retire(
        self, stream: links.Stream, message: protocol.AskRetire
    ) -> None:
        if not self._host.may_decide():
            self._reply(stream, message.ask, NotLeading("not the leader"))
            return
        out = await self.retire(message.name, begin=message.begin)
        if isinstance(out, NotLeading):
            self._reply(stream, message.ask, out)
        else:
            stream.send(structs.replace(out, ask=message.ask))

    def _send_current(
        self, stream: links.Stream, message: protocol.AskCurrent
    ) -> None:
        if message.from_leader and not self._host.may_decide():
            self._reply(stream, message.ask, NotLeading("not the leader"))
            return
        routing = self._host.state.routing
        if routing is not None and not message.from_leader:
            routing = routes.strip_source(routing)
        stream.send(protocol.Current(ask=message.ask, routing=routing))

    def _reply(
        self, stream: links.Stream, ask: int, failed: NotLeading | None
    ) -> None:
        if failed is None:
            stream.send(protocol.Done(ask=ask))
            return
        stream.send(
            protocol.Refused(
                ask=ask, reason=failed.reason, leader=self._host.group.leader
            )
        )

    async def retire(
        self, name: str, *, begin: bool
    ) -> protocol.Retirement | NotLeading:
        """Has a store emptied where this keeper leads."""
        out = await self._copy_repair.retire(name, begin=begin)
        if begin:
            self._publisher.info()
        return out
