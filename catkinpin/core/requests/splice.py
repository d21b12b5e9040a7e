"""Joins the streams of several attempts without repeating tokens.

If the server of a model call is lost, the answer is generated again on another
server, while the caller may already have part of the first answer. The new
answer is compared with that part and forwarded from its end. If it differs,
the stream fails, as the two parts would not form one answer.
"""

from __future__ import annotations

from typing import Any

import msgspec

from catkinpin.exceptions import DivergedError

_Channel = tuple[int, int, str]
_NO_TOOL_CALL = -1
# Raised by a chunk that isn't JSON, or whose fields have other types.
_UNREADABLE = (
    msgspec.MsgspecError,
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)


class StreamSplicer:
    """Tracks the part of an answer that the caller has received.

    Attributes:
        started: Whether the caller has received any event.
    """

    def __init__(self) -> None:
        self.started = False
        self._sent: dict[_Channel, str] = {}
        self._unmatched: dict[_Channel, str] = {}
        self._first_ids: dict[str, Any] = {}
        self._is_regenerated = False
        self._is_readable = True

    def restart(self) -> None:
        """Prepares for the first event of a regenerated answer."""
        self._is_regenerated = self.started
        self._unmatched = dict(self._sent)

    def feed(self, data: bytes) -> bytes | None:
        """Returns the part of an event's data that the caller lacks, or None.

        Raises:
            DivergedError: If the answer differs from what the caller has, or
                can't be compared with it.
        """
        if not self._is_regenerated:
            try:
                self._record(msgspec.json.decode(data))
            except _UNREADABLE:
                # The caller gets it as it is; no other answer can continue it.
                self.started = True
                self._is_readable = False
            return data
        if not self._is_readable:
            raise DivergedError("the first answer can't be read")
        try:
            return self._feed_regenerated(msgspec.json.decode(data))
        except _UNREADABLE as exc:
            raise DivergedError("the new answer can't be read") from exc

    def _feed_regenerated(self, chunk: dict[str, Any]) -> bytes | None:
        has_new = any(
            [self._remove_sent(choice) for choice in chunk.get("choices") or []]
        )
        if not has_new and not chunk.get("usage"):
            return None
        self._record(chunk)
        for field in ("id", "created"):
            if field in self._first_ids:
                chunk[field] = self._first_ids[field]
        return msgspec.json.encode(chunk)

    def _record(self, chunk: dict[str, Any]) -> None:
        if not self.started:
            self._first_ids = {
                field: chunk[field]
                for field in ("id", "created")
                if field in chunk
            }
        self.started = True
        for choice in chunk.get("choices") or []:
            for channel, _, _, text in _texts(choice):
                self._sent[channel] = self._sent.get(channel, "") + text

    def _remove_sent(self, choice: dict[str, Any]) -> bool:
        """Removes sent text from a choice; returns whether any is left."""
        has_new = bool(choice.get("finish_reason"))
        if has_new and any(self._unmatched.values()):
            raise DivergedError("the new answer is shorter")
        for channel, holder, field, text in _texts(choice):
            unmatched = self._unmatched.get(channel, "")
            common = min(len(unmatched), len(text))
            if unmatched[:common] != text[:common]:
                raise DivergedError("the new answer has another text")
            if common:
                self._unmatched[channel] = unmatched[common:]
            holder[field] = text[common:]
            has_new = has_new or len(text) > common
        return has_new


def _texts(
    choice: dict[str, Any],
) -> list[tuple[_Channel, dict[str, Any], str, str]]:
    """Returns the texts of a choice's delta.

    Returns:
        For each text its channel, the object that holds it, the field of that
        object, and the text itself.
    """
    index = int(choice.get("index", 0))
    delta = choice.get("delta") or {}
    texts = [
        ((index, _NO_TOOL_CALL, field), delta, field, text)
        for field, text in delta.items()
        if isinstance(text, str) and field != "role"
    ]
    for part in delta.get("tool_calls") or []:
        call = int(part.get("index", 0))
        function = part.get("function") or {}
        texts += [
            ((index, call, field), function, field, text)
            for field, text in function.items()
            if isinstance(text, str)
        ]
    return texts
