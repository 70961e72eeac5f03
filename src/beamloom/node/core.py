"""The decision core of one balancer, which connects its components and performs no I/O.

See docs/design/core.md for how an adapter drives it.
"""

from __future__ import annotations

import itertools
import random
from collections.abc import Sequence

from beamloom.admission.limits import TenantAdmission
from beamloom.membership.core import MembershipCore
from beamloom.model.addresses import SocketAddress
from beamloom.model.machines import MemberState, NodeId
from beamloom.node.configuration_follower import ConfigurationFollower
from beamloom.node.control_channel import ControlChannel
from beamloom.node.errors import UnknownEventError
from beamloom.node.options import NodeOptions
from beamloom.node.routing_hooks import ObservedHealth, PacketMetering, RefusalPackets, TenantGate
from beamloom.node.timers import ComponentGroup, ComponentTimers
from beamloom.protocol.commands import Command, StopNode
from beamloom.protocol.events import (
    BackendChecked,
    ControlDatagramReceived,
    Event,
    MachinesListed,
    StopRequested,
    StoreAnswer,
    TimerExpired,
)
from beamloom.replication.backend_status.watchers import BackendWatchers
from beamloom.replication.configuration_replica import ConfigurationReplica
from beamloom.replication.fleet_status import FleetStatus
from beamloom.replication.reader_election import ReaderElection
from beamloom.routing.forwarder import Forwarder
from beamloom.routing.hooks import RoutingHooks
from beamloom.settings.configuration_changes import ConfigurationDelta

MEMBERSHIP_KINDS = (range(1, 20), range(0))
CONFIGURATION_KINDS = (range(20, 40), range(60, 64))
FLOW_KINDS = (range(40, 60), range(0))
BACKEND_KINDS = (range(64, 70), range(0))
"""Kind numbers of the messages that each component group handles; see docs/design/core.md."""


