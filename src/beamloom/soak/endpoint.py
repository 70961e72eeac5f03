"""An endpoint of a soak, with sockets of its own."""

from __future__ import annotations

from beamloom.routing.tokens.records import BackendRecord
from beamloom.runtime.bound_socket import bind_datagram_socket
from beamloom.settings.token_node import Endpoint
from beamloom.standins.listener import Listener
from beamloom.standins.token_endpoint import TokenEndpoint


class SoakEndpoint:
    """An endpoint on a socket; `alive` is False once it has ended.

    `listener` accepts and closes the connections by which nodes check the endpoint. `restarted` is
    True if another endpoint replaces this one under the same name.
    """

    def __init__(self, model: TokenEndpoint, record: BackendRecord) -> None:
        self.model = model
        self.record = record
        self.alive = True
        self.restarted = False
        self.socket = bind_datagram_socket(Endpoint(record.host, record.port))
        self.listener = Listener(record.host, record.port)

    def stop(self) -> None:
        """End the endpoint as if its process had ended."""
        self.alive = False
        self.close()

    def close(self) -> None:
        """Close the sockets."""
        self.socket.close()
        self.listener.close()
