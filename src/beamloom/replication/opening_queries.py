"""Asks other nodes about opening packets, and answers their questions; it does no I/O.

Routers send the packets of a client to the nodes of its zone, so a large fleet's nodes ask those.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from beamloom.protocol.messages import Message
from beamloom.protocol.opening_messages import OpeningQuery, OpeningReport
from beamloom.replication.peer_table import PeerTable
from beamloom.replication.view_pulls import SendToHost

Opening = tuple[bytes, str, int]
"""A flow, the name of its backend, and its acknowledgement number."""
MAXIMUM_ASKED_OUTSIDE_ZONE = 12
"""With up to this many peers, those of other zones are asked too."""
MAXIMUM_FLOWS = 64
"""Flows of one message that are looked up; nodes send fewer."""


class OpeningQueries:
    """The questions of one node; `sends` is the queue of its messages.

    `find_opening` returns what this node knows of a flow at a time, or None.
    `on_known` is called with a flow, its backend, its acknowledgement number and the time,
    `on_unknown` with a flow, the host of a node that has not forwarded its opening packet, and the
    time.
    """

    def __init__(self, peers: PeerTable, sends: list[SendToHost], counters: Counter[str]) -> None:
        self.find_opening: Callable[[bytes, float], Opening | None] = lambda flow, now: None
        self.on_known: Callable[[bytes, str, int, float], None] = lambda *_: None
        self.on_unknown: Callable[[bytes, str, float], None] = lambda flow, host, now: None
        self._peers = peers
        self._sends = sends
        self._counters = counters

    def hosts(self) -> list[str]:
        """Return the hosts of the nodes that may have got the original of a copy."""
        if len(self._peers) <= MAXIMUM_ASKED_OUTSIDE_ZONE:
            return sorted(self._peers.hosts())
        return self._peers.own_zone_hosts()

    def ask(self, flows: list[bytes]) -> list[str]:
        """Ask about flows; return the hosts that were asked."""
        hosts, query = self.hosts(), OpeningQuery(flows)
        self._counters["opening_queries"] += len(hosts)
        self._sends.extend(SendToHost(host, query) for host in hosts)
        return hosts

    def tell(self, openings: list[Opening]) -> None:
        """Report openings to the nodes that may get later packets of the flows."""
        hosts, report = self.hosts(), OpeningReport(openings)
        self._counters["opening_reports"] += len(hosts)
        self._sends.extend(SendToHost(host, report) for host in hosts)

    def handle(self, host: str, message: Message, now: float) -> None:
        """Process a question, or an answer, of the node at a host."""
        match message:
            case OpeningQuery():
                self._answer(host, message.flows[:MAXIMUM_FLOWS], now)
            case OpeningReport():
                for flow, backend, acknowledged, *_ in message.openings:
                    self.on_known(flow, backend, acknowledged, now)
                for flow in message.unknown:
                    self.on_unknown(flow, host, now)

    def _answer(self, host: str, flows: list[bytes], now: float) -> None:
        found = [(flow, self.find_opening(flow, now)) for flow in flows]
        openings = [opening for _, opening in found if opening is not None]
        unknown = [flow for flow, opening in found if opening is None]
        self._sends.append(SendToHost(host, OpeningReport(openings, unknown)))
