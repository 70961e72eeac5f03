"""Bindings: a flow whose requests must not be repeated is first recorded at a replica holder.

The flow's packets are held back, bounded in number and bytes, until a replica holder acknowledges
the binding or all holders have timed out. See docs/design/requests.md.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from beamloom.model.machines import NodeId
from beamloom.protocol.commands import Command, SendMessage
from beamloom.protocol.flow_messages import BindFlow

RESEND_SECONDS = 0.3
HOLDER_TIMEOUT_SECONDS = 1.0
MAXIMUM_FLOWS = 4096
MAXIMUM_BYTES = 4 << 20
PACKETS_PER_FLOW = 4


@dataclass(slots=True)
class PendingBinding:
    """A binding not yet acknowledged; `holders` are the current and the remaining ones to try."""

    backend_number: int
    holders: list[NodeId]
    resend_at: float
    next_holder_at: float
    packets: list[bytes] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class ReleasedFlow:
    """A flow whose held packets may be sent."""

    key: int
    backend_number: int
    packets: tuple[bytes, ...]


class Bindings:
    """The bindings of this home that are not yet acknowledged."""

    def __init__(self) -> None:
        self._pending: dict[int, PendingBinding] = {}
        self._bytes = 0

    def __len__(self) -> int:
        return len(self._pending)

    @property
    def full(self) -> bool:
        """Whether no further flow can be held."""
        return len(self._pending) >= MAXIMUM_FLOWS or self._bytes >= MAXIMUM_BYTES

    def begin(
        self, key: int, backend_number: int, holders: Sequence[NodeId], now: float
    ) -> list[Command]:
        """Ask the first holder to record a binding; `holders` must not be empty."""
        pending = PendingBinding(
            backend_number, list(holders), now + RESEND_SECONDS, now + HOLDER_TIMEOUT_SECONDS
        )
        self.forget(key)
        self._pending[key] = pending
        return [SendMessage(pending.holders[0], BindFlow(key, backend_number))]

    def hold(self, key: int, packet: bytes) -> bool:
        """Hold a packet of a pending flow; returns whether it was within the limits."""
        pending = self._pending.get(key)
        if pending is None or len(pending.packets) >= PACKETS_PER_FLOW:
            return False
        if self._bytes + len(packet) > MAXIMUM_BYTES:
            return False
        pending.packets.append(packet)
        self._bytes += len(packet)
        return True

    def acknowledged(self, key: int, backend_number: int) -> ReleasedFlow | None:
        """Complete an acknowledged binding; returns the flow whose packets may be sent."""
        pending = self._pending.get(key)
        if pending is None or pending.backend_number != backend_number:
            return None
        return self._release(key)

    def forget(self, key: int) -> None:
        """Drop a pending flow and its packets."""
        if key in self._pending:
            self._release(key)

    def _release(self, key: int) -> ReleasedFlow:
        pending = self._pending.pop(key)
        self._bytes -= sum(len(packet) for packet in pending.packets)
        return ReleasedFlow(key, pending.backend_number, tuple(pending.packets))

    def poll(self, now: float) -> tuple[list[Command], list[ReleasedFlow]]:
        """Resend or try the next holder, and release flows whose holders have all timed out."""
        commands: list[Command] = []
        released: list[ReleasedFlow] = []
        for key, pending in list(self._pending.items()):
            if pending.next_holder_at <= now:
                pending.holders.pop(0)
                pending.next_holder_at = pending.resend_at = now + HOLDER_TIMEOUT_SECONDS
                if not pending.holders:
                    released.append(self._release(key))
                    continue
            elif pending.resend_at > now:
                continue
            pending.resend_at = now + RESEND_SECONDS
            commands.append(SendMessage(pending.holders[0], BindFlow(key, pending.backend_number)))
        return commands, released
