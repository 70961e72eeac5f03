"""Messages about flows: answers that a home gives to nodes that relayed packets to it.

Flow records are packed as 12 bytes each: the 8-byte flow key and the 4-byte backend number.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable
from dataclasses import dataclass

from beamloom.protocol.errors import MalformedDatagramError
from beamloom.protocol.messages import Message, Priority, register_message

RECORD = struct.Struct("!QI")
RECORDS_PER_MESSAGE = 100


@dataclass(frozen=True, slots=True)
class FlowRecord:
    """Where one flow goes."""

    key: int
    backend_number: int


def pack_records(records: Iterable[FlowRecord]) -> bytes:
    """Return the records as bytes, 12 each."""
    return b"".join(RECORD.pack(record.key, record.backend_number) for record in records)


def unpack_records(packed: bytes) -> list[FlowRecord]:
    """Read packed records; raises MalformedDatagramError when the length is odd."""
    if not isinstance(packed, bytes) or len(packed) % RECORD.size:
        raise MalformedDatagramError("flow records are not a multiple of 12 bytes")
    return [FlowRecord(key, number) for key, number in RECORD.iter_unpack(packed)]


@register_message(40, Priority.CACHE)
@dataclass(frozen=True, slots=True)
class CacheAnswers(Message):
    """The home tells a relaying node where flows go; a lease, see routing/flow_table.py."""

    packed_records: bytes
