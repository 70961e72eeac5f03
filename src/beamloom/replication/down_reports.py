"""Reports of backends that nodes have just found dead.

A report spreads by gossip at once, and each node forwards it once; reports that arrive together are
sent together. A node that receives one checks the backend itself before it ends flows there, as a
partitioned node finds all backends dead.
"""

from __future__ import annotations

from collections.abc import Iterable

REPORT_SECONDS = 3.0
"""How long a report is remembered; a backend that is found dead later is reported again."""
SEND_INTERVAL_SECONDS = 0.05
"""The shortest interval between sends; the loss of a zone causes dozens of reports at once."""
MAXIMUM_REPORTS = 1024
MAXIMUM_NAMES = 48
"""Names per message: with 24 bytes each it fits a datagram of 1,400 bytes."""


class DownReports:
    """The reports that a node made or received recently, and those that it has yet to send."""

    def __init__(self) -> None:
        self._known: dict[str, float] = {}
        self._unsent: dict[str, None] = {}
        self._sent_at = float("-inf")

    def note(self, name: str) -> None:
        """Queue a report of a backend to be sent."""
        if len(self._unsent) < MAXIMUM_REPORTS:
            self._unsent[name] = None

    def take(self, names: Iterable[str], now: float) -> list[str]:
        """Process a peer's report; return the backends that were not reported recently."""
        if len(self._known) >= MAXIMUM_REPORTS:
            self._expire(now)
        unknown = [name for name in names if self._is_unknown(name, now)]
        for name in unknown[: MAXIMUM_REPORTS - len(self._known)]:
            self._known[name] = now
            self.note(name)
        return unknown

    def take_unsent(self, now: float) -> list[str]:
        """Remove and return the backends to report now, at most each SEND_INTERVAL_SECONDS."""
        if not self._unsent or now - self._sent_at < SEND_INTERVAL_SECONDS:
            return []
        self._sent_at = now
        names = list(self._unsent)[:MAXIMUM_NAMES]
        for name in names:
            del self._unsent[name]
            self._known[name] = now
        return names

    def _is_unknown(self, name: str, now: float) -> bool:
        return now - self._known.get(name, float("-inf")) > REPORT_SECONDS

    def _expire(self, now: float) -> None:
        self._known = {name: at for name, at in self._known.items() if now - at <= REPORT_SECONDS}
