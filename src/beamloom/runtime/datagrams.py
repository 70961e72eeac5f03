"""UDP sockets on the event loop, read in batches.

The datagram transport of `asyncio` reads one datagram per iteration of the event loop, at the cost
of a poll for each. Here a reader callback reads up to BATCH_SIZE datagrams per iteration;
docs/design/data-path.md quantifies the gain.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import cast

from beamloom.model.addresses import SocketAddress

SOCKET_BUFFER_BYTES = 4 << 20
BATCH_SIZE = 64
MAXIMUM_DATAGRAM_BYTES = 65_535

DatagramHandler = Callable[[bytes, SocketAddress], None]


class DatagramSocket:
    """A bound UDP socket; raises OSError if the address cannot be bound.

    Nothing is read before `listen`, so the address is known before the node starts. `unsent` counts
    datagrams that the kernel refused to send; they are not sent again.
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
        self._handler: DatagramHandler | None = None
        self._loop: asyncio.AbstractEventLoop | None = None
        self.unsent = 0

    def listen(self, handler: DatagramHandler) -> None:
        """Call `handler` with each datagram, on the running event loop."""
        self._handler = handler
        self._loop = asyncio.get_running_loop()
        self._loop.add_reader(self._socket, self._read_batch)

    @property
    def address(self) -> SocketAddress:
        """The address to which the socket is bound."""
        host, port = self._socket.getsockname()[:2]
        return SocketAddress(host, port)

    def send(self, data: bytes, destination: SocketAddress) -> bool:
        """Send one datagram and return True; count it as unsent if the kernel refuses it."""
        try:
            self._socket.sendto(data, destination)
        except OSError:
            self.unsent += 1
            return False
        return True

    def _read_batch(self) -> None:
        receive, handler = self._socket.recvfrom, self._handler
        assert handler is not None
        for _ in range(BATCH_SIZE):
            try:
                data, source = receive(MAXIMUM_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError:
                continue
            handler(data, cast(SocketAddress, source[:2]))

    def close(self) -> None:
        """Stop reading and close the socket; a second call does nothing."""
        if self._socket.fileno() < 0:
            return
        if self._loop is not None:
            self._loop.remove_reader(self._socket)
        self._socket.close()
