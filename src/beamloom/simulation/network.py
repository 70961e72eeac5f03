"""Simulated network: datagrams with delay, loss, duplication, reordering and partitions."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from beamloom.model.addresses import SocketAddress
from beamloom.model.zones import Link
from beamloom.simulation.clock import VirtualClock
from beamloom.simulation.hosts import Host

Receiver = Callable[[bytes, SocketAddress], object]

LOCAL_DELAY = 0.0002
"""One-way delay within a zone, in seconds."""
CROSS_REGION_DELAY = 0.030
"""One-way delay between zones without a declared link, in seconds."""
REORDERING_DELAY = 0.010
"""Maximum extra delay of a reordered datagram, in seconds."""


@dataclass(frozen=True, slots=True)
class PathCondition:
    """Faults of a path: probabilities (0 to 1), maximum `jitter` and `extra_delay` in seconds."""

    loss: float = 0.0
    duplication: float = 0.0
    reordering: float = 0.0
    jitter: float = 0.0
    extra_delay: float = 0.0


@dataclass(frozen=True, slots=True)
class Block:
    """A directed partition: hosts with `source` cannot reach hosts with `destination`.

    Both are labels: the name of a host, a zone or a region. An empty label matches every host that
    does not have the other label.
    """

    source: str
    destination: str

    def applies_between(self, source: Host, destination: Host) -> bool:
        """Whether this partition blocks datagrams from `source` to `destination`."""
        if source is destination:
            return False
        source_matches = not self.source or self.source in source.labels
        destination_matches = not self.destination or self.destination in destination.labels
        if not self.source:
            return destination_matches and self.destination not in source.labels
        if not self.destination:
            return source_matches and self.source not in destination.labels
        return source_matches and destination_matches


@dataclass(frozen=True, slots=True)
class _Path:
    """Properties of the path between two hosts, cached until a fault begins or ends.

    `deterministic` means that the delay is fixed and no datagram is lost or duplicated at random.
    """

    delay: float
    blocked: bool
    condition: PathCondition
    deterministic: bool


class Network:
    """Carries datagrams between attached sockets."""

    def __init__(self, clock: VirtualClock, links: Iterable[Link], rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._links = {}
        for link in links:
            self._links[link.first_zone, link.second_zone] = link
            self._links[link.second_zone, link.first_zone] = link
        self._sockets: dict[SocketAddress, tuple[Host, Receiver]] = {}
        self._blocks: list[Block] = []
        self._conditions: list[tuple[str, PathCondition]] = []
        self._paths: dict[tuple[str, str], _Path] = {}
        self.counters: Counter[str] = Counter()

    def attach(self, address: SocketAddress, host: Host, receiver: Receiver) -> None:
        """Open a socket: `host` runs `receiver` for each datagram to `address`."""
        self._sockets[address] = (host, receiver)

    def detach(self, address: SocketAddress) -> None:
        """Close a socket; datagrams in flight to it are lost."""
        self._sockets.pop(address, None)

    def send(
        self, sender: Host, source: SocketAddress, destination: SocketAddress, data: bytes
    ) -> None:
        """Send one datagram, subject to the faults of its path."""
        entry = self._sockets.get(destination)
        if entry is None:
            self.counters["unreachable"] += 1
            return
        path = self._path(sender, entry[0])
        if path.blocked:
            self.counters["blocked"] += 1
        elif path.deterministic:
            self._clock.call_later(path.delay, self._arrive, destination, data, source)
        else:
            self._send_through_faults(path, source, destination, data)

    def _send_through_faults(
        self, path: _Path, source: SocketAddress, destination: SocketAddress, data: bytes
    ) -> None:
        condition = path.condition
        draw = self._rng.random
        if draw() < condition.loss:
            self.counters["lost"] += 1
            return
        copies = 2 if draw() < condition.duplication else 1
        self.counters["duplicated"] += copies - 1
        for _ in range(copies):
            delay = path.delay + draw() * condition.jitter
            if draw() < condition.reordering:
                self.counters["reordered"] += 1
                delay += draw() * REORDERING_DELAY
            self._clock.call_later(delay, self._arrive, destination, data, source)

    def _arrive(self, destination: SocketAddress, data: bytes, source: SocketAddress) -> None:
        entry = self._sockets.get(destination)
        if entry is not None:
            entry[0].deliver(entry[1], data, source)

    def _path(self, source: Host, destination: Host) -> _Path:
        key = (source.name, destination.name)
        path = self._paths.get(key)
        if path is None:
            path = self._paths[key] = self._compute_path(source, destination)
        return path

    def _compute_path(self, source: Host, destination: Host) -> _Path:
        delay, link_loss = self._link_between(source, destination)
        condition = PathCondition(loss=link_loss)
        for label, declared in self._conditions:
            if not label or label in source.labels or label in destination.labels:
                condition = _combine(condition, declared)
        blocked = any(block.applies_between(source, destination) for block in self._blocks)
        deterministic = replace(condition, extra_delay=0.0) == PathCondition()
        return _Path(delay + condition.extra_delay, blocked, condition, deterministic)

    def _link_between(self, source: Host, destination: Host) -> tuple[float, float]:
        if source.zone.name == destination.zone.name:
            return LOCAL_DELAY, 0.0
        link = self._links.get((source.zone.name, destination.zone.name))
        if link is None:
            return CROSS_REGION_DELAY, 0.0
        return link.one_way_delay, link.loss

    def delay_between(self, source: Host, destination: Host) -> float | None:
        """Return the one-way delay, or None if the path is blocked or `destination` does not run.

        Loss and jitter are not applied: callers use it for reliable connections.
        """
        path = self._path(source, destination)
        return None if path.blocked or not destination.running else path.delay

    def add_condition(self, label: str, condition: PathCondition) -> None:
        """Add faults to every path from or to hosts with `label` (empty: to all paths)."""
        self._conditions.append((label, condition))
        self._paths.clear()

    def remove_condition(self, label: str, condition: PathCondition) -> None:
        """Remove faults that `add_condition` added."""
        self._conditions.remove((label, condition))
        self._paths.clear()

    def block(self, *blocks: Block) -> None:
        """Start directed partitions."""
        self._blocks.extend(blocks)
        self._paths.clear()

    def unblock(self, *blocks: Block) -> None:
        """End directed partitions."""
        for block in blocks:
            self._blocks.remove(block)
        self._paths.clear()


def split(first: str, second: str) -> tuple[Block, Block]:
    """Return the two blocks that partition two groups of hosts in both directions."""
    return Block(first, second), Block(second, first)


def _combine(first: PathCondition, second: PathCondition) -> PathCondition:
    """Return the condition of a path with two independent conditions."""
    return PathCondition(
        loss=_probability_of_either(first.loss, second.loss),
        duplication=_probability_of_either(first.duplication, second.duplication),
        reordering=_probability_of_either(first.reordering, second.reordering),
        jitter=first.jitter + second.jitter,
        extra_delay=first.extra_delay + second.extra_delay,
    )


def _probability_of_either(first: float, second: float) -> float:
    return 1.0 - (1.0 - first) * (1.0 - second)
