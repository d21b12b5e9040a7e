"""Measures the traffic and processor time that the control group costs a node.

This process simulates nodes. Each has the production code of an entry's streams
to real replica processes, of its lease and of its configuration. Relays between
them count bytes; this needs a separate run, because the relays use processor
time too. The cost per node is the slope over the number of simulated nodes; see
docs/design/control-traffic.md.
"""

from __future__ import annotations

import argparse
import asyncio
import dataclasses
import json
import pathlib
import resource
import shutil
import tempfile
import time
import uuid
from typing import Any

import uvloop

from catkinpin import clock, configuration
from catkinpin.adapters.entry import configured, shards
from catkinpin.core import messages
from catkinpin.core.operations import changes
from catkinpin.core.operations import deployments as items
from catkinpin.core.programs import sharding
from tests import base

# IPv4 and TCP headers (with timestamps) of a segment and its acknowledgement.
_HEADER_BYTES_PER_CHUNK = 2 * (20 + 32)
_CHANGES_PER_DAY = 7_300
_SECONDS_PER_DAY = 86_400
_WARM_UP_S = 4.0
_STOP_TIMEOUT_S = 5.0


@dataclasses.dataclass
class TrafficCount:
    """Traffic that the relays have forwarded.

    Attributes:
        payload_bytes: TCP payload in both directions.
        chunk_count: number of reads, as an estimate of the number of segments.
    """

    payload_bytes: int = 0
    chunk_count: int = 0

    @property
    def wire_bytes(self) -> int:
        """Bytes including headers, if each chunk is acknowledged separately."""
        return self.payload_bytes + _HEADER_BYTES_PER_CHUNK * self.chunk_count


class CountingRelay:
    """Forwards connections to a replica and counts their traffic."""

    def __init__(self, target: str, traffic: TrafficCount) -> None:
        self._target = target
        self._traffic = traffic

    async def start(self) -> str:
        """Starts to listen and returns the relay's address."""
        server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self._server = server
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self._target.rpartition(":")
        up_reader, up_writer = await asyncio.open_connection(host, int(port))
        await asyncio.gather(
            self._forward(reader, up_writer), self._forward(up_reader, writer)
        )

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while chunk := await reader.read(65_536):
            self._traffic.payload_bytes += len(chunk)
            self._traffic.chunk_count += 1
            writer.write(chunk)
        writer.close()


class SimulatedEntry:
    """A simulated entry with real streams, lease and configuration.

    Args:
        name: process name of the entry.
        replicas: maps each replica's address to the address to connect to,
            which is that of a relay if bytes are counted.
    """

    def __init__(self, name: str, replicas: dict[str, str]) -> None:
        hello = messages.Hello(
            process=name,
            incarnation=uuid.uuid4().hex,
            role="entry",
            address="127.0.0.1:1",
            domain="zh-a",
            region="ch-nord",
        )
        self.configured = configured.ActiveConfiguration()
        self.replicas = shards.Replicas(
            list(replicas.values()), hello, self._handle, lambda _: None
        )
        # Replicas name leaders by the replicas' own addresses, not by those of
        # the relays.
        for address, connect_address in replicas.items():
            self.replicas.links[address] = self.replicas.links.pop(
                connect_address
            )
        self.lease = configured.LeaseHolder(
            self.replicas,
            clock.system_clock(),
            lambda: self.configured.revision,
            self.configured.apply_update,
        )
        self.replicas.start()
        self._task = asyncio.create_task(self.lease.run())

    def _handle(self, message: Any) -> None:
        if isinstance(message, changes.ConfigUpdate):
            self.configured.apply_update(message)
            self.lease.renew_now()

    async def knows_leader(self) -> bool:
        """Returns whether the entry knows the leader of the control group."""
        return bool(self.replicas.knows_leader(sharding.CONTROL_GROUP))

    async def may_serve(self) -> bool:
        """Returns whether the entry's lease lets it serve."""
        return self.lease.problem() == ""

    async def stop(self) -> None:
        """Closes the streams."""
        self._task.cancel()
        await self.replicas.stop()


async def apply_change(node: SimulatedEntry, *upserts: items.Item) -> None:
    """Applies a configuration change through an entry.

    Returns once the entry has the new revision.
    """
    base_revision = node.configured.revision

    def make_apply(ask: int) -> changes.Apply:
        return changes.Apply(
            ask=ask,
            request_id=f"change-{base_revision}",
            base_revision=base_revision,
            upserts=list(upserts),
            operator="bench",
        )

    applied = await node.replicas.ask(sharding.CONTROL_GROUP, make_apply, 10)
    assert applied.accepted, applied

    async def has_revision() -> bool:
        return bool(node.configured.revision >= applied.revision)

    await base.until(has_revision, "the node has the change")


def make_account(number: int, key: str = "") -> items.Account:
    """Returns the account with the given number."""
    digest = configuration.key_digest(f"{number} {key}")
    return items.Account(name=f"account-{number}", key_sha256=digest)


def make_deployment(turn: int) -> items.Deployment:
    """Returns the deployment that each change replaces."""
    return items.Deployment(
        name="advice",
        targets=["berater", "melder"],
        servers=items.ServerSet(off=[f"berater-{turn % 9}"]),
        priority=turn % 100,
    )


