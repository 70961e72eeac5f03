"""`BackendWatchers`: the component that checks, gossips and answers for the status of backends."""

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
from beamloom.replication.backend_status.checking import BackendChecking
from beamloom.replication.backend_status.evidence import BackendEvidence, usual_answer_seconds
from beamloom.replication.backend_status.gossip import GossipStatus, StatusGossip
from beamloom.replication.backend_status.register import (
    StatusRecord,
    StatusRegister,
    assumed_online,
    decode_record,
)
from beamloom.replication.backend_status.views import (
    REASON_TEXTS,
    BackendView,
    ViewInputs,
    make_view,
)

JUDGE_INTERVAL = 2.0
_UNKNOWN = BackendOperatingStatus.UNKNOWN
_ONLINE = BackendOperatingStatus.ONLINE


class UnknownBackendError(KeyError):
    """No contract in force names this backend; the configuration may be behind."""


@dataclass(frozen=True, slots=True)
class BackendWatchersStatus:
    """Counters and state, for status and explanations."""

    watched: int
    records: int
    distrusts_itself: bool
    unknown_records: int
    refusals_seen: int
    answer_times_seen: int
    contradicted: int
    gossip: GossipStatus


@dataclass(frozen=True, slots=True)
class _KnownBackend:
    backend: Backend
    service_number: int
    check_interval: float
    ramp_seconds: float


