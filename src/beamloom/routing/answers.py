"""Answers of a home to the nodes that relayed packets to it, in batches."""

from __future__ import annotations

from beamloom.protocol.commands import Command, SendMessage
from beamloom.protocol.flow_messages import (
    RECORDS_PER_MESSAGE,
    CacheAnswers,
    FlowRecord,
    pack_records,
)
from beamloom.world.machines import NodeId

BATCH_SECONDS = 0.2


class AnswerBatches:
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
                part = records[start : start + RECORDS_PER_MESSAGE]
                commands.append(SendMessage(relay, CacheAnswers(pack_records(part))))
        self._records = {}
        self._due = None
        return commands

    def next_timer(self) -> float | None:
        """Return when a batch is due."""
        return self._due
