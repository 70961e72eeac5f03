"""Measurements of a run: digest of commands and packets, control traffic, revisions in force."""

from __future__ import annotations

import struct
from dataclasses import dataclass, field

import xxhash

from beamloom.model.addresses import SocketAddress
from beamloom.protocol.commands import Command
from beamloom.simulation.clock import VirtualClock

CONTROL_WINDOW = 10
"""Length in seconds of the windows over which control traffic is averaged."""
_TIME = struct.Struct("!d")


@dataclass(frozen=True, slots=True)
class InForce:
    """The revision that a node had in force from `time` on."""

    node: str
    revision: int
    time: float


@dataclass(slots=True)
class ControlTraffic:
    """Control bytes that one node sent, by whole second of the run."""

    started_at: float
    bytes_by_second: dict[int, int] = field(default_factory=dict)

    def windows(self, end: float) -> list[float]:
        """Return the mean bytes per second of each `CONTROL_WINDOW`, sliding by one second."""
        first = int(self.started_at)
        seconds = [self.bytes_by_second.get(second, 0) for second in range(first, int(end))]
        if len(seconds) < CONTROL_WINDOW:
            return [sum(seconds) / CONTROL_WINDOW]
        total = sum(seconds[:CONTROL_WINDOW])
        windows = [total / CONTROL_WINDOW]
        for index in range(CONTROL_WINDOW, len(seconds)):
            total += seconds[index] - seconds[index - CONTROL_WINDOW]
            windows.append(total / CONTROL_WINDOW)
        return windows


class Measurements:
    """Collects measurements during a run."""

    def __init__(self, clock: VirtualClock) -> None:
        self._clock = clock
        self._hash = xxhash.xxh3_128()
        self._control: dict[str, ControlTraffic] = {}
        self._revisions: dict[str, int] = {}
        self.in_force: list[InForce] = []
        self.packets = 0

    @property
    def digest(self) -> str:
        """Hash of all commands and forwarded packets of all nodes so far, with their times."""
        return self._hash.hexdigest()

    def node_started(self, node: str) -> None:
        """Start to count a node's control traffic."""
        self._control[node] = ControlTraffic(self._clock.now)

    def packet_sent(self, node: str, destination: SocketAddress, data: bytes) -> None:
        """Count a forwarded packet and add it to the digest."""
        self.packets += 1
        update = self._hash.update
        update(_TIME.pack(self._clock.now))
        update(f"{node}>{destination.host}:{destination.port}".encode())
        update(data)

    def command(self, node: str, command: Command) -> None:
        """Add a command to the digest."""
        update = self._hash.update
        update(_TIME.pack(self._clock.now))
        update(f"{node}!{command!r}".encode())

    def control_sent(self, node: str, size: int) -> None:
        """Count one control datagram of `size` bytes."""
        seconds = self._control[node].bytes_by_second
        second = int(self._clock.now)
        seconds[second] = seconds.get(second, 0) + size

    def configuration_in_force(self, node: str, revision: int) -> None:
        """Record the revision that a node has in force, if it changed."""
        if self._revisions.get(node) != revision:
            self._revisions[node] = revision
            self.in_force.append(InForce(node, revision, self._clock.now))

    def control_windows(self) -> list[float]:
        """Return the control bytes per second of every node in every window."""
        end = self._clock.now
        return [window for traffic in self._control.values() for window in traffic.windows(end)]
