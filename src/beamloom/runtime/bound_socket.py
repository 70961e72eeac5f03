"""Binding the socket that routers send clients' packets to; imported before anything heavy."""

from __future__ import annotations

import socket

from beamloom.settings.token_node import Endpoint

RECEIVE_BUFFER_BYTES = 4 << 20


def bind_datagrams(address: Endpoint) -> socket.socket:
    """Return a bound UDP socket that does not block; raises OSError."""
    datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    datagrams.setblocking(False)
    datagrams.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    try:
        datagrams.bind(address.pair)
    except OSError:
        datagrams.close()
        raise
    return datagrams
