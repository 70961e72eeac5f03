"""A machine is cut from the store for a second; an endpoint's entry changes and goes meanwhile."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import NamedTuple

from review.testbed.client import ClientFlow
from review.testbed.deployment import (
    CONTACT_SECONDS,
    TRACKER,
    Deployment,
)
from review.testbed.endpoint import HEARTBEAT_SECONDS, Endpoint
from review.testbed.record import Record
from review.testbed.script import run_case
from review.testbed.traffic import open_flows

DRAIN_SECONDS = 3.0
"""`drain-ms` of the site."""
CUT_BEFORE_ENTRY_SECONDS = 0.3
LEAVES_AFTER_ENTRY_SECONDS = 0.2
LONGEST_CUT_SECONDS = 1.25
"""A watch that waits for 1.15 s is given up 0.7 s after that."""
TELLING_SECONDS = 0.05
"""Nodes tell each other of a change within milliseconds."""
COLD_SECONDS = 8.0
SERVES_ON_SECONDS = 12.0
ATTEMPTS = 3
FLOWS_PER_SECOND = 40


class Leaving(NamedTuple):
    """An endpoint that left, when the store took that, the machine that was cut and until when."""

    endpoint: Endpoint
    gone_at: float
    cut_host: str
    healed_at: float


async def play(record: Record, has_trouble: bool) -> list[str]:
    """Play the case; return the breaks of DRAIN and what else no one may see."""
    async with Deployment(record) as deployment:
        flows: list[ClientFlow] = []
        users = asyncio.create_task(open_flows(deployment, flows, FLOWS_PER_SECOND))
        leavings = [await _leave(deployment, has_trouble) for _ in range(ATTEMPTS)]
        await asyncio.sleep(SERVES_ON_SECONDS)
        users.cancel()
        breaks = [text for leaving in leavings for text in _find_breaks(leaving, flows)]
        record.add(f"{len(flows)} flows")
        return breaks + deployment.faults()


async def _leave(deployment: Deployment, has_trouble: bool) -> Leaving:
    """Add an endpoint and take it away again while the machine that watches entries is cut off."""
    record = deployment.record
    link = max(deployment.links, key=lambda one: (one.last_call.wait_seconds > 0, one.last_call.at))
    machine = deployment.fleet.machines[deployment.links.index(link)]
    endpoint = await deployment.add_endpoint(TRACKER, machine.zone, cold_seconds=COLD_SECONDS)
    await asyncio.sleep(2.5 * HEARTBEAT_SECONDS)
    written_at = endpoint.entry_written_at
    await _until(record, written_at + HEARTBEAT_SECONDS - CUT_BEFORE_ENTRY_SECONDS)
    cut_at = record.now
    if has_trouble:
        link.cut()
        record.add(f"{machine.name} is cut from the store")
    while endpoint.entry_written_at == written_at:
        await asyncio.sleep(0.01)
    await asyncio.sleep(LEAVES_AFTER_ENTRY_SECONDS)
    endpoint.leave_unsaid()
    gone_at = record.now
    record.add(f"the entry of {endpoint.name} is gone; it serves on")
    asyncio.get_running_loop().call_later(SERVES_ON_SECONDS, endpoint.crash)
    others = [one for one in deployment.links if one is not link]
    while record.now < cut_at + LONGEST_CUT_SECONDS:
        if any(one.last_call.at > gone_at for one in others):
            await asyncio.sleep(TELLING_SECONDS)
            break
        await asyncio.sleep(0.005)
    if has_trouble:
        link.heal()
        record.add(f"{machine.name} reaches the store again")
    return Leaving(endpoint, gone_at, machine.host, record.now)


async def _until(record: Record, at: float) -> None:
    await asyncio.sleep(max(0.0, at - record.now))


def _find_breaks(leaving: Leaving, flows: list[ClientFlow]) -> list[str]:
    """Return how DRAIN was broken: flows that open at an endpoint too long after it has gone."""
    endpoint = leaving.endpoint
    from_then = max(leaving.gone_at + DRAIN_SECONDS, leaving.healed_at + CONTACT_SECONDS)
    late = [flow for flow in flows if flow.key in endpoint.opened and flow.started_at >= from_then]
    if not late:
        return []
    hosts = sorted({endpoint.taken_from[flow.key] for flow in late})
    runs = sum(request.name in endpoint.runs for flow in late for request in flow.requests)
    last = max(flow.started_at for flow in late) - leaving.gone_at
    return [
        f"DRAIN: {len(late)} flows opened at {endpoint.name} and {runs} requests ran there, the"
        f" last flow {last:.2f} s after its entry had gone, through {', '.join(hosts)} (cut off:"
        f" {leaving.cut_host}, in touch for {CONTACT_SECONDS:g} s by then)"
    ]


if __name__ == "__main__":
    run_case(play, Path(__file__).parent)
