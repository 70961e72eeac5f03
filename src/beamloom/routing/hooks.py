"""What routing asks of its neighbours: admission, refusals and the health of backends.

Routing may not import its sibling packages, so `node` fills these in; the defaults permit all.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from beamloom.model.contracts import BackendOperatingStatus, ServiceContract


@dataclass(frozen=True, slots=True)
class FlowVerdict:
    """Whether a new flow is admitted; `retry_after` is in seconds and counts where it is not."""

    admitted: bool
    retry_after: float = 1.0


class AdmissionGate(Protocol):
    """Limits on new flows and the budget for retries, by service."""

    def admit_flow(self, service: ServiceContract, now: float) -> FlowVerdict:
        """Decide on one new flow; an admitted one counts as open until `flow_ended`."""

    def flow_taken_over(self, service: ServiceContract) -> None:
        """Count as open a flow that was admitted earlier or elsewhere."""

    def flow_ended(self, service: ServiceContract) -> None:
        """Count an open flow as ended, or as another home's."""

    def take_retry(self, service: ServiceContract, now: float) -> bool:
        """Return whether a refused flow may be offered to a second backend."""


@dataclass(frozen=True, slots=True)
class Cancellation:
    """Packets that end a flow; None where none can be made and the next packet must be awaited."""

    to_client: bytes | None = None
    to_backend: bytes | None = None


class RefusalBuilder(Protocol):
    """Makes the packets that refuse a flow, or end one that ran."""

    def build(self, packet: bytes, retry_after: float, no_backend: bool) -> bytes | None:
        """Return the answer to a flow's first packet, or None to stay silent."""

    def cancel(self, packet: bytes, may_have_run: bool) -> Cancellation:
        """Return what ends a TCP flow at both sides; `packet` is its client's newest."""


class BackendHealth(Protocol):
    """What is observed of backends."""

    def status(self, backend_number: int) -> BackendOperatingStatus:
        """Return the operating status of a backend."""

    def weight_factor(self, backend_number: int) -> float:
        """Return the factor, 0 to 1, on a backend's share (cold start, distrust)."""

    def observe_refusal(self, backend_number: int, now: float) -> None:
        """Take that a backend refused a connection: a reset in answer to its opening packet."""

    def observe_answer_time(self, backend_number: int, seconds: float, now: float) -> None:
        """Take how long a backend took from a flow's first payload to its first answer."""


class PermissiveAdmission:
    """Admits every flow and allows every retry."""

    def admit_flow(self, service: ServiceContract, now: float) -> FlowVerdict:
        """Admit."""
        return FlowVerdict(admitted=True)

    def flow_taken_over(self, service: ServiceContract) -> None:
        """Count nothing."""

    def flow_ended(self, service: ServiceContract) -> None:
        """Count nothing."""

    def take_retry(self, service: ServiceContract, now: float) -> bool:
        """Allow."""
        return True


class SilentRefusal:
    """Refuses by silence."""

    def build(self, packet: bytes, retry_after: float, no_backend: bool) -> bytes | None:
        """Return nothing to send."""
        return None

    def cancel(self, packet: bytes, may_have_run: bool) -> Cancellation:
        """Return nothing to send."""
        return Cancellation()


class AssumedHealth:
    """Takes every backend for online and at full weight."""

    def status(self, backend_number: int) -> BackendOperatingStatus:
        """Return ONLINE."""
        return BackendOperatingStatus.ONLINE

    def weight_factor(self, backend_number: int) -> float:
        """Return 1."""
        return 1.0

    def observe_refusal(self, backend_number: int, now: float) -> None:
        """Take no notice."""

    def observe_answer_time(self, backend_number: int, seconds: float, now: float) -> None:
        """Take no notice."""


@dataclass(slots=True)
class TrafficMeter:
    """One tenant's packets at this node, shared by its services' routes.

    Forwarding adds to `packets` and drops while `blocked` is set; admission reads the one and sets
    the other, so the hot path pays for two attribute accesses.
    """

    packets: int = 0
    blocked: bool = False


@dataclass(frozen=True, slots=True)
class RoutingHooks:
    """The neighbours of one forwarder."""

    admission: AdmissionGate
    refusals: RefusalBuilder
    health: BackendHealth


def permissive_hooks() -> RoutingHooks:
    """Return hooks that admit everything."""
    return RoutingHooks(PermissiveAdmission(), SilentRefusal(), AssumedHealth())
