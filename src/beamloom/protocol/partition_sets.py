"""Compact sets of partition numbers: a sorted list of 16-bit numbers, or a bitmap over a window.

The first byte is the format. A packed set never exceeds `MAXIMUM_PACKED_BYTES`; `split_partitions`
splits a larger set into parts that fit.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable, Iterator, Sequence

import numpy as np

from beamloom.protocol.errors import MalformedDatagramError

LIST_FORMAT = 0
BITMAP_FORMAT = 1
WINDOW = 4096
MAXIMUM_PACKED_BYTES = 3 + WINDOW // 8
_NUMBER = struct.Struct("!H")


def split_partitions(partitions: Iterable[int]) -> Iterator[list[int]]:
    """Yield sorted parts of a set, each of which packs into `MAXIMUM_PACKED_BYTES`."""
    part: list[int] = []
    for partition in sorted(partitions):
        if part and (partition - part[0] >= WINDOW) and len(part) * 2 >= WINDOW // 8:
            yield part
            part = []
        part.append(partition)
    if part:
        yield part


def pack_partitions(partitions: Sequence[int]) -> bytes:
    """Return the shorter of the two encodings; `partitions` must be sorted and not empty."""
    first, last = partitions[0], partitions[-1]
    span = (last - first) // 8 + 1
    if len(partitions) * 2 <= span + 2:
        numbers = b"".join(_NUMBER.pack(partition) for partition in partitions)
        return bytes((LIST_FORMAT,)) + numbers
    bitmap = bytearray(span)
    for partition in partitions:
        offset = partition - first
        bitmap[offset >> 3] |= 1 << (offset & 7)
    return bytes((BITMAP_FORMAT,)) + _NUMBER.pack(first) + bytes(bitmap)


def unpack_partitions(packed: object, limit: int) -> list[int]:
    """Read a packed set; raises MalformedDatagramError unless all numbers lie below `limit`."""
    if not isinstance(packed, bytes) or not packed or len(packed) > MAXIMUM_PACKED_BYTES:
        raise MalformedDatagramError("a partition set is not a short byte string")
    body = packed[1:]
    if packed[0] == LIST_FORMAT and len(body) % 2 == 0:
        partitions = [number for (number,) in _NUMBER.iter_unpack(body)]
    elif packed[0] == BITMAP_FORMAT and len(body) >= 2:
        first = _NUMBER.unpack_from(body)[0]
        bits = np.unpackbits(np.frombuffer(body, np.uint8, offset=2), bitorder="little")
        partitions = (first + np.flatnonzero(bits)).tolist()
    else:
        raise MalformedDatagramError("a partition set has an unknown format")
    if any(partition >= limit for partition in partitions):
        raise MalformedDatagramError("a partition number is out of range")
    return partitions
