"""The demo: a users' deployment under load on loopback, and a table of what became of it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from importlib.resources import as_file, files

from beamloom.demo.fleet import LoopbackFleet
from beamloom.settings.deployment import Deployment, load_deployment
from beamloom.standins.load import LoadResult, run_load
from beamloom.standins.load_profiles import ProfileName


@dataclass(frozen=True, slots=True)
class DemoReport:
    """What became of the flows of one users' deployment."""

    balancers: int
    load: LoadResult

    @property
    def succeeded(self) -> bool:
        """Whether no established flow broke."""
        return self.load.broken_flows == 0


def example_deployment(profile: ProfileName) -> Deployment:
    """Return the deployment of one of the two users that ships with the package."""
    with as_file(files("beamloom").joinpath("examples", f"{profile.value}.toml")) as path:
        return load_deployment(path)


async def run_demo(
    profile: ProfileName,
    balancers: int,
    duration: float,
    rate: float,
    progress: Callable[[int, int], None] | None = None,
) -> DemoReport:
    """Run one deployment for `duration` seconds with `rate` new flows a second."""
    async with LoopbackFleet(example_deployment(profile), balancers) as fleet:
        result = await run_load(
            profile,
            rate,
            duration,
            fabric=fleet.fabric.client_address,
            services=fleet.virtual_addresses,
            progress=progress,
        )
        return DemoReport(len(fleet.balancers), result)
