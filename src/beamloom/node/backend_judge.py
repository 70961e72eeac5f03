"""What a node makes of backends that seem silent, failing or dead, and of its peers' reports.

Silent ones and those that answer with errors are passed over for new flows; only what this node's
own check finds dead loses its open flows.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from beamloom.node.belief_observer import BeliefObserver
from beamloom.routing.tokens.backend_table import Backend
from beamloom.routing.tokens.liveness import CheckOutcome, LivenessChecks, Suspicion
from beamloom.routing.tokens.packets import RefusalReason
from beamloom.routing.tokens.router import TokenRouter
from beamloom.settings.mechanisms import Mechanisms

if TYPE_CHECKING:
    from beamloom.replication.view_exchange import ViewExchange

SUSPECT_BY_PEERS_SECONDS = 2.0
"""How long a backend is passed over that other nodes have found silent."""
AVOID_FAILING_SECONDS = 2.0
"""How long after the last report a backend is passed over that answers with errors."""


RELAPSE_SECONDS = 4.0
"""A backend that fails again so soon after it was passed over has not recovered in between."""
MOST_FAILING_DOUBLINGS = 2
"""Each relapse doubles the time; 8 s at most, so that one that has recovered serves again soon."""
DOUBT_SECONDS = 3.0
"""How long requests that may not run twice keep away after a sign seen here: it may be chance, and
other backends take them.
"""
DOUBT_CONFIRMED_SECONDS = 8.0
"""The same after several nodes saw signs. Requests that may run twice try the backend sooner."""


class BackendJudge:
    """Joins a router's signs of trouble, the checks, and what nodes tell each other."""

    def __init__(
        self, router: TokenRouter, observer: BeliefObserver, mechanisms: Mechanisms
    ) -> None:
        self.checks = LivenessChecks()
        self._router = router
        self._observer = observer
        self._mechanisms = mechanisms
        self._exchange: ViewExchange | None = None
        self._is_late = False
        router.flows.on_unanswered = self._tell_unanswered
        if mechanisms.overdue_answers:
            router.flows.find_patience = router.find_patience
            router.flows.on_overdue = self._tell_overdue
        if mechanisms.error_answers:
            router.flows.on_short_answer = self._tell_failure
        if mechanisms.liveness_checks:
            router.flows.on_suspicion = self.checks.suspect
            self.checks.on_down = self._note_down
            self.checks.on_up = self._note_up

    def join(self, exchange: ViewExchange) -> None:
        """Tell other nodes, and hear them, from now on."""
        self._exchange = exchange
        exchange.reports.on_silent = self._avoid_silent
        exchange.reports.on_failing = self._avoid_failing
        exchange.reports.on_sign_of_failure = self._doubt
        if self._mechanisms.liveness_checks:
            exchange.reports.on_down = self._take_down_report

    def advance(self, now: float, *, is_late: bool) -> None:
        """Let time pass; a node that `is_late` cannot tell who is silent."""
        self._is_late = is_late
        self.checks.advance(now)

    def note_gone(self, backend: Backend, now: float) -> None:
        """Check a backend that the store has ceased to list, if flows are open there."""
        if backend.open:
            self._router.flows.on_suspicion(backend, Suspicion.GONE, now)

    def note_listed(self, name: str, now: float) -> None:
        """Check a backend again that was found dead and that the store lists, or lists anew."""
        backend = self._router.backends.find(name)
        if backend is not None and backend.down_since is not None:
            self.checks.watch(backend, now)

    def _tell_unanswered(self, backend: Backend, now: float) -> None:
        """Tell others of a silent backend, unless it is this node that is slow.

        What a former life of it left unanswered tells nothing of the present one.
        """
        if self._is_late or backend.forgotten:
            return
        backend.doubt(now + DOUBT_SECONDS)
        if self._exchange is not None and self._mechanisms.told_silence:
            self._exchange.reports.note_silent(backend.record.name, now)

    def _tell_failure(self, backend: Backend, now: float) -> None:
        """Doubt a backend after a sign of failure seen here, and tell others of it."""
        if backend.forgotten:
            return
        backend.doubt(now + DOUBT_SECONDS)
        if self._exchange is not None:
            self._exchange.reports.note_failing(backend.record.name, now)

    def _tell_overdue(self, backend: Backend, now: float) -> None:
        """Tell others of a backend that is late with an answer, unless this node is slow."""
        if self._is_late:
            return
        self._router.counters["answers_overdue"] += 1
        self._tell_failure(backend, now)

    def _avoid_silent(self, name: str, since: float, now: float) -> None:
        """Pass over what several nodes have found silent."""
        until = since + SUSPECT_BY_PEERS_SECONDS
        silent = self._router.backends.suspect(name, since, until)
        if silent is not None:
            self._observer.suspected(name, silent.record.service, max(0.0, now - since))

    def _avoid_failing(self, name: str, since: float, now: float) -> None:
        """Pass over what fails requests of several nodes; its open flows stay."""
        backend = self._router.backends.find_alive_since(name, since)
        if backend is None:
            return
        backend.doubt(since + DOUBT_CONFIRMED_SECONDS)
        spells = self._spells(backend, now)
        until = since + AVOID_FAILING_SECONDS * 2**spells
        failing = self._router.backends.note_failing(name, since, now, until)
        if failing is not None:
            failing.failing_spells = spells
            self._observer.backend_failing(failing.record)

    def _spells(self, backend: Backend, now: float) -> int:
        """Return how often a backend has been passed over for failures in a row, bounded."""
        if backend.failing_until >= now or not self._mechanisms.longer_relapses:
            return backend.failing_spells
        relapsed = now - backend.failing_until < RELAPSE_SECONDS
        return min(backend.failing_spells + 1, MOST_FAILING_DOUBLINGS) if relapsed else 0

    def _doubt(self, name: str, since: float) -> None:
        """Take one node's sign of failure; no quorum, as others take what may not run twice."""
        backend = self._router.backends.find_alive_since(name, since)
        if backend is not None:
            backend.doubt(since + DOUBT_SECONDS)

    def _note_down(self, backend: Backend, outcome: CheckOutcome, now: float) -> None:
        """End the flows of a backend that a check found dead, and let others check it too."""
        flows = self._router.end_flows(backend, RefusalReason.BACKEND_DOWN)
        self._observer.backend_down(backend.record, outcome, flows)
        if self._exchange is not None:
            self._exchange.note_down(backend.record.name, now)
        service = self._router.backends.of_service(backend.record.service)
        self.checks.check_zone(service, backend.record.zone, now)

    def _note_up(self, backend: Backend, now: float) -> None:
        if backend.was_refused:
            self._router.backends.note_process_began(backend, now)
        self._observer.backend_up(backend.record)

    def _take_down_report(self, name: str, now: float) -> None:
        """Check a backend that another node found dead; pass it over where no flow is open here."""
        backend = self._router.backends.find(name)
        if backend is None:
            return
        if backend.open:
            self.checks.suspect(backend, Suspicion.REPORTED, now)
        else:
            self._router.backends.suspect(name, now, now + SUSPECT_BY_PEERS_SECONDS)
