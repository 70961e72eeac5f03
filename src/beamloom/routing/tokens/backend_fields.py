"""Converts store entries to backend records and back, and validates each field.

Entries may come from any writer. Missing fields, and values of a wrong type or range, raise
ValueError, so that the reader of a list can skip the entry and use the others.
"""

from __future__ import annotations

from collections.abc import Mapping

from beamloom.routing.tokens.records import BackendRecord, BackendState
from beamloom.units import MILLISECONDS

IDENTITY_LIMIT = 1 << 64
"""Datagrams identify an incarnation by eight bytes (the platform's protocol)."""
PORT_LIMIT = 1 << 16
"""Ports have 16 bits (RFC 768)."""
OCTET_COUNT = 4
"""Number of octets of an IPv4 address (RFC 791)."""
OCTET_LIMIT = 1 << 8
"""An octet has 8 bits."""
SLOT_LIMIT = 1 << 16
"""Exceeds the number of concurrent requests of any backend."""
MAXIMUM_WARM_UP_MILLISECONDS = 3_600_000
"""One hour; longer warm-ups are rejected as implausible."""
MAXIMUM_TEXT_CHARACTERS = 255
"""Longer names of services and zones would fill the messages to other nodes."""
INTEGER_LIMIT = 1 << 53
"""JSON implementations agree on integers below this (RFC 8259, section 6)."""


class BackendFieldError(ValueError):
    """A field of a store entry is missing or invalid; its writer must correct the entry."""

    def __init__(self, field: str, value: object) -> None:
        # The `repr` of a deeply nested value raises RecursionError.
        import reprlib

        shown = reprlib.repr(value)
        super().__init__(f"{field} = {shown:.80}: the writer of this entry must correct it")


def read_backend(name: str, fields: Mapping[str, object]) -> BackendRecord:
    """Return the backend with these fields; raises ValueError.

    `address` is `host:port`; `warm_up` and `born_at` are in milliseconds. `born_at` is optional.
    """
    host, port = _read_address(fields)
    _read_text(fields, "software")
    return BackendRecord(
        name=name,
        identity=identity_of(name),
        service=_read_text(fields, "service"),
        host=host,
        port=port,
        zone=_read_text(fields, "zone"),
        slots=_read_integer(fields, "slots", 1, SLOT_LIMIT),
        state=BackendState(_read_text(fields, "state")),
        warm_up_seconds=_read_warm_up(fields),
        born_at=_read_integer(fields, "born_at", 0, INTEGER_LIMIT) if "born_at" in fields else 0,
        sequence=_read_integer(fields, "sequence", 0, INTEGER_LIMIT),
    )


def encode_backend_fields(record: BackendRecord) -> dict[str, object]:
    """Return the fields that `read_backend` reads, without `born_at` if it is unknown."""
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
    """Return the identity in the hex digits at the end of a backend's name; raises ValueError."""
    digits = name.rpartition("-")[2]
    is_number = digits.isalnum() and digits.isascii() and name.isprintable()
    identity = int(digits, 16) if is_number else IDENTITY_LIMIT
    if identity >= IDENTITY_LIMIT:
        raise BackendFieldError("name", name)
    return identity


def _read_text(fields: Mapping[str, object], field: str) -> str:
    """Return a short printable text, as it is logged and sent; raises BackendFieldError."""
    value = fields.get(field)
    if not isinstance(value, str) or not 0 < len(value) <= MAXIMUM_TEXT_CHARACTERS:
        raise BackendFieldError(field, value)
    if not value.isprintable():
        raise BackendFieldError(field, value)
    return value


def _read_integer(fields: Mapping[str, object], field: str, minimum: int, limit: int) -> int:
    value = fields.get(field)
    if isinstance(value, bool) or not isinstance(value, int) or not minimum <= value < limit:
        raise BackendFieldError(field, value)
    return value


def _read_warm_up(fields: Mapping[str, object]) -> float:
    """Return the warm-up in seconds; fractions of a millisecond are accepted."""
    value = fields.get("warm_up")
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise BackendFieldError("warm_up", value)
    # The comparison is false for NaN, and exact for integers that no float can hold.
    if not 0 <= value <= MAXIMUM_WARM_UP_MILLISECONDS:
        raise BackendFieldError("warm_up", value)
    return value / MILLISECONDS


def _read_address(fields: Mapping[str, object]) -> tuple[str, int]:
    """Return host and port; a host name is rejected, as it would require a lookup."""
    address = _read_text(fields, "address")
    host, _, port = address.rpartition(":")
    octets = host.split(".")
    is_host = len(octets) == OCTET_COUNT and all(_is_number(octet, OCTET_LIMIT) for octet in octets)
    if not is_host or not _is_number(port, PORT_LIMIT) or port == "0":
        raise BackendFieldError("address", address)
    return host, int(port)


def _is_number(text: str, limit: int) -> bool:
    """Whether a text is the canonical decimal form of an integer below a limit."""
    return text.isascii() and text.isdecimal() and text == str(int(text)) and int(text) < limit
