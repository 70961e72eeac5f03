"""Backends that nodes have just found dead, as nodes tell each other of them.

A report spreads from node to node at once, and each node passes it on once; what comes together is
told together. Who hears one checks the backend itself before it ends flows there: a node that is
cut off finds all backends dead.
"""

from __future__ import annotations

from collections.abc import Iterable

REPORT_SECONDS = 3.0
"""How long a report counts as known; a backend that is found dead later is told again."""
TELLING_SECONDS = 0.05
"""Reports are told this often at most: where a zone dies, a node finds dozens in a moment."""
MOST_REPORTS = 1024
MOST_NAMED = 48
"""Names in one message: with 24 bytes each it fits a datagram of 1,400 bytes."""


class DownReports:
    """The reports that a node has made or heard of lately, and those that it is to pass on."""

    def __init__(self) -> None:
        self._known: dict[str, float] = {}
        self._news: dict[str, None] = {}
        self._told_at = float("-inf")

    def note(self, name: str) -> None:
        """Note a backend that this node itself has found dead."""
        if len(self._news) < MOST_REPORTS:
            self._news[name] = None

    def take(self, names: Iterable[str], now: float) -> list[str]:
        """Take what another node tells; return the backends that were not known to be reported."""
        if len(self._known) >= MOST_REPORTS:
            self._forget_old(now)
        news = [name for name in names if self._is_new(name, now)]
        for name in news[: MOST_REPORTS - len(self._known)]:
            self._known[name] = now
            self.note(name)
        return news

    def take_news(self, now: float) -> list[str]:
        """Return once the backends that others are to be told of, if it is time for that."""
        if not self._news or now - self._told_at < TELLING_SECONDS:
            return []
        self._told_at = now
        names = list(self._news)[:MOST_NAMED]
        for name in names:
            del self._news[name]
            self._known[name] = now
        return names

    def _is_new(self, name: str, now: float) -> bool:
        return now - self._known.get(name, float("-inf")) > REPORT_SECONDS

    def _forget_old(self, now: float) -> None:
        self._known = {name: at for name, at in self._known.items() if now - at <= REPORT_SECONDS}
