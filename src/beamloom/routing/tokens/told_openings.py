"""Openings that other nodes have reported, for packets that reach this node first.

A node reports where an opening packet went when it ends before the flow opens, and where a flow is
open if two backends may have answered its opening: the client's packets may have the other's token.
"""

from __future__ import annotations

from typing import NamedTuple

MAXIMUM_OPENINGS = 4096
LIFETIME_SECONDS = 75.0
"""Longer than a flow (60 s)."""
NOT_OPEN = -1
"""Stands for the acknowledgement number of a flow that is not known to be open."""


class ToldOpening(NamedTuple):
    """Where a flow's opening packet went; the flow is open if `acknowledged` is not NOT_OPEN.

    `acknowledged` is the acknowledgement number of one of the client's packets.
    """

    backend: str
    acknowledged: int
    told_at: float


class ToldOpenings:
    """The reports by flow, each for LIFETIME_SECONDS; with too many, further ones are ignored."""

    def __init__(self) -> None:
        self._openings: dict[bytes, ToldOpening] = {}

    def note(self, flow: bytes, backend: str, acknowledged: int, now: float) -> None:
        """Record a report; it replaces an earlier one of the flow."""
        self._remove_expired(now)
        self._openings.pop(flow, None)
        if len(self._openings) < MAXIMUM_OPENINGS:
            self._openings[flow] = ToldOpening(backend, acknowledged, now)

    def find(self, flow: bytes, now: float) -> ToldOpening | None:
        """Return the newest report of a flow, or None."""
        self._remove_expired(now)
        return self._openings.get(flow)

    def _remove_expired(self, now: float) -> None:
        while self._openings:
            flow, oldest = next(iter(self._openings.items()))
            if now - oldest.told_at < LIFETIME_SECONDS:
                return
            del self._openings[flow]
