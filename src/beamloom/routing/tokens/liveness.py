"""Schedules TCP checks of backends that may be dead, and applies their outcomes.

Without I/O: `start_check` is called for each check to make, and `apply_outcome` receives its
outcome. Suspicions are cheap and often wrong (an unanswered opening, a repeated request, a report
of another node); flows are ended only on the outcome of this node's own check.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection, Iterable
from enum import Enum

from beamloom.routing.tokens.backend_table import Backend

MAXIMUM_CONCURRENT_CHECKS = 8
"""Each check uses a file descriptor and processor time."""
MAXIMUM_QUEUED_CHECKS = 256
"""Exceeds the backends of two zones of a large deployment."""
RECHECK_SECONDS = 0.5
"""Initial time until a backend is checked again; doubled by each check with the same result."""
MAXIMUM_RECHECK_SECONDS = 2.0
"""Bounds the time until a backend that can be reached again gets new flows."""
PACKET_RECHECK_SECONDS = 0.1
"""The same after a packet of a flow that may have been opened since: shorter than the time after
which clients repeat a packet.
"""
ZONE_WINDOW_SECONDS = 1.0
ZONE_DOWN_BACKENDS = 3
"""If so many backends of a zone are found down within the window, the others are checked."""


class CheckOutcome(Enum):
    """Outcome of a check; the values are counter labels.

    REFUSED: the connection was refused. SILENT: there was no answer, although references that were
    asked later answered. UNCONFIRMED: too few references answered, so that the fault may be on this
    node's side. UNCLEAR: the check could not be made, or the backend showed a sign of life since it
    began.
    """

    ALIVE = "alive"
    REFUSED = "refused"
    SILENT = "silent"
    UNCONFIRMED = "unconfirmed"
    UNCLEAR = "unclear"


INCONCLUSIVE = (CheckOutcome.UNCONFIRMED, CheckOutcome.UNCLEAR)
"""Outcomes that do not show whether the backend is dead; the check is repeated."""


REFERENCES_PER_CHECK = 3
"""One more than must accept, as a reference may have died as well."""
REFERENCES_REQUIRED = 2
"""How many references must accept a connection, of those that are known: one may be lucky."""


def confirm_silence(references: Collection[CheckOutcome | None]) -> bool:
    """Return whether enough references have accepted; None stands for no answer so far."""
    accepted = sum(outcome is CheckOutcome.ALIVE for outcome in references)
    return accepted >= min(REFERENCES_REQUIRED, len(references)) > 0


class Suspicion(Enum):
    """Reason for a check; the values are counter labels."""

    UNANSWERED_OPENING = "unanswered_opening"
    REPEATED_REQUEST = "repeated_request"
    QUIET_REQUEST = "quiet_request"
    GONE = "gone"
    REPORTED = "reported"
    ZONE = "zone"
    RECHECK = "recheck"
    PACKET = "packet"


class LivenessChecks:
    """The checks of one node.

    `on_down` is called for each backend that is found dead, `on_still_down` if another check finds
    it dead again, and `on_up` when a dead one is alive again. `find_references` returns backends
    that probably answer, to be connected to if a check is silent.
    """

    def __init__(self) -> None:
        self.counters: Counter[str] = Counter()
        self.start_check: Callable[[Backend], None] = lambda backend: None
        self.find_references: Callable[[Backend], list[Backend]] = lambda backend: []
        self.on_down: Callable[[Backend, CheckOutcome, float], None] = lambda *_: None
        self.on_still_down: Callable[[Backend, float], object] = lambda *_: None
        self.on_up: Callable[[Backend, float], None] = lambda *_: None
        self._running: dict[str, float] = {}
        self._queued: dict[str, tuple[Backend, Suspicion]] = {}
        self._watched: dict[str, Backend] = {}
        self._down_in_zone: dict[str, list[float]] = {}

    def suspect(self, backend: Backend, suspicion: Suspicion, now: float) -> None:
        """Request a check of a backend, unless one is running or was made too recently."""
        name = backend.record.name
        not_before = backend.next_check_at
        if suspicion is Suspicion.PACKET:
            not_before = min(not_before, backend.check_began_at + PACKET_RECHECK_SECONDS)
        if backend.removed or backend.ended or name in self._running or now < not_before:
            return
        self.counters[f"suspected_{suspicion.value}"] += 1
        backend.next_check_at = now + RECHECK_SECONDS
        if backend.gone_at is not None:
            self._watched[name] = backend
        if len(self._running) < MAXIMUM_CONCURRENT_CHECKS:
            self._start(backend, suspicion, now)
        elif len(self._queued) < MAXIMUM_QUEUED_CHECKS:
            self._queued[name] = (backend, suspicion)

    def watch(self, backend: Backend, now: float) -> None:
        """Check a backend now, and repeatedly while the outcome may affect flows."""
        self._watched[backend.record.name] = backend
        backend.next_check_at = now
        self.suspect(backend, Suspicion.RECHECK, now)

    def apply_outcome(self, backend: Backend, outcome: CheckOutcome, now: float) -> None:
        """Apply the outcome of a check."""
        began_at = self._running.pop(backend.record.name, now)
        self._start_next(now)
        if backend.removed or backend.ended:
            return
        if outcome is not CheckOutcome.ALIVE and backend.last_alive_at >= began_at:
            outcome = CheckOutcome.UNCLEAR
        self.counters[outcome.value] += 1
        backend.is_check_inconclusive = outcome in INCONCLUSIVE
        if outcome in INCONCLUSIVE:
            self._watched[backend.record.name] = backend
            self._schedule_recheck(backend, now)
        elif outcome is CheckOutcome.ALIVE:
            self._note_alive(backend, now)
        else:
            self._note_dead(backend, outcome, began_at, now)

    def advance(self, now: float) -> None:
        """Repeat due checks.

        They are repeated for listed backends that are down, and for backends with open flows that
        the store no longer lists or whose last check was inconclusive.
        """
        for name, backend in list(self._watched.items()):
            if not _needs_recheck(backend):
                del self._watched[name]
            else:
                self.suspect(backend, Suspicion.RECHECK, now)

    def check_zone(self, backends: Iterable[Backend], zone: str, now: float) -> None:
        """Check the backends of a zone if several of its backends were just found down."""
        recent = self._down_in_zone.get(zone, [])
        if sum(now - at < ZONE_WINDOW_SECONDS for at in recent) < ZONE_DOWN_BACKENDS:
            return
        del self._down_in_zone[zone]
        in_zone = [backend for backend in backends if backend.record.zone == zone]
        for backend in sorted(in_zone, key=lambda backend: -backend.open):
            if backend.down_since is None and backend.takes_flows:
                self.suspect(backend, Suspicion.ZONE, now)

    def _start(self, backend: Backend, suspicion: Suspicion, now: float) -> None:
        self._running[backend.record.name] = now
        backend.check_began_at = now
        backend.check_reason = suspicion.value
        self.start_check(backend)

    def _start_next(self, now: float) -> None:
        while self._queued and len(self._running) < MAXIMUM_CONCURRENT_CHECKS:
            backend, suspicion = self._queued.pop(next(iter(self._queued)))
            if not backend.removed and not backend.ended:
                self._start(backend, suspicion, now)

    def _note_alive(self, backend: Backend, now: float) -> None:
        if backend.down_since is not None:
            backend.down_since = None
            backend.repeated_outcomes = 0
            self.on_up(backend, now)
            backend.was_refused = False
        self._schedule_recheck(backend, now)

    def _note_dead(
        self, backend: Backend, outcome: CheckOutcome, began_at: float, now: float
    ) -> None:
        self._watched[backend.record.name] = backend
        backend.was_refused |= outcome is CheckOutcome.REFUSED
        backend.flows_lost_until = began_at
        if backend.down_since is not None:
            self._schedule_recheck(backend, now)
            self.on_still_down(backend, now)
            return
        backend.down_since = now
        backend.repeated_outcomes = 0
        self._schedule_recheck(backend, now)
        zone = self._down_in_zone.setdefault(backend.record.zone, [])
        zone[:] = [*(at for at in zone if now - at < ZONE_WINDOW_SECONDS), now]
        self.on_down(backend, outcome, now)

    def _schedule_recheck(self, backend: Backend, now: float) -> None:
        interval = min(MAXIMUM_RECHECK_SECONDS, RECHECK_SECONDS * 2**backend.repeated_outcomes)
        backend.repeated_outcomes = min(backend.repeated_outcomes + 1, 8)
        backend.next_check_at = now + interval


def _needs_recheck(backend: Backend) -> bool:
    """Whether another check may affect flows."""
    if backend.removed or backend.ended:
        return False
    if backend.is_check_inconclusive and backend.open > 0:
        return True
    if backend.gone_at is not None:
        return backend.open > 0
    return backend.down_since is not None
