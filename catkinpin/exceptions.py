"""Every exception of the package, under one base."""

from __future__ import annotations


class CatkinpinError(Exception):
    """Base of all errors raised by this package."""


class SettingsError(CatkinpinError):
    """Settings are invalid; the text lists every problem at once."""


class StorageError(CatkinpinError):
    """The data folder can't be read or written safely."""


class DamagedLogError(StorageError):
    """A record in the middle of the log fails its checksum."""


class PeerLostError(CatkinpinError):
    """The stream to another catkinpin process broke before the reply came."""


class NotLeaderError(CatkinpinError):
    """This replica does not lead the group.

    Attributes:
        leader: address of the leader where it is known, else an empty string.
    """

    def __init__(self, leader: str = "") -> None:
        super().__init__(f"not the leader; leader is {leader or 'unknown'}")
        self.leader = leader


class BadRequestError(CatkinpinError):
    """Input from outside is invalid.

    Attributes:
        field: the header, parameter or body field at fault.
    """

    def __init__(self, field: str, text: str) -> None:
        super().__init__(f"{field}: {text}")
        self.field = field


class SnapshotVersionError(StorageError):
    """A snapshot was written by a newer program."""

    def __init__(self, found: int, known: int) -> None:
        super().__init__(
            f"the snapshot has version {found}; this program knows {known}"
        )
