"""Sans-I/O model of the network fabric, which sprays packets over balancers and returns answers.

Each packet of a flow may reach another balancer. A new list of balancers takes effect after a lag.
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
    """The socket of the fabric that sends a packet: the one to clients or to balancers."""

    CLIENTS = "clients"
    BALANCERS = "balancers"


@dataclass(frozen=True, slots=True)
class FabricOptions:
    """Probabilities of faults per packet; `reorder_delay` and `list_lag` are in seconds."""

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
    """Counters of packets by outcome."""

    to_balancers: int = 0
    to_clients: int = 0
    malformed: int = 0
    no_balancer: int = 0
    unknown_client: int = 0
    lost: int = 0
    duplicated: int = 0
    reordered: int = 0


class FabricModel:
    """Each call returns what to send now; `next_timer` returns when to call `poll`.

    The socket address of a client is learned from the inner source address of its packets, or given
    in `clients`.
    """

    def __init__(
        self,
        rng: random.Random,
        options: FabricOptions | None = None,
        balancers: Sequence[SocketAddress] = (),
        clients: Mapping[str, SocketAddress] | None = None,
    ) -> None:
        self.options = options or FabricOptions()
        self.counters = FabricCounters()
        self._rng = rng
        self._balancers = tuple(balancers)
        self._clients = dict(clients or {})
        self._round_robin_index = count()
        self._insertion_order = count()
        self._delayed: list[tuple[float, int, Delivery]] = []
        self._pending_lists: list[tuple[float, int, tuple[SocketAddress, ...]]] = []

    @property
    def balancers(self) -> tuple[SocketAddress, ...]:
        """The list of balancers in effect."""
        return self._balancers

    def set_balancers(self, balancers: Sequence[SocketAddress], now: float) -> None:
        """Replace the list of balancers; it takes effect after `list_lag`."""
        when = now + self.options.list_lag
        heapq.heappush(self._pending_lists, (when, next(self._insertion_order), tuple(balancers)))
        self._apply_due_lists(now)

    def from_client(self, data: bytes, sender: SocketAddress, now: float) -> list[Delivery]:
        """Process a packet from a client's socket."""
        self._apply_due_lists(now)
        try:
            self._clients[source_ip(data)] = sender
        except MalformedPacketError:
            self.counters.malformed += 1
            return []
        if not self._balancers:
            self.counters.no_balancer += 1
            return []
        self.counters.to_balancers += 1
        return self._apply_faults(
            Delivery(FabricSide.BALANCERS, self._choose_balancer(), data), now
        )

    def from_balancer(self, data: bytes, now: float) -> list[Delivery]:
        """Process an answer from a balancer."""
        try:
            client = self._clients.get(destination_ip(data))
        except MalformedPacketError:
            self.counters.malformed += 1
            return []
        if client is None:
            self.counters.unknown_client += 1
            return []
        self.counters.to_clients += 1
        return self._apply_faults(Delivery(FabricSide.CLIENTS, client, data), now)

    def poll(self, now: float) -> list[Delivery]:
        """Apply lists of balancers that are due and return delayed packets that are due."""
        self._apply_due_lists(now)
        due: list[Delivery] = []
        while self._delayed and self._delayed[0][0] <= now:
            due.append(heapq.heappop(self._delayed)[2])
        return due

    def next_timer(self) -> float | None:
        """Return when to call `poll` next; None if no timer is set."""
        times = [entry[0] for entry in (*self._delayed[:1], *self._pending_lists[:1])]
        return min(times, default=None)

    def _apply_due_lists(self, now: float) -> None:
        while self._pending_lists and self._pending_lists[0][0] <= now:
            self._balancers = heapq.heappop(self._pending_lists)[2]

    def _choose_balancer(self) -> SocketAddress:
        if self.options.spray is Spray.ROUND_ROBIN:
            return self._balancers[next(self._round_robin_index) % len(self._balancers)]
        return self._rng.choice(self._balancers)

    def _apply_faults(self, delivery: Delivery, now: float) -> list[Delivery]:
        if self._draw(self.options.loss):
            self.counters.lost += 1
            return []
        copies = [delivery]
        if self._draw(self.options.duplication):
            self.counters.duplicated += 1
            copies.append(delivery)
        if self._draw(self.options.reordering):
            self.counters.reordered += 1
            delayed = (now + self.options.reorder_delay, next(self._insertion_order), copies.pop())
            heapq.heappush(self._delayed, delayed)
        return copies

    def _draw(self, probability: float) -> bool:
        return probability > 0 and self._rng.random() < probability
