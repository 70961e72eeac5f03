"""Measure membership by fleet size: `python -m tests.measure_membership [NODES ...]`.

Prints one Markdown row per size. Each message is counted as a separate datagram with envelope and
tag. The processor time covers the cores, the codec and the event loop of the test.
"""

import statistics
import sys
import time

from beamloom.model.machines import MemberState, NodeId
from tests.membership_harness import Fleet

WARM_UP = 30
STEADY = 60
WINDOW = 10
SIZES = (70, 140, 280, 560)
STEP = 0.1
MAXIMUM_DETECTION = 90.0


def byte_rates(fleet: Fleet, start: int, end: int) -> tuple[float, float]:
    """Return the median of the nodes' mean rates and the peak rate of any window, in bytes/s."""
    means = []
    peak = 0.0
    for per_second in fleet.sent_bytes.values():
        rates = [per_second.get(second, 0) for second in range(start, end)]
        means.append(sum(rates) / len(rates))
        windows = (sum(rates[first : first + WINDOW]) for first in range(len(rates) - WINDOW + 1))
        peak = max(peak, max(windows) / WINDOW)
    return statistics.median(means), peak


def seconds_until_known(fleet: Fleet, crashed: list[NodeId]) -> float:
    """Return how long until all other nodes record these as dead; infinity if they do not."""
    start = fleet.now
    while fleet.now < start + MAXIMUM_DETECTION:
        fleet.run(STEP)
        states = (state for node_id in crashed for state in fleet.states(node_id).values())
        if all(state is MemberState.DEAD for state in states):
            return fleet.now - start
    return float("inf")


def measure(nodes: int) -> str:
    fleet = Fleet.settled(nodes, seed=1)
    fleet.run(WARM_UP)
    began = time.process_time()
    fleet.run(STEADY)
    spent = (time.process_time() - began) / STEADY / nodes
    steady, steady_peak = byte_rates(fleet, WARM_UP, WARM_UP + STEADY)
    fleet.crash(NodeId("node-0003"))
    one_crash = seconds_until_known(fleet, [NodeId("node-0003")])
    fleet.run(30)
    zone = [i.node_id for i in fleet.machines.values() if i.zone.name == "zone-1"]
    begin = int(fleet.now)
    for node_id in zone:
        fleet.crash(node_id)
    zone_loss = seconds_until_known(fleet, zone)
    fleet.run(30)
    _, zone_peak = byte_rates(fleet, begin, int(fleet.now))
    false_deaths = fleet.deaths_seen()
    return (
        f"| {nodes} | {steady:.0f} | {steady_peak:.0f} | {one_crash:.1f} | {zone_loss:.1f} "
        f"| {zone_peak:.0f} | {spent * 1e6:.0f} | {false_deaths} |"
    )


def main() -> None:
    print("| nodes | bytes/s median | max of any 10 s | one crash known to all, s ", end="")
    print("| lost zone known to all, s | max of any 10 s then | µs per node and s | false deaths |")
    print("|" + " --- |" * 8)
    for nodes in [int(text) for text in sys.argv[1:]] or SIZES:
        print(measure(nodes), flush=True)


if __name__ == "__main__":
    main()
