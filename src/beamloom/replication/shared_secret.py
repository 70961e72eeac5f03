"""Agreement on the fleet's secret through the store, where the first node creates it; no I/O.

The last step is always a read, so all nodes use what the store holds, whichever node created it. A
creation is therefore harmless if its answer is lost or if it is carried out late. The first read
may be stale, because the secret does not change once it exists. Only a store that is restored from
an older copy loses it; nodes then write it back.
"""

from __future__ import annotations

import random
from enum import Enum

from beamloom.replication.backoff import FullJitter
from beamloom.replication.reading_times import FIRST_PAUSE_SECONDS, MAXIMUM_PAUSE_SECONDS


class SecretStep(Enum):
    """The next request to the store."""

    READ_STALE = "read stale"
    READ = "read"
    CREATE = "create"


CREATE_DELAY_SECONDS = 0.15
"""Delay before a node creates a secret, in which peers can supply one that the store has lost. It
is long compared with a round trip and short compared with a start.
"""
RECREATE_DELAY_SECONDS = 1.5
"""The same if the fleet has started before or its store was restored. The secret has been lost, and
each connected node has time to write it back; a second secret would split the fleet meanwhile.
"""


FIRST_ERA = 1
"""Era of a store that was never restored from an older copy of itself."""


class SharedSecret:
    """The steps to the secret; `value` is None until it has been read.

    `found_none` is set once a read has found no secret. `era` is the store's era in its last answer
    to a read, or None if it named none.
    """

    def __init__(self, rng: random.Random, first_step: SecretStep = SecretStep.READ_STALE) -> None:
        self.value: bytes | None = None
        self.step = first_step
        self.found_none = False
        self.era: int | None = None
        self._pauses = FullJitter(FIRST_PAUSE_SECONDS, MAXIMUM_PAUSE_SECONDS, rng)

    @property
    def failures(self) -> int:
        """How many calls had no usable answer."""
        return self._pauses.failures

    @property
    def store_was_restored(self) -> bool:
        """Whether the store's era shows that it was restored from an older copy."""
        return self.era is not None and self.era > FIRST_ERA

    def create_delay_seconds(self, *, first_start: bool) -> float:
        """Return how long to wait for a secret from peers before creating a new one."""
        is_lost = self.store_was_restored or not first_start
        return RECREATE_DELAY_SECONDS if is_lost else CREATE_DELAY_SECONDS

    def handle_secret(self, value: bytes) -> None:
        """Set the secret that was read."""
        self.value = value

    def handle_absent(self) -> None:
        """Handle a missing object: follow a stale read by a current one, and that by a creation."""
        self.found_none = True
        is_stale = self.step is SecretStep.READ_STALE
        self.step = SecretStep.READ if is_stale else SecretStep.CREATE

    def handle_created(self) -> None:
        """Read the object next, as it exists now, whichever node created it."""
        self.step = SecretStep.READ

    def handle_failure(self) -> float:
        """Record a call without a usable answer; return the seconds to wait before the next one."""
        if self.step is not SecretStep.READ_STALE:
            self.step = SecretStep.READ
        return self._pauses.next_pause()
