"""The identity of a replica, stored in its data folder."""

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


class _IdentityFile(msgspec.Struct, forbid_unknown_fields=True):
    """Content of the identity file.

    Attributes:
        version: version of the file's format.
        node: the identity.
        founders: the first members of all groups; None before the system's
            initialization.
        joining: whether this replica joins an existing system, ordered by an
            operator or by itself.
        introduced: whether this disk was already used when the system first
            started. If so, it holds all promises of its replica.
        seeds: addresses of the replicas that may initialize the system, as of
            its first start.
        promised: highest ballot of the initialization that was promised.
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
    """Reads and writes the identity file.

    A new folder gets a new identity: its replica has lost its votes and
    acknowledgements, and must not act as the replica that made them.
    """

    def __init__(self, folder: pathlib.Path, ops: files.FileOps) -> None:
        self._path = folder / "identity.json"
        self._ops = ops
        if self._path.exists():
            self._content = self._read()
        else:
            self._content = _IdentityFile(
                version=VERSION, node=uuid.uuid4().hex
            )
            self._write()

    @property
    def node(self) -> str:
        """The identity."""
        return self._content.node

    @property
    def founders(self) -> Members | None:
        """The first members of all groups, None before the initialization."""
        return self._content.founders

    @property
    def joining(self) -> bool:
        """Whether this replica joins an existing system."""
        return self._content.joining

    @property
    def seeds(self) -> tuple[str, ...]:
        """Addresses that may found the system, as of its first start."""
        return tuple(self._content.seeds)

    @property
    def seed_record(self) -> SeedRecord:
        """What this replica has stored as a seed."""
        stored = self._content
        return SeedRecord(
            not stored.introduced, stored.promised, stored.accepted
        )

    @property
    def participates(self) -> bool:
        """Whether this replica participates in the groups."""
        return self.founders is not None or self.joining

    def save_founders(self, founders: Members) -> None:
        """Stores and syncs the first members of all groups."""
        self._content.founders = founders
        self._write()

    def save_first_start(self, seeds: tuple[str, ...]) -> None:
        """Stores and syncs that the system starts for the first time."""
        self._content.introduced = True
        self._content.seeds = list(seeds)
        self._write()

    def save_seed_record(self, record: SeedRecord) -> None:
        """Stores and syncs what this replica promised and accepted."""
        self._content.promised = record.promised
        self._content.accepted = record.accepted
        self._write()

    def save_joining(self) -> None:
        """Stores and syncs that this replica joins an existing system."""
        self._content.joining = True
        self._write()

    def _read(self) -> _IdentityFile:
        try:
            content = self._path.read_bytes()
            version = msgspec.json.decode(content).get("version")
            if version != VERSION:
                raise StorageError(
                    f"{self._path}: format version {version}; this program"
                    f" knows only version {VERSION}"
                )
            return msgspec.json.decode(content, type=_IdentityFile)
        except (OSError, ValueError, AttributeError, RecursionError) as exc:
            raise StorageError(f"{self._path}: {exc}") from exc

    def _write(self) -> None:
        try:
            files.replace_file(
                self._ops, self._path, msgspec.json.encode(self._content)
            )
        except OSError as exc:
            raise files.write_error(self._path, exc) from exc
