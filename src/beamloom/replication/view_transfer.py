"""Encoded deltas in parts that fit a datagram, put together again by the receiver.

What takes more than one part is compressed (zlib, RFC 1950): records of one kind are much alike,
and each part may be lost.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass, field

from beamloom.protocol.view_messages import ViewPart

PART_BYTES = 1150
"""Leaves room for envelope and tag in a datagram of 1,400 bytes."""
MAXIMUM_PARTS = 1024
MAXIMUM_TRANSFERS = 8
MAXIMUM_BYTES = 16 << 20
COMPRESSED = b"\xff"
"""Begins what is compressed; the CBOR of a delta is an array and never begins so."""
COMPRESSION_LEVEL = 1
TRANSFER_SECONDS = 2.0


def pack(data: bytes) -> bytes:
    """Return an encoded delta as it is sent."""
    if len(data) <= PART_BYTES:
        return data
    return COMPRESSED + zlib.compress(data, COMPRESSION_LEVEL)


def split(view: int, transfer: int, data: bytes) -> list[ViewPart]:
    """Return the parts of a packed delta; none where it is too large to be sent this way."""
    count = max(1, -(-len(data) // PART_BYTES))
    if count > MAXIMUM_PARTS or len(data) > MAXIMUM_BYTES:
        return []
    return [
        ViewPart(view, transfer, part, count, data[part * PART_BYTES : (part + 1) * PART_BYTES])
        for part in range(count)
    ]


@dataclass(slots=True)
class _Transfer:
    begun_at: float
    parts: dict[int, bytes] = field(default_factory=dict)


class Reassembly:
    """Transfers under way, a few at a time; an old one gives way to a new one."""

    def __init__(self) -> None:
        self._transfers: dict[tuple[str, int, int], _Transfer] = {}

    def take(self, host: str, message: ViewPart, now: float) -> bytes | None:
        """Take a part; return the whole once it is there. Raises ValueError where it is none."""
        if not 0 <= message.part < message.parts <= MAXIMUM_PARTS:
            return None
        key = (host, message.view, message.transfer)
        transfer = self._transfers.get(key)
        if transfer is None:
            self._make_room(now)
            transfer = self._transfers[key] = _Transfer(now)
        transfer.parts[message.part] = message.data
        if len(transfer.parts) < message.parts:
            return None
        del self._transfers[key]
        return _unpack(b"".join(transfer.parts[part] for part in sorted(transfer.parts)))

    def _make_room(self, now: float) -> None:
        kept = {
            key: transfer
            for key, transfer in self._transfers.items()
            if now - transfer.begun_at < TRANSFER_SECONDS
        }
        while len(kept) >= MAXIMUM_TRANSFERS:
            kept.pop(next(iter(kept)))
        self._transfers = kept


def _unpack(data: bytes) -> bytes:
    if not data.startswith(COMPRESSED):
        return data
    try:
        return zlib.decompressobj().decompress(data[len(COMPRESSED) :], MAXIMUM_BYTES)
    except zlib.error as error:
        raise ValueError(f"not compressed data: {error}") from error
