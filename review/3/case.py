"""Turns are refused for good after two servers crashed at the same time."""

from __future__ import annotations

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

# Two of 14 are a share of 0.143. `srv_crash` takes down a share of 0.15.
_SERVERS = 14
_CRASHED = 2
_DOWN_S = 3.0
_CONNECTIVITY_WINDOW_S = 3.0
# Programs that are under way when the servers crash, and one that comes later.
_PROGRAMS = 28
_EVENTS = 10
_GAP_S = 0.2
_BEFORE_CRASH_S = 0.6
# What the users of many programs say in their second turn.
_COMMON_INPUT = "yes, go on"
_GATEWAYS = ("gateway-1", "gateway-2")
_TRIES = 5
_TRY_PAUSE_S = 0.3
_FIRST_TURNS = 10


async def play(record: harness.Record, is_disrupted: bool) -> str:
    """Crashes two servers, and continues another program after that."""
    routes = [harness.route("turns", "/turns/", "stream", "models")]
    async with harness.started(record, routes) as deployment:
        servers = [
            harness.Server(deployment, record, "models", _answer, number=number)
            for number in range(1, _SERVERS + 1)
        ]
        for server in servers:
            await server.start()
        try:
            return await _Case(deployment, record, servers).run(is_disrupted)
        finally:
            for server in servers:
                await server.stop()


class _Case:
    """The programs of the case.

    Args:
        deployment: serves them.
        record: where the events are noted.
        servers: the model servers.
    """

    def __init__(
        self,
        deployment: harness.Deployment,
        record: harness.Record,
        servers: list[harness.Server],
    ) -> None:
        self._deployment = deployment
        self._record = record
        self._servers = servers
        self._attempts = 0

    async def run(self, is_disrupted: bool) -> str:
        """Runs the programs; returns how the rule was broken."""
        await self._first_turn("warm-up")
        names = [f"p{number}" for number in range(_PROGRAMS)]
        firsts = await asyncio.gather(*(self._first_turn(n) for n in names))
        seconds = [
            asyncio.create_task(self._second_turn(name, first, index))
            for index, (name, first) in enumerate(
                zip(names, firsts, strict=True)
            )
        ]
        await asyncio.sleep(_BEFORE_CRASH_S)
        if is_disrupted:
            await self._crash_servers()
        await asyncio.gather(*seconds)
        # All servers have been back for longer than the connectivity window.
        await asyncio.sleep(_CONNECTIVITY_WINDOW_S + 1.0)
        return await self._continue_later()

    async def _crash_servers(self) -> None:
        running = [server for server in self._servers if server.active]
        if len(running) < _CRASHED:
            raise harness.NotRunError("the turns ran on too few servers")
        victims = running[:_CRASHED]
        await asyncio.gather(*(server.crash() for server in victims))
        await asyncio.sleep(_DOWN_S)
        for server in victims:
            await server.start()

    async def _continue_later(self) -> str:
        """Continues a program that had nothing to do with the crashes."""
        first = await self._first_turn("later")
        tries = []
        for number in range(_TRIES):
            ran_before = self._count_runs()
            outcome = await self._send(
                "later", first, _GATEWAYS[number % 2], _COMMON_INPUT
            )
            tries.append((outcome.status, self._count_runs() - ran_before))
            if outcome.status == 200 and outcome.is_whole:
                return ""
            await asyncio.sleep(_TRY_PAUSE_S)
        reached = 0
        for number in range(_FIRST_TURNS):
            ran_before = self._count_runs()
            await self._send(f"new{number}", "", _GATEWAYS[number % 2])
            reached += self._count_runs() > ran_before
        self._record.add(
            "judged",
            tries=tries,
            first_turns=_FIRST_TURNS,
            reached=reached,
            quarantines=[
                line
                for name in ("keeper-1", "keeper-2", "keeper-3")
                for line in self._deployment.read_log(name)
                if line.get("decision") == "quarantine"
            ],
        )
        if any(runs for _, runs in tries):
            raise harness.NotRunError(f"the turn ran and failed: {tries}")
        if reached < 0.9 * _FIRST_TURNS:
            raise harness.NotRunError(f"only {reached} first turns ran")
        statuses = [status for status, _ in tries]
        return (
            f"LOST: a turn that names a whole turn reached no server in"
            f" {_TRIES} tries, answered {statuses}, while {reached} of"
            f" {_FIRST_TURNS} first turns reached one"
        )

    async def _first_turn(self, program: str) -> str:
        """Runs the first turn of a program; returns its id."""
        for number in range(_TRIES):
            gateway = _GATEWAYS[number % 2]
            outcome = await self._send(program, "", gateway)
            if outcome.status == 200 and outcome.is_whole:
                return outcome.headers["x-attempt-id"]
            await asyncio.sleep(_TRY_PAUSE_S)
        raise harness.NotRunError(f"{program}: no first turn")

    async def _second_turn(self, program: str, first: str, index: int) -> None:
        """Sends the second turn, and again if it failed, as programs do."""
        for number in range(3):
            gateway = _GATEWAYS[(index + number) % 2]
            outcome = await self._send(program, first, gateway, _COMMON_INPUT)
            if outcome.status == 200 and outcome.is_whole:
                return
            await asyncio.sleep(_TRY_PAUSE_S)

    async def _send(
        self, program: str, previous: str, gateway: str, new_input: str = ""
    ) -> harness.Outcome:
        self._attempts += 1
        return await harness.send_turn(
            self._deployment,
            self._record,
            f"a{self._attempts}",
            previous,
            gateway,
            program,
            new_input,
        )

    def _count_runs(self) -> int:
        return sum(len(server.runs) for server in self._servers)


async def _answer(
    received: harness.Received, writer: asyncio.StreamWriter
) -> None:
    is_second = received.body.endswith(_COMMON_INPUT.encode())
    await harness.answer_stream(
        received, writer, _EVENTS, _GAP_S if is_second else 0.01
    )


if __name__ == "__main__":
    harness.run_case(FOLDER, play)
