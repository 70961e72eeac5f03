"""The load tool: opens flows at a fixed rate from one process and summarizes their outcomes."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import asdict, dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

from beamloom.model.addresses import SocketAddress, VirtualAddress
from beamloom.standins.client_model import ClientFlow, Outcome
from beamloom.standins.client_process import ClientProcess
from beamloom.standins.client_stream import StreamFlow
from beamloom.standins.load_profiles import PROFILES, FlowSource, LoadProfile, ProfileName

TICK_SECONDS = 0.01
MAXIMUM_FLOWS_PER_TICK = 200
LATE_START_SECONDS = 0.1
SAMPLE_SECONDS = 0.5
MAXIMUM_LATENCY_MICROSECONDS = 3_600_000_000
SIGNIFICANT_DIGITS = 3


@dataclass(frozen=True, slots=True)
class LatencySummary:
    """Percentiles of the seconds from a request flow's start, or from an update, to the answer."""

    count: int
    p50: float
    p99: float
    maximum: float


@dataclass(frozen=True, slots=True)
class ServiceImbalance:
    """Maximum over mean of the flows per endpoint of a service: 1.0 if even, 0.0 without flows.

    `open_flows` is over the open streams that a backend has answered, averaged over the samples of
    the second half of the run; `flows` is over all ended flows that a backend has answered.
    """

    open_flows: float
    flows: float


@dataclass(frozen=True, slots=True)
class LoadResult:
    """Result of a load run; `late_ticks` counts the ticks at which the tool was behind schedule."""

    profile: str
    rate: float
    duration: float
    flows: int
    late_ticks: int
    outcomes: dict[str, int]
    broken_flows: int
    not_ended: int
    split_flows: int
    updates_sent: int
    updates_answered: int
    updates_refused: int
    latency: LatencySummary
    imbalance: dict[str, ServiceImbalance]
    details: dict[str, int] = field(default_factory=dict)

    def to_json(self) -> dict[str, Any]:
        """Return the result as a JSON-compatible dictionary."""
        return asdict(self)


