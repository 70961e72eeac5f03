"""Address flags, validated while the command line is parsed (exit status 2 if invalid)."""

from __future__ import annotations

from typing import Annotated

from cyclopts import Parameter

from beamloom.model.addresses import SocketAddress, TransportProtocol, VirtualAddress

MAXIMUM_PORT = 65_535
SCHEME_SEPARATOR = "://"


def parse_virtual_address(text: str) -> VirtualAddress:
    """Parse `tcp://IP:PORT` or `udp://IP:PORT`; raises ValueError."""
    name, separator, rest = text.partition(SCHEME_SEPARATOR)
    if not separator or name.upper() not in TransportProtocol.__members__:
        raise ValueError(f"{text!r} is not a service address: give tcp://IP:PORT or udp://IP:PORT")
    address = parse_address(rest)
    if not address.port:
        raise ValueError(f"{text!r} has no port: give one from 1 to {MAXIMUM_PORT}")
    return VirtualAddress(address.host, TransportProtocol[name.upper()], address.port)


def parse_address(text: str) -> SocketAddress:
    """Parse `IP:PORT`; raises ValueError."""
    try:
        address = SocketAddress.parse(text)
    except ValueError:
        raise ValueError(
            f"{text!r} is not an address: give IP:PORT, for example 127.0.0.1:0"
        ) from None
    if address.port > MAXIMUM_PORT:
        raise ValueError(f"{text!r}: give a port of at most {MAXIMUM_PORT}")
    return address


def _check_address(_: type, value: str | tuple[str, ...] | None) -> None:
    for text in (value,) if isinstance(value, str) else value or ():
        parse_address(text)


def _check_virtual_address(_: type, value: str | None) -> None:
    if value is not None:
        parse_virtual_address(value)


AddressText = Annotated[str, Parameter(validator=_check_address)]
"""A flag that holds IP:PORT."""

VirtualAddressText = Annotated[str, Parameter(validator=_check_virtual_address)]
"""A flag that holds tcp://IP:PORT or udp://IP:PORT."""
