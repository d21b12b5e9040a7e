"""Joins the streams of several attempts so that no token comes twice.

A model call whose server was lost is generated anew elsewhere. Its caller may
have part of the first answer already. The new answer is compared with that
part and passed on from where it ends; if it differs, the caller's stream can't
go on, for the two parts would not make one answer.
"""

from __future__ import annotations

from typing import Any

import msgspec

from catkinpin.exceptions import DivergedError

_Channel = tuple[int, int, str]
_NO_CALL = -1


class StreamSplicer:
    """What a caller has of an answer.

    Attributes:
        started: whether the caller has any event.
    """

    def __init__(self) -> None:
        self.started = False
        self._sent: dict[_Channel, str] = {}
        self._left: dict[_Channel, str] = {}
        self._first: dict[str, Any] = {}
        self._again = False

    def restart(self) -> None:
        """Notes that the next event begins an answer generated anew."""
        self._again = self.started
        self._left = dict(self._sent)

    def feed(self, data: bytes) -> bytes | None:
        """Takes an event's data; returns what is new to the caller, or None.

        Raises:
            DivergedError: the answer differs from what the caller has.
        """
        chunk = msgspec.json.decode(data)
        if not self._again:
            self._note(chunk)
            return data
        kept = any([self._cut(choice) for choice in chunk.get("choices") or []])
        if not kept and not chunk.get("usage"):
            return None
        self._note(chunk)
        for field in ("id", "created"):
            if field in self._first:
                chunk[field] = self._first[field]
        return msgspec.json.encode(chunk)

    def _note(self, chunk: dict[str, Any]) -> None:
        if not self.started:
            self._first = {
                field: chunk[field]
                for field in ("id", "created")
                if field in chunk
            }
        self.started = True
        for choice in chunk.get("choices") or []:
            for channel, _, _, text in _texts(choice):
                self._sent[channel] = self._sent.get(channel, "") + text

    def _cut(self, choice: dict[str, Any]) -> bool:
        """Removes from a choice what was sent; returns whether any is left."""
        kept = bool(choice.get("finish_reason"))
        if kept and any(self._left.values()):
            raise DivergedError("the new answer is shorter")
        for channel, holder, field, text in _texts(choice):
            left = self._left.get(channel, "")
            common = min(len(left), len(text))
            if left[:common] != text[:common]:
                raise DivergedError("the new answer has another text")
            if common:
                self._left[channel] = left[common:]
            holder[field] = text[common:]
            kept = kept or len(text) > common
        return kept


def _texts(
    choice: dict[str, Any],
) -> list[tuple[_Channel, dict[str, Any], str, str]]:
    """Returns each text of a delta with its channel and where it stands."""
    index = int(choice.get("index", 0))
    delta = choice.get("delta") or {}
    found = [
        ((index, _NO_CALL, field), delta, field, text)
        for field, text in delta.items()
        if isinstance(text, str) and field != "role"
    ]
    for part in delta.get("tool_calls") or []:
        call = int(part.get("index", 0))
        function = part.get("function") or {}
        found += [
            ((index, call, field), function, field, text)
            for field, text in function.items()
            if isinstance(text, str)
        ]
    return found
