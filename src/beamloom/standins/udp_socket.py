"""The asyncio adapter that the stand-ins share: a UDP socket, and a timer for a model."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import cast

from beamloom.model.addresses import SocketAddress

RECEIVE_BUFFER_BYTES = 4 * 1024 * 1024

DatagramHandler = Callable[[bytes, SocketAddress], None]


class UdpSocket(asyncio.DatagramProtocol):
    """A bound UDP socket that hands each datagram to a function."""

    def __init__(self, received: DatagramHandler) -> None:
        self.send_errors = 0
        self._received = received
        self._transport: asyncio.DatagramTransport | None = None

    @classmethod
    async def open(cls, address: SocketAddress, received: DatagramHandler) -> UdpSocket:
        """Bind (port 0 takes any free one); raises OSError when the address is taken."""
        loop = asyncio.get_running_loop()
        _, protocol = await loop.create_datagram_endpoint(
            lambda: cls(received), local_addr=(address.host, address.port)
        )
        return protocol

    @property
    def address(self) -> SocketAddress:
        """Where the socket is bound."""
        host, port = self._opened().get_extra_info("sockname")[:2]
        return SocketAddress(host, port)

    def send(self, data: bytes, destination: SocketAddress) -> None:
        """Send one datagram; one that cannot leave is lost, as on a network."""
        self._opened().sendto(data, destination)

    def close(self) -> None:
        """Close the socket at once."""
        self._opened().close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport and widen its buffer, so that bursts fit."""
        self._transport = cast(asyncio.DatagramTransport, transport)
        bound: socket.socket = transport.get_extra_info("socket")
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Hand a datagram on."""
        self._received(data, SocketAddress(addr[0], addr[1]))

    def error_received(self, exc: Exception) -> None:
        """Count what the kernel reports of earlier datagrams, such as a closed port."""
        self.send_errors += 1

    def _opened(self) -> asyncio.DatagramTransport:
        if self._transport is None:
            raise RuntimeError("the socket is not open; await UdpSocket.open first")
        return self._transport


class PollTimer:
    """Calls a model's `poll` when its `next_timer` says so; call `rearm` after each event."""

    def __init__(
        self, next_timer: Callable[[], float | None], poll: Callable[[float], None]
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._next_timer = next_timer
        self._poll = poll
        self._handle: asyncio.TimerHandle | None = None

    def rearm(self) -> None:
        """Set the timer anew unless it already stands at the right time."""
        when = self._next_timer()
        if self._handle is not None:
            if self._handle.when() == when:
                return
            self._handle.cancel()
            self._handle = None
        if when is not None:
            self._handle = self._loop.call_at(when, self._expire)

    def stop(self) -> None:
        """Call no more."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _expire(self) -> None:
        self._handle = None
        self._poll(self._loop.time())
        self.rearm()
