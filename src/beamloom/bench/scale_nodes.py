"""Nodes with real cores on the simulator's clock and network, whose calls are timed."""

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
"""Bytes of the headers of a datagram, which the control budget includes."""
NANOSECONDS = 1_000_000_000
ESTABLISHED_SECONDS = 3_600.0


@dataclass(slots=True)
class NodeMeter:
    """Processor time and traffic of a node since the last reset, with UDP and IP headers."""

    control_ns: int = 0
    packet_ns: int = 0
    packets: int = 0
    timers: int = 0
    sent_datagrams: int = 0
    received_datagrams: int = 0
    sent_by_second: Counter[int] = field(default_factory=Counter)
    received_by_second: Counter[int] = field(default_factory=Counter)

    def reset(self) -> None:
        """Set all counts to zero."""
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
        """The revision of the configuration that the core has in force."""
        return self.core.revision_in_force

    @property
    def ready(self) -> bool:
        """Whether the core is ready."""
        return self.core.ready

    @property
    def has_commands(self) -> bool:
        """Whether the core has commands from packets."""
        return self.core.has_commands

    def start(self, now: float) -> list[Command]:
        """Start the core."""
        return self.core.start(now)

    def packet_received(
        self, data: bytes, source: SocketAddress, from_peer: bool, now: float
    ) -> SocketAddress | None:
        """Pass a packet to the core; the time counts as packet time."""
        before = time.thread_time_ns()
        address = self.core.packet_received(data, source, from_peer, now)
        self.meter.packet_ns += time.thread_time_ns() - before
        self.meter.packets += 1
        return address

    def take_commands(self, now: float) -> list[Command]:
        """Return the commands from packets; the time counts as control time."""
        before = time.thread_time_ns()
        commands = self.core.take_commands(now)
        self.meter.control_ns += time.thread_time_ns() - before
        return self._note_sent(commands, now)

    def handle(self, event: Event, now: float) -> list[Command]:
        """Pass an event to the core; the time counts as control time."""
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
        """Return when the core needs its timer; the time counts as control time."""
        before = time.thread_time_ns()
        due = self.core.next_timer()
        self.meter.control_ns += time.thread_time_ns() - before
        return due

    def _note_sent(self, commands: list[Command], now: float) -> list[Command]:
        for command in commands:
            if isinstance(command, SendControl):
                self.meter.sent_datagrams += 1
                size = len(command.data) + UDP_AND_IP_HEADER
                self.meter.sent_by_second[int(now)] += size
                self._samples.note(command.data)
        return commands


class HollowNode(SimulatedNode):
    """A simulated node that receives data packets by direct calls instead of the network."""

    core: MeteredCore

    def handle_timer(self) -> None:
        """Run the due work of the core and set its timer."""
        self.handle(TimerExpired())

    def take_packet(self, data: bytes, source: SocketAddress, *, from_peer: bool) -> None:
        """Pass a packet from another node or the fabric to the core; ignored unless running."""
        if self.stopped or not self.host.running:
            return
        now = self.local_clock.now
        self.core.packet_received(data, source, from_peer, now)
        if self.core.has_commands:
            self._execute(self.core.take_commands(now))


def start_established(
    core: NodeCore, members: Iterable[Machine], state: ConfigurationState, now: float
) -> None:
    """Give a core the state of a fleet that has run for a long time.

    All members are alive, the configuration is loaded and the core owns its partitions.
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
    # No message sets this state at once, so two private fields are used.
    core.replica._applied.load(_copied(state))
    core.replica.accept_listing(state.revision, (), now)
    core.forwarder.ownership._started_at = now - ESTABLISHED_SECONDS
    core.handle(TimerExpired(), now)


def _copied(state: ConfigurationState) -> ConfigurationState:
    """Return a shallow copy; the objects are shared, as they never change."""
    copied = ConfigurationState()
    copied.revision = state.revision
    copied.objects = dict(state.objects)
    copied.backend_histories = dict(state.backend_histories)
    return copied
