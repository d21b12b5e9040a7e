"""Tests that the metrics read as those of `prometheus_client`."""

from __future__ import annotations

import subprocess
import sys

import prometheus_client
import testtools
from prometheus_client.core import CollectorRegistry

from catkinpin import collectors, metrics
from tests import processes

_BUCKETS = (0.1, 1, 2.5)


def _lines_of(text: bytes, name: str) -> list[str]:
    """Returns the lines of a metric; the values of `_created` vary."""
    return [
        line.rpartition(" ")[0] if "_created" in line else line
        for line in text.decode().splitlines()
        if f"{name}" in line
    ]


def _change(counter: object, gauge: object, histogram: object) -> None:
    counter.labels("a", "b").inc()  # type: ignore[attr-defined]
    counter.labels("a", "c").inc(2.5)  # type: ignore[attr-defined]
    gauge.set(-3)  # type: ignore[attr-defined]
    for value in (0.1, 0.11, 2.5, 9.0):
        histogram.observe(value)  # type: ignore[attr-defined]


class CollectorsTest(testtools.TestCase):
    """Exposition of counters, gauges and histograms."""

    def test_exposition_equals_that_of_the_library(self) -> None:
        """Guards against metrics that dashboards and alerts don't find."""
        registry = CollectorRegistry()
        labels = ["x", "y"]
        _change(
            prometheus_client.Counter(
                "likeness_n_total", "Text.", labels, registry=registry
            ),
            prometheus_client.Gauge(
                "likeness_g", "A\nline.", registry=registry
            ),
            prometheus_client.Histogram(
                "likeness_h", "Text.", buckets=_BUCKETS, registry=registry
            ),
        )
        _change(
            collectors.Counter("likeness_n_total", "Text.", labels),
            collectors.Gauge("likeness_g", "A\nline."),
            collectors.Histogram("likeness_h", "Text.", buckets=_BUCKETS),
        )
        expected = prometheus_client.generate_latest(registry)
        self.assertEqual(
            _lines_of(expected, "likeness"),
            _lines_of(metrics.exposition(), "likeness"),
        )

    def test_wrong_number_of_labels_is_an_error(self) -> None:
        """Guards against values that are exposed under wrong labels."""
        self.assertRaises(ValueError, metrics.REFUSALS.labels)

    def test_start_does_not_load_the_library(self) -> None:
        """Guards against a start that loads what only an exposition needs."""
        code = (
            "import sys\n"
            "import catkinpin.adapters.gateway.process\n"
            "import catkinpin.adapters.keeper.process\n"
            "import catkinpin.adapters.store.process\n"
            "print('prometheus_client' in sys.modules)\n"
        )
        completed = subprocess.run(
            [sys.executable, "-c", code],
            cwd=processes.ROOT,
            capture_output=True,
            text=True,
            timeout=60,
            check=True,
        )
        self.assertEqual("False", completed.stdout.strip())
