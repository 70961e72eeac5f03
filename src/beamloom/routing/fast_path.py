"""The fast path: forwarding of mid-flow IPv4 packets whose flow has an entry at this node."""

from __future__ import annotations

import struct
from collections.abc import Mapping

import xxhash

from beamloom.model.addresses import SocketAddress
from beamloom.routing.flow_table import FlowFlag, FlowTable
from beamloom.routing.hashing import FLOW_KEY_MASK
from beamloom.routing.packet import PROTOCOL_TCP, TCP_FIN, TCP_RST, TCP_SYN
from beamloom.routing.services import RouteTable

MINIMUM_PACKET_SIZE = 40
IPV4_WITHOUT_OPTIONS = 0x45
FRAGMENT_MASK = 0x3FFF
TCP_FLAGS_POSITION = 33
TCP_CONTROL_FLAGS = TCP_SYN | TCP_FIN | TCP_RST

_HEADER = struct.Struct("!BxHxxHBBxx12s")
_HOME = int(FlowFlag.HOME)
_PAYLOAD_SENT = int(FlowFlag.PAYLOAD_SENT)
_CHECKED_FLAGS = int(
    FlowFlag.PAYLOAD_SENT
    | FlowFlag.HELD
    | FlowFlag.CLIENT_CLOSED
    | FlowFlag.BACKEND_CLOSED
    | FlowFlag.DEADLINE
)


class FastPath:
    """Looks up a packet's backend in one node's tables; `seeds` holds hash seeds by protocol."""

    def __init__(self, table: FlowTable, routes: RouteTable, seeds: Mapping[int, int]) -> None:
        self._table = table
        self._routes = routes
        self._seeds = seeds

    def look_up(  # noqa: PLR0911 - flat, as each further call adds to the cost of every packet
        self, data: bytes, now: float
    ) -> SocketAddress | None:
        """Return the backend address of a packet, or None if it needs the full checks."""
        if len(data) < MINIMUM_PACKET_SIZE or data[0] != IPV4_WITHOUT_OPTIONS:
            return None
        _, total_length, fragment, hop_limit, protocol, hash_input = _HEADER.unpack_from(data)
        seed = self._seeds.get(protocol)
        if seed is None or total_length != len(data) or fragment & FRAGMENT_MASK or not hop_limit:
            return None
        table = self._table
        if protocol == PROTOCOL_TCP and data[TCP_FLAGS_POSITION] & TCP_CONTROL_FLAGS:
            return None
        row = table.rows.get(xxhash.xxh3_64_intdigest(hash_input, seed) & FLOW_KEY_MASK)
        route = None if row is None else self._routes.backends.get(table.backend[row])
        if row is None or route is None:
            return None
        service, flags = route.service, table.flags[row]
        if hash_input[10:] != service.port_bytes or hash_input[4:8] != service.ip_bytes:
            return None
        if protocol != service.protocol:
            return None
        meter = service.meter
        if meter.blocked or flags & _CHECKED_FLAGS != _PAYLOAD_SENT:
            return None
        if flags & _HOME:
            table.deadline[row] = now + service.idle_timeout
        elif table.deadline[row] <= now:
            return None
        meter.packets += 1
        return route.address
