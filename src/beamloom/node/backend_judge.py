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
"""How long after the last report a backend is passed over that answers with errors; by choice."""


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
        if mechanisms.error_answers:
            router.flows.on_short_answer = self._tell_short_answer
        if mechanisms.liveness_checks:
            router.flows.on_suspicion = self.checks.suspect
            self.checks.on_down = self._note_down
            self.checks.on_up = self._note_up

    def join(self, exchange: ViewExchange) -> None:
        """Tell other nodes, and hear them, from now on."""
        self._exchange = exchange
        exchange.reports.on_silent = self._avoid_silent
        exchange.reports.on_failing = self._avoid_failing
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
        """Tell others of a silent backend, unless it is this node that is slow."""
        tells = self._mechanisms.told_silence and not self._is_late
        if self._exchange is not None and tells:
            self._exchange.reports.note_silent(backend.record.name, now)

    def _tell_short_answer(self, backend: Backend, now: float) -> None:
        """Tell others of a backend that seems to have answered with an error."""
        if self._exchange is not None:
            self._exchange.reports.note_failing(backend.record.name, now)

    def _avoid_silent(self, name: str, since: float, now: float) -> None:
        """Pass over what several nodes have found silent."""
        until = since + SUSPECT_BY_PEERS_SECONDS
        silent = self._router.backends.suspect(name, since, until)
        if silent is not None:
            self._observer.suspected(name, silent.record.service, max(0.0, now - since))

    def _avoid_failing(self, name: str, since: float, now: float) -> None:
        """Pass over what answers several nodes with errors; its open flows stay."""
        until = since + AVOID_FAILING_SECONDS
        failing = self._router.backends.note_failing(name, now, until)
        if failing is not None:
            self._observer.backend_failing(failing.record)

    def _note_down(self, backend: Backend, outcome: CheckOutcome, now: float) -> None:
        """End the flows of a backend that a check found dead, and let others check it too."""
        flows = self._router.end_flows(backend, RefusalReason.BACKEND_DOWN)
        self._observer.backend_down(backend.record, outcome, flows)
        if self._exchange is not None:
            self._exchange.note_down(backend.record.name, now)
        service = self._router.backends.of_service(backend.record.service)
        self.checks.check_zone(service, backend.record.zone, now)

    def _note_up(self, backend: Backend, _now: float) -> None:
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
