"""Anti-replay windows: each sequence number of a sender is accepted once (RFC 4303, 3.4.3)."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from beamloom.model.machines import NodeId
from beamloom.protocol.errors import ReplayedDatagramError

WINDOW_SIZE = 256
MAXIMUM_SENDERS = 4096


@dataclass(slots=True)
class _Window:
    """The highest sequence number seen, and a bitmap of those seen, from the highest down."""

    highest: int = 0
    seen: int = 0

    def accept(self, sequence: int) -> bool:
        """Mark a sequence number as seen; return False if it was seen or is below the window."""
        if sequence > self.highest:
            shift = min(sequence - self.highest, WINDOW_SIZE)
            self.seen = ((self.seen << shift) | 1) & ((1 << WINDOW_SIZE) - 1)
            self.highest = sequence
            return True
        offset = self.highest - sequence
        bit = 1 << offset
        if sequence <= 0 or offset >= WINDOW_SIZE or self.seen & bit:
            return False
        self.seen |= bit
        return True


class ReplayGuard:
    """Windows of up to `MAXIMUM_SENDERS` senders; the least recently used one is evicted."""

    def __init__(self) -> None:
        self._windows: OrderedDict[NodeId, _Window] = OrderedDict()

    def check(self, sender: NodeId, sequence: int) -> None:
        """Mark a sequence number as seen; raises ReplayedDatagramError if it is not acceptable."""
        window = self._windows.setdefault(sender, _Window())
        self._windows.move_to_end(sender)
        if len(self._windows) > MAXIMUM_SENDERS:
            self._windows.popitem(last=False)
        if not window.accept(sequence):
            raise ReplayedDatagramError(
                f"sequence {sequence} of {sender} was already received or is too old; if that node "
                "restarted under its old name, give each start a new one"
            )
