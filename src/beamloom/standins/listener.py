"""A TCP listener at an endpoint's address: connections show that it is there, and get no answer."""

from __future__ import annotations

import socket

BACKLOG = 128


class Listener:
    """Listens at once; `accept` is to be called now and then, or the queue of connections fills."""

    def __init__(self, host: str, port: int) -> None:
        self._socket = socket.create_server((host, port), backlog=BACKLOG)
        self._socket.setblocking(False)

    def accept(self) -> None:
        """Take the connections that wait, and close them."""
        while True:
            try:
                connection, _ = self._socket.accept()
            except BlockingIOError:
                return
            connection.close()

    def close(self) -> None:
        """Leave the address."""
        self._socket.close()
