"""Faults on the way from endpoints: answers are lost, late or twice, or all late in a congestion.

In a congestion connection attempts are not answered either. All packets of clients still arrive in
time, so no rule is lifted meanwhile.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket

from beamloom.soak.endpoint import SoakEndpoint

MINIMUM_PAUSE_SECONDS = 1.0
MAXIMUM_PAUSE_SECONDS = 6.0
MINIMUM_CONGESTION_SECONDS = 0.3
MAXIMUM_CONGESTION_SECONDS = 1.2
"""Shorter than the 1.4 s for which clients repeat an opening."""
LOSS = 0.005
"""Probability that a packet of an endpoint is lost."""
DELAY = 0.01
"""Probability that a packet of an endpoint is late, or arrives in time and again later."""
MAXIMUM_DELAY_SECONDS = 1.0


class Congestion:
    """Holds back the packets that endpoints send to the clients at `address`.

    With `rng`, single packets are lost, late or doubled at any time.
    """

    def __init__(
        self,
        client_socket: socket.socket,
        address: tuple[str, int],
        rng: random.Random | None = None,
    ) -> None:
        self._rng = rng
        self._client_socket = client_socket
        self._address = address
        self._is_active = False
        self._delayed: list[bytes] = []

    def apply_to(self, endpoint: SoakEndpoint) -> None:
        """Let an endpoint answer connection attempts, or leave them unanswered."""
        endpoint.listener.silence(self._is_active)

    def send(self, endpoint: SoakEndpoint, data: bytes) -> None:
        """Send a packet of an endpoint to a client, now or later, once, twice or never."""
        for delay in self._draw_delays():
            if delay:
                asyncio.get_running_loop().call_later(delay, self._send_late, data)
            elif self._is_active:
                self._delayed.append(data)
            else:
                endpoint.socket.sendto(data, self._address)

    def _draw_delays(self) -> tuple[float, ...]:
        """Draw when a packet is sent: at once, later, at once and again later, or never."""
        if self._rng is None:
            return (0.0,)
        drawn, delay = self._rng.random(), self._rng.uniform(0.0, MAXIMUM_DELAY_SECONDS)
        if drawn < LOSS:
            return ()
        if drawn >= LOSS + DELAY:
            return (0.0,)
        return (delay,) if drawn < LOSS + DELAY / 2 else (0.0, delay)

    def _send_late(self, data: bytes) -> None:
        """Send a packet whose endpoint may have ended; at the end of a soak nobody receives it."""
        with contextlib.suppress(OSError):
            self._client_socket.sendto(data, self._address)

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
            self._send_late(data)
        self._delayed.clear()
