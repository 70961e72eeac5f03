"""How records of each kind are ordered after the store was restored from an older copy.

A node keeps records that it knows to be newer than those of the copy, such as a backend's draining
or a later configuration. Where the order is unknown, the safe state holds until the writers have
had time to write again: a zone that the copy lacks stays evacuated, and a backend that had gone
gets no new flows.
"""

from __future__ import annotations

from beamloom.replication.record_order import RecordOrder
from beamloom.routing.tokens.records import BackendRecord, RoutingConfiguration, ZoneEvacuation
from beamloom.settings.token_node import DEFAULT_HEARTBEAT_SECONDS

MAXIMUM_MISSED_HEARTBEATS = 3
"""After so many heartbeats without a write, the platform removes a backend's entry."""
ERA_DETECTION_SPREAD_SECONDS = 0.5
"""How far apart nodes and the store may notice a change of the era."""
OPERATOR_REWRITE_SECONDS = 2.5
"""Operators and backends write again within 2 s of a restore (the platform's protocol). A zone that
is evacuated anew in that time is still left within the shortest bound for evacuations (5 s).
"""


class BackendOrder(RecordOrder[BackendRecord]):
    """Orders a backend's entries by its start time and then by its sequence number.

    An entry that a restored copy lacks is not retained: the backend may have stopped, and a running
    one writes its entry again.
    """

    retains_missing = False

    def __init__(self, heartbeat_seconds: float = DEFAULT_HEARTBEAT_SECONDS) -> None:
        self.retention_seconds = (
            MAXIMUM_MISSED_HEARTBEATS * heartbeat_seconds + ERA_DETECTION_SPREAD_SECONDS
        )

    def is_older(self, incoming: BackendRecord, known: BackendRecord) -> bool:
        """Whether the known entry is newer: of a later start, or with a higher sequence number."""
        return (incoming.born_at, incoming.sequence) < (known.born_at, known.sequence)

    def is_same(self, incoming: BackendRecord, known: BackendRecord) -> bool:
        """Whether two entries are equal; sequence numbers count only where a warm-up is given."""
        return incoming.has_same_content(known)

    def is_recreated(self, incoming: BackendRecord, removed: BackendRecord) -> bool:
        """Whether an entry is of a later start of the backend than the one that had gone."""
        return incoming.born_at > removed.born_at


class ConfigurationOrder(RecordOrder[RoutingConfiguration]):
    """Orders configurations by version: an older one is never taken, the newest never dropped."""

    retention_seconds = None
    retains_missing = True

    def is_older(self, incoming: RoutingConfiguration, known: RoutingConfiguration) -> bool:
        """Whether the known version is higher."""
        return incoming.version < known.version

    def mark(self, record: RoutingConfiguration) -> int:
        """Return the version."""
        return record.version


class EvacuationOrder(RecordOrder[ZoneEvacuation]):
    """Evacuations carry no order: what is known holds until operators have written again."""

    retention_seconds = OPERATOR_REWRITE_SECONDS
    retains_missing = True

    def is_older(self, _incoming: ZoneEvacuation, _known: ZoneEvacuation) -> bool:
        """Return False: all records of a zone are equal."""
        return False
