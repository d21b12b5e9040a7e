"""Exceptions of the package, with a common base class."""

from __future__ import annotations


class CatkinpinError(Exception):
    """Base of all errors raised by this package."""


class SettingsError(CatkinpinError):
    """Settings are invalid; the text lists all problems."""


class StorageError(CatkinpinError):
    """The data folder can't be read or written safely."""


class DiskFullError(StorageError):
    """A write failed because the disk is full.

    Unlike after other storage errors, everything synced before is intact, and
    the write may be repeated once there is space.
    """


class UnavailableStorageError(StorageError):
    """The data folder can't be used now, but may be usable later."""


class DamagedLogError(StorageError):
    """A record in the middle of the log fails its checksum."""


class BadHelloError(CatkinpinError):
    """A process that connected can't be identified by its Hello."""


class PeerLostError(CatkinpinError):
    """The stream to another catkinpin process broke before the reply arrived.

    Attributes:
        sent: whether the other process may have received the message.
    """

    def __init__(self, text: str, *, sent: bool = True) -> None:
        super().__init__(text)
        self.sent = sent


class NotLeaderError(CatkinpinError):
    """This replica does not lead the group.

    Attributes:
        leader: address of the leader; empty if unknown.
    """

    def __init__(self, leader: str = "") -> None:
        super().__init__(f"not the leader; leader is {leader or 'unknown'}")
        self.leader = leader


class BadRequestError(CatkinpinError):
    """Input from a caller or an operator is invalid.

    Attributes:
        field: the invalid header, parameter or body field.
    """

    def __init__(self, field: str, text: str) -> None:
        super().__init__(f"{field}: {text}")
        self.field = field


class StopTimeoutError(CatkinpinError):
    """A graceful stop timed out; work in flight was aborted."""


class SentError(CatkinpinError):
    """A connection broke when the request may already have been sent."""


class BrokenStreamError(CatkinpinError):
    """A server's stream ended early.

    Attributes:
        timed_out: nothing arrived for too long on an open connection.
        incarnation_ended: the incarnation that ran the attempt has ended.
    """

    def __init__(
        self,
        text: str,
        *,
        timed_out: bool = False,
        incarnation_ended: bool = False,
    ) -> None:
        super().__init__(text)
        self.timed_out = timed_out
        self.incarnation_ended = incarnation_ended


class DivergedError(CatkinpinError):
    """A retried answer differs from the part already sent to the caller."""


class SnapshotVersionError(StorageError):
    """A snapshot was written by a newer version of the software."""

    def __init__(self, found: int, known: int) -> None:
        super().__init__(
            f"the snapshot has version {found}; this program knows {known}"
        )
