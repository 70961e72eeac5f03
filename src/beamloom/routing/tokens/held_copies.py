"""Copies of opening packets that wait until other nodes have said who forwarded the original."""

from __future__ import annotations

from collections.abc import Collection, Iterable

from beamloom.routing.tokens.packets import ClientPacket

ANSWER_SECONDS = 0.06
"""How long a copy waits for answers of nodes that may have failed: a few round trips."""
MAXIMUM_HELD = 16
"""Bounds the messages that anybody who sends copies of unknown flows can cause."""


class _HeldCopy:
    """A copy, when it is due at the latest, and the hosts whose answers are missing."""

    __slots__ = ("due_at", "missing", "packet")

    def __init__(self, packet: ClientPacket, due_at: float) -> None:
        self.packet = packet
        self.due_at = due_at
        self.missing: set[str] | None = None


class HeldCopies:
    """At most MAXIMUM_HELD copies, by flow; times are in seconds."""

    def __init__(self) -> None:
        self._copies: dict[bytes, _HeldCopy] = {}

    def hold(self, packet: ClientPacket, now: float) -> bool:
        """Hold a copy; return False if too many are held."""
        if packet.flow not in self._copies and len(self._copies) >= MAXIMUM_HELD:
            return False
        self._copies[packet.flow] = _HeldCopy(packet, now + ANSWER_SECONDS)
        return True

    def unasked_flows(self) -> list[bytes]:
        """Return the flows that no node was asked about yet."""
        return [flow for flow, held in self._copies.items() if held.missing is None]

    def note_asked(self, flows: Iterable[bytes], hosts: Collection[str]) -> None:
        """Record which nodes were asked about flows."""
        for flow in flows:
            self._copies[flow].missing = set(hosts)

    def note_unknown(self, flow: bytes, host: str) -> ClientPacket | None:
        """Record that a node has not forwarded an original.

        Returns the copy if no answer is missing any more.
        """
        held = self._copies.get(flow)
        if held is None or held.missing is None or host not in held.missing:
            return None
        held.missing.discard(host)
        return None if held.missing else self.take(flow)

    def take(self, flow: bytes) -> ClientPacket | None:
        """Remove and return the copy of a flow, or return None."""
        held = self._copies.pop(flow, None)
        return None if held is None else held.packet

    def take_due(self, now: float) -> list[ClientPacket]:
        """Remove and return the copies that have waited for ANSWER_SECONDS."""
        due = [flow for flow, held in self._copies.items() if held.due_at <= now]
        return [self._copies.pop(flow).packet for flow in due]

    def next_deadline(self) -> float | None:
        """Return when the next copy is due, or None."""
        return min((held.due_at for held in self._copies.values()), default=None)
