"""Measures how changes of the configuration come into force in a simulated fleet.

    python -m tests.measurements.configuration --help

Times are virtual. The processor time is real and covers replica, status, election and send
budget of a node, with the codec.
"""

from __future__ import annotations

import argparse
import json
import random
from typing import Any

from tests.replication_fleet import Fleet, Node

DELAYS = {"zone": (0.00025, 0.00025), "region": (0.0015, 0.040)}
PAUSE_BETWEEN_CHANGES = 5.0
WINDOW_SECONDS = 10.0


def backend(number: int, operation: int) -> dict[str, Any]:
    return {
        "address": f"10.1.2.{number}:8080",
        "health": f"10.1.2.{number}:8081",
        "zone": "zone-1",
        "weight": 100,
        "operation": f"{operation:016x}",
    }


def largest_window(sent: list[tuple[float, int]]) -> int:
    """Return the most bytes sent in any window of WINDOW_SECONDS."""
    largest, total, first = 0, 0, 0
    for moment, size in sent:
        total += size
        while sent[first][0] < moment - WINDOW_SECONDS:
            total -= sent[first][1]
            first += 1
        largest = max(largest, total)
    return largest


def quantile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return round(ordered[min(len(ordered) - 1, int(len(ordered) * share))], 5)


def answer_seconds(fleet: Fleet, revision: int) -> float | None:
    """Return the seconds until one node has confirmed that every node has `revision` in force."""
    requester: Node = next(iter(fleet.nodes.values()))
    started = fleet.now
    fleet.do(requester, lambda: requester.status.ask(revision, fleet.now))
    count = len(fleet.nodes)
    complete = fleet.run(20.0, lambda: requester.status.in_force(revision).count_in_force == count)
    return round(fleet.now - started, 3) if complete else None


def measure(nodes: int, loss: float, delays: str, changes: int, seed: int) -> dict[str, Any]:
    """Run a simulated fleet and return the figures as a JSON object."""
    fleet = Fleet(nodes, loss=loss, delays=DELAYS[delays], seed=seed, measure_cpu=True)
    for number in range(5):
        fleet.store.write(f"backend/t/s/b{number}", backend(number, number))
    fleet.run(120.0, lambda: fleet.level(5))
    fleet.run(20.0)
    for node in fleet.nodes.values():
        node.cpu = 0.0
    started, rng = fleet.now, random.Random(seed)
    accepted: dict[int, float] = {}
    for number in range(changes):
        value = backend(number % 5, rng.getrandbits(64))
        accepted[fleet.write_tracked(f"backend/t/s/b{number % 5}", value)] = fleet.now
        fleet.run(PAUSE_BETWEEN_CHANGES)
    fleet.check_states()
    seconds = fleet.now - started
    in_force = [
        moment - accepted[revision]
        for revision, moments in fleet.in_force_at.items()
        for moment in moments.values()
    ]
    sent = [[item for item in items if item[0] >= started] for items in fleet.sent.values()]
    rates = [sum(size for _, size in items) / seconds for items in sent]
    shares = [100 * node.cpu / seconds for node in fleet.nodes.values()]
    return {
        "nodes": nodes,
        "loss": loss,
        "delays": delays,
        "changes": changes,
        "seed": seed,
        "never_in_force": nodes * changes - len(in_force),
        "in_force_seconds": {
            "p50": quantile(in_force, 0.5),
            "p99": quantile(in_force, 0.99),
            "max": quantile(in_force, 1.0),
        },
        "bytes_per_second": {"median": quantile(rates, 0.5), "max": quantile(rates, 1.0)},
        "largest_window_bytes": max(largest_window(items) for items in sent),
        "cpu_percent": {"median": quantile(shares, 0.5), "max": quantile(shares, 1.0)},
        "status_answer_seconds": answer_seconds(fleet, max(accepted)),
        "store_readers_ever": len(fleet.store.readers_seen),
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int, default=70)
    parser.add_argument("--loss", type=float, default=0.0)
    parser.add_argument("--delays", choices=sorted(DELAYS), default="zone")
    parser.add_argument("--changes", type=int, default=20)
    parser.add_argument("--seed", type=int, default=7)
    options = parser.parse_args()
    figures = measure(options.nodes, options.loss, options.delays, options.changes, options.seed)
    print(json.dumps(figures), flush=True)


if __name__ == "__main__":
    main()
