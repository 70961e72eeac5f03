"""The figures of a token node in Prometheus's text format, made when they are asked for.

prometheus-client is imported at the first request, not while the node starts.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from beamloom.telemetry.histogram import LatencyHistogram

if TYPE_CHECKING:
    from prometheus_client.core import Metric

NAMESPACE = "beamloom"


@dataclass(frozen=True, slots=True)
class TokenMetricSources:
    """Where figures come from: counters by group, gauges and histograms by name.

    A group becomes the counter `beamloom_GROUP_total` with the label `event`.
    """

    counters: Mapping[str, Callable[[], Counter[str]]]
    gauges: Mapping[str, Callable[[], float | None]]
    histograms: Mapping[str, LatencyHistogram]
    help_texts: Mapping[str, str] = field(default_factory=dict)


class TokenMetrics:
    """Renders the sources; `collect` is what prometheus-client's registries call."""

    def __init__(self, sources: TokenMetricSources) -> None:
        self._sources = sources

    def render(self) -> bytes:
        """Return all figures as text."""
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry(auto_describe=False)
        registry.register(self)
        return generate_latest(registry)

    def collect(self) -> Iterable[Metric]:
        """Yield one family for each group of counters, gauge and histogram."""
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        for group, read in self._sources.counters.items():
            counter = CounterMetricFamily(self._name(group), self._help(group), labels=["event"])
            for event, count in sorted(read().items()):
                counter.add_metric([event], count)
            yield counter
        for name, measure in self._sources.gauges.items():
            gauge = GaugeMetricFamily(self._name(name), self._help(name))
            value = measure()
            if value is not None:
                gauge.add_metric([], value)
            yield gauge
        for name, histogram in self._sources.histograms.items():
            family = HistogramMetricFamily(self._name(name), self._help(name))
            family.add_metric([], histogram.cumulative(), histogram.total_seconds)
            yield family

    def _name(self, name: str) -> str:
        return f"{NAMESPACE}_{name}"

    def _help(self, name: str) -> str:
        return self._sources.help_texts.get(name, name.replace("_", " "))
