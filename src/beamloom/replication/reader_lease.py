"""One reader lease: how a node comes to hold it, renews it, and finds out that it lapsed.

Expiry is judged by each observer on its own monotonic clock: the lease object's revision did not
change for the lease duration. Wall clocks are never compared (Gray and Cheriton, "Leases", 1989).
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
"""How much longer an observer waits than the holder does, against clocks of different speed."""


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
    """The life cycle candidate -> acquiring -> holding -> lapsed -> candidate of one lease."""

    def __init__(
        self,
        number: int,
        node_id: NodeId,
        duration: float,
        chance: random.Random,
        request_ids: Iterator[int],
    ) -> None:
        self.number = number
        self.key = f"lease/reader/{number}"
        self.rank: int | None = None
        self.state = CANDIDATE
        self.acquired_revision = 0
        self._node_id = node_id
        self._duration = duration
        self._chance = chance
        self._request_ids = request_ids
        self._backoff = Backoff(chance)
        self._observed: StoredObject | None = None
        self._observed_at: float | None = None
        self._request_id: int | None = None
        self._request_deadline = 0.0
        self._operation = ""
        self._written_at = 0.0
        self._renewed_at = 0.0
        self._next_at = 0.0
        self._times_lapsed = 0
        self._commands: list[Command] = []
        self._reason = ""
        self._machine = self._life_cycle()

    @property
    def holding(self) -> bool:
        """Whether this node may act as a reader, as of the last `poll`."""
        return self.state == HOLDING

    def check_expiry(self, now: float) -> bool:
        """Lapse if the lease was not renewed in time; must precede anything a reader does."""
        if not self.holding or now < self._renewed_at + self._duration:
            return False
        self._fire("lapse", "not renewed within the lease duration")
        self._abandon(now)
        return True

    def poll(self, now: float, may_acquire: bool) -> list[Command]:
        """Do whatever is due; `may_acquire` is false when this node should not become a reader."""
        self.check_expiry(now)
        if self.state == LAPSED and now >= self._next_at:
            self._fire("stand", "waited after the lapse")
        if self._request_id is not None and now >= self._request_deadline:
            self._request_failed(now)
        if self._request_id is None and now >= self._next_at:
            self._next_step(now, may_acquire)
        return self._take_commands()

    def handle(self, event: Event, now: float) -> list[Command]:
        """Take the store's answer to this lease's request; anything else is ignored."""
        self.check_expiry(now)
        if self._request_id is None or getattr(event, "request_id", None) != self._request_id:
            return self._take_commands()
        self._request_id = None
        match event:
            case StoreWritten():
                self._write_succeeded(event.revision, now)
            case StoreConflict():
                self._backoff.reset()
                self._learned(event.current, now)
            case StoreObjectRead():
                self._backoff.reset()
                self._learned(event.found, now)
            case StoreFailed():
                self._request_failed(now)
        return self._take_commands()

    def release(self, now: float) -> list[Command]:
        """Give the lease back, so that the next candidate need not wait for its expiry."""
        if not self.holding or self._observed is None:
            return []
        request = WriteObject(next(self._request_ids), self.key, None, self._observed.revision)
        self._fire("lapse", "released for a planned stop")
        self._abandon(now)
        return [request, *self._take_commands()]

    def next_timer(self) -> float | None:
        """Return when `poll` has something to do."""
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
                {"trigger": "stand", "source": LAPSED, "dest": CANDIDATE},
            ],
        )

    def _fire(self, trigger: str, reason: str) -> None:
        before = self.state
        self.trigger(trigger)  # type: ignore[attr-defined]
        subject = f"reader lease {self.number}"
        self._commands.append(RecordTransition(subject, before, self.state, reason))

    def _abandon(self, now: float) -> None:
        self._times_lapsed += 1
        self._request_id = None
        self._next_at = now + self._chance.uniform(0.5, 1.0) * self._duration

    def _take_commands(self) -> list[Command]:
        commands, self._commands = self._commands, []
        return commands

    def _next_step(self, now: float, may_acquire: bool) -> None:
        if self.state in {HOLDING, ACQUIRING}:
            if self._operation:
                self._read(now)
            else:
                self._write(now)
        elif self.state == CANDIDATE and may_acquire and self.rank is not None:
            self._acquire_or_read(now)

    def _acquire_or_read(self, now: float) -> None:
        if self._observed_at is None:
            self._read(now)
        elif now >= self._expiry_seen_at():
            self._fire("acquire", "the lease is free")
            self._write(now)
        else:
            self._read(now)

    def _expiry_seen_at(self) -> float:
        """Return when this observer holds the lease expired; later for lower ranks."""
        assert self._observed_at is not None
        value = (self._observed.value if self._observed else None) or {}
        if value.get("holder") == self._node_id:
            return self._observed_at
        patience = (self.rank or 0) * self._duration / 2
        if self._observed is not None:
            patience += self._duration * CLOCK_MARGIN
        return self._observed_at + patience

    def _start_request(self, now: float) -> int:
        self._request_id = next(self._request_ids)
        self._request_deadline = now + self._duration / RENEWALS_PER_LEASE
        return self._request_id

    def _read(self, now: float) -> None:
        self._commands.append(ReadObject(self._start_request(now), self.key))

    def _write(self, now: float) -> None:
        self._operation = f"{self._node_id}/{self._chance.getrandbits(64):016x}"
        self._written_at = now
        value: dict[str, Any] = {
            "holder": self._node_id,
            "duration": self._duration,
            "operation": self._operation,
        }
        expected = self._observed.revision if self._observed else 0
        request_id = self._start_request(now)
        self._commands.append(WriteObject(request_id, self.key, value, expected))

    def _write_succeeded(self, revision: int, now: float) -> None:
        self._backoff.reset()
        value = {"holder": self._node_id, "operation": self._operation}
        created = self._observed.created_revision if self._observed else revision
        self._learned(StoredObject(self.key, value, revision, created), now)

    def _learned(self, found: StoredObject | None, now: float) -> None:
        self._observe(found, now)
        value = (found.value if found else None) or {}
        ours = bool(self._operation) and value.get("operation") == self._operation
        if ours and found is not None:
            self._confirmed(found, now)
        elif self.state != CANDIDATE and value.get("holder") == self._node_id:
            self._operation = ""
            self._next_at = now
        elif self.state == HOLDING:
            self._taken_over(value, now)
        else:
            self._operation = ""
            if self.state == ACQUIRING:
                self._fire("yield_to", "another node wrote the lease first")
            self._schedule_candidate(now)

    def _observe(self, found: StoredObject | None, now: float) -> None:
        before = self._observed.revision if self._observed else 0
        after = found.revision if found else 0
        if self._observed_at is None or before != after:
            self._observed_at = now
        self._observed = found

    def _confirmed(self, found: StoredObject, now: float) -> None:
        """Our write took effect: the lease runs from the moment that it was sent."""
        self._operation = ""
        self._renewed_at = self._written_at
        self._next_at = self._written_at + self._duration / RENEWALS_PER_LEASE
        if self.state == ACQUIRING:
            self.acquired_revision = found.revision
            self._fire("hold", f"written at revision {found.revision}")
            self.check_expiry(now)

    def _taken_over(self, value: dict[str, Any], now: float) -> None:
        self._operation = ""
        self._fire("lapse", f"taken over by {value.get('holder') or 'nobody'}")
        self._abandon(now)

    def _schedule_candidate(self, now: float) -> None:
        pause = self._duration / RENEWALS_PER_LEASE * self._chance.uniform(1.0, 1.5)
        self._next_at = min(now + pause * (1 + (self.rank or 0)), max(now, self._expiry_seen_at()))

    def _request_failed(self, now: float) -> None:
        """Go on after a lost answer; the write may have taken effect, so the next step reads."""
        self._request_id = None
        self._next_at = now + self._backoff.next_delay()
