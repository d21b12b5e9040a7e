"""Operators' commands against real processes."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
import time
from typing import TYPE_CHECKING, Any

from catkinpin import configuration
from tests import base, processes, replies

if TYPE_CHECKING:
    import pathlib


async def command(entry: str, *args: Any, code: int | None = 0) -> Any:
    """Runs `catkinpin`; returns what it printed, parsed, and its exit code."""
    shown = ["--entry", f"http://{entry}", "--operator-key", base.OPERATOR_KEY]
    process = await asyncio.create_subprocess_exec(
        *[sys.executable, "-m", "catkinpin", *map(str, args), *shown],
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
        cwd=processes.ROOT,
    )
    out, err = await process.communicate()
    text = out.decode() + err.decode()
    if code is not None and process.returncode != code:
        raise AssertionError(f"{args}: exit {process.returncode}: {text}")
    line = out.decode().splitlines()[-1] if out.strip() else "null"
    body = json.loads(line) if line[0] in "{n" else line
    return (body, process.returncode) if code is None else body


async def leader_of(cluster: base.Cluster) -> str:
    """Waits until one replica leads the control group."""

    async def find() -> str:
        for name in cluster.admin:
            url = f"http://{cluster.admin[name]}/metrics"
            async with cluster.http.get(url) as resp:
                text = await resp.text()
            if 'catkinpin_group_leads{group="control"} 1.0' in text:
                return name
        return ""

    found: str = await base.until(find, "a leader of the control group")
    return found


class OperatorsTest(base.TestCase):
    """Changes and plans as operators make them."""

    def write(self, name: str, content: str) -> pathlib.Path:
        """Writes a configuration and returns its path."""
        path = self.folder / name
        path.write_text(content)
        return path

    def test_two_operators_race(self) -> None:
        """Two operators apply from the same revision at the same time.

        One wins; the other's command fails with the conflict's exit code and
        names the winner, her request and what she changed.
        """
        self.run_async(self._race())

    async def _race(self) -> None:
        cluster = await base.small(self.folder, entries=2)
        async with cluster:
            results = await asyncio.gather(
                *[
                    command(
                        entry,
                        *("apply", self.write(name, base.config(tokens))),
                        *("--base", 1, "--operator", name, "--json"),
                        *("--request-id", f"change-of-{name}"),
                        code=None,
                    )
                    for entry, name, tokens in zip(
                        cluster.entries, ("ana", "ben"), (7, 8), strict=True
                    )
                ]
            )
            self.assertEqual([0, 4], sorted(code for _, code in results))
            (won, _), (lost, _) = sorted(results, key=lambda one: one[1])
            self.assertTrue(won["accepted"])
            self.assertEqual(won["operator"], lost["operator"])
            self.assertEqual(won["request_id"], lost["request_id"])
            self.assertEqual(["deployment all"], lost["changed"])

    def test_resend_after_a_lost_answer(self) -> None:
        """The answer to a change is lost on its way back to the operator.

        The command says that the outcome is not known and with which id to
        send it again; the resend gets the first answer and changes nothing
        more.
        """
        self.run_async(self._resend())

    async def _resend(self) -> None:
        cluster = await base.small(self.folder)
        async with cluster:
            through = cluster.add_proxy("proxy", cluster.entries[0])
            await cluster.steer("proxy", down_silent=True)
            file = self.write("new.toml", base.config(500))
            args = ("apply", file, "--base", 1, "--json", "--request-id", "r")
            await command(through, *args, "--timeout-ms", 1500, code=5)
            await cluster.steer("proxy", down_silent=False)
            first = await command(through, *args)
            again = await command(cluster.entries[0], *args)
            self.assertEqual((True, 2), (first["accepted"], first["revision"]))
            self.assertEqual(first, again)
            shown = await command(cluster.entries[0], "show")
            self.assertEqual(2, shown["revision"])

    def test_a_frozen_entry_never_serves_an_old_configuration(self) -> None:
        """An entry is frozen while an operator withdraws an account's key.

        The command names the entry until its lease has lapsed. Once the entry
        runs again it refuses calls as not run until it has confirmed the new
        configuration; the withdrawn key never works again.
        """
        self.run_async(self._frozen())

    async def _frozen(self) -> None:
        cluster = await base.small(self.folder, entries=2)
        async with cluster:
            frozen = cluster.processes["entry-2"]
            frozen.signal(signal.SIGSTOP)
            digest = configuration.key_digest(base.ACCOUNT_KEYS["ruegg"])
            other = configuration.key_digest("a new key")
            file = self.write("b.toml", base.config().replace(digest, other))
            args = (
                *("apply", file, "--base", 1, "--wait", "--json"),
                *("--request-id", "withdraw"),
            )
            lacking = await command(
                cluster.entries[0], *args, "--wait-ms", 300, code=6
            )
            names = [one["process"] for one in lacking["lacking"]]
            self.assertEqual(["entry-2"], names)
            calls = [
                asyncio.create_task(
                    cluster.chat("entry-2", "berater", [base.user(f"{i}")])
                )
                for i in range(5)
            ]
            await command(cluster.entries[0], *args)
            frozen.signal(signal.SIGCONT)
            seen = set()
            while 401 not in seen:
                reply = await cluster.chat(
                    "entry-2", "berater", [base.user("late")]
                )
                self.assertEqual("not-run", reply.verdict)
                seen.add(reply.status)
            for reply in await asyncio.gather(*calls):
                self.assertIn(reply.status, (401, 503))
                self.assertEqual("not-run", reply.verdict)

    def test_the_control_leader_dies_after_a_change(self) -> None:
        """The control leader is killed right after a change was accepted.

        A resend gets the first answer from its successor, the change comes
        into force everywhere, and calls are answered all the while.
        """
        self.run_async(self._leader_dies())

    async def _leader_dies(self) -> None:
        cluster = await base.small(self.folder, replicas=3)
        async with cluster:
            leader = await leader_of(cluster)
            file = self.write("new.toml", base.config(500_000))
            args = ("apply", file, "--base", 1, "--json", "--request-id", "r")
            first = await command(cluster.entries[0], *args)
            cluster.processes[leader].kill()
            call = cluster.chat("entry-1", "berater", [base.user("go on")])
            again, reply = await asyncio.gather(
                command(cluster.entries[0], *args, "--wait"), call
            )
            self.assertEqual({"revision": 2}, again)
            self.assertEqual((True, 2), (first["accepted"], first["revision"]))
            self.assertEqual(200, reply.status)
            shown = await command(cluster.entries[0], "show")
            self.assertEqual(2, shown["revision"])

    def test_a_drain_by_plan_cuts_no_call(self) -> None:
        """An operator drains a backend server by a plan while calls run.

        After two seconds the server gets no new work; no call is cut or
        refused, and the plan ends. Undone, the server gets work again.
        """
        self.run_async(self._drain())

    async def _drain(self) -> None:
        cluster = await base.small(self.folder)
        async with cluster:
            cluster.add_fake("engine", "engine-2", token_ms=20)
            entry = cluster.entries[0]
            got: list[replies.Reply] = []
            stop = asyncio.Event()

            async def load(number: int) -> None:
                turn = 0
                while not stop.is_set():
                    turn += 1
                    got.append(
                        await cluster.chat(
                            "entry-1",
                            "berater",
                            [base.user(f"{number} {turn}")],
                        )
                    )

            tasks = [asyncio.create_task(load(n)) for n in range(6)]

            async def seen() -> int:
                return len((await cluster.look("engine-2"))["seen"])

            async def busy() -> bool:
                return await seen() > 5

            await base.until(busy, "engine-2 has work")
            made = await command(
                entry, "plan", "drain", "server", "engine-2", "--json"
            )
            plan_id = made["plan"]["plan_id"]
            self.assertEqual(["engine-1"], made["plan"]["rest"])
            await command(entry, "confirm", plan_id)
            since = time.monotonic()

            async def done() -> Any:
                body = await command(entry, "status", "--json")
                states = {p["plan_id"]: p["state"] for p in body["plans"]}
                return states[plan_id] == "done" and body

            body = await base.until(done, "the plan is done")
            await asyncio.sleep(max(0.0, since + 2 - time.monotonic()))
            before, served = await seen(), len(got)
            while len(got) < served + 20:
                await asyncio.sleep(0.05)
            self.assertEqual(before, await seen())
            states = {s["server"]: s["state"] for s in body["servers"]}
            self.assertEqual("drained", states["engine-2"])
            await command(entry, "undo", plan_id)

            async def again() -> bool:
                return await seen() > before

            await base.until(again, "engine-2 has work again")
            stop.set()
            await asyncio.gather(*tasks)
            self.assertEqual({200}, {reply.status for reply in got})

    def test_a_new_version_is_ordered_with_a_fencing_token(self) -> None:
        """An operator brings a new version to a model's servers.

        Each engine gets the order once, with a rising fencing token, while it
        has no work; undone, it gets the old version back. A plan whose base
        has changed is refused with what has changed.
        """
        self.run_async(self._version())

    async def _version(self) -> None:
        cluster = await base.small(self.folder)
        async with cluster:
            entry = cluster.entries[0]
            cluster.add_fake("engine", "engine-2", honours_fencing=1)

            async def known() -> bool:
                body = await command(entry, "status", "--json")
                return len(body["servers"]) == 3

            await base.until(known, "all servers are known")
            wish = ("plan", "version", "all", "berater", "v2", "--json")
            plan_id = (await command(entry, *wish))["plan"]["plan_id"]
            other = (await command(entry, *wish))["plan"]["plan_id"]
            await command(entry, "confirm", plan_id, "--operator", "ana")

            async def orders() -> list[Any]:
                found = []
                for name in ("engine-1", "engine-2"):
                    found += (await cluster.look(name))["orders"]
                return found

            async def ordered() -> bool:
                body = await command(entry, "status", "--json")
                states = {p["plan_id"]: p["state"] for p in body["plans"]}
                return bool(states[plan_id] == "done")

            await base.until(ordered, "both engines have the version")
            first = [(one["version"], one["fence"]) for one in await orders()]
            self.assertEqual([("v2", 1), ("v2", 2)], first)
            refused = await command(entry, "confirm", other, "--json", code=4)
            self.assertIn("by ana", refused["problems"][0])
            await command(entry, "undo", plan_id)

            async def undone() -> bool:
                return len(await orders()) == 4

            await base.until(undone, "both engines went back")
            last = [one["version"] for one in await orders()]
            self.assertEqual(["v2", "", "v2", ""], last)
