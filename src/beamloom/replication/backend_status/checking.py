"""Schedules health checks of the watched backends and derives new status records from them."""

from __future__ import annotations

import heapq
import random
from collections.abc import Iterable, Set

from beamloom.model.contracts import Backend, BackendOperatingStatus
from beamloom.model.machines import NodeId
from beamloom.protocol.backend_messages import WatcherOpinion
from beamloom.protocol.commands import CheckBackend, Command, SendMessage
from beamloom.protocol.events import BackendChecked
from beamloom.replication.backend_status.load_reports import FROZEN_AFTER_SECONDS, LoadTracker
from beamloom.replication.backend_status.register import (
    StatusReason,
    StatusRecord,
    StatusRegister,
    assumed_online_record,
    decode_record,
)
from beamloom.replication.backend_status.watching import WatchedBackend

CHECK_JITTER = 0.1
RECHECK_FACTOR = 0.5
WEIGHT_PUBLISH_INTERVAL_SECONDS = 30.0
MINIMUM_FOR_LOCAL_FAULT = 2


class BackendChecker:
    """Schedules checks and evaluates their outcomes.

    `pending_records` collects the records to publish. `new_backends` are the backends that were
    added after the first configuration and have had no status yet.
    """

    def __init__(
        self,
        node_id: NodeId,
        register: StatusRegister,
        new_backends: Set[int],
        rng: random.Random,
    ) -> None:
        self._node_id = node_id
        self._register = register
        self._new_backends = new_backends
        self._rng = rng
        self._watched: dict[int, WatchedBackend] = {}
        self._check_schedule: list[tuple[float, int]] = []
        self._failing = 0
        self._with_outcome = 0
        self.pending_records: list[tuple[int, int]] = []

    @property
    def watched_count(self) -> int:
        """The number of backends that this node checks."""
        return len(self._watched)

    @property
    def suspects_local_fault(self) -> bool:
        """Whether every last check failed, of at least two backends: probably a local fault."""
        return self._with_outcome >= MINIMUM_FOR_LOCAL_FAULT and self._failing == self._with_outcome

    def update(
        self,
        backends: Iterable[tuple[Backend, float, tuple[NodeId, ...]]],
        now: float,
    ) -> None:
        """Replace the backends to watch, each with its check interval and its watchers."""
        watched: dict[int, WatchedBackend] = {}
        for backend, interval, watchers in backends:
            item = self._watched.get(backend.backend_number)
            if item is None:
                item = self._start_watching(backend, interval, now)
            item.backend = backend
            item.check_interval_seconds = interval
            item.update_watchers(watchers, self._node_id)
            watched[backend.backend_number] = item
        self._watched = watched
        outcomes = [item.health.failing for item in watched.values()]
        self._failing = outcomes.count(True)
        self._with_outcome = len(outcomes) - outcomes.count(None)

    def backend_checked(self, event: BackendChecked, now: float) -> list[Command]:
        """Handle the result of a check; it is ignored if no check of the backend is outstanding."""
        item = self._watched.get(event.backend_number)
        if item is None or not item.check_outstanding:
            return []
        item.check_outstanding = False
        if event.healthy:
            item.load_reports.observe(event.load, now)
        was_failing = item.is_confirming_failure
        commands = self._record_outcome(item, event.healthy, event.shedding, now)
        if item.is_confirming_failure:
            self._schedule(item, min(item.next_check, now + self._check_delay(item)))
        elif was_failing:
            self._schedule(item, now + self._check_delay(item))
        return commands

    def opinion_received(
        self, sender: NodeId, message: WatcherOpinion, now: float
    ) -> list[Command]:
        """Record the other watcher's opinion; answer if asked, unless suspecting a local fault."""
        item = self._watched.get(message.backend_number)
        if item is None or sender != item.co_watcher:
            return []
        item.record_opinion(BackendOperatingStatus(message.status), now)
        commands: list[Command] = []
        if message.wants_answer and not self.suspects_local_fault:
            answer = WatcherOpinion(message.backend_number, int(item.health.status), False)
            commands.append(SendMessage(sender, answer))
        return commands + self._reconcile(item, now)

    def poll(self, now: float) -> list[Command]:
        """Start the checks that are due; one that is still outstanding by then has failed."""
        commands: list[Command] = []
        while self._check_schedule and self._check_schedule[0][0] <= now:
            due, number = heapq.heappop(self._check_schedule)
            item = self._watched.get(number)
            if item is None or item.next_check != due:
                continue
            if item.check_outstanding:
                commands += self._record_outcome(item, False, False, now)
            item.check_outstanding = True
            self._schedule(item, now + self._check_delay(item))
            commands.append(CheckBackend(number, item.backend.health_address))
        return commands

    def next_timer(self) -> float | None:
        """Return when `poll` may have a check to start, None if none is scheduled."""
        return self._check_schedule[0][0] if self._check_schedule else None

    def _start_watching(self, backend: Backend, interval: float, now: float) -> WatchedBackend:
        value = self._register.value(backend.backend_number)
        load = LoadTracker(now, decode_record(value).weight_class) if value else LoadTracker(now)
        item = WatchedBackend(backend, interval, load, next_check=0.0)
        self._schedule(item, now + interval * self._rng.random())
        return item

    def _check_delay(self, item: WatchedBackend) -> float:
        """Return the time to the next check; it is shorter while a failure awaits confirmation."""
        share = RECHECK_FACTOR if item.is_confirming_failure else 1.0
        return (
            item.check_interval_seconds
            * share
            * self._rng.uniform(1 - CHECK_JITTER, 1 + CHECK_JITTER)
        )

    def _schedule(self, item: WatchedBackend, at: float) -> None:
        item.next_check = at
        heapq.heappush(self._check_schedule, (at, item.backend.backend_number))

    def _record_outcome(
        self, item: WatchedBackend, healthy: bool, shedding: bool, now: float
    ) -> list[Command]:
        before = item.health.failing
        item.health.failing = not healthy
        self._with_outcome += before is None
        self._failing += (not healthy) - bool(before)
        if not self.suspects_local_fault:
            item.health.observe(healthy=healthy, shedding=shedding)
        return self._reconcile(item, now)

    def _reconcile(self, item: WatchedBackend, now: float) -> list[Command]:
        """Publish a status that differs from the register, or ask the other watcher about it.

        If the status is the same, only the weight class is compared.
        """
        status = item.health.status
        if status is BackendOperatingStatus.UNKNOWN or self.suspects_local_fault:
            return []
        number = item.backend.backend_number
        current = self._current_record(number)
        if current.status is status:
            item.stop_asking()
            self._reconcile_weight(item, current, now)
            return []
        if item.may_publish(now):
            self._queue_record(number, item.next_record(current, item.status_reason(now)))
            item.stop_asking()
            return []
        if item.co_watcher is None or not item.ask_if_due(now):
            return []
        return [SendMessage(item.co_watcher, WatcherOpinion(number, int(status), True))]

    def _current_record(self, number: int) -> StatusRecord:
        """Return the current record; without one, a backend that is not new counts as online."""
        value = self._register.value(number)
        return (
            decode_record(value)
            if value or number in self._new_backends
            else assumed_online_record()
        )

    def _reconcile_weight(self, item: WatchedBackend, current: StatusRecord, now: float) -> None:
        """Publish the first watcher's weight class if it changed and the interval has passed."""
        if not item.is_first or current.status is not BackendOperatingStatus.ONLINE:
            return
        item.load_reports.update_class(
            others_changing=self._others_are_changing(item, now), now=now
        )
        if item.load_reports.weight_class == current.weight_class:
            return
        if now - item.weight_published_at < WEIGHT_PUBLISH_INTERVAL_SECONDS:
            return
        item.weight_published_at = now
        frozen = item.load_reports.frozen
        reason = StatusReason.LOAD_REPORT_FROZEN if frozen else StatusReason.LOAD_REPORTED
        self._queue_record(item.backend.backend_number, item.next_record(current, reason))

    def _others_are_changing(self, item: WatchedBackend, now: float) -> bool:
        """Return whether this backend's load report is unchanged while others change.

        At least half of the other watched backends' reports must have changed recently.
        """
        if now - item.load_reports.unchanged_since < FROZEN_AFTER_SECONDS:
            return False
        others = [other for other in self._watched.values() if other is not item]
        changing = sum(
            now - other.load_reports.unchanged_since < FROZEN_AFTER_SECONDS for other in others
        )
        return changing > 0 and 2 * changing >= len(others)

    def _queue_record(self, number: int, record: StatusRecord) -> None:
        self.pending_records.append((number, record.encode()))
