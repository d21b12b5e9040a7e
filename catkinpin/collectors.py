"""Counters, gauges and histograms that load quickly.

Loading `prometheus_client` takes a sixth of the processor time of a gateway's
start, mostly for its HTTP server. After a loss of power callers wait for that
start, and most processes are never asked for their metrics. These collectors
keep the values; `exposition` loads the library to write them.
"""

from __future__ import annotations

import bisect
import time
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

_registered: list[_Collector] = []


class _Value:
    """The value of a counter or gauge with one set of labels."""

    def __init__(self) -> None:
        self.value = 0.0
        self.created_s = time.time()

    def inc(self, amount: float = 1.0) -> None:
        """Adds to the value."""
        self.value += amount

    def set(self, value: float) -> None:
        """Sets the value."""
        self.value = value


class _Distribution:
    """The distribution of a histogram with one set of labels."""

    def __init__(self, bounds: Sequence[float]) -> None:
        self._bounds = bounds
        self.counts = [0] * (len(bounds) + 1)
        self.sum = 0.0
        self.created_s = time.time()

    def observe(self, value: float) -> None:
        """Adds an observation."""
        self.counts[bisect.bisect_left(self._bounds, value)] += 1
        self.sum += value


class _Collector:
    """The values of one metric by their labels.

    Args:
        name: the metric's name.
        text: the metric's help text.
        label_names: names of the labels.
        new_child: returns the initial value for a new set of labels.
    """

    def __init__(
        self,
        name: str,
        text: str,
        label_names: Sequence[str],
        new_child: Callable[[], Any],
    ) -> None:
        self.name = name
        self.text = text
        self.label_names = tuple(label_names)
        self.children: dict[tuple[str, ...], Any] = {}
        self._new_child = new_child
        # A metric without labels is exposed before its first change.
        self._own = None if self.label_names else self.labels()
        _registered.append(self)

    def labels(self, *values: str) -> Any:
        """Returns the value with these labels."""
        child = self.children.get(values)
        if child is None:
            if len(values) != len(self.label_names):
                raise ValueError(f"{self.name} has labels {self.label_names}")
            child = self.children[values] = self._new_child()
        return child

    def clear(self) -> None:
        """Removes the values of all labels."""
        self.children.clear()


class Counter(_Collector):
    """A number that only increases."""

    def __init__(
        self, name: str, text: str, label_names: Sequence[str] = ()
    ) -> None:
        super().__init__(name, text, label_names, _Value)

    def inc(self, amount: float = 1.0) -> None:
        """Adds to a counter without labels."""
        self.labels().inc(amount)


class Gauge(_Collector):
    """A number that may increase and decrease."""

    def __init__(
        self, name: str, text: str, label_names: Sequence[str] = ()
    ) -> None:
        super().__init__(name, text, label_names, _Value)

    def set(self, value: float) -> None:
        """Sets a gauge without labels."""
        self.labels().set(value)


class Histogram(_Collector):
    """A distribution of observed values.

    Args:
        name: the metric's name.
        text: the metric's help text.
        label_names: names of the labels.
        buckets: upper bounds of the buckets, without infinity.
    """

    def __init__(
        self,
        name: str,
        text: str,
        label_names: Sequence[str] = (),
        *,
        buckets: Sequence[float],
    ) -> None:
        self.bounds = tuple(float(bound) for bound in buckets)
        super().__init__(
            name, text, label_names, lambda: _Distribution(self.bounds)
        )

    def observe(self, value: float) -> None:
        """Adds an observation to a histogram without labels."""
        self.labels().observe(value)


def exposition() -> bytes:
    """Returns all metrics in the Prometheus text format."""
    import prometheus_client

    if not isinstance(_exporter.registry, prometheus_client.CollectorRegistry):
        _exporter.registry = prometheus_client.REGISTRY
        prometheus_client.REGISTRY.register(_exporter)
    return prometheus_client.generate_latest()


class _Exporter:
    """Gives the collected values to `prometheus_client`."""

    registry: Any = None

    def collect(self) -> Iterable[Any]:
        """Yields one metric family for each collector."""
        return [_family_of(collector) for collector in _registered]


_exporter = _Exporter()


def _family_of(collector: _Collector) -> Any:
    from prometheus_client import core

    kinds: dict[type[_Collector], Any] = {
        Counter: core.CounterMetricFamily,
        Gauge: core.GaugeMetricFamily,
        Histogram: core.HistogramMetricFamily,
    }
    family = kinds[type(collector)](
        collector.name, collector.text, labels=collector.label_names
    )
    for labels, child in collector.children.items():
        if isinstance(collector, Histogram):
            buckets = _cumulative_buckets(collector.bounds, child.counts)
            family.add_metric(labels, buckets, child.sum)
            values = dict(zip(collector.label_names, labels, strict=True))
            created = f"{collector.name}_created"
            family.add_sample(created, values, child.created_s)
        elif isinstance(collector, Counter):
            family.add_metric(labels, child.value, created=child.created_s)
        else:
            family.add_metric(labels, child.value)
    return family


def _cumulative_buckets(
    bounds: Sequence[float], counts: Sequence[int]
) -> list[tuple[str, float]]:
    total = 0
    buckets = []
    for bound, count in zip([*bounds, float("inf")], counts, strict=True):
        total += count
        label = "+Inf" if bound == float("inf") else str(bound)
        buckets.append((label, float(total)))
    return buckets
