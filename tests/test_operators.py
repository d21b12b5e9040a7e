"""Operators' commands against running processes."""

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
    """Runs `catkinpin` with the arguments and returns its parsed output.

    If `code` is None, returns the output and the exit code; otherwise fails
    if the exit code differs from `code`.
    """
    options = [
        "--entry",
        f"http://{entry}",
        "--operator-key",
        base.OPERATOR_KEY,
    ]
    process = await asyncio.create_subprocess_exec(
        *[sys.executable, "-m", "catkinpin", *map(str, args), *options],
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


async def find_control_leader(cluster: base.Cluster) -> str:
    """Waits until a replica leads the control group; returns its name."""

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
    """Changes and plans that operators make with commands."""

    def write_config(self, name: str, content: str) -> pathlib.Path:
        """Writes a configuration file and returns its path."""
        path = self.folder / name
        path.write_text(content)
        return path

    def test_two_operators_race(self) -> None:
        """Guards against a lost update when two operators change one revision.

        Both apply a change at the same time. One change is accepted; the other
        command fails with the exit code for a conflict and shows the operator,
        the request and the items of the accepted change.
        """
        self.run_async(self._apply_concurrently())

    async def _apply_concurrently(self) -> None:
        cluster = await base.small(self.folder, entries=2)
        async with cluster:
            results = await asyncio.gather(
                *[
                    command(
                        entry,
                        *(
                            "apply",
                            self.write_config(name, base.config(tokens)),
                        ),
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
        """Guards against a second application of a change that is resent.

        The answer to a change is lost, and the command reports an unknown
        outcome and the request id for a resend. The resends get the first
        answer and change nothing.
        """
        self.run_async(self._resend_change())

    async def _resend_change(self) -> None:
        cluster = await base.small(self.folder)
        async with cluster:
            proxied_entry = cluster.add_proxy("proxy", cluster.entries[0])
            await cluster.steer("proxy", down_silent=True)
            file = self.write_config("new.toml", base.config(500))
            args = ("apply", file, "--base", 1, "--json", "--request-id", "r")
            await command(proxied_entry, *args, "--timeout-ms", 1500, code=5)
            await cluster.steer("proxy", down_silent=False)
            first = await command(proxied_entry, *args)
            again = await command(cluster.entries[0], *args)
            self.assertEqual((True, 2), (first["accepted"], first["revision"]))
            self.assertEqual(first, again)
            shown = await command(cluster.entries[0], "show")
            self.assertEqual(2, shown["revision"])

    def test_a_frozen_entry_never_serves_an_old_configuration(self) -> None:
        """Guards against a withdrawn key that still works at some entry.

        An entry is frozen while an operator withdraws an account's key. The
        command names the entry until its lease has expired. Once the entry
        runs again, it refuses calls as not run until it has confirmed the new
        configuration, and the key as unauthorized from then on.
        """
        self.run_async(self._withdraw_key_from_frozen_entry())

    async def _withdraw_key_from_frozen_entry(self) -> None:
        cluster = await base.small(self.folder, entries=2)
        async with cluster:
            frozen_entry = cluster.processes["entry-2"]
            frozen_entry.signal(signal.SIGSTOP)
            digest = configuration.key_digest(base.ACCOUNT_KEYS["ruegg"])
            other = configuration.key_digest("a new key")
            file = self.write_config(
                "b.toml", base.config().replace(digest, other)
            )
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
            frozen_entry.signal(signal.SIGCONT)
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
        """Guards against a change that is lost or repeated with its leader.

        The control leader is killed right after it has accepted a change. A
        resend gets the first answer from its successor, the change is in force
        everywhere, and a call meanwhile is answered.
        """
        self.run_async(self._kill_leader())

    async def _kill_leader(self) -> None:
        cluster = await base.small(self.folder, replicas=3)
        async with cluster:
            leader = await find_control_leader(cluster)
            file = self.write_config("new.toml", base.config(500_000))
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
        """Guards against calls that fail because of a drain.

        An operator drains a backend server with a plan while calls run. Once
        the plan is done, and two seconds after its confirmation, the server
        gets no new work. After the undo it does again. All calls are answered.
        """
        self.run_async(self._drain_server())

    async def _drain_server(self) -> None:
        cluster = await base.small(self.folder)
        async with cluster:
            cluster.add_fake("engine", "engine-2", token_ms=20)
            entry = cluster.entries[0]
            answers: list[replies.Reply] = []
            stop = asyncio.Event()

            async def send_calls(number: int) -> None:
                turn = 0
                while not stop.is_set():
                    turn += 1
                    answers.append(
                        await cluster.chat(
                            "entry-1",
                            "berater",
                            [base.user(f"{number} {turn}")],
                        )
                    )

            tasks = [asyncio.create_task(send_calls(n)) for n in range(6)]

            async def count_requests() -> int:
                return len((await cluster.look("engine-2"))["seen"])

            async def has_work() -> bool:
                return await count_requests() > 5

            await base.until(has_work, "engine-2 has work")
            made = await command(
                entry, "plan", "drain", "server", "engine-2", "--json"
            )
            plan_id = made["plan"]["plan_id"]
            self.assertEqual(["engine-1"], made["plan"]["rest"])
            await command(entry, "confirm", plan_id)
            confirmed_s = time.monotonic()

            async def plan_is_done() -> Any:
                body = await command(entry, "status", "--json")
                states = {p["plan_id"]: p["state"] for p in body["plans"]}
                return states[plan_id] == "done" and body

            body = await base.until(plan_is_done, "the plan is done")
            await asyncio.sleep(max(0.0, confirmed_s + 2 - time.monotonic()))
            before, served = await count_requests(), len(answers)
            while len(answers) < served + 20:
                await asyncio.sleep(0.05)
            self.assertEqual(before, await count_requests())
            states = {s["server"]: s["state"] for s in body["servers"]}
            self.assertEqual("drained", states["engine-2"])
            await command(entry, "undo", plan_id)

            async def has_new_work() -> bool:
                return await count_requests() > before

            await base.until(has_new_work, "engine-2 has work again")
            stop.set()
            await asyncio.gather(*tasks)
            self.assertEqual({200}, {reply.status for reply in answers})

    def test_a_new_version_is_ordered_with_a_fencing_token(self) -> None:
        """Guards against orders that engines miss, repeat or mix up.

        An operator loads a new version on a model's servers. Each engine gets
        the order once, while it runs no call and with an increasing fencing
        token, and after the undo an order for the old version. A second plan,
        whose base has changed, is refused and names the operator of the change.
        """
        self.run_async(self._load_version())

    async def _load_version(self) -> None:
        cluster = await base.small(self.folder)
        async with cluster:
            entry = cluster.entries[0]
            cluster.add_fake("engine", "engine-2", honours_fencing=1)

            async def knows_all_servers() -> bool:
                body = await command(entry, "status", "--json")
                return len(body["servers"]) == 3

            await base.until(knows_all_servers, "all servers are known")
            args = ("plan", "version", "all", "berater", "v2", "--json")
            plan_id = (await command(entry, *args))["plan"]["plan_id"]
            other = (await command(entry, *args))["plan"]["plan_id"]
            await command(entry, "confirm", plan_id, "--operator", "ana")

            async def list_orders() -> list[Any]:
                found = []
                for name in ("engine-1", "engine-2"):
                    found += (await cluster.look(name))["orders"]
                return found

            async def plan_is_done() -> bool:
                body = await command(entry, "status", "--json")
                states = {p["plan_id"]: p["state"] for p in body["plans"]}
                return bool(states[plan_id] == "done")

            await base.until(plan_is_done, "both engines have the version")
            first = [
                (one["version"], one["fence"]) for one in await list_orders()
            ]
            self.assertEqual([("v2", 1), ("v2", 2)], first)
            refused = await command(entry, "confirm", other, "--json", code=4)
            self.assertIn("by ana", refused["problems"][0])
            await command(entry, "undo", plan_id)

            async def has_all_orders() -> bool:
                return len(await list_orders()) == 4

            await base.until(has_all_orders, "both engines went back")
            last = [one["version"] for one in await list_orders()]
            self.assertEqual(["v2", "", "v2", ""], last)
