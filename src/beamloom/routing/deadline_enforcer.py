"""Ends TCP flows at their `request.deadline` by a reset to each side."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from beamloom.model.addresses import SocketAddress
from beamloom.protocol.commands import Command, LocalSocket, SendPacket
from beamloom.routing.deadlines import TICK_SECONDS
from beamloom.routing.flow_deadlines import FlowDeadline
from beamloom.routing.flow_table import FlowFlag
from beamloom.routing.home import BOTH_CLOSED, Home

ENDED_AT_DEADLINE = BOTH_CLOSED | FlowFlag.DEADLINE


class DeadlineEnforcer:
    """Ends the flows of one home at their deadline.

    `gateway` returns the address that packets for a flow's client are sent to, by flow key.
    """

    def __init__(
        self, home: Home, gateway: Callable[[int], SocketAddress], counters: Counter[str]
    ) -> None:
        self._home = home
        self._gateway = gateway
        self._counters = counters

    def has_ended(self, row: int) -> bool:
        """Whether a flow was ended at its deadline."""
        return self._home.table.flags[row] & ENDED_AT_DEADLINE == ENDED_AT_DEADLINE

    def poll(self, now: float) -> list[Command]:
        """End the flows whose deadline has passed and return the resets to send."""
        commands: list[Command] = []
        for key, flow in self._home.deadlines.due(now):
            commands.extend(self._deadline_reached(key, flow, now))
        return commands

    def _deadline_reached(self, key: int, flow: FlowDeadline, now: float) -> list[Command]:
        """End a flow, unless its service's deadline was raised or removed since it was set."""
        row = self._home.table.rows.get(key)
        route = None if row is None else self._home.routes.backends.get(self._home.backend_of(row))
        if row is None or route is None:
            return []
        allowed = route.service.deadline
        deadline = flow.began + allowed
        if allowed and deadline <= now + TICK_SECONDS:
            self._home.close(row, BOTH_CLOSED, now)
            self._counters["flows_past_deadline"] += 1
            return self.resets(key, row, flow.newest_packet)
        if not allowed or not self._home.deadlines.set(key, flow, deadline):
            self._home.table.flags[row] &= ~FlowFlag.DEADLINE & 0xFF
        return []

    def resets(self, key: int, row: int, packet: bytes) -> list[Command]:
        """Return resets for both sides, as far as they can be built from a client's packet."""
        if not packet:
            return []
        may_have_run = bool(self._home.table.flags[row] & FlowFlag.PAYLOAD_SENT)
        cancellation = self._home.hooks.refusals.cancel(packet, may_have_run)
        route = self._home.routes.backends.get(self._home.backend_of(row))
        commands: list[Command] = []
        if cancellation.to_client is not None:
            commands.append(
                SendPacket(LocalSocket.DATA, self._gateway(key), cancellation.to_client)
            )
        if cancellation.to_backend is not None and route is not None:
            commands.append(SendPacket(LocalSocket.DATA, route.address, cancellation.to_backend))
        return commands
