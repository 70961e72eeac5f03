"""Limits the bytes that a node sends in answers to peers that lack changes.

A token bucket in bytes. Without it, nodes that start together would saturate the links of the few
hosts that they know. A peer that is not answered is referred to other peers.
"""

from __future__ import annotations

from beamloom.settings.capacity import Capacity
from beamloom.units import BYTES_PER_MEGABIT

ANSWER_SHARE = 0.04
"""Share of the link that answers may use. With digests and clients' packets a node is to stay under
a tenth of its link.
"""
MAXIMUM_BYTES_PER_SECOND = 125_000.0
"""Upper bound on the rate, however fast the link is: about a third of what the busiest of 300 nodes
sent.
"""
BURST_SECONDS = 0.5
"""Size of the bucket in seconds of the rate, as changes come in bursts."""
MAXIMUM_REFERRALS = 3
"""A request referred this often has lost about 10 ms; an empty bucket no longer delays it."""
MAXIMUM_DEBT_SECONDS = 1.0
"""How far such answers may overdraw the bucket, in seconds of the rate. Without this bound a seed
that alone had what 300 others lacked spent 97% of its link on them, and they got it no sooner than
from each other.
"""
MINIMUM_SHARE = 0.05
"""Lower bound on the share of the rate, for peers that found no other source."""


class AnswerBudget:
    """Decides whether a peer's request is answered; `share` (0 to 1) scales the rate.

    An answer may exceed the tokens that are left; the bucket is then in debt until it is refilled.
    """

    def __init__(self, capacity: Capacity) -> None:
        self.share = 1.0
        share = capacity.link_megabits * BYTES_PER_MEGABIT * ANSWER_SHARE
        self._rate = min(MAXIMUM_BYTES_PER_SECOND, share)
        self._tokens = self._rate * BURST_SECONDS
        self._refilled_at = 0.0

    def admits(self, attempt: int, now: float) -> bool:
        """Return whether to answer a request that was referred `attempt` times before.

        With a `share` of 0, only requests that were referred more than `MAXIMUM_REFERRALS` times
        are answered: otherwise nodes that alone have a change could refer a peer to each other
        forever.
        """
        self._refill(now)
        if attempt >= MAXIMUM_REFERRALS + (self.share <= 0.0):
            return self._tokens > -self._rate * MAXIMUM_DEBT_SECONDS
        return self.share > 0.0 and self._tokens > 0.0

    def note_sent(self, size_bytes: int) -> None:
        """Deduct an answer that was sent."""
        self._tokens -= size_bytes

    def _refill(self, now: float) -> None:
        share = max(MINIMUM_SHARE, self.share)
        refilled = max(0.0, now - self._refilled_at) * self._rate * share
        self._refilled_at = now
        self._tokens = min(self._tokens + refilled, self._rate * BURST_SECONDS)
