"""Random faults and planned changes of a soak, drawn from its seed."""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Callable, Collection, Iterable
from functools import partial

from beamloom.simulation.tokens.changes import DeploymentChanges
from beamloom.simulation.tokens.deployment import SERVICES
from beamloom.soak.harness import SoakHarness
from beamloom.soak.nodes import is_large
from beamloom.soak.platform_faults import PlatformFaults
from beamloom.soak.proxy import ProxyFault
from beamloom.standins.token_client import FlowPlan

DAMAGE_SEED_OFFSET = 6
CHANGE_FRACTION = 0.4
MAXIMUM_SERIES_FAULTS = 3
SERIES_SECONDS = 3.0
"""The faults of a series start within this time, so that they and their ends overlap."""
CHANGES = ("drain", "reuse", "route", "evacuate")
"""Planned changes, which nodes must apply in time; the oracle's time bounds apply during them."""
MAXIMUM_UNDETECTED_SECONDS = 1.0
"""A change follows silenced connections within this time, when nodes may not have detected them."""
HOST_FAULT_SECONDS = 8.0
"""Longer than the bounds of changes, so that the other nodes must apply them meanwhile."""
ROLL_INTERVAL_SECONDS = 0.7
BURST_FLOWS = 160
BURST_INTERVAL_SECONDS = 0.02
"""A burst adds at most 50 flows per second to those of the soak itself, at most 20. If all nodes
shared these alike, each cold endpoint of a service would get more than its limit.
"""


class UnknownFaultError(ValueError):
    """A fault name is unknown."""

    def __init__(self, names: Iterable[str], known: Iterable[str]) -> None:
        unknown_names, known_names = ", ".join(sorted(names)), ", ".join(sorted(known))
        super().__init__(f"no such fault: {unknown_names}; choose from {known_names}")


