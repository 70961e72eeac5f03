"""What callers can get at best while no machine of a deployment answers.

Assumptions, each in favour of the system, so that the bound is never below what is possible:

- Requests of each class arrive evenly over a window, in the shares that the whole day had.
- A client sends the opening of an attempt, and the data of an open flow, at once and again after
  0.2 and 0.6 s; an attempt that nobody answers ends after 1.4 s, and the next one begins at once.
- What was forwarded before the power went is answered all the same: answers do not pass through the
  machines.
- The first packet that is sent once callers are reached again is taken and answered, with the
  latency that is given for the class; none waits for anything else, however many return at once.
- An answer within the objective has the full worth, one within the deadline the worth when late,
  both counted from the first attempt.

`soonest_reach_seconds` adds how machines return: each independently, evenly within the spread, and
each then waits evenly up to a period of the routers' readiness probes. A zone's callers are reached
again by its first machine that is in.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import NamedTuple

SEND_SECONDS = (0.0, 0.2, 0.6)
ATTEMPT_SECONDS = 1.4
PROBE_SECONDS = 0.5
STEP_SECONDS = 0.001
"""Arrivals are summed in steps of this; the objective is in whole milliseconds as well."""


class RequestClass(NamedTuple):
    """One kind of request; `latency_seconds` is what an answer takes at best, from its packet."""

    name: str
    share: float
    objective_seconds: float
    deadline_seconds: float
    worth: float
    late_worth: float
    attempts: int
    latency_seconds: float = 0.0


class Darkness(NamedTuple):
    """From when no machine answers, and when callers are reached again, in seconds of the day."""

    begins_at: float
    reached_at: float


class Window(NamedTuple):
    """A span of arrivals in seconds of the day, and the share of the worth that was earned."""

    begins_at: float
    ends_at: float
    earned: float


def earned_by(arrival: float, request: RequestClass, darkness: Darkness) -> float:
    """Return the worth of a request that arrives at a moment."""
    wait = 0.0
    if darkness.begins_at <= arrival < darkness.reached_at:
        sent = _first_send(arrival, request.attempts, darkness.reached_at)
        if sent is None:
            return 0.0
        wait = sent
    latency = wait + request.latency_seconds
    if latency <= request.objective_seconds or not wait:
        return request.worth
    return request.late_worth if latency <= request.deadline_seconds else 0.0


def _first_send(arrival: float, attempts: int, reached_at: float) -> float | None:
    """Return how long after its arrival a request's first packet that is taken is sent."""
    for attempt in range(attempts):
        for offset in SEND_SECONDS:
            sent = attempt * ATTEMPT_SECONDS + offset
            if arrival + sent >= reached_at:
                return sent
    return None


def window_bound(window: Window, classes: Iterable[RequestClass], darkness: Darkness) -> float:
    """Return the largest share of a window's worth that can be earned, but for the dark time none.

    A window that the dark time does not touch has 1.
    """
    known = list(classes)
    steps = round((window.ends_at - window.begins_at) / STEP_SECONDS)
    owed = sum(request.share * request.worth for request in known) * steps
    arrivals = [window.begins_at + (step + 0.5) * STEP_SECONDS for step in range(steps)]
    earned = sum(
        request.share * earned_by(arrival, request, darkness)
        for request in known
        for arrival in arrivals
    )
    return earned / owed


def touched(window: Window, darkness: Darkness) -> bool:
    """Whether requests of a window arrive while nobody is reached."""
    return window.begins_at < darkness.reached_at and darkness.begins_at < window.ends_at


def worst_two(windows: Iterable[float]) -> float:
    """Return the mean of the two lowest shares, which is what a day's worst windows count."""
    lowest = sorted(windows)[:2]
    return sum(lowest) / len(lowest)


def soonest_reach_seconds(machines: int, spread_seconds: float) -> float:
    """Return the mean time from the earliest return to a zone's first machine that is in."""
    longest = spread_seconds + PROBE_SECONDS
    steps = round(longest / STEP_SECONDS)
    later = (
        (1.0 - _share_in((step + 0.5) * STEP_SECONDS, spread_seconds)) ** machines
        for step in range(steps)
    )
    return sum(later) * STEP_SECONDS


def _share_in(elapsed: float, spread_seconds: float) -> float:
    """Return the share of machines that are in so long after the earliest return."""
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


def implied_reach(
    seen: float, bound_at: Callable[[float], float], earliest: float, latest: float
) -> float | None:
    """Return when callers were reached again if nothing else cost anything; None beyond `latest`.

    `bound_at` gives the share that can be earned where callers are reached at a moment; it falls
    with it.
    """
    if bound_at(latest) > seen:
        return None
    while latest - earliest > STEP_SECONDS:
        middle = (earliest + latest) / 2
        if bound_at(middle) > seen:
            earliest = middle
        else:
            latest = middle
    return latest
