"""Control budget: queues, packs and counts the messages that a node sends to other nodes.

A token bucket (RFC 2697, single rate) whose burst is part of the allowance of a window, so that no
window of `WINDOW_SECONDS`, wherever it begins, carries more than the configured average.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

import cbor2

from beamloom.model.addresses import SocketAddress
from beamloom.model.machines import NodeId
from beamloom.protocol.codec import MAXIMUM_DATAGRAM_SIZE, TAG_SIZE, message_to_list
from beamloom.protocol.commands import SendMessage
from beamloom.protocol.messages import Message, Priority

Destination = NodeId | SocketAddress

WINDOW_SECONDS = 10.0
BURST_SECONDS = 2.0
NETWORK_HEADER_SIZE = 28
ENVELOPE_FIXED_SIZE = TAG_SIZE + 26
GUARANTEED_SHARE = 0.05
RESERVED_SHARES = {
    Priority.TRANSFER: 0.25,
    Priority.REPLICA: 0.4,
    Priority.STATUS: 0.4,
    Priority.CACHE: 0.5,
}
"""Share of the burst that a priority leaves to higher ones; its guaranteed share is exempt."""
CACHE_QUEUE_BYTES = 16_384
ROUNDING_BYTES = 1e-3
"""Tolerance for floating-point rounding."""


@dataclass(frozen=True, slots=True)
class OutgoingBatch:
    """Messages for one destination that fit one datagram and have been charged."""

    destination: Destination
    messages: tuple[Message, ...]
    charged_bytes: int


@dataclass(frozen=True, slots=True)
class PriorityCounters:
    """Messages sent and delayed in one priority; sizes are in bytes, delays in seconds."""

    queued_messages: int
    queued_bytes: int
    sent_messages: int
    delayed_messages: int
    delayed_bytes: int
    longest_delay: float
    coalesced_messages: int
    dropped_messages: int


@dataclass(frozen=True, slots=True)
class BudgetSnapshot:
    """State of the budget: bytes sent so far, tokens left, and counters by priority."""

    sent_bytes: int
    sent_datagrams: int
    available_bytes: float
    oversized_messages: int
    priorities: dict[Priority, PriorityCounters]


@dataclass(slots=True)
class _Queued:
    message: Message
    size: int
    queued_at: float


@dataclass(slots=True)
class _PriorityQueue:
    """Messages of one priority, by destination, each in order of submission."""

    destinations: OrderedDict[Destination, dict[bytes, _Queued]] = field(
        default_factory=OrderedDict
    )
    queued_bytes: int = 0
    queued_messages: int = 0
    guaranteed_bytes: float = 0.0
    sent_messages: int = 0
    delayed_messages: int = 0
    delayed_bytes: int = 0
    longest_delay: float = 0.0
    coalesced_messages: int = 0
    dropped_messages: int = 0

    def add(self, destination: Destination, encoded: bytes, queued: _Queued) -> None:
        waiting = self.destinations.setdefault(destination, {})
        if encoded in waiting:
            self.coalesced_messages += 1
            return
        waiting[encoded] = queued
        self.queued_bytes += queued.size
        self.queued_messages += 1

    def first(self) -> tuple[Destination, _Queued]:
        destination, waiting = next(iter(self.destinations.items()))
        return destination, next(iter(waiting.values()))

    def take(self, destination: Destination, room: float, now: float) -> list[_Queued]:
        """Remove and return messages for `destination`, in order, while they fit `room` bytes."""
        waiting = self.destinations.get(destination)
        taken: list[_Queued] = []
        while waiting:
            encoded, queued = next(iter(waiting.items()))
            if queued.size > room:
                break
            del waiting[encoded]
            room -= queued.size
            taken.append(queued)
            self._count(queued, now)
        if waiting is not None and not waiting:
            del self.destinations[destination]
        return taken

    def _count(self, queued: _Queued, now: float) -> None:
        self.queued_bytes -= queued.size
        self.queued_messages -= 1
        self.sent_messages += 1
        self.guaranteed_bytes = max(0.0, self.guaranteed_bytes - queued.size)
        delay = now - queued.queued_at
        if delay > 0:
            self.delayed_messages += 1
            self.delayed_bytes += queued.size
            self.longest_delay = max(self.longest_delay, delay)

    def counters(self) -> PriorityCounters:
        return PriorityCounters(
            self.queued_messages,
            self.queued_bytes,
            self.sent_messages,
            self.delayed_messages,
            self.delayed_bytes,
            self.longest_delay,
            self.coalesced_messages,
            self.dropped_messages,
        )


class ControlBudget:
    """Queues messages by priority and releases them within `bytes_per_second`.

    The lowest `Priority` goes first; every other priority with queued messages is guaranteed
    `GUARANTEED_SHARE` of the rate, so that none starves. Identical messages queued for the same
    destination are sent once. Messages too long for a datagram are discarded and counted, as are
    those of `Priority.CACHE` that exceed `CACHE_QUEUE_BYTES`.
    """

    def __init__(self, node_id: NodeId, now: float, bytes_per_second: int = 4096) -> None:
        window_bytes = bytes_per_second * WINDOW_SECONDS
        self._burst = max(
            bytes_per_second * BURST_SECONDS, MAXIMUM_DATAGRAM_SIZE + NETWORK_HEADER_SIZE
        )
        if self._burst >= window_bytes:
            raise ValueError(f"{bytes_per_second} B/s cannot carry a datagram; raise the budget")
        self._rate = (window_bytes - self._burst - 1) / WINDOW_SECONDS
        self._tokens = self._burst
        self._refilled_at = now
        self._overhead = ENVELOPE_FIXED_SIZE + len(node_id.encode()) + 2
        self._payload_limit = MAXIMUM_DATAGRAM_SIZE - self._overhead
        self._queues = {priority: _PriorityQueue() for priority in Priority}
        largest = MAXIMUM_DATAGRAM_SIZE + NETWORK_HEADER_SIZE
        self._reserves = {
            priority: min(self._burst * share, self._burst - largest)
            for priority, share in RESERVED_SHARES.items()
        }
        self._sent_bytes = 0
        self._sent_datagrams = 0
        self._oversized = 0

    def submit(self, command: SendMessage, now: float) -> None:
        """Queue one message; `release` decides when it is sent."""
        message = command.message
        encoded = cbor2.dumps(message_to_list(message))
        if len(encoded) > self._payload_limit:
            self._oversized += 1
            return
        queue = self._queues[message.PRIORITY]
        full = queue.queued_bytes + len(encoded) > CACHE_QUEUE_BYTES
        if full and message.PRIORITY is Priority.CACHE:
            queue.dropped_messages += 1
            return
        queue.add(command.destination, encoded, _Queued(message, len(encoded), now))

    def release(self, now: float) -> list[OutgoingBatch]:
        """Return the datagrams that may be sent now, in order."""
        self._refill(now)
        batches: list[OutgoingBatch] = []
        while (priority := self._next_priority()) is not None:
            if self._required_tokens(priority) > self._tokens + ROUNDING_BYTES:
                break
            batches.append(self._pack(priority, now))
        return batches

    def next_timer(self) -> float | None:
        """Return when the tokens suffice for the next datagram; None if nothing is queued."""
        priority = self._next_priority()
        if priority is None:
            return None
        missing = self._required_tokens(priority) - self._tokens
        return self._refilled_at + max(0.0, missing) / self._rate

    def snapshot(self) -> BudgetSnapshot:
        """Return counters for status and explanations."""
        return BudgetSnapshot(
            self._sent_bytes,
            self._sent_datagrams,
            self._tokens,
            self._oversized,
            {priority: queue.counters() for priority, queue in self._queues.items()},
        )

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._refilled_at)
        self._refilled_at = max(now, self._refilled_at)
        earned = elapsed * self._rate
        self._tokens = min(self._burst, self._tokens + earned)
        for priority, queue in self._queues.items():
            if priority is Priority.MEMBERSHIP:
                continue
            guaranteed = queue.guaranteed_bytes + earned * GUARANTEED_SHARE
            limit = float(MAXIMUM_DATAGRAM_SIZE) if queue.queued_messages else 0.0
            queue.guaranteed_bytes = min(limit, guaranteed)

    def _next_priority(self) -> Priority | None:
        waiting = [item for item, queue in self._queues.items() if queue.queued_messages]
        for priority in waiting:
            queue = self._queues[priority]
            if queue.guaranteed_bytes >= queue.first()[1].size:
                return priority
        return waiting[0] if waiting else None

    def _required_tokens(self, priority: Priority) -> float:
        """Return the tokens required before a priority's first message may be sent."""
        queue = self._queues[priority]
        size = queue.first()[1].size
        guaranteed = queue.guaranteed_bytes >= size
        reserve = 0.0 if guaranteed else self._reserves.get(priority, 0.0)
        return size + self._overhead + NETWORK_HEADER_SIZE + reserve

    def _pack(self, priority: Priority, now: float) -> OutgoingBatch:
        destination, _ = self._queues[priority].first()
        header = self._overhead + NETWORK_HEADER_SIZE
        room = min(float(self._payload_limit), self._tokens + ROUNDING_BYTES - header)
        taken = self._queues[priority].take(destination, room, now)
        used = sum(item.size for item in taken)
        higher_bytes = 0
        for other, queue in self._queues.items():
            spare = min(self._payload_limit - used, self._tokens - header - used - higher_bytes)
            if other is not priority and spare > 0:
                more = queue.take(destination, spare, now)
                used += sum(item.size for item in more)
                taken.extend(more)
            higher_bytes += queue.queued_bytes
        return self._charge(destination, taken, used + header)

    def _charge(self, destination: Destination, taken: list[_Queued], size: int) -> OutgoingBatch:
        self._tokens -= size
        self._sent_bytes += size
        self._sent_datagrams += 1
        return OutgoingBatch(destination, tuple(item.message for item in taken), size)
