"""Runs one session and one order against fakes of both users' servers."""

from __future__ import annotations

import asyncio
import json
import pathlib
import shutil
import tempfile
import time
from typing import Any

import uvloop

from tests import base

_TURN_TEXTS = (
    "We are a sports club in Zug. Which calls fit us?",
    "Check the cantonal call for youth work.",
    "When is the federal deadline, and what must we file?",
)
_ENTRY_REGIONS = (
    ("entry-1", "ch-nord"),
    ("entry-2", "ch-nord"),
    ("entry-3", "ch-west"),
)


async def main() -> None:
    """Runs the demonstration."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="catkinpin-demo-"))
    try:
        async with base.Cluster(folder) as cluster:
            await _start_cluster(cluster)
            trace_id = await _run_advisory_session(cluster)
            await _run_kiosk_order(cluster)
            _print_trace(folder / "spans.jsonl", trace_id)
    finally:
        shutil.rmtree(folder, ignore_errors=True)


async def _start_cluster(cluster: base.Cluster) -> None:
    print("Starting three replicas, three entries and both users' servers ...")
    cluster.add_replicas(3)
    for name, region in _ENTRY_REGIONS:
        cluster.add_entry(name, region=region)
    for number in range(5):
        cluster.add_fake(
            "engine", f"berater-{number}", serves="berater", region="ch-nord"
        )
    for number in range(3):
        cluster.add_fake(
            "engine", f"melder-{number}", serves="melder", region="ch-west"
        )
    cluster.add_fake("service", "kiosk-app-0", region="ch-nord")
    await cluster.apply(base.config())
    for name, _ in _ENTRY_REGIONS:
        await cluster.ready(name)
    await cluster.serving("entry-1", "berater", "model")
    await cluster.serving("entry-1", "melder", "model")
    await cluster.serving("entry-1", "kiosk-app", "service")


async def _run_advisory_session(cluster: base.Cluster) -> str:
    print("\nFörderwacht: one advisory session")
    trace_id = "4bf92f3577b34da6a3ce929d0e0e4736"
    traceparent = f"00-{trace_id}-00f067aa0ba902b7-01"
    history: list[Any] = []
    started_s = time.monotonic()
    for turn, text in enumerate(_TURN_TEXTS):
        history.append(base.user(text))
        headers = {"Catkinpin-Program": "advisory-7"}
        if turn == 0:
            headers["traceparent"] = traceparent
        entry = _ENTRY_REGIONS[turn % len(_ENTRY_REGIONS)][0]
        reply = await cluster.chat(entry, "berater", history, headers=headers)
        message = reply.json["choices"][0]["message"]
        print(f"  {entry}: {text}\n    -> {message['content'][:60]} ...")
        history.append(message)
    print(f"  program latency: {time.monotonic() - started_s:.3f} s")
    return trace_id


async def _run_kiosk_order(cluster: base.Cluster) -> None:
    print("\nKunci Jaya: one order, sent again after a lost answer")
    started_s = time.monotonic()
    for step in ("payments/capture", "machine/cut"):
        headers = {
            "Catkinpin-Program": "order-3",
            "Idempotency-Key": f"order-3-{step}",
        }
        for entry in ("entry-1", "entry-2"):
            reply = await cluster.call_service(
                entry, "kiosk-app", step, "blank KJ-7", headers=headers
            )
            print(f"  {entry}: {step} -> {reply.status} {reply.verdict}")
    print(f"  program latency: {time.monotonic() - started_s:.3f} s")
    server_state = await cluster.look("kiosk-app-0")
    for step in ("payments/capture", "machine/cut"):
        print(
            f"  effects of {step}: {server_state['effects'][f'order-3-{step}']}"
        )


def _print_trace(path: pathlib.Path, trace_id: str) -> None:
    print(f"\nSpans of the session's first call (trace {trace_id})")
    spans = [json.loads(line) for line in path.read_text().splitlines()]
    session_spans = [
        s for s in spans if s["context"]["trace_id"] == f"0x{trace_id}"
    ]
    for span in sorted(session_spans, key=lambda span: str(span["start_time"])):
        process = span["resource"]["attributes"]["service.name"]
        interval = f"{span['start_time'][17:]} - {span['end_time'][17:]}"
        print(f"  {process:10} {span['name']:14} {interval}")


if __name__ == "__main__":
    uvloop.run(asyncio.wait_for(main(), 110))
