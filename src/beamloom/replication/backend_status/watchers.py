"""`BackendWatchers`: the component that checks backends, gossips their status and reports it."""

from __future__ import annotations

import random
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from beamloom.model.contracts import Backend, BackendOperatingStatus, ServiceContract
from beamloom.model.machines import Member, NodeId
from beamloom.protocol.backend_messages import (
    StatusBatch,
    StatusBuckets,
    StatusDigest,
    StatusExceptions,
    StatusPull,
    WatcherOpinion,
)
from beamloom.protocol.commands import Command, RecordTransition
from beamloom.protocol.events import BackendChecked
from beamloom.protocol.messages import Message
from beamloom.replication.backend_status.assignment import WatcherAssignment
from beamloom.replication.backend_status.checking import BackendChecker
from beamloom.replication.backend_status.evidence import BackendEvidence, median_answer_seconds
from beamloom.replication.backend_status.gossip import GossipStatus, StatusGossip
from beamloom.replication.backend_status.register import (
    StatusRecord,
    StatusRegister,
    assumed_online_record,
    decode_record,
)
from beamloom.replication.backend_status.views import (
    REASON_TEXTS,
    BackendView,
    ViewInputs,
    make_view,
)

REPORT_COMPARISON_INTERVAL_SECONDS = 2.0
_UNKNOWN = BackendOperatingStatus.UNKNOWN
_ONLINE = BackendOperatingStatus.ONLINE


class UnknownBackendError(KeyError):
    """The backend belongs to no service in force; the configuration may be out of date."""


@dataclass(frozen=True, slots=True)
class BackendWatchersStatus:
    """Counters and state for metrics."""

    watched: int
    records: int
    suspects_local_fault: bool
    unknown_records: int
    refusals: int
    answer_times: int
    contradicted: int
    gossip: GossipStatus


@dataclass(frozen=True, slots=True)
class _BackendEntry:
    backend: Backend
    service_number: int
    check_interval_seconds: float
    ramp_seconds: float


