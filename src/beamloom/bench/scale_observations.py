"""Measures when changes came into force and when crashes were detected in a scale run."""

from __future__ import annotations

from dataclasses import dataclass, field

from beamloom.bench.scale_nodes import HollowNode
from beamloom.model.addresses import SocketAddress
from beamloom.model.machines import NodeId
from beamloom.protocol.commands import Command
from beamloom.simulation.clock import VirtualClock
from beamloom.simulation.measurements import Measurements

POLL_SECONDS = 0.25


class LeanMeasurements(Measurements):
    """Records only revisions in force: hashing every command of all nodes would take most time."""

    def command(self, node: str, command: Command) -> None:
        """Record nothing."""

    def packet_sent(self, node: str, destination: SocketAddress, data: bytes) -> None:
        """Record nothing."""

    def control_sent(self, node: str, size: int) -> None:
        """Record nothing: the meter of the node counts bytes."""


@dataclass(slots=True)
class AcceptedChange:
    """A change that the store accepted, and the nodes that were ready at the time."""

    revision: int
    time: float
    expected: frozenset[str]


@dataclass(slots=True)
class ChangeObserver:
    """Compares accepted changes with the revisions that nodes had in force."""

    measurements: LeanMeasurements
    accepted: list[AcceptedChange] = field(default_factory=list)

    def seconds_in_force(
        self, start: float, end: float, ended: dict[str, float]
    ) -> tuple[list[float], int]:
        """Return the seconds until each node had each change in force, and the number missing.

        Counts changes accepted from `start` and before `end`. Nodes that ended are not missing.
        """
        by_node: dict[str, list[tuple[int, float]]] = {}
        for item in self.measurements.in_force:
            by_node.setdefault(item.node, []).append((item.revision, item.time))
        seconds: list[float] = []
        missing = 0
        for change in self.accepted:
            if not start <= change.time < end:
                continue
            for node in change.expected:
                found = _first_with(by_node.get(node, ()), change.revision)
                if found is not None:
                    seconds.append(max(found - change.time, 0.0))
                elif node not in ended:
                    missing += 1
        return seconds, missing


def _first_with(seen: list[tuple[int, float]] | tuple[()], revision: int) -> float | None:
    return next((time for known, time in seen if known >= revision), None)


class CrashObserver:
    """Polls the member list of every node until all have detected each crash."""

    def __init__(self, clock: VirtualClock, nodes: dict[NodeId, HollowNode]) -> None:
        self.seconds: list[float] = []
        self._clock = clock
        self._nodes = nodes
        self._pending: dict[NodeId, tuple[float, set[NodeId]]] = {}

    def crashed(self, names: list[NodeId]) -> None:
        """Start to poll for the detection of these crashes."""
        if not self._pending:
            self._clock.call_later(POLL_SECONDS, self._poll)
        running = {name for name, node in self._nodes.items() if node.host.running}
        for name in names:
            self._pending[name] = (self._clock.now, running - set(names))

    @property
    def unnoticed(self) -> int:
        """The number of pairs of a crash and a running node that has not detected it."""
        self._forget_ended()
        return sum(len(waiting) for _, waiting in self._pending.values())

    def _forget_ended(self) -> None:
        for _, waiting in self._pending.values():
            waiting -= {name for name in waiting if not self._nodes[name].host.running}

    def _poll(self) -> None:
        self._forget_ended()
        now = self._clock.now
        for crashed, (time, waiting) in list(self._pending.items()):
            for name in sorted(waiting):
                member = self._nodes[name].core.core.membership.view.member(crashed)
                if member is None or not member.is_reachable:
                    waiting.discard(name)
                    self.seconds.append(now - time)
            if not waiting:
                del self._pending[crashed]
        if self._pending:
            self._clock.call_later(POLL_SECONDS, self._poll)
