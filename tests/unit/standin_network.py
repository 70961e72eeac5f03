"""A simulated network on a virtual clock, between a client host and backends."""

import heapq
import random
from collections.abc import Callable, Iterable
from itertools import count

from beamloom.model.addresses import SocketAddress, TransportProtocol, VirtualAddress
from beamloom.standins.backend_model import BackendModel, BackendOptions
from beamloom.standins.client_host import ClientHost

SERVICE = VirtualAddress("10.0.0.1", TransportProtocol.TCP, 443)
SERVICE_V6 = VirtualAddress("fd00::1", TransportProtocol.TCP, 443)
UDP_SERVICE = VirtualAddress("10.0.0.1", TransportProtocol.UDP, 53)
CLIENT = SocketAddress("192.0.2.7", 40_000)
CLIENT_V6 = SocketAddress("2001:db8::7", 40_000)
DELAY = 0.001

DelaySource = Callable[[], Iterable[float]]


def deliver_one_copy() -> Iterable[float]:
    return (DELAY,)


def make_backend(
    backend_id: str = "b1",
    service: VirtualAddress = SERVICE,
    options: BackendOptions | None = None,
) -> BackendModel:
    return BackendModel(backend_id, service, random.Random(5), 0.0, options)


class Network:
    """Delivers packets between `host` and the backend at `backend_index`.

    `next_delays` returns the delay of each copy of a packet: none drops it, two duplicate it.
    """

    def __init__(
        self, *backends: BackendModel, next_delays: DelaySource = deliver_one_copy
    ) -> None:
        self.now = 0.0
        self.host = ClientHost()
        self.backends = backends
        self.backend_index = 0
        self.next_delays = next_delays
        self._order = count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []

    def from_client(self, packets: list[bytes]) -> None:
        for data in packets:
            for delay in self.next_delays():
                self._at(delay, lambda data=data: self._reach_backend(data))

    def from_backend(self, packets: list[bytes]) -> None:
        for data in packets:
            for delay in self.next_delays():
                self._at(delay, lambda data=data: self._reach_client(data))

    def run(self, until: float) -> None:
        while (event := self._next_event()) is not None and event <= until:
            self.now = max(self.now, event)
            while self._events and self._events[0][0] <= self.now:
                heapq.heappop(self._events)[2]()
            self.from_client(self.host.poll(self.now))
            for backend in self.backends:
                self.from_backend(backend.poll(self.now))
        self.now = until

    def _at(self, delay: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now + delay, next(self._order), action))

    def _next_event(self) -> float | None:
        times = [self.host.next_timer(), *(backend.next_timer() for backend in self.backends)]
        times.append(self._events[0][0] if self._events else None)
        return min((time for time in times if time is not None), default=None)

    def _reach_backend(self, data: bytes) -> None:
        self.from_backend(self.backends[self.backend_index].receive(data, self.now))

    def _reach_client(self, data: bytes) -> None:
        self.from_client(self.host.receive(data, self.now))
