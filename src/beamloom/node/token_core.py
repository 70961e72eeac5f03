"""The decision core of a token node: router, store views, reader election, view exchange.

It performs no I/O. Its driver (asyncio on sockets, or the simulator) calls the store when the
`*_schedule` objects say so, passes answers to the `*_watch` objects and the resulting changes to
`apply_*`, and sends the messages that `take_sends` returns.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Collection
from functools import partial
from typing import TYPE_CHECKING, Any

from beamloom.node.backend_failure_handler import BackendFailureHandler
from beamloom.node.evacuation_follower import EvacuationChanges, EvacuationFollower
from beamloom.node.node_observer import FROM_PEER, FROM_STORE, NodeObserver
from beamloom.node.record_orders import (
    MAXIMUM_MISSED_HEARTBEATS,
    BackendOrder,
    ConfigurationOrder,
)
from beamloom.replication.object_watch import ObjectWatch
from beamloom.replication.reader_role import ReaderRole
from beamloom.replication.retention_timer import RetentionTimer
from beamloom.replication.store_call_schedule import StoreCallSchedule
from beamloom.replication.store_call_times import StoreCallTimes
from beamloom.replication.store_view import ObjectChange, StoreView
from beamloom.routing.tokens.cold_starts import SENDERS_PER_BACKEND, ColdStartGate
from beamloom.routing.tokens.configuration_history import ConfigurationHistory
from beamloom.routing.tokens.placement import Placement, PlacementSettings
from beamloom.routing.tokens.records import BackendRecord, RoutingConfiguration
from beamloom.routing.tokens.router import TokenRouter
from beamloom.routing.tokens.token import TokenCodec
from beamloom.settings.capacity import LEAST, Capacity
from beamloom.settings.mechanisms import ALL_MECHANISMS, Mechanisms
from beamloom.settings.token_node import DEFAULT_HEARTBEAT_SECONDS, ColdStartLimits
from beamloom.telemetry.histogram import LatencyHistogram

if TYPE_CHECKING:
    from beamloom.protocol.messages import Message
    from beamloom.replication.fleet_share import FleetShare
    from beamloom.replication.view_exchange import ViewExchange
    from beamloom.replication.view_pulls import SendToHost

STALL_THRESHOLD_SECONDS = 1.0
"""Gap between calls of `advance` above which the process counts as stalled.

The age of packets and messages that are read after a stall is unknown.
"""
CONFIRMATION_TIMEOUT_SECONDS = 2.0
"""Without a confirmation of its views for this long, a node refuses flows by what it has.

Longer than a reachable store or peer takes to confirm a view.
"""
MAXIMUM_FAULTY_ROUTES_LOGGED = 20
"""Routes with unreadable terms that are logged per configuration; the counter counts all terms."""
FLOWS_MOVE_SECONDS = 2.5
"""How long after a change of the nodes routers may choose another node for a flow than shortly
before: two readiness checks, a tick, and the copies of an opening.
"""
MAXIMUM_REPORTED_OPENINGS = 30
"""How many openings fit into one datagram."""
LATE_SECONDS = 0.4
"""Gap between calls of `advance` above which this node reports no backend as silent or overdue."""

ANSWER_SHARES = {"serving": 1.0, "roles_shed": 0.25, "closed_to_peers": 0.0}
"""Share of the usual answer bytes to peers, by state of `node/own_limits.py`.

