"""Waiting until an accepted write is in force on every node, as a node's admin API reports."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Annotated

from cyclopts import Parameter

from beamloom.cli.admin_access import AdminAccess, AdminClient, Answer, make_admin_client
from beamloom.cli.errors import NotInForceError
from beamloom.cli.output import write_line
from beamloom.object_api.operator import AcceptedWrite

DEFAULT_WAIT_SECONDS = 30.0
POLL_INTERVAL_SECONDS = 0.1

Waiter = tuple[AdminClient, float]
"""The client to poll until a write is in force, and the timeout in seconds."""


@Parameter(name="*")
@dataclass(frozen=True, slots=True)
class WaitFlags:
    """Flags of a write that can wait until it is in force."""

    wait: Annotated[bool, Parameter(name="--wait", negative="")] = False
    """Wait until the change is in force on every node, as the node at --admin reports."""
    timeout: Annotated[float, Parameter(name="--wait-seconds")] = DEFAULT_WAIT_SECONDS
    """Timeout of --wait."""


def make_waiter(admin: AdminAccess | None, wait: WaitFlags | None) -> Waiter | None:
    """Return the waiter, or None without --wait.

    Call it before the write, so that an invalid flag prevents the write.
    """
    flags = wait or WaitFlags()
    return (make_admin_client(admin), flags.timeout) if flags.wait else None


async def report_in_force(accepted: AcceptedWrite, waiter: Waiter | None) -> None:
    """Wait until a write is in force on every member and print it; raises NotInForceError."""
    if waiter is None:
        return
    client, seconds = waiter
    answer = await wait_in_force(client, accepted.revision, seconds)
    write_line(f"in force on every node ({answer['members_in_force']})")


async def wait_in_force(client: AdminClient, revision: int, seconds: float) -> Answer:
    """Poll until a revision is in force on every member; raises NotInForceError."""
    missing: list[str] = []
    try:
        async with asyncio.timeout(seconds):
            while True:
                answer = await client.get("/v1/in-force", {"revision": str(revision)})
                if answer["everywhere"]:
                    return answer
                missing = answer["not_in_force"]
                await asyncio.sleep(POLL_INTERVAL_SECONDS)
    except TimeoutError:
        raise NotInForceError(revision, seconds, missing) from None
