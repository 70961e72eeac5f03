"""Metrics in the Prometheus text format, made from snapshots when they are scraped.

Nothing on the packet path touches a metric: components count in plain integers, and a collector
reads these once per scrape. Every node has a registry of its own, so that several nodes may share a
process.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from enum import Enum

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, HistogramMetricFamily
from prometheus_client.metrics_core import Metric as PrometheusMetric
from prometheus_client.registry import Collector

from beamloom.telemetry.histogram import LatencyHistogram

NAME_PREFIX = "beamloom_"
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class MetricKind(Enum):
    """Whether a metric only rises, may also fall, or counts observations by their size."""

    COUNTER = "counter"
    GAUGE = "gauge"
    HISTOGRAM = "histogram"


@dataclass(frozen=True, slots=True)
class Sample:
    """One value of a metric and the values of the metric's labels."""

    value: float
    labels: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Metric:
    """A metric as read from a snapshot; `label_names` go with each sample's `labels`.

    `latencies` is what a histogram tells; it has no samples.
    """

    name: str
    kind: MetricKind
    help: str
    samples: tuple[Sample, ...]
    label_names: tuple[str, ...] = field(default=())
    latencies: LatencyHistogram | None = None


ReadMetrics = Callable[[], Iterable[Metric]]


def counter(name: str, help_text: str, value: float) -> Metric:
    """Return a counter without labels."""
    return Metric(name, MetricKind.COUNTER, help_text, (Sample(value),))


def gauge(name: str, help_text: str, value: float) -> Metric:
    """Return a gauge without labels."""
    return Metric(name, MetricKind.GAUGE, help_text, (Sample(value),))


def histogram(name: str, help_text: str, latencies: LatencyHistogram) -> Metric:
    """Return a histogram of seconds."""
    return Metric(name, MetricKind.HISTOGRAM, help_text, (), latencies=latencies)


def labelled(
    name: str, kind: MetricKind, help_text: str, label: str, values: Mapping[str, float]
) -> Metric:
    """Return a metric with one label, from its values by the label's value."""
    samples = tuple(Sample(value, (name_of,)) for name_of, value in sorted(values.items()))
    return Metric(name, kind, help_text, samples, (label,))


class SnapshotCollector(Collector):
    """Hands what `read` returns to a registry, at each scrape anew."""

    def __init__(self, read: ReadMetrics) -> None:
        self._read = read

    def describe(self) -> Iterator[PrometheusMetric]:
        """Return nothing, so that registration does not take a snapshot."""
        return iter(())

    def collect(self) -> Iterator[PrometheusMetric]:
        """Yield the metrics as they are now."""
        for metric in self._read():
            yield _family(metric)


def make_registry(read: ReadMetrics) -> CollectorRegistry:
    """Return a registry of one node's metrics."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(SnapshotCollector(read))
    return registry


def render(registry: CollectorRegistry) -> bytes:
    """Return all metrics in the text format."""
    return generate_latest(registry)


def _family(metric: Metric) -> PrometheusMetric:
    if metric.latencies is not None:
        buckets, total = metric.latencies.cumulative(), metric.latencies.total_seconds
        return HistogramMetricFamily(NAME_PREFIX + metric.name, metric.help, buckets, total)
    make = CounterMetricFamily if metric.kind is MetricKind.COUNTER else GaugeMetricFamily
    family = make(NAME_PREFIX + metric.name, metric.help, labels=metric.label_names)
    for sample in metric.samples:
        family.add_metric(sample.labels, sample.value)
    return family
