"""Tenant limits: each node enforces its part of the fleet-wide values of `TenantLimits`.

Homes decide new flows, so a node enforces the limits on flows times its share of the partitions.
Packets arrive evenly at all nodes, so their limit is divided by the number of live nodes. They are
charged after they were forwarded, against a budget that `poll` refills.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from beamloom.model.contracts import TenantContract, TenantLimits
from beamloom.model.machines import NodeId
from beamloom.protocol.commands import Command
from beamloom.protocol.messages import Message

REFILL_INTERVAL_SECONDS = 0.1
PACKET_BURST_SECONDS = 0.25
FLOW_BURST_SECONDS = 0.5
FLOW_BURST_MINIMUM = 8.0
MAXIMUM_RETRY_AFTER_SECONDS = 30.0
QUOTA_RETRY_AFTER_SECONDS = 5.0
CONTENDED_OCCUPANCY = 0.9
UNLIMITED_PACKETS = 1 << 62


class AdmissionDecision(Enum):
    """Whether a new flow is admitted, and which limit refused it if not."""

    ADMIT = "admit"
    REFUSE_RATE = "refuse_rate"
    REFUSE_OPEN_FLOWS = "refuse_open_flows"
    REFUSE_TABLE = "refuse_table"


@dataclass(frozen=True, slots=True)
class AdmissionAnswer:
    """A decision; `retry_after` is the number of seconds after which the client may retry."""

    decision: AdmissionDecision
    retry_after: float = 0.0


ADMITTED = AdmissionAnswer(AdmissionDecision.ADMIT)


class UnknownTenantError(KeyError):
    """The tenant has no contract; call `update_contracts` before admitting its flows."""


@dataclass(frozen=True, slots=True)
class TenantAdmissionStatus:
    """Counters of one tenant on this node; `flow_rate` is this node's part, per second."""

    open_flows: int
    table_entries: int
    flow_rate: float
    open_flow_quota: int
    admitted: int
    refused: dict[AdmissionDecision, int]


@dataclass(slots=True)
class TenantAccount:
    """Limits and counters of one tenant on this node; `packets_left` may be negative."""

    limits: TenantLimits
    tokens: float = FLOW_BURST_MINIMUM
    refilled_at: float = 0.0
    last_retry_at: float = 0.0
    flow_rate: float = math.inf
    flow_burst: float = FLOW_BURST_MINIMUM
    open_flow_quota: int = 0
    table_quota: int = 0
    open_flows: int = 0
    table_entries: int = 0
    packets_left: int = UNLIMITED_PACKETS
    packet_rate: float = math.inf
    packet_fraction: float = 0.0
    packet_burst: int = UNLIMITED_PACKETS
    admitted: int = 0
    refused: dict[AdmissionDecision, int] = field(default_factory=dict)

    def charge_packets(self, count: int) -> bool:
        """Charge forwarded packets; returns whether the budget is used up until a refill."""
        self.packets_left -= count
        return self.packets_left <= 0

    def refill_packets(self, elapsed: float) -> None:
        """Add the packets that `elapsed` seconds allow, up to the burst."""
        gained = self.packet_rate * elapsed + self.packet_fraction
        whole = int(gained)
        self.packet_fraction = gained - whole
        left = self.packets_left + whole
        self.packets_left = left if left < self.packet_burst else self.packet_burst

    def set_packet_rate(self, rate: float) -> None:
        """Set this node's packets per second; infinity means unlimited."""
        was_unlimited = self.packet_rate == math.inf
        self.packet_rate = rate
        if rate == math.inf:
            self.packet_burst = self.packets_left = UNLIMITED_PACKETS
            return
        self.packet_burst = max(1, int(rate * PACKET_BURST_SECONDS))
        left = self.packet_burst if was_unlimited else self.packets_left
        self.packets_left = min(left, self.packet_burst)

    def refill_tokens(self, now: float) -> None:
        """Bring the token bucket for new flows up to `now`."""
        elapsed = max(0.0, now - self.refilled_at)
        self.refilled_at = max(now, self.refilled_at)
        if self.flow_rate != math.inf:
            self.tokens = min(self.flow_burst, self.tokens + elapsed * self.flow_rate)

    def next_retry_after(self, now: float) -> float:
        """Return the seconds after which a refused client may retry.

        Successive clients are spaced by the interval of the flow rate, up to
        MAXIMUM_RETRY_AFTER_SECONDS.
        """
        if self.flow_rate <= 0.0:
            return MAXIMUM_RETRY_AFTER_SECONDS
        interval = 1.0 / self.flow_rate
        self.last_retry_at = max(self.last_retry_at, now) + interval
        latest = now + MAXIMUM_RETRY_AFTER_SECONDS
        self.last_retry_at = min(self.last_retry_at, latest)
        return self.last_retry_at - now


