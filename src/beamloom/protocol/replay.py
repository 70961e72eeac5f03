"""Anti-replay windows: each sender's sequence numbers are taken once (RFC 4303, section 3.4.3)."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from beamloom.model.machines import NodeId
from beamloom.protocol.errors import ReplayedDatagramError

WINDOW_SIZE = 256
MAXIMUM_SENDERS = 4096


@dataclass(slots=True)
class _Window:
    """The highest sequence number seen, and a bitmap of those below it."""

    highest: int = 0
    seen: int = 0

    def take(self, sequence: int) -> bool:
        """Mark a sequence number; false when it was seen or lies too far back."""
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
    """Windows of all senders; the one longest unheard goes when there are too many."""

    def __init__(self) -> None:
        self._windows: OrderedDict[NodeId, _Window] = OrderedDict()

    def check(self, sender: NodeId, sequence: int) -> None:
        """Take a sequence number; raises ReplayedDatagramError when it may not be taken again."""
        window = self._windows.setdefault(sender, _Window())
        self._windows.move_to_end(sender)
        if len(self._windows) > MAXIMUM_SENDERS:
            self._windows.popitem(last=False)
        if not window.take(sequence):
            raise ReplayedDatagramError(
                f"sequence {sequence} of {sender} was seen; if that node restarted under its old "
                "name, give each start a new one"
            )
