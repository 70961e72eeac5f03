"""The decision core of a token node: router, views of the store, reader's duty, exchange.

Without I/O. What drives it (asyncio on sockets, or the simulator) asks the store as `turns` say,
hands the answers to the watches and what they changed to `take_*`, and sends what `take_sends`
returns.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Collection
from functools import partial
from typing import TYPE_CHECKING, Any

from beamloom.node.backend_judge import BackendJudge
from beamloom.node.belief_observer import FROM_PEER, FROM_STORE, BeliefObserver
from beamloom.node.evacuation_follower import EvacuationChanges, EvacuationFollower
from beamloom.node.record_orders import BackendOrder, ConfigurationOrder
from beamloom.replication.kept_words import KeptWords
from beamloom.replication.object_watch import ObjectWatch
from beamloom.replication.reader_duty import ReaderDuty
from beamloom.replication.reading_times import ReadingTimes
from beamloom.replication.reading_turn import ReadingTurn
from beamloom.replication.store_view import ObjectChange, StoreView
from beamloom.routing.tokens.cold_starts import SENDERS_OF_A_BACKEND, ColdStartGate
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

LONGEST_STALL_SECONDS = 1.0
"""A process that stood still for so long cannot tell how old what it reads now is."""
LONGEST_DOUBT_SECONDS = 2.0
"""Longer than the store or a peer takes to confirm a view, where either can."""
MOST_FAULTS_TOLD = 20
"""Log lines of one configuration; all faults are counted, and one operator error makes many."""
LATE_SECONDS = 0.4
"""`advance` is called four times a second; a node that lags cannot tell who is silent."""

ANSWER_SHARES = {"serving": 1.0, "roles_shed": 0.25, "closed_to_peers": 0.0}
"""By state of `node/own_limits.py`, which is not imported at a start: the part of the usual answers
to peers that a node gives.
"""


class TokenCore:
    """One node. `configuration_name` is the object that holds the configuration in force.

    Evacuations are followed where `evacuation_times` are given; `known_zones` are those of the
    deployment. Cold backends are limited where `cold_starts` are given. `capacity` is what the
    machine can do, as peers are told. Backends write to the store each `heartbeat_seconds`. A node
    that `is_seed` is asked first by those who start.
    """

    def __init__(
        self,
        zone: str,
        reader_id: str,
        configuration_name: str,
        observer: BeliefObserver,
        *,
        chance: random.Random,
        times: ReadingTimes,
        placement: PlacementSettings | None = None,
        mechanisms: Mechanisms = ALL_MECHANISMS,
        evacuation_times: ReadingTimes | None = None,
        known_zones: Collection[str] = (),
        cold_starts: ColdStartLimits | None = None,
        capacity: Capacity = LEAST,
        heartbeat_seconds: float = DEFAULT_HEARTBEAT_SECONDS,
        is_seed: bool = False,
    ) -> None:
        self._mechanisms = mechanisms
        self._cold_starts = None if cold_starts is None else ColdStartGate(cold_starts)
        self.router = TokenRouter(
            Placement(zone, placement or PlacementSettings(), chance, self._cold_starts),
            observer.decision,
            moves_copies=mechanisms.other_backend_for_copies,
            leaves_zones=mechanisms.other_zone_for_copies,
            refuses_too_late=mechanisms.timely_refusals,
        )
        self.router.may_refuse = False
        self.router.backends.use_services(frozenset(), 0.0)
        self._judge = BackendJudge(self.router, observer, mechanisms)
        self.checks = self._judge.checks
        self.duty = ReaderDuty(reader_id, chance, times, mechanisms)
        self.backends: StoreView[BackendRecord] = StoreView(BackendOrder(heartbeat_seconds))
        self.configuration: StoreView[RoutingConfiguration] = StoreView(ConfigurationOrder())
        # Not stale: after an outage of the store backends come back one by one, and a list that is
        # seconds old sends all flows to the first of them.
        self.backend_watch = ObjectWatch(self.backends, chance)
        self.configuration_watch = ObjectWatch(
            self.configuration, chance, stale_start=mechanisms.stale_start
        )
        self.backend_turn = ReadingTurn(self.backend_watch, self.duty, chance, 0)
        self.configuration_turn = ReadingTurn(self.configuration_watch, self.duty, chance, 1)
        self.evacuations: EvacuationFollower | None = None
        if evacuation_times is not None:
            self.evacuations = EvacuationFollower(
                self.duty,
                chance,
                evacuation_times,
                known_zones,
                leader=self.backend_watch,
                is_seed=is_seed,
                mechanisms=mechanisms,
            )
            self.evacuations.on_zones = self.router.backends.evacuate
            self.evacuations.on_change = observer.evacuation
            self.evacuations.on_unknown = observer.evacuation_of_unknown_zone
        self.exchange: ViewExchange | None = None
        self._versions = ConfigurationHistory()
        self._kept_backends = KeptWords(self.backends, self._settle_backends)
        self.catch_up_seconds = LatencyHistogram()
        self.on_progress: Callable[[], None] = lambda: None
        self._configuration_name = configuration_name
        self._observer = observer
        self._chance = chance
        self._zone = zone
        self._capacity = capacity
        self._share: FleetShare | None = None
        self._now = 0.0
        self._advanced_at = float("inf")
        self._untaken_stall = False
        self._took_stall = False
        self._doubts_until = float("inf")

    @property
    def complete(self) -> bool:
        """Whether all that is needed to serve has been read."""
        return (
            self.backends.revision is not None
            and self.router.routes.version >= 0
            and self.router.codec is not None
        )

    def use_key(self, secret: bytes, *former: bytes) -> None:
        """Mint tokens with the fleet's secret, and verify those of former ones too, from now on."""
        binds_flows = self._mechanisms.flow_bound_tokens
        self.router.codec = TokenCodec(secret, *former, binds_flows=binds_flows)
        self.on_progress()

    def join_peers(self, host: str, seeds: tuple[str, ...]) -> None:
        """Exchange views with other nodes from now on.

        Its modules are imported only here: a node is ready to serve before it meets its peers.
        """
        from beamloom.node.view_codecs import BACKEND_CODEC, ConfigurationCodec
        from beamloom.replication.fleet_share import FleetShare
        from beamloom.replication.peer_table import PeerTable
        from beamloom.replication.shared_view import SharedView
        from beamloom.replication.view_exchange import ViewExchange

        late_seconds = self.duty.times.late_seconds
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
                    self._versions, tells_differences=self._mechanisms.configuration_differences
                ),
                partial(self._apply_configuration, source=FROM_PEER),
                late_seconds=late_seconds,
                confirms_early=self._mechanisms.early_confirmation,
            ),
        ]
        if self.evacuations is not None:
            views.append(self.evacuations.share(self._apply_evacuations))
        peers = PeerTable(host, seeds, self._chance, self._zone, self._capacity)
        by_capacity = self._mechanisms.capacity_roles
        self.exchange = ViewExchange(views, peers, self.duty, self._chance, by_capacity=by_capacity)
        self.exchange.on_unusable_capacity = self._observer.unusable_capacity
        self._judge.join(self.exchange)
        if self._cold_starts is not None:
            self._share = FleetShare(
                peers, SENDERS_OF_A_BACKEND, self._now, by_capacity=by_capacity
            )
            self._cold_starts.is_sender = self._share.holds
        self.exchange.pulls.catch_up_seconds = self.catch_up_seconds

    def has_stalled(self, now: float) -> bool:
        """Whether the process stood still until now: `advance` has not been called for long."""
        return now - self._advanced_at > LONGEST_STALL_SECONDS

    def take_stall(self, now: float) -> bool:
        """Return once whether the process stood still before the packets that are read next.

        A loop that wakes from a stall may run its timers, and with them `advance`, first: a wait
        that a signal interrupted after its time was over tells of no packets.
        """
        before_timers = self.has_stalled(now)
        after_timers, self._untaken_stall = self._untaken_stall, False
        self._took_stall = self._took_stall or before_timers
        return before_timers or after_timers

    def advance(self, now: float) -> None:
        """Let time pass; to be called a few times a second."""
        stalled = self.has_stalled(now)
        if stalled:
            self._observer.stalled(now - self._advanced_at)
            self._forget_confirmations()
        self._untaken_stall = stalled and not self._took_stall
        self._took_stall = False
        is_late = now - self._advanced_at > LATE_SECONDS
        self._advanced_at = self._now = now
        self._judge_refusals(now)
        self._kept_backends.advance(now)
        if self.evacuations is not None:
            self.evacuations.advance(now)
        self._judge.advance(now, is_late=is_late)
        self.router.advance(now)
        self.duty.peer_count = 0 if self.exchange is None else len(self.exchange.peers)
        if self.duty.advance(now, joined=self.exchange is not None):
            self._observer.reader_duty(self.duty.reading)
        if self.exchange is not None:
            self.exchange.advance(now)

    def handle_message(self, host: str, message: Message, now: float) -> None:
        """Take a message of the node at a host; raises TypeError or ValueError if it is odd."""
        self._now = now
        if self.exchange is not None:
            self.exchange.handle(host, message, now)
            self._judge_refusals(now)

    def take_sends(self) -> list[SendToHost]:
        """Return the messages that are to be sent now, once."""
        return [] if self.exchange is None else self.exchange.take_sends()

    def use_limits(self, state: str, before: str, limit: str, share: float) -> None:
        """Give up roles, or take them up again, as a state of `node/own_limits.py` says."""
        self._observer.own_limits(state, before, limit, share)
        if not self._mechanisms.capacity_roles:
            return
        answers = ANSWER_SHARES[state]
        self.duty.sheds = answers < 1.0
        if self._share is not None:
            self._share.sheds = answers < 1.0
        if self.exchange is not None:
            self.exchange.use_limits(answers)

    def ask_to_stop(self, now: float) -> None:
        """Note that this node was asked to stop."""
        if self.exchange is not None:
            self.exchange.ask_to_stop(now)

    def may_go_away(self, now: float) -> bool:
        """Return whether it is this node's turn to stop; a node without peers always may."""
        if self.exchange is None or not self._mechanisms.stop_turns:
            return True
        return self.exchange.may_go_away(now)

    def go_away(self, now: float) -> None:
        """Note that routers are to turn away from this node."""
        if self.exchange is not None:
            self.exchange.go_away(now)

    def take_backends(self, changes: tuple[ObjectChange[BackendRecord], ...], now: float) -> None:
        """Take what an answer of the store changed, and tell peers how far the view is."""
        self._now = now
        self._apply_backends(changes, FROM_STORE)
        self._note_answer(now)

    def take_configuration(
        self, changes: tuple[ObjectChange[RoutingConfiguration], ...], now: float
    ) -> None:
        """Take what an answer of the store changed, and tell peers how far the view is."""
        self._now = now
        self._apply_configuration(changes, FROM_STORE)
        self._note_answer(now)

    def take_evacuations(self, changes: EvacuationChanges, now: float) -> None:
        """Take what an answer of the store changed, and tell peers how far the view is."""
        self._now = now
        self._apply_evacuations(changes)
        self._note_answer(now)

    def _apply_evacuations(self, changes: EvacuationChanges) -> None:
        if self.evacuations is not None:
            self.evacuations.apply(changes, self._now)

    def _note_answer(self, now: float) -> None:
        self._judge_refusals(now)
        self.duty.note_answer(now)
        if self.exchange is not None:
            self.exchange.announce(now)

    def _judge_refusals(self, now: float) -> None:
        """Refuse by confirmed views only, or where no confirmation came for LONGEST_DOUBT_SECONDS.

        A node that has just started, or stood still, knows what was; clients send copies of their
        opening packets meanwhile.
        """
        if not self._mechanisms.confirmed_refusals:
            self.router.may_refuse = True
            return
        views = (self.backends, self.configuration)
        if all(view.confirmed_at is not None for view in views):
            self._doubts_until = float("inf")
            self.router.may_refuse = True
            return
        if self._doubts_until == float("inf") and self.complete:
            self._doubts_until = now + LONGEST_DOUBT_SECONDS
        self.router.may_refuse = now >= self._doubts_until

    def _forget_confirmations(self) -> None:
        """Ask the store itself: what peers sent meanwhile looks newer than it is."""
        self.backend_turn.distrust()
        self.configuration_turn.distrust()
        if self.evacuations is not None:
            self.evacuations.turn.distrust()

    def _settle_backends(
        self, changes: tuple[ObjectChange[BackendRecord], ...], now: float
    ) -> None:
        self._now = now
        self._apply_backends(changes, FROM_STORE)

    def _apply_backends(
        self, changes: tuple[ObjectChange[BackendRecord], ...], source: str
    ) -> None:
        for change in changes:
            if change.record is None:
                gone = self.router.backends.remove(change.name, self._now)
                if gone is not None:
                    service = gone.record.service
                    self._observer.backend_gone(change.name, service, change.revision, source)
                    self._judge.note_gone(gone, self._now)
            elif self.router.backends.update(change.record, change.revision, self._now):
                self._observer.backend_changed(change.record, change.revision, source)
                self._judge.note_listed(change.name, self._now)
        self.on_progress()

    def _apply_configuration(
        self, changes: tuple[ObjectChange[RoutingConfiguration], ...], source: str
    ) -> None:
        for change in changes:
            if change.record is None or change.name != self._configuration_name:
                continue
            if change.record.tells_terms:
                # As a base for differences, a version without its terms would keep them lost.
                self._versions.note(change.record)
            before = self.router.routes.version
            if self.router.put_in_force(change.record):
                self.router.backends.use_services(change.record.services, self._now)
                if self._cold_starts is not None:
                    self._cold_starts.use_rates(change.record.warm_ups)
                version, routes = change.record.version, len(change.record.routes)
                self._observer.configuration(version, before, routes, source)
                self._tell_unreadable_terms(change.record)
        self.on_progress()

    def _tell_unreadable_terms(self, record: RoutingConfiguration) -> None:
        """Count the terms for which a default is used, and tell of the first routes."""
        faulty = [route for route in record.routes if route.terms.unreadable]
        count = sum(len(route.terms.unreadable) for route in faulty)
        if count:
            self.router.counters["terms_unreadable"] += count
        for route in faulty[:MOST_FAULTS_TOLD]:
            self._observer.terms_unreadable(route.name, record.version, route.terms.unreadable)
