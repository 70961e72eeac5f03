"""The request slots of a backend, and the bounded queue of requests that wait for one."""

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
    """An accepted request; it must start before `latest_start` (seconds; None: no deadline)."""

    request: Request
    owner: Owner
    latest_start: float | None


class RequestSlots(Generic[Owner]):
    """Runs at most `slots` requests at once, each for `service_time(request, now)` seconds."""

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
        """How many requests are running or queued."""
        return len(self._running) + len(self._queue)

    @property
    def full(self) -> bool:
        """Whether the next request would be shed."""
        return self.busy >= self._slots + self._queue_limit

    def offer(self, request: Request, owner: Owner, now: float) -> bool:
        """Queue a request; returns False if the queue is full."""
        if self.full:
            return False
        deadline = request.deadline_milliseconds / 1000
        self._queue.append(Job(request, owner, now + deadline if deadline else None))
        return True

    def start_waiting(self, now: float) -> tuple[list[Job[Owner]], list[Job[Owner]]]:
        """Fill free slots; returns the started jobs and those whose deadline has passed."""
        started: list[Job[Owner]] = []
        expired: list[Job[Owner]] = []
        while self._queue and len(self._running) < self._slots:
            job = self._queue.popleft()
            if job.latest_start is not None and now >= job.latest_start:
                expired.append(job)
                continue
            self._running.add(job)
            self._finishing.arm(job, now + self._service_time(job.request, now))
            started.append(job)
        return started, expired

    def finish_due(self, now: float) -> list[Job[Owner]]:
        """Free the slots of jobs whose service time is over and return these jobs."""
        finished = self._finishing.pop_due(now)
        self._running.difference_update(finished)
        return finished

    def cancel(self, owner: Owner) -> list[Job[Owner]]:
        """Remove an owner's jobs, freeing their slots; returns those that had not started."""
        for job in [job for job in self._running if job.owner is owner]:
            self._running.discard(job)
            self._finishing.arm(job, None)
        waiting = [job for job in self._queue if job.owner is owner]
        for job in waiting:
            self._queue.remove(job)
        return waiting

    def next_time(self) -> float | None:
        """Return when the next running request finishes, or None if none runs."""
        return self._finishing.next_time()
