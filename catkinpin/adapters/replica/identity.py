"""Who this replica is, kept in its data folder."""

from __future__ import annotations

import uuid
from typing import TYPE_CHECKING

import msgspec

from catkinpin.adapters.disk import files
from catkinpin.core.consensus.foundingtypes import SeedRecord
from catkinpin.core.consensus.messages import Ballot, Members, Proposal
from catkinpin.exceptions import StorageError

if TYPE_CHECKING:
    import pathlib

VERSION = 1


class _File(msgspec.Struct, forbid_unknown_fields=True):
    """Content of the identity file.

    Attributes:
        founders: the first members of all groups; None before the founding.
        joining: whether an operator let this replica replace a lost one.
        introduced: whether the system started for the first time with this
            disk, and so whether it holds all that its replica ever promised.
        seeds: addresses that may found the system, as of that start.
        promised: newest attempt to found the system that was answered.
        accepted: newest proposal of first members that was accepted.
    """

    version: int
    node: str
    founders: Members | None = None
    joining: bool = False
    introduced: bool = False
    seeds: list[str] = []
    promised: Ballot = Ballot()
    accepted: Proposal | None = None


class Identity:
    """The identity file.

    A new folder gets a new identity: its replica has forgotten its votes and
    what it acknowledged, and must not count as the one that it was.
    """

    def __init__(self, folder: pathlib.Path, ops: files.FileOps) -> None:
        self._path = folder / "identity.json"
        self._ops = ops
        if self._path.exists():
            self._file = self._read()
        else:
            self._file = _File(version=VERSION, node=uuid.uuid4().hex)
            self._write()

    @property
    def node(self) -> str:
        """The identity."""
        return self._file.node

    @property
    def founders(self) -> Members | None:
        """The first members of all groups, None before the founding."""
        return self._file.founders

    @property
    def joining(self) -> bool:
        """Whether this replica replaces a lost one."""
        return self._file.joining

    @property
    def seeds(self) -> tuple[str, ...]:
        """Addresses that may found the system, as of its first start."""
        return tuple(self._file.seeds)

    @property
    def record(self) -> SeedRecord:
        """This replica's part in the founding."""
        file = self._file
        return SeedRecord(not file.introduced, file.promised, file.accepted)

    @property
    def belongs(self) -> bool:
        """Whether this replica takes part in the groups."""
        return self.founders is not None or self.joining

    def found(self, founders: Members) -> None:
        """Notes the first members; lasts once this returns."""
        self._file.founders = founders
        self._write()

    def introduce(self, seeds: tuple[str, ...]) -> None:
        """Notes that the system starts for the first time."""
        self._file.introduced = True
        self._file.seeds = list(seeds)
        self._write()

    def save(self, record: SeedRecord) -> None:
        """Notes this replica's part in the founding."""
        self._file.promised = record.promised
        self._file.accepted = record.accepted
        self._write()

    def join(self) -> None:
        """Notes that this replica replaces a lost one."""
        self._file.joining = True
        self._write()

    def _read(self) -> _File:
        try:
            content = self._path.read_bytes()
            version = msgspec.json.decode(content).get("version")
            if version != VERSION:
                raise StorageError(
                    f"{self._path}: format version {version}; this program"
                    f" knows only version {VERSION}"
                )
            return msgspec.json.decode(content, type=_File)
        except (OSError, msgspec.DecodeError, AttributeError) as exc:
            raise StorageError(f"{self._path}: {exc}") from exc

    def _write(self) -> None:
        try:
            files.replace(
                self._ops, self._path, msgspec.json.encode(self._file)
            )
        except OSError as exc:
            raise StorageError(f"{self._path}: {exc}") from exc
