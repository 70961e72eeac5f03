"""Injects faults into a running fleet and records those that the oracle takes into account."""

from __future__ import annotations

from collections.abc import Iterable

from beamloom.simulation.fleet import Fleet
from beamloom.simulation.network import Block, PathCondition, split
from beamloom.simulation.node_adapter import SimulatedNode
from beamloom.simulation.observations import Interval, Observations
from beamloom.standins.backend_health import HealthFaults
from beamloom.standins.platform_faults import FaultPlan

DETECTION_SECONDS = 10.0
"""Duration of the fault interval that is recorded for a crash."""


class FaultInjector:
    """Injects unplanned faults; durations are in seconds."""

    def __init__(self, fleet: Fleet, observations: Observations) -> None:
        self._fleet = fleet
        self._observations = observations
        self.crashed_backends: set[str] = set()

    def _record_fault(self, duration: float) -> None:
        now = self._fleet.clock.now
        self._observations.faults.append(Interval(now, now + duration))

    def _record_impairment(self, nodes: Iterable[SimulatedNode], duration: float) -> None:
        now = self._fleet.clock.now
        for node in nodes:
            self._observations.lifetime(node.name).impaired.append(Interval(now, now + duration))

    def crash_node(self, name: str) -> None:
        """Crash a balancer, if it runs."""
        node = self._fleet.nodes[name]
        if node.host.running:
            self._record_fault(DETECTION_SECONDS)
            self._observations.lifetime(name).ended_at = self._fleet.clock.now
            node.crash()

    def crash_backend(self, backend_id: str) -> None:
        """Crash a backend."""
        self._record_fault(DETECTION_SECONDS)
        self.crashed_backends.add(backend_id)
        self._fleet.backends[backend_id].crash()

    def crash_zone(self, zone: str) -> None:
        """Crash every balancer and backend of a zone."""
        for node in list(self._fleet.nodes.values()):
            if node.machine.zone.name == zone:
                self.crash_node(node.name)
        for backend_id, backend in self._fleet.backends.items():
            if backend.placed.zone.name == zone:
                self.crash_backend(backend_id)

    def pause_node(self, name: str, duration: float) -> None:
        """Pause a balancer's process for a while."""
        node = self._fleet.nodes[name]
        self._record_fault(duration)
        self._record_impairment([node], duration)
        node.host.pause()
        self._fleet.clock.call_later(duration, node.host.resume)

    def slow_node(self, name: str, processing_seconds: float, duration: float) -> None:
        """Make each event of a balancer take `processing_seconds` for a while."""
        host = self._fleet.nodes[name].host
        self._record_fault(duration)
        self._record_impairment([self._fleet.nodes[name]], duration)
        host.processing_seconds = processing_seconds
        self._fleet.clock.call_later(duration, setattr, host, "processing_seconds", 0.0)

    def set_clock_rate(self, name: str, rate: float) -> None:
        """Set the rate of a balancer's clock, in local seconds per second, from now on."""
        self._fleet.nodes[name].local_clock.change_rate(rate)

    def partition(
        self, blocks: tuple[Block, ...], impaired: Iterable[str], duration: float
    ) -> None:
        """Partition the network for a while.

        The oracle extends the configuration deadlines of the nodes that `impaired` names.
        """
        self._record_fault(duration)
        self._record_impairment([self._fleet.nodes[name] for name in impaired], duration)
        self._fleet.network.block(*blocks)
        self._fleet.clock.call_later(duration, self._fleet.network.unblock, *blocks)

    def isolate_node(self, name: str, duration: float) -> None:
        """Block all datagrams from and to a balancer for a while."""
        self.partition(split(name, ""), [name], duration)

    def deafen_node(self, name: str, duration: float) -> None:
        """Block all datagrams to a balancer for a while; it can still send."""
        self.partition((Block("", name),), [name], duration)

    def split_regions(self, cut_off: str, other: str, platform: str, duration: float) -> None:
        """Partition a region from another and from the platform, but not from its clients."""
        blocks = (*split(cut_off, other), *split(cut_off, platform))
        nodes = [
            node.name for node in self._fleet.nodes.values() if node.machine.zone.region == cut_off
        ]
        self.partition(blocks, nodes, duration)

    def disturb_network(self, condition: PathCondition, duration: float, label: str = "") -> None:
        """Add loss, duplication, reordering or delay to paths for a while."""
        self._record_fault(duration)
        self._fleet.network.add_condition(label, condition)
        remove = self._fleet.network.remove_condition
        self._fleet.clock.call_later(duration, remove, label, condition)

    def disturb_store(self, plan: FaultPlan, duration: float) -> None:
        """Inject faults into the platform's store for a while.

        Downtime and delays are recorded as outages, lost answers are not.
        """
        now = self._fleet.clock.now
        if plan.down or plan.delay_seconds:
            self._observations.outages.append(Interval(now, now + duration))
        self._fleet.store.inject(plan)
        self._fleet.clock.call_later(duration, self._fleet.store.inject, FaultPlan())

    def inject_health_faults(self, backend_id: str, health: HealthFaults) -> None:
        """Make a backend's health endpoint report wrong or outdated values from now on."""
        self._fleet.backends[backend_id].model.health_reporter.faults = health
