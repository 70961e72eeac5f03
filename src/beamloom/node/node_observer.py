"""Interface to observe decisions and state changes of a token node, for logs and counters."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import NamedTuple

from beamloom.routing.tokens.decisions import Decision
from beamloom.routing.tokens.liveness import CheckOutcome
from beamloom.routing.tokens.records import BackendRecord

FROM_STORE = "store"
FROM_PEER = "peer"


class DownEvidence(NamedTuple):
    """Why a backend was found dead.

    `reason` is the value of the `Suspicion` that caused the check. `alive_age_seconds` is the age
    of the last sign of life, None if this node has seen none.
    """

    outcome: CheckOutcome
    reason: str
    check_seconds: float
    alive_age_seconds: float | None


class NodeObserver(ABC):
    """Records decisions and state changes of a node; `source` is FROM_STORE or FROM_PEER."""

    @abstractmethod
    def decision(self, decision: Decision) -> None:
        """Record a decision of the router."""

    @abstractmethod
    def backend_changed(self, record: BackendRecord, revision: int, source: str) -> None:
        """Record a new or changed backend entry."""

    @abstractmethod
    def backend_gone(self, name: str, service: str, revision: int, source: str) -> None:
        """Record that the store no longer lists a backend."""

    @abstractmethod
    def configuration(self, version: int, before: int, routes: int, source: str) -> None:
        """Record that a version of the configuration, with so many routes, is in force."""

    @abstractmethod
    def terms_unreadable(self, route: str, version: int, terms: tuple[str, ...]) -> None:
        """Record which terms of a route are unreadable and replaced by their defaults."""

    @abstractmethod
    def evacuation(self, zone: str, evacuated: bool, revision: int) -> None:
        """Record that the evacuation of a zone began or, with `evacuated` False, ended."""

    @abstractmethod
    def evacuation_of_unknown_zone(self, zone: str) -> None:
        """Record an evacuation that names no zone of this deployment."""

    @abstractmethod
    def backend_suspected(self, backend: str, service: str, age: float) -> None:
        """Record that several nodes found a backend silent, the last one `age` seconds ago."""

    @abstractmethod
    def backend_down(self, record: BackendRecord, evidence: DownEvidence, flows: int) -> None:
        """Record that a check found a backend dead, and how many of its flows were reset."""

    @abstractmethod
    def backend_failing(self, record: BackendRecord) -> None:
        """Record that several nodes report a backend as failing."""

    @abstractmethod
    def backend_up(self, record: BackendRecord) -> None:
        """Record that a backend that was found dead is reachable again."""

    @abstractmethod
    def reader_changed(self, reading: bool) -> None:
        """Record that this node became a reader of the store, or ceased to be one."""

    @abstractmethod
    def stalled(self, seconds: float) -> None:
        """Record that the process stalled for `seconds`."""

    @abstractmethod
    def unusable_capacity(self, host: str, fields: tuple[str, ...]) -> None:
        """Record that a peer announced unusable capacity figures; these fields count as least."""

    @abstractmethod
    def limit_state_changed(self, state: str, before: str, limit: str, share: float) -> None:
        """Record a change of state in `node/own_limits.py`."""
