"""Every exception of the package, under one base."""

from __future__ import annotations


class CatkinpinError(Exception):
    """Base of all errors raised by this package."""


class SettingsError(CatkinpinError):
    """Settings are invalid; the text lists every problem at once."""


class StorageError(CatkinpinError):
    """The data folder can't be read or written safely."""


class DiskFullError(StorageError):
    """The disk takes no more bytes; what was to be written isn't there.

    Unlike after other failures all that was synced before is sound, and the
    same may be written again once there is room.
    """


class DamagedLogError(StorageError):
    """A record in the middle of the log fails its checksum."""


class PeerLostError(CatkinpinError):
    """The stream to another catkinpin process broke before the reply came.

    Attributes:
        sent: whether the other process may have got the message.
    """

    def __init__(self, text: str, *, sent: bool = True) -> None:
        super().__init__(text)
        self.sent = sent


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


class StopTimeoutError(CatkinpinError):
    """A graceful stop took too long; work in flight was cut off."""


class SentError(CatkinpinError):
    """A connection broke after the request may have left this host."""


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
    """A new answer differs from the part that the caller already has."""


class SnapshotVersionError(StorageError):
    """A snapshot was written by a newer program."""

    def __init__(self, found: int, known: int) -> None:
        super().__init__(
            f"the snapshot has version {found}; this program knows {known}"
        )
