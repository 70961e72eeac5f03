"""The demo run: load on loopback for several tenants during planned changes, and its report."""

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
"""Called with the flows started as a share of those expected, their number, and the open flows."""


@dataclass(frozen=True, slots=True)
class DemoOptions:
    """Options of a run: `rate` is new flows per second of all tenants, `duration` is in seconds."""

    tenants: int = 2
    balancers: int = 3
    duration: float = 20.0
    rate: float = 100.0


@dataclass(frozen=True, slots=True)
class TenantLoad:
    """Result of one tenant's load."""

    tenant: str
    load: LoadResult


@dataclass(frozen=True, slots=True)
class DemoReport:
    """Results of all loads, and the changes made during them."""

    loads: tuple[TenantLoad, ...]
    replaced_balancers: int
    drained_backend: str
    control_traffic: tuple[ControlTraffic, ...]

    @property
    def succeeded(self) -> bool:
        """Whether no established flow broke."""
        return not any(item.load.broken_flows for item in self.loads)


class _ProgressSum:
    """Sums the progress of the tenants' loads."""

    def __init__(self, total: float, progress: Progress | None) -> None:
        self._total = total
        self._progress = progress
        self._latest: dict[str, tuple[int, int]] = {}

    def callback_for(self, tenant: str) -> Callable[[int, int], None]:
        def report(started: int, open_flows: int) -> None:
            self._latest[tenant] = (started, open_flows)
            if self._progress is not None:
                started_sum = sum(item[0] for item in self._latest.values())
                open_sum = sum(item[1] for item in self._latest.values())
                self._progress(started_sum / self._total, started_sum, open_sum)

        return report


async def run_demo(options: DemoOptions, progress: Progress | None = None) -> DemoReport:
    """Run the tenants' loads and the planned changes; raises FleetNotReadyError and OSError."""
    deployment, tenants = demo_deployment(options.tenants)
    changes = PlannedChanges()
    fleet = LoopbackFleet(deployment, tenants, options.balancers)
    async with fleet:
        maintenance = asyncio.create_task(make_changes(fleet, options.duration, changes))
        try:
            loads = await _run_loads(fleet, tenants, options, progress)
        finally:
            await _cancel(maintenance)
    return DemoReport(tuple(loads), changes.replaced, changes.drained, tuple(fleet.control_traffic))


async def _run_loads(
    fleet: LoopbackFleet,
    tenants: list[DemoTenant],
    options: DemoOptions,
    progress: Progress | None,
) -> list[TenantLoad]:
    rate_per_tenant = options.rate / len(tenants)
    progress_sum = _ProgressSum(options.rate * options.duration, progress)
    runs = [
        run_load(
            tenant.profile,
            rate_per_tenant,
            options.duration,
            fabric=fleet.fabric.client_address,
            services=tenant.services,
            seed=number,
            first_client=first_client_of(number),
            progress=progress_sum.callback_for(tenant.name),
        )
        for number, tenant in enumerate(tenants)
    ]
    results = await asyncio.gather(*runs)
    return [
        TenantLoad(tenant.name, result) for tenant, result in zip(tenants, results, strict=True)
    ]


async def _cancel(task: asyncio.Task[None]) -> None:
    """Cancel a task, or raise the exception with which it has already failed."""
    task.cancel()
    try:
        await task
    except asyncio.CancelledError:
        return
