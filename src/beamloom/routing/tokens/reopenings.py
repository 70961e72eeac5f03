"""Clients that open again at once: what they opened a moment ago was refused, it seems.

A backend that is down refuses a flow straight to its client, and no packet tells the node. The
client opens another flow from another port, within milliseconds.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from beamloom.routing.tokens.backend_table import Backend
from beamloom.routing.tokens.flow_observer import FlowObserver, FlowPhase

REOPENING_SECONDS = 0.1
"""A client that was refused is back after its way to the backend; copies come after 0.2 s."""


class Opening(NamedTuple):
    """An opening packet that went to a backend, at a moment."""

    at: float
    flow: bytes
    backend: Backend


class Reopenings:
    """The openings of the last REOPENING_SECONDS, by client and destination."""

    def __init__(self, flows: FlowObserver) -> None:
        self._flows = flows
        self._by_client: dict[tuple[bytes, bytes], list[Opening]] = {}
        self._order: deque[tuple[float, tuple[bytes, bytes]]] = deque()

    def note(self, client: bytes, destination: bytes, opening: Opening) -> None:
        """Note an opening packet that went to a backend."""
        key = (client, destination)
        self._by_client.setdefault(key, []).append(opening)
        self._order.append((opening.at, key))

    def unanswered(self, client: bytes, destination: bytes, now: float) -> list[Backend]:
        """Return the backends that a client opened flows at just now, and no sign came of them."""
        self._forget_old(now)
        openings = self._by_client.get((client, destination), ())
        return [opening.backend for opening in openings if self._is_open_question(opening)]

    def _is_open_question(self, opening: Opening) -> bool:
        flow = self._flows.find(opening.flow)
        return (
            flow is not None and flow.phase is FlowPhase.OPENING and flow.backend is opening.backend
        )

    def _forget_old(self, now: float) -> None:
        while self._order and now - self._order[0][0] >= REOPENING_SECONDS:
            _, key = self._order.popleft()
            openings = self._by_client[key]
            openings.pop(0)
            if not openings:
                del self._by_client[key]