class TenantAdmission:
    """Decides whether new flows and packets of each tenant are admitted at this node.

    `table_capacity` is the number of entries of this node's flow table.
    """

    def __init__(self, table_capacity: int, now: float = 0.0) -> None:
        self._capacity = table_capacity
        self._accounts: dict[str, TenantAccount] = {}
        self._packet_limited: list[TenantAccount] = []
        self._share = 1.0
        self._live_nodes = 1
        self._entries = 0
        self._refilled_at = now

    def update_contracts(self, contracts: Iterable[TenantContract], now: float) -> None:
        """Replace the tenants' contracts; counters of tenants that remain are kept."""
        accounts: dict[str, TenantAccount] = {}
        for contract in contracts:
            account = self._accounts.get(contract.tenant)
            if account is None:
                account = TenantAccount(contract.limits, refilled_at=now)
            account.limits = contract.limits
            accounts[contract.tenant] = account
        self._accounts = accounts
        self._entries = sum(account.table_entries for account in accounts.values())
        self._apply_limits_to_all(now)

    def update_share(self, home_share: float, live_nodes: int, now: float) -> None:
        """Set this node's share of the partitions (0 to 1) and the number of live nodes."""
        self._share = min(1.0, max(0.0, home_share))
        self._live_nodes = max(1, live_nodes)
        self._apply_limits_to_all(now)

    def account(self, tenant: str) -> TenantAccount:
        """Return a tenant's account; raises UnknownTenantError."""
        try:
            return self._accounts[tenant]
        except KeyError:
            raise UnknownTenantError(
                f"no contract for tenant {tenant!r}; create it before its services"
            ) from None

    def admit_flow(self, tenant: str, now: float) -> AdmissionAnswer:
        """Decide one new flow; an admitted one counts as open until `flow_ended`."""
        account = self.account(tenant)
        account.refill_tokens(now)
        answer = self._decide(account, now)
        if answer.decision is not AdmissionDecision.ADMIT:
            account.refused[answer.decision] = account.refused.get(answer.decision, 0) + 1
            return answer
        if account.flow_rate != math.inf:
            account.tokens -= 1.0
        account.admitted += 1
        account.open_flows += 1
        return answer

    def flow_taken_over(self, tenant: str) -> None:
        """Count an open flow that this home did not admit itself; it is never refused."""
        self.account(tenant).open_flows += 1

    def flow_ended(self, tenant: str) -> None:
        """Subtract one open flow that closed or was handed over to another home."""
        account = self._accounts.get(tenant)
        if account is not None and account.open_flows > 0:
            account.open_flows -= 1

    def entry_added(self, tenant: str) -> None:
        """Count one flow-table entry of the tenant, a cached copy included."""
        self.account(tenant).table_entries += 1
        self._entries += 1

    def entry_removed(self, tenant: str) -> None:
        """Subtract one flow-table entry of the tenant."""
        account = self._accounts.get(tenant)
        if account is not None and account.table_entries > 0:
            account.table_entries -= 1
            self._entries -= 1

    def handle_message(self, sender: NodeId, message: Message, now: float) -> list[Command]:
        """Ignore the message: admission uses none."""
        return []

    def poll(self, now: float) -> list[Command]:
        """Refill the packet budgets if a refill is due."""
        elapsed = now - self._refilled_at
        if elapsed < REFILL_INTERVAL_SECONDS * 0.999:
            return []
        self._refilled_at = now
        for account in self._packet_limited:
            account.refill_packets(elapsed)
        return []

    def next_timer(self) -> float | None:
        """Return the time of the next refill; None while no tenant has a packet limit."""
        return self._refilled_at + REFILL_INTERVAL_SECONDS if self._packet_limited else None

    def snapshot(self) -> dict[str, TenantAdmissionStatus]:
        """Return each tenant's counters."""
        return {tenant: _status(account) for tenant, account in self._accounts.items()}

    def _decide(self, account: TenantAccount, now: float) -> AdmissionAnswer:
        if self._table_quota_exceeded(account):
            return AdmissionAnswer(AdmissionDecision.REFUSE_TABLE, QUOTA_RETRY_AFTER_SECONDS)
        if account.limits.open_flows and account.open_flows >= account.open_flow_quota:
            return AdmissionAnswer(AdmissionDecision.REFUSE_OPEN_FLOWS, QUOTA_RETRY_AFTER_SECONDS)
        if account.flow_rate != math.inf and account.tokens < 1.0:
            return AdmissionAnswer(AdmissionDecision.REFUSE_RATE, account.next_retry_after(now))
        return ADMITTED

    def _table_quota_exceeded(self, account: TenantAccount) -> bool:
        if account.table_entries >= account.table_quota or self._entries >= self._capacity:
            return True
        if self._entries < self._capacity * CONTENDED_OCCUPANCY:
            return False
        return account.table_entries * len(self._accounts) >= self._capacity

    def _apply_limits_to_all(self, now: float) -> None:
        for account in self._accounts.values():
            self._apply_limits(account, now)
        self._packet_limited = [
            account for account in self._accounts.values() if account.packet_rate != math.inf
        ]

    def _apply_limits(self, account: TenantAccount, now: float) -> None:
        limits = account.limits
        account.refill_tokens(now)
        rate = limits.new_flows_per_second
        account.flow_rate = rate * self._share if rate else math.inf
        account.flow_burst = FLOW_BURST_MINIMUM
        if rate:
            account.flow_burst = max(FLOW_BURST_MINIMUM, account.flow_rate * FLOW_BURST_SECONDS)
        account.tokens = min(account.tokens, account.flow_burst)
        account.open_flow_quota = max(1, math.ceil(limits.open_flows * self._share))
        account.table_quota = max(1, int(limits.table_share * self._capacity))
        packets = limits.packets_per_second
        account.set_packet_rate(packets / self._live_nodes if packets else math.inf)


def _status(account: TenantAccount) -> TenantAdmissionStatus:
    return TenantAdmissionStatus(
        open_flows=account.open_flows,
        table_entries=account.table_entries,
        flow_rate=account.flow_rate,
        open_flow_quota=account.open_flow_quota,
        admitted=account.admitted,
        refused=dict(account.refused),
    )
