"""Upper bound on the worth that requests can earn while no machine of a deployment answers.

The assumptions favour the system, so that the bound is not below what is possible:

- Requests of each class arrive evenly over a window, in the shares of the whole day.
- A client sends the first packet of an attempt, and the data of an open flow, immediately and again
  after 0.2 and 0.6 s. An unanswered attempt ends after 1.4 s, and the next begins immediately.
- Requests forwarded before the outage are answered, since answers bypass the machines.
- The first packet sent after the outage is answered with the latency of its class, without
  queueing, however many clients return at once.
- An answer within the objective earns the full worth, one within the deadline the late worth. Both
  times count from the first attempt. A request that the outage does not delay earns the full worth.

`mean_reach_seconds` models the return of the machines. Each returns independently at a time
uniform within the spread, then waits a time uniform within one period of the routers' readiness
probes. Clients of a zone are served again from the time the first machine of the zone passes its
probe.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import NamedTuple

SEND_SECONDS = (0.0, 0.2, 0.6)
ATTEMPT_SECONDS = 1.4
PROBE_SECONDS = 0.5
STEP_SECONDS = 0.001
"""Step of the sums over time, one millisecond, which is also the resolution of the objectives."""


class RequestClass(NamedTuple):
    """A class of requests; `latency_seconds` is the time from the answered packet to the answer."""

    name: str
    share: float
    objective_seconds: float
    deadline_seconds: float
    worth: float
    late_worth: float
    attempts: int
    latency_seconds: float = 0.0


class Outage(NamedTuple):
    """The period in which no machine answers, in seconds of the day."""

    begins_at: float
    ends_at: float


class Window(NamedTuple):
    """An interval of arrivals in seconds of the day, and the share of its worth that was earned."""

    begins_at: float
    ends_at: float
    earned: float


def earned_worth(arrival: float, request: RequestClass, outage: Outage) -> float:
    """Return the worth that a request earns if it arrives at this time."""
    wait = 0.0
    if outage.begins_at <= arrival < outage.ends_at:
        sent = _first_send(arrival, request.attempts, outage.ends_at)
        if sent is None:
            return 0.0
        wait = sent
    latency = wait + request.latency_seconds
    if latency <= request.objective_seconds or not wait:
        return request.worth
    return request.late_worth if latency <= request.deadline_seconds else 0.0


def _first_send(arrival: float, attempts: int, ends_at: float) -> float | None:
    """Return the seconds from arrival to the first packet sent after the outage, or None."""
    for attempt in range(attempts):
        for offset in SEND_SECONDS:
            sent = attempt * ATTEMPT_SECONDS + offset
            if arrival + sent >= ends_at:
                return sent
    return None


def window_bound(window: Window, classes: Iterable[RequestClass], outage: Outage) -> float:
    """Return the largest share of a window's worth that can be earned if only the outage costs any.

    It is 1 for a window that the outage does not affect.
    """
    class_list = list(classes)
    steps = round((window.ends_at - window.begins_at) / STEP_SECONDS)
    total_worth = sum(request.share * request.worth for request in class_list) * steps
    arrivals = [window.begins_at + (step + 0.5) * STEP_SECONDS for step in range(steps)]
    earned = sum(
        request.share * earned_worth(arrival, request, outage)
        for request in class_list
        for arrival in arrivals
    )
    return earned / total_worth


def overlaps(window: Window, outage: Outage) -> bool:
    """Whether requests of a window arrive during the outage."""
    return window.begins_at < outage.ends_at and outage.begins_at < window.ends_at


def mean_of_worst_two(windows: Iterable[float]) -> float:
    """Return the mean of the two lowest shares, the bench's measure of worst windows."""
    lowest = sorted(windows)[:2]
    return sum(lowest) / len(lowest)


def mean_reach_seconds(machines: int, spread_seconds: float) -> float:
    """Return the mean time from the earliest possible return to a zone's first ready machine."""
    longest = spread_seconds + PROBE_SECONDS
    steps = round(longest / STEP_SECONDS)
    not_ready = (
        (1.0 - _ready_probability((step + 0.5) * STEP_SECONDS, spread_seconds)) ** machines
        for step in range(steps)
    )
    return sum(not_ready) * STEP_SECONDS


def _ready_probability(elapsed: float, spread_seconds: float) -> float:
    """Return the probability that a machine is ready `elapsed` after the earliest return."""
    if spread_seconds <= 0.0:
        return min(1.0, elapsed / PROBE_SECONDS)

    def half_square(seconds: float) -> float:
        return max(0.0, seconds) ** 2 / 2

    area = (
        half_square(elapsed)
        - half_square(elapsed - spread_seconds)
        - half_square(elapsed - PROBE_SECONDS)
        + half_square(elapsed - spread_seconds - PROBE_SECONDS)
    )
    return area / (spread_seconds * PROBE_SECONDS)


def implied_outage_end(
    seen: float, bound_at: Callable[[float], float], earliest: float, latest: float
) -> float | None:
    """Return the end of the outage at which the bound equals `seen`; None if it is after `latest`.

    `bound_at` returns the bound for an end of the outage; it must not increase with that time.
    """
    if bound_at(latest) > seen:
        return None
    while latest - earliest > STEP_SECONDS:
        midpoint = (earliest + latest) / 2
        if bound_at(midpoint) > seen:
            earliest = midpoint
        else:
            latest = midpoint
    return latest
