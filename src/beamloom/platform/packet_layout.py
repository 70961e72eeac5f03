"""The platform's packets: a fixed header, big-endian, followed by the data."""

from __future__ import annotations

import struct

from beamloom.routing.tokens.packets import ClientPacket, ForwardPacket, PacketKind, ResetFlow
from beamloom.routing.tokens.token import NO_TOKEN

HEAD = struct.Struct("!4sH4sHIIHIIB3s")
"""The header: dst, sport, src, dport, seq, ack, len, echo, sum, flags, pad."""
_READ_FIELDS = struct.Struct("!12xIIHI4xB3x")
"""Fields of the header: seq, ack, len, echo, flags."""
_FLOW_SLICE = slice(0, 12)
_FLOW_FIELDS = struct.Struct("!4sH4sH")
"""Fields of a flow: dst, sport, src, dport."""
_CLIENT_ADDRESS_SLICE = slice(6, 10)
_ECHO_OFFSET = 22
_ECHO_END = 26
IDENTITY = struct.Struct("!Q")
_ECHO = struct.Struct("!I")
_PORT = struct.Struct("!H")

FLAG_SYN = 2
FLAG_RST = 4
FLAG_FIN = 8
FLAG_ACK = 32
_END_FLAGS = FLAG_FIN | FLAG_RST
_PADDING = bytes(3)
_RESET_ZEROS = (0, 0, 0, 0)
"""The fields ack, len, echo and sum of a reset."""


def parse_packet(data: bytes) -> ClientPacket | None:
    """Parse a client's packet; None if its size differs from that given in its header."""
    if len(data) < HEAD.size:
        return None
    sequence, acknowledged, data_length, echo, flags = _READ_FIELDS.unpack_from(data)
    if len(data) != HEAD.size + data_length:
        return None
    if flags & FLAG_SYN:
        kind = PacketKind.OPEN
    elif flags & _END_FLAGS:
        kind = PacketKind.END
    else:
        kind = PacketKind.DATA
    destination = data[0:4] + data[10:12]
    return ClientPacket(
        kind, data[_FLOW_SLICE], destination, echo, sequence, acknowledged, data_length, data
    )


def destination_key(address: bytes, port: int) -> bytes:
    """Return a destination in the format of `ClientPacket.destination`."""
    return address + _PORT.pack(port)


def encode_forward(command: ForwardPacket) -> bytes:
    """Return the datagram for a backend: the identity of its incarnation, then the packet."""
    data = command.packet.data
    identity = IDENTITY.pack(command.identity)
    if command.token == NO_TOKEN:
        return identity + data
    return identity + replace_token(data, command.token)


def replace_token(data: bytes, token: int) -> bytes:
    """Return a packet with another token in its echo field."""
    return data[:_ECHO_OFFSET] + _ECHO.pack(token) + data[_ECHO_END:]


def encode_reset(command: ResetFlow) -> bytes:
    """Return the packet that resets a client's flow."""
    destination, client_port, client, service_port = _FLOW_FIELDS.unpack(command.flow)
    ends = (client, service_port, destination, client_port)
    return HEAD.pack(*ends, command.sequence, *_RESET_ZEROS, FLAG_RST, _PADDING)


def client_host(flow: bytes) -> str:
    """Return the client's address of a flow as text."""
    return _dotted(flow[_CLIENT_ADDRESS_SLICE])


def describe_flow(flow: bytes) -> str:
    """Return a flow in the format of logs: client address and port, then destination."""
    destination, client_port, client, service_port = _FLOW_FIELDS.unpack(flow)
    return f"{_dotted(client)}:{client_port}>{_dotted(destination)}:{service_port}"


def _dotted(address: bytes) -> str:
    return ".".join(str(byte) for byte in address)
