"""Synchronization of member lists: paged join, anti-entropy by digests, requests for entries."""

from __future__ import annotations

import random
from bisect import bisect_right
from collections.abc import Iterable, Sequence

from beamloom.membership.dissemination import update_size
from beamloom.membership.page_budget import PageBudget
from beamloom.membership.tracker import MemberTracker, UpdateOutcome
from beamloom.model.addresses import SocketAddress
from beamloom.model.machines import Machine, Member, NodeId
from beamloom.protocol.commands import SendMessage
from beamloom.protocol.errors import MalformedDatagramError
from beamloom.protocol.membership_messages import (
    DIGEST_BUCKETS,
    MAXIMUM_UPDATES,
    Gossip,
    JoinRequest,
    MemberRequest,
    MemberUpdate,
    StateDigest,
    StateExchange,
    StatePage,
    StateRequest,
    WireUpdate,
    decode_update,
)
from beamloom.protocol.messages import Message

NEVER = float("inf")
MEMBERS_PER_REQUEST = 8
MEMBER_REQUEST_INTERVAL_SECONDS = 0.5
SPLIT_LIVE_PER_DEAD = 2
"""With one dead member for this many live ones, or more, a network split is assumed."""
SPLIT_CONTACT_SECONDS = 0.25
"""Target interval, over all live nodes, between digests sent to dead members during a split."""
SPLIT_DIGEST_FLOOR_SECONDS = 0.5
JITTER = 0.25


