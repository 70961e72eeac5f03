"""A machine's path to the store is cut twice in a row; two endpoints drain during the first cut."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import NamedTuple

from review.testbed.client import ClientFlow
from review.testbed.deployment import CONTACT_SECONDS, TRACKER, ZONES, Deployment
from review.testbed.endpoint import Endpoint
from review.testbed.record import Record
from review.testbed.script import run_case
from review.testbed.store_link import StoreLink
from review.testbed.traffic import open_flows

DRAIN_SECONDS = 3.0
"""`drain-ms` of the site."""
FIRST_CUT_SECONDS = 1.68
BETWEEN_SECONDS = 0.2
SECOND_CUT_SECONDS = 3.0
ATTEMPTS = 4
FLOWS_PER_SECOND = 100
REST_SECONDS = 6.0
"""Until the machine that was cut off is in touch again."""
ENDS_AFTER_SECONDS = 5.0
"""An endpoint serves on for `drain-ms` and a little longer."""


class Drained(NamedTuple):
    """An endpoint, when the store took that it drains, and the machine that was cut off."""

    endpoint: Endpoint
    at: float
    cut_host: str


async def play(record: Record, has_trouble: bool) -> list[str]:
    """Play the case; return the breaks of DRAIN and what else no one may see."""
    async with Deployment(record) as deployment:
        flows: list[ClientFlow] = []
        users = asyncio.create_task(open_flows(deployment, flows, FLOWS_PER_SECOND))
        drained: list[Drained] = []
        for _ in range(ATTEMPTS):
            drained += await _drain_two(deployment, has_trouble)
            await asyncio.sleep(REST_SECONDS)
        users.cancel()
        record.add(f"{len(flows)} flows")
        breaks = [text for one in drained if (text := _find_break(one, flows)) is not None]
        return breaks + deployment.faults()


async def _drain_two(deployment: Deployment, has_trouble: bool) -> list[Drained]:
    """Replace two endpoints; as they drain, cut the machine that reads the entries off."""
    record = deployment.record
    leaving = [one for one in deployment.endpoints if one.alive and one.service == TRACKER][:2]
    for zone in ZONES[:2]:
        await deployment.add_endpoint(TRACKER, zone)
    await asyncio.sleep(2.0)
    link = await _wait_for_watch(deployment)
    machine = deployment.fleet.machines[deployment.links.index(link)]
    if has_trouble:
        link.cut()
        record.add(f"{machine.name} is cut from the store")
    drained = []
    for endpoint in leaving:
        await asyncio.sleep(0.03)
        endpoint.drain()
        record.add(f"{endpoint.name} is draining")
        drained.append(Drained(endpoint, record.now, machine.host))
        asyncio.get_running_loop().call_later(ENDS_AFTER_SECONDS, endpoint.end)
    await asyncio.sleep(FIRST_CUT_SECONDS)
    if has_trouble:
        link.heal()
        record.add(f"{machine.name} reaches the store")
        await asyncio.sleep(BETWEEN_SECONDS)
        link.cut()
        record.add(f"{machine.name} is cut from the store again")
        await asyncio.sleep(SECOND_CUT_SECONDS)
        link.heal()
        record.add(f"{machine.name} reaches the store again")
    return drained


async def _wait_for_watch(deployment: Deployment) -> StoreLink:
    """Return the path on which a watch that waits has just begun."""
    calls = {link: link.last_call for link in deployment.links}
    while True:
        await asyncio.sleep(0.002)
        for link in deployment.links:
            if link.last_call != calls[link] and link.last_call.wait_seconds > 1.0:
                return link


def _find_break(drained: Drained, flows: list[ClientFlow]) -> str | None:
    """Return how DRAIN was broken, through machines that were never disturbed."""
    endpoint = drained.endpoint
    late = [
        flow
        for flow in flows
        if flow.key in endpoint.opened
        and flow.started_at >= drained.at + DRAIN_SECONDS
        and endpoint.taken_from[flow.key] != drained.cut_host
    ]
    if not late:
        return None
    hosts = sorted({endpoint.taken_from[flow.key] for flow in late})
    runs = sum(request.name in endpoint.runs for flow in late for request in flow.requests)
    last = max(flow.started_at for flow in late) - drained.at
    return (
        f"DRAIN: {len(late)} flows opened at {endpoint.name} and {runs} requests ran there, the"
        f" last flow {last:.2f} s after the store had taken that it drains, through"
        f" {', '.join(hosts)}, undisturbed for more than {CONTACT_SECONDS:g} s (cut off:"
        f" {drained.cut_host})"
    )


if __name__ == "__main__":
    run_case(play, Path(__file__).parent)
