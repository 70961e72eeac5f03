"""Simulated network: links with delay, loss, duplication, reordering and directed partitions."""

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
"""One-way delay between zones that no link was declared for, in seconds."""
REORDERING_DELAY = 0.010
"""How much later, at most, a reordered datagram arrives, in seconds."""


@dataclass(frozen=True, slots=True)
class PathCondition:
    """Faults of a path; each is a share of datagrams from 0 to 1, `jitter` is in seconds."""

    loss: float = 0.0
    duplication: float = 0.0
    reordering: float = 0.0
    jitter: float = 0.0
    extra_delay: float = 0.0


@dataclass(frozen=True, slots=True)
class Block:
    """A directed partition: nothing passes from hosts with `source` to hosts with `destination`.

    Both name a host, a zone or a region; the empty name stands for every other host.
    """

    source: str
    destination: str

    def stops(self, source: Host, destination: Host) -> bool:
        """Whether this block lies between two hosts."""
        if source is destination:
            return False
        leaves = not self.source or self.source in source.labels
        arrives = not self.destination or self.destination in destination.labels
        if not self.source:
            return arrives and self.destination not in source.labels
        if not self.destination:
            return leaves and self.source not in destination.labels
        return leaves and arrives


@dataclass(frozen=True, slots=True)
class _Path:
    """What holds between two hosts, worked out once until a fault changes."""

    delay: float
    blocked: bool
    condition: PathCondition
    faultless: bool


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
        """Open a socket: datagrams for `address` go to `receiver` as events of `host`."""
        self._sockets[address] = (host, receiver)

    def detach(self, address: SocketAddress) -> None:
        """Close a socket; what is under way to it is lost."""
        self._sockets.pop(address, None)

    def send(
        self, sender: Host, source: SocketAddress, destination: SocketAddress, data: bytes
    ) -> None:
        """Send one datagram; it arrives once, later, twice or never."""
        entry = self._sockets.get(destination)
        if entry is None:
            self.counters["unreachable"] += 1
            return
        path = self._path(sender, entry[0])
        if path.blocked:
            self.counters["blocked"] += 1
        elif path.faultless:
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
            path = self._paths[key] = self._work_out_path(source, destination)
        return path

    def _work_out_path(self, source: Host, destination: Host) -> _Path:
        delay, link_loss = self._link_between(source, destination)
        condition = PathCondition(loss=link_loss)
        for label, declared in self._conditions:
            if not label or label in source.labels or label in destination.labels:
                condition = _combine(condition, declared)
        blocked = any(block.stops(source, destination) for block in self._blocks)
        faultless = replace(condition, extra_delay=0.0) == PathCondition()
        return _Path(delay + condition.extra_delay, blocked, condition, faultless)

    def _link_between(self, source: Host, destination: Host) -> tuple[float, float]:
        if source.zone.name == destination.zone.name:
            return LOCAL_DELAY, 0.0
        link = self._links.get((source.zone.name, destination.zone.name))
        if link is None:
            return CROSS_REGION_DELAY, 0.0
        return link.one_way_delay, link.loss

    def delay_between(self, source: Host, destination: Host) -> float | None:
        """Return the one-way delay for a reliable exchange, or None where nothing passes."""
        path = self._path(source, destination)
        return None if path.blocked or not destination.running else path.delay

    def add_condition(self, label: str, condition: PathCondition) -> None:
        """Put faults on every path from or to hosts with `label` (empty: on all paths)."""
        self._conditions.append((label, condition))
        self._paths.clear()

    def remove_condition(self, label: str, condition: PathCondition) -> None:
        """Take one such declaration back."""
        self._conditions.remove((label, condition))
        self._paths.clear()

    def block(self, *blocks: Block) -> None:
        """Start directed partitions."""
        self._blocks.extend(blocks)
        self._paths.clear()

    def unblock(self, *blocks: Block) -> None:
        """Heal directed partitions."""
        for block in blocks:
            self._blocks.remove(block)
        self._paths.clear()


def split(first: str, second: str) -> tuple[Block, Block]:
    """Return the two blocks that keep two groups of hosts apart in both directions."""
    return Block(first, second), Block(second, first)


def _combine(first: PathCondition, second: PathCondition) -> PathCondition:
    """Return the condition of a path on which two independent faults lie."""
    return PathCondition(
        loss=_either(first.loss, second.loss),
        duplication=_either(first.duplication, second.duplication),
        reordering=_either(first.reordering, second.reordering),
        jitter=first.jitter + second.jitter,
        extra_delay=first.extra_delay + second.extra_delay,
    )


def _either(first: float, second: float) -> float:
    return 1.0 - (1.0 - first) * (1.0 - second)
