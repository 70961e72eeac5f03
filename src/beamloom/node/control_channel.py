"""The control channel: packs messages into authenticated datagrams, within a bandwidth budget."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence

from beamloom.model.addresses import SocketAddress
from beamloom.model.machines import NodeId
from beamloom.protocol.codec import Envelope, KeyRing, decode_datagram, encode_datagram
from beamloom.protocol.commands import Command, SendControl, SendMessage
from beamloom.protocol.errors import ProtocolError
from beamloom.protocol.replay import ReplayGuard
from beamloom.replication.budget import BudgetSnapshot, ControlBudget, Destination
from beamloom.units import MILLISECONDS

AddressOf = Callable[[NodeId], SocketAddress | None]


class ControlChannel:
    """Signs, numbers and paces outgoing messages; verifies incoming datagrams."""

    def __init__(
        self,
        node_id: NodeId,
        keys: KeyRing,
        address_of: AddressOf,
        now: float,
        bytes_per_second: int,
    ) -> None:
        self.counters: Counter[str] = Counter()
        self._node_id = node_id
        self._keys = keys
        self._address_of = address_of
        self._budget = ControlBudget(node_id, now, bytes_per_second)
        self._guard = ReplayGuard()
        self._sequence = 0

    def replace_keys(self, keys: KeyRing) -> None:
        """Sign and verify with other keys from now on, for a rotation without a restart."""
        self._keys = keys

    def receive(self, data: bytes) -> Envelope | None:
        """Return the messages of a datagram; None if it is invalid, which is counted by reason."""
        try:
            envelope = decode_datagram(self._keys, data)
            self._guard.check(envelope.sender, envelope.sequence)
        except ProtocolError as error:
            self.counters[error.reason] += 1
            return None
        if envelope.unknown_messages:
            self.counters["unknown_kind"] += envelope.unknown_messages
        return envelope

    def send(self, commands: Sequence[Command], now: float) -> list[Command]:
        """Queue the messages among the commands; return the rest and the datagrams now due."""
        others: list[Command] = []
        for command in commands:
            if isinstance(command, SendMessage):
                self._budget.submit(command, now)
            else:
                others.append(command)
        return [*others, *self.release(now)]

    def release(self, now: float) -> list[Command]:
        """Return the datagrams that the budget allows now."""
        commands: list[Command] = []
        for batch in self._budget.release(now):
            address = self._resolve(batch.destination)
            if address is None:
                self.counters["unknown_destination"] += len(batch.messages)
                continue
            self._sequence += 1
            data = encode_datagram(
                self._keys, self._node_id, self._sequence, int(now * MILLISECONDS), batch.messages
            )
            commands.append(SendControl(address, data))
        return commands

    def _resolve(self, destination: Destination) -> SocketAddress | None:
        if isinstance(destination, SocketAddress):
            return destination
        return self._address_of(destination)

    def next_timer(self) -> float | None:
        """Return when the budget allows the next datagram, or None."""
        return self._budget.next_timer()

    def snapshot(self) -> BudgetSnapshot:
        """Return the state and counters of the budget."""
        return self._budget.snapshot()
