"""Finds the decision lines of all processes that relate to one request.

Each process logs its decisions. The cause of a failure is usually not in the
request's own lines, but in those of another process. So the lines about the
request's program, about the servers that it was sent to and about the leaders
at that time are listed with it, ordered by time.
"""

from __future__ import annotations

import dataclasses
import json
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable

# Lines about servers, leaders and processes are included if they are at most
# this far from the request. An ejection lasts up to 6 s, and the absence of a
# server is noticed after 15 s.
RELATED_WINDOW_MS = 15_000
# Decisions that concern the whole system and not a single request.
_SYSTEM_DECISIONS = frozenset(
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
# Decisions by which a process's own view of the system may be outdated.
_VIEW_DECISIONS = frozenset({"feed", "outdated-servers"})


@dataclasses.dataclass(frozen=True)
class DecisionLine:
    """A logged decision.

    Attributes:
        at_ms: Unix time by the clock of the process that wrote the line.
        process: name of the process that wrote the line.
        decision: the kind of decision.
        fields: all other fields of the line.
    """

    at_ms: int
    process: str
    decision: str
    fields: dict[str, Any]

    @property
    def servers(self) -> list[str]:
        """Names of the servers that the line mentions."""
        values = self.fields.get("servers") or [self.fields.get("server")]
        return [server for server in values if server]


@dataclasses.dataclass
class RequestReport:
    """The lines that relate to one request, each list ordered by time.

    Attributes:
        request: the request's own lines.
        program: lines of other requests of its program.
        servers: lines about the servers that the request was sent to, within
            RELATED_WINDOW_MS of it.
        system: lines about processes, leaders and routes, and about the feeds
            of the request's gateway, within RELATED_WINDOW_MS of the request.
    """

    request: list[DecisionLine] = dataclasses.field(default_factory=list)
    program: list[DecisionLine] = dataclasses.field(default_factory=list)
    servers: list[DecisionLine] = dataclasses.field(default_factory=list)
    system: list[DecisionLine] = dataclasses.field(default_factory=list)


def parse(text: str) -> DecisionLine | None:
    """Returns the decision in a line of output, None if there is none.

    A log collector may have added a prefix before the JSON object.
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
    """Returns the lines that relate to a request."""
    ordered = sorted(lines, key=lambda line: line.at_ms)
    own = [ln for ln in ordered if ln.fields.get("request") == request]
    report = RequestReport(request=own)
    if not own:
        return report
    programs = {ln.fields["program"] for ln in own if ln.fields.get("program")}
    servers = {name for ln in own for name in ln.servers}
    processes = {ln.process for ln in own}
    duration_ms = max(int(ln.fields.get("took_ms", 0)) for ln in own)
    first_ms = own[0].at_ms - duration_ms - RELATED_WINDOW_MS
    last_ms = own[-1].at_ms + RELATED_WINDOW_MS
    for line in ordered:
        if line.fields.get("request") == request:
            continue
        if line.fields.get("program") in programs:
            report.program.append(line)
        elif not first_ms <= line.at_ms <= last_ms:
            continue
        elif "request" not in line.fields and servers & set(line.servers):
            report.servers.append(line)
        elif line.decision in _SYSTEM_DECISIONS or (
            line.decision in _VIEW_DECISIONS and line.process in processes
        ):
            report.system.append(line)
    return report
