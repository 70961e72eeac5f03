"""Short flows at a steady rate from all client hosts."""

from __future__ import annotations

import asyncio
from itertools import cycle

from review.testbed.client import ClientFlow, ClientHost, FlowState, RequestState
from review.testbed.deployment import ROUTE_ADDRESS, SAFE_PORT, Deployment

DEADLINE_SECONDS = 2.0
"""Deadline of the site's `pos-feed`."""


async def open_flows(
    deployment: Deployment, flows: list[ClientFlow], flows_per_second: float
) -> None:
    """Open flows of one request each, and add them to `flows`, until cancelled."""
    tasks: set[asyncio.Task[None]] = set()
    for client in cycle(deployment.clients):
        task = asyncio.create_task(_use_flow(client, flows))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(1 / flows_per_second)


async def _use_flow(client: ClientHost, flows: list[ClientFlow]) -> None:
    flow = await client.open(ROUTE_ADDRESS, SAFE_PORT)
    flows.append(flow)
    if flow.state is FlowState.OPEN:
        await client.request(flow, "GET", DEADLINE_SECONDS)
        client.close_flow(flow)


def served(flows: list[ClientFlow]) -> int:
    """Return how many requests were answered."""
    return sum(
        request.state is RequestState.ANSWERED for flow in flows for request in flow.requests
    )
