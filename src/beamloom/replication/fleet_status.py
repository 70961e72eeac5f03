"""Reports which nodes have a revision in force, without a controller and with little traffic.

A node reports its revision to the aggregator of its group after a change, and about once a minute.
To answer an operator's query a node asks the aggregators of all members that are not yet known to
have the revision; these request a report from each such member. A member counts as in force only by
its own report, so a lost message can only make the result too low.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from beamloom.model.machines import Member, NodeId
from beamloom.protocol.commands import Command, SendMessage
from beamloom.protocol.messages import Message
from beamloom.protocol.status_messages import (
    GroupStatusReported,
    GroupStatusRequested,
    RevisionReported,
    RevisionRequested,
)
from beamloom.replication.status_groups import StatusGroups

REPORT_DELAY_SECONDS = 0.3
REPORT_REFRESH_SECONDS = 60.0
QUERY_RETRY_INTERVAL_SECONDS = 0.25
MAXIMUM_ROUNDS = 16
NAMES_PER_MESSAGE = 24


@dataclass(frozen=True, slots=True)
class InForceReport:
    """Where a revision is in force.

    `count_known` members have reported their revision. `not_in_force` names every member that has
    not reported this revision or a later one. `as_of` is when the last answer arrived, or the
    query began.
    """

    count_in_force: int
    count_known: int
    not_in_force: tuple[NodeId, ...]
    as_of: float


@dataclass(frozen=True, slots=True)
class FleetStatusSnapshot:
    """Counters and state of fleet status."""

    reported_revision: int
    aggregator: NodeId
    aggregated_members: int
    known_reports: int
    questions: int


@dataclass(slots=True)
class _Query:
    """An operator's query in progress."""

    revision: int
    started_at: float
    in_force: set[NodeId]
    behind: set[NodeId]
    as_of: float
    rounds: int = 0


