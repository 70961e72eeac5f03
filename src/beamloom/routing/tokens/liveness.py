"""Whether a backend that seems to be dead is, by a check over TCP, and what then becomes of it.

Without I/O: `begin` is called for each check that is due, `take` gets its outcome. What makes a
backend suspect is cheap and often wrong (an opening without an answer, a request that is repeated,
another node's word); flows are ended on the outcome of this node's own check alone.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from enum import Enum

from beamloom.routing.tokens.backend_table import Backend

CHECKS_AT_ONCE = 8
"""Each takes a descriptor and some processor time."""
MOST_WAITING = 256
"""More than two zones of the largest deployments that are played have backends."""
RECHECK_SECONDS = 0.5
"""How soon a backend is checked again; doubled with each check that tells the same."""
LONGEST_RECHECK_SECONDS = 2.0
"""A backend that can be reached again is to take flows again soon."""
ZONE_SECONDS = 1.0
ZONE_DOWN_BACKENDS = 3
"""Where so many backends of a zone are found down within ZONE_SECONDS, all of them are checked."""


class CheckOutcome(Enum):
    """What a check found; the values are counter labels.

    REFUSED: the address answers that nobody listens. SILENT: nothing came back. UNCLEAR: the check
    itself could not be made, or this node was too slow to tell.
    """

    ALIVE = "alive"
    REFUSED = "refused"
    SILENT = "silent"
    UNCLEAR = "unclear"


class Suspicion(Enum):
    """Why a backend is checked; the values are counter labels."""

    UNANSWERED_OPENING = "unanswered_opening"
    REPEATED_REQUEST = "repeated_request"
    QUIET_REQUEST = "quiet_request"
    GONE = "gone"
    REPORTED = "reported"
    ZONE = "zone"
    RECHECK = "recheck"


class LivenessChecks:
    """The checks of one node.

    `on_down` hears of each backend that is found dead, `on_up` of one that was and is not any more.
    """

    def __init__(self) -> None:
        self.counters: Counter[str] = Counter()
        self.begin: Callable[[Backend], None] = lambda backend: None
        self.on_down: Callable[[Backend, CheckOutcome, float], None] = lambda *_: None
        self.on_up: Callable[[Backend, float], None] = lambda *_: None
        self._running: dict[str, float] = {}
        self._waiting: dict[str, Backend] = {}
        self._watched: dict[str, Backend] = {}
        self._down_in_zone: dict[str, list[float]] = {}

    def suspect(self, backend: Backend, suspicion: Suspicion, now: float) -> None:
        """Check a backend, unless it is being checked, or was a moment ago."""
        name = backend.record.name
        if backend.forgotten or backend.ended or name in self._running or now < backend.check_from:
            return
        self.counters[f"suspected_{suspicion.value}"] += 1
        backend.check_from = now + RECHECK_SECONDS
        if backend.gone_at is not None:
            self._watched[name] = backend
        if len(self._running) < CHECKS_AT_ONCE:
            self._start(backend, now)
        elif len(self._waiting) < MOST_WAITING:
            self._waiting[name] = backend

    def watch(self, backend: Backend, now: float) -> None:
        """Check a backend at once, and again as long as that may change what becomes of flows."""
        self._watched[backend.record.name] = backend
        backend.check_from = now
        self.suspect(backend, Suspicion.RECHECK, now)

    def take(self, backend: Backend, outcome: CheckOutcome, now: float) -> None:
        """Take the outcome of a check."""
        began_at = self._running.pop(backend.record.name, now)
        self._start_next(now)
        if backend.forgotten or backend.ended:
            return
        if outcome is CheckOutcome.SILENT and backend.alive_at >= began_at:
            outcome = CheckOutcome.UNCLEAR
        self.counters[outcome.value] += 1
        if outcome is CheckOutcome.UNCLEAR:
            self._watched[backend.record.name] = backend
        elif outcome is CheckOutcome.ALIVE:
            self._note_alive(backend, now)
        else:
            self._note_dead(backend, outcome, now)

    def advance(self, now: float) -> None:
        """Check again what is down and listed, and what has gone and may still have flows."""
        for name, backend in list(self._watched.items()):
            if not _is_worth_watching(backend):
                del self._watched[name]
            else:
                self.suspect(backend, Suspicion.RECHECK, now)

    def check_zone(self, backends: Iterable[Backend], zone: str, now: float) -> None:
        """Check all backends of a zone where many have just been found down."""
        recent = self._down_in_zone.get(zone, [])
        if sum(now - at < ZONE_SECONDS for at in recent) < ZONE_DOWN_BACKENDS:
            return
        del self._down_in_zone[zone]
        in_zone = [backend for backend in backends if backend.record.zone == zone]
        for backend in sorted(in_zone, key=lambda backend: -backend.open):
            if backend.down_since is None and backend.takes_flows:
                self.suspect(backend, Suspicion.ZONE, now)

    def _start(self, backend: Backend, now: float) -> None:
        self._running[backend.record.name] = now
        self.begin(backend)

    def _start_next(self, now: float) -> None:
        while self._waiting and len(self._running) < CHECKS_AT_ONCE:
            backend = self._waiting.pop(next(iter(self._waiting)))
            if not backend.forgotten and not backend.ended:
                self._start(backend, now)

    def _note_alive(self, backend: Backend, now: float) -> None:
        if backend.down_since is not None:
            backend.down_since = None
            backend.same_outcomes = 0
            self.on_up(backend, now)
            backend.was_refused = False
        self._put_off(backend, now)

    def _note_dead(self, backend: Backend, outcome: CheckOutcome, now: float) -> None:
        self._watched[backend.record.name] = backend
        backend.was_refused |= outcome is CheckOutcome.REFUSED
        if backend.down_since is not None:
            self._put_off(backend, now)
            return
        backend.down_since = now
        backend.same_outcomes = 0
        self._put_off(backend, now)
        zone = self._down_in_zone.setdefault(backend.record.zone, [])
        zone[:] = [*(at for at in zone if now - at < ZONE_SECONDS), now]
        self.on_down(backend, outcome, now)

    def _put_off(self, backend: Backend, now: float) -> None:
        pause = min(LONGEST_RECHECK_SECONDS, RECHECK_SECONDS * 2**backend.same_outcomes)
        backend.same_outcomes = min(backend.same_outcomes + 1, 8)
        backend.check_from = now + pause


def _is_worth_watching(backend: Backend) -> bool:
    """Whether another check may change what becomes of flows."""
    if backend.forgotten or backend.ended:
        return False
    if backend.gone_at is not None:
        return backend.down_since is None and backend.open > 0
    return backend.down_since is not None
