"""Congestion on the way from endpoints: answers are late, and connection attempts unanswered.

All packets of clients still arrive in time, so no rule is lifted meanwhile.
"""

from __future__ import annotations

import asyncio
import random
import socket

from beamloom.soak.endpoint import SoakEndpoint

MINIMUM_PAUSE_SECONDS = 1.0
MAXIMUM_PAUSE_SECONDS = 6.0
MINIMUM_CONGESTION_SECONDS = 0.3
MAXIMUM_CONGESTION_SECONDS = 1.2
"""Shorter than the 1.4 s for which clients repeat an opening."""


class Congestion:
    """Holds back the packets that endpoints send to the clients at `address`."""

    def __init__(self, client_socket: socket.socket, address: tuple[str, int]) -> None:
        self._client_socket = client_socket
        self._address = address
        self._is_active = False
        self._delayed: list[bytes] = []

    def apply_to(self, endpoint: SoakEndpoint) -> None:
        """Let an endpoint answer connection attempts, or leave them unanswered."""
        endpoint.listener.silence(self._is_active)

    def send(self, endpoint: SoakEndpoint, data: bytes) -> None:
        """Send a packet of an endpoint to a client, now or when the congestion ends."""
        if self._is_active:
            self._delayed.append(data)
        else:
            endpoint.socket.sendto(data, self._address)

    async def run(self, rng: random.Random, seconds: float) -> None:
        """Begin and end congestion again and again for `seconds`."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while loop.time() < end:
            await asyncio.sleep(rng.uniform(MINIMUM_PAUSE_SECONDS, MAXIMUM_PAUSE_SECONDS))
            self._is_active = True
            await asyncio.sleep(rng.uniform(MINIMUM_CONGESTION_SECONDS, MAXIMUM_CONGESTION_SECONDS))
            self._is_active = False
            self._release()

    def _release(self) -> None:
        for data in self._delayed:
            self._client_socket.sendto(data, self._address)
        self._delayed.clear()