class BackendWatchers:
    """The status of every backend, as this node knows it, and this node's part in finding it out.

    `chance` spreads checks and chooses the peers of gossip.
    """

    def __init__(self, node_id: NodeId, chance: random.Random, now: float) -> None:
        self._node_id = node_id
        self._started_at = now
        self._register = StatusRegister()
        self._assignment = WatcherAssignment()
        self._gossip = StatusGossip(self._register, chance, now)
        self._created: set[int] = set()
        self._checking = BackendChecking(node_id, self._register, self._created, chance)
        self._known: dict[int, _KnownBackend] = {}
        self._has_backends = False
        self._inputs: dict[int, ViewInputs] = {}
        self._evidence: dict[int, BackendEvidence] = {}
        self._services: dict[int, list[int]] = {}
        self._sampled_services: set[int] = set()
        self._judge_at = now + JUDGE_INTERVAL
        self._unknown_records = 0
        self._refusals_seen = 0
        self._answer_times_seen = 0

    def update_members(self, members: Iterable[Member], now: float) -> None:
        """Take the members; watchers and peers follow."""
        listed = tuple(members)
        others = [item.machine.node_id for item in listed if item.answers]
        self._gossip.update_peers([node for node in others if node != self._node_id])
        if self._assignment.update_members(listed):
            self._update_watched(now)

    def update_backends(self, services: Iterable[ServiceContract], now: float) -> None:
        """Take the services in force; backends that come after the first call start cold."""
        known: dict[int, _KnownBackend] = {}
        grouped: dict[int, list[int]] = {}
        for service in services:
            grouped[service.service_number] = [item.backend_number for item in service.backends]
            for backend in service.backends:
                known[backend.backend_number] = _known_backend(service, backend)
        if self._has_backends:
            self._created |= known.keys() - self._known.keys()
        self._has_backends = True
        for number in self._known.keys() - known.keys():
            self._forget(number)
        self._known = known
        for number, inputs in self._inputs.items():
            inputs.ramp_seconds = known[number].ramp_seconds
        self._services = grouped
        self._assignment.update_backends(known)
        self._update_watched(now)

    def backend_checked(self, event: BackendChecked, now: float) -> list[Command]:
        """Take the answer to a `CheckBackend`."""
        commands = self._checking.backend_checked(event, now)
        return commands + self._publish_changes(now)

    def observe_refusal(self, backend_number: int, now: float) -> None:
        """Count a connection that the backend refused to a flow of this home."""
        evidence = self._evidence_of(backend_number)
        if evidence is not None:
            self._refusals_seen += 1
            evidence.add_refusal(now)

    def observe_answer_time(self, backend_number: int, seconds: float, now: float) -> None:
        """Take the time that the backend took to answer a flow's first payload."""
        evidence = self._evidence_of(backend_number)
        if evidence is not None:
            self._answer_times_seen += 1
            evidence.add_answer_time(seconds, now)

    def status(self, backend_number: int, now: float) -> BackendView:
        """Return what a home needs to know of a backend; raises UnknownBackendError."""
        known = self._known.get(backend_number)
        if known is None:
            raise UnknownBackendError(
                f"backend {backend_number} is in no contract; wait for the configuration"
            )
        inputs = self._inputs.get(backend_number)
        if inputs is None:
            inputs = ViewInputs(known.ramp_seconds, self._started_at)
        record = self._record(backend_number)
        return make_view(record, inputs, self._evidence.get(backend_number), now)

    def watchers(self, backend_number: int) -> tuple[NodeId, ...]:
        """Return the nodes that check a backend, for explanations."""
        return self._assignment.watchers(backend_number)

    def records(self) -> Iterator[tuple[int, int]]:
        """Return the value of each backend's record, for comparing nodes."""
        return self._register.items()

    def handle_message(self, sender: NodeId, message: Message, now: float) -> list[Command]:
        """Take a message of kinds 64 to 69; others are ignored."""
        match message:
            case WatcherOpinion():
                commands = self._checking.opinion_received(sender, message, now)
                return commands + self._publish_changes(now)
            case StatusBatch():
                return self._take_batch(message, now)
            case _:
                return self._repair(sender, message, now)

    def _repair(self, sender: NodeId, message: Message, now: float) -> list[Command]:
        match message:
            case StatusExceptions():
                commands = self._take_records(message.records, now, publish=False)
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
        """Start due checks, send due gossip, judge load reports by what was observed."""
        commands = self._checking.poll(now)
        commands += self._publish_changes(now)
        commands += self._gossip.poll(now)
        if now >= self._judge_at:
            self._judge_at = now + JUDGE_INTERVAL
            self._judge_reports(now)
        return commands

    def next_timer(self) -> float | None:
        """Return when `poll` has something to do."""
        times = [self._gossip.next_timer()]
        check_at = self._checking.next_timer()
        if check_at is not None:
            times.append(check_at)
        if self._sampled_services:
            times.append(self._judge_at)
        return min(times)

    def snapshot(self) -> BackendWatchersStatus:
        """Return counters and state."""
        return BackendWatchersStatus(
            watched=self._checking.watched_count,
            records=len(self._register),
            distrusts_itself=self._checking.distrusts_itself,
            unknown_records=self._unknown_records,
            refusals_seen=self._refusals_seen,
            answer_times_seen=self._answer_times_seen,
            contradicted=sum(inputs.contradicted for inputs in self._inputs.values()),
            gossip=self._gossip.snapshot(),
        )

    def _update_watched(self, now: float) -> None:
        numbers = self._assignment.watched_by(self._node_id)
        known = [(number, self._known[number]) for number in numbers]
        watched = [
            (item.backend, item.check_interval, self._assignment.watchers(number))
            for number, item in known
        ]
        self._checking.update(watched, now)

    def _publish_changes(self, now: float) -> list[Command]:
        changes, self._checking.changes = self._checking.changes, []
        commands: list[Command] = []
        for number, value in changes:
            commands += self._apply(number, value, now, publish=True)
        return commands

    def _take_batch(self, message: StatusBatch, now: float) -> list[Command]:
        if not message.fresh:
            self._gossip.count_pulled(len(message.records) // 2)
        return self._take_records(message.records, now, publish=message.fresh)

    def _take_records(self, records: list[int], now: float, *, publish: bool) -> list[Command]:
        commands: list[Command] = []
        for number, value in zip(records[::2], records[1::2], strict=True):
            if number in self._known:
                commands += self._apply(number, value, now, publish=publish)
            else:
                self._unknown_records += 1
        return commands

    def _apply(self, number: int, value: int, now: float, *, publish: bool) -> list[Command]:
        before = self._record(number)
        if not self._register.apply(number, value):
            return []
        after = decode_record(value)
        if publish:
            expected = before.status is _UNKNOWN and after.status is _ONLINE
            is_news = not expected or number in self._created
            urgent = after.status is not before.status and is_news
            self._gossip.publish(number, now, urgent=urgent)
        if after.status is before.status:
            return []
        self._note_change(number, before.status, after.status, now)
        return [
            RecordTransition(
                subject=f"backend/{self._known[number].backend.backend_id}",
                before=before.status.name.lower(),
                after=after.status.name.lower(),
                reason=REASON_TEXTS[after.reason],
            )
        ]

    def _note_change(
        self,
        number: int,
        before: BackendOperatingStatus,
        after: BackendOperatingStatus,
        now: float,
    ) -> None:
        inputs = self._inputs_of(number, now)
        inputs.since = now
        new = before is BackendOperatingStatus.UNKNOWN and number in self._created
        if after is BackendOperatingStatus.ONLINE and (
            new or before is BackendOperatingStatus.OFFLINE
        ):
            inputs.ramp_from = now
        self._created.discard(number)

    def _record(self, number: int) -> StatusRecord:
        """Return a backend's record; none means online, once a peer knows of nothing else either.

        A backend that came while this node ran is unknown until a watcher has found it online.
        """
        value = self._register.value(number)
        if value or number in self._created or not self._gossip.agrees_on_exceptions:
            return decode_record(value)
        return assumed_online()

    def _inputs_of(self, number: int, now: float) -> ViewInputs:
        inputs = self._inputs.get(number)
        if inputs is None:
            inputs = ViewInputs(self._known[number].ramp_seconds, now)
            self._inputs[number] = inputs
        return inputs

    def _evidence_of(self, backend_number: int) -> BackendEvidence | None:
        known = self._known.get(backend_number)
        if known is None:
            return None
        self._sampled_services.add(known.service_number)
        return self._evidence.setdefault(backend_number, BackendEvidence())

    def _judge_reports(self, now: float) -> None:
        sampled, self._sampled_services = self._sampled_services, set()
        for service_number in sampled:
            self._judge_service(self._services.get(service_number, []), now)

    def _judge_service(self, numbers: list[int], now: float) -> None:
        evidence = {
            number: self._evidence[number] for number in numbers if number in self._evidence
        }
        usual = usual_answer_seconds(evidence.values(), now)
        for number, item in evidence.items():
            weight_class = self._record(number).weight_class
            judged = usual is not None and item.counts(now)
            contradicted = judged and item.contradicts(weight_class, usual or 0.0, now)
            self._inputs_of(number, now).contradicted = contradicted

    def _forget(self, number: int) -> None:
        self._register.remove(number)
        self._created.discard(number)
        self._inputs.pop(number, None)
        self._evidence.pop(number, None)


def _known_backend(service: ServiceContract, backend: Backend) -> _KnownBackend:
    return _KnownBackend(
        backend=backend,
        service_number=service.service_number,
        check_interval=service.policy.backend_check_interval,
        ramp_seconds=service.policy.backend_cold_start_ramp,
    )
