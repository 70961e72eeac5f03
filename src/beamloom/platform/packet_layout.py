"""The platform's packets: a fixed head, big-endian, followed by the data."""

from __future__ import annotations

import struct

from beamloom.routing.tokens.packets import ClientPacket, ForwardPacket, PacketKind, ResetFlow
from beamloom.routing.tokens.token import NO_TOKEN

HEAD = struct.Struct("!4sH4sHIIHIIB3s")
"""dst, sport, src, dport, seq, ack, len, echo, sum, flags, pad."""
_READ_FIELDS = struct.Struct("!12xIIHI4xB3x")
"""Of a head: seq, ack, len, echo, flags."""
_FLOW = slice(0, 12)
_FLOW_FIELDS = struct.Struct("!4sH4sH")
"""Of a flow: dst, sport, src, dport."""
_CLIENT_ADDRESS = slice(6, 10)
_ECHO_OFFSET = 22
_ECHO_END = 26
IDENTITY = struct.Struct("!Q")
_ECHO = struct.Struct("!I")
_PORT = struct.Struct("!H")

FLAG_SYN = 2
FLAG_RST = 4
FLAG_FIN = 8
FLAG_ACK = 32
_ENDING = FLAG_FIN | FLAG_RST
_PADDING = bytes(3)
_NOTHING_MORE = (0, 0, 0, 0)
"""ack, len, echo and sum of a reset."""


def parse_packet(data: bytes) -> ClientPacket | None:
    """Read a client's packet; None where it is shorter than it says."""
    if len(data) < HEAD.size:
        return None
    sequence, acknowledged, data_length, echo, flags = _READ_FIELDS.unpack_from(data)
    if len(data) != HEAD.size + data_length:
        return None
    if flags & FLAG_SYN:
        kind = PacketKind.OPEN
    elif flags & _ENDING:
        kind = PacketKind.END
    else:
        kind = PacketKind.DATA
    destination = data[0:4] + data[10:12]
    return ClientPacket(
        kind, data[_FLOW], destination, echo, sequence, acknowledged, data_length, data
    )


def destination_key(address: bytes, port: int) -> bytes:
    """Return the form that a destination has in `ClientPacket.destination`."""
    return address + _PORT.pack(port)


def encode_forward(command: ForwardPacket) -> bytes:
    """Return the datagram for a backend: which incarnation is meant, then the packet."""
    data = command.packet.data
    identity = IDENTITY.pack(command.identity)
    if command.token == NO_TOKEN:
        return identity + data
    return identity + with_echo(data, command.token)


def with_echo(data: bytes, token: int) -> bytes:
    """Return a packet with another token in it."""
    return data[:_ECHO_OFFSET] + _ECHO.pack(token) + data[_ECHO_END:]


def encode_reset(command: ResetFlow) -> bytes:
    """Return the packet that resets a client's flow."""
    destination, client_port, client, service_port = _FLOW_FIELDS.unpack(command.flow)
    ends = (client, service_port, destination, client_port)
    return HEAD.pack(*ends, command.sequence, *_NOTHING_MORE, FLAG_RST, _PADDING)


def client_host(flow: bytes) -> str:
    """Return the address of the client's end of a flow, as text."""
    return _dotted(flow[_CLIENT_ADDRESS])


def describe_flow(flow: bytes) -> str:
    """Return a flow's id as logs show it: client address and port, then destination."""
    destination, client_port, client, service_port = _FLOW_FIELDS.unpack(flow)
    return f"{_dotted(client)}:{client_port}>{_dotted(destination)}:{service_port}"


def _dotted(address: bytes) -> str:
    return ".".join(str(byte) for byte in address)
