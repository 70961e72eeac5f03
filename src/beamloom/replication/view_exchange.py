"""Gossip that keeps the nodes' views of the store up to date; it does no I/O.

Each node sends the revisions of its views (a digest) to a few peers at once after a change, and to
at least one peer about every second. A node that receives a higher revision than its own requests
the missing changes. One that receives a lower revision, or an older confirmation, replies with its
own digest. Ages in a digest count from when it was sent, which is estimated if it was held up on
its way (`message_delays.py`). With up to DIRECT_PEERS peers a digest is sent to all of them; in a
larger fleet it spreads over several hops.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from itertools import chain, repeat
from typing import Any

from beamloom.model.store_revision import (
    UNKNOWN_ERA,
    era_of,
    number_of,
    revision_in_era,
)
from beamloom.protocol.messages import Message
from beamloom.protocol.opening_messages import OpeningQuery, OpeningReport
from beamloom.protocol.view_messages import (
    NEVER,
    AskElsewhere,
    BackendsDown,
    ViewDigest,
    ViewPart,
    ViewRequest,
)
from beamloom.replication.backend_reports import BackendReports
from beamloom.replication.message_checks import check_message
from beamloom.replication.message_delays import MessageDelay, MessageDelays
from beamloom.replication.opening_queries import OpeningQueries
from beamloom.replication.peer_table import UNKNOWN_RANK, PeerTable
from beamloom.replication.reader_role import ReaderRole
from beamloom.replication.shared_view import SharedView
from beamloom.replication.stop_turns import StopState, StopTurns
from beamloom.replication.view_pulls import SendToHost, ViewPulls
from beamloom.settings.capacity import LEAST, from_wire, to_wire
from beamloom.units import MILLISECONDS

DIRECT_PEERS = 12
FORWARD_PEERS = 5
PROBED_PEERS = 2
PROBE_SECONDS = 1.0
"""While a confirmation is late, each tick sends digests to PROBED_PEERS, for this long."""
AFTER_MERGE_PEERS = FORWARD_PEERS + FORWARD_PEERS // 2
"""Peers that get a digest after a merge; it carries both the changes and their confirmation."""
FRESHNESS_STEP_SECONDS = 0.8
"""In a large fleet a confirmation is forwarded only if it is newer by this much."""
HEARTBEAT_SECONDS = 1.0
MINIMUM_PEERS = 2
"""With fewer known peers, heartbeats go to the seeds too."""
DISCOVERY_HEARTBEAT_SECONDS = 0.3
DISCOVERY_SECONDS = 3.0
DISCOVERY_PEERS = 32
"""While new hosts appear and no more than this many are known, heartbeats are more frequent."""
REPLY_INTERVAL_SECONDS = 0.2
"""The shortest interval between replies to digests of one peer."""
OLDEST_AGE_SECONDS = 60.0
LATE_DIGEST_SECONDS = 0.2
"""From this delay on a digest is counted as late."""


class ViewExchange:
    """The exchange of one node; `take_sends` returns its messages, including those of `pulls`."""

    def __init__(
        self,
        views: Sequence[SharedView[Any]],
        peers: PeerTable,
        role: ReaderRole,
        rng: random.Random,
        *,
        by_capacity: bool = True,
    ) -> None:
        self.counters: Counter[str] = Counter()
        self.on_unusable_capacity: Callable[[str, tuple[str, ...]], None] = _ignore
        self.peers = peers
        self.reports = BackendReports(role.reader_id)
        self.stops = StopTurns(peers.host)
        self.views = views
        self._role = role
        self._rng = rng
        self._by_capacity = by_capacity
        self._sheds_load = False
        self._sends: list[SendToHost] = []
        self.openings = OpeningQueries(peers, self._sends, self.counters)
        self.pulls = ViewPulls(
            views, peers, rng, self._sends, self.counters, by_capacity=by_capacity
        )
        self.pulls.on_merged = self._announce_merge
        self.pulls.on_no_candidate = self._probe_peers
        self._next_heartbeat = float("-inf")
        self._discovered_at = float("-inf")
        self._replied_at: dict[str, float] = {}
        self._delays = MessageDelays()

    @property
    def nodes_changed_at(self) -> float:
        """When this node last learned of a new node, or of a stop or return in its zone."""
        return max(self._discovered_at, self.stops.changed_at)

    def limit_answers(self, answer_share: float) -> None:
        """Limit answers to peers to this share (0 to 1) of the usual bytes.

        Below 1 the node advertises the least capacity, so that peers give roles to other nodes.
        """
        self.pulls.budget.share = answer_share
        self._sheds_load = answer_share < 1.0

    def take_sends(self) -> list[SendToHost]:
        """Return the messages to send, and clear the queue."""
        sends = self._sends.copy()
        self._sends.clear()
        return sends

    def note_down(self, backend: str, now: float) -> None:
        """Report a backend that this node found dead, as soon as the report interval allows."""
        self.reports.note_down(backend)
        self._forward_down_reports(now)

    def _forward_down_reports(self, now: float) -> None:
        names = self.reports.take_unsent_down(now)
        if names:
            message = BackendsDown(names)
            hosts = self._choose(FORWARD_PEERS)
            self.counters["down_reports"] += len(hosts)
            self._sends.extend(SendToHost(host, message) for host in hosts)

    def advance(self, now: float) -> None:
        """Send what is due: reports, requests, probes for late confirmations and the heartbeat."""
        if self.reports.take_unsent(now):
            self.announce(now)
        self._forward_down_reports(now)
        self.pulls.advance(now)
        if self._is_confirmation_late(now):
            self._send_digest(self.peers.choose(PROBED_PEERS), now)
        if now < self._next_heartbeat:
            return
        is_small = len(self.peers) <= DISCOVERY_PEERS
        meeting = is_small and now - self._discovered_at < DISCOVERY_SECONDS
        period = DISCOVERY_HEARTBEAT_SECONDS if meeting else HEARTBEAT_SECONDS
        self._next_heartbeat = now + period * self._rng.uniform(0.9, 1.1)
        self.peers.remove_expired(now)
        self._delays.keep(self.peers.hosts())
        self.pulls.choice.forget(now)
        hosts = self.peers.choose(1)
        if len(self.peers) < MINIMUM_PEERS:
            hosts = sorted({*hosts, *self.peers.seeds})
        self._send_digest(hosts, now, names_peers=True)
        self._replied_at = {
            host: at for host, at in self._replied_at.items() if now - at < REPLY_INTERVAL_SECONDS
        }

    def _choose(self, count: int) -> list[str]:
        """Draw the peers to send to; in a large fleet a node with more capacity draws more."""
        if not self._by_capacity or len(self.peers) <= DIRECT_PEERS:
            return self.peers.choose(count)
        return self.peers.choose(self.peers.fan_out(count))

    def _is_confirmation_late(self, now: float) -> bool:
        """Whether a confirmation is late; peers that have a newer one reply to a digest."""
        for shared in self.views:
            age = shared.view.age(now)
            if age is not None and 0 <= age - shared.late_seconds < PROBE_SECONDS:
                return True
        return False

    def announce(self, now: float) -> None:
        """Send a digest to some peers; during discovery it may go to the seeds too.

        Nodes that have just started ask the seeds first.
        """
        count = DIRECT_PEERS if len(self.peers) <= DIRECT_PEERS else FORWARD_PEERS
        hosts = self._choose(count)
        if now - self._discovered_at < DISCOVERY_SECONDS and self._includes_seeds():
            hosts = sorted({*hosts, *self.peers.seeds})
        self._send_digest(hosts, now)

    def _includes_seeds(self) -> bool:
        """Whether announcements go to the seeds; in a large fleet they get them from other peers.

        Otherwise they would hold each change first, and all starting nodes would request it there.
        """
        return not self._by_capacity or len(self.peers) <= DISCOVERY_PEERS

    def request_stop(self, now: float) -> None:
        """Queue this node's stop, and notify the peers of its zone."""
        self.stops.request_stop(now)
        self._send_digest(self.peers.own_zone_hosts(), now)

    def may_stop(self, now: float) -> bool:
        """Return whether it is this node's turn to stop."""
        return self.stops.may_stop(len(self.peers.own_zone_hosts()) + 1, now)

    def announce_away(self, now: float) -> None:
        """Mark this node as away, and notify the peers of its zone."""
        self.stops.start_stop()
        self._send_digest(self.peers.own_zone_hosts(), now)

    def handle(self, host: str, message: Message, now: float) -> None:
        """Process a message from the node at a host; a malformed one raises ValueError."""
        check_message(message)
        is_new = self._note_peer(host, now, now)
        match message:
            case ViewDigest():
                self._handle_digest(host, message, is_new, now)
            case ViewRequest():
                self.pulls.answer(host, message, now)
            case AskElsewhere():
                self.pulls.handle_referral(host, message, now)
            case ViewPart():
                self.pulls.handle_part(host, message, now)
            case BackendsDown():
                self.reports.add_down_reports(message.names, now)
            case OpeningQuery() | OpeningReport():
                self.openings.handle(host, message, now)
        self._forward_down_reports(now)

    def _note_peer(self, host: str, at: float, now: float) -> bool:
        is_new = self.peers.note(host, at, now)
        if is_new:
            self._discovered_at = now
        return is_new

    def _handle_digest(self, host: str, digest: ViewDigest, is_new: bool, now: float) -> None:
        delay = self._note_delay(host, digest, now)
        sent_at = now - delay.seconds
        if not delay.is_overtaken:
            self._note_sender(host, digest, now)
        self.reports.add_digest(digest, sent_at, now)
        for peer, age in digest.peers:
            self._note_peer(peer, sent_at - age / MILLISECONDS, now)
        peer_is_behind = False
        has_newer_confirmation = False
        has_readers = False
        for reader, age in digest.readers:
            has_readers |= self._role.note_reader(reader, sent_at - age / MILLISECONDS)
        self._compare_marks(host, digest, now)
        for index, (shared, (revision, age)) in enumerate(
            zip(self.views, _revisions_in(digest), strict=False)
        ):
            own = shared.revision
            if not delay.is_overtaken:
                self.pulls.choice.note_revision(index, host, revision, now)
            if revision > own:
                shared.behind_since = now if shared.behind_since is None else shared.behind_since
                if age != NEVER:
                    shared.note_pending_confirmation(revision, sent_at - age / MILLISECONDS)
                self.pulls.request(host, index, revision, now)
            elif revision < own:
                peer_is_behind = True
            elif age != NEVER:
                confirmed_at = sent_at - age / MILLISECONDS
                has_newer_confirmation |= self._confirm(shared, confirmed_at)
                peer_is_behind |= self._is_outdated_confirmation(shared, confirmed_at)
        if peer_is_behind or is_new:
            self._reply_with_digest(host, is_new, now)
        if (has_newer_confirmation or has_readers) and len(self.peers) > DIRECT_PEERS:
            count = FORWARD_PEERS if has_readers else FORWARD_PEERS // 2
            self._send_digest(self._choose(count), now)

    def _note_delay(self, host: str, digest: ViewDigest, now: float) -> MessageDelay:
        """Return the delay of a digest, and count a late one; earlier versions tell no time."""
        if digest.sent_at == NEVER:
            return MessageDelay(0.0)
        delay = self._delays.note(host, digest.sent_at / MILLISECONDS, now)
        self.counters["digests_late"] += delay.seconds >= LATE_DIGEST_SECONDS
        return delay

    def _note_sender(self, host: str, digest: ViewDigest, now: float) -> None:
        """Record what the sender of its newest digest says of itself."""
        self.peers.note_zone(host, digest.zone)
        self._note_capacities(host, digest)
        if digest.zone == self.peers.zone:
            self._note_stop_state(host, digest.stop, now)

    def _compare_marks(self, host: str, digest: ViewDigest, now: float) -> None:
        """Request a whole view from a peer that has a higher mark but no higher revision.

        A node that starts after a restore of the store reads an older copy, while its peers keep a
        newer version at the same revision. Earlier releases send no marks.
        """
        revisions = zip(self.views, _revisions_in(digest), digest.marks, strict=False)
        for index, (shared, (revision, _), mark) in enumerate(revisions):
            if mark > shared.mark and NEVER < revision <= shared.revision:
                self.pulls.request_whole(host, index, now)

    def _note_capacities(self, host: str, digest: ViewDigest) -> None:
        """Record the sender's capacity and the ranks it sends of others; older nodes send neither.

        Unusable fields count as the least. They are counted each time, and passed to
        `on_unusable_capacity` while no capacity of the host is recorded.
        """
        if digest.capacity:
            capacity, unusable = from_wire(digest.capacity)
            if unusable and self.peers.capacity_of(host) is None:
                self.on_unusable_capacity(host, unusable)
            self.counters["unusable_capacities"] += bool(unusable)
            self.peers.note_capacity(host, capacity)
        ranks = digest.ranks if isinstance(digest.ranks, list) else []
        for (peer, _), rank in zip(digest.peers, ranks, strict=False):
            self.peers.note_rank(peer, rank)

    def _note_stop_state(self, host: str, stop: int, now: float) -> None:
        """Record the stop state of a node in this zone; an unknown state counts as serving."""
        try:
            state = StopState(stop)
        except ValueError:
            state = StopState.SERVING
        self.stops.note_peer(host, state, now)

    def _is_outdated_confirmation(self, shared: SharedView[Any], at: float) -> bool:
        """Whether a peer's confirmation is older than this node's by FRESHNESS_STEP_SECONDS."""
        own = shared.view.confirmed_at
        return own is not None and own - at >= FRESHNESS_STEP_SECONDS

    def _confirm(self, shared: SharedView[Any], at: float) -> bool:
        """Apply a peer's confirmation; return whether it is new enough to be forwarded."""
        before = shared.view.confirmed_at
        if not shared.view.confirm(at):
            return False
        return before is None or at - before >= FRESHNESS_STEP_SECONDS

    def _reply_with_digest(self, host: str, is_new: bool, now: float) -> None:
        if now - self._replied_at.get(host, float("-inf")) < REPLY_INTERVAL_SECONDS:
            return
        self._replied_at[host] = now
        self._send_digest([host], now, names_peers=is_new)

    def _announce_merge(self, now: float) -> None:
        if len(self.peers) > DIRECT_PEERS:
            self._send_digest(self._choose(AFTER_MERGE_PEERS), now)

    def _probe_peers(self, now: float) -> None:
        """Send a digest to some peers; those that are ahead reply with theirs."""
        self._send_digest(self.peers.choose(PROBED_PEERS), now)

    def _send_digest(self, hosts: Sequence[str], now: float, *, names_peers: bool = False) -> None:
        """Send a digest; it lists peers only if `names_peers`, to keep the others small."""
        if not hosts:
            return
        digest = self._digest(now, names_peers)
        self.counters["digests"] += len(hosts)
        self._sends.extend(SendToHost(host, digest) for host in hosts)

    def _digest(self, now: float, names_peers: bool) -> ViewDigest:
        views = [
            [
                _number(shared.revision),
                _age(shared.view.confirmed_at, now),
            ]
            for shared in self.views
        ]
        readers = [(name, _age(at, now)) for name, at in self._role.advertised_readers(now)]
        sample = self.peers.sample(now) if names_peers else []
        peers = [(host, int(age * MILLISECONDS)) for host, age in sample]
        ranks = [self.peers.rank_of(host) for host, _ in peers]
        silent, failing = self.reports.for_digest(now)
        return ViewDigest(
            views,
            readers,
            peers,
            self.peers.zone,
            silent,
            int(self.stops.state),
            failing,
            to_wire(LEAST if self._sheds_load else self.peers.capacity),
            [UNKNOWN_RANK if rank is None else rank for rank in ranks],
            [max(UNKNOWN_ERA, era_of(shared.revision)) for shared in self.views],
            [shared.mark for shared in self.views],
            int(now * MILLISECONDS),
        )


def _ignore(_host: str, _fields: tuple[str, ...]) -> None:
    """Ignore an unusable capacity; it is still counted."""


def _revisions_in(digest: ViewDigest) -> Iterator[tuple[int, int]]:
    """Yield the revision of each kind in a digest, and the age of its confirmation."""
    eras = chain(digest.eras, repeat(UNKNOWN_ERA))
    for (number, age), era in zip(digest.views, eras, strict=False):
        yield number if number == NEVER else revision_in_era(era, number), age


def _number(revision: int) -> int:
    return revision if revision == NEVER else number_of(revision)


def _age(at: float | None, now: float) -> int:
    if at is None or now - at > OLDEST_AGE_SECONDS:
        return NEVER
    return max(0, int((now - at) * MILLISECONDS))
