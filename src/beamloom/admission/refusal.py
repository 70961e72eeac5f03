"""Packets that refuse or cancel a flow, built from a packet of its client. Off the hot path.

A refusal means that the request was not processed: the caller guarantees that no packet of the flow
that carried payload was ever forwarded, and that this node is the flow's home. `build_refusal` is
for a flow's first packet only. The `build_*_reset` functions cancel a flow that may have been
processed and give no such guarantee.
"""

from __future__ import annotations

import math
from enum import Enum

import dpkt

HOP_LIMIT = 64
SEQUENCE_MODULUS = 1 << 32
IPV4_ERROR_BYTES = 576  # RFC 1812 4.3.2.3
IPV6_ERROR_BYTES = 1280  # RFC 4443 2.4 (c)
IPV4_OVERHEAD = 28
IPV6_OVERHEAD = 48
ICMP6_UNREACHABLE_PROHIBITED = 1  # RFC 4443 3.1
ICMP6_UNREACHABLE_PORT = 4


class RefusalError(Exception):
    """No refusal or reset can be built from the packet; send nothing, the client retries."""


class RefusalReason(Enum):
    """Why a first packet is refused: a limit of its tenant, or no backend that could take it."""

    PROHIBITED = "prohibited"
    NO_BACKEND = "no_backend"


def build_refusal(packet: bytes, retry_after: float, reason: RefusalReason) -> bytes:
    """Return the packet that refuses a flow's first packet; raises RefusalError.

    The caller guarantees that no packet of the flow carrying payload was ever forwarded. A TCP SYN
    is answered by a reset (RFC 9293 3.10.7.1) with the text `retry-after=SECONDS` (RFC 9293 3.5.3
    and RFC 1122 4.2.2.12 allow text in a reset); UDP by an ICMP or ICMPv6 unreachable (RFC 792,
    RFC 1812, RFC 4443), which cannot carry the time.
    """
    original = _parse(packet)
    segment = original.data
    if isinstance(segment, dpkt.tcp.TCP):
        return _refuse_syn(original, segment, retry_after)
    if isinstance(segment, dpkt.udp.UDP):
        return _unreachable(original, packet, reason)
    raise RefusalError("the packet is neither TCP nor UDP; drop it without an answer")


def build_backend_reset(client_packet: bytes) -> bytes:
    """Return a reset towards the backend, as if from the client; raises RefusalError.

    `client_packet` is the newest forwarded TCP packet of the client: its end is the next sequence
    number that the backend expects, as RFC 5961 3.2 asks for.
    """
    original, segment = _parse_tcp(client_packet)
    reset = dpkt.tcp.TCP(
        sport=segment.sport,
        dport=segment.dport,
        seq=_sequence_end(segment),
        ack=segment.ack,
        flags=_reset_flags(segment),
        win=0,
    )
    return _wrap(original, reset, dpkt.ip.IP_PROTO_TCP, towards_client=False)


def build_client_reset(client_packet: bytes) -> bytes:
    """Return a reset towards the client, as if from the service; raises RefusalError.

    The sequence number is the packet's acknowledgement number. If the client has received more data
    since then, it ignores the reset as too old; send another on the client's next packet.
    """
    original, segment = _parse_tcp(client_packet)
    if not segment.flags & dpkt.tcp.TH_ACK:
        raise RefusalError("the packet has no ACK flag; wait for the client's next one")
    reset = dpkt.tcp.TCP(
        sport=segment.dport,
        dport=segment.sport,
        seq=segment.ack,
        ack=_sequence_end(segment),
        flags=dpkt.tcp.TH_RST | dpkt.tcp.TH_ACK,
        win=0,
    )
    return _wrap(original, reset, dpkt.ip.IP_PROTO_TCP, towards_client=True)


