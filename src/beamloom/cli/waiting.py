"""Waiting until an accepted write is in force on every node, as the nodes themselves say."""

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
PAUSE_SECONDS = 0.1

Waiter = tuple[AdminClient, float]
"""Whom to ask whether a write is in force, and for how many seconds."""


@Parameter(name="*")
@dataclass(frozen=True, slots=True)
class WaitFlags:
    """Flags of a write that can wait until it is in force."""

    wait: Annotated[bool, Parameter(name="--wait", negative="")] = False
    """Wait until the change is in force on every node, as --admin tells."""
    timeout: Annotated[float, Parameter(name="--wait-seconds")] = DEFAULT_WAIT_SECONDS
    """How long to wait."""


def make_waiter(admin: AdminAccess | None, wait: WaitFlags | None) -> Waiter | None:
    """Return the waiter, or None without --wait; made before the write: a bad flag stops it."""
    flags = wait or WaitFlags()
    return (make_admin_client(admin), flags.timeout) if flags.wait else None


async def tell_in_force(accepted: AcceptedWrite, waiter: Waiter | None) -> None:
    """Say that a write is in force once every member said so; raises NotInForceError."""
    if waiter is None:
        return
    client, seconds = waiter
    answer = await wait_in_force(client, accepted.revision, seconds)
    write_line(f"in force on every node ({answer['members_in_force']})")


async def wait_in_force(client: AdminClient, revision: int, seconds: float) -> Answer:
    """Return once a revision is in force on every member; raises NotInForceError."""
    missing: list[str] = []
    try:
        async with asyncio.timeout(seconds):
            while True:
                answer = await client.get("/v1/in-force", {"revision": str(revision)})
                if answer["everywhere"]:
                    return answer
                missing = answer["not_in_force"]
                await asyncio.sleep(PAUSE_SECONDS)
    except TimeoutError:
        raise NotInForceError(revision, seconds, missing) from None
