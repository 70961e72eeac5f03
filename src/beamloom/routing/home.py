"""Flow state of a home: entries, exceptions to the base placement, and their reasons.

A flow without an entry is assumed to be on the backend on which the generation at its partition's
base revision places it. For each partition that it owns, a home stores every live flow of which
this is not true, and all flows of services that bind first. These are the exceptions.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Protocol

from beamloom.routing.flow_deadlines import FlowDeadline, FlowDeadlines
from beamloom.routing.flow_table import FlowFlag, FlowTable
from beamloom.routing.hashing import partition_of, slot_of
from beamloom.routing.hooks import RoutingHooks
from beamloom.routing.ownership import GRACE_SECONDS, Acquisition, Ownership
from beamloom.routing.placement import NO_CANDIDATE
from beamloom.routing.selection import Choice, PlacementReason, choose_backend
from beamloom.routing.services import RouteTable, ServiceRoute

CACHE_LEASE_SECONDS = 30.0
CLOSED_FLOW_SECONDS = 10.0
BOTH_CLOSED = FlowFlag.CLIENT_CLOSED | FlowFlag.BACKEND_CLOSED
_FLAGS_MASK = 0xFF
_HOME_FLAG = int(FlowFlag.HOME)


class ExceptionListener(Protocol):
    """Receives each exception that is added or removed, to replicate or transfer it."""

    def exception_added(self, key: int, backend_number: int, now: float) -> None:
        """Handle a new exception."""

    def exception_removed(self, key: int, replicated: bool) -> None:
        """Handle the end of an exception; `replicated` is whether replica holders have it."""


class Home:
    """The flows of the partitions that this node owns."""

    def __init__(
        self, table: FlowTable, routes: RouteTable, ownership: Ownership, hooks: RoutingHooks
    ) -> None:
        self.table = table
        self.routes = routes
        self.ownership = ownership
        self.hooks = hooks
        self.exceptions: dict[int, dict[int, PlacementReason]] = {}
        self.listeners: list[ExceptionListener] = []
        self.deadlines = FlowDeadlines()

    # -- base placement --------------------------------------------------------------------------

    def base_backend(self, service: ServiceRoute, key: int) -> int:
        """Return the backend on which the base generation of its partition places a flow."""
        owned = self.ownership.owned.get(partition_of(key))
        revision = self.routes.revision if owned is None else owned.base
        return service.backend_at(revision, slot_of(key))

    def has_every_live_flow(self, service: ServiceRoute, partition: int, now: float) -> bool:
        """Whether each live flow of a service in an owned partition must have an entry here.

        The home receives a packet of each active flow at least once per cache lease; an idle flow
        ends at its timeout.
        """
        owned = self.ownership.owned[partition]
        if owned.acquisition is Acquisition.FRESH:
            return True
        return now - owned.since >= discovery_seconds(service)

    # -- entries ---------------------------------------------------------------------------------

    def home_row(self, key: int, service: ServiceRoute, now: float) -> int | None:
        """Return the row of a known flow of this service; a leased copy becomes a home entry."""
        row = self.table.rows.get(key)
        if row is None:
            return None
        route = self.routes.backends.get(self.table.backend[row])
        if route is None or route.service is not service:
            self.remove(key)
            return None
        if self.table.flags[row] & _HOME_FLAG:
            return row
        if self.table.deadline[row] <= now:
            self.table.remove(key)
            return None
        number = self.table.backend[row]
        choice = Choice(number, PlacementReason.CACHED_ANSWER)
        self.hooks.admission.flow_taken_over(service.contract)
        return self.insert(key, choice, service, FlowFlag.PAYLOAD_SENT, now)

    def choose(
        self, key: int, service: ServiceRoute, now: float, excluded: int = NO_CANDIDATE
    ) -> Choice:
        """Choose the backend of a new flow.

        For GRACE_SECONDS after a crash the backend of the base placement is preferred: if the SYN
        is a retransmission, the former home most likely placed the flow there.
        """
        owned = self.ownership.owned[partition_of(key)]
        crashed = owned.acquisition is Acquisition.CRASH
        recent = crashed and now - owned.since < GRACE_SECONDS
        preferred = self.base_backend(service, key) if recent else NO_CANDIDATE
        if preferred == excluded:
            preferred = NO_CANDIDATE
        return choose_backend(
            service,
            slot_of(key),
            self.routes,
            self.hooks.health,
            excluded=excluded,
            preferred=preferred,
        )

    def insert(
        self, key: int, choice: Choice, service: ServiceRoute, flags: int, now: float
    ) -> int:
        """Insert the entry of a flow at its home and return its row."""
        known = self.deadlines.take(key)
        self.remove(key)
        number = choice.backend_number
        if service.deadline:
            known = known or FlowDeadline(now)
            if self.deadlines.set(key, known, known.began + service.deadline):
                flags |= FlowFlag.DEADLINE
        deadline = now + service.contract.policy.flow_idle_timeout
        row = self.table.insert(key, number, _HOME_FLAG | flags, deadline, now)
        service.open_flows[number] = service.open_flows.get(number, 0) + 1
        if self._is_exception(key, number, service):
            self.exceptions.setdefault(partition_of(key), {})[key] = choice.reason
            for listener in self.listeners:
                listener.exception_added(key, number, now)
        return row

    def _is_exception(self, key: int, number: int, service: ServiceRoute) -> bool:
        return service.requires_binding or number != self.base_backend(service, key)

    def backend_of(self, row: int) -> int:
        """Return the number of the backend of a row."""
        return self.table.backend[row]

    def cancel_deadline(self, key: int, row: int) -> None:
        """Cancel a flow's deadline, unless it has passed."""
        if self.deadlines.take(key) is not None:
            self.table.flags[row] &= ~FlowFlag.DEADLINE & _FLAGS_MASK

    def remove(self, key: int) -> None:
        """Remove a flow's entry; a home entry is counted as ended."""
        row = self.table.rows.get(key)
        if row is None:
            return
        flags = self.table.flags[row]
        if flags & FlowFlag.DEADLINE:
            self.deadlines.take(key)
        if flags & _HOME_FLAG:
            self._count_ended(row)
            self._end_exception(key, bool(flags & FlowFlag.REPLICATED))
        self.table.remove(key)

    def close(self, row: int, sides: int, now: float) -> bool:
        """Record which sides closed a flow; returns whether both have.

        Such a flow no longer counts as open, but its entry is kept for retransmitted packets.
        """
        if self.is_over(row):
            return True
        over = (self.table.flags[row] | sides) & BOTH_CLOSED == BOTH_CLOSED
        if over:
            self._count_ended(row)
            self.table.deadline[row] = now + CLOSED_FLOW_SECONDS
        self.table.flags[row] |= sides
        return over

    def is_over(self, row: int) -> bool:
        """Whether both sides closed a flow."""
        return self.table.flags[row] & BOTH_CLOSED == BOTH_CLOSED

    def _count_ended(self, row: int) -> None:
        """Count a flow as ended, unless both sides closed it and it was counted then."""
        number = self.table.backend[row]
        route = self.routes.backends.get(number)
        if route is not None and not self.is_over(row):
            open_flows = route.service.open_flows
            open_flows[number] = max(open_flows.get(number, 0) - 1, 0)
            self.hooks.admission.flow_ended(route.service.contract)

    def _end_exception(self, key: int, replicated: bool) -> None:
        found = self.exceptions.get(partition_of(key))
        if found is None or found.pop(key, None) is None:
            return
        for listener in self.listeners:
            listener.exception_removed(key, replicated)

    # -- whole partitions ------------------------------------------------------------------------

    def records_of(self, partition: int) -> dict[int, int]:
        """Return the exceptions of a partition: backend numbers by flow key."""
        rows = self.table.rows
        keys = self.exceptions.get(partition, {})
        return {key: self.table.backend[rows[key]] for key in keys if key in rows}

    def add_records(self, records: Mapping[int, int], reason: PlacementReason, now: float) -> None:
        """Enter flows from replicas or transfers; home entries are replaced only if guessed."""
        for key, number in records.items():
            route = self.routes.backends.get(number)
            row = self.table.rows.get(key)
            known = row is not None and self.table.flags[row] & _HOME_FLAG
            guessed = row is not None and self.table.flags[row] & FlowFlag.GUESSED
            if route is None or (known and not guessed):
                continue
            self.hooks.admission.flow_taken_over(route.service.contract)
            self.insert(key, Choice(number, reason), route.service, FlowFlag.PAYLOAD_SENT, now)

    def demote(self, partitions: Iterable[int], now: float) -> None:
        """Turn the home entries of partitions that are handed over into leased copies."""
        for key, row in self.table.rows_in(partitions):
            if not self.table.flags[row] & _HOME_FLAG:
                continue
            self._count_ended(row)
            self.cancel_deadline(key, row)
            self.table.flags[row] &= (
                ~(FlowFlag.HOME | FlowFlag.REPLICATED | FlowFlag.HELD) & _FLAGS_MASK
            )
            if self.table.flags[row] & BOTH_CLOSED != BOTH_CLOSED:
                self.table.deadline[row] = now + CACHE_LEASE_SECONDS
        for partition in partitions:
            self.exceptions.pop(partition, None)

    def advance_bases(self, partitions: Iterable[int], now: float) -> dict[int, set[int]]:
        """Advance bases to the current revision where every live flow is known.

        A base stays if advancing it would add exceptions. Returns the partitions whose base
        advanced, each with the keys that are no longer exceptions; the caller must resend their
        replicas.
        """
        services = list(self.routes.by_service_number.values())
        ready = [
            partition
            for partition in partitions
            if self.ownership.owned[partition].base != self.routes.revision
            and all(self.has_every_live_flow(service, partition, now) for service in services)
        ]
        if not ready:
            return {}
        flows: dict[int, list[tuple[int, int]]] = {partition: [] for partition in ready}
        for key, row in self.table.rows_in(ready):
            flows[partition_of(key)].append((key, row))
        moved = {item: self._advance_base(item, flows[item]) for item in ready}
        return {item: dropped for item, dropped in moved.items() if dropped is not None}

    def _advance_base(self, partition: int, flows: list[tuple[int, int]]) -> set[int] | None:
        """Advance one base; returns the keys no longer exceptions, or None if it stays."""
        owned = self.ownership.owned[partition]
        before, known = owned.base, self.exceptions.get(partition, {})
        owned.base = self.routes.revision
        after: dict[int, PlacementReason] = {}
        for key, row in flows:
            number = self.table.backend[row]
            route = self.routes.backends.get(number)
            home_entry = self.table.flags[row] & _HOME_FLAG
            if home_entry and route and self._is_exception(key, number, route.service):
                after[key] = known.get(key, PlacementReason.BASE_GENERATION)
        if len(after) > len(known):
            owned.base = before
            return None
        self.exceptions[partition] = after
        return known.keys() - after.keys()


def discovery_seconds(service: ServiceRoute) -> float:
    """Return how long after acquiring a partition a home knows every live flow of a service."""
    policy = service.contract.policy
    return min(policy.flow_idle_timeout + CACHE_LEASE_SECONDS, policy.flow_maximum_age)


def lease_seconds(service: ServiceRoute) -> float:
    """Return the lease of a cached copy, at most half the idle timeout.

    The home thus receives a packet of an active flow before its entry times out.
    """
    return min(CACHE_LEASE_SECONDS, service.contract.policy.flow_idle_timeout / 2)
