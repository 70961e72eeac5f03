"""Another writer puts one entry of unreadable bytes into the store; the nodes stop serving."""

from __future__ import annotations

import asyncio
from pathlib import Path

from review.testbed.client import ClientFlow
from review.testbed.deployment import Deployment
from review.testbed.endpoint import SERVERS_KIND
from review.testbed.record import Record
from review.testbed.script import run_case
from review.testbed.traffic import open_flows, served

ENTRY_NAME = "i-00000001"
ENTRY_BYTES = 512 * 1024
"""Half of `value-bytes`, which is 1,048,576 at the site."""
START = b'{"service": "x"" '
REPEATED = b', {"meta": {\\"'
"""Looks like the beginning of an object of the store, with quotation marks that never pair."""
BEFORE_SECONDS = 5.0
SETTLE_SECONDS = 10.0
"""What the fleet gets to notice the entry and to put it aside."""
AFTER_SECONDS = 20.0
FLOWS_PER_SECOND = 30


async def play(record: Record, has_trouble: bool) -> list[str]:
    """Play the case; return how the nodes failed to hand back the processor."""
    async with Deployment(record) as deployment:
        flows: list[ClientFlow] = []
        users = asyncio.create_task(open_flows(deployment, flows, FLOWS_PER_SECOND))
        await asyncio.sleep(BEFORE_SECONDS)
        if has_trouble:
            repeats = (ENTRY_BYTES - len(START)) // len(REPEATED)
            deployment.store.put(SERVERS_KIND, ENTRY_NAME, START + repeats * REPEATED)
            record.add(f"another writer puts the entry {ENTRY_NAME} of {ENTRY_BYTES} bytes")
        written_at = record.now
        await asyncio.sleep(SETTLE_SECONDS)
        from_then = record.now
        await asyncio.sleep(AFTER_SECONDS)
        users.cancel()
        silent = [machine.name for machine in deployment.fleet.machines if not machine.ready]
        before = [flow for flow in flows if flow.started_at < written_at]
        after = [flow for flow in flows if from_then <= flow.started_at < record.now - 2.0]
        record.add(f"before the entry {served(before)} of {len(before)} requests were served")
        record.add(
            f"from {SETTLE_SECONDS:g} s after it on {served(after)} of {len(after)} requests"
            f" were served; {len(silent)} of {len(deployment.fleet.machines)} nodes do not answer"
            f" the readiness probe"
        )
        breaks = []
        if len(silent) == len(deployment.fleet.machines) and not served(after):
            breaks.append(
                f"FAULT: no node hands back the processor {AFTER_SECONDS + SETTLE_SECONDS:g} s"
                f" after the entry: {', '.join(silent)} answer no readiness probe, and none of"
                f" {len(after)} requests was served ({served(before)} of {len(before)} before)"
            )
        return breaks + deployment.faults()


if __name__ == "__main__":
    run_case(play, Path(__file__).parent)
