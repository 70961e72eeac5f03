"""Registers this machine in the platform's list and delivers that list to the core.

The list is only a hint: failures are counted and retried at the next update, and the node continues
without it.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Protocol

import structlog

from beamloom.model.machines import Machine, NodeId
from beamloom.object_api.errors import MachineNotRegisteredError, PlatformError
from beamloom.object_api.wire import MachineListing
from beamloom.protocol.events import Event, MachinesListed

UPDATE_INTERVAL_SECONDS = 5.0


class MachineClient(Protocol):
    """The methods of the platform's client that `MachineList` uses."""

    async def list_machines(self) -> MachineListing:
        """Return the list, which may be out of date."""

    async def register_machine(self, machine: Machine) -> None:
        """Register a machine."""

    async def heartbeat_machine(self, node_id: NodeId) -> None:
        """Send a machine's heartbeat."""

    async def leave_machine(self, node_id: NodeId) -> None:
        """Report that a machine is leaving."""


class MachineList:
    """Registers the machine, then sends a heartbeat and reads the list once per interval.

    `last_failure` is the reason why the latest request failed, or None if it succeeded.
    """

    def __init__(
        self,
        client: MachineClient,
        machine: Machine,
        deliver: Callable[[Event], None],
        interval_seconds: float = UPDATE_INTERVAL_SECONDS,
    ) -> None:
        self.counters: Counter[str] = Counter()
        self.last_failure: str | None = None
        self._client = client
        self._machine = machine
        self._deliver = deliver
        self._interval_seconds = interval_seconds
        self._registered = False
        self._state = "unknown"
        self._log = structlog.get_logger().bind(node=machine.node_id)

    async def run(self) -> None:
        """Update once per interval until cancelled."""
        while True:
            await self.update()
            await asyncio.sleep(self._interval_seconds)

    async def update(self) -> None:
        """Register or send a heartbeat, then deliver the list; failures are counted."""
        if await self._attempt("report", self._report):
            await self._attempt("list", self._list)

    async def leave(self) -> None:
        """Report that this machine is leaving; a failure is counted, and the entry expires."""
        if self._registered:
            await self._attempt("leave", lambda: self._client.leave_machine(self._machine.node_id))

    async def _report(self) -> None:
        if self._registered:
            try:
                await self._client.heartbeat_machine(self._machine.node_id)
                return
            except MachineNotRegisteredError:
                self.counters["registered_again"] += 1
        await self._client.register_machine(self._machine)
        self._registered = True

    async def _list(self) -> None:
        listing = await self._client.list_machines()
        self._deliver(MachinesListed(listing.live, listing.leaving))

    async def _attempt(self, name: str, action: Callable[[], Awaitable[None]]) -> bool:
        try:
            await action()
        except PlatformError as error:
            self.counters[f"{name}_failed"] += 1
            self._log_reachability(str(error))
            return False
        self.counters[f"{name}_done"] += 1
        self._log_reachability(None)
        return True

    def _log_reachability(self, failure: str | None) -> None:
        """Log each change between reachable and unreachable."""
        self.last_failure = failure
        before, after = self._state, "reachable" if failure is None else "unreachable"
        if before == after:
            return
        self._state = after
        reason = failure or "the platform answers"
        self._log.info(
            "state_changed", subject="platform", before=before, after=after, reason=reason
        )
