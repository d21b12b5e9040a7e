"""Replica processes that are killed, suspended, cut off or lose their disk."""

from __future__ import annotations

import asyncio
import shutil
import signal
import subprocess
import sys
import time
from typing import TYPE_CHECKING, Any

from catkinpin import configuration
from catkinpin.process import EXIT_STORAGE_ERROR
from tests import base, ports, processes

if TYPE_CHECKING:
    import pathlib
    from collections.abc import Awaitable, Callable

_KEY = configuration.key_digest(base.OPERATOR_KEY)
_GROUP = "shard-0"
_NAMES = ("replica-1", "replica-2", "replica-3")
_SERVICE_CAPACITY = 8  # Calls that the fake service runs at a time.


class ReplicasTest(base.TestCase):
    """Three replicas, an entry, and a service that counts its effects."""

    def start(
        self, main: Callable[[base.Cluster], Awaitable[None]], proxied: bool
    ) -> None:
        """Runs `main` with a cluster that is ready for calls."""

        async def run_cluster() -> None:
            cluster = base.Cluster(self.folder)
            async with cluster:
                if proxied:
                    add_proxied_replicas(cluster)
                else:
                    cluster.add_replicas(
                        3, operator_key_sha256=_KEY, snapshot_entries=20
                    )
                cluster.add_entry("entry-1")
                cluster.add_fake("service", "service-1")
                await cluster.apply(base.config())
                await cluster.ready("entry-1")
                await cluster.serving("entry-1", "kiosk-app", "service")
                await main(cluster)

        self.run_async(run_cluster())

    async def call_pay(self, cluster: base.Cluster, order: str) -> None:
        """Makes a call that must not be repeated, and checks its answer."""
        reply = await cluster.call_service(
            "entry-1",
            "kiosk-app",
            "pay",
            "12.50",
            headers={"Idempotency-Key": order, "Catkinpin-Program": order},
        )
        self.assertEqual(200, reply.status, reply.body)
        self.assertEqual(order, reply.json["done"])

    async def check_paid_once(
        self, cluster: base.Cluster, *orders: str
    ) -> None:
        """Checks that repeated calls get an answer and ran only once."""
        for order in orders:
            await self.call_pay(cluster, order)
        effects = (await cluster.look("service-1"))["effects"]
        self.assertEqual([1] * len(orders), [effects[o] for o in orders])

    def test_leader_is_killed_during_a_call(self) -> None:
        """Guards against a lost or repeated call if the leader is killed.

        The shard's leader is killed while the service runs the call.
        """

        async def main(cluster: base.Cluster) -> None:
            await self.call_pay(cluster, "before")
            await cluster.steer("service-1", delay_ms=300)
            call = asyncio.create_task(self.call_pay(cluster, "during"))
            await wait_running(cluster, "during")
            leader = await wait_leader(cluster)
            cluster.processes[leader].kill()
            await call
            await cluster.steer("service-1", delay_ms=0)
            await self.call_pay(cluster, "after")
            await self.check_paid_once(cluster, "before", "during", "after")
            cluster.processes[leader].start()
            await cluster.ready(leader)

        self.start(main, proxied=False)

    def test_leader_is_frozen_and_wakes(self) -> None:
        """Guards against a suspended leader that still leads once it resumes.

        The others must serve calls meanwhile.
        """

        async def main(cluster: base.Cluster) -> None:
            await cluster.steer("service-1", delay_ms=300)
            call = asyncio.create_task(self.call_pay(cluster, "during"))
            await wait_running(cluster, "during")
            old = await wait_leader(cluster)
            cluster.processes[old].signal(signal.SIGSTOP)
            await call
            await cluster.steer("service-1", delay_ms=0)
            await self.call_pay(cluster, "frozen")
            new = await wait_leader(cluster, excluded=old)
            cluster.processes[old].signal(signal.SIGCONT)
            await cluster.ready(old)
            self.assertEqual(new, await wait_leader(cluster))
            await self.check_paid_once(cluster, "during", "frozen")

        self.start(main, proxied=False)

    def test_call_that_waits_while_the_leader_changes(self) -> None:
        """Guards against a call that waits for a former leader.

        The call is queued at a leader that is suspended for a moment. The
        former leader resumes on the same connections, but no longer answers
        the call. The caller must not wait for it until the deadline.
        """

        async def main(cluster: base.Cluster) -> None:
            await cluster.steer("service-1", delay_ms=2_500)
            calls = [
                asyncio.create_task(self.call_pay(cluster, f"order-{number}"))
                for number in range(_SERVICE_CAPACITY + 1)
            ]
            await wait_running(cluster, "order-0")
            await wait_known(cluster, _SERVICE_CAPACITY + 1)
            old = await wait_leader(cluster)
            cluster.processes[old].signal(signal.SIGSTOP)
            await wait_leader(cluster, excluded=old)
            cluster.processes[old].signal(signal.SIGCONT)
            await cluster.steer("service-1", delay_ms=0)
            await asyncio.wait_for(asyncio.gather(*calls), 20)
            await self.check_paid_once(
                cluster, "order-0", f"order-{_SERVICE_CAPACITY}"
            )

        self.start(main, proxied=False)

    def test_answer_waits_until_a_quorum_has_it(self) -> None:
        """Guards against an answer that is sent before a quorum stored it.

        Both other replicas are suspended while the service runs the call. The
        answer is then on a single disk, which could be lost. The caller must
        get it only once the others resume, and the call must not run twice.
        """

        async def main(cluster: base.Cluster) -> None:
            leader = await wait_leader(cluster)
            others = [name for name in _NAMES if name != leader]
            await cluster.steer("service-1", delay_ms=300)
            call = asyncio.create_task(self.call_pay(cluster, "during"))
            await wait_running(cluster, "during")
            for name in others:
                cluster.processes[name].signal(signal.SIGSTOP)

            async def has_stepped_down() -> bool:
                return not await leads(cluster, leader)

            async def has_answered() -> bool:
                return bool((await cluster.look("service-1"))["running"] == 0)

            await base.until(has_answered, "the service to answer")
            await base.until(has_stepped_down, "the leader to step down")
            self.assertFalse(call.done())
            for name in others:
                cluster.processes[name].signal(signal.SIGCONT)
            await call
            await cluster.steer("service-1", delay_ms=0)
            await self.check_paid_once(cluster, "during")

        self.start(main, proxied=False)

    def test_planned_stop_of_the_leader(self) -> None:
        """Guards against failed or slow calls when the leader is stopped.

        No call may fail or wait for an election timeout.
        """

        async def main(cluster: base.Cluster) -> None:
            leader = await wait_leader(cluster)
            stop = asyncio.create_task(
                asyncio.to_thread(cluster.processes[leader].stop)
            )
            slowest_s = 0.0
            number = 0
            while not stop.done() or number < 20:
                start_s = time.monotonic()
                await self.call_pay(cluster, f"order-{number}")
                slowest_s = max(slowest_s, time.monotonic() - start_s)
                number += 1
            self.assertEqual(0, await stop)
            self.assertLess(slowest_s, 0.5)
            orders = [f"order-{n}" for n in range(number)]
            await self.check_paid_once(cluster, *orders)

        self.start(main, proxied=False)

    def test_leader_hears_nothing_but_is_heard(self) -> None:
        """Guards against a leader that keeps leading but receives nothing.

        Messages to the leader's host are lost, but those that it sends arrive.
        It must step down, or else the callers would wait forever.
        """

        async def main(cluster: base.Cluster) -> None:
            await self.call_pay(cluster, "before")
            old = await wait_leader(cluster)
            await cluster.steer(f"proxy-{old}", up_silent=True)
            await self.call_pay(cluster, "cut")
            await wait_leader(cluster, excluded=old)
            await cluster.steer(f"proxy-{old}", up_silent=False)
            await cluster.ready(old)
            await self.check_paid_once(cluster, "before", "cut")

        self.start(main, proxied=True)

    def test_second_host_is_lost_right_after_a_repair(self) -> None:
        """Guards against a repair that reports safety too early.

        A disk is lost and its replica repaired. Once the operator's command
        reports that it is safe, another host is lost. All answers must still
        be there, and new calls must be served.
        """

        async def main(cluster: base.Cluster) -> None:
            orders = [f"order-{n}" for n in range(20)]
            for order in orders:
                await self.call_pay(cluster, order)
            lost = await wait_leader(cluster)
            restart_empty(cluster, lost)
            code, out = await repair(cluster, lost)
            self.assertEqual((0, True), (code, out.startswith("safe")), out)
            snapshots = (self.folder / lost / "snapshots").glob(f"{_GROUP}-*")
            self.assertTrue(list(snapshots))
            others = [n for n in ("replica-1", "replica-2", "replica-3")]
            others.remove(lost)
            shutil.rmtree(self.folder / others[0])
            cluster.processes[others[0]].kill()
            await self.check_paid_once(cluster, *orders, "after")

        self.start(main, proxied=False)

    def test_damaged_disk_stops_only_its_replica(self) -> None:
        """Guards against a replica that runs with a damaged log.

        It must stop with an error that says what to do; the others must serve.
        """

        async def main(cluster: base.Cluster) -> None:
            for number in range(5):
                await self.call_pay(cluster, f"order-{number}")
            process = cluster.processes["replica-3"]
            process.kill()
            damage(min((self.folder / "replica-3" / "log").iterdir()))
            process.start()

            async def ended() -> bool:
                return process.exit_code() is not None

            await base.until(ended, "the replica stops by itself")
            self.assertEqual(EXIT_STORAGE_ERROR, process.exit_code())
            self.assertIn("catkinpin repair", process.log.read_text())
            await self.call_pay(cluster, "with-two")

        self.start(main, proxied=False)

    def test_wiped_replica_waits_for_the_operator(self) -> None:
        """Guards against a replica that participates with an empty folder.

        A wrong mount can cause that. Its readiness check must say why it waits.
        """

        async def main(cluster: base.Cluster) -> None:
            restart_empty(cluster, "replica-2")

            async def says_why() -> bool:
                url = f"http://{cluster.admin['replica-2']}/health/ready"
                async with cluster.http.get(url) as resp:
                    return "catkinpin repair" in await resp.text()

            await base.until(says_why, "the replica asks for a repair")
            await self.call_pay(cluster, "with-two")

        self.start(main, proxied=False)


