"""Measures the effect of loss, pauses, crashes and joins on membership, on a virtual clock.

`python -m tests.measurements.membership_faults` with the arguments `loss`, `loss SHARE SEED`,
`pause`, `crash NODES`, `join NODES` or `start NODES`. Seeds are fixed unless given.
"""

import statistics
import sys
from collections import defaultdict

from beamloom.model.machines import MemberState
from tests.measure_membership import WINDOW, seconds_until_known
from tests.membership_harness import Fleet, machine

LOSSES = (0.0, 0.1, 0.3)
LOSS_SEEDS = (1, 2, 3, 9)
LOSS_NODES = 24
LOSS_SECONDS = 600.0
PAUSES = (1.0, 1.5, 2.0, 2.5, 3.0, 4.0, 6.0)
PAUSED_SIZES = (6, 12, 70)
PAUSE_REPEATS = 10
CRASHES = 10
SMALL_FLEET = 100
START_TIMEOUT_SECONDS = 300.0


def count_declared(fleet: Fleet) -> int:
    """Return the deaths that nodes declared, summed over all nodes."""
    return sum(core.snapshot().counters.deaths_declared for core in fleet.cores.values())


def measure_loss(loss: float, seed: int) -> str:
    fleet = Fleet.settled(LOSS_NODES, seed)
    fleet.loss = lambda sender, receiver: loss
    fleet.run(LOSS_SECONDS)
    counters = [core.snapshot().counters for core in fleet.cores.values()]
    raised = sum(item.suspicions_raised for item in counters)
    return f"| {loss} | {seed} | {raised} | {count_declared(fleet)} |"


def measure_pause(nodes: int, seconds: float) -> str:
    """Pause one node in each of several fleets; count those in which a death was declared."""
    deaths = 0
    for seed in range(PAUSE_REPEATS):
        fleet = Fleet.settled(nodes, seed)
        fleet.run(5.0)
        fleet.pause(machine(2).node_id, seconds)
        fleet.run(seconds + 20.0)
        deaths += count_declared(fleet) > 0
    return f"| {nodes} | {seconds} | {deaths} of {PAUSE_REPEATS} |"


def highest_send_rate(fleet: Fleet) -> float:
    """Return the highest average of bytes per second that a node sent over any window."""
    largest = 0
    for per_second in fleet.sent_bytes.values():
        sums: dict[int, int] = defaultdict(int)
        for second, size in per_second.items():
            for first in range(second - WINDOW + 1, second + 1):
                sums[first] += size
        largest = max(largest, *sums.values())
    return largest / WINDOW


def run_until_listed(fleet: Fleet, total: int) -> float:
    """Return the seconds until every node lists all members, or infinity."""
    start = fleet.now
    while fleet.now - start < START_TIMEOUT_SECONDS:
        fleet.run(0.5)
        if all(len(core.view.members) == total for core in fleet.cores.values()):
            return fleet.now - start
    return float("inf")


def measure_crashes(nodes: int) -> str:
    """Crash one node at a time: each in a new fleet, or one after another in a large fleet."""
    times = []
    for seed in range(CRASHES if nodes <= SMALL_FLEET else 1):
        fleet = Fleet.settled(nodes, seed)
        for number in range(1 if nodes <= SMALL_FLEET else CRASHES):
            fleet.run(10.3)
            victim = machine(3 + number).node_id
            fleet.crash(victim)
            times.append(seconds_until_known(fleet, [victim]))
    return f"| {nodes} | {statistics.median(times):.1f} | {max(times):.1f} | {len(times)} |"


def measure_join(nodes: int) -> str:
    fleet = Fleet.settled(nodes, seed=1)
    fleet.run(10.0)
    item = machine(nodes)
    newcomer = fleet.add(item, [machine(0), machine(1), machine(2)])
    start = fleet.now
    while not newcomer.snapshot().synchronized and fleet.now - start < START_TIMEOUT_SECONDS:
        fleet.run(0.1)
    listed = fleet.now - start
    fleet.do(item.node_id, newcomer.become_alive(fleet.now))
    while set(fleet.states(item.node_id).values()) != {MemberState.ALIVE}:
        fleet.run(0.1)
    known = fleet.now - start - listed
    return f"| {nodes} | {listed:.1f} | {known:.1f} | {highest_send_rate(fleet):.0f} |"


def measure_start(nodes: int) -> str:
    fleet = Fleet(seed=1)
    seeds = [machine(0), machine(1), machine(2)]
    for number in range(nodes):
        fleet.add(machine(number), seeds)
    listed = run_until_listed(fleet, nodes)
    return f"| {nodes} | {listed:.1f} | {highest_send_rate(fleet):.0f} | {count_declared(fleet)} |"


def main() -> None:
    match sys.argv[1:]:
        case ["loss"]:
            print("| loss | seed | suspicions raised | deaths declared |")
            for loss in LOSSES:
                for seed in LOSS_SEEDS:
                    print(measure_loss(loss, seed), flush=True)
        case ["loss", share, seed]:
            print(measure_loss(float(share), int(seed)))
        case ["pause"]:
            print("| nodes | pause, s | ended in a declared death |")
            for nodes in PAUSED_SIZES:
                for seconds in PAUSES:
                    print(measure_pause(nodes, seconds), flush=True)
        case ["crash", nodes]:
            print("| nodes | crash known to all, s: median | maximum | crashes |")
            print(measure_crashes(int(nodes)))
        case ["join", nodes]:
            print("| nodes | list complete, s | then known to all, s | max bytes/s of any 10 s |")
            print(measure_join(int(nodes)))
        case ["start", nodes]:
            print("| nodes | all know all, s | max bytes/s of any 10 s | deaths declared |")
            print(measure_start(int(nodes)))
        case _:
            sys.exit(__doc__)


if __name__ == "__main__":
    main()
