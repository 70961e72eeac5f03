"""Batched CacheAnswers from a home to the nodes that relay packets to it."""

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
    """The flows that each node relayed recently, in two bounded sets that are rotated.

    The fabric sprays packets over nodes, so a node that relays a flow once may never receive it
    again and does not need its backend. A flow dropped too early costs one more relayed packet.
    """

    def __init__(self) -> None:
        self._newer: set[tuple[int, NodeId]] = set()
        self._older: set[tuple[int, NodeId]] = set()
        self._rotate_at = 0.0

    def record(self, key: int, relay: NodeId, now: float) -> bool:
        """Record that a node relayed a flow; returns whether it was recorded before."""
        if now >= self._rotate_at or len(self._newer) >= MAXIMUM_SET_SIZE:
            self._older, self._newer = self._newer, set()
            self._rotate_at = now + ROTATION_SECONDS
        relayed = (key, relay)
        repeated = relayed in self._newer or relayed in self._older
        self._newer.add(relayed)
        return repeated


class CacheAnswerBatches:
    """Queued answers by relaying node; they are not resent, as a loss costs one relayed packet."""

    def __init__(self) -> None:
        self._records: dict[NodeId, list[FlowRecord]] = {}
        self._due: float | None = None

    def put(self, relay: NodeId, record: FlowRecord, now: float) -> bool:
        """Queue one answer; returns whether it starts a batch, which sets the timer."""
        self._records.setdefault(relay, []).append(record)
        if self._due is not None:
            return False
        self._due = now + BATCH_SECONDS
        return True

    def poll(self, now: float) -> list[Command]:
        """Return the queued answers as messages if they are due."""
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
        """Return when the queued answers are due, if there are any."""
        return self._due
