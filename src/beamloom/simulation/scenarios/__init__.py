"""The named scenarios of `beamloom simulate`."""

from __future__ import annotations

from beamloom.simulation.scenario import Scenario
from beamloom.simulation.scenarios.failures import (
    BALANCER_CRASH,
    DOUBLE_CRASH,
    REGION_SPLIT,
    ZONE_LOSS,
)
from beamloom.simulation.scenarios.load import COLD_START, LYING_LOAD, NOISY_TENANT
from beamloom.simulation.scenarios.planned import (
    BACKEND_DRAIN,
    ROLLING_REPLACEMENT,
    STEADY,
    UPGRADE,
)
from beamloom.simulation.scenarios.platform import (
    LOST_ANSWER,
    PAUSED_LEASE,
    RACING_OPERATORS,
    STORE_OUTAGE,
)
from beamloom.simulation.scenarios.storm import STORM

SCENARIOS: dict[str, Scenario] = {
    scenario.name: scenario
    for scenario in (
        STEADY,
        ROLLING_REPLACEMENT,
        BACKEND_DRAIN,
        COLD_START,
        BALANCER_CRASH,
        DOUBLE_CRASH,
        ZONE_LOSS,
        REGION_SPLIT,
        STORE_OUTAGE,
        LOST_ANSWER,
        RACING_OPERATORS,
        PAUSED_LEASE,
        LYING_LOAD,
        NOISY_TENANT,
        UPGRADE,
        STORM,
    )
}
