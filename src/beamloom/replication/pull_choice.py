"""Which peer a node asks for what it lacks: one that has it, that is able, near, and answers.

Peers' digests tell how far each knows each kind. Among those that are far enough the draw is by
capacity, own zone first, so that no peer becomes the one that all ask. A peer that left a request
unanswered (lost, cut, slow or frozen) is passed over for a while, however able it is.
"""

from __future__ import annotations

import random
from typing import NamedTuple

from beamloom.replication.peer_table import PeerTable

TOLD_SECONDS = 3.0
"""For how long a peer counts as one that knows what it told: some heartbeats."""
SILENT_SECONDS = 3.0
"""For how long a peer is passed over that did not answer; below the shortest contact bound (4 s),
and long enough that a slow peer is not asked by turns.
"""
BUSY_SECONDS = 0.5
"""For how long a peer is passed over that named others in place of an answer: by then its bucket is
full again (`answer_budget.BURST_SECONDS`).
"""
OWN_ZONE_WEIGHT = 8
"""A peer of the own zone is so many times as likely: bytes between zones cost more."""
MUCH_ABLER = 4
"""A peer that can bear so many times more is asked first: two ranks, so that roles do not move
between machines that are nearly alike.
"""
MOST_REFERRED = 3
"""Hosts that a node names to a peer that it does not answer."""


class Asked(NamedTuple):
    """The request that is under way: whom, and how often the answer was to ask elsewhere.

    With `refused` the peer has answered that it answers nothing more for now.
    """

    host: str
    attempt: int
    refused: bool = False


class PullChoice:
    """What peers have told of their views, and whom of them to ask."""

    def __init__(self, peers: PeerTable, chance: random.Random) -> None:
        self._peers = peers
        self._chance = chance
        self._told: dict[int, dict[str, tuple[int, float]]] = {}
        self._avoided_until: dict[str, float] = {}
        self.asked: dict[int, Asked] = {}

    def note_told(self, view: int, host: str, revision: int, now: float) -> None:
        """Note how far a peer knows a kind."""
        self._told.setdefault(view, {})[host] = (revision, now)

    def note_answered(self, view: int, host: str) -> None:
        """Note that a peer sends what it was asked for."""
        self._avoided_until.pop(host, None)
        asked = self.asked.get(view)
        if asked is not None and asked.host == host:
            del self.asked[view]

    def note_unanswered(self, view: int, now: float) -> None:
        """Pass over the peer whose answer has not come."""
        asked = self.asked.pop(view, None)
        if asked is not None and not asked.refused:
            self._avoided_until[asked.host] = now + SILENT_SECONDS

    def note_busy(self, host: str, now: float) -> None:
        """Pass over a peer that has answered enough for now."""
        self._avoided_until[host] = now + BUSY_SECONDS

    def choose(self, view: int, revision: int, now: float, among: tuple[str, ...] = ()) -> str:
        """Return a peer that knows at least a revision; empty where none is known.

        `among` are hosts that a peer named; where there are any, only they are drawn from.
        """
        named = [host for host in among if self._peers.knows(host)]
        hosts = named if among else self._knowing(view, revision, now)
        hosts = sorted(host for host in hosts if not self._is_avoided(host, now))
        return self._draw(self._able(hosts)) if hosts else ""

    def is_behind(self, view: int, revision: int, now: float) -> bool:
        """Whether a peer has lately told more than a revision, whether it is avoided or not."""
        return any(
            known > revision and self._is_recent(at, now)
            for known, at in self._told.get(view, {}).values()
        )

    def has_much_abler(self, view: int, revision: int, now: float) -> bool:
        """Whether a much abler peer of the own zone knows a revision."""
        least = MUCH_ABLER * self._peers.capacity.weight
        return any(
            self._peers.is_near(host) and self._peers.weight_of(host) >= least
            for host in self._knowing(view, revision, now)
        )

    def _knowing(self, view: int, revision: int, now: float) -> list[str]:
        told = self._told.get(view, {})
        return [
            host
            for host, (known, at) in told.items()
            if known >= revision and self._is_recent(at, now) and not self._is_avoided(host, now)
        ]

    def _able(self, hosts: list[str]) -> list[str]:
        """Return the hosts but those beside which, in the own zone or out of it, are much abler."""
        best = {
            is_near: max(
                (
                    self._peers.weight_of(host)
                    for host in hosts
                    if self._peers.is_near(host) == is_near
                ),
                default=0,
            )
            for is_near in (True, False)
        }
        return [
            host
            for host in hosts
            if self._peers.weight_of(host) * MUCH_ABLER > best[self._peers.is_near(host)]
        ]

    def referrals(self, view: int, revision: int, asking: str, now: float) -> list[str]:
        """Return a few other peers that know at least a revision."""
        found: list[str] = []
        for _ in range(MOST_REFERRED):
            host = self.choose(view, revision, now)
            if host and host != asking and host not in found:
                found.append(host)
        return found

    def forget(self, now: float) -> None:
        """Drop what is too old to count."""
        self._told = {
            view: {host: told for host, told in hosts.items() if self._is_recent(told[1], now)}
            for view, hosts in self._told.items()
        }
        self._avoided_until = {
            host: until for host, until in self._avoided_until.items() if now < until
        }

    def _draw(self, hosts: list[str]) -> str:
        weights = [self._weight(host) for host in hosts]
        return self._chance.choices(hosts, weights)[0]

    def _weight(self, host: str) -> float:
        near = OWN_ZONE_WEIGHT if self._peers.is_near(host) else 1
        return near * self._peers.weight_of(host)

    def _is_recent(self, at: float, now: float) -> bool:
        return now - at < TOLD_SECONDS

    def _is_avoided(self, host: str, now: float) -> bool:
        return now < self._avoided_until.get(host, float("-inf"))
