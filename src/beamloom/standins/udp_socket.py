"""asyncio adapters shared by the stand-ins: a UDP socket and a timer that polls a model."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import cast

from beamloom.model.addresses import SocketAddress

RECEIVE_BUFFER_BYTES = 4 * 1024 * 1024

DatagramHandler = Callable[[bytes, SocketAddress], None]


class UdpSocket(asyncio.DatagramProtocol):
    """A bound UDP socket that passes each datagram to a callback."""

    def __init__(self, on_datagram: DatagramHandler) -> None:
        self.send_errors = 0
        self._on_datagram = on_datagram
        self._transport: asyncio.DatagramTransport | None = None

    @classmethod
    async def open(cls, address: SocketAddress, on_datagram: DatagramHandler) -> UdpSocket:
        """Bind a socket (port 0: any free port); raises OSError if the address is in use."""
        loop = asyncio.get_running_loop()
        _, protocol = await loop.create_datagram_endpoint(
            lambda: cls(on_datagram), local_addr=(address.host, address.port)
        )
        return protocol

    @property
    def address(self) -> SocketAddress:
        """The address to which the socket is bound."""
        host, port = self._require_transport().get_extra_info("sockname")[:2]
        return SocketAddress(host, port)

    def send(self, data: bytes, destination: SocketAddress) -> None:
        """Send one datagram; send errors are counted, not raised."""
        self._require_transport().sendto(data, destination)

    def close(self) -> None:
        """Close the socket at once."""
        self._require_transport().close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and enlarge the receive buffer for bursts."""
        self._transport = cast(asyncio.DatagramTransport, transport)
        udp_socket: socket.socket = transport.get_extra_info("socket")
        udp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass a datagram to the callback."""
        self._on_datagram(data, SocketAddress(addr[0], addr[1]))

    def error_received(self, exc: Exception) -> None:
        """Count errors that the kernel reports for earlier datagrams, such as a closed port."""
        self.send_errors += 1

    def _require_transport(self) -> asyncio.DatagramTransport:
        if self._transport is None:
            raise RuntimeError("the socket is not open; await UdpSocket.open first")
        return self._transport


class PollTimer:
    """Calls a model's `poll` at the time of its `next_timer`; call `rearm` after each event."""

    def __init__(
        self, next_timer: Callable[[], float | None], poll: Callable[[float], None]
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._next_timer = next_timer
        self._poll = poll
        self._handle: asyncio.TimerHandle | None = None

    def rearm(self) -> None:
        """Reschedule the timer if the model's next time has changed."""
        when = self._next_timer()
        if self._handle is not None:
            if self._handle.when() == when:
                return
            self._handle.cancel()
            self._handle = None
        if when is not None:
            self._handle = self._loop.call_at(when, self._expire)

    def stop(self) -> None:
        """Cancel the scheduled call."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _expire(self) -> None:
        self._handle = None
        self._poll(self._loop.time())
        self.rearm()
