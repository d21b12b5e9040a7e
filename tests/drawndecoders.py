"""Feeds drawn input to the decoders of what other programs write.

    python -m tests.drawndecoders FIRST LAST

plays the seeds FIRST to LAST-1, prints what went wrong with which seed, and
fails if anything did.
"""

from __future__ import annotations

import importlib
import json
import random
import sys
from typing import Any

from catkinpin import codec
from catkinpin.adapters.gateway.headers import ForwardingFields
from catkinpin.adapters.http.headers import Headers
from catkinpin.adapters.tasks import brief
from catkinpin.core.control import routes, servers, state
from catkinpin.core.control.turnrecords import Begin
from catkinpin.core.placement.placer import PlaceTurn
from catkinpin.core.requests.digests import digests_of
from catkinpin.core.requests.events import EventReader
from catkinpin.core.requests.splice import StreamSplicer
from catkinpin.exceptions import DivergedError
from tests import drawn, processes

_CASES_PER_SEED = 20
_MAX_REFUSAL = 400

if str(processes.ROOT / "platform") not in sys.path:
    sys.path.append(str(processes.ROOT / "platform"))
documents: Any = importlib.import_module("documents")
names: Any = importlib.import_module("names")

ANNOUNCEMENT: dict[str, Any] = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "kl-north",
    "version": "v1",
    "slots": 12,
    "state": "ready",
    "cold_left_ms": 0,
    "stage": "both",
    "models": [{"name": "m", "version": 1, "adapters": []}],
    "seq": 4,
    "born": 1_790_000_000_000,
}
DEPARTURE: dict[str, Any] = {"seq": 5, "born": 1_790_000_000_000}
MANIFEST: dict[str, Any] = json.loads(
    """{"version":7,"routes":[{"name":"r-hh2b9wu","host":"ficu95.example",
    "path_prefix":"/pufi791/","kind":"stream","timeout_ms":3000,
    "target_latency_ms":250,"priority":0,"service":"huvo11a","max_attempts":1,
    "server_history":false,"retain_s":60.0,"session_affinity":true,
    "resumable":true,"gap_aim_ms":300},{"name":"r-zji9n73",
    "host":"ficu95.example","path_prefix":"/lohu930/","kind":"stream",
    "timeout_ms":3000,"target_latency_ms":250,"priority":1,
    "split":[{"service":"huvo11a","weight":90},{"service":"wuno96b",
    "weight":10}],"max_attempts":1,"server_history":false,"retain_s":60.0,
    "session_affinity":true,"resumable":true,"gap_aim_ms":300}],
    "services":[{"name":"huvo11a","health_path":"/health","max_conns":170,
    "protocol":"h1","tls":false,"engine":{"slots":12,"kv_capacity":456679,
    "token_kv_bytes":18432,"link_mbps":740000.0,"moves":true,"backups":true,
    "event_tokens":23,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,
    "handle_s":5.0,"models":[{"name":"m"}]}},{"name":"wuno96b",
    "health_path":"/health","max_conns":110,"protocol":"h1","tls":false}],
    "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
    "header_timeout_ms":3000,"idle_timeout_ms":15000},
    "tenants":[{"name":"a","api_keys":["k"],"priority":1,"rate_per_s":2.5,
    "burst":4}]}"""
)
REQUEST = {
    b"Host": b"ficu95.example",
    b"X-Attempt-Id": b"e5b2907c14da6f38",
    b"X-Program-Id": b"3fa81c",
    b"X-Session-Id": b"77d20b",
    b"X-Program-Deadline-Ms": b"5200",
    b"X-Deadline-Ms": b"3000",
    b"X-Token-Budget": b"4600",
    b"X-Token-Usage": b"1840,575",
    b"X-Prompt-Prefix": b"5c1e07a2:800,91bd3f06:410,e4402b7d:250",
    b"X-Previous-Turn": b"9c41d07be2a35f68",
    b"Last-Event-Id": b"12",
    b"Cookie": b"X-Affinity-Key=17",
    b"Authorization": b"Bearer k",
    b"Connection": b"keep-alive",
}
ANSWER = {
    b"X-Attempt-Id": b"e5b2907c14da6f38",
    b"X-Response-Seal": b"3e1b.07",
    b"X-Server-Load": b"3,0,8,150",
    b"X-Not-Executed": b"1",
    b"Connection": b"close",
}
_CHUNK: dict[str, Any] = {
    "id": "c",
    "created": 1,
    "choices": [
        {
            "index": 0,
            "delta": {
                "content": "word",
                "tool_calls": [{"index": 0, "function": {"arguments": "x"}}],
            },
            "finish_reason": None,
        }
    ],
    "usage": None,
}


def play(seed: int) -> list[str]:
    """Plays one seed; returns what went wrong."""
    rng = random.Random(seed)
    found = []
    for case in range(_CASES_PER_SEED):
        for check in _CHECKS:
            try:
                check(rng)
            except (Exception, RecursionError) as exc:
                where = f"seed {seed}, case {case}, {check.__name__}"
                found.append(f"{where}: {brief(exc)}")
    return found


def is_refused(decode: Any, *args: Any) -> bool:
    """Returns whether a decoder refuses a document, in one short line."""
    try:
        decode(*args)
    except documents.InvalidError as exc:
        text = str(exc)
        if not text.isprintable() or len(text) > _MAX_REFUSAL:
            raise AssertionError("a refusal is not one short line") from exc
        return True
    return False


