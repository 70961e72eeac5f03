"""The load tool: thousands of flows a second from one process, and what became of them."""

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
FLOWS_PER_TICK_LIMIT = 200
LATE_SECONDS = 0.1
SAMPLE_SECONDS = 0.5
MAXIMUM_LATENCY_MICROSECONDS = 3_600_000_000
SIGNIFICANT_DIGITS = 3


@dataclass(frozen=True, slots=True)
class LatencySummary:
    """Percentiles of seconds from the start of a request or update to its whole answer."""

    count: int
    p50: float
    p99: float
    maximum: float


@dataclass(frozen=True, slots=True)
class ServiceImbalance:
    """Maximum over mean across a service's endpoints; 1.0 is even, 0.0 means no flow was seen.

    `open_flows` is over established streams, the mean of samples in the second half of the run;
    `flows` is over all flows that a backend answered.
    """

    open_flows: float
    flows: float


@dataclass(frozen=True, slots=True)
class LoadResult:
    """What became of a load; `late_ticks` says how often the tool itself was behind."""

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
        """Return the result as JSON's own types."""
        return asdict(self)


class LoadRecorder:
    """Collects what became of flows, by service and backend."""

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

    def started(self, service: str, flow: ClientFlow) -> None:
        """Note a new flow."""
        self._services[flow] = service
        self._totals["flows"] += 1

    def ended(self, flow: ClientFlow) -> None:
        """Note what became of a flow."""
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

    def sample(self) -> None:
        """Note how the open streams lie over each service's backends now."""
        held = {name: Counter[str]() for name in self._profile.endpoints}
        for flow, service in self._services.items():
            if isinstance(flow, StreamFlow) and flow.truth.backends:
                held[service][flow.truth.backends[0]] += 1
        for name, by_backend in held.items():
            if by_backend:
                self._samples[name].append(imbalance(by_backend, self._profile.endpoints[name]))

    def result(self, rate: float, duration: float, late_ticks: int) -> LoadResult:
        """Return everything noted."""
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
        one_shot = not isinstance(flow, StreamFlow) and truth.outcome is Outcome.ANSWERED
        if one_shot and truth.latency is not None:
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
        settled = samples[len(samples) // 2 :]
        mean = sum(settled) / len(settled) if settled else 0.0
        return ServiceImbalance(mean, imbalance(self._flows[name], self._profile.endpoints[name]))


def imbalance(by_backend: Mapping[str, int], endpoints: int) -> float:
    """Return the maximum over the mean, where endpoints without a flow count as zero."""
    total = sum(by_backend.values())
    return max(by_backend.values()) * endpoints / total if total else 0.0


async def run_load(
    profile: ProfileName,
    rate: float,
    duration: float,
    *,
    fabric: SocketAddress,
    services: Mapping[str, VirtualAddress],
    seed: int = 1,
    closing_time: float = 10.0,
    first_client: int = 0,
    progress: Callable[[int, int], None] | None = None,
) -> LoadResult:
    """Open `rate` flows a second for `duration` s, close the streams, wait, and count.

    `services` gives the virtual address of each service of the profile; `progress` is told how
    many flows were started and how many are open. Flows that have not ended `closing_time` s after
    the last start are counted as such. Raises ValueError when a service lacks its address.
    """
    chosen = PROFILES[profile]
    source = FlowSource(chosen, services, random.Random(seed), first_client=first_client)
    recorder = LoadRecorder(chosen)
    client = ClientProcess(fabric, recorder.ended)
    await client.open()
    try:
        starter = _FlowStarter(client, source, recorder, progress)
        late_ticks = await starter.run(rate, duration)
        for flow in recorder.open_flows:
            if isinstance(flow, StreamFlow):
                client.close_stream(flow)
        await _wait_for_end(client, closing_time)
        return recorder.result(rate, duration, late_ticks)
    finally:
        client.close()


class _FlowStarter:
    """Starts flows on schedule and samples what is open."""

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
        """Start every flow; returns in how many ticks the tool was behind."""
        loop = asyncio.get_running_loop()
        begin = loop.time()
        next_sample = begin + SAMPLE_SECONDS
        total = round(rate * duration)
        late_ticks = 0
        while self._started < total:
            elapsed = loop.time() - begin
            if elapsed - self._started / rate > LATE_SECONDS:
                late_ticks += 1
            self._start_until(min(total, int(elapsed * rate) + 1))
            if loop.time() >= next_sample:
                next_sample += SAMPLE_SECONDS
                self._sample()
            await asyncio.sleep(TICK_SECONDS)
        self._sample()
        return late_ticks

    def _start_until(self, due: int) -> None:
        for _ in range(min(due - self._started, FLOWS_PER_TICK_LIMIT)):
            service, flow = self._source.next_flow()
            self._recorder.started(service, flow)
            self._client.start(flow)
            self._started += 1

    def _sample(self) -> None:
        self._recorder.sample()
        if self._progress is not None:
            self._progress(self._started, len(self._recorder.open_flows))


async def _wait_for_end(client: ClientProcess, closing_time: float) -> None:
    """Wait until every flow has ended and its connection is closed on both sides."""
    loop = asyncio.get_running_loop()
    limit = loop.time() + closing_time
    while len(client.host) and loop.time() < limit:
        await asyncio.sleep(TICK_SECONDS)
