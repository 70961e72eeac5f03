"""Cores that violate one invariant each, for the tests of the oracle."""

from __future__ import annotations

from dataclasses import replace

from beamloom.model.addresses import SocketAddress
from beamloom.model.contracts import BackendAdministrativeState, ServiceContract
from beamloom.node.core import NodeCore
from beamloom.node.options import NodeOptions
from beamloom.protocol.commands import Command, LocalSocket, SendPacket
from beamloom.protocol.events import (
    ControlDatagramReceived,
    Event,
    StoreChanged,
)
from beamloom.standins.application import (
    Answer,
    AnswerStatus,
    ApplicationError,
    FrameDecoder,
    decode_answer,
    frame,
)
from beamloom.standins.packets import SYN, Packet, build_packet, parse_packet

CORRECT_SECONDS = 13.0
"""Seconds from a core's start during which it behaves correctly."""


class BrokenCore(NodeCore):
    """Behaves correctly for `CORRECT_SECONDS`, so that flows are established."""

    def __init__(self, options: NodeOptions, now: float) -> None:
        super().__init__(options, now)
        self._started_at: float | None = None

    def start(self, now: float) -> list[Command]:
        self._started_at = now
        return super().start(now)

    def broken(self, now: float) -> bool:
        return self._started_at is not None and now > self._started_at + CORRECT_SECONDS

    def contract_of(self, data: bytes) -> ServiceContract | None:
        """Return the service to which a client sent a packet, or None."""
        packet = parse_packet(data)
        for contract in self.configuration.configuration.services.values():
            address = contract.virtual_address
            if (address.ip, address.port) == packet.destination:
                return contract
        return None


class MovesFlows(BrokenCore):
    """Sends packets of an established flow to another backend of the service."""

    def packet_received(
        self, data: bytes, source: SocketAddress, from_peer: bool, now: float
    ) -> SocketAddress | None:
        destination = super().packet_received(data, source, from_peer, now)
        contract = self.contract_of(data)
        if not self.broken(now) or contract is None or parse_packet(data).has(SYN):
            return destination
        return contract.backends[0].data_address


class MixesServices(BrokenCore):
    """Sends packets of one service to a backend of another."""

    def packet_received(
        self, data: bytes, source: SocketAddress, from_peer: bool, now: float
    ) -> SocketAddress | None:
        destination = super().packet_received(data, source, from_peer, now)
        contract = self.contract_of(data)
        if not self.broken(now) or contract is None:
            return destination
        others = [
            item
            for item in self.configuration.configuration.services.values()
            if item is not contract
        ]
        return others[0].backends[0].data_address


class TruncatesAnswers(BrokenCore):
    """Drops every answer of more than 1000 bytes."""

    def packet_received(
        self, data: bytes, source: SocketAddress, from_peer: bool, now: float
    ) -> SocketAddress | None:
        if self.broken(now) and self.contract_of(data) is None and len(data) > 1000:
            return None
        return super().packet_received(data, source, from_peer, now)


class ReportsRunsAsRefused(BrokenCore):
    """Replaces the answer to an executed request by a refusal."""

    def packet_received(
        self, data: bytes, source: SocketAddress, from_peer: bool, now: float
    ) -> SocketAddress | None:
        destination = super().packet_received(data, source, from_peer, now)
        if destination is None or not self.broken(now) or self.contract_of(data) is not None:
            return destination
        refusal = self._refusal(parse_packet(data))
        if refusal is not None:
            self.refusals.append((destination, refusal))
            return None
        return destination

    def __init__(self, options: NodeOptions, now: float) -> None:
        super().__init__(options, now)
        self.refusals: list[tuple[SocketAddress, bytes]] = []

    @property
    def has_commands(self) -> bool:
        return bool(self.refusals) or super().has_commands

    def take_commands(self, now: float) -> list[Command]:
        refusals, self.refusals = self.refusals, []
        sent = [SendPacket(LocalSocket.DATA, address, data) for address, data in refusals]
        return [*sent, *super().take_commands(now)]

    @staticmethod
    def _refusal(packet: Packet) -> bytes | None:
        try:
            frames = FrameDecoder().feed(packet.payload)
        except ApplicationError:
            return None
        if not frames:
            return None
        answer = decode_answer(frames[0])
        refused = Answer(answer.request_id, answer.backend_id, AnswerStatus.REFUSED)
        return build_packet(replace(packet, payload=frame(refused)))


class DuplicatesRequests(BrokenCore):
    """Sends each datagram to every backend."""

    def __init__(self, options: NodeOptions, now: float) -> None:
        super().__init__(options, now)
        self._copies: list[Command] = []

    def packet_received(
        self, data: bytes, source: SocketAddress, from_peer: bool, now: float
    ) -> SocketAddress | None:
        destination = super().packet_received(data, source, from_peer, now)
        contract = self.contract_of(data)
        if contract is not None and not from_peer:
            self._copies += [
                SendPacket(LocalSocket.DATA, backend.data_address, data)
                for backend in contract.backends
            ]
        return destination

    @property
    def has_commands(self) -> bool:
        return bool(self._copies) or super().has_commands

    def take_commands(self, now: float) -> list[Command]:
        copies, self._copies = self._copies, []
        return [*copies, *super().take_commands(now)]


class IgnoresDrains(BrokenCore):
    """Treats draining backends as active ones."""

    def handle(self, event: Event, now: float) -> list[Command]:
        if isinstance(event, StoreChanged):
            changes = tuple(
                replace(change, value={**change.value, "state": "active"})
                if change.key.startswith("backend/") and change.value
                else change
                for change in event.changes
            )
            event = replace(event, changes=changes)
        return super().handle(event, now)


class CutsOnDrain(BrokenCore):
    """Drops all packets from and to a draining backend."""

    def packet_received(
        self, data: bytes, source: SocketAddress, from_peer: bool, now: float
    ) -> SocketAddress | None:
        destination = super().packet_received(data, source, from_peer, now)
        draining = {
            backend.data_address
            for contract in self.configuration.configuration.services.values()
            for backend in contract.backends
            if backend.state is BackendAdministrativeState.DRAINING
        }
        return None if destination in draining or source in draining else destination


class IgnoresChanges(BrokenCore):
    """Ignores later changes of the configuration."""

    def handle(self, event: Event, now: float) -> list[Command]:
        ignored = self.broken(now) and isinstance(event, StoreChanged | ControlDatagramReceived)
        return [] if ignored else super().handle(event, now)


class ReportsOlderRevision(BrokenCore):
    """Reports a lower revision in force than before."""

    _reported: int | None = None

    def handle(self, event: Event, now: float) -> list[Command]:
        if self._reported is None and self.broken(now):
            self._reported = self.revision_in_force - 1
        return super().handle(event, now)

    @property
    def revision_in_force(self) -> int:
        return super().revision_in_force if self._reported is None else self._reported
