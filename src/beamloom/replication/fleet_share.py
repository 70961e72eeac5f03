"""Which few nodes of a fleet do something, agreed on without a message.

Weighted rendezvous hashing (Thaler and Ravishankar 1998; Schindelhauer and Schomaker 2005): of the
hosts that a node knows, those with the highest score of host and key, which rises with what the
host's machine can bear. Nodes whose views of the fleet differ may name different ones.
"""

from __future__ import annotations

import math
from _blake2 import blake2b
from typing import NamedTuple

from beamloom.replication.peer_table import PeerTable

SETTLING_SECONDS = 3.0
"""Who has met its peers more lately than that knows only some of them: it counts itself out."""
KEPT_SECONDS = 1.0
"""For how long an answer is kept; hosts come and go more seldom."""
MOST_KEPT = 4096
"""Answers; as many as a service of the design target has backends."""
DRAWS_TO_CHANGE = 2
"""So many draws in a row, KEPT_SECONDS apart, must differ before a key changes hands: a peer that
is unheard for a moment moves nothing. It is below the shortest contact bound (4 s).
"""
_DIGEST_BYTES = 8
_KEY_BYTES = 8
_FRACTION_BITS = 52
"""Of a hash, as many as a float holds exactly (IEEE 754)."""
_SPARE_BITS = 8 * _DIGEST_BYTES - _FRACTION_BITS
"""Those of the hash that are left over."""


class FleetShare:
    """Whether this node is one of the `count` that a key belongs to.

    `joined_at` is when this node began to meet its peers, in seconds of the steady clock. With
    `sheds` set it holds nothing.
    """

    def __init__(
        self, peers: PeerTable, count: int, joined_at: float, *, by_capacity: bool = True
    ) -> None:
        self.sheds = False
        self._by_capacity = by_capacity
        self.peers = peers
        self._count = count
        self._joined_at = joined_at
        self._kept: dict[int, _Draw] = {}

    def holds(self, key: int, now: float) -> bool:
        """Return whether a key (64 bits) belongs to this node now."""
        if self.sheds or now - self._joined_at < SETTLING_SECONDS:
            return False
        kept = self._kept.get(key)
        if kept is not None and now - kept.at < KEPT_SECONDS:
            return kept.answer
        if len(self._kept) >= MOST_KEPT:
            self._kept.clear()
        drawn = self._next_draw(kept, self._draw(key), now)
        self._kept[key] = drawn
        return drawn.answer

    def _next_draw(self, kept: _Draw | None, is_holder: bool, now: float) -> _Draw:
        """Return what holds from now on; an answer of long ago binds nobody."""
        is_recent = kept is not None and now - kept.at < SETTLING_SECONDS
        if kept is None or not is_recent or is_holder == kept.answer:
            return _Draw(now, is_holder, 0)
        if kept.differing + 1 >= DRAWS_TO_CHANGE:
            return _Draw(now, is_holder, 0)
        return _Draw(now, kept.answer, kept.differing + 1)

    def _draw(self, key: int) -> bool:
        own = self._score(self.peers.host, key)
        higher = 0
        for host in self.peers.hosts():
            higher += self._score(host, key) > own
            if higher >= self._count:
                return False
        return True

    def _score(self, host: str, key: int) -> float:
        weight = self.peers.weight_of(host) if self._by_capacity else 1
        return weight / -math.log(_fraction(host, key))


class _Draw(NamedTuple):
    """What was drawn for a key, when, and how many draws since would have changed it."""

    at: float
    answer: bool
    differing: int


def _fraction(host: str, key: int) -> float:
    """Return the hash of host and key as a fraction between 0 and 1, neither of them."""
    digest = blake2b(
        host.encode(), digest_size=_DIGEST_BYTES, key=key.to_bytes(_KEY_BYTES, "big")
    ).digest()
    return ((int.from_bytes(digest, "big") >> _SPARE_BITS) + 0.5) / (1 << _FRACTION_BITS)
