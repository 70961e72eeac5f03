"""Backends from plain values of the store, checked field by field.

Anybody may have written an entry. One whose fields are missing, or of another type or range, names
no backend to use; it must not stop a node, nor cost other entries anything.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

from beamloom.routing.tokens.records import BackendRecord, BackendState
from beamloom.units import MILLISECONDS

IDENTITY_LIMIT = 1 << 64
"""Datagrams name an incarnation in eight bytes (the platform's protocol)."""
PORT_LIMIT = 1 << 16
"""Ports have 16 bits (RFC 768)."""
OCTETS = 4
"""Of an IPv4 address (RFC 791)."""
OCTET_LIMIT = 1 << 8
"""An octet has 8 bits."""
MOST_SLOTS = 1 << 16
"""More requests at once than any backend runs."""
LONGEST_WARM_UP_MILLISECONDS = 3_600_000
"""An hour: what says more is not believed to be a backend's own word."""
TIME_LIMIT = 1 << 53
"""Whole numbers up to here are the same to all who write JSON (RFC 8259, 6)."""


class BackendFieldError(ValueError):
    """A field of an entry is not as it should be; who wrote it must correct it."""

    def __init__(self, field: str, value: object) -> None:
        super().__init__(f"{field} = {value!r:.80}: whoever writes this entry must correct it")


def read_backend(name: str, fields: Mapping[str, object]) -> BackendRecord:
    """Return the backend of these fields, by the names of `BackendRecord`; raises ValueError.

    `address` is `host:port`, times are in milliseconds. `born_at` may be missing: not all say it.
    """
    host, port = _address(fields)
    _text(fields, "software")
    return BackendRecord(
        name=name,
        identity=identity_of(name),
        service=_text(fields, "service"),
        host=host,
        port=port,
        zone=_text(fields, "zone"),
        slots=_whole(fields, "slots", 1, MOST_SLOTS),
        state=BackendState(_text(fields, "state")),
        warm_up_seconds=_warm_up(fields),
        born_at=_whole(fields, "born_at", 0, TIME_LIMIT) if "born_at" in fields else 0,
        sequence=_whole(fields, "sequence", 0, TIME_LIMIT),
    )


def plain_backend(record: BackendRecord) -> dict[str, object]:
    """Return what `read_backend` reads; a start that is not known is left out."""
    values: dict[str, object] = {
        "service": record.service,
        "address": f"{record.host}:{record.port}",
        "zone": record.zone,
        "software": "v1",
        "slots": record.slots,
        "state": record.state.value,
        "warm_up": round(record.warm_up_seconds * MILLISECONDS),
        "sequence": record.sequence,
    }
    return {**values, "born_at": record.born_at} if record.born_at else values


def identity_of(name: str) -> int:
    """Return the number made of the hex digits of a backend's name; raises ValueError."""
    digits = name.rpartition("-")[2]
    is_number = digits.isalnum() and digits.isascii() and name.isprintable()
    identity = int(digits, 16) if is_number else IDENTITY_LIMIT
    if identity >= IDENTITY_LIMIT:
        raise BackendFieldError("name", name)
    return identity


def _text(fields: Mapping[str, object], field: str) -> str:
    """Return a text that can be logged and sent to peers; raises BackendFieldError."""
    value = fields.get(field)
    if not isinstance(value, str) or not value or not value.isprintable():
        raise BackendFieldError(field, value)
    return value


def _whole(fields: Mapping[str, object], field: str, least: int, limit: int) -> int:
    value = fields.get(field)
    if isinstance(value, bool) or not isinstance(value, int) or not least <= value < limit:
        raise BackendFieldError(field, value)
    return value


def _warm_up(fields: Mapping[str, object]) -> float:
    """Return seconds; whole milliseconds are usual, and fractions are none the worse."""
    value = fields.get("warm_up")
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise BackendFieldError("warm_up", value)
    if not 0 <= value <= LONGEST_WARM_UP_MILLISECONDS:
        raise BackendFieldError("warm_up", value)
    return value / MILLISECONDS


def _address(fields: Mapping[str, object]) -> tuple[str, int]:
    """Return host and port; a host that is not an IPv4 address would have to be looked up."""
    address = _text(fields, "address")
    host, _, port = address.rpartition(":")
    octets = host.split(".")
    is_host = len(octets) == OCTETS and all(_is_number(octet, OCTET_LIMIT) for octet in octets)
    if not is_host or not _is_number(port, PORT_LIMIT) or port == "0":
        raise BackendFieldError("address", address)
    return host, int(port)


def _is_number(text: str, limit: int) -> bool:
    """Whether a text is a whole number below a limit, as it is usually written."""
    return text.isascii() and text.isdecimal() and text == str(int(text)) and int(text) < limit
