"""Spreads status records by push gossip, with anti-entropy by digests (Demers et al., 1987).

A node pushes a record that it has written, or first received by a push, once to a few random peers,
which bounds the cost of a change. Digests repair what pushes missed and bring a joining node up to
date.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import islice
from typing import Final

from beamloom.model.machines import NodeId
from beamloom.protocol.backend_messages import (
    BUCKET_COUNT,
    BUCKET_DIGEST_SIZE,
    MAXIMUM_BATCH_RECORDS,
    MAXIMUM_EXCEPTION_RECORDS,
    StatusBatch,
    StatusBuckets,
    StatusDigest,
    StatusExceptions,
    StatusPull,
)
from beamloom.protocol.commands import Command, SendMessage
from beamloom.protocol.messages import Message
from beamloom.replication.backend_status.register import StatusRegister

URGENT_DELAY_SECONDS = 0.25
PUSH_INTERVAL_SECONDS = 5.0
PUSH_FANOUT = 4
BACKLOG_FANOUT = 2
BACKLOG_THRESHOLD = 60
RETRY_INTERVAL_SECONDS = 1.0
DIGEST_INTERVAL_SECONDS = 10.0
EXCEPTIONS_INTERVAL_SECONDS = 2.0
LAGGING_INTERVAL_SECONDS = 4.0
JOINING_INTERVAL_SECONDS = 0.5
PULLED_BUCKETS = 32
PULLED_RECORDS = 2 * MAXIMUM_BATCH_RECORDS
RESERVED_FOR_REPAIR = 700.0
RESERVED_FOR_URGENT = 400.0
BYTES_PER_SECOND = 350.0
BURST_BYTES = 2100.0
MESSAGE_OVERHEAD: Final = 56
RECORD_BYTES: Final = 9
QUEUE_CAPACITY = 200


@dataclass(frozen=True, slots=True)
class GossipStatus:
    """Counters of status gossip.

    `deferred` counts sends that the rate limit prevented: a push is retried, other messages are
    dropped. `estimated_bytes` is the estimated size of all messages sent.
    """

    queued: int
    pushed_records: int
    pulled_records: int
    deferred: int
    estimated_bytes: int
    catching_up: bool


class StatusGossip:
    """Push gossip and anti-entropy for one register.

    A token bucket limits the estimated traffic to `BYTES_PER_SECOND`, with bursts of `BURST_BYTES`.
    `exceptions_synchronized` is set when a peer's exceptions digest matches, when a complete
    `StatusExceptions` arrives, or when there are no peers.
    """

    def __init__(self, register: StatusRegister, rng: random.Random, now: float) -> None:
        self._register = register
        self._rng = rng
        self._peers: Sequence[NodeId] = ()
        self._queue: dict[int, None] = {}
        self._urgent: dict[int, None] = {}
        self._tokens = BURST_BYTES
        self._refilled_at = now
        self._push_at = now + rng.random() * PUSH_INTERVAL_SECONDS
        self._digest_at = now + rng.random() * JOINING_INTERVAL_SECONDS
        self._exceptions_at = now + rng.random() * EXCEPTIONS_INTERVAL_SECONDS
        self.exceptions_synchronized = False
        self._joining = True
        self._lagging = False
        self._pushed = 0
        self._pulled = 0
        self._deferred = 0
        self._bytes = 0

    def update_peers(self, peers: Sequence[NodeId]) -> None:
        """Replace the peers to gossip with."""
        self._peers = peers

    def publish(self, backend_number: int, now: float, *, urgent: bool) -> None:
        """Queue a record for a push, an urgent one within `URGENT_DELAY_SECONDS`.

        If the queue is full, the record spreads by digests only.
        """
        queue = self._urgent if urgent else self._queue
        if len(queue) >= QUEUE_CAPACITY:
            return
        queue[backend_number] = None
        if urgent:
            self._push_at = min(self._push_at, now + URGENT_DELAY_SECONDS)

    def receive_digest(self, sender: NodeId, message: StatusDigest, now: float) -> list[Command]:
        """Answer differing exceptions with records, and a differing root with bucket digests."""
        commands: list[Command] = []
        if message.exceptions == self._register.exceptions_root:
            self.exceptions_synchronized = True
        else:
            commands += self._send_exceptions(sender, now)
        if message.root is None:
            return commands
        if message.root == self._register.root:
            self._joining = self._lagging = False
            return commands
        answer = StatusBuckets(self._register.bucket_digests())
        size = MESSAGE_OVERHEAD + BUCKET_COUNT * BUCKET_DIGEST_SIZE
        return commands + self._send_within_rate([sender], answer, size, now)

    def answer_exceptions(
        self, sender: NodeId, message: StatusExceptions, now: float
    ) -> list[Command]:
        """Send back the records that are newer here, after the sender's have been applied.

        A reply is answered too, but only with greater values, so the exchange terminates.
        """
        self.exceptions_synchronized = self.exceptions_synchronized or message.complete
        theirs = dict(zip(message.records[::2], message.records[1::2], strict=True))
        held = [(number, self._register.value(number)) for number in theirs]
        newer = [(number, value) for number, value in held if value > theirs[number]]
        if message.complete and message.wants_reply:
            own = self._register.exceptions
            newer += [(number, own[number]) for number in own if number not in theirs]
        if not newer:
            return []
        return self._send_repair(sender, newer, now, wants_reply=False)

    def receive_buckets(self, sender: NodeId, message: StatusBuckets, now: float) -> list[Command]:
        """Request up to `PULLED_BUCKETS` random buckets among those that differ."""
        differing = self._register.differing_buckets(message.digests)
        self._lagging = len(differing) > PULLED_BUCKETS
        self._joining = self._joining and self._lagging
        if not differing:
            return []
        wanted = self._rng.sample(differing, min(PULLED_BUCKETS, len(differing)))
        return self._send_within_rate([sender], StatusPull(wanted), MESSAGE_OVERHEAD, now)

    def receive_pull(self, sender: NodeId, message: StatusPull, now: float) -> list[Command]:
        """Answer with records of the buckets, in the order requested, within the limits."""
        records = self._register.bucket_records(message.buckets[:PULLED_BUCKETS])[:PULLED_RECORDS]
        commands: list[Command] = []
        for start in range(0, len(records), MAXIMUM_BATCH_RECORDS):
            part = records[start : start + MAXIMUM_BATCH_RECORDS]
            batch = _batch(part, fresh=False)
            commands += self._send_within_rate([sender], batch, _batch_size(len(part)), now)
        return commands

    def count_pulled(self, records: int) -> None:
        """Count records received in answer to a pull."""
        self._pulled += records

    def poll(self, now: float) -> list[Command]:
        """Push queued records and send digests, each when due."""
        commands: list[Command] = []
        if now >= self._push_at:
            commands += self._push(now)
            self._push_at = now + (
                RETRY_INTERVAL_SECONDS if self._urgent else PUSH_INTERVAL_SECONDS
            )
        if now >= self._digest_at:
            self._digest_at = now + self._digest_interval() * self._rng.uniform(0.8, 1.2)
            commands += self._send_digest(now)
        if now >= self._exceptions_at:
            commands += self._send_exceptions_digest(now)
        return commands

    def next_timer(self) -> float:
        """Return when `poll` is due."""
        due = min(self._digest_at, self._exceptions_at)
        return min(self._push_at, due) if self._queue or self._urgent else due

    def snapshot(self) -> GossipStatus:
        """Return counters and state."""
        return GossipStatus(
            queued=len(self._queue) + len(self._urgent),
            pushed_records=self._pushed,
            pulled_records=self._pulled,
            deferred=self._deferred,
            estimated_bytes=self._bytes,
            catching_up=self._joining or self._lagging,
        )

    def _digest_interval(self) -> float:
        if self._joining:
            return JOINING_INTERVAL_SECONDS
        return LAGGING_INTERVAL_SECONDS if self._lagging else DIGEST_INTERVAL_SECONDS

    def _push(self, now: float) -> list[Command]:
        queued = len(self._urgent) or len(self._queue)
        if not queued or not self._peers:
            self._urgent.clear()
            self._queue.clear()
            return []
        fanout = BACKLOG_FANOUT if queued > BACKLOG_THRESHOLD else PUSH_FANOUT
        peers = self._rng.sample(self._peers, min(fanout, len(self._peers)))
        self._refill(now)
        reserved = 0.0 if self._urgent else RESERVED_FOR_REPAIR
        usable = (self._tokens - reserved) / len(peers)
        record_limit = int((usable - MESSAGE_OVERHEAD) // RECORD_BYTES)
        count = min(record_limit, queued, MAXIMUM_BATCH_RECORDS)
        if count <= 0:
            self._deferred += 1
            return []
        numbers = list(islice(self._urgent or self._queue, count))
        for number in numbers:
            self._urgent.pop(number, None)
            self._queue.pop(number, None)
        values = [(number, self._register.value(number)) for number in numbers]
        records = [(number, value) for number, value in values if value]
        self._pushed += len(records) * len(peers)
        batch = _batch(records, fresh=True)
        return self._send_within_rate(peers, batch, _batch_size(count), now, reserved=0.0)

    def _send_digest(self, now: float) -> list[Command]:
        if not self._peers:
            self._joining = False
            return []
        peer = self._rng.choice(self._peers)
        return self._send_within_rate(
            [peer],
            StatusDigest(self._register.exceptions_root, self._register.root),
            MESSAGE_OVERHEAD,
            now,
        )

    def _send_exceptions(self, peer: NodeId, now: float) -> list[Command]:
        records = list(self._register.exceptions.items())
        return self._send_repair(peer, records, now, wants_reply=True)

    def _send_repair(
        self, peer: NodeId, records: list[tuple[int, int]], now: float, *, wants_reply: bool
    ) -> list[Command]:
        self._refill(now)
        record_limit = int((self._tokens - MESSAGE_OVERHEAD) // RECORD_BYTES)
        count = max(0, min(record_limit, len(records), MAXIMUM_EXCEPTION_RECORDS))
        part = self._rng.sample(records, count)
        flat = [item for record in part for item in record]
        message = StatusExceptions(flat, count == len(records), wants_reply)
        return self._send_within_rate([peer], message, _batch_size(count), now, reserved=0.0)

    def _send_exceptions_digest(self, now: float) -> list[Command]:
        self._exceptions_at = now + EXCEPTIONS_INTERVAL_SECONDS * self._rng.uniform(0.8, 1.2)
        if not self._peers:
            self.exceptions_synchronized = True
            return []
        message = StatusDigest(self._register.exceptions_root, None)
        peer = self._rng.choice(self._peers)
        return self._send_within_rate([peer], message, MESSAGE_OVERHEAD, now, reserved=0.0)

    def _send_within_rate(
        self,
        peers: Sequence[NodeId],
        message: Message,
        size: int,
        now: float,
        reserved: float = RESERVED_FOR_URGENT,
    ) -> list[Command]:
        self._refill(now)
        cost = size * len(peers)
        if cost > self._tokens - reserved:
            self._deferred += 1
            return []
        self._tokens -= cost
        self._bytes += cost
        return [SendMessage(peer, message) for peer in peers]

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._refilled_at)
        self._refilled_at = now
        self._tokens = min(BURST_BYTES, self._tokens + elapsed * BYTES_PER_SECOND)


def _batch(records: Sequence[tuple[int, int]], *, fresh: bool) -> StatusBatch:
    return StatusBatch([item for record in records for item in record], fresh)


def _batch_size(records: int) -> int:
    return MESSAGE_OVERHEAD + records * RECORD_BYTES
