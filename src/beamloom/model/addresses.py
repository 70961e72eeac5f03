"""Addresses: of sockets (UDP host and port) and of services (virtual IP, protocol, port)."""

from __future__ import annotations

import ipaddress
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple


class SocketAddress(NamedTuple):
    """A UDP or TCP address, in the form that asyncio's `sendto` takes."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return `host:port`, with brackets round an IPv6 host."""
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"

    @classmethod
    def parse(cls, text: str) -> SocketAddress:
        """Parse `host:port` or `[host]:port`; raises ValueError for anything else."""
        host, separator, port = text.rpartition(":")
        if not separator or not port.isdigit():
            raise ValueError(f"{text!r} is not HOST:PORT")
        return cls(str(ipaddress.ip_address(host.strip("[]"))), int(port))


class TransportProtocol(IntEnum):
    """Transport protocols that a service can use, by their IP protocol number (RFC 5237)."""

    TCP = 6
    UDP = 17


@dataclass(frozen=True, slots=True)
class VirtualAddress:
    """The address of a service on the network: virtual IP, protocol and port."""

    ip: str
    protocol: TransportProtocol
    port: int

    @property
    def packed_ip(self) -> bytes:
        """The IP address as 4 or 16 bytes in network order."""
        return ipaddress.ip_address(self.ip).packed

    def __str__(self) -> str:
        """Return `protocol://ip:port`, for logs and error messages."""
        return f"{self.protocol.name.lower()}://{SocketAddress(self.ip, self.port)}"
