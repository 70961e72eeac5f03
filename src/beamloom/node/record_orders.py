"""How the words of each kind's writers follow one another, where the store was restored.

What a node knows to be newer than the store's copy it keeps: a backend's draining, an operator's
version. What it cannot tell apart it takes in the way that breaks no promise: a zone stays
evacuated, and a backend that had gone gets no new flows, until the store must have it right again.
"""

from __future__ import annotations

from beamloom.replication.record_order import RecordOrder
from beamloom.routing.tokens.records import BackendRecord, RoutingConfiguration, ZoneEvacuation
from beamloom.settings.token_node import DEFAULT_HEARTBEAT_SECONDS

MAX_MISSED_HEARTBEATS = 3
"""An entry that its backend has not repeated for so long goes (the platform's protocol)."""
ERA_DETECTION_SPREAD_SECONDS = 0.5
"""A node may hear a little sooner than others, or the store, that the era has changed.
"""
OPERATOR_REWRITE_SECONDS = 2.5
"""By then operators have written again, as backends have (2 s, the platform's protocol), and a zone
that is evacuated meanwhile is still left within the shortest bound for that (5 s).
"""


class BackendOrder(RecordOrder[BackendRecord]):
    """Backends count what they write, anew from each start on.

    One that the copy lacks is not kept: it may have left since, and is back soon where it lives.
    """

    keeps_missing = False

    def __init__(self, heartbeat_seconds: float = DEFAULT_HEARTBEAT_SECONDS) -> None:
        self.settle_seconds = (
            MAX_MISSED_HEARTBEATS * heartbeat_seconds + ERA_DETECTION_SPREAD_SECONDS
        )

    def is_older(self, told: BackendRecord, known: BackendRecord) -> bool:
        """Whether a backend has said something newer since, in this life or a later one."""
        return (told.born_at, told.sequence) < (known.born_at, known.sequence)

    def is_same(self, told: BackendRecord, known: BackendRecord) -> bool:
        """Whether two entries tell the same, however often they were written."""
        return told.tells_same(known)

    def is_new_life(self, told: BackendRecord, ended: BackendRecord) -> bool:
        """Whether a backend has started anew since its entry had gone."""
        return told.born_at > ended.born_at


class ConfigurationOrder(RecordOrder[RoutingConfiguration]):
    """Versions only rise, so that an older one is never taken, and the newest is never dropped."""

    settle_seconds = None
    keeps_missing = True

    def is_older(self, told: RoutingConfiguration, known: RoutingConfiguration) -> bool:
        """Whether operators have written a later version."""
        return told.version < known.version

    def mark(self, record: RoutingConfiguration) -> int:
        """Return the version."""
        return record.version


class EvacuationOrder(RecordOrder[ZoneEvacuation]):
    """Evacuations have no marks: what is known holds until operators have written again."""

    settle_seconds = OPERATOR_REWRITE_SECONDS
    keeps_missing = True

    def is_older(self, _told: ZoneEvacuation, _known: ZoneEvacuation) -> bool:
        """All words are the same."""
        return False
