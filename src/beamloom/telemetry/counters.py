"""Metrics in the Prometheus text format, built from snapshots at each scrape.

Components count in plain integers, so that the packet path does no work on metrics; a collector
reads the counts once per scrape. Each node has its own registry, so that several nodes can share a
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
    """Whether a metric only increases, may also decrease, or is a histogram."""

    COUNTER = "counter"
    GAUGE = "gauge"
    HISTOGRAM = "histogram"


@dataclass(frozen=True, slots=True)
class Sample:
    """One value of a metric, with its label values."""

    value: float
    labels: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Metric:
    """A metric of a snapshot; `label_names` are the names of each sample's `labels`.

    A histogram has `latencies` and no samples.
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


def labelled_metric(
    name: str, kind: MetricKind, help_text: str, label: str, values: Mapping[str, float]
) -> Metric:
    """Return a metric with one label; `values` maps label values to metric values."""
    samples = tuple(Sample(value, (label_value,)) for label_value, value in sorted(values.items()))
    return Metric(name, kind, help_text, samples, (label,))


class SnapshotCollector(Collector):
    """Provides the metrics that `read` returns to a registry, at each scrape."""

    def __init__(self, read: ReadMetrics) -> None:
        self._read = read

    def describe(self) -> Iterator[PrometheusMetric]:
        """Return nothing, so that registration does not take a snapshot."""
        return iter(())

    def collect(self) -> Iterator[PrometheusMetric]:
        """Yield the current metrics."""
        for metric in self._read():
            yield _family(metric)


def make_registry(read: ReadMetrics) -> CollectorRegistry:
    """Return a registry with the metrics of one node."""
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
