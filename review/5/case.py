"""The machines of one zone lose their disks, as `tolerate` allows."""

from __future__ import annotations

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import stand_ins  # noqa: E402

ZONE = "ge-a"
DOWN_S = 1.0
RECOVER_S = 12.0
LAST_S = 4.0
PROGRAMS = 6
LAYOUT = {
    "core-zh-a-1": ("keeper", "zh-a"),
    "core-ge-a-1": ("keeper", "ge-a"),
    "core-zh-b-1": ("keeper", "zh-b"),
    "core-zh-a-2": ("keeper", "zh-a"),
    "core-ge-a-2": ("keeper", "ge-a"),
    "storage-zh-a-1": ("store", "zh-a"),
    "storage-ge-a-1": ("store", "ge-a"),
    "storage-zh-b-1": ("store", "zh-b"),
    "front-zh-a-1": ("gateway", "zh-a"),
    "front-ge-a-1": ("gateway", "ge-a"),
    "front-zh-b-1": ("gateway", "zh-b"),
}
FRONTS = [name for name, (role, _) in LAYOUT.items() if role == "gateway"]


class Program:
    """A program that goes on from what was said before the final fault.

    Args:
        clients: sends its turns.
        name: its id.
        front: address of the gateway of its zone.
    """

    def __init__(
        self, clients: stand_ins.Clients, name: str, front: str
    ) -> None:
        self._clients = clients
        self.name = name
        self.front = front
        self.last = ""
        # Attempts of the turn that continues the last one.
        self.attempts: list[str] = []

    async def begin(self) -> None:
        """Has two turns answered whole."""
        for number in range(2):
            answer = await self._clients.send_turn(
                self.name, f"<{number}>".encode(), self.last, front=self.front
            )
            if not answer.served:
                raise stand_ins.CannotRunError("a turn is not served before")
            self.last = answer.attempt

    async def go_on(self, until_s: float) -> None:
        """Sends the next turn again and again until a time of the loop."""
        loop = asyncio.get_running_loop()
        while loop.time() < until_s:
            answer = await self._clients.send_turn(
                self.name, b"<2>", self.last, 2_000, self.front
            )
            self.attempts.append(answer.attempt)
            await asyncio.sleep(0.4)


async def send_first_turns(
    clients: stand_ins.Clients, fronts: list[str], length_s: float
) -> float:
    """Sends turns of new programs; returns which share was served."""
    sent = []
    for number in range(int(length_s * 5)):
        front = fronts[number % len(fronts)]
        turn = clients.send_turn(clients.new_id(), b"<0>", front=front)
        sent.append(asyncio.ensure_future(turn))
        await asyncio.sleep(0.2)
    answers = await asyncio.gather(*sent)
    return sum(answer.served for answer in answers) / len(answers)


async def fail(platform: stand_ins.Platform) -> None:
    """Has a zone's disks lost while all other machines lose power."""
    for name in platform.machines:
        platform.kill(name)
    for machine in platform.machines.values():
        if machine.zone == ZONE and machine.role != "gateway":
            platform.wipe(machine.name)
    await asyncio.sleep(DOWN_S)
    for name in platform.machines:
        platform.start(name)


async def play(
    platform: stand_ins.Platform, record: stand_ins.Record, disturbs: bool
) -> int:
    """Plays the case; returns its exit status."""
    clients = stand_ins.Clients(platform, record)
    operator = stand_ins.Operator(platform, record)
    engines = [
        stand_ins.Server(platform, record, "models", zone, engine=True)
        for zone in stand_ins.ZONES
    ]
    for server in engines:
        await server.start()
    document = stand_ins.manifest(3)
    await stand_ins.warm_up(platform, operator, clients, document)
    fronts = [platform.front_of(name) for name in FRONTS]
    programs = [
        Program(clients, clients.new_id(), front)
        for front in fronts
        for _ in range(PROGRAMS)
    ]
    await asyncio.gather(*(program.begin() for program in programs))
    # Longer than `catch_up_s` after the start, so that no loss is under way.
    await asyncio.sleep(6.0)
    if disturbs:
        await fail(platform)
    record.note("all machines are back")
    loop = asyncio.get_running_loop()
    until_s = loop.time() + RECOVER_S
    going_on = [
        asyncio.ensure_future(program.go_on(until_s)) for program in programs
    ]
    await asyncio.sleep(RECOVER_S - LAST_S)
    share = await send_first_turns(clients, fronts, LAST_S)
    await asyncio.gather(*going_on)
    for server in engines:
        await server.stop()
    record.note(f"first turns served in the last {LAST_S} s: {share:.2f}")
    ran = {attempt for server in engines for attempt, _ in server.ran}
    lost = 0
    for program in programs:
        reached = sum(attempt in ran for attempt in program.attempts)
        lost += not reached
        record.note(
            f"turn {program.last}, answered whole at {program.front}:"
            f" {len(program.attempts)} tries go on from it,"
            f" {reached} reach a server"
        )
    record.note(f"{lost} of {len(programs)} turns are lost")
    if share < 0.8:
        raise stand_ins.CannotRunError("too few first turns are served")
    return stand_ins.BROKEN if lost else stand_ins.HELD


async def case(
    folder: pathlib.Path, record: stand_ins.Record, disturbs: bool
) -> int:
    """Starts the system, plays the case and ends all processes."""
    tolerate = {"machines": 1, "zones": 1}
    platform = stand_ins.Platform(folder, record, LAYOUT, tolerate)
    try:
        return await play(platform, record, disturbs)
    finally:
        platform.stop_all()


if __name__ == "__main__":
    sys.exit(stand_ins.run(FOLDER, case))
