"""Splits encoded deltas into parts that fit a datagram, and reassembles them.

A delta of more than one part is compressed (zlib, RFC 1950): records of one kind are similar, and
fewer parts are less likely to be lost.
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
"""The first byte of compressed data; the CBOR of a delta is an array and never starts with it."""
COMPRESSION_LEVEL = 1
TRANSFER_SECONDS = 2.0


def pack(data: bytes) -> bytes:
    """Return an encoded delta, compressed if it does not fit one part."""
    if len(data) <= PART_BYTES:
        return data
    return COMPRESSED + zlib.compress(data, COMPRESSION_LEVEL)


def split(view: int, transfer: int, data: bytes) -> list[ViewPart]:
    """Return the parts of a packed delta; an empty list if it exceeds the limits."""
    count = max(1, -(-len(data) // PART_BYTES))
    if count > MAXIMUM_PARTS or len(data) > MAXIMUM_BYTES:
        return []
    return [
        ViewPart(view, transfer, part, count, data[part * PART_BYTES : (part + 1) * PART_BYTES])
        for part in range(count)
    ]


@dataclass(slots=True)
class _Transfer:
    started_at: float
    parts: dict[int, bytes] = field(default_factory=dict)


class Reassembly:
    """Reassembles up to MAXIMUM_TRANSFERS transfers; a new one evicts expired, then oldest ones."""

    def __init__(self) -> None:
        self._transfers: dict[tuple[str, int, int], _Transfer] = {}

    def take(self, host: str, message: ViewPart, now: float) -> bytes | None:
        """Add a part; return the data when complete. Raises ValueError if decompression fails."""
        if not 0 <= message.part < message.parts <= MAXIMUM_PARTS:
            return None
        key = (host, message.view, message.transfer)
        transfer = self._transfers.get(key)
        if transfer is None:
            self._evict(now)
            transfer = self._transfers[key] = _Transfer(now)
        transfer.parts[message.part] = message.data
        if len(transfer.parts) < message.parts:
            return None
        del self._transfers[key]
        return _unpack(b"".join(transfer.parts[part] for part in sorted(transfer.parts)))

    def _evict(self, now: float) -> None:
        transfers = {
            key: transfer
            for key, transfer in self._transfers.items()
            if now - transfer.started_at < TRANSFER_SECONDS
        }
        while len(transfers) >= MAXIMUM_TRANSFERS:
            transfers.pop(next(iter(transfers)))
        self._transfers = transfers


def _unpack(data: bytes) -> bytes:
    if not data.startswith(COMPRESSED):
        return data
    try:
        return zlib.decompressobj().decompress(data[len(COMPRESSED) :], MAXIMUM_BYTES)
    except zlib.error as error:
        raise ValueError(f"cannot decompress the delta: {error}") from error
