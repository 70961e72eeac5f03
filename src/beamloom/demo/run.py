"""The demo: tenants under load on loopback while the fleet changes, and what became of it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from beamloom.demo.changes import PlannedChanges, make_changes
from beamloom.demo.fleet import ControlTraffic, LoopbackFleet
from beamloom.demo.tenants import DemoTenant, demo_deployment
from beamloom.standins.load import LoadResult, run_load
from beamloom.standins.load_profiles import first_client_of

Progress = Callable[[float, int, int], None]
"""Told the share of the run that is over, the flows started and the flows open."""


@dataclass(frozen=True, slots=True)
class DemoOptions:
    """What to run: `rate` is new flows a second of all tenants, `duration` is in seconds."""

    tenants: int = 2
    balancers: int = 3
    duration: float = 20.0
    rate: float = 100.0


@dataclass(frozen=True, slots=True)
class TenantLoad:
    """What became of one tenant's flows."""

    tenant: str
    load: LoadResult


@dataclass(frozen=True, slots=True)
class DemoReport:
    """What became of all flows, and what was changed meanwhile."""

    loads: tuple[TenantLoad, ...]
    replaced_balancers: int
    drained_backend: str
    control_traffic: tuple[ControlTraffic, ...]

    @property
    def succeeded(self) -> bool:
        """Whether no established flow broke."""
        return not any(item.load.broken_flows for item in self.loads)


class _ProgressSum:
    """Adds up the progress of the tenants' loads."""

    def __init__(self, total: float, progress: Progress | None) -> None:
        self._total = total
        self._progress = progress
        self._latest: dict[str, tuple[int, int]] = {}

    def reporter(self, tenant: str) -> Callable[[int, int], None]:
        def report(started: int, open_flows: int) -> None:
            self._latest[tenant] = (started, open_flows)
            if self._progress is not None:
                started_sum = sum(item[0] for item in self._latest.values())
                open_sum = sum(item[1] for item in self._latest.values())
                self._progress(started_sum / self._total, started_sum, open_sum)

        return report


async def run_demo(options: DemoOptions, progress: Progress | None = None) -> DemoReport:
    """Run the tenants' loads; raises FleetNotReadyError and OSError."""
    deployment, tenants = demo_deployment(options.tenants)
    changes = PlannedChanges()
    fleet = LoopbackFleet(deployment, tenants, options.balancers)
    async with fleet:
        maintenance = asyncio.create_task(make_changes(fleet, options.duration, changes))
        try:
            loads = await _run_loads(fleet, tenants, options, progress)
        finally:
            await _end(maintenance)
    return DemoReport(tuple(loads), changes.replaced, changes.drained, tuple(fleet.control_traffic))


async def _run_loads(
    fleet: LoopbackFleet,
    tenants: list[DemoTenant],
    options: DemoOptions,
    progress: Progress | None,
) -> list[TenantLoad]:
    share = options.rate / len(tenants)
    summed = _ProgressSum(options.rate * options.duration, progress)
    runs = [
        run_load(
            tenant.profile,
            share,
            options.duration,
            fabric=fleet.fabric.client_address,
            services=tenant.services,
            seed=number,
            first_client=first_client_of(number),
            progress=summed.reporter(tenant.name),
        )
        for number, tenant in enumerate(tenants)
    ]
    results = await asyncio.gather(*runs)
    return [
        TenantLoad(tenant.name, result) for tenant, result in zip(tenants, results, strict=True)
    ]


async def _end(task: asyncio.Task[None]) -> None:
    """Cancel what is still going on; a failure that came before is raised."""
    task.cancel()
    try:
        await task
    except asyncio.CancelledError:
        return
