"""Checks the backends that this node watches, and says when the register must change."""

from __future__ import annotations

import heapq
import random
from collections.abc import Iterable, Set

from beamloom.model.contracts import Backend, BackendOperatingStatus
from beamloom.model.machines import NodeId
from beamloom.protocol.backend_messages import WatcherOpinion
from beamloom.protocol.commands import CheckBackend, Command, SendMessage
from beamloom.protocol.events import BackendChecked
from beamloom.replication.backend_status.load_reports import FROZEN_AFTER, LoadReport
from beamloom.replication.backend_status.register import (
    StatusReason,
    StatusRecord,
    StatusRegister,
    assumed_online,
    decode_record,
)
from beamloom.replication.backend_status.watching import WatchedBackend

JITTER = 0.1
RECHECK_SHARE = 0.5
WEIGHT_PUBLISH_INTERVAL = 30.0
MINIMUM_FOR_SELF_DISTRUST = 2


class BackendChecking:
    """Schedules checks and weighs their outcomes; `changes` collects records to publish."""

    def __init__(
        self,
        node_id: NodeId,
        register: StatusRegister,
        created: Set[int],
        chance: random.Random,
    ) -> None:
        self._node_id = node_id
        self._register = register
        self._created = created
        self._random = chance
        self._watched: dict[int, WatchedBackend] = {}
        self._heap: list[tuple[float, int]] = []
        self._failing = 0
        self._judged = 0
        self.changes: list[tuple[int, int]] = []

    @property
    def watched_count(self) -> int:
        """The number of backends that this node checks."""
        return len(self._watched)

    @property
    def distrusts_itself(self) -> bool:
        """Whether every one of several backends failed its last check: likely our own fault."""
        return self._judged >= MINIMUM_FOR_SELF_DISTRUST and self._failing == self._judged

    def update(
        self,
        backends: Iterable[tuple[Backend, float, tuple[NodeId, ...]]],
        now: float,
    ) -> None:
        """Take the backends to watch: each with its check interval and its watchers."""
        watched: dict[int, WatchedBackend] = {}
        for backend, interval, watchers in backends:
            item = self._watched.get(backend.backend_number)
            if item is None:
                item = self._start(backend, interval, now)
            item.backend = backend
            item.interval = interval
            item.update_watchers(watchers, self._node_id)
            watched[backend.backend_number] = item
        self._watched = watched
        outcomes = [item.health.failing for item in watched.values()]
        self._failing = outcomes.count(True)
        self._judged = len(outcomes) - outcomes.count(None)

    def backend_checked(self, event: BackendChecked, now: float) -> list[Command]:
        """Take the answer to a check; a late or unasked one is ignored."""
        item = self._watched.get(event.backend_number)
        if item is None or not item.outstanding:
            return []
        item.outstanding = False
        if event.healthy:
            item.load.observe(event.load, now)
        was_failing = item.is_failing_online
        commands = self._observe(item, event.healthy, event.shedding, now)
        if item.is_failing_online:
            self._schedule(item, min(item.next_check, now + self._delay(item)))
        elif was_failing:
            self._schedule(item, now + self._delay(item))
        return commands

    def opinion_received(
        self, sender: NodeId, message: WatcherOpinion, now: float
    ) -> list[Command]:
        """Take the other watcher's opinion; answer with our own unless we distrust it."""
        item = self._watched.get(message.backend_number)
        if item is None or sender != item.co_watcher:
            return []
        item.hear(BackendOperatingStatus(message.status), now)
        commands: list[Command] = []
        if message.wants_answer and not self.distrusts_itself:
            answer = WatcherOpinion(message.backend_number, int(item.health.status), False)
            commands.append(SendMessage(sender, answer))
        return commands + self._consider(item, now)

    def poll(self, now: float) -> list[Command]:
        """Start the checks that are due; one still unanswered has failed."""
        commands: list[Command] = []
        while self._heap and self._heap[0][0] <= now:
            due, number = heapq.heappop(self._heap)
            item = self._watched.get(number)
            if item is None or item.next_check != due:
                continue
            if item.outstanding:
                commands += self._observe(item, False, False, now)
            item.outstanding = True
            self._schedule(item, now + self._delay(item))
            commands.append(CheckBackend(number, item.backend.health_address))
        return commands

    def next_timer(self) -> float | None:
        """Return the time of the next check."""
        return self._heap[0][0] if self._heap else None

    def _start(self, backend: Backend, interval: float, now: float) -> WatchedBackend:
        held = self._register.value(backend.backend_number)
        load = LoadReport(now, decode_record(held).weight_class) if held else LoadReport(now)
        item = WatchedBackend(backend, interval, load, next_check=0.0)
        self._schedule(item, now + interval * self._random.random())
        return item

    def _delay(self, item: WatchedBackend) -> float:
        """Return the time to the next check: shorter once one has failed, to be sure of it soon."""
        share = RECHECK_SHARE if item.is_failing_online else 1.0
        return item.interval * share * self._random.uniform(1 - JITTER, 1 + JITTER)

    def _schedule(self, item: WatchedBackend, at: float) -> None:
        item.next_check = at
        heapq.heappush(self._heap, (at, item.backend.backend_number))

    def _observe(
        self, item: WatchedBackend, healthy: bool, shedding: bool, now: float
    ) -> list[Command]:
        before = item.health.failing
        item.health.failing = not healthy
        self._judged += before is None
        self._failing += (not healthy) - bool(before)
        if not self.distrusts_itself:
            item.health.observe(healthy=healthy, shedding=shedding)
        return self._consider(item, now)

    def _consider(self, item: WatchedBackend, now: float) -> list[Command]:
        """Publish, ask the other watcher, or leave the register as it is."""
        status = item.health.status
        if status is BackendOperatingStatus.UNKNOWN or self.distrusts_itself:
            return []
        number = item.backend.backend_number
        held = self._held(number)
        if held.status is status:
            item.stop_asking()
            self._consider_weight(item, held, now)
            return []
        if item.may_publish(now):
            self._publish(number, item.next_record(held, item.reason(now)))
            item.stop_asking()
            return []
        if item.co_watcher is None or not item.should_ask(now):
            return []
        return [SendMessage(item.co_watcher, WatcherOpinion(number, int(status), True))]

    def _held(self, number: int) -> StatusRecord:
        """Return the record in force; that an old backend is online needs no record."""
        value = self._register.value(number)
        return decode_record(value) if value or number in self._created else assumed_online()

    def _consider_weight(self, item: WatchedBackend, held: StatusRecord, now: float) -> None:
        if not item.is_first or held.status is not BackendOperatingStatus.ONLINE:
            return
        item.load.judge(others_move=self._others_move(item, now), now=now)
        if item.load.weight_class == held.weight_class:
            return
        if now - item.weight_published_at < WEIGHT_PUBLISH_INTERVAL:
            return
        item.weight_published_at = now
        frozen = item.load.frozen
        reason = StatusReason.LOAD_REPORT_FROZEN if frozen else StatusReason.LOAD_REPORTED
        self._publish(item.backend.backend_number, item.next_record(held, reason))

    def _others_move(self, item: WatchedBackend, now: float) -> bool:
        """Return whether at least half of the other watched backends' reports changed lately."""
        if now - item.load.unchanged_since < FROZEN_AFTER:
            return False
        others = [other for other in self._watched.values() if other is not item]
        moving = sum(now - other.load.unchanged_since < FROZEN_AFTER for other in others)
        return moving > 0 and 2 * moving >= len(others)

    def _publish(self, number: int, record: StatusRecord) -> None:
        self.changes.append((number, record.encode()))
