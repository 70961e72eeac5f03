"""UDP sockets on the event loop, read in batches.

`asyncio`'s own datagram transport reads one datagram per turn of the loop, so that every packet
pays for a poll. Here the loop's reader callback (a public interface of asyncio) takes up to
BATCH_SIZE datagrams per turn; what that gains is in docs/design/data-path.md.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import cast

from beamloom.model.addresses import SocketAddress

SOCKET_BUFFER_BYTES = 4 << 20
BATCH_SIZE = 64
LARGEST_DATAGRAM = 65_535

DatagramReceived = Callable[[bytes, SocketAddress], None]


class DatagramSocket:
    """A bound UDP socket; raises OSError when it cannot bind.

    Nothing is read before `listen`, so that a node can learn its addresses before it starts.

    `unsent` counts datagrams that the kernel had no room for: like a full link, they are lost.
    """

    def __init__(self, address: SocketAddress) -> None:
        family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
        self._socket = socket.socket(family, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            self._socket.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)
        try:
            self._socket.bind((address.host, address.port))
        except OSError:
            self._socket.close()
            raise
        self._received: DatagramReceived | None = None
        self._loop: asyncio.AbstractEventLoop | None = None
        self.unsent = 0

    def listen(self, received: DatagramReceived) -> None:
        """Hand each datagram to `received` from now on, on the running loop."""
        self._received = received
        self._loop = asyncio.get_running_loop()
        self._loop.add_reader(self._socket, self._read_batch)

    @property
    def address(self) -> SocketAddress:
        """The address that the socket is bound to."""
        host, port = self._socket.getsockname()[:2]
        return SocketAddress(host, port)

    def send(self, data: bytes, destination: SocketAddress) -> bool:
        """Send one datagram, or count it as unsent when the kernel refuses it; return whether."""
        try:
            self._socket.sendto(data, destination)
        except OSError:
            self.unsent += 1
            return False
        return True

    def _read_batch(self) -> None:
        receive, received = self._socket.recvfrom, self._received
        assert received is not None
        for _ in range(BATCH_SIZE):
            try:
                data, source = receive(LARGEST_DATAGRAM)
            except BlockingIOError:
                return
            except OSError:
                continue
            received(data, cast(SocketAddress, source[:2]))

    def close(self) -> None:
        """Stop reading and close the socket; a second call does nothing."""
        if self._socket.fileno() < 0:
            return
        if self._loop is not None:
            self._loop.remove_reader(self._socket)
        self._socket.close()
