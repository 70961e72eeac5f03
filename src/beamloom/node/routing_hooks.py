"""Implements the hooks of routing by admission control and the backend watchers."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from beamloom.admission.limits import (
    AdmissionDecision,
    TenantAdmission,
    UnknownTenantError,
)
from beamloom.admission.refusal import (
    RefusalError,
    RefusalReason,
    build_backend_reset,
    build_client_reset,
    build_refusal,
)
from beamloom.admission.retry_budget import RetryBudget
from beamloom.model.contracts import BackendOperatingStatus, ServiceContract
from beamloom.protocol.commands import Command
from beamloom.replication.backend_status.watchers import BackendWatchers, UnknownBackendError
from beamloom.routing.hooks import Cancellation, FlowAdmission, TrafficMeter


class TenantGate:
    """Implements routing's `AdmissionGate`: limits per tenant, retry budgets per service."""

    def __init__(self, admission: TenantAdmission) -> None:
        self._admission = admission
        self._retries: dict[str, RetryBudget] = {}

    def admit_flow(self, service: ServiceContract, now: float) -> FlowAdmission:
        """Decide on one new flow; a tenant without a contract is not limited."""
        self._budget(service).record_first_try(now)
        try:
            answer = self._admission.admit_flow(service.tenant, now)
        except UnknownTenantError:
            return FlowAdmission(admitted=True)
        admitted = answer.decision is AdmissionDecision.ADMIT
        if admitted:
            self._admission.entry_added(service.tenant)
        return FlowAdmission(admitted, answer.retry_after)

    def flow_taken_over(self, service: ServiceContract) -> None:
        """Count as open a flow that was admitted earlier or elsewhere."""
        try:
            self._admission.flow_taken_over(service.tenant)
            self._admission.entry_added(service.tenant)
        except UnknownTenantError:
            return

    def flow_ended(self, service: ServiceContract) -> None:
        """Stop counting a flow as open: it ended or was handed to another home."""
        self._admission.flow_ended(service.tenant)
        self._admission.entry_removed(service.tenant)

    def take_retry(self, service: ServiceContract, now: float) -> bool:
        """Return whether a refused flow may be offered to a second backend."""
        return self._budget(service).take_retry(now)

    def retries_refused(self) -> dict[str, int]:
        """Return how many retries the budget of each service did not allow, by service id."""
        return {service_id: budget.refused for service_id, budget in self._retries.items()}

    def forget_services(self, service_ids: Iterable[str]) -> None:
        """Drop the retry budgets of removed services."""
        for service_id in service_ids:
            self._retries.pop(service_id, None)

    def _budget(self, service: ServiceContract) -> RetryBudget:
        budget = self._retries.get(service.service_id)
        if budget is None:
            budget = self._retries[service.service_id] = RetryBudget(0.0)
        budget.ratio = service.policy.retry_budget_ratio
        return budget


class RefusalPackets:
    """Implements routing's `RefusalBuilder`: builds the packets that refuse or reset flows."""

    def cancel(self, packet: bytes, may_have_run: bool) -> Cancellation:
        """Return the resets that end a TCP flow at both sides, from its client's newest packet.

        Where the client's reset cannot be built and nothing can have run, it gets a refusal.
        """
        to_client = _build_or_none(lambda: build_client_reset(packet))
        if to_client is None and not may_have_run:
            to_client = self.build(packet, 0.0, no_backend=False)
        return Cancellation(to_client, _build_or_none(lambda: build_backend_reset(packet)))

    def build(self, packet: bytes, retry_after: float, no_backend: bool) -> bytes | None:
        """Return the refusal of a flow by its first packet; None if none can be built."""
        reason = RefusalReason.NO_BACKEND if no_backend else RefusalReason.PROHIBITED
        return _build_or_none(lambda: build_refusal(packet, retry_after, reason))


def _build_or_none(build: Callable[[], bytes]) -> bytes | None:
    try:
        return build()
    except RefusalError:
        return None


class ObservedHealth:
    """Implements routing's `BackendHealth`; `now` is the time of the last tick of the core."""

    def __init__(self, watchers: BackendWatchers, now: float) -> None:
        self._watchers = watchers
        self.now = now

    def status(self, backend_number: int) -> BackendOperatingStatus:
        """Return the operating status; UNKNOWN for a backend without a watcher."""
        try:
            return self._watchers.status(backend_number, self.now).status
        except UnknownBackendError:
            return BackendOperatingStatus.UNKNOWN

    def weight_factor(self, backend_number: int) -> float:
        """Return the factor on a backend's share, 0 to 1.125: load report times cold start."""
        try:
            return self._watchers.status(backend_number, self.now).weight_factor
        except UnknownBackendError:
            return 1.0

    def observe_refusal(self, backend_number: int, now: float) -> None:
        """Record that a backend refused a connection."""
        self._watchers.observe_refusal(backend_number, now)

    def observe_answer_time(self, backend_number: int, seconds: float, now: float) -> None:
        """Record how long a backend took to answer."""
        self._watchers.observe_answer_time(backend_number, seconds, now)


METERING_INTERVAL_SECONDS = 0.09
"""Least interval between two readings of all meters; packet limits are refilled every 0.1 s."""


class PacketMetering:
    """Enforces the tenants' packet limits by the counts of routing's meters.

    A tenant may exceed its rate between two polls; the excess is charged to the following ones.
    """

    def __init__(self, admission: TenantAdmission) -> None:
        self._admission = admission
        self._counted: dict[str, int] = {}
        self._metered_at = -METERING_INTERVAL_SECONDS

    def poll(self, meters: dict[str, TrafficMeter], now: float) -> list[Command]:
        """Refill the limits and set each meter's `blocked`."""
        commands = self._admission.poll(now)
        if abs(now - self._metered_at) < METERING_INTERVAL_SECONDS:
            return commands
        self._metered_at = now
        for tenant, meter in meters.items():
            used = meter.packets - self._counted.get(tenant, 0)
            self._counted[tenant] = meter.packets
            try:
                account = self._admission.account(tenant)
            except UnknownTenantError:
                continue
            meter.blocked = account.charge_packets(used)
        return commands
