"""Interfaces that routing calls: admission control, refusal packets and backend health.

Routing must not import its sibling packages, so `node` passes in the implementations. The defaults
admit every flow.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from beamloom.model.contracts import BackendOperatingStatus, ServiceContract


@dataclass(frozen=True, slots=True)
class FlowAdmission:
    """Whether a new flow is admitted; if not, the client may retry after `retry_after` seconds."""

    admitted: bool
    retry_after: float = 1.0


class AdmissionGate(Protocol):
    """Limits on new flows and retry budgets."""

    def admit_flow(self, service: ServiceContract, now: float) -> FlowAdmission:
        """Decide on a new flow; an admitted flow counts as open until `flow_ended`."""

    def flow_taken_over(self, service: ServiceContract) -> None:
        """Count a flow as open that was admitted earlier or by another node."""

    def flow_ended(self, service: ServiceContract) -> None:
        """Stop counting a flow as open: it has ended or another node is now its home."""

    def take_retry(self, service: ServiceContract, now: float) -> bool:
        """Take one retry from the service's budget; returns whether there was one."""


@dataclass(frozen=True, slots=True)
class Cancellation:
    """Packets that end a flow at its two sides; None if no packet can be built for a side."""

    to_client: bytes | None = None
    to_backend: bytes | None = None


class RefusalBuilder(Protocol):
    """Builds packets that refuse a new flow or end an open one."""

    def build(self, packet: bytes, retry_after: float, no_backend: bool) -> bytes | None:
        """Return the refusal of a flow's first packet, or None to send nothing."""

    def cancel(self, packet: bytes, may_have_run: bool) -> Cancellation:
        """Return resets for both sides of a TCP flow; `packet` is the newest of its client."""


class BackendHealth(Protocol):
    """Operating status of backends, and observations of them by routing."""

    def status(self, backend_number: int) -> BackendOperatingStatus:
        """Return the operating status of a backend."""

    def weight_factor(self, backend_number: int) -> float:
        """Return the factor that a backend's weight is multiplied by."""

    def observe_refusal(self, backend_number: int, now: float) -> None:
        """Record that a backend answered the opening packet of a flow with a reset."""

    def observe_answer_time(self, backend_number: int, seconds: float, now: float) -> None:
        """Record the time from a flow's first payload to the backend's first payload."""


class PermissiveAdmission:
    """Admits every flow and allows every retry."""

    def admit_flow(self, service: ServiceContract, now: float) -> FlowAdmission:
        """Admit the flow."""
        return FlowAdmission(admitted=True)

    def flow_taken_over(self, service: ServiceContract) -> None:
        """Count nothing."""

    def flow_ended(self, service: ServiceContract) -> None:
        """Count nothing."""

    def take_retry(self, service: ServiceContract, now: float) -> bool:
        """Allow the retry."""
        return True


class NoRefusals:
    """Builds no packets, so refused flows are dropped without an answer."""

    def build(self, packet: bytes, retry_after: float, no_backend: bool) -> bytes | None:
        """Return nothing to send."""
        return None

    def cancel(self, packet: bytes, may_have_run: bool) -> Cancellation:
        """Return nothing to send."""
        return Cancellation()


class StaticHealth:
    """Reports every backend as online and at full weight."""

    def status(self, backend_number: int) -> BackendOperatingStatus:
        """Return ONLINE."""
        return BackendOperatingStatus.ONLINE

    def weight_factor(self, backend_number: int) -> float:
        """Return 1."""
        return 1.0

    def observe_refusal(self, backend_number: int, now: float) -> None:
        """Ignore the observation."""

    def observe_answer_time(self, backend_number: int, seconds: float, now: float) -> None:
        """Ignore the observation."""


@dataclass(slots=True)
class TrafficMeter:
    """Packet count and block flag of one tenant at this node, shared by its services' routes.

    Forwarding increments `packets` and drops packets while `blocked` is set. Admission control
    reads `packets` and sets `blocked`, which keeps the cost per packet to two attribute accesses.
    """

    packets: int = 0
    blocked: bool = False


@dataclass(frozen=True, slots=True)
class RoutingHooks:
    """The implementations that one forwarder calls."""

    admission: AdmissionGate
    refusals: RefusalBuilder
    health: BackendHealth


def permissive_hooks() -> RoutingHooks:
    """Return hooks that admit every flow and report every backend as online."""
    return RoutingHooks(PermissiveAdmission(), NoRefusals(), StaticHealth())