class FleetStatus:
    """One node's part in fleet status: it reports, aggregates for a group, and runs queries."""

    def __init__(
        self,
        node_id: NodeId,
        applied_revision: Callable[[], int],
        rng: random.Random,
        now: float,
    ) -> None:
        self._node_id = node_id
        self._applied_revision = applied_revision
        self._rng = rng
        self._groups = StatusGroups(node_id)
        self._reports: dict[NodeId, int] = {}
        self._reported = 0
        self._reported_to = node_id
        self._report_at = now + rng.random() * REPORT_REFRESH_SECONDS
        self._query: _Query | None = None
        self._query_count = 0

    def update_members(self, members: Sequence[Member], now: float) -> None:
        """Update the groups from the member list."""
        self._groups.update(members)
        kept = self._groups.members
        self._reports = {name: item for name, item in self._reports.items() if name in kept}
        if self._groups.own_aggregator != self._reported_to:
            self._schedule_report(now)

    def revision_applied(self, now: float) -> None:
        """Schedule a report, as the applied revision has risen."""
        self._schedule_report(now)

    def ask(self, revision: int, now: float) -> list[Command]:
        """Start a query for `revision`; `in_force` returns what is known so far."""
        self._query = _Query(revision, now, set(), set(), now)
        self._query_count += 1
        return self._next_round(self._query, now)

    def in_force(self, revision: int) -> InForceReport:
        """Return where a revision is in force, according to the members' own reports."""
        members = self._groups.members
        query = self._query
        is_current = query is not None and query.revision == revision
        in_force = set(query.in_force) if query is not None and is_current else set()
        behind = set(query.behind) if query is not None and is_current else set()
        own = in_force if self._applied_revision() >= revision else behind
        own.add(self._node_id)
        in_force &= members
        missing = tuple(sorted(members - in_force))
        as_of = query.as_of if query is not None and is_current else 0.0
        known_count = len((behind | in_force) & members)
        return InForceReport(len(in_force), known_count, missing, as_of)

    def handle_message(self, sender: NodeId, message: Message, now: float) -> list[Command]:
        """Handle one message of this component; others are ignored."""
        match message:
            case RevisionReported():
                self._reports[sender] = message.applied_revision
            case RevisionRequested():
                return [SendMessage(sender, RevisionReported(self._applied_revision()))]
            case GroupStatusRequested():
                return self._group_status(sender, message.revision)
            case GroupStatusReported():
                self._merge_group_status(message, now)
        return []

    def poll(self, now: float) -> list[Command]:
        """Run whatever is due."""
        commands: list[Command] = []
        if now >= self._report_at:
            commands += self._report(now)
        query = self._query
        if query is not None and now >= self._next_round_at(query):
            commands += self._next_round(query, now)
        return commands

    def next_timer(self) -> float | None:
        """Return when `poll` is due next."""
        if self._query is None or self._is_complete(self._query):
            return self._report_at
        return min(self._report_at, self._next_round_at(self._query))

    def snapshot(self) -> FleetStatusSnapshot:
        """Return counters and state for status and explanations."""
        return FleetStatusSnapshot(
            self._reported,
            self._groups.own_aggregator,
            len(self._groups.members_aggregated_here()),
            len(self._reports),
            self._query_count,
        )

    def _schedule_report(self, now: float) -> None:
        self._report_at = min(self._report_at, now + self._rng.random() * REPORT_DELAY_SECONDS)

    def _report(self, now: float) -> list[Command]:
        self._report_at = now + REPORT_REFRESH_SECONDS * self._rng.uniform(0.8, 1.2)
        self._reported = self._applied_revision()
        self._reported_to = self._groups.own_aggregator
        if self._reported_to == self._node_id:
            return []
        return [SendMessage(self._reported_to, RevisionReported(self._reported))]

    def _group_status(self, sender: NodeId, revision: int) -> list[Command]:
        """Answer with the known reports, and request new ones from all other members."""
        in_force, behind, others = self._local_status(revision)
        commands: list[Command] = [
            SendMessage(name, RevisionRequested()) for name in (*behind, *others)
        ]
        for start in range(0, max(len(in_force), len(behind), 1), NAMES_PER_MESSAGE):
            end = start + NAMES_PER_MESSAGE
            answer = GroupStatusReported(revision, in_force[start:end], behind[start:end])
            commands.append(SendMessage(sender, answer))
        return commands

    def _local_status(self, revision: int) -> tuple[list[NodeId], list[NodeId], list[NodeId]]:
        """Return the members aggregated here: in force, behind, and without a report."""
        in_force: list[NodeId] = []
        behind: list[NodeId] = []
        unknown: list[NodeId] = []
        for name in self._groups.members_aggregated_here():
            own = name == self._node_id
            reported = self._applied_revision() if own else self._reports.get(name)
            if reported is not None and reported >= revision:
                in_force.append(name)
            elif not own:
                (unknown if reported is None else behind).append(name)
        return in_force, behind, unknown

    def _merge_group_status(self, message: GroupStatusReported, now: float) -> None:
        query = self._query
        if query is None or query.revision != message.revision:
            return
        query.in_force.update(NodeId(name) for name in message.in_force)
        query.behind.update(NodeId(name) for name in message.behind)
        query.behind -= query.in_force
        query.as_of = now

    def _is_complete(self, query: _Query) -> bool:
        complete = self._groups.members <= query.in_force | {self._node_id}
        return complete or query.rounds >= MAXIMUM_ROUNDS

    def _next_round_at(self, query: _Query) -> float:
        if self._is_complete(query):
            return math.inf
        return query.started_at + QUERY_RETRY_INTERVAL_SECONDS * query.rounds

    def _next_round(self, query: _Query, now: float) -> list[Command]:
        query.rounds += 1
        commands: list[Command] = []
        for aggregator in sorted(self._groups.aggregators_of(self._missing(query))):
            if aggregator == self._node_id:
                commands += self._query_own_groups(query, now)
            else:
                commands.append(SendMessage(aggregator, GroupStatusRequested(query.revision)))
        return commands

    def _query_own_groups(self, query: _Query, now: float) -> list[Command]:
        commands: list[Command] = []
        for command in self._group_status(self._node_id, query.revision):
            if isinstance(command, SendMessage) and command.destination == self._node_id:
                self.handle_message(self._node_id, command.message, now)
            else:
                commands.append(command)
        return commands

    def _missing(self, query: _Query) -> frozenset[NodeId]:
        return self._groups.members - query.in_force - {self._node_id}
