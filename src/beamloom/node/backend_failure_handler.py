"""Handles backends that appear silent, failing or dead, here or by reports of peers.

Silent and failing backends are excluded from new flows. Open flows are reset only when a liveness
check by this node finds their backend dead.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from beamloom.node.node_observer import DownEvidence, NodeObserver
from beamloom.routing.tokens.backend_table import Backend
from beamloom.routing.tokens.liveness import (
    REFERENCES_PER_CHECK,
    CheckOutcome,
    LivenessChecks,
    Suspicion,
)
from beamloom.routing.tokens.packets import RefusalReason
from beamloom.routing.tokens.router import TokenRouter
from beamloom.settings.mechanisms import Mechanisms

if TYPE_CHECKING:
    from beamloom.replication.view_exchange import ViewExchange

PEER_SUSPICION_SECONDS = 2.0
"""How long a backend that several nodes report as silent, or one as dead, gets no new flows."""
FAILING_EXCLUSION_SECONDS = 2.0
"""How long after a report a failing backend is excluded from new flows."""
RELAPSE_SECONDS = 4.0
"""A failure within this time after the end of an exclusion counts as a relapse."""
MAXIMUM_EXCLUSION_DOUBLINGS = 2
"""Each relapse doubles the exclusion, up to this many times (8 s), so that a backend that has
recovered soon gets flows again.
"""
UNSAFE_AVOIDANCE_SECONDS = 3.0
"""How long non-repeatable requests prefer other backends after one node saw a sign of failure. It
may be chance, and the other backends take these requests meanwhile.
"""
CONFIRMED_UNSAFE_AVOIDANCE_SECONDS = 8.0
"""The same after several nodes saw signs of failure. Repeatable requests try the backend sooner."""


class BackendFailureHandler:
    """Connects the router's failure signals, the liveness checks and the reports between nodes."""

    def __init__(self, router: TokenRouter, observer: NodeObserver, mechanisms: Mechanisms) -> None:
        self.checks = LivenessChecks()
        self._router = router
        self._observer = observer
        self._mechanisms = mechanisms
        self._exchange: ViewExchange | None = None
        self._is_late = False
        router.flows.on_unanswered = self._report_unanswered
        if mechanisms.overdue_answers:
            router.flows.find_answer_timeout = router.find_answer_timeout
            router.flows.on_overdue = self._report_overdue
        if mechanisms.error_answers:
            router.flows.on_short_answer = self._report_failure
        if mechanisms.liveness_checks:
            router.flows.on_suspicion = self.checks.suspect
            self.checks.find_references = self._find_references
            self.checks.on_down = self._note_down
            self.checks.on_still_down = self._end_flows
            self.checks.on_up = self._note_up

    def join(self, exchange: ViewExchange) -> None:
        """Start to send reports to other nodes and to handle theirs."""
        self._exchange = exchange
        exchange.reports.on_silent = self._exclude_silent
        exchange.reports.on_failing = self._exclude_failing
        exchange.reports.on_failure_report = self._handle_failure_report
        if self._mechanisms.liveness_checks:
            exchange.reports.on_down = self._handle_down_report

    def advance(self, now: float, *, is_late: bool) -> None:
        """Run due checks; while `is_late`, missing answers are not reported.

        They may be due to delays of this node.
        """
        self._is_late = is_late
        self.checks.advance(now)

    def check_unlisted(self, backend: Backend, now: float) -> None:
        """Check a backend that the store no longer lists, if it has open flows."""
        if backend.open:
            self._router.flows.on_suspicion(backend, Suspicion.GONE, now)

    def recheck_listed(self, name: str, now: float) -> None:
        """Check a backend again that was found dead, as its entry is new or has changed."""
        backend = self._router.backends.find(name)
        if backend is not None and backend.down_since is not None:
            self.checks.watch(backend, now)

    def _report_unanswered(self, backend: Backend, now: float) -> None:
        """Report an unanswered opening, unless this node is late.

        A backend that was dropped from the table is ignored: another process may have its name.
        """
        if self._is_late or backend.removed:
            return
        backend.mark_doubted(now + UNSAFE_AVOIDANCE_SECONDS)
        if self._exchange is not None and self._mechanisms.told_silence:
            self._exchange.reports.note_silent(backend.record.name, now)

    def _report_failure(self, backend: Backend, now: float) -> None:
        """Keep non-repeatable requests from a backend that seems to fail, and report it."""
        if backend.removed:
            return
        backend.mark_doubted(now + UNSAFE_AVOIDANCE_SECONDS)
        if self._exchange is not None:
            self._exchange.reports.note_failing(backend.record.name, now)

    def _report_overdue(self, backend: Backend, now: float) -> None:
        """Report a backend whose answer is overdue, unless this node is late."""
        if self._is_late:
            return
        self._router.counters["answers_overdue"] += 1
        self._report_failure(backend, now)

    def _exclude_silent(self, name: str, since: float, now: float) -> None:
        """Exclude a backend that several nodes report as silent from new flows."""
        until = since + PEER_SUSPICION_SECONDS
        silent = self._router.backends.suspect(name, since, until)
        if silent is not None:
            self._observer.backend_suspected(name, silent.record.service, max(0.0, now - since))

    def _exclude_failing(self, name: str, since: float, now: float) -> None:
        """Exclude a backend that several nodes report as failing; its open flows stay."""
        backend = self._router.backends.find_unless_restarted(name, since)
        if backend is None:
            return
        backend.mark_doubted(since + CONFIRMED_UNSAFE_AVOIDANCE_SECONDS)
        relapses = self._relapse_count(backend, now)
        until = since + FAILING_EXCLUSION_SECONDS * 2**relapses
        failing = self._router.backends.note_failing(name, since, now, until)
        if failing is not None:
            failing.failing_relapses = relapses
            self._observer.backend_failing(failing.record)

    def _relapse_count(self, backend: Backend, now: float) -> int:
        """Return the number of relapses in a row, at most MAXIMUM_EXCLUSION_DOUBLINGS."""
        if backend.failing_until >= now or not self._mechanisms.longer_relapses:
            return backend.failing_relapses
        relapsed = now - backend.failing_until < RELAPSE_SECONDS
        return min(backend.failing_relapses + 1, MAXIMUM_EXCLUSION_DOUBLINGS) if relapsed else 0

    def _handle_failure_report(self, name: str, since: float) -> None:
        """Keep non-repeatable requests from a backend after a report of any single node.

        It needs no quorum, as such requests only prefer other backends.
        """
        backend = self._router.backends.find_unless_restarted(name, since)
        if backend is not None:
            backend.mark_doubted(since + UNSAFE_AVOIDANCE_SECONDS)

    def _note_down(self, backend: Backend, outcome: CheckOutcome, now: float) -> None:
        """Reset the open flows of a backend that a check found dead, and report it to peers."""
        flows = self._end_flows(backend, now)
        self._observer.backend_down(backend.record, _evidence(backend, outcome, now), flows)
        if self._exchange is not None:
            self._exchange.note_down(backend.record.name, now)
        service = self._router.backends.of_service(backend.record.service)
        self.checks.check_zone(service, backend.record.zone, now)

    def _end_flows(self, backend: Backend, _now: float) -> int:
        return self._router.end_flows(backend, RefusalReason.BACKEND_DOWN, backend.flows_lost_until)

    def _find_references(self, suspect: Backend) -> list[Backend]:
        """Return the listed backends with the latest signs of life, of one zone each.

        Those in the zone of the suspect come last, as their zone may be down.
        """
        latest: dict[str, Backend] = {}
        for backend in self._router.backends.all():
            if backend is suspect or backend.down_since is not None or not backend.takes_flows:
                continue
            known = latest.get(backend.record.zone)
            if known is None or backend.last_alive_at > known.last_alive_at:
                latest[backend.record.zone] = backend
        own = latest.pop(suspect.record.zone, None)
        references = sorted(latest.values(), key=lambda backend: -backend.last_alive_at)
        if own is not None:
            references.append(own)
        return references[:REFERENCES_PER_CHECK]

    def _note_up(self, backend: Backend, now: float) -> None:
        if backend.was_refused:
            self._router.backends.presume_cold(backend, now)
        self._observer.backend_up(backend.record)

    def _handle_down_report(self, name: str, now: float) -> None:
        """Check a backend that a peer found dead; without open flows here, only exclude it."""
        backend = self._router.backends.find(name)
        if backend is None:
            return
        if backend.open:
            self.checks.suspect(backend, Suspicion.REPORTED, now)
        else:
            self._router.backends.suspect(name, now, now + PEER_SUSPICION_SECONDS)


def _evidence(backend: Backend, outcome: CheckOutcome, now: float) -> DownEvidence:
    was_alive = backend.last_alive_at > float("-inf")
    return DownEvidence(
        outcome,
        backend.check_reason,
        check_seconds=now - backend.check_began_at,
        alive_age_seconds=now - backend.last_alive_at if was_alive else None,
    )
