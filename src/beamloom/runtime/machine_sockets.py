"""The three UDP sockets of one machine, bound before the machine's addresses are published."""

from __future__ import annotations

from contextlib import ExitStack, closing
from dataclasses import dataclass

from beamloom.model.addresses import SocketAddress
from beamloom.model.machines import Machine, NodeId
from beamloom.model.zones import Zone
from beamloom.runtime.datagrams import DatagramSocket

ANY_PORT = 0


@dataclass(frozen=True, slots=True)
class MachineSockets:
    """Sockets for clients' packets, packets relayed by other nodes, and control messages."""

    data: DatagramSocket
    peer: DatagramSocket
    control: DatagramSocket

    @classmethod
    def bind(
        cls, data: SocketAddress, peer: SocketAddress, control: SocketAddress
    ) -> MachineSockets:
        """Bind all three sockets, or none and raise OSError."""
        with ExitStack() as opened:
            data_socket = opened.enter_context(closing(DatagramSocket(data)))
            peer_socket = opened.enter_context(closing(DatagramSocket(peer)))
            control_socket = opened.enter_context(closing(DatagramSocket(control)))
            opened.pop_all()
        return cls(data_socket, peer_socket, control_socket)

    @classmethod
    def bind_any(cls, host: str) -> MachineSockets:
        """Bind all three to free ports of one host."""
        address = SocketAddress(host, ANY_PORT)
        return cls.bind(address, address, address)

    def machine(self, node_id: NodeId, zone: Zone) -> Machine:
        """Return a machine with the addresses of these sockets."""
        return Machine(node_id, zone, self.data.address, self.peer.address, self.control.address)
