"""The decision core of one balancer: it joins the components and owns no I/O of its own.

See docs/design/core.md for how an adapter drives it.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field

from beamloom.node.errors import UnknownEventError
from beamloom.protocol.codec import KeyRing, decode_datagram, encode_datagram
from beamloom.protocol.commands import (
    Command,
    ListStore,
    SendControl,
    SendMessage,
    StopNode,
    WatchStore,
)
from beamloom.protocol.errors import ProtocolError
from beamloom.protocol.events import (
    ControlDatagramReceived,
    Event,
    StopRequested,
    StoreChanged,
    StoredObject,
    StoreFailed,
    StoreListed,
    TimerExpired,
)
from beamloom.routing.forwarder import Forwarder
from beamloom.settings.configuration import Configuration
from beamloom.world.addresses import SocketAddress
from beamloom.world.machines import Machine, Member, MemberState

STORE_RETRY_SECONDS = 1.0
LIST_REQUEST = 1
WATCH_REQUEST = 2


@dataclass(frozen=True, slots=True)
class NodeOptions:
    """What a node is told at start: who it is, whom it knows, its keys and its gateways."""

    machine: Machine
    peers: tuple[Machine, ...]
    fleet_keys: KeyRing
    hash_key: bytes
    gateways: tuple[SocketAddress, ...]


@dataclass(slots=True)
class _StoreReading:
    """Where this node stands with the platform's store."""

    listed: bool = False
    retry_at: float | None = None
    revision: int = 0
    problems: Counter[str] = field(default_factory=Counter)


class NodeCore:
    """One balancer without sockets or clock: events in, commands out."""

    def __init__(self, options: NodeOptions) -> None:
        self.options = options
        self.configuration = Configuration()
        self.forwarder = Forwarder(options.machine, options.hash_key, options.gateways)
        self.counters: Counter[str] = Counter()
        self._sequence = 0
        self._store = _StoreReading()
        self._members = tuple(
            Member(machine, MemberState.ALIVE, 0) for machine in (options.machine, *options.peers)
        )

    # -- the adapter's calls -------------------------------------------------------------------

    def start(self, now: float) -> list[Command]:
        """Begin: returns the first commands."""
        self.forwarder.update_members(self._members, now)
        return [ListStore(LIST_REQUEST)]

    def packet_received(
        self, data: bytes, source: SocketAddress, from_peer: bool, now: float
    ) -> SocketAddress | None:
        """Return where to send the same bytes, or None; see docs/design/core.md."""
        return self.forwarder.forward(data, source, from_peer, now)

    @property
    def has_commands(self) -> bool:
        """Whether `take_commands` would return anything after `packet_received`."""
        return self.forwarder.has_commands

    def take_commands(self, now: float) -> list[Command]:
        """Return and clear the commands that packets gave rise to."""
        return self._encoded(self.forwarder.take_commands(), now)

    def handle(self, event: Event, now: float) -> list[Command]:
        """Take one event; raises UnknownEventError for what is not in protocol/events.py."""
        match event:
            case TimerExpired():
                commands = self._poll(now)
            case ControlDatagramReceived(data):
                commands = self._control_received(data, now)
            case StoreListed(_, revision, objects):
                commands = self._store_listed(revision, objects, now)
            case StoreChanged(_, revision, changes):
                commands = self._store_changed(revision, changes)
            case StoreFailed():
                commands = self._store_failed(now)
            case StopRequested():
                commands = [StopNode(complete=True, reason="stop requested")]
            case _:
                raise UnknownEventError(event)
        return self._encoded(commands, now)

    def next_timer(self) -> float | None:
        """Return when `TimerExpired` is wanted."""
        times = [self.forwarder.next_timer(), self._store.retry_at]
        return min((time for time in times if time is not None), default=None)

    @property
    def ready(self) -> bool:
        """Whether this node has a configuration in force."""
        return self._store.listed

    # -- events --------------------------------------------------------------------------------

    def _poll(self, now: float) -> list[Command]:
        commands = self.forwarder.poll(now)
        if self._store.retry_at is not None and self._store.retry_at <= now:
            self._store.retry_at = None
            commands.append(self._next_store_command())
        return commands

    def _next_store_command(self) -> Command:
        if self._store.listed:
            return WatchStore(WATCH_REQUEST, self._store.revision)
        return ListStore(LIST_REQUEST)

    def _control_received(self, data: bytes, now: float) -> list[Command]:
        try:
            envelope = decode_datagram(self.options.fleet_keys, data)
            commands: list[Command] = []
            for message in envelope.messages:
                commands.extend(self.forwarder.handle_message(envelope.sender, message, now))
        except ProtocolError as error:
            self.counters[f"control_{error.reason}"] += 1
            return []
        return commands

    def _store_listed(
        self, revision: int, objects: Sequence[StoredObject], now: float
    ) -> list[Command]:
        self._store.listed = True
        self._store.revision = revision
        self._apply(sorted(objects, key=lambda item: item.revision))
        return [WatchStore(WATCH_REQUEST, revision)]

    def _store_changed(self, revision: int, changes: Sequence[StoredObject]) -> list[Command]:
        self._apply([change for change in changes if change.revision > self._store.revision])
        self._store.revision = max(revision, self._store.revision)
        return []

    def _store_failed(self, now: float) -> list[Command]:
        self.counters["store_failed"] += 1
        self._store.retry_at = now + STORE_RETRY_SECONDS
        return []

    def _apply(self, changes: Sequence[StoredObject]) -> None:
        for change in changes:
            delta = self.configuration.apply(change)
            removed = [service.service_number for service in delta.services_removed]
            self.forwarder.update_services(delta.services_changed, removed)

    # -- encoding ------------------------------------------------------------------------------

    def _encoded(self, commands: Sequence[Command], now: float) -> list[Command]:
        return [
            self._encode(command, now) if isinstance(command, SendMessage) else command
            for command in commands
        ]

    def _encode(self, command: SendMessage, now: float) -> Command:
        self._sequence += 1
        address = next(
            member.machine.control_address
            for member in self._members
            if member.machine.node_id == command.destination
        )
        machine = self.options.machine
        data = encode_datagram(
            self.options.fleet_keys,
            machine.node_id,
            self._sequence,
            int(now * 1000),
            [command.message],
        )
        return SendControl(address, data)