async def measure(args: argparse.Namespace, nodes: int) -> dict[str, Any]:
    """Measures an idle and a busy interval with `nodes` simulated entries."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="controlbench-"))
    traffic = TrafficCount()
    async with base.Cluster(folder) as cluster:
        cluster.add_replicas(args.replicas)
        relay_addresses = {address: address for address in cluster.replicas}
        if args.count_bytes:
            relays = [CountingRelay(a, traffic) for a in cluster.replicas]
            for address, relay in zip(cluster.replicas, relays, strict=True):
                relay_addresses[address] = await relay.start()
        for name in cluster.admin:
            await cluster.ready(name)
        first_entry = SimulatedEntry("node-0", relay_addresses)
        await base.until(first_entry.knows_leader, "the leader is known")
        await apply_change(
            first_entry,
            make_deployment(0),
            *map(make_account, range(args.accounts)),
        )
        entries = [first_entry]
        for number in range(1, nodes):
            entries.append(SimulatedEntry(f"node-{number}", relay_addresses))
        for node in entries:
            await base.until(node.may_serve, "a node has its lease", 60)
        await asyncio.sleep(_WARM_UP_S)
        idle = await _measure_interval(args, cluster, traffic, 0, first_entry)
        busy = await _measure_interval(
            args, cluster, traffic, args.changes, first_entry
        )
        for node in entries:
            await base.until(node.may_serve, "a node has its lease still", 5)
        result = {"nodes": nodes, "idle": idle, "busy": busy}
        print(format_result(result), flush=True)
        stops = [asyncio.create_task(node.stop()) for node in entries]
        await asyncio.wait(stops, timeout=_STOP_TIMEOUT_S)
    shutil.rmtree(folder, ignore_errors=True)
    return result


async def _measure_interval(
    args: argparse.Namespace,
    cluster: base.Cluster,
    traffic: TrafficCount,
    change_count: int,
    node: SimulatedEntry,
) -> dict[str, float]:
    """Returns the use per second of all entries and of all replicas."""
    before = dataclasses.replace(traffic)
    start_s, own_cpu_s = time.monotonic(), _read_own_cpu_s()
    replicas_cpu_s = _read_replicas_cpu_s(cluster)
    for turn in range(change_count):
        await asyncio.sleep(args.seconds / change_count)
        await apply_change(node, make_deployment(turn + 1))
    if not change_count:
        await asyncio.sleep(args.seconds)
    elapsed_s = time.monotonic() - start_s
    return {
        "seconds": elapsed_s,
        "changes": change_count,
        "payload": (traffic.payload_bytes - before.payload_bytes) / elapsed_s,
        "wire": (traffic.wire_bytes - before.wire_bytes) / elapsed_s,
        "nodes_cpu": (_read_own_cpu_s() - own_cpu_s) / elapsed_s,
        "replicas_cpu": (_read_replicas_cpu_s(cluster) - replicas_cpu_s)
        / elapsed_s,
    }


def _read_own_cpu_s() -> float:
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_utime + used.ru_stime


def _read_replicas_cpu_s(cluster: base.Cluster) -> float:
    """Returns the processor time of all replicas so far, in seconds."""
    ticks = 0
    for process in cluster.processes.values():
        stat = pathlib.Path(f"/proc/{process.pid}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        ticks += int(fields[11]) + int(fields[12])
    return ticks / 100


def format_result(result: dict[str, Any]) -> str:
    """Returns the text of a result: each interval, and the cost of a change."""
    lines = []
    for name in ("idle", "busy"):
        interval = result[name]
        nodes = result["nodes"]
        lines.append(
            f"{nodes:4} nodes {name}: payload"
            f" {interval['payload'] / nodes:8.1f} B/s, wire"
            f" {interval['wire'] / nodes:8.1f} B/s, cpu"
            f" {100 * interval['nodes_cpu'] / nodes:6.3f} % a node; replicas"
            f" {100 * interval['replicas_cpu']:6.1f} % together"
        )
    idle, busy = result["idle"], result["busy"]
    seconds_per_node_change = (
        busy["seconds"] / max(1, busy["changes"]) / result["nodes"]
    )
    changes_per_s = _CHANGES_PER_DAY / _SECONDS_PER_DAY
    for key, unit, scale in (
        ("wire", "B", 1),
        ("nodes_cpu", "ms", 1000),
    ):
        cost = (busy[key] - idle[key]) * seconds_per_node_change * scale
        lines.append(
            f"     a change costs a node {cost:.2f} {unit}; at"
            f" {_CHANGES_PER_DAY} a day {cost * changes_per_s:.3f} {unit}/s"
        )
    return "\n".join(lines)


def main() -> None:
    """Measures each number of nodes given on the command line."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--nodes", type=int, nargs="+", default=[10, 50, 200])
    parser.add_argument("--replicas", type=int, default=3)
    parser.add_argument("--accounts", type=int, default=100)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--changes", type=int, default=20)
    parser.add_argument("--count-bytes", action="store_true")
    parser.add_argument("--json", type=pathlib.Path)
    args = parser.parse_args()
    results = []
    for nodes in args.nodes:
        result = uvloop.run(measure(args, nodes))
        results.append(result)
    if args.json:
        args.json.write_text(json.dumps(results, indent=1))


if __name__ == "__main__":
    main()
