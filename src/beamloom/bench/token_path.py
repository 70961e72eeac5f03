"""What a packet costs on the token path: read, decide, write, with the event log on and off.

Sockets are left out. Packets are those of clients' requests: one in `PACKETS_PER_OPENING` opens a
flow, the others carry data or acknowledgements of open flows.
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
PACKETS_PER_OPENING = 12
FLOWS_PER_FLUSH = 32
DATA = b"x" * 300
SERVICE = FlowEnd(bytes((198, 18, 0, 1)), 443)
NANOSECONDS_PER_MICROSECOND = 1000


@dataclass(frozen=True, slots=True)
class TokenPathCost:
    """Microseconds a packet, the middle of several rounds."""

    without_log: float
    with_log: float

    @property
    def log_share(self) -> float:
        """How much more a packet costs with the log on, as a share."""
        return self.with_log / self.without_log - 1.0


def measure_token_path(packets: int, rounds: int) -> TokenPathCost:
    """Measure both ways in turn, so that what disturbs the machine disturbs both."""
    without, with_log = [], []
    for number in range(rounds):
        without.append(_round(packets, number, None))
        log = EventLog("bench", len)
        with_log.append(_round(packets, number, log))
    return TokenPathCost(statistics.median(without), statistics.median(with_log))


def _round(packets: int, seed: int, log: EventLog | None) -> float:
    on_decision: Callable[[Decision], None] = discard_decision
    if log is not None:
        on_decision = DecisionLog(log, packet_layout.describe_flow, lambda: 0.5).decision
    router = _make_router(seed, on_decision)
    clients = packets // PACKETS_PER_OPENING
    spent = 0
    for number in range(clients):
        token = 0
        for data in _packets(number):
            datagram = packet_layout.replace_token(data, token) if token else data
            began = time.perf_counter_ns()
            token = _carry(router, datagram) or token
            spent += time.perf_counter_ns() - began
        if log is not None and number % FLOWS_PER_FLUSH == 0:
            began = time.perf_counter_ns()
            log.flush()
            spent += time.perf_counter_ns() - began
    return spent / NANOSECONDS_PER_MICROSECOND / (clients * PACKETS_PER_OPENING)


def _carry(router: TokenRouter, datagram: bytes) -> int:
    """Do with a datagram what a node does between its sockets; return the token it wrote."""
    packet = packet_layout.parse_packet(datagram)
    assert packet is not None
    command = router.handle(packet, time.monotonic())
    assert isinstance(command, ForwardPacket)
    packet_layout.encode_forward(command)
    return command.token


def _packets(number: int) -> Iterator[bytes]:
    """Yield a flow's opening packet, then data and acknowledgements in turn, without tokens."""
    client = FlowEnd(bytes((100, 64, number >> 8 & 255, number & 255)), 1024 + number % 999)
    yield FlowPacket(client, SERVICE, FLAG_SYN, 1).encode()
    for step in range(PACKETS_PER_OPENING - 1):
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