class SoakFaults:
    """Injects faults into a harness; `injected` lists them with their times.

    `inject` draws planned changes and faults of `kinds`, by default all but those of the platform.
    """

    def __init__(
        self,
        harness: SoakHarness,
        rng: random.Random,
        kinds: Collection[str] = (),
        *,
        seed: int = 0,
    ) -> None:
        self.injected: list[str] = []
        self._harness = harness
        self._rng = rng
        self.started_at = harness.now
        proxy_fault = self._inject_proxy_fault
        store_fault = harness.platform.inject_store_fault
        self._kinds: dict[str, Callable[[], None]] = {
            "kill": lambda: harness.kill(self._pick_node()),
            "kill_all": self._kill_all,
            "stop": lambda: harness.stop(self._pick_node()),
            "pause": lambda: harness.pause(self._pick_node(), 4.0),
            "reload": lambda: harness.nodes[self._pick_node()].send(signal.SIGHUP),
            "way_refused": lambda: proxy_fault(ProxyFault.REFUSE),
            "way_cut": lambda: proxy_fault(ProxyFault.CUT),
            "way_cut_answers": lambda: proxy_fault(ProxyFault.CUT_ANSWERS),
            "way_delayed": lambda: proxy_fault(ProxyFault.DELAY),
            "way_held_up": self._cut_briefly,
            "way_reset": self._reset_connections,
            "store_unavailable": lambda: store_fault("unavailable", True, 4.0),
            "store_silent": lambda: store_fault("silent", True, 4.0),
            "store_throttled": lambda: store_fault("throttled", True, 3.0),
            "store_slow": lambda: store_fault("delay_seconds", 0.3, 4.0),
            "compaction": harness.platform.server.store.forget_history,
            "silence": lambda: self._silence([self._pick_node()]),
            "silence_all": lambda: self._silence(harness.nodes),
            "some_refused": lambda: self._inject_host_fault("refused_hosts"),
            "some_throttled": lambda: self._inject_host_fault("throttled_hosts"),
            "some_unanswered": lambda: self._inject_host_fault("silent_hosts"),
            "large_refused": self._refuse_large,
            "roll": lambda: harness.spawn(self._roll()),
            "release": self._release,
            **DeploymentChanges(harness.platform, rng).kinds,
        }
        self._platform_rng = random.Random(seed + 1)
        damage_rng = None if harness.runs_former else random.Random(seed + DAMAGE_SEED_OFFSET)
        platform_faults = PlatformFaults(
            harness.platform,
            self._platform_rng,
            lambda: harness.now,
            harness.call_later,
            damage_rng,
        )
        self._platform_kinds = platform_faults.kinds.keys()
        self._pending_platform_kinds: list[str] = []
        selectable = sorted(kinds or self._kinds)
        self._kinds |= platform_faults.kinds
        unknown = set(kinds) - self._kinds.keys()
        if unknown:
            raise UnknownFaultError(unknown, self._kinds)
        self._selectable_kinds = selectable

    def inject(self) -> None:
        """Inject one random fault or planned change now."""
        names = CHANGES if self._rng.random() < CHANGE_FRACTION else self._selectable_kinds
        self._inject(self._rng.choice(names))

    def inject_platform_fault(self) -> None:
        """Inject one fault of the platform, and a random series of other faults after it.

        Each platform fault is injected once before any is repeated. A separate generator draws the
        names and times of all these faults.
        """
        rng = self._platform_rng
        if not self._pending_platform_kinds:
            names = sorted(self._platform_kinds)
            self._pending_platform_kinds = rng.sample(names, len(names))
        self._inject(self._pending_platform_kinds.pop())
        for _ in range(rng.randint(0, MAXIMUM_SERIES_FAULTS)):
            name = rng.choice(self._selectable_kinds)
            self._harness.call_later(rng.uniform(0.0, SERIES_SECONDS), partial(self._inject, name))

    def _inject(self, name: str) -> None:
        self.injected.append(f"{self._harness.now - self.started_at:.1f} {name}")
        self._kinds[name]()

    def _pick_node(self) -> str:
        return self._rng.choice(sorted(self._harness.nodes))

    def _kill_all(self) -> None:
        for name in self._harness.nodes:
            self._harness.kill(name)

    def _inject_proxy_fault(self, fault: ProxyFault) -> None:
        self._harness.inject_proxy_fault(self._pick_node(), fault, 4.0)

    def _cut_briefly(self) -> None:
        name, rng = self._pick_node(), random.Random(self._rng.getrandbits(32))
        self._harness.spawn(self._harness.cut_briefly(name, rng))

    def _reset_connections(self) -> None:
        name = self._pick_node()
        self._harness.note_fault(name, 0.0)
        self._harness.proxies[name].reset_connections()

    def _silence(self, names: Iterable[str]) -> None:
        """Silence connections, and make a change while nodes may not have detected it yet."""
        for name in names:
            self._harness.silence(name)
        change = self._rng.choice(CHANGES)
        wait = self._rng.uniform(0.0, MAXIMUM_UNDETECTED_SECONDS)
        self._harness.call_later(wait, lambda: self._inject(change))

    def _sample_nodes(self) -> list[str]:
        names = sorted(self._harness.nodes)
        return self._rng.sample(names, max(1, len(names) // 2))

    def _inject_host_fault(self, fault: str) -> None:
        self._harness.inject_host_fault(self._sample_nodes(), fault, HOST_FAULT_SECONDS)

    def _refuse_large(self) -> None:
        """Let the store refuse the large nodes, which are preferred as its readers."""
        names = [name for name in self._harness.nodes if is_large(name)]
        self._harness.inject_host_fault(names, "refused_hosts", HOST_FAULT_SECONDS)

    async def _roll(self) -> None:
        for name in self._sample_nodes():
            self._harness.stop(name)
            await asyncio.sleep(ROLL_INTERVAL_SECONDS)

    def _release(self) -> None:
        """Replace all endpoints of a service by cold ones during a burst of flows."""
        self._harness.platform.release(self._rng.choice(SERVICES))
        self._harness.spawn(self._open_burst())

    async def _open_burst(self) -> None:
        for _ in range(BURST_FLOWS):
            self._harness.open_flow(FlowPlan(requests=1))
            await asyncio.sleep(BURST_INTERVAL_SECONDS)
