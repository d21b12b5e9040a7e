"""Short soak of gateways, keepers and stores under faults."""

from __future__ import annotations

import asyncio
import json
import signal
import types
from typing import Any, cast

from tests import base, soakplatform
from tests.fakes import deployment

_SECONDS = 8.0


class SoakTest(base.TestCase):
    """Runs some seeds of the soak against real processes."""

    def test_faults_in_series_break_no_promise(self) -> None:
        """Processes, disks and connections fail in quick succession.

        Callers must get each answer once and complete, no call may run twice,
        and a request that was answered as not run must never have run.
        """
        self._run_seed(1)

    def test_blackouts_among_other_faults_break_no_promise(self) -> None:
        """All processes are sometimes killed and restarted together.

        The restarted leader ignores its own lease, and gateways let callers
        wait for it. No turn may be lost, and no call may run twice.
        """
        self._run_seed(104)

    def test_ends_during_the_first_start_break_no_promise(self) -> None:
        """Keepers are killed while the system is founded."""
        self._run_seed(1000)

    def test_faults_where_capacity_is_contended_break_no_promise(self) -> None:
        """Guards against lost or doubled requests by admission and hedging."""
        self._run_seed(2000)

    def test_faults_beside_crashing_calls_break_no_promise(self) -> None:
        """Guards against crashes without end, and refusals of harmless calls.

        A call that crashes servers comes under new programs meanwhile.
        """
        self._run_seed(3000)

    def test_signals_during_starts_in_any_order_break_no_promise(self) -> None:
        """Guards against processes that a signal ends while they start.

        The hosts also start in any order at first, one of them late.
        """
        self._run_seed(5000)

    def test_faults_beside_resumed_turns_break_no_promise(self) -> None:
        """Guards against histories that lack what a client got.

        Clients leave or lose their gateway, and go on at another one.
        """
        self._run_seed(8000)

    def _run_seed(self, seed: int) -> None:
        async def main() -> None:
            found = await soakplatform.run_seed(seed, _SECONDS)
            self.assertEqual([], found.problems, found.faults)
            self.assertGreater(found.statuses[200], 0)
            self.assertTrue(found.faults)

        self.run_async(main())


class SupervisionTest(base.TestCase):
    """Processes that end by themselves during a soak."""

    def test_process_that_a_reload_ends_at_its_start_is_started_again(
        self,
    ) -> None:
        """Guards against a host that stays away and is waited for in vain."""
        self.assertEqual([], self._problems(-signal.SIGHUP, has_started=False))

    def test_other_ends_are_problems(self) -> None:
        """Guards against a crash that nobody looks at."""
        for code in (-signal.SIGHUP, -signal.SIGKILL, 0, 1):
            self.assertEqual(
                [f"store-1 ended by itself with {int(code)}"],
                self._problems(code, has_started=True),
            )
        self.assertEqual(
            ["store-1 ended by itself with 2"],
            self._problems(2, has_started=False),
        )

    def test_stop_signal_at_the_start_ends_a_process(self) -> None:
        """Guards against a harness that has its processes ignore SIGINT.

        So they do at first if it is a background job of a shell.
        """
        before = signal.signal(signal.SIGINT, signal.SIG_IGN)
        self.addCleanup(signal.signal, signal.SIGINT, before)
        system = deployment.Deployment(self.folder)
        system.start("gateway-1")
        process = system.hosts["gateway-1"].process
        assert process is not None
        self.addCleanup(process.kill)
        process.send_signal(signal.SIGINT)
        self.assertIn(process.wait(_SECONDS), (0, -signal.SIGINT))

    def _problems(self, code: int, *, has_started: bool) -> list[str]:
        """Ends a process during a soak; returns the problems that it finds."""
        system = deployment.Deployment(self.folder)
        started: list[str] = []

        def start(name: str) -> None:
            started.append(name)
            system.hosts[name].process = None

        self.patch(system, "start", start)
        process = types.SimpleNamespace(poll=lambda: code)
        system.hosts["store-1"].process = cast("Any", process)
        lines = [{"decision": "start"}] if has_started else []
        text = "".join(json.dumps(line) + "\n" for line in lines)
        (self.folder / "store-1.log").write_text(text)
        self.patch(soakplatform, "_RESTART_DELAY_S", 0.01)

        problems: list[str] = []

        async def main() -> None:
            soak = soakplatform.Soak(system, "", seed=1, seconds=0.0)
            supervisor = asyncio.ensure_future(soak.supervise())
            await asyncio.sleep(0.1)
            supervisor.cancel()
            await soak.close()
            problems.extend(soak.found.problems)

        self.run_async(main())
        self.assertEqual(["store-1"], started)
        return problems


class AcknowledgedRoutesTest(base.TestCase):
    """What the soak expects of routes that are read back."""

    def test_routes_on_their_way_are_not_acknowledged(self) -> None:
        """Guards against a problem where two changes overlap.

        The first is acknowledged and read back while the second waits.
        """
        system = deployment.Deployment(self.folder)
        in_force = 0

        async def call_keeper(
            method: str, path: str, body: bytes = b""
        ) -> tuple[int, bytes]:
            nonlocal in_force
            if method == "GET":
                return 200, json.dumps({"version": in_force}).encode()
            version = json.loads(body)["version"]
            await asyncio.sleep(0.05 * version)
            in_force = version
            return 200, b""

        self.patch(system, "call_keeper", call_keeper)
        problems: list[str] = []

        async def main() -> None:
            soak = soakplatform.Soak(system, "", seed=1, seconds=0.0)
            await asyncio.gather(soak._change_routes(), soak._change_routes())
            await soak.close()
            problems.extend(soak.found.problems)
            self.assertEqual(2, soak._acknowledged_version)

        self.run_async(main())
        self.assertEqual([], problems)


class RepairedTest(base.TestCase):
    """Checks how the fake detects that a host is back with a new disk."""

    def test_what_a_host_wrote_before_does_not_count(self) -> None:
        """Old log lines would end the wait early.

        The soak would then delete a second disk before the first host is back.
        """
        system = deployment.Deployment(self.folder)
        for name in system.hosts:
            (self.folder / f"{name}.log").touch()
        system.hosts["keeper-1"].folder.mkdir()
        old_lines = [{"decision": "start"}, {"decision": "leader"}]
        self._write_log(old_lines)
        system.wipe("keeper-1")
        self.patch(deployment, "_WAIT_S", 0.2)
        self.patch(deployment, "_COPY_QUIET_S", 0.0)

        async def wait() -> None:
            await system.wait_repaired("keeper-1")

        with self.assertRaises(TimeoutError):
            self.run_async(wait())
        self._write_log(old_lines * 2)
        self.run_async(wait())

    def _write_log(self, lines: list[dict[str, str]]) -> None:
        text = "".join(json.dumps(line) + "\n" for line in lines)
        (self.folder / "keeper-1.log").write_text(text)
