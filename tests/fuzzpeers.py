"""Draws odd messages and records, and passes them to what handles them."""

from __future__ import annotations

import array
import pathlib
import random
import sys
import tempfile
from typing import Any

import msgspec
from msgspec import inspect

from catkinpin import codec
from catkinpin.adapters.disk import files, snapshots
from catkinpin.adapters.disk.storage import Storage
from catkinpin.adapters.disk.turnbytes import TurnBytes
from catkinpin.adapters.replica.identity import Identity
from catkinpin.core.consensus.log import LogIndex, encode_members
from catkinpin.core.consensus.messages import Entry, EntryKind, Member, Members
from catkinpin.core.control import state as control
from catkinpin.core.operations import changes, snapshot
from catkinpin.core.operations.control import ControlState
from catkinpin.core.programs import records, shard
from catkinpin.exceptions import StorageError

_INTS = [0, 1, -1, 2, 5, 1_000, 2**31, 2**53, 2**62, -(2**62), 2**63, -(2**63)]
_HUGE = 2**64 - 1
# Few names, so that records refer to the same things.
_TEXTS = [
    "",
    "a",
    "b",
    "a",
    "b",
    "a/b",
    "127.0.0.1:\u00b2",
    "x" * 300,
    "\u0000",
]
_FLOATS = [0.0, -1.0, 1e308, float("inf"), float("nan")]
_RECORDS_PER_SEED = 60


