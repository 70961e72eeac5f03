"""How nodes keep each other's views of the store current, without I/O.

Each node tells a few others how far it knows the store (a digest): at once when it learns
something, and one peer each second anyway. Who hears a higher revision asks for what it lacks; who
hears a lower one, or an old confirmation, tells its own. In a fleet of up to DIRECT_PEERS others a
digest goes to all, in a larger one it spreads from node to node in a few steps.
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
from beamloom.protocol.view_messages import (
    NEVER,
    AskElsewhere,
    BackendsDown,
    ViewDigest,
    ViewPart,
    ViewRequest,
)
from beamloom.replication.backend_reports import BackendReports
from beamloom.replication.peer_table import UNKNOWN_RANK, PeerTable
from beamloom.replication.reader_duty import ReaderDuty
from beamloom.replication.shared_view import SharedView
from beamloom.replication.stop_turns import StopState, StopTurns
from beamloom.replication.view_pulls import SendToHost, ViewPulls
from beamloom.settings.capacity import LEAST, from_wire, to_wire
from beamloom.units import MILLISECONDS

DIRECT_PEERS = 12
FORWARD_PEERS = 5
LATE_PEERS = 2
ASK_PEERS_SECONDS = 1.0
"""So many are asked in each tick, for so long: by then a node asks the store itself."""
MERGED_PEERS = FORWARD_PEERS + FORWARD_PEERS // 2
"""Who has merged changes tells of them and of their confirmation in one digest."""
FRESHNESS_STEP_SECONDS = 0.8
"""A confirmation is passed on in a large fleet only if it is news by so much."""
HEARTBEAT_SECONDS = 1.0
FEW_PEERS = 2
MEETING_HEARTBEAT_SECONDS = 0.3
MEETING_SECONDS = 3.0
MEETING_PEERS = 32
"""While hosts that were unknown turn up, and few are known, heartbeats follow faster."""
ANSWER_SECONDS = 0.2
"""A peer that is behind is told so at most this often."""
OLDEST_AGE_SECONDS = 60.0


class ViewExchange:
    """Digests of one node; `take_sends` hands out what is to be sent, requests and parts too."""

    def __init__(
        self,
        views: Sequence[SharedView[Any]],
        peers: PeerTable,
        duty: ReaderDuty,
        chance: random.Random,
        *,
        by_capacity: bool = True,
    ) -> None:
        self.counters: Counter[str] = Counter()
        self.on_unusable_capacity: Callable[[str, tuple[str, ...]], None] = _ignore
        self.peers = peers
        self.reports = BackendReports(duty.reader_id)
        self.stops = StopTurns(peers.host)
        self.views = views
        self._duty = duty
        self._chance = chance
        self._by_capacity = by_capacity
        self._sheds = False
        self._sends: list[SendToHost] = []
        self.pulls = ViewPulls(
            views, peers, chance, self._sends, self.counters, by_capacity=by_capacity
        )
        self.pulls.on_merged = self._tell_merged
        self.pulls.on_nobody = self._ask_around
        self._next_heartbeat = float("-inf")
        self._met_at = float("-inf")
        self._answered: dict[str, float] = {}

    def use_limits(self, answer_share: float) -> None:
        """Answer peers with this share (0 to 1) of the usual bytes, and tell less of the machine.

        Peers that hear of the least capacity leave roles to others.
        """
        self.pulls.budget.share = answer_share
        self._sheds = answer_share < 1.0

    def take_sends(self) -> list[SendToHost]:
        """Return what is to be sent now, once."""
        sends = self._sends.copy()
        self._sends.clear()
        return sends

    def note_down(self, backend: str, now: float) -> None:
        """Tell others at once that this node has found a backend dead."""
        self.reports.note_down(backend)
        self._spread_down(now)

    def _spread_down(self, now: float) -> None:
        names = self.reports.take_down_news(now)
        if names:
            message = BackendsDown(names)
            hosts = self._choose(FORWARD_PEERS)
            self.counters["down_reports"] += len(hosts)
            self._sends.extend(SendToHost(host, message) for host in hosts)

    def advance(self, now: float) -> None:
        """Send what is new, and the heartbeat if its time has come."""
        if self.reports.take_news(now):
            self.announce(now)
        self._spread_down(now)
        self.pulls.advance(now)
        if self._is_late(now):
            self._send_digest(self.peers.choose(LATE_PEERS), now)
        if now < self._next_heartbeat:
            return
        is_small = len(self.peers) <= MEETING_PEERS
        meeting = is_small and now - self._met_at < MEETING_SECONDS
        period = MEETING_HEARTBEAT_SECONDS if meeting else HEARTBEAT_SECONDS
        self._next_heartbeat = now + period * self._chance.uniform(0.9, 1.1)
        self.peers.forget_silent(now)
        self.pulls.choice.forget(now)
        hosts = self.peers.choose(1)
        if len(self.peers) < FEW_PEERS:
            hosts = sorted({*hosts, *self.peers.seeds})
        self._send_digest(hosts, now, names_peers=True)
        self._answered = {
            host: at for host, at in self._answered.items() if now - at < ANSWER_SECONDS
        }

    def _choose(self, count: int) -> list[str]:
        """Draw the peers that news goes to, more of them the more this node can bear."""
        if not self._by_capacity or len(self.peers) <= DIRECT_PEERS:
            return self.peers.choose(count)
        return self.peers.choose(self.peers.fan_out(count))

    def _is_late(self, now: float) -> bool:
        """Whether a confirmation should have come by now: peers that have it answer a digest."""
        for shared in self.views:
            age = shared.view.age(now)
            if age is not None and 0 <= age - shared.late_seconds < ASK_PEERS_SECONDS:
                return True
        return False

    def announce(self, now: float) -> None:
        """Tell others at once what this node has just learned; while nodes meet, seeds as well.

        Who has just started asks the seeds first.
        """
        count = DIRECT_PEERS if len(self.peers) <= DIRECT_PEERS else FORWARD_PEERS
        hosts = self._choose(count)
        if now - self._met_at < MEETING_SECONDS and self._tells_seeds():
            hosts = sorted({*hosts, *self.peers.seeds})
        self._send_digest(hosts, now)

    def _tells_seeds(self) -> bool:
        """Whether seeds must be told: where many are known they hear it soon from others.

        Else they are the first to know each change, and all that start ask them for it.
        """
        return not self._by_capacity or len(self.peers) <= MEETING_PEERS

    def ask_to_stop(self, now: float) -> None:
        """Take part in the turns of stops, as this node has been asked to stop."""
        self.stops.ask(now)
        self._send_digest(self.peers.of_own_zone(), now)

    def may_go_away(self, now: float) -> bool:
        """Return whether it is this node's turn to stop."""
        return self.stops.may_go(len(self.peers.of_own_zone()) + 1, now)

    def go_away(self, now: float) -> None:
        """Tell the zone that its routers are to turn away from this node."""
        self.stops.go()
        self._send_digest(self.peers.of_own_zone(), now)

    def handle(self, host: str, message: Message, now: float) -> None:
        """Take a message of the node at a host."""
        is_new = self._note_peer(host, now, now)
        match message:
            case ViewDigest():
                self._take_digest(host, message, is_new, now)
            case ViewRequest():
                self.pulls.answer(host, message, now)
            case AskElsewhere():
                self.pulls.take_elsewhere(host, message, now)
            case ViewPart():
                self.pulls.take_part(host, message, now)
            case BackendsDown():
                self.reports.take_down(message.names, now)
        self._spread_down(now)

    def _note_peer(self, host: str, at: float, now: float) -> bool:
        is_new = self.peers.note(host, at, now)
        if is_new:
            self._met_at = now
        return is_new

    def _take_digest(self, host: str, digest: ViewDigest, is_new: bool, now: float) -> None:
        self.peers.note_zone(host, digest.zone)
        self._note_capacities(host, digest)
        if digest.zone == self.peers.zone:
            self._take_stop(host, digest.stop, now)
        self.reports.take_digest(digest, now)
        for peer, age in digest.peers:
            self._note_peer(peer, now - age / MILLISECONDS, now)
        behind = False
        fresher = False
        has_readers = False
        for reader, age in digest.readers:
            has_readers |= self._duty.note_reader(reader, now - age / MILLISECONDS)
        self._take_marks(host, digest, now)
        for index, (shared, (revision, age)) in enumerate(
            zip(self.views, _told_revisions(digest), strict=False)
        ):
            mine = shared.revision
            self.pulls.choice.note_told(index, host, revision, now)
            if revision > mine:
                shared.behind_since = now if shared.behind_since is None else shared.behind_since
                if age != NEVER:
                    shared.note_ahead(revision, now - age / MILLISECONDS)
                self.pulls.request(host, index, revision, now)
            elif revision < mine:
                behind = True
            elif age != NEVER:
                fresher |= self._confirm(shared, now - age / MILLISECONDS)
                behind |= self._is_staler(shared, now - age / MILLISECONDS)
        if behind or is_new:
            self._answer_digest(host, is_new, now)
        if (fresher or has_readers) and len(self.peers) > DIRECT_PEERS:
            count = FORWARD_PEERS if has_readers else FORWARD_PEERS // 2
            self._send_digest(self._choose(count), now)

    def _take_marks(self, host: str, digest: ViewDigest, now: float) -> None:
        """Ask a peer for newer words that no revision tells of; earlier releases tell no marks.

        A node that starts after a restore reads the copy, in which a version may be missing that
        its peers know and keep; both are at the same revision then.
        """
        told = zip(self.views, _told_revisions(digest), digest.marks, strict=False)
        for index, (shared, (revision, _), mark) in enumerate(told):
            if mark > shared.mark and NEVER < revision <= shared.revision:
                self.pulls.request_whole(host, index, now)

    def _note_capacities(self, host: str, digest: ViewDigest) -> None:
        """Take what the sender can do, and what it has heard of others; older nodes tell neither.

        What is absurd counts as the least, and is counted and told once.
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

    def _take_stop(self, host: str, stop: int, now: float) -> None:
        """Take how far a node of the zone is with its stop; states of tomorrow count as none."""
        try:
            state = StopState(stop)
        except ValueError:
            state = StopState.SERVING
        self.stops.note_peer(host, state, now)

    def _is_staler(self, shared: SharedView[Any], at: float) -> bool:
        """Whether a peer's confirmation is so old that this node's own is worth telling."""
        mine = shared.view.confirmed_at
        return mine is not None and mine - at >= FRESHNESS_STEP_SECONDS

    def _confirm(self, shared: SharedView[Any], at: float) -> bool:
        """Take a peer's confirmation; return whether it is news worth passing on."""
        before = shared.view.confirmed_at
        if not shared.view.confirm(at):
            return False
        return before is None or at - before >= FRESHNESS_STEP_SECONDS

    def _answer_digest(self, host: str, is_new: bool, now: float) -> None:
        if now - self._answered.get(host, float("-inf")) < ANSWER_SECONDS:
            return
        self._answered[host] = now
        self._send_digest([host], now, names_peers=is_new)

    def _tell_merged(self, now: float) -> None:
        if len(self.peers) > DIRECT_PEERS:
            self._send_digest(self._choose(MERGED_PEERS), now)

    def _ask_around(self, now: float) -> None:
        """Tell some how far this node is: who knows more says so."""
        self._send_digest(self.peers.choose(LATE_PEERS), now)

    def _send_digest(self, hosts: Sequence[str], now: float, *, names_peers: bool = False) -> None:
        """Send a digest; only heartbeats and answers name peers, to keep the others small."""
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
        readers = [(name, _age(at, now)) for name, at in self._duty.foremost(now)]
        sample = self.peers.sample(now) if names_peers else []
        peers = [(host, int(age * MILLISECONDS)) for host, age in sample]
        ranks = [self.peers.rank_of(host) for host, _ in peers]
        silent, failing = self.reports.told(now)
        return ViewDigest(
            views,
            readers,
            peers,
            self.peers.zone,
            silent,
            int(self.stops.state),
            failing,
            to_wire(LEAST if self._sheds else self.peers.capacity),
            [UNKNOWN_RANK if rank is None else rank for rank in ranks],
            [max(UNKNOWN_ERA, era_of(shared.revision)) for shared in self.views],
            [shared.mark for shared in self.views],
        )


def _ignore(_host: str, _fields: tuple[str, ...]) -> None:
    """Tell nobody of an unusable capacity; it is counted."""


def _told_revisions(digest: ViewDigest) -> Iterator[tuple[int, int]]:
    """Yield the revision of each kind that a peer tells, and the age of its confirmation."""
    eras = chain(digest.eras, repeat(UNKNOWN_ERA))
    for (number, age), era in zip(digest.views, eras, strict=False):
        yield number if number == NEVER else revision_in_era(era, number), age


def _number(revision: int) -> int:
    return revision if revision == NEVER else number_of(revision)


def _age(at: float | None, now: float) -> int:
    if at is None or now - at > OLDEST_AGE_SECONDS:
        return NEVER
    return max(0, int((now - at) * MILLISECONDS))