class NodeCore:
    """One balancer without sockets or a clock: it turns events into commands."""

    def __init__(self, options: NodeOptions, now: float) -> None:
        self.options = options
        machine = options.machine
        node_id = machine.node_id
        rng = random.Random(f"{options.seed}/{node_id}")
        self.membership = MembershipCore(machine, options.seeds, options.membership, rng)
        self.replica = ConfigurationReplica(node_id, rng, now)
        self.election = ReaderElection(node_id, self.replica, rng, itertools.count(1))
        self.fleet_status = FleetStatus(node_id, lambda: self.replica.applied_revision, rng, now)
        self.watchers = BackendWatchers(node_id, rng, now)
        self.admission = TenantAdmission(options.table_capacity, now)
        self.gate = TenantGate(self.admission)
        self._health = ObservedHealth(self.watchers, now)
        self._metering = PacketMetering(self.admission)
        hooks = RoutingHooks(self.gate, RefusalPackets(), self._health)
        self.forwarder = Forwarder(machine, options.hash_key, options.gateways, hooks)
        self.channel = ControlChannel(
            node_id,
            options.fleet_keys,
            self._control_address,
            now,
            options.control_bytes_per_second,
        )
        self._follower = ConfigurationFollower(self.replica)
        configuration = (self.election, self.replica, self.fleet_status)
        self._configuration_group = ComponentGroup(configuration, *CONFIGURATION_KINDS)
        self._membership_group = ComponentGroup((self.membership,), *MEMBERSHIP_KINDS)
        self._watchers_group = ComponentGroup((self.watchers,), *BACKEND_KINDS)
        self._forwarder_group = ComponentGroup((self.forwarder,), *FLOW_KINDS)
        self._timers = ComponentTimers(
            (
                self._configuration_group,
                self._membership_group,
                self._watchers_group,
                self._forwarder_group,
            )
        )
        self._view_version = -1
        self._stop_deadline: float | None = None
        self._stopped = False

    # -- the adapter's calls -------------------------------------------------------------------

    def start(self, now: float) -> list[Command]:
        """Start the node and return its first commands."""
        self._timers.invalidate_all()
        return self._finish(self.membership.start(now), now)

    def packet_received(
        self, data: bytes, source: SocketAddress, from_peer: bool, now: float
    ) -> SocketAddress | None:
        """Return where to forward the same bytes; None if there is nothing to forward.

        A packet that must be changed is sent by a command: see `take_commands`.
        """
        return self.forwarder.forward(data, source, from_peer, now)

    @property
    def has_commands(self) -> bool:
        """Whether to call `take_commands` and read `next_timer` after `packet_received`."""
        return self.forwarder.has_commands

    def take_commands(self, now: float) -> list[Command]:
        """Return and clear the commands that packets caused."""
        self._forwarder_group.invalidate()
        self._watchers_group.invalidate()
        return self.channel.send(self.forwarder.take_commands(), now)

    def handle(self, event: Event, now: float) -> list[Command]:
        """Handle one event; raises UnknownEventError for an event of an unknown type."""
        return self._finish(self._dispatch(event, now), now)

    def next_timer(self) -> float | None:
        """Return when to deliver the next `TimerExpired`, or None."""
        times = [self._timers.next_timer(), self.channel.next_timer()]
        if not self._stopped:
            times.append(self._stop_deadline)
        return min((time for time in times if time is not None), default=None)

    # -- state for adapters and operators ------------------------------------------------------

    @property
    def configuration(self) -> ConfigurationFollower:
        """The follower that holds the compiled configuration in force."""
        return self._follower

    @property
    def revision_in_force(self) -> int:
        """The store revision up to which every change is in force at this node."""
        return self.replica.applied_revision

    @property
    def ready(self) -> bool:
        """Whether packets may be sent to this node: it is configured and was not asked to stop."""
        return self.replica.ready and self._stop_deadline is None

    def query_in_force(self, revision: int, now: float) -> list[Command]:
        """Start to collect where a revision is in force; the result is `fleet_status.in_force`."""
        self._configuration_group.invalidate()
        return self._finish(self.fleet_status.ask(revision, now), now)

    # -- events --------------------------------------------------------------------------------

    def _dispatch(self, event: Event, now: float) -> list[Command]:
        match event:
            case TimerExpired():
                return self._poll(now)
            case ControlDatagramReceived(data):
                return self._control_received(data, now)
            case MachinesListed(live, leaving):
                self._membership_group.invalidate()
                return self.membership.machines_listed(live, leaving, now)
            case BackendChecked():
                self._watchers_group.invalidate()
                return self.watchers.backend_checked(event, now)
            case StopRequested():
                return self._begin_stop(now)
            case StoreAnswer():
                self._configuration_group.invalidate()
                return self.election.handle(event, now)
            case _:
                raise UnknownEventError(event)

    def _poll(self, now: float) -> list[Command]:
        self._health.now = now
        commands = self._metering.poll(self.forwarder.routes.meters, now)
        commands.extend(self._timers.poll(now))
        return commands

    def _control_received(self, data: bytes, now: float) -> list[Command]:
        envelope = self.channel.receive(data)
        if envelope is None:
            return []
        commands: list[Command] = []
        for message in envelope.messages:
            commands.extend(self._timers.handle_message(envelope.sender, message, now))
        return commands

    def _begin_stop(self, now: float) -> list[Command]:
        if self._stop_deadline is not None:
            return []
        self._stop_deadline = now + self.options.stop_timeout
        self._timers.invalidate_all()
        self.forwarder.begin_leave(now)
        return self.membership.leave(now)

    # -- after each event ----------------------------------------------------------------------

    def _finish(self, commands: Sequence[Command], now: float) -> list[Command]:
        """Pass changes of one component to the others, then pace the messages."""
        all_commands = list(commands)
        all_commands.extend(self._apply_configuration_changes(now))
        all_commands.extend(self._apply_member_changes(now))
        all_commands.extend(self._complete_stop(now))
        return self.channel.send(all_commands, now)

    def _apply_member_changes(self, now: float) -> list[Command]:
        view = self.membership.view
        if view.version == self._view_version:
            return []
        self._view_version = view.version
        self._timers.invalidate_all()
        members = [view.members[node_id] for node_id in sorted(view.members)]
        answering = [member for member in members if member.is_reachable]
        self.replica.update_members(answering, now)
        self.fleet_status.update_members(answering, now)
        self.watchers.update_members(answering, now)
        self.forwarder.update_members(answering, now)
        homes = sum(member.may_be_home for member in answering)
        self.admission.update_share(1.0 / max(1, homes), homes, now)
        return self.election.update_members(answering, now)

    def _apply_configuration_changes(self, now: float) -> list[Command]:
        delta = self._follower.catch_up()
        if delta is not None:
            self._apply_configuration_delta(delta, now)
        own = self.membership.view.member(self.options.machine.node_id)
        if self.replica.ready and own is not None and own.state is MemberState.JOINING:
            self._membership_group.invalidate()
            return self.membership.become_alive(now)
        return []

    def _apply_configuration_delta(self, delta: ConfigurationDelta, now: float) -> None:
        self._timers.invalidate_all()
        configuration = self._follower.configuration
        if delta.tenants_changed or delta.tenants_removed:
            self.admission.update_contracts(configuration.tenants.values(), now)
        if delta.services_changed or delta.services_removed:
            self.watchers.update_backends(configuration.services.values(), now)
        removed = delta.services_removed
        self.gate.forget_services(service.service_id for service in removed)
        removed_numbers = [service.service_number for service in removed]
        self.forwarder.update_services(delta.services_changed, removed_numbers, now)
        self.fleet_status.revision_applied(now)

    def _complete_stop(self, now: float) -> list[Command]:
        if self._stop_deadline is None or self._stopped:
            return []
        complete = self.forwarder.leave_complete
        if not complete and now < self._stop_deadline:
            return []
        self._stopped = True
        self._timers.invalidate_all()
        reason = "every flow was handed over" if complete else "the stop timeout expired"
        return [*self.membership.leave_complete(now), StopNode(complete, reason)]

    def _control_address(self, node_id: NodeId) -> SocketAddress | None:
        member = self.membership.view.member(node_id)
        return None if member is None else member.machine.control_address
