"""Binds the socket to which routers send clients' packets, before most modules are imported."""

from __future__ import annotations

import socket

from beamloom.settings.token_node import Endpoint

RECEIVE_BUFFER_BYTES = 4 << 20


def bind_datagram_socket(address: Endpoint) -> socket.socket:
    """Return a non-blocking UDP socket bound to `address`; raises OSError."""
    datagram_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    datagram_socket.setblocking(False)
    datagram_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    try:
        datagram_socket.bind(address.pair)
    except OSError:
        datagram_socket.close()
        raise
    return datagram_socket