def _check_announcement(rng: random.Random) -> None:
    name = drawn.server_id(rng) if rng.random() < 0.2 else "i-7f3a91c2"
    body = drawn.document(rng, ANNOUNCEMENT)
    _check_instance(documents.decode_announcement, name, body)


def _check_departure(rng: random.Random) -> None:
    name = drawn.server_id(rng) if rng.random() < 0.2 else "i-7f3a91c2"
    body = drawn.document(rng, DEPARTURE)
    _check_instance(documents.decode_departure, name, body)


def _check_instance(decode: Any, name: str, body: bytes) -> None:
    if is_refused(decode, name, body):
        return
    instance = decode(name, body)
    assert not servers.fault(instance)
    assert instance.id.isascii() and len(instance.id) <= 128
    record = state.Record(tag="t", body=state.Announce(instance=instance))
    data = codec.encode(record)
    assert state.record_decoder.decode(data) == record
    control = state.ControlState()
    control.apply(1, record)
    copy = state.ControlState()
    copy.restore(1, control.snapshot())
    assert copy.fleet.state() == control.fleet.state()


def _check_manifest(rng: random.Random) -> None:
    body = drawn.document(rng, MANIFEST)
    if is_refused(documents.decode_manifest, body):
        return
    routing = documents.decode_manifest(body)
    packed = routes.pack(routing)
    record = state.Record(tag="t", body=state.SetRouting(routing=packed))
    assert state.record_decoder.decode(codec.encode(record)) == record
    assert routes.unpack(packed) == routing
    assert routes.without_faults(routing) == routing
    table = routes.RouteTable(routing)
    for route in routing.routes:
        assert routes.pick_service(route, rng) in table.services
        assert table.find(route.host, route.prefix) is not None
        assert 0 < route.timeout_ms < 2**40
        assert 0 <= route.retain_ms < 2**50
    limits = routing.limits
    assert min(limits.max_header_bytes, limits.idle_timeout_ms) > 0


def _check_request(rng: random.Random) -> None:
    headers = _drawn_headers(rng, REQUEST)
    header_codec = names.header_codec()
    call = header_codec.decode_request(headers)
    begin = Begin(
        attempt=call.attempt,
        program=call.program,
        previous=call.previous,
        budget=call.budget,
        max_tokens=call.max_tokens,
        retain_ms=1,
        at_ms=0,
        left_ms=call.program_left_ms,
    )
    place = PlaceTurn(
        service="s",
        domain="a",
        prompt=list(call.prompt),
        max_tokens=call.max_tokens,
        left_ms=1,
    )
    codec.encode([begin, place])
    assert len(call.prompt) <= 4_096
    assert sum(part.tokens for part in call.prompt) < 2**62
    assert 0 <= call.deadline_ms < 2**50
    digests_of("h", b"GET", b"/", b"", call)
    fields = ForwardingFields("i", 1, resume_at=call.resume_at)
    header_codec.encode_for_server(headers, call, fields).encode()
    header_codec.encode_refusal(call.attempt, 0.5).encode()


def _check_answer(rng: random.Random) -> None:
    facts = names.header_codec().decode_answer(_drawn_headers(rng, ANSWER))
    load = facts.load
    if load is not None:
        assert min(load.running, load.waiting, load.slots) >= 0
        codec.encode([load.running, load.waiting, load.slots, load.slowdown])


def _check_events(rng: random.Random) -> None:
    """Splits a stream of odd events; their ids become headers."""
    reader = EventReader()
    for _ in range(5):
        parts = [b"id: ", drawn.header_value(rng), b"\n", b"data: x\n\n"]
        if rng.random() < 0.5:
            parts.insert(rng.randrange(4), rng.randbytes(rng.randrange(8)))
        for event in reader.feed(b"".join(parts))[0]:
            line = event.id.encode("latin-1")
            assert len(line) <= 256
            assert not any(byte < 32 or byte == 127 for byte in line)


def _check_splice(rng: random.Random) -> None:
    """Joins two streams of odd chunks; only a difference may end them."""
    splicer = StreamSplicer()
    try:
        for _ in range(3):
            splicer.feed(drawn.document(rng, _CHUNK))
        splicer.restart()
        splicer.feed(drawn.document(rng, _CHUNK))
    except DivergedError:
        pass


def _drawn_headers(rng: random.Random, good: dict[bytes, bytes]) -> Headers:
    fields = dict(good)
    for name in rng.sample(list(good), rng.randrange(1, 4)):
        fields[name] = drawn.header_value(rng)
    if rng.random() < 0.1:
        del fields[rng.choice(list(fields))]
    pairs = list(fields.items())
    if rng.random() < 0.1:
        pairs.append((rng.choice(pairs)[0], drawn.header_value(rng)))
    return Headers(pairs)


_CHECKS = (
    _check_announcement,
    _check_departure,
    _check_manifest,
    _check_request,
    _check_answer,
    _check_events,
    _check_splice,
)


def main() -> None:
    """Plays the seeds named on the command line."""
    first, last = int(sys.argv[1]), int(sys.argv[2])
    found = [line for seed in range(first, last) for line in play(seed)]
    print("\n".join(found))
    print(f"seeds {first} to {last - 1}: {len(found)} errors")
    sys.exit(1 if found else 0)


if __name__ == "__main__":
    main()