class BackendWatchers:
    """Tracks the status of every backend and performs this node's share of the checks.

    `rng` randomizes the times of checks and gossip, and the choice of gossip peers.
    """

    def __init__(self, node_id: NodeId, rng: random.Random, now: float) -> None:
        self._node_id = node_id
        self._started_at = now
        self._register = StatusRegister()
        self._assignment = WatcherAssignment()
        self._gossip = StatusGossip(self._register, rng, now)
        self._new_backends: set[int] = set()
        self._checker = BackendChecker(node_id, self._register, self._new_backends, rng)
        self._backends: dict[int, _BackendEntry] = {}
        self._is_configured = False
        self._inputs: dict[int, ViewInputs] = {}
        self._evidence: dict[int, BackendEvidence] = {}
        self._backends_by_service: dict[int, list[int]] = {}
        self._sampled_services: set[int] = set()
        self._compare_reports_at = now + REPORT_COMPARISON_INTERVAL_SECONDS
        self._unknown_records = 0
        self._refusals_seen = 0
        self._answer_times_seen = 0

    def update_members(self, members: Iterable[Member], now: float) -> None:
        """Update the gossip peers, and the watched backends if the candidate watchers changed."""
        listed = tuple(members)
        others = [item.machine.node_id for item in listed if item.is_reachable]
        self._gossip.update_peers([node for node in others if node != self._node_id])
        if self._assignment.update_members(listed):
            self._update_watched(now)

    def update_backends(self, services: Iterable[ServiceContract], now: float) -> None:
        """Replace the services in force; backends added after the first call start cold."""
        entries: dict[int, _BackendEntry] = {}
        grouped: dict[int, list[int]] = {}
        for service in services:
            grouped[service.service_number] = [item.backend_number for item in service.backends]
            for backend in service.backends:
                entries[backend.backend_number] = _backend_entry(service, backend)
        if self._is_configured:
            self._new_backends |= entries.keys() - self._backends.keys()
        self._is_configured = True
        for number in self._backends.keys() - entries.keys():
            self._remove_backend(number)
        self._backends = entries
        for number, inputs in self._inputs.items():
            inputs.ramp_seconds = entries[number].ramp_seconds
        self._backends_by_service = grouped
        self._assignment.update_backends(entries)
        self._update_watched(now)

    def backend_checked(self, event: BackendChecked, now: float) -> list[Command]:
        """Handle the result of a `CheckBackend`."""
        commands = self._checker.backend_checked(event, now)
        return commands + self._publish_pending_records(now)

    def observe_refusal(self, backend_number: int, now: float) -> None:
        """Count a connection of a flow of this home that the backend refused."""
        evidence = self._evidence_of(backend_number)
        if evidence is not None:
            self._refusals_seen += 1
            evidence.add_refusal(now)

    def observe_answer_time(self, backend_number: int, seconds: float, now: float) -> None:
        """Add the time from a flow's first payload to the backend's first payload."""
        evidence = self._evidence_of(backend_number)
        if evidence is not None:
            self._answer_times_seen += 1
            evidence.add_answer_time(seconds, now)

    def status(self, backend_number: int, now: float) -> BackendView:
        """Return the view of a backend; raise UnknownBackendError if it is in no service."""
        entry = self._backends.get(backend_number)
        if entry is None:
            raise UnknownBackendError(
                f"backend {backend_number} is in no service in force; wait for the configuration"
            )
        inputs = self._inputs.get(backend_number)
        if inputs is None:
            inputs = ViewInputs(entry.ramp_seconds, self._started_at)
        record = self._effective_record(backend_number)
        return make_view(record, inputs, self._evidence.get(backend_number), now)

    def watchers(self, backend_number: int) -> tuple[NodeId, ...]:
        """Return the nodes that check a backend."""
        return self._assignment.watchers(backend_number)

    def records(self) -> Iterator[tuple[int, int]]:
        """Return the (number, value) pair of each record."""
        return self._register.items()

    def handle_message(self, sender: NodeId, message: Message, now: float) -> list[Command]:
        """Handle a message of kinds 64 to 69; others are ignored."""
        match message:
            case WatcherOpinion():
                commands = self._checker.opinion_received(sender, message, now)
                return commands + self._publish_pending_records(now)
            case StatusBatch():
                return self._receive_batch(message, now)
            case _:
                return self._handle_repair(sender, message, now)

    def _handle_repair(self, sender: NodeId, message: Message, now: float) -> list[Command]:
        match message:
            case StatusExceptions():
                commands = self._apply_records(message.records, now, publish=False)
                return commands + self._gossip.answer_exceptions(sender, message, now)
            case StatusDigest():
                return self._gossip.receive_digest(sender, message, now)
            case StatusBuckets():
                return self._gossip.receive_buckets(sender, message, now)
            case StatusPull():
                return self._gossip.receive_pull(sender, message, now)
            case _:
                return []

    def poll(self, now: float) -> list[Command]:
        """Start due checks, send due gossip and compare load reports with observations."""
        commands = self._checker.poll(now)
        commands += self._publish_pending_records(now)
        commands += self._gossip.poll(now)
        if now >= self._compare_reports_at:
            self._compare_reports_at = now + REPORT_COMPARISON_INTERVAL_SECONDS
            self._compare_reports(now)
        return commands

    def next_timer(self) -> float | None:
        """Return when `poll` is due."""
        times = [self._gossip.next_timer()]
        check_at = self._checker.next_timer()
        if check_at is not None:
            times.append(check_at)
        if self._sampled_services:
            times.append(self._compare_reports_at)
        return min(times)

    def snapshot(self) -> BackendWatchersStatus:
        """Return counters and state."""
        return BackendWatchersStatus(
            watched=self._checker.watched_count,
            records=len(self._register),
            suspects_local_fault=self._checker.suspects_local_fault,
            unknown_records=self._unknown_records,
            refusals=self._refusals_seen,
            answer_times=self._answer_times_seen,
            contradicted=sum(inputs.contradicted for inputs in self._inputs.values()),
            gossip=self._gossip.snapshot(),
        )

    def _update_watched(self, now: float) -> None:
        numbers = self._assignment.watched_by(self._node_id)
        entries = [(number, self._backends[number]) for number in numbers]
        watched = [
            (entry.backend, entry.check_interval_seconds, self._assignment.watchers(number))
            for number, entry in entries
        ]
        self._checker.update(watched, now)

    def _publish_pending_records(self, now: float) -> list[Command]:
        records, self._checker.pending_records = self._checker.pending_records, []
        commands: list[Command] = []
        for number, value in records:
            commands += self._apply(number, value, now, publish=True)
        return commands

    def _receive_batch(self, message: StatusBatch, now: float) -> list[Command]:
        if not message.fresh:
            self._gossip.count_pulled(len(message.records) // 2)
        return self._apply_records(message.records, now, publish=message.fresh)

    def _apply_records(self, records: list[int], now: float, *, publish: bool) -> list[Command]:
        commands: list[Command] = []
        for number, value in zip(records[::2], records[1::2], strict=True):
            if number in self._backends:
                commands += self._apply(number, value, now, publish=publish)
            else:
                self._unknown_records += 1
        return commands

    def _apply(self, number: int, value: int, now: float, *, publish: bool) -> list[Command]:
        before = self._effective_record(number)
        if not self._register.apply(number, value):
            return []
        after = decode_record(value)
        if publish:
            # Confirming a backend of the first configuration as online is not urgent.
            confirms_online = before.status is _UNKNOWN and after.status is _ONLINE
            is_significant = not confirms_online or number in self._new_backends
            urgent = after.status is not before.status and is_significant
            self._gossip.publish(number, now, urgent=urgent)
        if after.status is before.status:
            return []
        self._record_status_change(number, before.status, after.status, now)
        return [
            RecordTransition(
                subject=f"backend/{self._backends[number].backend.backend_id}",
                before=before.status.name.lower(),
                after=after.status.name.lower(),
                reason=REASON_TEXTS[after.reason],
            )
        ]

    def _record_status_change(
        self,
        number: int,
        before: BackendOperatingStatus,
        after: BackendOperatingStatus,
        now: float,
    ) -> None:
        inputs = self._inputs_of(number, now)
        inputs.since = now
        new = before is BackendOperatingStatus.UNKNOWN and number in self._new_backends
        if after is BackendOperatingStatus.ONLINE and (
            new or before is BackendOperatingStatus.OFFLINE
        ):
            inputs.ramp_started_at = now
        self._new_backends.discard(number)

    def _effective_record(self, number: int) -> StatusRecord:
        """Return a backend's record, or the one that stands for a missing record.

        A missing record means online once exceptions are synchronized with a peer. Before that, and
        for a backend added after the first configuration, it means unknown.
        """
        value = self._register.value(number)
        if value or number in self._new_backends or not self._gossip.exceptions_synchronized:
            return decode_record(value)
        return assumed_online_record()

    def _inputs_of(self, number: int, now: float) -> ViewInputs:
        inputs = self._inputs.get(number)
        if inputs is None:
            inputs = ViewInputs(self._backends[number].ramp_seconds, now)
            self._inputs[number] = inputs
        return inputs

    def _evidence_of(self, backend_number: int) -> BackendEvidence | None:
        """Return a backend's evidence and mark its service for comparison."""
        entry = self._backends.get(backend_number)
        if entry is None:
            return None
        self._sampled_services.add(entry.service_number)
        return self._evidence.setdefault(backend_number, BackendEvidence())

    def _compare_reports(self, now: float) -> None:
        sampled, self._sampled_services = self._sampled_services, set()
        for service_number in sampled:
            self._compare_reports_of(self._backends_by_service.get(service_number, []), now)

    def _compare_reports_of(self, numbers: list[int], now: float) -> None:
        evidence = {
            number: self._evidence[number] for number in numbers if number in self._evidence
        }
        median_seconds = median_answer_seconds(evidence.values(), now)
        for number, item in evidence.items():
            weight_class = self._effective_record(number).weight_class
            comparable = median_seconds is not None and item.has_enough_samples(now)
            contradicted = comparable and item.contradicts(weight_class, median_seconds or 0.0, now)
            self._inputs_of(number, now).contradicted = contradicted

    def _remove_backend(self, number: int) -> None:
        self._register.remove(number)
        self._new_backends.discard(number)
        self._inputs.pop(number, None)
        self._evidence.pop(number, None)


def _backend_entry(service: ServiceContract, backend: Backend) -> _BackendEntry:
    return _BackendEntry(
        backend=backend,
        service_number=service.service_number,
        check_interval_seconds=service.policy.backend_check_interval,
        ramp_seconds=service.policy.backend_cold_start_ramp,
    )
