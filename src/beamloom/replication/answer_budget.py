"""How much of a node's link goes to answers for peers that lack something.

A token bucket in bytes. Without it all nodes that start ask the few hosts that they know, and a
seed of 300 nodes sent 506 kB in a second, 499 of them answers: four fifths of a link of 5 Mbit/s
(tests/measurements/exchange_bytes.py). Who is not answered is told who else may be asked.
"""

from __future__ import annotations

from beamloom.settings.capacity import Capacity
from beamloom.units import BYTES_PER_MEGABIT

ANSWER_SHARE = 0.04
"""Of the link; with digests and clients' packets a node is to stay under a tenth of it."""
MOST_BYTES_PER_SECOND = 125_000.0
"""However wide the link: some third of what the busiest of 300 nodes sent."""
BURST_SECONDS = 0.5
"""What is saved up while nobody asks; changes come in bursts."""
MOST_REFERRALS = 3
"""A peer that was sent elsewhere so often goes before others: it has lost some 10 ms by then."""
DEBT_SECONDS = 1.0
"""So much of the rate may be owed for such peers. Without this bound a seed that alone knows what
300 others lack spent 97% of its link on them, and they got it no sooner than from each other.
"""
LEAST_SHARE = 0.05
"""Of the rate, also in a node that answers nothing else, for peers that found nobody else."""


class AnswerBudget:
    """Whether the next answer to a peer's request may be sent. `share` (0 to 1) lowers the rate.

    An answer may be longer than what is left; the bucket is then in debt until that is paid.
    """

    def __init__(self, capacity: Capacity) -> None:
        self.share = 1.0
        share = capacity.link_megabits * BYTES_PER_MEGABIT * ANSWER_SHARE
        self._rate = min(MOST_BYTES_PER_SECOND, share)
        self._tokens = self._rate * BURST_SECONDS
        self._filled_at = 0.0

    def admits(self, attempt: int, now: float) -> bool:
        """Whether a request is answered that was sent elsewhere `attempt` times before.

        A node that answers nothing any more still answers who found nobody else: else a few such
        nodes that alone know something would send peers to each other for ever.
        """
        self._fill(now)
        if attempt >= MOST_REFERRALS + (self.share <= 0.0):
            return self._tokens > -self._rate * DEBT_SECONDS
        return self.share > 0.0 and self._tokens > 0.0

    def note_sent(self, size_bytes: int) -> None:
        """Count an answer."""
        self._tokens -= size_bytes

    def _fill(self, now: float) -> None:
        share = max(LEAST_SHARE, self.share)
        gained = max(0.0, now - self._filled_at) * self._rate * share
        self._filled_at = now
        self._tokens = min(self._tokens + gained, self._rate * BURST_SECONDS)