class Synchronizer:
    """Synchronizes this node's member list with other nodes, and answers their requests."""

    def __init__(
        self, tracker: MemberTracker, seeds: Sequence[SocketAddress], rng: random.Random
    ) -> None:
        self._tracker = tracker
        self._settings = tracker.settings
        self._rng = rng
        own_address = tracker.own_machine.control_address
        self._seeds = [seed for seed in seeds if seed != own_address]
        self._listed: list[Machine] = []
        self._budget = PageBudget(tracker.settings.page_interval)
        self._cursor = ""
        self._retry = tracker.settings.join_retry
        self._next_join = NEVER
        self._next_digest = NEVER
        self._next_member_request = 0.0
        self.synchronized = not self._seeds

    def start(self, now: float) -> None:
        """Start to join, and start the anti-entropy rounds."""
        self._next_join = NEVER if self.synchronized else now
        self._next_digest = now + self._digest_delay()

    def stop(self) -> None:
        """Stop joining and the anti-entropy rounds."""
        self._next_join = NEVER
        self._next_digest = NEVER

    def poll(self, now: float) -> None:
        """Request the next page, or run an anti-entropy round, when due."""
        if now >= self._next_join:
            self._join(now)
        if now >= self._next_digest:
            self._next_digest = now + self._digest_delay()
            self._run_anti_entropy(now)

    def next_timer(self) -> float:
        """Return when `poll` is due next; infinity if it is not."""
        return min(self._next_join, self._next_digest)

    def resume_after_pause(self, now: float) -> None:
        """Run an anti-entropy round, and any overdue join request, at the next poll."""
        if self._next_digest < NEVER:
            self._next_digest = now
        if self._next_join < NEVER:
            self._next_join = max(self._next_join, now)

    def machines_listed(self, live: Sequence[Machine]) -> None:
        """Record the machines of the platform's list, as addresses for join requests."""
        own_id = self._tracker.own_id
        self._listed = [machine for machine in live if machine.node_id != own_id]

    def merge_updates(
        self, sender: NodeId, updates: Iterable[WireUpdate], now: float, from_page: bool = False
    ) -> None:
        """Merge wire updates, count malformed ones, and request the entries of unknown members.

        With `from_page`, members that are new to this node are not gossiped.
        """
        unknown: list[NodeId] = []
        for parts in updates:
            update = self._decode(parts)
            if update is None:
                continue
            if self._tracker.merge_update(update, now, from_page) is UpdateOutcome.UNKNOWN:
                unknown.append(update.node_id)
        if unknown:
            self.request_members(sender, unknown, now)

    def request_members(self, peer: NodeId, node_ids: Sequence[NodeId], now: float) -> None:
        """Request full entries from a peer, once per `MEMBER_REQUEST_INTERVAL_SECONDS` at most."""
        self._tracker.counters.unknown_members += len(node_ids)
        if now < self._next_member_request or peer not in self._tracker.table.members:
            return
        self._next_member_request = now + MEMBER_REQUEST_INTERVAL_SECONDS
        self._send(peer, MemberRequest(list(node_ids[:MEMBERS_PER_REQUEST])))

    def answer_join(self, sender: NodeId, request: JoinRequest, now: float) -> bool:
        """Add a joining node and send it the first page; False if the update is not its own."""
        update = decode_update(request.update)
        if update.node_id != sender or update.machine is None:
            return False
        self._tracker.merge_update(update, now)
        self._send_page(update.machine.control_address, "", now)
        return True

    def answer_state_request(self, sender: NodeId, request: StateRequest, now: float) -> None:
        """Send the page after the requested cursor."""
        self._send_page(sender, request.cursor, now)

    def handle_page(self, sender: NodeId, page: StatePage, now: float) -> None:
        """Merge a page; if it has the requested cursor, schedule the request for the next."""
        self.merge_updates(sender, page.updates, now, from_page=True)
        if self.synchronized or page.cursor != self._cursor:
            return
        self._cursor = page.next_cursor
        self._retry = self._settings.join_retry
        self.synchronized = page.next_cursor == ""
        self._next_join = NEVER if self.synchronized else now + self._settings.page_interval

    def answer_digest(self, sender: NodeId, digest: StateDigest, now: float) -> None:
        """Send the entries of buckets that differ, within the page budget."""
        own = self._tracker.table.buckets
        differing = [b for b in range(DIGEST_BUCKETS) if own[b] != digest.buckets[b]]
        self._rng.shuffle(differing)
        for bucket in differing:
            if not self._budget.take(now):
                self._tracker.counters.pages_refused += 1
                return
            self._send_bucket(sender, bucket)

    def handle_exchange(self, sender: NodeId, exchange: StateExchange, now: float) -> None:
        """Merge a bucket; if a reply is requested, send entries that it lacks or has older."""
        self.merge_updates(sender, exchange.updates, now)
        if not exchange.wants_reply:
            return
        received = {
            update.node_id: update for update in map(self._decode, exchange.updates) if update
        }
        newer: list[MemberUpdate] = []
        table = self._tracker.table
        for node_id in table.ids_of_bucket(exchange.bucket):
            own = table.update_of(node_id, with_machine=node_id not in received)
            other = received.get(node_id)
            rank = (own.incarnation, own.state)
            is_reachable = table.members[node_id].is_reachable
            if is_reachable if other is None else rank > (other.incarnation, other.state):
                newer.append(own)
        if newer:
            self._send(sender, StateExchange(exchange.bucket, False, self._fit(newer)))

    def answer_member_request(self, sender: NodeId, request: MemberRequest) -> None:
        """Send the full entries of the requested members."""
        members = self._tracker.table.members
        known = [NodeId(node_id) for node_id in request.node_ids if node_id in members]
        entries = [self._tracker.table.update_of(node_id, with_machine=True) for node_id in known]
        if entries:
            self._send(sender, Gossip(self._fit(entries)))

    def _join(self, now: float) -> None:
        self._next_join = now + self._retry
        self._retry = min(self._settings.join_retry_maximum, self._retry * 2)
        peers = self._tracker.table.peers
        if self._cursor and peers:
            peer = self._rng.choice(peers)
            self._send(peer.machine.node_id, StateRequest(self._cursor))
            return
        addresses = [*self._seeds, *(machine.control_address for machine in self._listed)]
        if addresses:
            self._send_join_request(self._rng.choice(addresses))

    def _send_join_request(self, address: SocketAddress) -> None:
        own = self._tracker.table.update_of(self._tracker.own_id, with_machine=True)
        self._send(address, JoinRequest(own.encode()))

    def _run_anti_entropy(self, now: float) -> None:
        table = self._tracker.table
        if not table.peers and (self._seeds or self._listed):
            self.synchronized = False
            self._cursor = ""
            self._next_join = min(self._next_join, now)
            return
        unknown = self._unknown_listed_machine()
        if unknown is not None:
            self._send_join_request(unknown.control_address)
        dead_first = bool(table.dead) and self._rng.random() < self._settings.digest_dead_share
        if self._looks_split():
            self._send_digest(table.dead)
            dead_first = False
        self._send_digest(table.dead if dead_first else table.peers)

    def _send_digest(self, candidates: Sequence[Member]) -> None:
        if candidates:
            peer = self._rng.choice(candidates)
            digest = StateDigest(tuple(self._tracker.table.buckets))
            self._send(peer.machine.node_id, digest)

    def _unknown_listed_machine(self) -> Machine | None:
        known = self._tracker.table.members
        unknown = [machine for machine in self._listed if machine.node_id not in known]
        return self._rng.choice(unknown) if unknown else None

    def _send_page(self, destination: NodeId | SocketAddress, cursor: str, now: float) -> None:
        if not self._budget.take(now):
            self._tracker.counters.pages_refused += 1
            return
        ids = self._tracker.table.sorted_ids
        rest = ids[bisect_right(ids, NodeId(cursor)) :]
        entries = (self._tracker.table.update_of(node_id, with_machine=True) for node_id in rest)
        fitting = self._fit(entries)
        more = len(fitting) < len(rest)
        next_cursor = rest[len(fitting) - 1] if more else ""
        self._tracker.counters.pages_sent += 1
        self._send(destination, StatePage(cursor, next_cursor, fitting))

    def _send_bucket(self, peer: NodeId, bucket: int) -> None:
        table = self._tracker.table
        entries = (table.update_of(node_id) for node_id in table.ids_of_bucket(bucket))
        self._tracker.counters.exchanges += 1
        self._send(peer, StateExchange(bucket, True, self._fit(entries)))

    def _fit(self, updates: Iterable[MemberUpdate]) -> list[WireUpdate]:
        remaining = self._settings.page_bytes
        fitting: list[WireUpdate] = []
        for update in updates:
            remaining -= update_size(update)
            if remaining < 0 or len(fitting) >= MAXIMUM_UPDATES:
                break
            fitting.append(update.encode())
        return fitting

    def _decode(self, parts: WireUpdate) -> MemberUpdate | None:
        try:
            return decode_update(parts)
        except MalformedDatagramError:
            self._tracker.counters.malformed_updates += 1
            return None

    def _digest_delay(self) -> float:
        spread = self._rng.uniform(1.0 - JITTER, 1.0 + JITTER)
        interval = self._settings.digest_interval
        if self._looks_split():
            split_interval = (len(self._tracker.table.peers) + 1) * SPLIT_CONTACT_SECONDS
            interval = min(interval, max(SPLIT_DIGEST_FLOOR_SECONDS, split_interval))
        return interval * spread

    def _looks_split(self) -> bool:
        """Whether so many members are dead that a network split is likelier than crashes."""
        table = self._tracker.table
        return len(table.dead) * SPLIT_LIVE_PER_DEAD >= len(table.peers) + 1

    def _send(self, destination: NodeId | SocketAddress, message: Message) -> None:
        self._tracker.outbox.append(SendMessage(destination, message))