class Drawer:
    """Draws values of a type; most are plain, some are odd.

    Args:
        rng: random source.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._infos: dict[Any, inspect.Type] = {}

    def draw(self, kind: Any) -> Any:
        """Returns a value that a decoder of the type accepts."""
        if kind not in self._infos:
            self._infos[kind] = inspect.type_info(kind)
        return self._draw(self._infos[kind])

    def _draw(self, info: inspect.Type) -> Any:
        rng = self._rng
        match info:
            case inspect.BoolType():
                return rng.random() < 0.5
            case inspect.IntType():
                plain = rng.randrange(3) if rng.random() < 0.6 else None
                odd = rng.choice([*_INTS, _HUGE])
                return odd if plain is None else plain
            case inspect.FloatType():
                return rng.choice(_FLOATS)
            case inspect.StrType():
                return rng.choice(_TEXTS)
            case inspect.BytesType():
                return rng.choice([b"", b"a", b"b", b"x" * 300])
            case inspect.NoneType():
                return None
            case inspect.EnumType():
                return rng.choice(list(info.cls))
            case inspect.ListType():
                count = rng.randrange(4)
                return [self._draw(info.item_type) for _ in range(count)]
            case inspect.TupleType():
                return tuple(map(self._draw, info.item_types))
            case inspect.VarTupleType():
                return (self._draw(info.item_type),)
            case inspect.DictType():
                return {
                    self._draw(info.key_type): self._draw(info.value_type)
                    for _ in range(rng.randrange(3))
                }
            case inspect.UnionType():
                return self._draw(rng.choice(info.types))
            case inspect.StructType() | inspect.DataclassType():
                return info.cls(
                    **{f.name: self._draw(f.type) for f in info.fields}
                )
        raise TypeError(info)


def fuzz(seed: int) -> None:
    """Applies drawn records to each state machine, and damages a folder.

    Raises:
        Exception: a record, a snapshot or a start failed.
    """
    rng = random.Random(seed)
    drawer = Drawer(rng)
    _play_control(rng, drawer)
    _play_operations(rng, drawer)
    _play_shard(rng, drawer)
    with tempfile.TemporaryDirectory(prefix="catkinpin-") as folder:
        fuzz_folder(seed, pathlib.Path(folder) / "data")


def fuzz_folder(seed: int, folder: pathlib.Path) -> str:
    """Damages one file of a data folder at random, and reads the folder.

    Args:
        seed: random seed.
        folder: a new folder.

    Returns:
        What was done, and what became of it: "refused" with a `StorageError`,
        or the last entry of the log and the number of turns.
    """
    rng = random.Random(seed)
    write_folder(folder)
    paths = [p for p in folder.rglob("*") if p.is_file() and p.name != "lock"]
    path = rng.choice(sorted(paths))
    damage = rng.choice(["cut", "zero", "flip", "junk", "folder", "foreign"])
    data = bytearray(path.read_bytes())
    offset = rng.randrange(len(data) + 1)
    match damage:
        case "cut":
            data = data[:offset]
        case "zero":
            data[offset:] = bytes(len(data) - offset)
        case "flip":
            data[offset - 1] ^= 1 << rng.randrange(8)
        case "junk":
            data = bytearray(rng.randbytes(offset))
        case "folder":
            path.unlink()
            path.mkdir()
        case "foreign":
            path = path.with_stem(rng.choice(["x", "-1", "\u00b2", " 1"]))
    if not path.is_dir():
        path.write_bytes(data)
    try:
        result = str(read_folder(folder))
    except StorageError:
        result = "refused"
    return f"{path.name} {damage}: {result}"


def write_folder(folder: pathlib.Path, record_bytes: int = 30) -> None:
    """Writes a log of 20 entries, a snapshot, an identity and 5 turns."""
    storage = Storage(folder, segment_bytes=600)
    Identity(folder, files.FileOps())
    log = storage.group_log("control")
    log.save_state(2, "n1", led=True)
    members = Members(members=[Member(node="n1", address="127.0.0.1:1")])
    first = Entry(1, 2, EntryKind.MEMBERS, encode_members(members))
    for index in range(1, 21):
        entry = Entry(index, 2, EntryKind.DATA, bytes(record_bytes))
        log.append([first if index == 1 else entry])
        storage.sync()
    description = snapshots.Description(
        group="control",
        index=15,
        term=2,
        members=members,
        referenced=snapshots.pack_indexes(array.array("Q", [3, 12])),
    )
    snapshot = snapshots.Snapshot(description, b"state")
    log.save_snapshot(snapshot, 10, 2, members)
    storage.remove_unneeded_segments()
    storage.close()
    turns = TurnBytes(folder / "turns")
    for number in range(5):
        turns.add(f"a{number}", b"x" * 50)
    turns.sync()
    turns.close()


def read_folder(folder: pathlib.Path) -> tuple[int, int]:
    """Returns the last entry of the log, and the number of turns.

    Raises:
        StorageError: the folder is damaged.
    """
    storage = Storage(folder, segment_bytes=600)
    try:
        Identity(folder, files.FileOps())
        log = storage.group_log("control")
        log.load_snapshot()
        stored = log.stored_state(Members())
        index = LogIndex(stored.base, stored.base_term, stored.members)
        for entry in stored.entries:
            index.append(entry)
        storage.sync()
    finally:
        storage.close()
    turns = TurnBytes(folder / "turns")
    count = len(turns.attempts())
    turns.close()
    return index.last, count


def _play_control(rng: random.Random, drawer: Drawer) -> None:
    machine = control.ControlState()
    for index in range(1, _RECORDS_PER_SEED):
        data = codec.encode(drawer.draw(control.Record))
        machine.apply(index, control.record_decoder.decode(data))
        if rng.random() < 0.05:
            stored = machine.snapshot()
            machine = control.ControlState()
            machine.restore(index, stored)


def _play_operations(rng: random.Random, drawer: Drawer) -> None:
    machine = ControlState()
    decoder = codec.decoder(changes.ControlRecord)
    for index in range(1, _RECORDS_PER_SEED):
        data = codec.encode(drawer.draw(changes.ControlRecord))
        machine.apply(index, decoder.decode(data))
        if rng.random() < 0.05:
            machine = snapshot.decode_state(snapshot.encode_state(machine))


def _play_shard(rng: random.Random, drawer: Drawer) -> None:
    machine = shard.Shard("s0")
    decoder = codec.decoder(records.ShardRecord)
    for index in range(1, _RECORDS_PER_SEED):
        record = drawer.draw(records.ShardRecord)
        if isinstance(record, records.AttemptFinished):
            # Half of them name an attempt that exists.
            attempt = f"s0-{rng.randrange(1, index + 1)}"
            record = msgspec.structs.replace(record, attempt=attempt)
        machine.apply(index, decoder.decode(codec.encode(record)))
        if rng.random() < 0.05:
            stored = machine.snapshot()
            machine = shard.Shard("s0")
            machine.restore(stored)


def main() -> None:
    """Plays the seeds named on the command line."""
    first, last = int(sys.argv[1]), int(sys.argv[2])
    for seed in range(first, last):
        try:
            fuzz(seed)
        except Exception:
            print(f"seed {seed} failed", flush=True)
            raise
    print(f"seeds {first} to {last - 1}: no errors")


if __name__ == "__main__":
    main()
