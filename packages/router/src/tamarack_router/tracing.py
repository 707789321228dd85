"""Traces with a span per hop, propagated by W3C `traceparent`."""

from __future__ import annotations

import sys
from types import TracebackType
from typing import Any

from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import BatchSpanProcessor, ConsoleSpanExporter
from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

_propagator = TraceContextTextMapPropagator()


class Tracing:
    """The tracer of one router.

    Parameters
    ----------
    exporter
        `off`, `stderr` or `otlp`.
    address
        URL of the OTLP/HTTP receiver, for `otlp`.
    sample
        Fraction of the traces started here that is recorded, 0 to 1.
    """

    def __init__(self, router: str, exporter: str, address: str, sample: float) -> None:
        self._provider: TracerProvider | None = None
        self._tracer: trace.Tracer = trace.NoOpTracer()
        if exporter == "off":
            return
        resource = Resource.create({"service.name": "tamarackd", "service.instance.id": router})
        sampler = ParentBased(TraceIdRatioBased(sample))
        self._provider = TracerProvider(resource=resource, sampler=sampler)
        self._provider.add_span_processor(BatchSpanProcessor(_make_exporter(exporter, address)))
        self._tracer = self._provider.get_tracer("tamarack_router")

    def __enter__(self) -> Tracing:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._provider is not None:
            self._provider.shutdown()

    def start(self, name: str, *, parent: Any = None, traceparent: str = "") -> Any:
        """Start a span as a child of another span or of a caller's `traceparent`."""
        context = None
        if parent is not None:
            context = trace.set_span_in_context(parent)
        elif traceparent:
            context = _propagator.extract({"traceparent": traceparent})
        return self._tracer.start_span(name, context=context)


def traceparent_of(span: Any) -> str:
    """Return the `traceparent` header of a span, empty if the span has no valid context."""
    if span is None or not span.get_span_context().is_valid:
        return ""
    carrier: dict[str, str] = {}
    _propagator.inject(carrier, context=trace.set_span_in_context(span))
    return carrier.get("traceparent", "")


def _make_exporter(exporter: str, address: str) -> Any:
    if exporter == "stderr":
        return ConsoleSpanExporter(out=sys.stderr)
    from opentelemetry.exporter.otlp.proto.http.trace_exporter import OTLPSpanExporter

    return OTLPSpanExporter(endpoint=address)
