"""Messages and records of configuration and of operators' changes."""

from __future__ import annotations

from catkinpin.codec import Message


class ConfigUpdate(Message, frozen=True):
    """The newest configuration."""

    revision: int
    content: bytes


class ConfigConfirmed(Message, frozen=True):
    """The sender serves under this revision from now on."""

    revision: int


class Apply(Message, frozen=True):
    """An operator's change of configuration."""

    ask: int
    request_id: str
    base_revision: int
    content: bytes
    operator: str = ""


class Applied(Message, frozen=True):
    """Answers `Apply`.

    Attributes:
        accepted: whether this change became `revision`; else `revision` and
            `operator` are those of the configuration that is in force.
    """

    ask: int
    accepted: bool
    revision: int
    operator: str = ""


class ConfigChanged(Message, frozen=True):
    """Record: an operator's change, decided when it is applied."""

    at_ms: int
    request_id: str
    base_revision: int
    content: bytes
    operator: str = ""


ControlRecord = ConfigChanged
