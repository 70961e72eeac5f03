"""Backends that nodes have just found dead, as nodes tell each other of them.

A report spreads from node to node at once, and each node passes it on once. Who hears one checks
the backend itself before it ends flows there: a node that is cut off finds all backends dead.
"""

from __future__ import annotations

from collections.abc import Iterable

REPORT_SECONDS = 3.0
"""How long a report counts as known; a backend that is found dead later is told again."""
MOST_REPORTS = 1024
MOST_NAMED = 48
"""Names in one message: with 24 bytes each it fits a datagram of 1,400 bytes."""


class DownReports:
    """The reports that a node has made or heard of lately."""

    def __init__(self) -> None:
        self._known: dict[str, float] = {}

    def take_news(self, names: Iterable[str], now: float) -> list[str]:
        """Return those of some backends that were not known to be reported, and remember them."""
        news = [
            name for name in names if now - self._known.get(name, float("-inf")) > REPORT_SECONDS
        ]
        if len(self._known) + len(news) > MOST_REPORTS:
            self._forget_old(now)
        room = max(0, MOST_REPORTS - len(self._known))
        news = news[: min(room, MOST_NAMED)]
        self._known.update(dict.fromkeys(news, now))
        return news

    def _forget_old(self, now: float) -> None:
        self._known = {name: at for name, at in self._known.items() if now - at <= REPORT_SECONDS}
