"""Chooses the peer from which a node requests missing changes.

Digests contain the revision that each peer has of each kind. Among peers with a sufficient revision
one is drawn at random, weighted by capacity and in favour of the own zone, so that requests do not
all go to one peer. A peer that left a request unanswered is avoided for a while.
"""

from __future__ import annotations

import random
from typing import NamedTuple

from beamloom.replication.peer_table import PeerTable

REVISION_VALID_SECONDS = 3.0
"""How long the revision of a peer's digest is used: some heartbeats."""
UNANSWERED_AVOID_SECONDS = 3.0
"""How long a peer that did not answer is avoided; below the shortest contact bound (4 s), and long
enough that a slow peer is not asked alternately with others.
"""
BUSY_AVOID_SECONDS = 0.5
"""How long a peer that sent a referral is avoided: the time in which an empty bucket fills at the
full rate (`answer_budget.BURST_SECONDS`).
"""
OWN_ZONE_WEIGHT = 8
"""Multiplies the weight of peers in the own zone, as traffic between zones costs more."""
PREFERRED_WEIGHT_RATIO = 4
"""A peer of this many times the weight is preferred: two ranks, so that roles do not move between
similar machines.
"""
MAXIMUM_REFERRED_HOSTS = 3
"""The most hosts that a referral names."""


class PendingRequest(NamedTuple):
    """A request in progress: the peer, and how often it was referred to another one before.

    With `refused` that peer sent a referral which is not followed any more.
    """

    host: str
    attempt: int
    refused: bool = False


class PullChoice:
    """The revisions of peers' views, the requests in progress, and the choice of peers."""

    def __init__(self, peers: PeerTable, rng: random.Random) -> None:
        self._peers = peers
        self._rng = rng
        self._revisions: dict[int, dict[str, tuple[int, float]]] = {}
        self._avoided_until: dict[str, float] = {}
        self.pending: dict[int, PendingRequest] = {}

    def note_revision(self, view: int, host: str, revision: int, now: float) -> None:
        """Record the revision of a peer's view."""
        self._revisions.setdefault(view, {})[host] = (revision, now)

    def note_answered(self, view: int, host: str) -> None:
        """Record an answer: the peer is not avoided any more, and its request is complete."""
        self._avoided_until.pop(host, None)
        pending = self.pending.get(view)
        if pending is not None and pending.host == host:
            del self.pending[view]

    def note_unanswered(self, view: int, now: float) -> None:
        """Drop the request of a view, and avoid its peer unless that one sent a referral."""
        pending = self.pending.pop(view, None)
        if pending is not None and not pending.refused:
            self._avoided_until[pending.host] = now + UNANSWERED_AVOID_SECONDS

    def note_busy(self, host: str, now: float) -> None:
        """Avoid a peer that is over its answer budget."""
        self._avoided_until[host] = now + BUSY_AVOID_SECONDS

    def choose(self, view: int, revision: int, now: float, among: tuple[str, ...] = ()) -> str:
        """Draw a peer with at least a revision; return an empty string if there is none.

        With `among`, the hosts of a referral, only those that are known peers are drawn from,
        whatever their revision.
        """
        named = [host for host in among if self._peers.contains(host)]
        hosts = named if among else self._holders(view, revision, now)
        hosts = sorted(host for host in hosts if not self._is_avoided(host, now))
        return self._draw(self._without_weak(hosts)) if hosts else ""

    def is_behind(self, view: int, revision: int, now: float) -> bool:
        """Whether any peer, avoided or not, recently had a higher revision."""
        return any(
            known > revision and self._is_recent(at, now)
            for known, at in self._revisions.get(view, {}).values()
        )

    def has_stronger_peer(self, view: int, revision: int, now: float) -> bool:
        """Whether a much stronger peer of the own zone has at least a revision."""
        least = PREFERRED_WEIGHT_RATIO * self._peers.capacity.weight
        return any(
            self._peers.is_in_own_zone(host) and self._peers.weight_of(host) >= least
            for host in self._holders(view, revision, now)
        )

    def _holders(self, view: int, revision: int, now: float) -> list[str]:
        revisions = self._revisions.get(view, {})
        return [
            host
            for host, (known, at) in revisions.items()
            if known >= revision and self._is_recent(at, now) and not self._is_avoided(host, now)
        ]

    def _without_weak(self, hosts: list[str]) -> list[str]:
        """Drop hosts much weaker than the strongest one on their side of the zone boundary."""
        best = {
            is_near: max(
                (
                    self._peers.weight_of(host)
                    for host in hosts
                    if self._peers.is_in_own_zone(host) == is_near
                ),
                default=0,
            )
            for is_near in (True, False)
        }
        return [
            host
            for host in hosts
            if self._peers.weight_of(host) * PREFERRED_WEIGHT_RATIO
            > best[self._peers.is_in_own_zone(host)]
        ]

    def referrals(self, view: int, revision: int, asking: str, now: float) -> list[str]:
        """Draw a few peers other than `asking` that have at least a revision."""
        found: list[str] = []
        for _ in range(MAXIMUM_REFERRED_HOSTS):
            host = self.choose(view, revision, now)
            if host and host != asking and host not in found:
                found.append(host)
        return found

    def forget(self, now: float) -> None:
        """Remove expired revisions and avoidances."""
        self._revisions = {
            view: {host: entry for host, entry in hosts.items() if self._is_recent(entry[1], now)}
            for view, hosts in self._revisions.items()
        }
        self._avoided_until = {
            host: until for host, until in self._avoided_until.items() if now < until
        }

    def _draw(self, hosts: list[str]) -> str:
        weights = [self._weight(host) for host in hosts]
        return self._rng.choices(hosts, weights)[0]

    def _weight(self, host: str) -> float:
        near = OWN_ZONE_WEIGHT if self._peers.is_in_own_zone(host) else 1
        return near * self._peers.weight_of(host)

    def _is_recent(self, at: float, now: float) -> bool:
        return now - at < REVISION_VALID_SECONDS

    def _is_avoided(self, host: str, now: float) -> bool:
        return now < self._avoided_until.get(host, float("-inf"))
