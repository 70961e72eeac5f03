"""Measures the time to parse, route and encode a packet on the token path, with and without a log.

Sockets are not included. The packets are those that flows send: each flow has
`PACKETS_PER_FLOW`, of which the first opens it and the others alternate between data and
acknowledgements.
"""

from __future__ import annotations

import random
import statistics
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from beamloom.platform import packet_layout
from beamloom.platform.packet_layout import FLAG_ACK, FLAG_SYN
from beamloom.routing.tokens.decisions import Decision
from beamloom.routing.tokens.packets import ForwardPacket
from beamloom.routing.tokens.placement import Placement, PlacementSettings
from beamloom.routing.tokens.records import (
    BackendRecord,
    BackendState,
    RoutePart,
    RouteRecord,
    RoutingConfiguration,
)
from beamloom.routing.tokens.router import TokenRouter, discard_decision
from beamloom.routing.tokens.token import KEY_BYTES, TokenCodec
from beamloom.runtime.decision_log import DecisionLog
from beamloom.standins.flow_packets import FlowEnd, FlowPacket
from beamloom.telemetry.event_log import EventLog

BACKENDS_PER_SERVICE = 12
PACKETS_PER_FLOW = 12
FLOWS_PER_FLUSH = 32
DATA = b"x" * 300
SERVICE = FlowEnd(bytes((198, 18, 0, 1)), 443)
NANOSECONDS_PER_MICROSECOND = 1000


@dataclass(frozen=True, slots=True)
class TokenPathCost:
    """Median microseconds per packet over several rounds."""

    without_log: float
    with_log: float

    @property
    def log_share(self) -> float:
        """The added cost of the event log, relative to the cost without it."""
        return self.with_log / self.without_log - 1.0


def measure_token_path(packets: int, rounds: int) -> TokenPathCost:
    """Alternate both variants, so that other load on the machine affects both."""
    without, with_log = [], []
    for number in range(rounds):
        without.append(_measure_round(packets, number, None))
        log = EventLog("bench", len)
        with_log.append(_measure_round(packets, number, log))
    return TokenPathCost(statistics.median(without), statistics.median(with_log))


def _measure_round(packets: int, seed: int, log: EventLog | None) -> float:
    on_decision: Callable[[Decision], None] = discard_decision
    if log is not None:
        on_decision = DecisionLog(log, packet_layout.describe_flow, lambda: 0.5).decision
    router = _make_router(seed, on_decision)
    flows = packets // PACKETS_PER_FLOW
    elapsed_ns = 0
    for number in range(flows):
        token = 0
        for data in _flow_packets(number):
            datagram = packet_layout.replace_token(data, token) if token else data
            started = time.perf_counter_ns()
            token = _forward(router, datagram) or token
            elapsed_ns += time.perf_counter_ns() - started
        if log is not None and number % FLOWS_PER_FLUSH == 0:
            started = time.perf_counter_ns()
            log.flush()
            elapsed_ns += time.perf_counter_ns() - started
    return elapsed_ns / NANOSECONDS_PER_MICROSECOND / (flows * PACKETS_PER_FLOW)


def _forward(router: TokenRouter, datagram: bytes) -> int:
    """Parse, route and encode a datagram as a node does; return the token of the command."""
    packet = packet_layout.parse_packet(datagram)
    assert packet is not None
    command = router.handle(packet, time.monotonic())
    assert isinstance(command, ForwardPacket)
    packet_layout.encode_forward(command)
    return command.token


def _flow_packets(number: int) -> Iterator[bytes]:
    """Yield the packets of a flow without tokens: the opening, then data and acknowledgements."""
    client = FlowEnd(bytes((100, 64, number >> 8 & 255, number & 255)), 1024 + number % 999)
    yield FlowPacket(client, SERVICE, FLAG_SYN, 1).encode()
    for step in range(PACKETS_PER_FLOW - 1):
        data = DATA if step % 2 == 0 else b""
        sequence = 2 + len(DATA) * step
        yield FlowPacket(client, SERVICE, FLAG_ACK, sequence, 1 + step, 0, data).encode()


def _make_router(seed: int, on_decision: Callable[[Decision], None]) -> TokenRouter:
    placement = Placement("west", PlacementSettings(), random.Random(seed))
    router = TokenRouter(placement, on_decision)
    router.codec = TokenCodec(bytes(KEY_BYTES))
    destination = packet_layout.destination_key(SERVICE.address, SERVICE.port)
    route = RouteRecord("route", destination, (RoutePart("service", 1.0),))
    router.activate(RoutingConfiguration(1, (route,)))
    for number in range(1, BACKENDS_PER_SERVICE + 1):
        name, host = f"i-{number:08x}", f"10.128.0.{number}"
        record = BackendRecord(name, number, "service", host, 8080, "west", 2, BackendState.READY)
        router.backends.update(record, number, 0.0)
    return router
