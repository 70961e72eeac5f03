"""Keeps this machine on the platform's list and brings that list to the core.

The list is a hint: whatever fails is counted and tried again at the next turn, and the node runs
on without it.
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

TURN_SECONDS = 5.0


class MachineClient(Protocol):
    """The part of the platform's client that is needed here."""

    async def list_machines(self) -> MachineListing:
        """Return the lagging list."""

    async def register_machine(self, machine: Machine) -> None:
        """Enter a machine."""

    async def heartbeat_machine(self, node_id: NodeId) -> None:
        """Tell that a machine lives."""

    async def leave_machine(self, node_id: NodeId) -> None:
        """Tell that a machine is leaving."""


class MachineList:
    """Registers, then heartbeats and lists once per turn, until cancelled.

    `last_failure` tells why the platform did not answer the latest request, None when it did.
    """

    def __init__(
        self,
        client: MachineClient,
        machine: Machine,
        deliver: Callable[[Event], None],
        turn_seconds: float = TURN_SECONDS,
    ) -> None:
        self.counters: Counter[str] = Counter()
        self.last_failure: str | None = None
        self._client = client
        self._machine = machine
        self._deliver = deliver
        self._turn_seconds = turn_seconds
        self._registered = False
        self._state = "unknown"
        self._log = structlog.get_logger().bind(node=machine.node_id)

    async def run(self) -> None:
        """Take turns for ever; only cancellation ends it."""
        while True:
            await self.take_turn()
            await asyncio.sleep(self._turn_seconds)

    async def take_turn(self) -> None:
        """Report that this machine lives, and deliver the list; failures are counted."""
        if await self._attempt("report", self._report):
            await self._attempt("list", self._list)

    async def leave(self) -> None:
        """Report that this machine is leaving; a failure is counted, the list then expires it."""
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
        """Log a change between reachable and unreachable, once."""
        self.last_failure = failure
        before, after = self._state, "reachable" if failure is None else "unreachable"
        if before == after:
            return
        self._state = after
        reason = failure or "the platform answers"
        self._log.info(
            "state_changed", subject="platform", before=before, after=after, reason=reason
        )
