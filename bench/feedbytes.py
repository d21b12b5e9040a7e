"""Bytes that five keepers queue for gateways when all servers start.

Run as `python -m bench.feedbytes`. There is no network: the streams' send
queues are emptied every few ms and counted. Gateways of the previous release
get everything from each keeper; the others subscribe to one.
"""

from __future__ import annotations

import asyncio
import types
from typing import Any

from catkinpin.adapters.keeper.publisher import GATEWAY_ROLE, Publisher
from catkinpin.adapters.peers.streams import Stream
from catkinpin.core import messages
from catkinpin.core.control import feeds, servers, state, stores

_GATEWAYS = 230
_SERVERS = 3_000
_KEEPERS = {"k1": "a", "k2": "a", "k3": "a", "k4": "b", "k5": "b"}
_STORES = 60
# Records that one sync of the log commits when many servers announce.
_RECORDS_PER_SYNC = 30
_SYNC_S = 0.005


class _CountingStream(Stream):
    """A stream whose queue is counted instead of written."""

    byte_count = 0

    def empty(self) -> int:
        """Empties the queue; returns the bytes of its messages."""
        queued, self._send_queue = self._send_queue, []
        size = sum(len(bytes(message)) for message in queued)
        self.byte_count += size
        return size


class _Keeper:
    """A keeper's state and publisher, without a log."""

    def __init__(self, address: str, region: str) -> None:
        self.streams: set[_CountingStream] = set()
        self.state = state.ControlState()
        for number in range(_STORES):
            self.state.stores.register(_store(number))
        members = types.SimpleNamespace(members=[])
        group = types.SimpleNamespace(
            members=members, leader="k1", term=1, is_current=lambda: True
        )
        known = [
            f"10.1.{n // 250}.{n % 250}:7160" for n in range(len(_KEEPERS))
        ]
        parts: list[Any] = [
            types.SimpleNamespace(
                peer_listen=address, failure_domain=region, region=region
            ),
            types.SimpleNamespace(
                identity="0" * 32, known_addresses=lambda: known
            ),
            types.SimpleNamespace(state=self.state, group=group),
            self,
        ]
        self.publisher = Publisher(*parts)

    def announce(self, instance: servers.Instance) -> None:
        self.state.index += 1
        changed = self.state.fleet.apply(instance)
        self.publisher.publish_servers(changed)

    def empty(self) -> int:
        return sum(stream.empty() for stream in self.streams)


def _hello(name: str, region: str, *, subscribes: bool) -> messages.Hello:
    return messages.Hello(
        process=name,
        incarnation="0" * 12,
        role=GATEWAY_ROLE,
        address="",
        domain=region,
        region=region,
        subscribes=subscribes,
    )


def _connect(keepers: dict[str, _Keeper], *, subscribes: bool) -> None:
    """Connects all gateways to all keepers, and to their feeds."""
    for number in range(_GATEWAYS):
        name, region = f"gateway-{number}", "ab"[number % 2]
        selector = feeds.FeedSelector(name, region)
        streams = {}
        for address, keeper in keepers.items():
            hello = _hello(name, region, subscribes=subscribes)
            streams[address] = _CountingStream("bench")
            streams[address].hello = hello
            keeper.streams.add(streams[address])
            keeper.publisher.send_state(streams[address])
            selector.add_keeper(address, _KEEPERS[address], 0)
        if subscribes:
            selector.choose(feeds.SETTLE_MS, {})
            feed = selector.feed
            keepers[feed].publisher.subscribe(streams[feed], active=True)


def _store(number: int) -> stores.Store:
    return stores.Store(
        node=f"{number:032x}",
        name=f"store-{number}",
        address=f"10.1.4.{number}:7160",
        domain="abcdef"[number % 6],
        region="ab"[number % 2],
    )


def _server(number: int) -> servers.Instance:
    return servers.Instance(
        id=f"i-{number:010x}",
        service=f"service-{number % 30}",
        address=f"10.2.{number // 250}.{number % 250}:8000",
        domain="abcdef"[number % 6],
        state=servers.ServerState.READY,
        started_ms=1_764_786_000_000 + number,
        sequence=1,
        slots=16,
    )


async def _measure(*, subscribes: bool) -> None:
    keepers = {name: _Keeper(name, r) for name, r in _KEEPERS.items()}
    _connect(keepers, subscribes=subscribes)
    for keeper in keepers.values():
        keeper.empty()
    sizes = dict.fromkeys(keepers, 0)
    for number in range(_SERVERS):
        for name, keeper in keepers.items():
            keeper.announce(_server(number))
            if number % _RECORDS_PER_SYNC == 0:
                sizes[name] += keeper.empty()
        if number % _RECORDS_PER_SYNC == 0:
            await asyncio.sleep(_SYNC_S)
    await asyncio.sleep(0.1)
    for name, keeper in keepers.items():
        sizes[name] += keeper.empty()
    _report("3,000 servers announce themselves", subscribes, sizes)
    for keeper in keepers.values():
        keeper.streams.clear()
    _connect(keepers, subscribes=subscribes)
    sizes = {name: keeper.empty() for name, keeper in keepers.items()}
    _report("230 gateways connect anew", subscribes, sizes)
    stream = _CountingStream("bench")
    stream.hello = _hello("gateway-0", "a", subscribes=subscribes)
    keepers["k4"].publisher.send_state(stream)
    print(f"new stream to a keeper that is not the feed: {stream.empty()} B")


def _report(what: str, subscribes: bool, sizes: dict[str, int]) -> None:
    kind = "one feed each" if subscribes else "all from each keeper"
    each = ", ".join(f"{size / 1e6:.1f}" for size in sizes.values())
    print(f"{what}; {kind}: {sum(sizes.values()) / 1e6:.1f} MB ({each})")


def main() -> None:
    """Prints the bytes for gateways of both releases."""
    for subscribes in (False, True):
        asyncio.run(_measure(subscribes=subscribes))


if __name__ == "__main__":
    main()
