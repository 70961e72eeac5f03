"""Answers of a home to the nodes that relayed packets to it, in batches."""

from __future__ import annotations

from beamloom.model.machines import NodeId
from beamloom.protocol.commands import Command, SendMessage
from beamloom.protocol.flow_messages import (
    RECORDS_PER_MESSAGE,
    CacheAnswers,
    FlowRecord,
    pack_records,
)

BATCH_SECONDS = 0.2
ROTATION_SECONDS = 30.0
MAXIMUM_SET_SIZE = 65_536


class RelayedFlows:
    """Which flows each node has relayed lately, in two generations of bounded size.

    A node that relays a flow once may never see it again, since the fabric sprays; its copy would
    cost bytes and serve nothing. Forgetting early only delays an answer by one relayed packet.
    """

    def __init__(self) -> None:
        self._newer: set[tuple[int, NodeId]] = set()
        self._older: set[tuple[int, NodeId]] = set()
        self._rotate_at = 0.0

    def record(self, key: int, relay: NodeId, now: float) -> bool:
        """Note that a node relayed a flow; returns whether it did so before."""
        if now >= self._rotate_at or len(self._newer) >= MAXIMUM_SET_SIZE:
            self._older, self._newer = self._newer, set()
            self._rotate_at = now + ROTATION_SECONDS
        relayed = (key, relay)
        repeated = relayed in self._newer or relayed in self._older
        self._newer.add(relayed)
        return repeated


class CacheAnswerBatches:
    """Answers that wait for their batch, by relaying node; losing one costs a relayed packet."""

    def __init__(self) -> None:
        self._records: dict[NodeId, list[FlowRecord]] = {}
        self._due: float | None = None

    def put(self, relay: NodeId, record: FlowRecord, now: float) -> bool:
        """Queue one answer; returns whether it is the first of a batch, so that a timer is set."""
        self._records.setdefault(relay, []).append(record)
        if self._due is not None:
            return False
        self._due = now + BATCH_SECONDS
        return True

    def poll(self, now: float) -> list[Command]:
        """Return the batches to send, if they are due."""
        if self._due is None or self._due > now:
            return []
        commands: list[Command] = []
        for relay, records in self._records.items():
            for start in range(0, len(records), RECORDS_PER_MESSAGE):
                chunk = records[start : start + RECORDS_PER_MESSAGE]
                commands.append(SendMessage(relay, CacheAnswers(pack_records(chunk))))
        self._records = {}
        self._due = None
        return commands

    def next_timer(self) -> float | None:
        """Return when a batch is due."""
        return self._due
