"""Parses the keys and values of stored objects into typed objects, or raises typed errors."""

from __future__ import annotations

import ipaddress
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, TypeVar

from beamloom.model.addresses import SocketAddress, TransportProtocol, VirtualAddress
from beamloom.model.contracts import Backend, BackendAdministrativeState
from beamloom.protocol.events import StoredObject
from beamloom.settings.errors import MalformedObjectError, UnknownObjectKeyError
from beamloom.settings.tree import is_name

Result = TypeVar("Result")

DEFAULT_WEIGHT = 100
MAXIMUM_WEIGHT = 10_000
MAXIMUM_PORT = 65_535
PROTOCOLS = {"tcp": TransportProtocol.TCP, "udp": TransportProtocol.UDP}


class ObjectKind(StrEnum):
    """Kinds of stored objects: the first part of their keys."""

    TENANT = "tenant"
    SERVICE = "service"
    BACKEND = "backend"
    SETTINGS = "settings"
    LEASE = "lease"


_NAME_COUNTS = {ObjectKind.TENANT: 1, ObjectKind.SERVICE: 2, ObjectKind.BACKEND: 3}


@dataclass(frozen=True, slots=True)
class ObjectKey:
    """A parsed key: its kind and the names after it, for example of tenant and service."""

    kind: ObjectKind
    names: tuple[str, ...]

    @classmethod
    def parse(cls, key: str) -> ObjectKey:
        """Parse a key; raises UnknownObjectKeyError."""
        first, *names = key.split("/")
        try:
            kind = ObjectKind(first)
        except ValueError:
            reason = f"objects of the kind {first!r} are unknown to this version"
            raise UnknownObjectKeyError(reason, "upgrade the node or delete the object") from None
        count = _NAME_COUNTS.get(kind)
        if count is not None and (len(names) != count or not all(map(is_name, names))):
            reason = f"{key!r} is not a valid key of a {kind.value}"
            raise UnknownObjectKeyError(reason, f"give {count} names of letters, digits, -, _, .")
        return cls(kind, tuple(names))


_LOAD_ORDER = (
    ObjectKind.SETTINGS.value,
    ObjectKind.TENANT.value,
    ObjectKind.SERVICE.value,
    ObjectKind.BACKEND.value,
)


def parents_first(stored: StoredObject) -> tuple[int, str]:
    """Return a sort key that puts parents before their children, and settings first."""
    kind = stored.key.split("/", 1)[0]
    rank = _LOAD_ORDER.index(kind) if kind in _LOAD_ORDER else len(_LOAD_ORDER)
    return rank, stored.key


def read_virtual_address(stored: StoredObject) -> VirtualAddress:
    """Parse the value of a service object; raises MalformedObjectError."""
    value = _require_value(stored)
    ip = _read(stored, value, "ip", _parse_ip, "an IPv4 or IPv6 address")
    protocol = _read(stored, value, "protocol", PROTOCOLS.__getitem__, "tcp or udp")
    port = _read(stored, value, "port", _parse_port, "a number from 1 to 65535")
    return VirtualAddress(ip, protocol, port)


def read_backend(stored: StoredObject) -> Backend:
    """Parse the value of a backend object; raises MalformedObjectError."""
    value = {"weight": DEFAULT_WEIGHT, "state": "active", **_require_value(stored)}
    return Backend(
        backend_id=ObjectKey.parse(stored.key).names[-1],
        backend_number=stored.created_revision,
        data_address=_read(stored, value, "address", _parse_socket_address, "HOST:PORT"),
        health_address=_read(stored, value, "health", _parse_socket_address, "HOST:PORT"),
        zone=_read(stored, value, "zone", _parse_zone, "the name of a zone"),
        weight=_read(stored, value, "weight", _parse_weight, f"0 to {MAXIMUM_WEIGHT}"),
        state=_read(stored, value, "state", BackendAdministrativeState, "active or draining"),
    )


def read_setting_values(stored: StoredObject) -> Mapping[str, Any]:
    """Return the unchecked values of a settings object; raises MalformedObjectError."""
    value = _require_value(stored)
    values = value.get("values")
    if not isinstance(values, Mapping):
        raise MalformedObjectError(f"{stored.key} has no table `values`", "write the object again")
    return {str(name): setting for name, setting in values.items()}


def _require_value(stored: StoredObject) -> Mapping[str, Any]:
    if not isinstance(stored.value, Mapping):
        raise MalformedObjectError(
            f"the value of {stored.key} is not a table", "write the object again"
        )
    return stored.value


def _read(
    stored: StoredObject,
    value: Mapping[str, Any],
    name: str,
    parse: Callable[[Any], Result],
    expected: str,
) -> Result:
    if name not in value:
        raise MalformedObjectError(f"{stored.key} lacks `{name}`", f"give {expected}")
    try:
        return parse(value[name])
    except (ValueError, TypeError, KeyError, AttributeError):
        reason = f"{stored.key} has {name} = {value[name]!r}"
        raise MalformedObjectError(reason, f"give {expected}") from None


def _parse_ip(value: object) -> str:
    if not isinstance(value, str):
        raise TypeError("an IP address is a string")
    return str(ipaddress.ip_address(value))


def _parse_port(value: object) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError("a port is a number")
    if not 0 < value <= MAXIMUM_PORT:
        raise ValueError("a port is from 1 to 65535")
    return value


def _parse_socket_address(value: object) -> SocketAddress:
    if not isinstance(value, str):
        raise TypeError("an address is a string")
    address = SocketAddress.parse(value)
    _parse_port(address.port)
    return address


def _parse_zone(value: object) -> str:
    if not isinstance(value, str) or not is_name(value):
        raise ValueError("a zone is given by its name")
    return value


def _parse_weight(value: object) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError("a weight is a whole number")
    if not 0 <= value <= MAXIMUM_WEIGHT:
        raise ValueError("a weight is out of range")
    return value