def _refuse_syn(original: dpkt.Packet, segment: dpkt.tcp.TCP, retry_after: float) -> bytes:
    wanted = dpkt.tcp.TH_SYN
    if segment.flags & (wanted | dpkt.tcp.TH_ACK | dpkt.tcp.TH_RST) != wanted:
        raise RefusalError("the packet is not the first of a TCP flow; send no answer")
    reset = dpkt.tcp.TCP(
        sport=segment.dport,
        dport=segment.sport,
        seq=0,
        ack=_sequence_end(segment),
        flags=dpkt.tcp.TH_RST | dpkt.tcp.TH_ACK,
        win=0,
        data=f"retry-after={max(1, math.ceil(retry_after))}".encode(),
    )
    return _wrap(original, reset, dpkt.ip.IP_PROTO_TCP, towards_client=True)


def _unreachable(original: dpkt.Packet, packet: bytes, reason: RefusalReason) -> bytes:
    prohibited = reason is RefusalReason.PROHIBITED
    if isinstance(original, dpkt.ip6.IP6):
        code = ICMP6_UNREACHABLE_PROHIBITED if prohibited else ICMP6_UNREACHABLE_PORT
        quote = packet[: IPV6_ERROR_BYTES - IPV6_OVERHEAD]
        error = dpkt.icmp6.ICMP6(type=dpkt.icmp6.ICMP6_DST_UNREACH, code=code)
        error.data = bytes(4) + quote
        return _wrap(original, error, dpkt.ip.IP_PROTO_ICMP6, towards_client=True)
    code = dpkt.icmp.ICMP_UNREACH_FILTER_PROHIB if prohibited else dpkt.icmp.ICMP_UNREACH_PORT
    quote = packet[: IPV4_ERROR_BYTES - IPV4_OVERHEAD]
    error = dpkt.icmp.ICMP(type=dpkt.icmp.ICMP_UNREACH, code=code, data=bytes(4) + quote)
    return _wrap(original, error, dpkt.ip.IP_PROTO_ICMP, towards_client=True)


def _wrap(
    original: dpkt.Packet, payload: dpkt.Packet, protocol: int, *, towards_client: bool
) -> bytes:
    """Return `payload` in an IP header like the original's; dpkt fills in the checksums."""
    source, destination = original.src, original.dst
    if towards_client:
        source, destination = destination, source
    if isinstance(original, dpkt.ip6.IP6):
        header = dpkt.ip6.IP6(src=source, dst=destination, nxt=protocol, hlim=HOP_LIMIT)
        header.plen = len(payload)
        header.extension_hdrs = {}
        header.all_extension_headers = []
    else:
        header = dpkt.ip.IP(src=source, dst=destination, p=protocol, ttl=HOP_LIMIT)
        header.len = dpkt.ip.IP.__hdr_len__ + len(payload)
    header.data = payload
    return bytes(header)


def _parse(packet: bytes) -> dpkt.Packet:
    try:
        version = packet[0] >> 4
        return dpkt.ip6.IP6(packet) if version == 6 else dpkt.ip.IP(packet)
    except (dpkt.UnpackError, IndexError, ValueError) as error:
        raise RefusalError(f"malformed IP packet ({error!r}); drop it") from error


def _parse_tcp(packet: bytes) -> tuple[dpkt.Packet, dpkt.tcp.TCP]:
    original = _parse(packet)
    if not isinstance(original.data, dpkt.tcp.TCP):
        raise RefusalError("the packet is not TCP; a UDP flow is cancelled by removing its entry")
    return original, original.data


def _sequence_end(segment: dpkt.tcp.TCP) -> int:
    """Return the sequence number after the segment; SYN and FIN count as one each."""
    length = len(segment.data)
    length += bool(segment.flags & dpkt.tcp.TH_SYN)
    length += bool(segment.flags & dpkt.tcp.TH_FIN)
    return int((segment.seq + length) % SEQUENCE_MODULUS)


def _reset_flags(segment: dpkt.tcp.TCP) -> int:
    return int(dpkt.tcp.TH_RST | (segment.flags & dpkt.tcp.TH_ACK))
