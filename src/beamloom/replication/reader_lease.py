"""One reader lease: its acquisition, renewal and expiry on one node.

Each observer determines expiry on its own monotonic clock: the lease object's revision has not
changed for the lease duration. Wall clocks are never compared (Gray and Cheriton, "Leases", 1989).
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from transitions import Machine

from beamloom.model.machines import NodeId
from beamloom.protocol.commands import Command, ReadObject, RecordTransition, WriteObject
from beamloom.protocol.events import (
    Event,
    StoreConflict,
    StoredObject,
    StoreFailed,
    StoreObjectRead,
    StoreWritten,
)
from beamloom.replication.backoff import Backoff

CANDIDATE, ACQUIRING, HOLDING, LAPSED = "candidate", "acquiring", "holding", "lapsed"
RENEWALS_PER_LEASE = 3
CLOCK_MARGIN = 1.1
"""Factor by which observers wait longer than the holder, to allow for clock drift."""


@dataclass(frozen=True, slots=True)
class LeaseSnapshot:
    """State of one lease as this node sees it."""

    number: int
    state: str
    rank: int | None
    observed_revision: int
    acquired_revision: int
    times_lapsed: int


class ReaderLease:
    """The states candidate -> acquiring -> holding -> lapsed -> candidate of one lease."""

    def __init__(
        self,
        number: int,
        node_id: NodeId,
        duration: float,
        rng: random.Random,
        request_ids: Iterator[int],
    ) -> None:
        self.number = number
        self.key = f"lease/reader/{number}"
        self.rank: int | None = None
        self.state = CANDIDATE
        self.acquired_revision = 0
        self._node_id = node_id
        self._duration = duration
        self._rng = rng
        self._request_ids = request_ids
        self._backoff = Backoff(rng)
        self._observed: StoredObject | None = None
        self._observed_at: float | None = None
        self._request_id: int | None = None
        self._request_deadline = 0.0
        self._pending_operation = ""
        self._written_at = 0.0
        self._renewed_at = 0.0
        self._next_at = 0.0
        self._times_lapsed = 0
        self._commands: list[Command] = []
        self._reason = ""
        self._machine = self._life_cycle()

    @property
    def holding(self) -> bool:
        """Whether this node held the lease when its expiry was last checked."""
        return self.state == HOLDING

    def check_expiry(self, now: float) -> bool:
        """Lapse if the lease was not renewed in time; to be called before acting as a reader."""
        if not self.holding or now < self._renewed_at + self._duration:
            return False
        self._transition("lapse", "not renewed within the lease duration")
        self._after_lapse(now)
        return True

    def poll(self, now: float, may_acquire: bool) -> list[Command]:
        """Run whatever is due; `may_acquire` is False if this node should not become a reader."""
        self.check_expiry(now)
        if self.state == LAPSED and now >= self._next_at:
            self._transition("retry", "the delay after the lapse is over")
        if self._request_id is not None and now >= self._request_deadline:
            self._request_failed(now)
        if self._request_id is None and now >= self._next_at:
            self._next_step(now, may_acquire)
        return self._take_commands()

    def handle(self, event: Event, now: float) -> list[Command]:
        """Handle the store's answer to this lease's request; other events are ignored."""
        self.check_expiry(now)
        if self._request_id is None or getattr(event, "request_id", None) != self._request_id:
            return self._take_commands()
        self._request_id = None
        match event:
            case StoreWritten():
                self._write_succeeded(event.revision, now)
            case StoreConflict():
                self._backoff.reset()
                self._handle_current(event.current, now)
            case StoreObjectRead():
                self._backoff.reset()
                self._handle_current(event.found, now)
            case StoreFailed():
                self._request_failed(now)
        return self._take_commands()

    def release(self, now: float) -> list[Command]:
        """Delete the lease object, so that the next candidate need not wait for its expiry."""
        if not self.holding or self._observed is None:
            return []
        request = WriteObject(next(self._request_ids), self.key, None, self._observed.revision)
        self._transition("lapse", "released for a planned stop")
        self._after_lapse(now)
        return [request, *self._take_commands()]

    def next_timer(self) -> float | None:
        """Return when `poll` is due next."""
        if self.rank is None and self.state == CANDIDATE and self._request_id is None:
            return None
        timer = self._next_at if self._request_id is None else self._request_deadline
        return min(timer, self._renewed_at + self._duration) if self.holding else timer

    def snapshot(self) -> LeaseSnapshot:
        """Return the state for status and explanations."""
        revision = self._observed.revision if self._observed else 0
        return LeaseSnapshot(
            self.number,
            self.state,
            self.rank,
            revision,
            self.acquired_revision,
            self._times_lapsed,
        )

    def _life_cycle(self) -> Machine:
        return Machine(
            model=self,
            states=[CANDIDATE, ACQUIRING, HOLDING, LAPSED],
            initial=CANDIDATE,
            auto_transitions=False,
            transitions=[
                {"trigger": "acquire", "source": CANDIDATE, "dest": ACQUIRING},
                {"trigger": "hold", "source": ACQUIRING, "dest": HOLDING},
                {"trigger": "yield_to", "source": ACQUIRING, "dest": CANDIDATE},
                {"trigger": "lapse", "source": HOLDING, "dest": LAPSED},
                {"trigger": "retry", "source": LAPSED, "dest": CANDIDATE},
            ],
        )

    def _transition(self, trigger: str, reason: str) -> None:
        before = self.state
        self.trigger(trigger)  # type: ignore[attr-defined]
        subject = f"reader lease {self.number}"
        self._commands.append(RecordTransition(subject, before, self.state, reason))

    def _after_lapse(self, now: float) -> None:
        self._times_lapsed += 1
        self._request_id = None
        self._next_at = now + self._rng.uniform(0.5, 1.0) * self._duration

    def _take_commands(self) -> list[Command]:
        commands, self._commands = self._commands, []
        return commands

    def _next_step(self, now: float, may_acquire: bool) -> None:
        if self.state in {HOLDING, ACQUIRING}:
            if self._pending_operation:
                self._read(now)
            else:
                self._write(now)
        elif self.state == CANDIDATE and may_acquire and self.rank is not None:
            self._acquire_or_read(now)

    def _acquire_or_read(self, now: float) -> None:
        if self._observed_at is None:
            self._read(now)
        elif now >= self._observed_expiry():
            self._transition("acquire", "the lease is free")
            self._write(now)
        else:
            self._read(now)

    def _observed_expiry(self) -> float:
        """Return when this observer considers the lease expired; later for lower-ranked nodes."""
        assert self._observed_at is not None
        value = (self._observed.value if self._observed else None) or {}
        if value.get("holder") == self._node_id:
            return self._observed_at
        wait = (self.rank or 0) * self._duration / 2
        if self._observed is not None:
            wait += self._duration * CLOCK_MARGIN
        return self._observed_at + wait

    def _start_request(self, now: float) -> int:
        self._request_id = next(self._request_ids)
        self._request_deadline = now + self._duration / RENEWALS_PER_LEASE
        return self._request_id

    def _read(self, now: float) -> None:
        self._commands.append(ReadObject(self._start_request(now), self.key))

    def _write(self, now: float) -> None:
        self._pending_operation = f"{self._node_id}/{self._rng.getrandbits(64):016x}"
        self._written_at = now
        value: dict[str, Any] = {
            "holder": self._node_id,
            "duration": self._duration,
            "operation": self._pending_operation,
        }
        expected = self._observed.revision if self._observed else 0
        request_id = self._start_request(now)
        self._commands.append(WriteObject(request_id, self.key, value, expected))

    def _write_succeeded(self, revision: int, now: float) -> None:
        self._backoff.reset()
        value = {"holder": self._node_id, "operation": self._pending_operation}
        created = self._observed.created_revision if self._observed else revision
        self._handle_current(StoredObject(self.key, value, revision, created), now)

    def _handle_current(self, found: StoredObject | None, now: float) -> None:
        self._observe(found, now)
        value = (found.value if found else None) or {}
        ours = bool(self._pending_operation) and value.get("operation") == self._pending_operation
        if ours and found is not None:
            self._confirmed(found, now)
        elif self.state != CANDIDATE and value.get("holder") == self._node_id:
            self._pending_operation = ""
            self._next_at = now
        elif self.state == HOLDING:
            self._taken_over(value, now)
        else:
            self._pending_operation = ""
            if self.state == ACQUIRING:
                self._transition("yield_to", "another node wrote the lease first")
            self._schedule_candidate(now)

    def _observe(self, found: StoredObject | None, now: float) -> None:
        before = self._observed.revision if self._observed else 0
        after = found.revision if found else 0
        if self._observed_at is None or before != after:
            self._observed_at = now
        self._observed = found

    def _confirmed(self, found: StoredObject, now: float) -> None:
        """Extend the lease, which runs from when the confirmed write was sent."""
        self._pending_operation = ""
        self._renewed_at = self._written_at
        self._next_at = self._written_at + self._duration / RENEWALS_PER_LEASE
        if self.state == ACQUIRING:
            self.acquired_revision = found.revision
            self._transition("hold", f"written at revision {found.revision}")
            self.check_expiry(now)

    def _taken_over(self, value: dict[str, Any], now: float) -> None:
        self._pending_operation = ""
        self._transition(
            "lapse", f"the lease object now names {value.get('holder') or 'no holder'}"
        )
        self._after_lapse(now)

    def _schedule_candidate(self, now: float) -> None:
        pause = self._duration / RENEWALS_PER_LEASE * self._rng.uniform(1.0, 1.5)
        self._next_at = min(now + pause * (1 + (self.rank or 0)), max(now, self._observed_expiry()))

    def _request_failed(self, now: float) -> None:
        """Schedule a retry; a failed write may have taken effect, so a read comes first."""
        self._request_id = None
        self._next_at = now + self._backoff.next_delay()
