"""TCP listener of an endpoint: connection checks succeed, and nothing is served."""

from __future__ import annotations

import socket

BACKLOG = 128


class Listener:
    """Listens from construction on; call `accept` regularly, or the backlog fills."""

    def __init__(self, host: str, port: int) -> None:
        self._socket = socket.create_server((host, port), backlog=BACKLOG)
        self._socket.setblocking(False)

    def accept(self) -> None:
        """Accept and close all pending connections."""
        while True:
            try:
                connection, _ = self._socket.accept()
            except BlockingIOError:
                return
            connection.close()

    def close(self) -> None:
        """Stop listening."""
        self._socket.close()
