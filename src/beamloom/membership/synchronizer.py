"""Whole-list synchronization: join in pages, anti-entropy by digests, questions for addresses."""

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
MEMBERS_PER_QUESTION = 8
QUESTION_INTERVAL = 0.5
SPLIT_SHARE = 2
"""From one dead member for so many live ones on, a split is likelier than crashes."""
SPLIT_CONTACT_SECONDS = 0.25
"""How often one node or another of this side asks a member that is believed dead."""
SPLIT_DIGEST_FLOOR = 0.5
JITTER = 0.25


class Synchronizer:
    """Brings this node's list up to date with others', and helps them to do the same."""

    def __init__(
        self, tracker: MemberTracker, seeds: Sequence[SocketAddress], chance: random.Random
    ) -> None:
        self._tracker = tracker
        self._settings = tracker.settings
        self._random = chance
        own_address = tracker.own_machine.control_address
        self._seeds = [seed for seed in seeds if seed != own_address]
        self._listed: list[Machine] = []
        self._budget = PageBudget(tracker.settings.page_interval)
        self._cursor = ""
        self._retry = tracker.settings.join_retry
        self._next_join = NEVER
        self._next_digest = NEVER
        self._next_question = 0.0
        self.synchronized = not self._seeds

    def start(self, now: float) -> None:
        """Begin to join, and the rounds of anti-entropy."""
        self._next_join = NEVER if self.synchronized else now
        self._next_digest = now + self._digest_delay()

    def stop(self) -> None:
        """Send nothing more of one's own accord."""
        self._next_join = NEVER
        self._next_digest = NEVER

    def poll(self, now: float) -> None:
        """Ask for the next page, or compare digests, when due."""
        if now >= self._next_join:
            self._join(now)
        if now >= self._next_digest:
            self._next_digest = now + self._digest_delay()
            self._compare(now)

    def next_timer(self) -> float:
        """Return when `poll` has something to do; infinity for never."""
        return min(self._next_join, self._next_digest)

    def compare_soon(self, now: float) -> None:
        """Go on at the next poll, with a comparison of digests, after a pause."""
        if self._next_digest < NEVER:
            self._next_digest = now
        if self._next_join < NEVER:
            self._next_join = max(self._next_join, now)

    def machines_listed(self, live: Sequence[Machine]) -> None:
        """Note the platform's list, as addresses worth asking."""
        own_id = self._tracker.own_id
        self._listed = [machine for machine in live if machine.node_id != own_id]

    def take_updates(
        self, sender: NodeId, updates: Iterable[WireUpdate], now: float, old_news: bool = False
    ) -> None:
        """Merge wire updates; malformed ones are counted, unknown members are asked about.

        `old_news` says that members which are new to this node are not new to the fleet.
        """
        unknown: list[NodeId] = []
        for parts in updates:
            update = self._decode(parts)
            if update is None:
                continue
            if self._tracker.take_update(update, now, old_news) is UpdateOutcome.UNKNOWN:
                unknown.append(update.node_id)
        if unknown:
            self.ask_about(sender, unknown, now)

    def ask_about(self, peer: NodeId, node_ids: Sequence[NodeId], now: float) -> None:
        """Ask a peer for full entries, at most one question in a while."""
        self._tracker.counters.unknown_members += len(node_ids)
        if now < self._next_question or peer not in self._tracker.table.members:
            return
        self._next_question = now + QUESTION_INTERVAL
        self._send(peer, MemberRequest(list(node_ids[:MEMBERS_PER_QUESTION])))

    def answer_join(self, sender: NodeId, request: JoinRequest, now: float) -> bool:
        """Take a newcomer in and send it the first page; False when it names another node."""
        update = decode_update(request.update)
        if update.node_id != sender or update.machine is None:
            return False
        self._tracker.take_update(update, now)
        self._send_page(update.machine.control_address, "", now)
        return True

    def answer_state_request(self, sender: NodeId, request: StateRequest, now: float) -> None:
        """Send the page after the asker's cursor."""
        self._send_page(sender, request.cursor, now)

    def take_page(self, sender: NodeId, page: StatePage, now: float) -> None:
        """Merge a page; when it is the one waited for, go on to the next."""
        self.take_updates(sender, page.updates, now, old_news=True)
        if self.synchronized or page.cursor != self._cursor:
            return
        self._cursor = page.next_cursor
        self._retry = self._settings.join_retry
        self.synchronized = page.next_cursor == ""
        self._next_join = NEVER if self.synchronized else now + self._settings.page_interval

    def answer_digest(self, sender: NodeId, digest: StateDigest, now: float) -> None:
        """Send the entries of buckets that differ, as far as the page budget allows."""
        own = self._tracker.table.buckets
        differing = [b for b in range(DIGEST_BUCKETS) if own[b] != digest.buckets[b]]
        self._random.shuffle(differing)
        for bucket in differing:
            if not self._budget.take(now):
                self._tracker.counters.pages_refused += 1
                return
            self._send_bucket(sender, bucket)

    def take_exchange(self, sender: NodeId, exchange: StateExchange, now: float) -> None:
        """Merge a bucket; where a reply is wanted, send back what is newer here."""
        self.take_updates(sender, exchange.updates, now)
        if not exchange.wants_reply:
            return
        theirs = {
            update.node_id: update for update in map(self._decode, exchange.updates) if update
        }
        newer: list[MemberUpdate] = []
        table = self._tracker.table
        for node_id in table.ids_of_bucket(exchange.bucket):
            own = table.update_of(node_id, with_machine=node_id not in theirs)
            other = theirs.get(node_id)
            rank = (own.incarnation, own.state)
            worth_telling = table.members[node_id].answers
            if worth_telling if other is None else rank > (other.incarnation, other.state):
                newer.append(own)
        if newer:
            self._send(sender, StateExchange(exchange.bucket, False, self._fit(newer)))

    def answer_question(self, sender: NodeId, request: MemberRequest) -> None:
        """Send the full entries of the members that were asked about."""
        members = self._tracker.table.members
        asked = [NodeId(node_id) for node_id in request.node_ids if node_id in members]
        entries = [self._tracker.table.update_of(node_id, with_machine=True) for node_id in asked]
        if entries:
            self._send(sender, Gossip(self._fit(entries)))

    def _join(self, now: float) -> None:
        self._next_join = now + self._retry
        self._retry = min(self._settings.join_retry_maximum, self._retry * 2)
        peers = self._tracker.table.peers
        if self._cursor and peers:
            peer = self._random.choice(peers)
            self._send(peer.machine.node_id, StateRequest(self._cursor))
            return
        addresses = [*self._seeds, *(machine.control_address for machine in self._listed)]
        if addresses:
            self._introduce(self._random.choice(addresses))

    def _introduce(self, address: SocketAddress) -> None:
        own = self._tracker.table.update_of(self._tracker.own_id, with_machine=True)
        self._send(address, JoinRequest(own.encode()))

    def _compare(self, now: float) -> None:
        table = self._tracker.table
        if not table.peers and (self._seeds or self._listed):
            self.synchronized = False
            self._cursor = ""
            self._next_join = min(self._next_join, now)
            return
        stranger = self._listed_stranger()
        if stranger is not None:
            self._introduce(stranger.control_address)
        dead_first = bool(table.dead) and self._random.random() < self._settings.digest_dead_share
        if self._looks_split():
            self._send_digest(table.dead)
            dead_first = False
        self._send_digest(table.dead if dead_first else table.peers)

    def _send_digest(self, candidates: Sequence[Member]) -> None:
        if candidates:
            peer = self._random.choice(candidates)
            digest = StateDigest(tuple(self._tracker.table.buckets))
            self._send(peer.machine.node_id, digest)

    def _listed_stranger(self) -> Machine | None:
        known = self._tracker.table.members
        strangers = [machine for machine in self._listed if machine.node_id not in known]
        return self._random.choice(strangers) if strangers else None

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
        room = self._settings.page_bytes
        fitting: list[WireUpdate] = []
        for update in updates:
            room -= update_size(update)
            if room < 0 or len(fitting) >= MAXIMUM_UPDATES:
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
        spread = self._random.uniform(1.0 - JITTER, 1.0 + JITTER)
        interval = self._settings.digest_interval
        if self._looks_split():
            wanted = (len(self._tracker.table.peers) + 1) * SPLIT_CONTACT_SECONDS
            interval = min(interval, max(SPLIT_DIGEST_FLOOR, wanted))
        return interval * spread

    def _looks_split(self) -> bool:
        """Whether so many members are dead that a cut network is likelier than crashes."""
        table = self._tracker.table
        return len(table.dead) * SPLIT_SHARE >= len(table.peers) + 1

    def _send(self, destination: NodeId | SocketAddress, message: Message) -> None:
        self._tracker.outbox.append(SendMessage(destination, message))
