"""Partition ownership as known to one node.

Only the owner of a partition decides its new flows. Ownership passes to another node by a HANDOVER
mark from the owner, or after the owner crashed. The home according to the member list *awaits*
another node that owns the partition, and relays packets to it. A partition whose owner has sent
the mark is *frozen* until the mark is acknowledged: the former owner decides nothing, so that no
two nodes decide at once. See docs/design/flows.md.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum

from beamloom.model.machines import Machine, Member, MemberState, NodeId
from beamloom.routing.hashing import PARTITION_COUNT
from beamloom.routing.partitions import PartitionMap

FIRST_REQUEST_SECONDS = 1.0
LAST_REQUEST_SECONDS = 4.0
CONFIRMATION_TIMEOUT_SECONDS = 60.0
GRACE_SECONDS = 15.0
HANDED_OVER_SECONDS = 25.0
TEMPORARY_ROUTE_SECONDS = 10.0
NEWCOMER_SECONDS = 30.0
MAXIMUM_NODES_ASKED = 8
REQUEST_ROUNDS = 3
RETURN_DELAY_SECONDS = 5.0
JOIN_WAIT_SECONDS = 2.0


class Acquisition(Enum):
    """How this node acquired a partition."""

    FRESH = "fresh"
    TRANSFER = "transfer"
    CRASH = "crash"
    RESUMED = "resumed"


@dataclass(slots=True)
class OwnedPartition:
    """A partition that this node owns.

    `base` is the configuration revision whose placement applies to flows without an entry. Until
    `grace_until`, opening packets of unknown flows are relayed to `predecessor`, which may have
    placed them just before the handover.
    """

    base: int
    since: float
    acquisition: Acquisition
    predecessor: NodeId | None = None
    grace_until: float = 0.0


@dataclass(slots=True)
class AwaitedPartition:
    """A partition that this node is to own while another node presumably owns it.

    `owner` is the node to request it from, and `confirmed_at` the time of the last answer that
    confirmed an owner, or of the first request. `confirmed` is set once `owner` itself has
    confirmed that it owns the partition. `disclaimed` holds the nodes that were asked in this round
    and do not own it. `only_newcomers_answered` is set while every answer was NEWCOMER, and
    `member_named` once an answer of this round named an owner.
    """

    owner: NodeId
    confirmed_at: float
    next_request_at: float
    disclaimed: set[NodeId] = field(default_factory=set)
    confirmed: bool = False
    request_interval_seconds: float = FIRST_REQUEST_SECONDS
    only_newcomers_answered: bool = True
    member_named: bool = False
    rounds_left: int = REQUEST_ROUNDS - 1


@dataclass(frozen=True, slots=True)
class Acquired:
    """A partition that this node acquires, and its previous owner where one is known."""

    partition: int
    acquisition: Acquisition
    predecessor: NodeId | None


class Ownership:
    """The ownership state of every partition at one node.

    `forward_targets` names, for each partition, the node that packets of unknown flows go to.
    """

    def __init__(self, node_id: NodeId) -> None:
        self.node_id = node_id
        self.members: dict[NodeId, Member] = {}
        self.map = PartitionMap(())
        self.previous_map = self.map
        self.homes: list[NodeId | None] = self.map.homes_by_partition()
        self.forward_targets: list[NodeId | None] = list(self.homes)
        self.owned: dict[int, OwnedPartition] = {}
        self.awaited: dict[int, AwaitedPartition] = {}
        self.frozen: dict[int, NodeId] = {}
        self.handed_over: dict[int, float] = {}
        self.previous_homes: dict[int, NodeId] = {}
        self.temporary_routes: dict[int, float] = {}
        self.leaving = False
        self._started_at: float | None = None
        self._listed_at: float | None = None
        self._may_own = False
        self._left: set[NodeId] = set()

    def is_reachable(self, node_id: NodeId | None) -> bool:
        """Whether a node is a member that accepts packets and messages."""
        member = self.members.get(node_id) if node_id is not None else None
        return member is not None and member.is_reachable

    def update(self, members: Sequence[Member], now: float) -> list[Acquired]:
        """Apply a member list; returns the partitions that this node acquires at once."""
        leaving = {key for key, item in self.members.items() if item.state is MemberState.LEAVING}
        self.members = {member.machine.node_id: member for member in members}
        self._left = {key for key in leaving | self._left if not self.is_reachable(key)}
        self._listed_at = now if self._listed_at is None else self._listed_at
        return self.reassign(now)

    def join_wait_over(self, now: float) -> bool:
        """Whether no other home was found within JOIN_WAIT_SECONDS of the first member list."""
        alone_since = None if self._may_own else self._listed_at
        return alone_since is not None and now - alone_since >= JOIN_WAIT_SECONDS

    def _update_may_own(self, now: float) -> bool:
        """Return whether this node may own partitions: another home or a leaving member is known.

        Without either, it may once JOIN_WAIT_SECONDS have passed. A joining node may receive its
        configuration before it knows any other member; partitions that it acquired at once would
        have two owners.
        """
        others = (item for key, item in self.members.items() if key != self.node_id)
        self._may_own = (
            self._may_own
            or self.join_wait_over(now)
            or any(item.may_be_home or item.state is MemberState.LEAVING for item in others)
        )
        return self._may_own

    def reassign(self, now: float) -> list[Acquired]:
        """Recompute the homes; this node is left out while it leaves or may not own yet."""
        machines = self._home_machines(now)
        before = self.homes
        self.previous_map = self.map
        self.map = PartitionMap(machines, self.map)
        self.homes = self.map.homes_by_partition()
        without_self = None
        if self._started_at is None and any(item.node_id == self.node_id for item in machines):
            others = [item for item in machines if item.node_id != self.node_id]
            without_self = PartitionMap(others).homes_by_partition()
        if self._started_at is None and machines:
            self._started_at = now
        acquired: list[Acquired] = []
        for partition in range(PARTITION_COUNT):
            if self.homes[partition] != before[partition]:
                former = without_self[partition] if without_self else before[partition]
                self._record_previous_home(partition, before[partition])
                acquired.extend(self._apply_home_change(partition, former, now))
        acquired.extend(self._replace_dead_owners(now))
        return acquired

    def _record_previous_home(self, partition: int, home: NodeId | None) -> None:
        """Remember the previous home, to name it to nodes that ask for the owner."""
        if home is not None:
            self.previous_homes[partition] = home

    def _home_machines(self, now: float) -> list[Machine]:
        self_excluded = self.leaving or not self._update_may_own(now)
        return [
            member.machine
            for node_id, member in self.members.items()
            if member.may_be_home and not (self_excluded and node_id == self.node_id)
        ]

    def _apply_home_change(
        self, partition: int, former: NodeId | None, now: float
    ) -> list[Acquired]:
        home = self.homes[partition]
        if partition in self.owned or partition in self.frozen:
            return []
        if home != self.node_id:
            self._route_to_home(partition, home, now)
            return []
        if partition in self.awaited:
            return []
        has_newer_owner = partition in self.temporary_routes or partition in self.handed_over
        owner = self.forward_targets[partition] if has_newer_owner else former
        self.temporary_routes.pop(partition, None)
        return self._await_or_acquire(partition, owner, now)

    def _route_to_home(self, partition: int, home: NodeId | None, now: float) -> None:
        """Route packets to the home, or for a limited time to the owner that was awaited."""
        awaited = self.awaited.pop(partition, None)
        if awaited is not None and self.is_reachable(awaited.owner):
            self.temporary_routes[partition] = now + TEMPORARY_ROUTE_SECONDS
            return
        self.temporary_routes.pop(partition, None)
        if partition in self.handed_over and self.is_reachable(self.forward_targets[partition]):
            return
        self.forward_targets[partition] = home

    def _await_or_acquire(self, partition: int, owner: NodeId | None, now: float) -> list[Acquired]:
        if owner is None or owner == self.node_id:
            return [Acquired(partition, Acquisition.FRESH, None)]
        if not self.is_reachable(owner):
            return [Acquired(partition, Acquisition.CRASH, owner)]
        self.await_owner(partition, owner, now)
        return []

    def await_owner(self, partition: int, owner: NodeId, now: float) -> None:
        """Set the presumed owner of a partition that this node is to own."""
        previous = self.awaited.get(partition)
        awaited = AwaitedPartition(owner, now, now)
        if previous is not None:
            awaited.confirmed_at = previous.confirmed_at
            awaited.disclaimed = previous.disclaimed
            awaited.only_newcomers_answered = previous.only_newcomers_answered
            awaited.member_named = previous.member_named
            awaited.rounds_left = previous.rounds_left
        self.awaited[partition] = awaited
        self.forward_targets[partition] = owner

    def is_newcomer(self, now: float) -> bool:
        """Whether this node joined too recently to report that a partition has no owner."""
        return self._started_at is None or now - self._started_at < NEWCOMER_SECONDS

    def await_next_candidate(self, partition: int, now: float) -> bool:
        """Await the next candidate that has not disclaimed; returns False when none is left.

        If a node asked in this round named an owner, a new round begins, up to REQUEST_ROUNDS:
        the partition may have been in transfer to the named node.
        """
        awaited = self.awaited[partition]
        candidate = self._next_candidate(partition, awaited)
        if candidate is not None:
            self.await_owner(partition, candidate, now)
            return True
        if not awaited.member_named or not awaited.rounds_left:
            return False
        awaited.rounds_left -= 1
        awaited.disclaimed = set()
        awaited.member_named = False
        candidate = self._next_candidate(partition, awaited)
        if candidate is None:
            return False
        self.await_owner(partition, candidate, now)
        self.awaited[partition].next_request_at = now + FIRST_REQUEST_SECONDS
        return True

    def _next_candidate(self, partition: int, awaited: AwaitedPartition) -> NodeId | None:
        excluded = awaited.disclaimed | {self.node_id}
        candidate = self._leaving_member(excluded)
        if candidate is None and len(awaited.disclaimed) < MAXIMUM_NODES_ASKED:
            candidate = self.map.best_except(partition, excluded)
        return candidate

    def _leaving_member(self, excluded: set[NodeId]) -> NodeId | None:
        """Return a leaving member, which is no longer in the map but may still own partitions."""
        for node_id, member in self.members.items():
            if member.state is MemberState.LEAVING and node_id not in excluded:
                return node_id
        return None

    def _replace_dead_owners(self, now: float) -> list[Acquired]:
        """Return the partitions to acquire because a node that was to transfer or own them is down.

        If the awaited owner left as planned or never confirmed, another node may own the partition:
        the next candidate is awaited instead. Frozen partitions whose successor is down resume.
        """
        acquired: list[Acquired] = []
        dead = [item for item, found in self.awaited.items() if not self.is_reachable(found.owner)]
        for partition in dead:
            awaited = self.awaited[partition]
            awaited.disclaimed.add(awaited.owner)
            crashed = awaited.confirmed and awaited.owner not in self._left
            if crashed or not self.await_next_candidate(partition, now):
                acquired.append(Acquired(partition, Acquisition.CRASH, awaited.owner))
        acquired.extend(
            Acquired(partition, Acquisition.RESUMED, successor)
            for partition, successor in self.frozen.items()
            if not self.is_reachable(successor)
        )
        self._reroute_from_dead_nodes()
        return acquired

    def _reroute_from_dead_nodes(self) -> None:
        """Route packets to the home again where the node they were sent to is down."""
        for remembered in (self.temporary_routes, self.handed_over):
            for partition in list(remembered):
                if partition in self.awaited or self.is_reachable(self.forward_targets[partition]):
                    continue
                del remembered[partition]
                self.forward_targets[partition] = self.homes[partition]

    def own(self, acquired: Acquired, base: int, now: float) -> None:
        """Make this node the owner of a partition."""
        partition = acquired.partition
        self.awaited.pop(partition, None)
        self.frozen.pop(partition, None)
        self.handed_over.pop(partition, None)
        self.temporary_routes.pop(partition, None)
        grace = now + GRACE_SECONDS if acquired.acquisition is Acquisition.TRANSFER else 0.0
        owned = OwnedPartition(base, now, acquired.acquisition, acquired.predecessor, grace)
        self.owned[partition] = owned
        self.forward_targets[partition] = self.node_id

    def freeze(self, partition: int, successor: NodeId) -> None:
        """Stop deciding a partition whose HANDOVER mark is being sent."""
        self.owned.pop(partition, None)
        self.frozen[partition] = successor
        self.forward_targets[partition] = successor

    def release(self, partition: int, successor: NodeId, now: float) -> bool:
        """Complete an acknowledged handover; returns whether one to `successor` was open."""
        if self.frozen.get(partition) != successor:
            return False
        del self.frozen[partition]
        self.handed_over[partition] = now + HANDED_OVER_SECONDS
        return True

    def handovers_due(self, now: float) -> dict[int, NodeId]:
        """Return the owned partitions whose home is another live node, with that home.

        A node that has just handed over or refused a partition probably has a newer member list
        than this node, so the partition is not offered to it for RETURN_DELAY_SECONDS.
        """
        moves: dict[int, NodeId] = {}
        for partition, owned in self.owned.items():
            home = self.homes[partition]
            if home is None or home == self.node_id or not self.is_reachable(home):
                continue
            returned = home == owned.predecessor and owned.acquisition is not Acquisition.CRASH
            if not returned or now - owned.since >= RETURN_DELAY_SECONDS:
                moves[partition] = home
        return moves

    def requests_due(self, now: float) -> dict[NodeId, list[int]]:
        """Return the partitions to request now, by presumed owner; doubles their interval."""
        due: dict[NodeId, list[int]] = {}
        for partition, awaited in self.awaited.items():
            if awaited.next_request_at <= now:
                awaited.next_request_at = now + awaited.request_interval_seconds
                awaited.request_interval_seconds = min(
                    2 * awaited.request_interval_seconds, LAST_REQUEST_SECONDS
                )
                due.setdefault(awaited.owner, []).append(partition)
        return due

    def confirm_owner(self, owner: NodeId) -> None:
        """Mark every partition awaited from a node as confirmed, as it sends transfer batches."""
        for awaited in self.awaited.values():
            if awaited.owner == owner:
                awaited.confirmed = True

    def confirmation_timeouts(self, now: float) -> list[Acquired]:
        """Return awaited partitions whose owner was not confirmed in time; they are acquired.

        An owner that has confirmed is awaited until it is down.
        """
        return [
            Acquired(partition, Acquisition.CRASH, awaited.owner)
            for partition, awaited in self.awaited.items()
            if not awaited.confirmed and now - awaited.confirmed_at >= CONFIRMATION_TIMEOUT_SECONDS
        ]

    def expire(self, now: float) -> None:
        """Drop temporary routes and completed handovers that have expired; route to the home."""
        for partition in [item for item, until in self.handed_over.items() if until <= now]:
            del self.handed_over[partition]
            if partition not in self.awaited:
                self.forward_targets[partition] = self.homes[partition]
        for partition in [item for item, until in self.temporary_routes.items() if until <= now]:
            del self.temporary_routes[partition]
            self.forward_targets[partition] = self.homes[partition]
