"""Hollow nodes: whole cores on the simulator's clock and network, with meters round their calls."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from beamloom.bench.scale_samples import DatagramSamples
from beamloom.model.addresses import SocketAddress
from beamloom.model.machines import Machine, MemberState
from beamloom.node.core import NodeCore
from beamloom.protocol.commands import Command, SendControl
from beamloom.protocol.events import ControlDatagramReceived, Event, TimerExpired
from beamloom.protocol.membership_messages import MAXIMUM_UPDATES, MemberUpdate, StatePage
from beamloom.replication.configuration_state import ConfigurationState
from beamloom.simulation.node_adapter import SimulatedNode

UDP_AND_IP_HEADER = 28
"""Bytes that each datagram costs besides its payload, as the control budget counts them."""
NANOSECONDS = 1_000_000_000
ESTABLISHED_SECONDS = 3_600.0


@dataclass(slots=True)
class NodeMeter:
    """What one node has spent since the last reset; bytes include UDP and IP headers."""

    control_ns: int = 0
    packet_ns: int = 0
    packets: int = 0
    timers: int = 0
    sent_datagrams: int = 0
    received_datagrams: int = 0
    sent_by_second: Counter[int] = field(default_factory=Counter)
    received_by_second: Counter[int] = field(default_factory=Counter)

    def reset(self) -> None:
        """Count anew from zero."""
        self.control_ns = self.packet_ns = self.packets = self.timers = 0
        self.sent_datagrams = self.received_datagrams = 0
        self.sent_by_second.clear()
        self.received_by_second.clear()


class MeteredCore:
    """A core whose calls are timed by the processor time of this thread."""

    def __init__(self, core: NodeCore, samples: DatagramSamples) -> None:
        self.core = core
        self.meter = NodeMeter()
        self._samples = samples

    @property
    def revision_in_force(self) -> int:
        """The core's revision in force."""
        return self.core.revision_in_force

    @property
    def ready(self) -> bool:
        """Whether the core is ready."""
        return self.core.ready

    @property
    def has_commands(self) -> bool:
        """Whether packets gave rise to commands."""
        return self.core.has_commands

    def start(self, now: float) -> list[Command]:
        """Begin."""
        return self.core.start(now)

    def packet_received(
        self, data: bytes, source: SocketAddress, from_peer: bool, now: float
    ) -> SocketAddress | None:
        """Take a packet; its time counts as that of packets."""
        before = time.thread_time_ns()
        address = self.core.packet_received(data, source, from_peer, now)
        self.meter.packet_ns += time.thread_time_ns() - before
        self.meter.packets += 1
        return address

    def take_commands(self, now: float) -> list[Command]:
        """Return the commands that packets gave rise to; its time counts as control."""
        before = time.thread_time_ns()
        commands = self.core.take_commands(now)
        self.meter.control_ns += time.thread_time_ns() - before
        return self._note_sent(commands, now)

    def handle(self, event: Event, now: float) -> list[Command]:
        """Take an event; its time counts as control."""
        if isinstance(event, ControlDatagramReceived):
            self.meter.received_datagrams += 1
            size = len(event.data) + UDP_AND_IP_HEADER
            self.meter.received_by_second[int(now)] += size
        elif isinstance(event, TimerExpired):
            self.meter.timers += 1
        before = time.thread_time_ns()
        commands = self.core.handle(event, now)
        self.meter.control_ns += time.thread_time_ns() - before
        return self._note_sent(commands, now)

    def next_timer(self) -> float | None:
        """Return when the core wants its timer; its time counts as control."""
        before = time.thread_time_ns()
        wanted = self.core.next_timer()
        self.meter.control_ns += time.thread_time_ns() - before
        return wanted

    def _note_sent(self, commands: list[Command], now: float) -> list[Command]:
        for command in commands:
            if isinstance(command, SendControl):
                self.meter.sent_datagrams += 1
                size = len(command.data) + UDP_AND_IP_HEADER
                self.meter.sent_by_second[int(now)] += size
                self._samples.note(command.data)
        return commands


class HollowNode(SimulatedNode):
    """A simulated node that is handed the packets of its share of flows without a network."""

    core: MeteredCore

    def handle_timer(self) -> None:
        """Let the core do what is due and arm its timer."""
        self.handle(TimerExpired())

    def take_packet(self, data: bytes, source: SocketAddress, *, from_peer: bool) -> None:
        """Take a packet from another node or from the fabric."""
        if self.stopped or not self.host.running:
            return
        now = self.local_clock.now
        self.core.packet_received(data, source, from_peer, now)
        if self.core.has_commands:
            self._execute(self.core.take_commands(now))


def start_established(
    core: NodeCore, members: Iterable[Machine], state: ConfigurationState, now: float
) -> None:
    """Bring a started core to where it would be in a fleet that has run for long.

    It is told of all members as alive, has the configuration, and owns its partitions.
    """
    own = core.options.machine.node_id
    updates = [
        MemberUpdate(item.node_id, MemberState.ALIVE, 0, None, item).encode()
        for item in members
        if item.node_id != own
    ]
    for first in range(0, len(updates), MAXIMUM_UPDATES):
        page = StatePage("", "", updates[first : first + MAXIMUM_UPDATES])
        core.membership.handle_message(own, page, now)
    # No message brings a whole fleet up at once, so two private fields are set here.
    core.replica._applied.load(_copied(state))
    core.replica.accept_listing(state.revision, (), now)
    core.forwarder.ownership._started_at = now - ESTABLISHED_SECONDS
    core.handle(TimerExpired(), now)


def _copied(state: ConfigurationState) -> ConfigurationState:
    """Return a state of its own over the same objects, which never change."""
    copied = ConfigurationState()
    copied.revision = state.revision
    copied.objects = dict(state.objects)
    copied.backend_histories = dict(state.backend_histories)
    return copied
