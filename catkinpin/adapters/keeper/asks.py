"""Answers the requests of gateways, stores and other keepers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from msgspec import structs

from catkinpin import exits
from catkinpin.adapters.keeper.host import Undecided
from catkinpin.core import addresses
from catkinpin.core.control import protocol, routes
from catkinpin.core.control.suspects import Strike
from catkinpin.exceptions import StorageError

if TYPE_CHECKING:
    from catkinpin.adapters.keeper.host import KeeperHost
    from catkinpin.adapters.keeper.publisher import Publisher
    from catkinpin.adapters.keeper.quarantines import QuarantineDecider
    from catkinpin.adapters.keeper.repair import CopyRepair
    from catkinpin.adapters.keeper.turns import TurnRequests
    from catkinpin.adapters.peers import links
    from catkinpin.adapters.store.turnserver import TurnServer
    from catkinpin.clock import Clock


# Interval at which unresponsive servers are published again while they stay so.
_REPUBLISH_INTERVAL_MS = 500


class AskHandler:
    """Passes each request to the component that answers it.

    Args:
        host: proposes records to the control group.
        quarantines: records crashes and answers of suspected requests.
        publisher: publishes changes to the connected processes.
        turn_requests: begins and settles turns, and counts quotas.
        copy_repair: registers and empties stores.
        turn_server: serves the turns' bytes stored here.
        clock: the time source.
        commit_timeout_s: longest wait for a quorum.
    """

    def __init__(
        self,
        host: KeeperHost,
        quarantines: QuarantineDecider,
        publisher: Publisher,
        turn_requests: TurnRequests,
        copy_repair: CopyRepair,
        turn_server: TurnServer,
        clock: Clock,
        commit_timeout_s: float,
    ) -> None:
        self._host = host
        self._quarantines = quarantines
        self._publisher = publisher
        self._turn_requests = turn_requests
        self._copy_repair = copy_repair
        self._turn_server = turn_server
        self._clock = clock
        self._timeout_s = commit_timeout_s
        self._last_unresponsive: list[str] = []
        self._last_published_ms = 0

    async def answer(self, stream: links.Stream, message: Any) -> None:
        """Answers a request of a gateway, a store or another keeper."""
        try:
            match message:
                case protocol.AskBegin():
                    await self._begin(stream, message)
                case protocol.AskFinish():
                    error = await self._turn_requests.finish(message)
                    self._reply(stream, message.ask, error)
                case protocol.AskRouting():
                    routing = message.routing
                    error = await self._host.set_routing(
                        routing, self._timeout_s
                    )
                    self._reply(stream, message.ask, error)
                case protocol.AskAnnounce():
                    instance = message.instance
                    error = await self._host.announce(instance, self._timeout_s)
                    self._reply(stream, message.ask, error)
                case protocol.AskCurrent():
                    self._send_current(stream, message)
                case protocol.AskRegister():
                    await self._register(stream, message)
                case protocol.ReportCrash():
                    strike = _strike_of(message, self._clock.wall_ms())
                    error = await self._quarantines.report_crash(
                        strike, self._timeout_s
                    )
                    self._reply(stream, message.ask, error)
                case protocol.ReportUse():
                    await self._report_use(stream, message)
                case protocol.AskRetire():
                    await self._answer_retire(stream, message)
                case protocol.Put():
                    self._turn_server.put(stream, message)
                case protocol.Get():
                    self._turn_server.get(stream, message)
                case protocol.CopyTurns():
                    await self._turn_server.copy_turns(stream, message)
        except StorageError as exc:
            exits.exit_immediately(exc)

    async def _begin(
        self, stream: links.Stream, message: protocol.AskBegin
    ) -> None:
        if not message.begin.attempt:
            self._reply(stream, message.ask, Undecided("no attempt"))
            return
        began = await self._turn_requests.begin(message, _sender(stream))
        if isinstance(began, Undecided):
            self._reply(stream, message.ask, began)
        else:
            stream.send(began)

    async def _report_use(
        self, stream: links.Stream, message: protocol.ReportUse
    ) -> None:
        update = self._turn_requests.report_use(message, _sender(stream))
        self._publish_unresponsive()
        if isinstance(update, Undecided):
            self._reply(stream, message.ask, update)
            return
        stream.send(update)
        if message.answered_suspects:
            await self._quarantines.clear_suspects(
                message.answered_suspects, self._timeout_s
            )

    def _publish_unresponsive(self) -> None:
        """Publishes the unresponsive servers when they change.

        While any remain, it publishes them again at an interval.
        """
        servers = self._turn_requests.unresponsive_servers(
            self._publisher.gateway_count()
        )
        now_ms = self._clock.now_ms()
        if servers and (
            servers != self._last_unresponsive
            or now_ms - self._last_published_ms > _REPUBLISH_INTERVAL_MS
        ):
            self._last_published_ms = now_ms
            self._publisher.publish_unresponsive(servers)
        self._last_unresponsive = servers

    async def _register(
        self, stream: links.Stream, message: protocol.AskRegister
    ) -> None:
        if not addresses.is_host_port(message.store.address):
            error = Undecided("the address is no host and port")
            self._reply(stream, message.ask, error)
            return
        outcome = await self._copy_repair.register(message.store)
        if outcome is True:
            self._publisher.publish_info()
        failure = outcome if isinstance(outcome, Undecided) else None
        self._reply(stream, message.ask, failure)

    async def _answer_retire(
        self, stream: links.Stream, message: protocol.AskRetire
    ) -> None:
        if not self._host.holds_lease():
            self._reply(stream, message.ask, Undecided("not the leader"))
            return
        outcome = await self.retire(message.name, begin=message.begin)
        if isinstance(outcome, Undecided):
            self._reply(stream, message.ask, outcome)
        else:
            stream.send(structs.replace(outcome, ask=message.ask))

    def _send_current(
        self, stream: links.Stream, message: protocol.AskCurrent
    ) -> None:
        if message.from_leader and not self._host.holds_lease():
            self._reply(stream, message.ask, Undecided("not the leader"))
            return
        routing = self._host.state.routing
        if routing is not None and not message.from_leader:
            routing = routes.strip_source(routing)
        stream.send(protocol.Current(ask=message.ask, routing=routing))

    def _reply(
        self, stream: links.Stream, ask: int, error: Undecided | None
    ) -> None:
        if error is None:
            stream.send(protocol.Done(ask=ask))
            return
        stream.send(
            protocol.Refused(
                ask=ask, reason=error.reason, leader=self._host.group.leader
            )
        )

    async def retire(
        self, name: str, *, begin: bool
    ) -> protocol.Retirement | Undecided:
        """Begins to empty a store, or only returns how far that is.

        Only the leader may call it.
        """
        outcome = await self._copy_repair.retire(name, begin=begin)
        if begin:
            self._publisher.publish_info()
        return outcome


def _strike_of(message: protocol.ReportCrash, wall_ms: int) -> Strike:
    """Returns the strike that a gateway of this or the last release reports."""
    ended_ms = wall_ms - message.age_ms
    return Strike(
        shared=message.shared or message.content,
        content=message.content,
        server=message.server,
        path=message.path,
        began_ms=ended_ms - message.ran_ms,
        ended_ms=ended_ms,
        is_repeat=message.is_repeat,
    )


def _sender(stream: links.Stream) -> str:
    """Returns the name of the process at the other end; empty if unknown."""
    return stream.hello.process if stream.hello else ""