def damage(path: pathlib.Path) -> None:
    """Flips a bit in the first third of a file."""
    content = bytearray(path.read_bytes())
    content[len(content) // 3] ^= 1
    path.write_bytes(content)


def add_proxied_replicas(cluster: base.Cluster) -> None:
    """Starts replicas that each are reached through a proxy."""
    numbers = ports.free_ports(6)
    for number in range(3):
        name = f"replica-{number + 1}"
        proxy = cluster.add_proxy(
            f"proxy-{name}", f"127.0.0.1:{numbers[number]}"
        )
        cluster.replicas.append(proxy)
    for number, advertised in enumerate(cluster.replicas):
        name = f"replica-{number + 1}"
        cluster.admin[name] = f"127.0.0.1:{numbers[number + 3]}"
        cluster.spawn(
            name,
            "catkinpin replica",
            name=name,
            peer_listen=f"127.0.0.1:{numbers[number]}",
            peer_advertise=advertised,
            admin_listen=cluster.admin[name],
            data_folder=cluster.folder / name,
            replicas=cluster.replicas,
        )


async def leads(cluster: base.Cluster, name: str) -> bool:
    """Returns whether a replica leads the shard."""
    url = f"http://{cluster.admin[name]}/metrics"
    async with cluster.http.get(url) as resp:
        text: str = await resp.text()
    return f'catkinpin_group_leads{{group="{_GROUP}"}} 1.0' in text


async def wait_leader(cluster: base.Cluster, excluded: str = "") -> str:
    """Waits until one replica other than `excluded` leads the shard."""

    async def find() -> Any:
        found = []
        for name in _NAMES:
            if name != excluded and await leads(cluster, name):
                found.append(name)
        return found[0] if len(found) == 1 else None

    leader: str = await base.until(find, f"a leader other than {excluded!r}")
    return leader


async def wait_running(cluster: base.Cluster, order: str) -> None:
    """Waits until the service runs the call of an order."""

    async def check() -> bool:
        return order in (await cluster.look("service-1"))["effects"]

    await base.until(check, f"the service acts on {order}")


async def wait_known(cluster: base.Cluster, orders: int) -> None:
    """Waits until the shard knows the programs of that many orders."""
    auth = {"Authorization": f"Bearer {base.ACCOUNT_KEYS['kunci']}"}

    async def check() -> bool:
        for number in range(orders):
            url = f"{cluster.addresses['entry-1']}/v1/programs/order-{number}"
            async with cluster.http.get(url, headers=auth) as resp:
                if resp.status != 200:
                    return False
        return True

    await base.until(check, f"{orders} programs are known")


def restart_empty(cluster: base.Cluster, name: str) -> None:
    """Kills a replica and starts it on an empty data folder."""
    cluster.processes[name].kill()
    folder: pathlib.Path = cluster.folder / name
    shutil.rmtree(folder)
    cluster.processes[name].start()


async def repair(cluster: base.Cluster, name: str) -> tuple[int, str]:
    """Runs the operator's command until the replica accepts it."""
    command = [sys.executable, "-m", "catkinpin", "repair"]
    command += [f"http://{cluster.admin[name]}"]
    command += ["--operator-key", base.OPERATOR_KEY]

    async def run() -> Any:
        done = await asyncio.to_thread(
            subprocess.run, command, capture_output=True, cwd=processes.ROOT
        )
        out = done.stdout.decode() + done.stderr.decode()
        return None if done.returncode == 1 else (done.returncode, out)

    code, out = await base.until(run, "the repair command is taken")
    return code, out
