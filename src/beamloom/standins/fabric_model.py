"""The network fabric without I/O: it sprays packets over balancers and returns answers.

The packets of one flow may reach any balancer. The list of balancers takes effect after a lag.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum, StrEnum
from itertools import count

from beamloom.model.addresses import SocketAddress
from beamloom.standins.packets import MalformedPacketError, destination_ip, source_ip


class Spray(StrEnum):
    """How the fabric chooses a balancer for each packet."""

    RANDOM = "random"
    ROUND_ROBIN = "round-robin"


class FabricSide(Enum):
    """Which of the fabric's two sockets a packet leaves from."""

    CLIENTS = "clients"
    BALANCERS = "balancers"


@dataclass(frozen=True, slots=True)
class FabricOptions:
    """Faults are shares from 0 to 1; `reorder_delay` and `list_lag` are in seconds."""

    spray: Spray = Spray.RANDOM
    loss: float = 0.0
    duplication: float = 0.0
    reordering: float = 0.0
    reorder_delay: float = 0.005
    list_lag: float = 0.0


@dataclass(frozen=True, slots=True)
class Delivery:
    """A packet to send now."""

    side: FabricSide
    destination: SocketAddress
    data: bytes


@dataclass(slots=True)
class FabricCounters:
    """Packets by what became of them."""

    to_balancers: int = 0
    to_clients: int = 0
    malformed: int = 0
    no_balancer: int = 0
    unknown_client: int = 0
    lost: int = 0
    duplicated: int = 0
    reordered: int = 0


class FabricModel:
    """Each call returns what to send now; `next_timer` says when to call `poll`.

    Clients are learnt by the inner source address of their packets, or given as `clients`.
    """

    def __init__(
        self,
        chance: random.Random,
        options: FabricOptions | None = None,
        balancers: Sequence[SocketAddress] = (),
        clients: Mapping[str, SocketAddress] | None = None,
    ) -> None:
        self.options = options or FabricOptions()
        self.counters = FabricCounters()
        self._chance = chance
        self._balancers = tuple(balancers)
        self._clients = dict(clients or {})
        self._turn = count()
        self._order = count()
        self._held: list[tuple[float, int, Delivery]] = []
        self._lists: list[tuple[float, int, tuple[SocketAddress, ...]]] = []

    @property
    def balancers(self) -> tuple[SocketAddress, ...]:
        """The balancers that packets go to now."""
        return self._balancers

    def set_balancers(self, balancers: Sequence[SocketAddress], now: float) -> None:
        """Change the list; it takes effect after the lag."""
        when = now + self.options.list_lag
        heapq.heappush(self._lists, (when, next(self._order), tuple(balancers)))
        self._apply_lists(now)

    def from_client(self, data: bytes, sender: SocketAddress, now: float) -> list[Delivery]:
        """Take a packet from a client's socket."""
        self._apply_lists(now)
        try:
            self._clients[source_ip(data)] = sender
        except MalformedPacketError:
            self.counters.malformed += 1
            return []
        if not self._balancers:
            self.counters.no_balancer += 1
            return []
        self.counters.to_balancers += 1
        return self._with_faults(Delivery(FabricSide.BALANCERS, self._choose(), data), now)

    def from_balancer(self, data: bytes, now: float) -> list[Delivery]:
        """Take an answer from a balancer."""
        try:
            client = self._clients.get(destination_ip(data))
        except MalformedPacketError:
            self.counters.malformed += 1
            return []
        if client is None:
            self.counters.unknown_client += 1
            return []
        self.counters.to_clients += 1
        return self._with_faults(Delivery(FabricSide.CLIENTS, client, data), now)

    def poll(self, now: float) -> list[Delivery]:
        """Return the held packets that are due."""
        self._apply_lists(now)
        due: list[Delivery] = []
        while self._held and self._held[0][0] <= now:
            due.append(heapq.heappop(self._held)[2])
        return due

    def next_timer(self) -> float | None:
        """Return when to call `poll` next; None if no timer is set."""
        times = [entry[0] for entry in (*self._held[:1], *self._lists[:1])]
        return min(times, default=None)

    def _apply_lists(self, now: float) -> None:
        while self._lists and self._lists[0][0] <= now:
            self._balancers = heapq.heappop(self._lists)[2]

    def _choose(self) -> SocketAddress:
        if self.options.spray is Spray.ROUND_ROBIN:
            return self._balancers[next(self._turn) % len(self._balancers)]
        return self._chance.choice(self._balancers)

    def _with_faults(self, delivery: Delivery, now: float) -> list[Delivery]:
        if self._happens(self.options.loss):
            self.counters.lost += 1
            return []
        copies = [delivery]
        if self._happens(self.options.duplication):
            self.counters.duplicated += 1
            copies.append(delivery)
        if self._happens(self.options.reordering):
            self.counters.reordered += 1
            held = (now + self.options.reorder_delay, next(self._order), copies.pop())
            heapq.heappush(self._held, held)
        return copies

    def _happens(self, share: float) -> bool:
        return share > 0 and self._chance.random() < share