The states are literals so that a start does not import that module.
"""


class TokenCore:
    """One token node. `configuration_name` is the store object that holds the configuration.

    Zone evacuations are followed only with `evacuation_times`; `known_zones` are the zones of the
    deployment. New flows to cold backends are limited only with `cold_starts`. `capacity` is the
    machine's, as announced to peers. `heartbeat_seconds` is the interval at which backends rewrite
    their store entries. With `is_seed`, the node lists evacuations from the store at its start
    instead of waiting for its peers.
    """

    def __init__(
        self,
        zone: str,
        reader_id: str,
        configuration_name: str,
        observer: NodeObserver,
        *,
        rng: random.Random,
        times: StoreCallTimes,
        placement: PlacementSettings | None = None,
        mechanisms: Mechanisms = ALL_MECHANISMS,
        evacuation_times: StoreCallTimes | None = None,
        known_zones: Collection[str] = (),
        cold_starts: ColdStartLimits | None = None,
        capacity: Capacity = LEAST,
        heartbeat_seconds: float = DEFAULT_HEARTBEAT_SECONDS,
        is_seed: bool = False,
    ) -> None:
        self._mechanisms = mechanisms
        self._cold_starts = None if cold_starts is None else ColdStartGate(cold_starts)
        self.router = TokenRouter(
            Placement(zone, placement or PlacementSettings(), rng, self._cold_starts),
            observer.decision,
            retries_other_backend=mechanisms.other_backend_for_copies,
            corrects_tokens=mechanisms.token_corrections,
            refuses_on_timeout=mechanisms.timely_refusals,
        )
        self.router.may_refuse = False
        self.router.backends.set_services(frozenset(), 0.0)
        self._failure_handler = BackendFailureHandler(self.router, observer, mechanisms)
        self.checks = self._failure_handler.checks
        self.role = ReaderRole(reader_id, rng, times, mechanisms)
        self.backends: StoreView[BackendRecord] = StoreView(BackendOrder(heartbeat_seconds))
        self.configuration: StoreView[RoutingConfiguration] = StoreView(ConfigurationOrder())
        # Never starts from a stale list: after a store outage backends register again one by one,
        # and the few on an old list would get all flows.
        self.backend_watch = ObjectWatch(self.backends, rng)
        self.configuration_watch = ObjectWatch(
            self.configuration, rng, stale_start=mechanisms.stale_start
        )
        self.backend_schedule = StoreCallSchedule(self.backend_watch, self.role, rng, 0)
        self.configuration_schedule = StoreCallSchedule(self.configuration_watch, self.role, rng, 1)
        self.evacuations: EvacuationFollower | None = None
        if evacuation_times is not None:
            self.evacuations = EvacuationFollower(
                self.role,
                rng,
                evacuation_times,
                known_zones,
                depends_on=self.backend_watch,
                is_seed=is_seed,
                mechanisms=mechanisms,
            )
            self.evacuations.on_zones_changed = self.router.backends.evacuate
            self.evacuations.on_change = observer.evacuation
            self.evacuations.on_unknown_zone = observer.evacuation_of_unknown_zone
        self.exchange: ViewExchange | None = None
        self._configuration_history = ConfigurationHistory()
        self._entry_timeout_seconds = MAXIMUM_MISSED_HEARTBEATS * heartbeat_seconds
        self._backends_confirmed_at: float | None = None
        self._retained_backends = RetentionTimer(self.backends, self._apply_settled_backends)
        self.catch_up_seconds = LatencyHistogram()
        self.on_view_changed: Callable[[], None] = lambda: None
        self._configuration_name = configuration_name
        self._observer = observer
        self._rng = rng
        self._zone = zone
        self._capacity = capacity
        self._cold_start_share: FleetShare | None = None
        self._now = 0.0
        self._advanced_at = float("inf")
        self._stall_pending = False
        self._stall_taken = False
        self._stalled_until = float("-inf")
        self._complete_since: float | None = None
        self.router.flows_move_until = float("inf")
        self._confirmation_deadline = float("inf")

    @property
    def complete(self) -> bool:
        """Whether backends, a configuration and the token key are present, as serving requires."""
        return (
            self.backends.revision is not None
            and self.router.routes.version >= 0
            and self.router.codec is not None
        )

    def set_secrets(self, secret: bytes, *older_secrets: bytes) -> None:
        """Mint tokens with `secret`; verify tokens of `secret` and of the `older_secrets`."""
        binds_flows = self._mechanisms.flow_bound_tokens
        self.router.codec = TokenCodec(secret, *older_secrets, binds_flows=binds_flows)
        self.on_view_changed()

    def join_peers(self, host: str, seeds: tuple[str, ...]) -> None:
        """Start to exchange views with other nodes.

        The modules are imported here to keep them out of a start: a node serves before it has
        peers.
        """
        from beamloom.node.view_codecs import BACKEND_CODEC, ConfigurationCodec
        from beamloom.replication.fleet_share import FleetShare
        from beamloom.replication.peer_table import PeerTable
        from beamloom.replication.shared_view import SharedView
        from beamloom.replication.view_exchange import ViewExchange

        late_seconds = self.role.times.late_seconds
        views: list[SharedView[Any]] = [
            SharedView(
                self.backends,
                BACKEND_CODEC,
                partial(self._apply_backends, source=FROM_PEER),
                late_seconds=late_seconds,
                confirms_early=self._mechanisms.early_confirmation,
            ),
            SharedView(
                self.configuration,
                ConfigurationCodec(
                    self._configuration_history,
                    sends_differences=self._mechanisms.configuration_differences,
                ),
                partial(self._apply_configuration, source=FROM_PEER),
                late_seconds=late_seconds,
                confirms_early=self._mechanisms.early_confirmation,
            ),
        ]
        if self.evacuations is not None:
            views.append(self.evacuations.make_shared_view(self._apply_evacuations))
        peers = PeerTable(host, seeds, self._rng, self._zone, self._capacity)
        by_capacity = self._mechanisms.capacity_roles
        self.exchange = ViewExchange(views, peers, self.role, self._rng, by_capacity=by_capacity)
        self.exchange.on_unusable_capacity = self._observer.unusable_capacity
        self._failure_handler.join(self.exchange)
        openings = self.exchange.openings
        openings.find_opening = self.router.find_opening
        openings.on_known = self.router.note_opening_elsewhere
        openings.on_unknown = self.router.note_unknown_opening
        if self._cold_starts is not None:
            self._cold_start_share = FleetShare(
                peers, SENDERS_PER_BACKEND, self._now, by_capacity=by_capacity
            )
            self._cold_starts.is_sender = self._cold_start_share.is_assigned
        self.exchange.pulls.catch_up_seconds = self.catch_up_seconds

    def has_stalled(self, now: float) -> bool:
        """Whether the last call of `advance` is longer ago than STALL_THRESHOLD_SECONDS."""
        return now - self._advanced_at > STALL_THRESHOLD_SECONDS

    def consume_stall(self, now: float) -> bool:
        """Return whether the packets that are read next arrived during a stall.

        After a stall the event loop may run timers, and with them `advance`, before it reads the
        packets, for example when a signal interrupted its wait. Such a stall is returned once.
        """
        before_timers = self.has_stalled(now)
        after_timers, self._stall_pending = self._stall_pending, False
        self._stall_taken = self._stall_taken or before_timers
        return before_timers or after_timers

    def advance(self, now: float) -> None:
        """Run whatever is due; to be called a few times a second."""
        stalled = self.has_stalled(now)
        if stalled:
            self._stalled_until = now
            self._observer.stalled(now - self._advanced_at)
            self._invalidate_confirmations()
        self._stall_pending = stalled and not self._stall_taken
        self._stall_taken = False
        is_late = now - self._advanced_at > LATE_SECONDS
        self._advanced_at = self._now = now
        self._update_may_refuse(now)
        self._update_flows_move(now)
        self._backends_confirmed_at = self.backends.confirmed_at
        self._retained_backends.advance(now)
        if self.evacuations is not None:
            self.evacuations.advance(now)
        self._failure_handler.advance(now, is_late=is_late)
        self.router.advance(now)
        self.role.peer_count = 0 if self.exchange is None else len(self.exchange.peers)
        if self.role.advance(now, joined=self.exchange is not None):
            self._observer.reader_changed(self.role.reading)
        if self.exchange is not None:
            self._tell_openings()
            self.exchange.advance(now)

    def _tell_openings(self) -> None:
        """Report the flows at whose openings two backends may have answered."""
        untold = self.router.untold
        if untold and self.exchange is not None and self._mechanisms.opening_queries:
            self.exchange.openings.tell(list(untold.values())[:MAXIMUM_REPORTED_OPENINGS])
        untold.clear()

    def announce_end(self, now: float) -> None:
        """Report the openings that this node has forwarded, as it is about to end."""
        unopened = self.router.unopened(now)
        if unopened and self.exchange is not None and self._mechanisms.opening_queries:
            self.exchange.openings.tell(unopened[:MAXIMUM_REPORTED_OPENINGS])

    def handle_message(self, host: str, message: Message, now: float) -> None:
        """Handle a message from the node at `host`; a malformed one raises TypeError or ValueError.

        Messages are ignored before `join_peers`.
        """
        self._now = now
        if self.exchange is not None:
            self.exchange.handle(host, message, now)
            self._update_may_refuse(now)

    def take_sends(self) -> list[SendToHost]:
        """Return and clear the messages to be sent to peers."""
        if self.exchange is None:
            return []
        self.ask_about_openings()
        return self.exchange.take_sends()

    def ask_about_openings(self) -> bool:
        """Queue questions about the copies that the router holds; return whether there are any."""
        held = self.router.held_copies
        flows = held.unasked_flows()
        if self.exchange is None or not flows:
            return False
        held.note_asked(flows, self.exchange.openings.ask(flows))
        return True

    def apply_limit_state(self, state: str, before: str, limit: str, share: float) -> None:
        """Shed or resume roles on a change of state in `node/own_limits.py`."""
        self._observer.limit_state_changed(state, before, limit, share)
        if not self._mechanisms.capacity_roles:
            return
        answers = ANSWER_SHARES[state]
        self.role.is_shedding = answers < 1.0
        if self._cold_start_share is not None:
            self._cold_start_share.is_shedding = answers < 1.0
        if self.exchange is not None:
            self.exchange.limit_answers(answers)

    def request_stop(self, now: float) -> None:
        """Wait for a turn to stop, and announce that to the nodes of this zone."""
        if self.exchange is not None:
            self.exchange.request_stop(now)

    def may_stop(self, now: float) -> bool:
        """Return whether this node may stop now; True without an exchange or turns to stop."""
        if self.exchange is None or not self._mechanisms.stop_turns:
            return True
        return self.exchange.may_stop(now)

    def announce_away(self, now: float) -> None:
        """Announce to the nodes of this zone that routers are to avoid this node."""
        if self.exchange is not None:
            self.exchange.announce_away(now)

    def apply_backends(
        self,
        changes: tuple[ObjectChange[BackendRecord], ...],
        now: float,
        given_at: float | None = None,
    ) -> None:
        """Apply the changes of a store answer and announce the view's revision to peers.

        The store has not given the answer before `given_at`, by default `now`.
        """
        self._now = now
        self._apply_backends(changes, FROM_STORE)
        self._note_answer(now, given_at)

    def apply_configuration(
        self,
        changes: tuple[ObjectChange[RoutingConfiguration], ...],
        now: float,
        given_at: float | None = None,
    ) -> None:
        """Apply the changes of a store answer like `apply_backends`."""
        self._now = now
        self._apply_configuration(changes, FROM_STORE)
        self._note_answer(now, given_at)

    def apply_evacuations(
        self, changes: EvacuationChanges, now: float, given_at: float | None = None
    ) -> None:
        """Apply the changes of a store answer like `apply_backends`."""
        self._now = now
        self._apply_evacuations(changes)
        self._note_answer(now, given_at)

    def _apply_evacuations(self, changes: EvacuationChanges) -> None:
        if self.evacuations is not None:
            self.evacuations.apply(changes, self._now)

    def _note_answer(self, now: float, given_at: float | None) -> None:
        self._update_may_refuse(now)
        self.role.note_answer(now if given_at is None else given_at)
        if self.exchange is not None:
            self.exchange.announce(now)

    def _update_may_refuse(self, now: float) -> None:
        """Allow refusals once the views are confirmed or CONFIRMATION_TIMEOUT_SECONDS have passed.

        After a start or a stall the views may be out of date. Until then the router drops what it
        would refuse, and the client's retransmission is decided anew.
        """
        if not self._mechanisms.confirmed_refusals:
            self.router.may_refuse = True
            return
        confirmations = (self.backends.confirmed_at, self.configuration.confirmed_at)
        if all(at is not None and at >= self._stalled_until for at in confirmations):
            self._confirmation_deadline = float("inf")
            self.router.may_refuse = True
            return
        if self._confirmation_deadline == float("inf") and self.complete:
            self._confirmation_deadline = now + CONFIRMATION_TIMEOUT_SECONDS
        self.router.may_refuse = now >= self._confirmation_deadline

    def _update_flows_move(self, now: float) -> None:
        """Tell the router until when the routers may be moving flows between nodes."""
        if self._complete_since is None:
            if not self.complete:
                return
            self._complete_since = now
        changed_at = max(self._complete_since, self._stalled_until)
        if self.exchange is not None:
            changed_at = max(changed_at, self.exchange.nodes_changed_at)
            self.router.asks_peers = self._mechanisms.opening_queries and bool(
                self.exchange.openings.hosts()
            )
        self.router.flows_move_until = changed_at + FLOWS_MOVE_SECONDS

    def _invalidate_confirmations(self) -> None:
        """Require new answers of the store: data of peers that is read after a stall may be old."""
        self.backend_schedule.discard_confirmation()
        self.configuration_schedule.discard_confirmation()
        if self.evacuations is not None:
            self.evacuations.schedule.discard_confirmation()

    def _apply_settled_backends(
        self, changes: tuple[ObjectChange[BackendRecord], ...], now: float
    ) -> None:
        self._now = now
        self._apply_backends(changes, FROM_STORE)

    def _apply_backends(
        self, changes: tuple[ObjectChange[BackendRecord], ...], source: str
    ) -> None:
        last_listed_at = self._last_listed_at()
        self._backends_confirmed_at = self.backends.confirmed_at
        for change in changes:
            if change.record is None:
                removed = self.router.backends.remove(
                    change.name, self._now, last_listed_at=last_listed_at
                )
                if removed is not None:
                    service = removed.record.service
                    self._observer.backend_gone(change.name, service, change.revision, source)
                    self._failure_handler.check_unlisted(removed, self._now)
            elif self.router.backends.update(change.record, change.revision, self._now):
                self._observer.backend_changed(change.record, change.revision, source)
                self._failure_handler.recheck_listed(change.name, self._now)
        self.on_view_changed()

    def _last_listed_at(self) -> float:
        """Return until when the store listed the backends that are missing in its next version.

        A backend may have left right after the last confirmation of the view, for example if the
        node that read the store for the others has failed since. But if the view was not confirmed
        for as long as an entry takes to time out, the store was away, and entries of running
        backends timed out as they could not be repeated: these count as listed until now.
        """
        confirmed_at = self._backends_confirmed_at
        if confirmed_at is None or self._now - confirmed_at >= self._entry_timeout_seconds:
            return self._now
        return confirmed_at

    def _apply_configuration(
        self, changes: tuple[ObjectChange[RoutingConfiguration], ...], source: str
    ) -> None:
        for change in changes:
            if change.record is None or change.name != self._configuration_name:
                continue
            if change.record.includes_terms:
                # A version that came without the routes' terms is no base for differences: what
                # is derived from it would lack the terms as well.
                self._configuration_history.note(change.record)
            before = self.router.routes.version
            if self.router.activate(change.record):
                self.router.backends.set_services(change.record.services, self._now)
                if self._cold_starts is not None:
                    self._cold_starts.set_rates(change.record.warm_ups)
                version, routes = change.record.version, len(change.record.routes)
                self._observer.configuration(version, before, routes, source)
                self._report_unreadable_terms(change.record)
        self.on_view_changed()

    def _report_unreadable_terms(self, record: RoutingConfiguration) -> None:
        """Count the terms that are replaced by defaults, and report the first such routes."""
        faulty = [route for route in record.routes if route.terms.unreadable]
        count = sum(len(route.terms.unreadable) for route in faulty)
        if count:
            self.router.counters["terms_unreadable"] += count
        for route in faulty[:MAXIMUM_FAULTY_ROUTES_LOGGED]:
            self._observer.terms_unreadable(route.name, record.version, route.terms.unreadable)
