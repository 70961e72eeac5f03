"""One datagram is lost: the first SYN+ACK of a flow. Its copy goes to a second endpoint."""

from __future__ import annotations

import asyncio
from pathlib import Path

from review.testbed.client import ClientFlow, ClientHost, FlowState
from review.testbed.deployment import CONTACT_SECONDS, ROUTE_ADDRESS, UNSAFE_PORT, Deployment
from review.testbed.endpoint import Endpoint
from review.testbed.packets import SYN, FlowKey, decode
from review.testbed.record import Record
from review.testbed.script import run_case

FLOWS = 120
FLOWS_PER_SECOND = 20
LOST_EVERY = 20
"""Of so many flows, one loses one datagram."""
REST_SECONDS = 5.0
"""Pause between two requests of a flow: longer than `contact-ms`, below `idle-timeout-ms`."""
DEADLINE_SECONDS = 2.5


class Loss:
    """Drops the first SYN+ACK of every LOST_EVERY-th flow, and nothing else."""

    def __init__(self, record: Record) -> None:
        self.lost_at: dict[FlowKey, float] = {}
        self._seen: set[FlowKey] = set()
        self._record = record

    def passes(self, endpoint: Endpoint, data: bytes, _host: str) -> bool:
        """Whether a datagram of an endpoint reaches its client."""
        decoded = decode(data)
        if decoded is None or not decoded[0].flags & SYN:
            return True
        key = decoded[0].from_endpoint
        if key in self._seen:
            return True
        self._seen.add(key)
        if len(self._seen) % LOST_EVERY:
            return True
        self.lost_at[key] = self._record.now
        self._record.add(f"the SYN+ACK of {endpoint.name} to {key.client_port} is lost")
        return False


async def play(record: Record, has_trouble: bool) -> list[str]:
    """Play the case; return the breaks of FLOW and what else no one may see."""
    async with Deployment(record) as deployment:
        loss = Loss(record)
        if has_trouble:
            deployment.passes = loss.passes
        users = []
        for number in range(FLOWS):
            client = deployment.clients[number % len(deployment.clients)]
            users.append(asyncio.create_task(_use_flow(client)))
            await asyncio.sleep(1 / FLOWS_PER_SECOND)
        flows = await asyncio.gather(*users)
        breaks = [text for flow in flows if (text := _find_break(deployment, loss, flow))]
        lost = [one for flow in flows for one in flow.requests if one.state.value == "lost"]
        record.add(
            f"{len(flows)} flows, {deployment.datagrams} datagrams of endpoints,"
            f" {deployment.dropped} lost; {len(lost)} requests without an answer"
        )
        return breaks + deployment.faults()


async def _use_flow(client: ClientHost) -> ClientFlow:
    flow = await client.open(ROUTE_ADDRESS, UNSAFE_PORT)
    if flow.state is FlowState.OPEN:
        await client.request(flow, "POST", DEADLINE_SECONDS)
        await asyncio.sleep(REST_SECONDS)
        if flow.state is FlowState.OPEN:
            await client.request(flow, "POST", DEADLINE_SECONDS)
        client.close_flow(flow)
    return flow


def _find_break(deployment: Deployment, loss: Loss, flow: ClientFlow) -> str | None:
    """Return how FLOW (a) was broken on a flow: a reset that its living endpoint did not send."""
    endpoint = deployment.endpoint_of(flow.key)
    if flow.reset_at is None or endpoint is None or not endpoint.alive:
        return None
    if flow.reset_by == endpoint.host:
        return None
    disturbed_at = max(
        loss.lost_at.get(flow.key, float("-inf")),
        *(machine.disturbed_at for machine in deployment.fleet.machines),
    )
    if flow.reset_at - disturbed_at < CONTACT_SECONDS:
        return None
    return (
        f"FLOW: {flow.key.client_port} is open at {endpoint.name} ({endpoint.host}) and got a"
        f" reset of {flow.reset_by} at {flow.reset_at:.2f} s,"
        f" {flow.reset_at - disturbed_at:.2f} s after the last disruption"
    )


if __name__ == "__main__":
    run_case(play, Path(__file__).parent)
