"""Fault: an unreadable byte in an entry of another writer ends every process repeatedly."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

from standins.deployment import BROKEN, HELD, LABELLER, TRACKER, Deployment, run_case

WARM_UP_SECONDS = 6.0
ENTRY_SECONDS = 12.0
AFTER_SECONDS = 6.0
FLOWS_PER_SECOND = 20
UNREADABLE = b"v\x01"
"""A control byte, which no text in JSON may hold."""
ENDS_OF_ONE_MACHINE = 3
MACHINES = 2
"""The rule: three ends on a tenth of the machines in use, two at least."""


async def open_flows(deployment: Deployment) -> None:
    """Open flows to both services from all zones, one request each."""
    number = 0
    while True:
        client = deployment.clients[number % len(deployment.clients)]
        client.open(LABELLER if number % 2 else TRACKER, [25])
        number += 1
        await asyncio.sleep(1 / FLOWS_PER_SECOND)


def entry_of_another_writer() -> bytes:
    """Return an entry with a byte that can't be read in the version of the software."""
    entry = {
        "service": "labeller",
        "address": "10.0.0.9:8080",
        "zone": "laucala",
        "version": "v1",
        "slots": 2,
        "state": "ready",
        "warmup-left-ms": 0,
        "sequence": 1,
        "born": 1,
    }
    return json.dumps(entry).encode().replace(b'"v1"', b'"' + UNREADABLE + b'"')


async def case(deployment: Deployment, trouble: bool) -> int:
    """Let another writer write its entry; return whether processes ended by themselves."""
    record = deployment.record
    traffic = asyncio.create_task(open_flows(deployment))
    await asyncio.sleep(WARM_UP_SECONDS)
    if trouble:
        deployment.write_as_another_writer("i-0badbad1", entry_of_another_writer(), ENTRY_SECONDS)
    written_at = record.now()
    await asyncio.sleep(ENTRY_SECONDS)
    count_served(deployment, written_at)
    await asyncio.sleep(AFTER_SECONDS)
    traffic.cancel()
    for node in deployment.fleet.nodes:
        ends = len(node.own_ends)
        record.line("own-ends", node=node.name, count=ends, last_error=node.last_error())
    ended = [node for node in deployment.fleet.nodes if len(node.own_ends) >= ENDS_OF_ONE_MACHINE]
    record.line("result", rule="Fault", machines_with_three_own_ends=len(ended))
    return BROKEN if len(ended) >= MACHINES else HELD


def count_served(deployment: Deployment, since: float) -> None:
    """Record how many of the flows that ended since then were answered."""
    over = [flow for client in deployment.clients for flow in client.over if flow.over_at > since]
    served = sum(flow.answers == ["200"] for flow in over)
    deployment.record.line("served", flows=len(over), answered=served)


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, case))
