"""A simulated token node: a core with calls to the store and ticks on the virtual clock."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from beamloom.model.store_revision import era_of
from beamloom.node.token_core import TokenCore
from beamloom.platform import packet_layout
from beamloom.protocol.messages import Message
from beamloom.replication.object_watch import (
    ObjectWatch,
    OlderAnswerError,
    Question,
    WatchRequest,
)
from beamloom.replication.store_call_schedule import StoreCallSchedule
from beamloom.replication.store_call_times import (
    CALL_TIMEOUT_SECONDS,
    evacuation_store_call_times,
    store_call_times,
)
from beamloom.replication.store_view import ObjectChange
from beamloom.routing.tokens.backend_table import Backend
from beamloom.routing.tokens.liveness import CheckOutcome
from beamloom.routing.tokens.packets import (
    ForwardPacket,
    PacketKind,
    ResetFlow,
    RouterCommand,
)
from beamloom.settings.mechanisms import ALL_MECHANISMS, Mechanisms
from beamloom.simulation.clock import VirtualClock
from beamloom.simulation.tokens.connection_checks import Address, FindReferences, OnOutcome
from beamloom.simulation.tokens.oracle import EVACUATE_SECONDS
from beamloom.simulation.tokens.quiet_observer import QuietObserver
from beamloom.simulation.tokens.store_link import StoreAnswer, StoreLink

TICK_SECONDS = 0.25
BACKENDS = "backends"
CONFIGURATION = "configuration"
EVACUATIONS = "evacuations"
CONFIGURATION_NAME = "main"

Forward = Callable[[bytes, tuple[str, int]], None]
SendMessage = Callable[[str, str, Message], None]
CheckBackend = Callable[[str, Address, FindReferences, OnOutcome], None]
"""Checks an address on behalf of the node at a host."""


class _Reader:
    """Calls to the store for one kind of object: one at a time, each with a timeout."""

    def __init__(
        self,
        node: SimulatedTokenNode,
        kind: str,
        watch: ObjectWatch[Any],
        schedule: StoreCallSchedule,
        apply_changes: Callable[[tuple[ObjectChange[Any], ...], float, float], None],
    ) -> None:
        self._node = node
        self._kind = kind
        self._watch = watch
        self._schedule = schedule
        self._apply_changes = apply_changes
        self._call_number = 0
        self._busy = False

    def advance(self) -> None:
        """Call the store if a call is due and none is pending."""
        if not self._busy and self._schedule.must_ask(self._node.clock.now):
            self._call_store()

    def _call_store(self) -> None:
        self._busy = True
        self._call_number += 1
        call_number, asked_at = self._call_number, self._node.clock.now
        request = self._watch.next_request()
        self._node.observer.counters[f"call_{self._kind}_{self._schedule.purpose.value}"] += 1
        waits = isinstance(request, WatchRequest)
        question = Question(
            request,
            asked_at,
            self._schedule.wait_seconds(asked_at) if waits else 0.0,
            era_of(self._watch.view.revision or 0),
        )
        wait = question.wait_seconds

        def on_answer(answer: StoreAnswer) -> None:
            if call_number == self._call_number:
                self._call_number += 1
                self._node.call_when_running(lambda: self._handle_answer(answer, question))

        def on_timeout() -> None:
            on_answer(StoreAnswer())

        self._node.link.call(self._node.host, self._kind, request, wait, on_answer)
        self._node.clock.call_later(wait + CALL_TIMEOUT_SECONDS, on_timeout)

    def _handle_answer(self, answer: StoreAnswer, question: Question) -> None:
        now = self._node.clock.now
        if answer.history_gone:
            self._watch.handle_lost_history()
            self._finish_call()
            return
        try:
            applied = self._apply_answer(answer, question)
        except OlderAnswerError:
            applied = None
        if applied is None:
            self._node.clock.call_later(self._schedule.note_failure(now), self._finish_call)
            return
        changes, given_at = applied
        pause_seconds = self._schedule.note_answer(now, changes=bool(changes))
        self._apply_changes(changes, now, given_at)
        self._node.send_messages()
        self._node.clock.call_later(pause_seconds, self._finish_call)

    def _apply_answer(
        self, answer: StoreAnswer, question: Question
    ) -> tuple[tuple[ObjectChange[Any], ...], float] | None:
        """Apply an answer to the watch; return the changes and a time before it was given.

        Returns None if the answer is unusable.
        """
        reports_era = self._node.link.reports_era
        if not reports_era:
            answer = answer.in_era(question.era)
        if answer.page is not None:
            asked_at = question.asked_at
            changes = self._watch.handle_page(answer.page, asked_at, reports_era=reports_era)
            return changes, asked_at
        if answer.batch is not None and isinstance(question.request, WatchRequest):
            given_at = question.earliest_answer_time(answer.batch, self._node.clock.now)
            changes = self._watch.handle_changes(
                answer.batch, question.request.revision, given_at, reports_era=reports_era
            )
            return changes, given_at
        return None

    def _finish_call(self) -> None:
        self._busy = False
        self._node.call_when_running(self.advance)


class SimulatedTokenNode:
    """One process of a node; a restart creates another object.

    While it is frozen, packets, messages and answers are deferred.
    """

    def __init__(
        self,
        name: str,
        host: str,
        zone: str,
        clock: VirtualClock,
        link: StoreLink,
        *,
        rng: random.Random,
        seeds: tuple[str, ...],
        secret: bytes,
        forward: Forward,
        send_message: SendMessage,
        check_backend: CheckBackend,
        join_seconds: float = 0.0,
        mechanisms: Mechanisms = ALL_MECHANISMS,
    ) -> None:
        self.name = name
        self.host = host
        self.zone = zone
        self.clock = clock
        self.link = link
        self.alive = True
        self.stopping = False
        self.observer = QuietObserver()
        reader_id = f"{rng.getrandbits(32):08x}"
        self.core = TokenCore(
            zone,
            reader_id,
            CONFIGURATION_NAME,
            self.observer,
            rng=rng,
            times=store_call_times(),
            evacuation_times=evacuation_store_call_times(EVACUATE_SECONDS),
            mechanisms=mechanisms,
            is_seed=host in seeds,
        )
        self._frozen_until = 0.0
        self._deferred: list[Callable[[], None]] = []
        self._forward = forward
        self._send_message = send_message
        self._check_backend = check_backend
        self._deadline_at = float("inf")
        self.core.checks.start_check = self._begin_check
        core = self.core
        self._readers = [
            _Reader(self, BACKENDS, core.backend_watch, core.backend_schedule, core.apply_backends),
            _Reader(
                self,
                CONFIGURATION,
                core.configuration_watch,
                core.configuration_schedule,
                core.apply_configuration,
            ),
        ]
        evacuations = core.evacuations
        if evacuations is not None:
            self._readers.append(
                _Reader(
                    self,
                    EVACUATIONS,
                    evacuations.watch,
                    evacuations.schedule,
                    core.apply_evacuations,
                )
            )
        core.set_secrets(secret)
        if join_seconds:
            clock.call_later(join_seconds, core.join_peers, host, seeds)
        else:
            core.join_peers(host, seeds)
        self._tick()

    @property
    def frozen(self) -> bool:
        """Whether the process is frozen."""
        return self.clock.now < self._frozen_until

    @property
    def ready(self) -> bool:
        """Whether a readiness check of the node succeeds."""
        return self.alive and not self.frozen and not self.stopping and self.core.complete

    def announce_end(self) -> None:
        """Send what a node reports at the end of a planned stop."""

        def announce() -> None:
            self.core.announce_end(self.clock.now)
            self.send_messages()

        self.call_when_running(announce)

    def kill(self) -> None:
        """End the process without a planned stop."""
        self.alive = False

    def freeze(self, seconds: float) -> None:
        """Freeze the process for `seconds`."""
        self._frozen_until = self.clock.now + seconds
        self.clock.call_later(seconds, self._resume)

    def call_when_running(self, callback: Callable[[], None]) -> None:
        """Call back now, or at the end of a freeze; discard the call if the process has ended."""
        if not self.alive:
            return
        if self.frozen:
            self._deferred.append(callback)
        else:
            callback()

    def receive_datagram(self, datagram: bytes) -> None:
        """Receive a client's packet."""
        self.call_when_running(lambda: self._handle_packet(datagram))

    def receive_message(self, host: str, message: Message) -> None:
        """Receive a message from another node."""

        def handle() -> None:
            self.core.handle_message(host, message, self.clock.now)
            self._send_late_commands()
            self.send_messages()

        self.call_when_running(handle)

    def send_messages(self) -> None:
        """Send the pending messages of the core to its peers."""
        for send in self.core.take_sends():
            self._send_message(self.host, send.host, send.message)

    def _handle_packet(self, datagram: bytes) -> None:
        packet = packet_layout.parse_packet(datagram)
        if packet is None:
            return
        if packet.kind is PacketKind.OPEN and self.core.has_stalled(self.clock.now):
            return
        self._execute(self.core.router.handle(packet, self.clock.now))
        if self.core.ask_about_openings():
            self.send_messages()
        self._schedule_next_deadline()

    def _execute(self, command: RouterCommand) -> None:
        if isinstance(command, ForwardPacket):
            self._forward(packet_layout.encode_forward(command), command.address)
        elif isinstance(command, ResetFlow):
            self._forward(
                packet_layout.encode_reset(command), (packet_layout.client_host(command.flow), 0)
            )

    def _send_late_commands(self) -> None:
        commands = self.core.router.late_commands
        while commands:
            self._execute(commands.popleft())

    def _schedule_next_deadline(self) -> None:
        """Advance the router at its next deadline, as the real node does between ticks."""
        due = self.core.router.next_deadline()
        if due is None or self._deadline_at <= due:
            return
        self._deadline_at = due
        self.clock.call_later(
            max(0.0, due - self.clock.now), self.call_when_running, self._handle_deadline
        )

    def _handle_deadline(self) -> None:
        self._deadline_at = float("inf")
        self.core.router.advance(self.clock.now)
        self._send_late_commands()
        self._schedule_next_deadline()

    def _begin_check(self, backend: Backend) -> None:
        def on_outcome(outcome: CheckOutcome) -> None:
            self.call_when_running(lambda: self._apply_check_outcome(backend, outcome))

        def find_references() -> list[Address]:
            return [one.record.address for one in self.core.checks.find_references(backend)]

        self._check_backend(self.host, backend.record.address, find_references, on_outcome)

    def _apply_check_outcome(self, backend: Backend, outcome: CheckOutcome) -> None:
        self.core.checks.apply_outcome(backend, outcome, self.clock.now)
        self.send_resets()
        self.send_messages()

    def send_resets(self) -> None:
        """Send resets for flows that the router ended on its own, not in reply to a packet."""
        resets = self.core.router.resets
        while resets:
            command = resets.popleft()
            client = packet_layout.client_host(command.flow)
            self._forward(packet_layout.encode_reset(command), (client, 0))

    def _tick(self) -> None:
        if not self.alive:
            return
        self.clock.call_later(TICK_SECONDS, self._tick)
        if self.frozen:
            return
        self.core.advance(self.clock.now)
        self._send_late_commands()
        for reader in self._readers:
            reader.advance()
        self.send_resets()
        self.send_messages()

    def _resume(self) -> None:
        deferred, self._deferred = self._deferred, []
        for callback in deferred:
            self.call_when_running(callback)
