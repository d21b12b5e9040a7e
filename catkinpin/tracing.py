"""Trace spans, linked across processes by the W3C header `traceparent`."""

from __future__ import annotations

import contextlib
import json
from typing import IO, TYPE_CHECKING

from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import (
    SimpleSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from opentelemetry.sdk.trace import ReadableSpan

_propagator = TraceContextTextMapPropagator()
_tracer = trace.get_tracer("catkinpin")


class _JsonLinesExporter(SpanExporter):
    """Writes spans as JSON, one per line."""

    def __init__(self, out: IO[str]) -> None:
        self._out = out

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        for span in spans:
            text = span.to_json(indent=None)
            self._out.write(json.dumps(json.loads(text)) + "\n")
        self._out.flush()
        return SpanExportResult.SUCCESS


def set_up(path: str, process: str) -> None:
    """Exports spans to the file at `path`; none if the path is empty."""
    if not path:
        return
    provider = TracerProvider(
        resource=Resource.create({"service.name": process})
    )
    out = open(path, "a", encoding="utf-8")  # noqa: SIM115
    provider.add_span_processor(SimpleSpanProcessor(_JsonLinesExporter(out)))
    trace.set_tracer_provider(provider)


class Span:
    """A span in progress.

    Attributes:
        traceparent: header value for requests made within this span.
        trace_id: id of the trace in hex, for logs.
    """

    def __init__(self, otel_span: trace.Span) -> None:
        self._span = otel_span
        carrier: dict[str, str] = {}
        context = trace.set_span_in_context(otel_span)
        _propagator.inject(carrier, context)
        self.traceparent = carrier.get("traceparent", "")
        self.trace_id = f"{otel_span.get_span_context().trace_id:032x}"

    def note(self, key: str, value: str | int) -> None:
        """Sets an attribute of the span."""
        self._span.set_attribute(key, value)

    def add_event(self, name: str) -> None:
        """Records an event with the current time, such as the first token."""
        self._span.add_event(name)


@contextlib.contextmanager
def span(name: str, traceparent: str) -> Iterator[Span]:
    """Opens a child span of the one that `traceparent` identifies."""
    context = _propagator.extract({"traceparent": traceparent})
    otel_span = _tracer.start_span(name, context=context)
    try:
        yield Span(otel_span)
    finally:
        otel_span.end()
