"""What goes wrong in a scenario; each fault is noted for the oracle, with its end."""

from __future__ import annotations

from collections.abc import Iterable

from beamloom.simulation.fleet import Fleet
from beamloom.simulation.network import Block, PathCondition, split
from beamloom.simulation.node_adapter import SimulatedNode
from beamloom.simulation.observations import Interval, Observations
from beamloom.standins.backend_health import HealthFaults
from beamloom.standins.platform_faults import FaultPlan

DETECTION_SECONDS = 10.0
"""How long after a crash its effects may still begin."""


class FaultInjector:
    """Unplanned events in a running fleet; times are in seconds."""

    def __init__(self, fleet: Fleet, seen: Observations) -> None:
        self._fleet = fleet
        self._seen = seen
        self.crashed_backends: set[str] = set()

    def _note_fault(self, duration: float) -> None:
        now = self._fleet.clock.now
        self._seen.faults.append(Interval(now, now + duration))

    def _note_impaired(self, nodes: Iterable[SimulatedNode], duration: float) -> None:
        now = self._fleet.clock.now
        for node in nodes:
            self._seen.life(node.name).impaired.append(Interval(now, now + duration))

    def crash_node(self, name: str) -> None:
        """Let a balancer end without a word."""
        node = self._fleet.nodes[name]
        if node.host.running:
            self._note_fault(DETECTION_SECONDS)
            self._seen.life(name).ended_at = self._fleet.clock.now
            node.crash()

    def crash_backend(self, backend_id: str) -> None:
        """Let a backend end without a word."""
        self._note_fault(DETECTION_SECONDS)
        self.crashed_backends.add(backend_id)
        self._fleet.backends[backend_id].crash()

    def lose_zone(self, zone: str) -> None:
        """Let everything in a zone end at once."""
        for node in list(self._fleet.nodes.values()):
            if node.machine.zone.name == zone:
                self.crash_node(node.name)
        for backend_id, backend in self._fleet.backends.items():
            if backend.placed.zone.name == zone:
                self.crash_backend(backend_id)

    def pause_node(self, name: str, duration: float) -> None:
        """Let a balancer stand still for a while, unaware."""
        node = self._fleet.nodes[name]
        self._note_fault(duration)
        self._note_impaired([node], duration)
        node.host.pause()
        self._fleet.clock.call_later(duration, node.host.resume)

    def slow_node(self, name: str, processing_seconds: float, duration: float) -> None:
        """Let each event of a balancer take its time for a while."""
        host = self._fleet.nodes[name].host
        self._note_fault(duration)
        self._note_impaired([self._fleet.nodes[name]], duration)
        host.processing_seconds = processing_seconds
        self._fleet.clock.call_later(duration, setattr, host, "processing_seconds", 0.0)

    def drift_clock(self, name: str, rate: float) -> None:
        """Let a balancer's clock run faster or slower than true time from now on."""
        self._fleet.nodes[name].local_clock.change_rate(rate)

    def cut(self, blocks: tuple[Block, ...], cut_off: Iterable[str], duration: float) -> None:
        """Partition the network for a while; `cut_off` names the nodes the store is lost to."""
        self._note_fault(duration)
        self._note_impaired([self._fleet.nodes[name] for name in cut_off], duration)
        self._fleet.network.block(*blocks)
        self._fleet.clock.call_later(duration, self._fleet.network.unblock, *blocks)

    def isolate_node(self, name: str, duration: float) -> None:
        """Let nothing pass from or to a balancer for a while."""
        self.cut(split(name, ""), [name], duration)

    def deafen_node(self, name: str, duration: float) -> None:
        """Let a balancer send but not hear for a while."""
        self.cut((Block("", name),), [name], duration)

    def split_regions(self, cut_off: str, other: str, platform: str, duration: float) -> None:
        """Let a region lose another and the platform; its own clients still reach it."""
        blocks = (*split(cut_off, other), *split(cut_off, platform))
        nodes = [
            node.name for node in self._fleet.nodes.values() if node.machine.zone.region == cut_off
        ]
        self.cut(blocks, nodes, duration)

    def disturb_network(self, condition: PathCondition, duration: float, label: str = "") -> None:
        """Put loss, duplication, reordering or delay on paths for a while."""
        self._note_fault(duration)
        self._fleet.network.add_condition(label, condition)
        remove = self._fleet.network.remove_condition
        self._fleet.clock.call_later(duration, remove, label, condition)

    def disturb_store(self, plan: FaultPlan, duration: float) -> None:
        """Put faults on the platform's store for a while."""
        now = self._fleet.clock.now
        if plan.down or plan.delay_seconds:
            self._seen.outages.append(Interval(now, now + duration))
        self._fleet.store.inject(plan)
        self._fleet.clock.call_later(duration, self._fleet.store.inject, FaultPlan())

    def mislead_health(self, backend_id: str, health: HealthFaults) -> None:
        """Let a backend's health endpoint lag, freeze or lie from now on."""
        self._fleet.backends[backend_id].model.health_reporter.faults = health
