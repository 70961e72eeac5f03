"""Agreeing on one secret of the whole fleet through the store: the first node makes it.

Without I/O. Reading is always last: whoever made the object, what is read is what everybody has. A
creation whose answer is lost is therefore harmless, and so is one that is done late. The first read
may be stale, as the secret never changes once it is there; only a store that was restored from an
older copy loses it, and is given it again.
"""

from __future__ import annotations

import random
from enum import Enum

from beamloom.replication.backoff import FullJitter
from beamloom.replication.reading_times import FIRST_PAUSE_SECONDS, LONGEST_PAUSE_SECONDS


class SecretStep(Enum):
    """What to ask the store next."""

    READ_STALE = "read stale"
    READ = "read"
    CREATE = "create"


MAKE_AFTER_SECONDS = 0.15
"""Before a node makes a secret, neighbours that have one, which the store has lost, may tell it:
many times a datagram's way there and back, and little of a start.
"""
MAKE_LATER_SECONDS = 1.5
"""The same where the fleet has started before, or its store was restored: the secret is lost, and
by then each node that is in touch has noticed and put it back. Two would split the fleet meanwhile.
"""


FIRST_ERA = 1
"""Of a store that was never restored from an older copy of itself."""


class SharedSecret:
    """The steps to the secret; `value` is None until it has been read.

    `found_none` tells that the store was read and held none, `era` is that of the store when it
    last answered a read, if it told one.
    """

    def __init__(
        self, chance: random.Random, first_step: SecretStep = SecretStep.READ_STALE
    ) -> None:
        self.value: bytes | None = None
        self.step = first_step
        self.found_none = False
        self.era: int | None = None
        self._pauses = FullJitter(FIRST_PAUSE_SECONDS, LONGEST_PAUSE_SECONDS, chance)

    @property
    def failures(self) -> int:
        """How many calls in a row had no usable answer."""
        return self._pauses.failures

    @property
    def is_of_restored_store(self) -> bool:
        """Whether the store has come back from an older copy at some time, as far as it tells."""
        return self.era is not None and self.era > FIRST_ERA

    def make_after_seconds(self, *, first_start: bool) -> float:
        """Return how long neighbours have to tell their secret before a new one is made."""
        is_lost = self.is_of_restored_store or not first_start
        return MAKE_LATER_SECONDS if is_lost else MAKE_AFTER_SECONDS

    def take_secret(self, value: bytes) -> None:
        """Take what was read."""
        self.value = value

    def take_absent(self) -> None:
        """Note that the object is not there: ask for the newest state, then make it."""
        self.found_none = True
        is_stale = self.step is SecretStep.READ_STALE
        self.step = SecretStep.READ if is_stale else SecretStep.CREATE

    def take_created(self) -> None:
        """Note that the object is there now, from whomever: read it."""
        self.step = SecretStep.READ

    def take_failure(self) -> float:
        """Note a call without a usable answer; return the seconds to wait before reading again."""
        if self.step is not SecretStep.READ_STALE:
            self.step = SecretStep.READ
        return self._pauses.next_pause()
