"""Figures of a scale run, by phase and by role."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from beamloom.bench.scale_nodes import NANOSECONDS, HollowNode

WINDOW_SECONDS = 10
READER, AGGREGATOR, PLAIN = "reader", "status aggregator", "plain node"


@dataclass(frozen=True, slots=True)
class Spread:
    """The median, the 99th percentile and the maximum of some values."""

    p50: float
    p99: float
    max: float


@dataclass(frozen=True, slots=True)
class NodeFigures:
    """Resource use of one node in a phase, per second, with UDP and IP headers."""

    node: str
    role: str
    control_cpu_percent: float
    packet_microseconds: float
    sent_bytes: float
    received_bytes: float
    sent_datagrams: float
    received_datagrams: float
    largest_window_sent: float
    largest_window_received: float
    timers: float


@dataclass(frozen=True, slots=True)
class RoleFigures:
    """Figures of the nodes of one role; every node is also a home and a backend watcher."""

    role: str
    nodes: int
    control_cpu_percent: Spread
    sent_bytes_per_second: Spread
    received_bytes_per_second: Spread
    sent_datagrams_per_second: Spread
    received_datagrams_per_second: Spread
    largest_window_sent_bytes_per_second: Spread
    largest_window_received_bytes_per_second: Spread


@dataclass(frozen=True, slots=True)
class PhaseFigures:
    """Figures of one phase of a run."""

    phase: str
    seconds: float
    wall_seconds: float
    roles: tuple[RoleFigures, ...]
    worst_sender: str
    worst_cpu_node: str
    codec_cpu_percent: Spread
    encode_microseconds: float
    decode_microseconds: float
    byte_shares: dict[str, float]
    changes: int
    in_force_seconds: Spread | None
    never_in_force: int
    crash_notice_seconds: Spread | None
    crashes_unnoticed: int
    flows_opened: int
    queued_control_bytes: Spread
    dropped_cache_messages: int
    events: dict[str, float] = field(default_factory=dict)


def spread(values: Sequence[float], digits: int = 3) -> Spread:
    """Return the spread of values, or zeros if there are none."""
    ordered = sorted(values) or [0.0]
    return Spread(*(round(_quantile(ordered, share), digits) for share in (0.5, 0.99, 1.0)))


def _quantile(ordered: Sequence[float], share: float) -> float:
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


def role_of(node: HollowNode) -> str:
    """Return the role that a node has in addition to those of every node."""
    core = node.core.core
    if core.election.is_reader:
        return READER
    if core.fleet_status.snapshot().aggregated_members:
        return AGGREGATOR
    return PLAIN


def node_figures(node: HollowNode, start: float, end: float) -> NodeFigures:
    """Return the figures of a node between `start` and `end` from its meter."""
    meter, seconds = node.core.meter, end - start
    sent = [meter.sent_by_second[second] for second in range(int(start), int(end))]
    received = [meter.received_by_second[second] for second in range(int(start), int(end))]
    return NodeFigures(
        node.name,
        role_of(node),
        100 * meter.control_ns / NANOSECONDS / seconds,
        meter.packet_ns / 1000 / max(meter.packets, 1),
        sum(sent) / seconds,
        sum(received) / seconds,
        meter.sent_datagrams / seconds,
        meter.received_datagrams / seconds,
        largest_window(sent),
        largest_window(received),
        meter.timers / seconds,
    )


def largest_window(by_second: Sequence[int]) -> float:
    """Return the highest average of bytes per second over WINDOW_SECONDS consecutive seconds."""
    width = min(WINDOW_SECONDS, len(by_second)) or 1
    sums = (sum(by_second[i : i + width]) for i in range(max(len(by_second) - width, 0) + 1))
    return max(sums) / width


def role_figures(figures: Sequence[NodeFigures]) -> tuple[RoleFigures, ...]:
    """Return the figures of each role that has a node."""
    roles = [role for role in (PLAIN, AGGREGATOR, READER) if any(f.role == role for f in figures)]
    return tuple(_role([item for item in figures if item.role == role]) for role in roles)


def _role(figures: Sequence[NodeFigures]) -> RoleFigures:
    return RoleFigures(
        figures[0].role,
        len(figures),
        spread([item.control_cpu_percent for item in figures]),
        spread([item.sent_bytes for item in figures], 1),
        spread([item.received_bytes for item in figures], 1),
        spread([item.sent_datagrams for item in figures], 2),
        spread([item.received_datagrams for item in figures], 2),
        spread([item.largest_window_sent for item in figures], 1),
        spread([item.largest_window_received for item in figures], 1),
    )
