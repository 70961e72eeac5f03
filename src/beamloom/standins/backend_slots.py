"""The slots of a backend: how many requests run at once, and the bounded queue before them."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

from beamloom.standins.application import Request
from beamloom.standins.timers import TimerHeap

Owner = TypeVar("Owner")


@dataclass(slots=True, eq=False)
class Job(Generic[Owner]):
    """A request taken in; it may not start after `latest_start` (seconds, None: any time)."""

    request: Request
    owner: Owner
    latest_start: float | None


class RequestSlots(Generic[Owner]):
    """Runs at most `slots` requests, each for as long as `service_time(request, now)` says."""

    def __init__(
        self, slots: int, queue_limit: int, service_time: Callable[[Request, float], float]
    ) -> None:
        self._slots = slots
        self._queue_limit = queue_limit
        self._service_time = service_time
        self._queue: deque[Job[Owner]] = deque()
        self._running: set[Job[Owner]] = set()
        self._finishing: TimerHeap[Job[Owner]] = TimerHeap()

    @property
    def busy(self) -> int:
        """How many requests run or wait."""
        return len(self._running) + len(self._queue)

    @property
    def full(self) -> bool:
        """Whether the next request would be shed."""
        return self.busy >= self._slots + self._queue_limit

    def offer(self, request: Request, owner: Owner, now: float) -> bool:
        """Queue a request; returns False when it must be shed."""
        if self.full:
            return False
        deadline = request.deadline_milliseconds / 1000
        self._queue.append(Job(request, owner, now + deadline if deadline else None))
        return True

    def start_waiting(self, now: float) -> tuple[list[Job[Owner]], list[Job[Owner]]]:
        """Fill free slots; returns the jobs now started and those too late to start."""
        started: list[Job[Owner]] = []
        late: list[Job[Owner]] = []
        while self._queue and len(self._running) < self._slots:
            job = self._queue.popleft()
            if job.latest_start is not None and now >= job.latest_start:
                late.append(job)
                continue
            self._running.add(job)
            self._finishing.arm(job, now + self._service_time(job.request, now))
            started.append(job)
        return started, late

    def finish_due(self, now: float) -> list[Job[Owner]]:
        """Free the slots of requests whose time is over and return them."""
        finished = self._finishing.pop_due(now)
        self._running.difference_update(finished)
        return finished

    def cancel(self, owner: Owner) -> list[Job[Owner]]:
        """Drop an owner's jobs: free their slots; returns those that had not started."""
        for job in [job for job in self._running if job.owner is owner]:
            self._running.discard(job)
            self._finishing.arm(job, None)
        waiting = [job for job in self._queue if job.owner is owner]
        for job in waiting:
            self._queue.remove(job)
        return waiting

    def next_time(self) -> float | None:
        """When the next running request finishes."""
        return self._finishing.next_time()
