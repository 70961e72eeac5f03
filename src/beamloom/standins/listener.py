"""TCP listener of an endpoint: connection checks succeed, and nothing is served.

While it is silenced, it answers no connection attempts, as if the answers were lost on their way.
"""

from __future__ import annotations

import socket

BACKLOG = 128
FILLING_CONNECTIONS = 4
"""More than a backlog of 0 accepts, so that the kernel drops further attempts."""


class Listener:
    """Listens from construction on; call `accept` regularly, or the backlog fills."""

    def __init__(self, host: str, port: int) -> None:
        self._socket = socket.create_server((host, port), backlog=BACKLOG)
        self._socket.setblocking(False)
        self._filling: list[socket.socket] = []

    def silence(self, silent: bool) -> None:
        """Answer no connection attempts from now on, or answer them again."""
        if silent == bool(self._filling):
            return
        if not silent:
            self._close_filling()
            self._socket.listen(BACKLOG)
            return
        self._socket.listen(0)
        for _ in range(FILLING_CONNECTIONS):
            connection = socket.socket()
            connection.setblocking(False)
            connection.connect_ex(self._socket.getsockname())
            self._filling.append(connection)

    def accept(self) -> None:
        """Accept and close all pending connections, unless the listener is silenced."""
        while not self._filling:
            try:
                connection, _ = self._socket.accept()
            except BlockingIOError:
                return
            connection.close()

    def close(self) -> None:
        """Stop listening."""
        self._close_filling()
        self._socket.close()

    def _close_filling(self) -> None:
        for connection in self._filling:
            connection.close()
        self._filling.clear()