class LoadRecorder:
    """Counts the outcomes of flows, and their distribution over services and backends."""

    def __init__(self, profile: LoadProfile) -> None:
        self._profile = profile
        self._services: dict[ClientFlow, str] = {}
        self._outcomes: Counter[str] = Counter()
        self._details: Counter[str] = Counter()
        self._flows = {name: Counter[str]() for name in profile.endpoints}
        self._samples: dict[str, list[float]] = {name: [] for name in profile.endpoints}
        self._latency = HdrHistogram(1, MAXIMUM_LATENCY_MICROSECONDS, SIGNIFICANT_DIGITS)
        self._totals: Counter[str] = Counter()

    @property
    def open_flows(self) -> list[ClientFlow]:
        """The flows without an outcome."""
        return list(self._services)

    def record_start(self, service: str, flow: ClientFlow) -> None:
        """Record a new flow."""
        self._services[flow] = service
        self._totals["flows"] += 1

    def record_end(self, flow: ClientFlow) -> None:
        """Record the outcome of a flow."""
        service = self._services.pop(flow)
        truth = flow.truth
        outcome = truth.outcome or Outcome.TIMED_OUT
        self._outcomes[outcome.value] += 1
        self._totals["broken"] += truth.broken
        self._totals["split"] += len(truth.backends) > 1
        self._totals["updates_sent"] += truth.updates_sent
        self._totals["updates_answered"] += truth.updates_answered
        self._totals["updates_refused"] += truth.updates_refused
        if truth.detail:
            self._details[truth.detail] += 1
        if truth.backends:
            self._flows[service][truth.backends[0]] += 1
        self._record_latencies(flow)

    def sample_streams(self) -> None:
        """Record how evenly each service's open streams are distributed over its backends now."""
        streams_by_backend = {name: Counter[str]() for name in self._profile.endpoints}
        for flow, service in self._services.items():
            if isinstance(flow, StreamFlow) and flow.truth.backends:
                streams_by_backend[service][flow.truth.backends[0]] += 1
        for name, counts in streams_by_backend.items():
            if counts:
                self._samples[name].append(imbalance(counts, self._profile.endpoints[name]))

    def result(self, rate: float, duration: float, late_ticks: int) -> LoadResult:
        """Return the result of the run so far."""
        return LoadResult(
            profile=self._profile.name.value,
            rate=rate,
            duration=duration,
            flows=self._totals["flows"],
            late_ticks=late_ticks,
            outcomes={outcome.value: self._outcomes[outcome.value] for outcome in Outcome},
            broken_flows=self._totals["broken"],
            not_ended=len(self._services),
            split_flows=self._totals["split"],
            updates_sent=self._totals["updates_sent"],
            updates_answered=self._totals["updates_answered"],
            updates_refused=self._totals["updates_refused"],
            latency=self._latency_summary(),
            imbalance={name: self._imbalance(name) for name in self._profile.endpoints},
            details=dict(self._details),
        )

    def _record_latencies(self, flow: ClientFlow) -> None:
        truth = flow.truth
        latencies = list(truth.latencies)
        is_answered_request = not isinstance(flow, StreamFlow) and truth.outcome is Outcome.ANSWERED
        if is_answered_request and truth.latency is not None:
            latencies.append(truth.latency)
        for seconds in latencies:
            self._latency.record_value(max(1, round(seconds * 1_000_000)))

    def _latency_summary(self) -> LatencySummary:
        histogram = self._latency
        return LatencySummary(
            histogram.get_total_count(),
            histogram.get_value_at_percentile(50) / 1_000_000,
            histogram.get_value_at_percentile(99) / 1_000_000,
            histogram.get_max_value() / 1_000_000,
        )

    def _imbalance(self, name: str) -> ServiceImbalance:
        samples = self._samples[name]
        second_half = samples[len(samples) // 2 :]
        mean = sum(second_half) / len(second_half) if second_half else 0.0
        return ServiceImbalance(mean, imbalance(self._flows[name], self._profile.endpoints[name]))


def imbalance(counts: Mapping[str, int], endpoints: int) -> float:
    """Return the maximum over the mean; endpoints without a flow count as zero."""
    total = sum(counts.values())
    return max(counts.values()) * endpoints / total if total else 0.0


async def run_load(
    profile: ProfileName,
    rate: float,
    duration: float,
    *,
    fabric: SocketAddress,
    services: Mapping[str, VirtualAddress],
    seed: int = 1,
    close_timeout_seconds: float = 10.0,
    first_client: int = 0,
    progress: Callable[[int, int], None] | None = None,
) -> LoadResult:
    """Open `rate` flows a second for `duration` seconds, then close the streams, and summarize.

    `services` maps each service of the profile to its virtual address. `progress` is called with
    the numbers of started and of open flows. Flows that have not ended `close_timeout_seconds`
    after the streams are closed count as `not_ended`. Raises ValueError if an address is missing.
    """
    load_profile = PROFILES[profile]
    source = FlowSource(
        load_profile, services, random.Random(seed), first_client_number=first_client
    )
    recorder = LoadRecorder(load_profile)
    client = ClientProcess(fabric, recorder.record_end)
    await client.open()
    try:
        starter = _FlowStarter(client, source, recorder, progress)
        late_ticks = await starter.run(rate, duration)
        for flow in recorder.open_flows:
            if isinstance(flow, StreamFlow):
                client.close_stream(flow)
        await _wait_until_closed(client, close_timeout_seconds)
        return recorder.result(rate, duration, late_ticks)
    finally:
        client.close()


class _FlowStarter:
    """Starts flows on schedule and periodically samples the open streams."""

    def __init__(
        self,
        client: ClientProcess,
        source: FlowSource,
        recorder: LoadRecorder,
        progress: Callable[[int, int], None] | None,
    ) -> None:
        self._client = client
        self._source = source
        self._recorder = recorder
        self._progress = progress
        self._started = 0

    async def run(self, rate: float, duration: float) -> int:
        """Start every flow; returns the number of ticks at which the tool was behind schedule."""
        loop = asyncio.get_running_loop()
        start_time = loop.time()
        next_sample = start_time + SAMPLE_SECONDS
        total = round(rate * duration)
        late_ticks = 0
        while self._started < total:
            elapsed = loop.time() - start_time
            if elapsed - self._started / rate > LATE_START_SECONDS:
                late_ticks += 1
            self._start_due_flows(min(total, int(elapsed * rate) + 1))
            if loop.time() >= next_sample:
                next_sample += SAMPLE_SECONDS
                self._sample()
            await asyncio.sleep(TICK_SECONDS)
        self._sample()
        return late_ticks

    def _start_due_flows(self, due_count: int) -> None:
        for _ in range(min(due_count - self._started, MAXIMUM_FLOWS_PER_TICK)):
            service, flow = self._source.next_flow()
            self._recorder.record_start(service, flow)
            self._client.start(flow)
            self._started += 1

    def _sample(self) -> None:
        self._recorder.sample_streams()
        if self._progress is not None:
            self._progress(self._started, len(self._recorder.open_flows))


async def _wait_until_closed(client: ClientProcess, close_timeout_seconds: float) -> None:
    """Wait until every flow and its connection have ended, or for `close_timeout_seconds`."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + close_timeout_seconds
    while len(client.host) and loop.time() < deadline:
        await asyncio.sleep(TICK_SECONDS)
