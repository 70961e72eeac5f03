"""Tells which revision is in force where, without a controller and at next to no cost at rest.

A node reports to the aggregator of its group once per change. Whoever is asked by an operator
asks every aggregator; an aggregator asks the members that it lacks a report of. A member counts as
in force only by its own word, so a lost message can only make the answer too low.
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

REPORT_DELAY = 0.3
REPORT_REFRESH = 60.0
ASK_AGAIN = 0.25
MAXIMUM_ROUNDS = 16
NAMES_PER_MESSAGE = 24


@dataclass(frozen=True, slots=True)
class InForceReport:
    """How far a revision has come.

    `count_known` members have said which revision they have; `not_in_force` names every member
    that has not said it has this one, heard from or not. `as_of` is when the last answer came.
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
class _Question:
    """An operator's question that this node is finding the answer to."""

    revision: int
    asked_at: float
    in_force: set[NodeId]
    behind: set[NodeId]
    as_of: float
    rounds: int = 0


class FleetStatus:
    """One node's part in the aggregation: it reports, aggregates for a group, and may ask."""

    def __init__(
        self,
        node_id: NodeId,
        applied_revision: Callable[[], int],
        chance: random.Random,
        now: float,
    ) -> None:
        self._node_id = node_id
        self._applied_revision = applied_revision
        self._chance = chance
        self._groups = StatusGroups(node_id)
        self._reports: dict[NodeId, int] = {}
        self._reported = 0
        self._reported_to = node_id
        self._report_at = now + chance.random() * REPORT_REFRESH
        self._question: _Question | None = None
        self._question_count = 0

    def update_members(self, members: Sequence[Member], now: float) -> None:
        """Learn who is a member."""
        self._groups.update(members)
        kept = self._groups.members
        self._reports = {name: item for name, item in self._reports.items() if name in kept}
        if self._groups.own_aggregator != self._reported_to:
            self._report_soon(now)

    def revision_applied(self, now: float) -> None:
        """Learn that the applied revision rose."""
        self._report_soon(now)

    def ask(self, revision: int, now: float) -> list[Command]:
        """Begin to find out where `revision` is in force; `in_force` tells what is known yet."""
        self._question = _Question(revision, now, set(), set(), now)
        self._question_count += 1
        return self._next_round(self._question, now)

    def in_force(self, revision: int) -> InForceReport:
        """Return what is known of a revision, by what members themselves said."""
        members = self._groups.members
        question = self._question
        known = question is not None and question.revision == revision
        in_force = set(question.in_force) if question is not None and known else set()
        behind = set(question.behind) if question is not None and known else set()
        own = in_force if self._applied_revision() >= revision else behind
        own.add(self._node_id)
        in_force &= members
        missing = tuple(sorted(members - in_force))
        as_of = question.as_of if question is not None and known else 0.0
        heard = len((behind | in_force) & members)
        return InForceReport(len(in_force), heard, missing, as_of)

    def handle_message(self, sender: NodeId, message: Message, now: float) -> list[Command]:
        """Take one message of this component; others are ignored."""
        match message:
            case RevisionReported():
                self._reports[sender] = message.applied_revision
            case RevisionRequested():
                return [SendMessage(sender, RevisionReported(self._applied_revision()))]
            case GroupStatusRequested():
                return self._group_status(sender, message.revision)
            case GroupStatusReported():
                self._take_group_status(message, now)
        return []

    def poll(self, now: float) -> list[Command]:
        """Do whatever is due."""
        commands: list[Command] = []
        if now >= self._report_at:
            commands += self._report(now)
        question = self._question
        if question is not None and now >= self._ask_again_at(question):
            commands += self._next_round(question, now)
        return commands

    def next_timer(self) -> float | None:
        """Return when `poll` has something to do."""
        if self._question is None or self._answered(self._question):
            return self._report_at
        return min(self._report_at, self._ask_again_at(self._question))

    def snapshot(self) -> FleetStatusSnapshot:
        """Return counters and state for status and explanations."""
        return FleetStatusSnapshot(
            self._reported,
            self._groups.own_aggregator,
            len(self._groups.members_aggregated_here()),
            len(self._reports),
            self._question_count,
        )

    def _report_soon(self, now: float) -> None:
        self._report_at = min(self._report_at, now + self._chance.random() * REPORT_DELAY)

    def _report(self, now: float) -> list[Command]:
        self._report_at = now + REPORT_REFRESH * self._chance.uniform(0.8, 1.2)
        self._reported = self._applied_revision()
        self._reported_to = self._groups.own_aggregator
        if self._reported_to == self._node_id:
            return []
        return [SendMessage(self._reported_to, RevisionReported(self._reported))]

    def _group_status(self, sender: NodeId, revision: int) -> list[Command]:
        """Answer with what is known, and ask the members that do not have it yet by their word."""
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
        """Return the members aggregated here: in force, behind, and never heard from."""
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

    def _take_group_status(self, message: GroupStatusReported, now: float) -> None:
        question = self._question
        if question is None or question.revision != message.revision:
            return
        question.in_force.update(NodeId(name) for name in message.in_force)
        question.behind.update(NodeId(name) for name in message.behind)
        question.behind -= question.in_force
        question.as_of = now

    def _answered(self, question: _Question) -> bool:
        complete = self._groups.members <= question.in_force | {self._node_id}
        return complete or question.rounds >= MAXIMUM_ROUNDS

    def _ask_again_at(self, question: _Question) -> float:
        if self._answered(question):
            return math.inf
        return question.asked_at + ASK_AGAIN * question.rounds

    def _next_round(self, question: _Question, now: float) -> list[Command]:
        question.rounds += 1
        commands: list[Command] = []
        for aggregator in sorted(self._groups.aggregators_of(self._missing(question))):
            if aggregator == self._node_id:
                commands += self._answer_self(question, now)
            else:
                commands.append(SendMessage(aggregator, GroupStatusRequested(question.revision)))
        return commands

    def _answer_self(self, question: _Question, now: float) -> list[Command]:
        commands: list[Command] = []
        for command in self._group_status(self._node_id, question.revision):
            if isinstance(command, SendMessage) and command.destination == self._node_id:
                self.handle_message(self._node_id, command.message, now)
            else:
                commands.append(command)
        return commands

    def _missing(self, question: _Question) -> frozenset[NodeId]:
        return self._groups.members - question.in_force - {self._node_id}
