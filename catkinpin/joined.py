"""Decision lines of many processes, joined around one request.

Each process writes what it decided; a failure's cause is mostly in another
process's lines than the request's own. So the lines that touch the request's
program, the servers that it was sent to and the leaders of the time go with
it, in the order of their times.
"""

from __future__ import annotations

import dataclasses
import json
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable

# Lines about servers, leaders and processes count so long around a request.
# An ejection lasts up to 6 s, a server is missed after 15 s.
NEAR_MS = 15_000
# Decisions about the whole system rather than one request.
_SYSTEM = frozenset(
    {
        "start",
        "stop",
        "stopped",
        "ready",
        "reload",
        "leader",
        "leadership",
        "handover",
        "routes",
        "routing",
        "store",
        "retire",
    }
)


@dataclasses.dataclass(frozen=True)
class DecisionLine:
    """One decision.

    Attributes:
        at_ms: Unix time at the process that wrote it.
        process: who wrote it.
        decision: what was decided.
        fields: all other fields of the line.
    """

    at_ms: int
    process: str
    decision: str
    fields: dict[str, Any]

    @property
    def servers(self) -> list[str]:
        """The servers that it names."""
        named = self.fields.get("servers") or [self.fields.get("server")]
        return [one for one in named if one]


@dataclasses.dataclass
class RequestReport:
    """What is known of one request.

    Attributes:
        request: its own lines.
        program: lines of its program's other requests.
        servers: lines about the servers that it was sent to, near it.
        system: lines about processes, leaders and routes, near it.
    """

    request: list[DecisionLine] = dataclasses.field(default_factory=list)
    program: list[DecisionLine] = dataclasses.field(default_factory=list)
    servers: list[DecisionLine] = dataclasses.field(default_factory=list)
    system: list[DecisionLine] = dataclasses.field(default_factory=list)


def parse(text: str) -> DecisionLine | None:
    """Returns a decision line; None for whatever else a process wrote.

    A collector may have put a prefix before the JSON object.
    """
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = json.loads(text[start:])
        return DecisionLine(
            at_ms=int(fields.pop("at_ms")),
            process=str(fields.pop("process")),
            decision=str(fields.pop("decision")),
            fields=fields,
        )
    except (ValueError, KeyError, TypeError, AttributeError):
        return None


def join(lines: Iterable[DecisionLine], request: str) -> RequestReport:
    """Returns what the lines tell about a request, each part by time."""
    ordered = sorted(lines, key=lambda line: line.at_ms)
    own = [ln for ln in ordered if ln.fields.get("request") == request]
    story = RequestReport(request=own)
    if not own:
        return story
    programs = {ln.fields["program"] for ln in own if ln.fields.get("program")}
    servers = {name for ln in own for name in ln.servers}
    took_ms = max(int(ln.fields.get("took_ms", 0)) for ln in own)
    first_ms = own[0].at_ms - took_ms - NEAR_MS
    last_ms = own[-1].at_ms + NEAR_MS
    for line in ordered:
        if line.fields.get("request") == request:
            continue
        if line.fields.get("program") in programs:
            story.program.append(line)
        elif not first_ms <= line.at_ms <= last_ms:
            continue
        elif "request" not in line.fields and servers & set(line.servers):
            story.servers.append(line)
        elif line.decision in _SYSTEM:
            story.system.append(line)
    return story
