"""Which figures a token node tells, and what each of them means."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING, Any

from beamloom.replication.store_view import StoreView
from beamloom.runtime.token_metrics import TokenMetricSources

if TYPE_CHECKING:
    from beamloom.runtime.token_node import TokenNode

METRICS_PATH = "/metrics"

HELP_TEXTS = {
    "packets": "Packets by what became of them.",
    "backend_store_calls": "Calls to the store for backends, by status or failure.",
    "configuration_store_calls": "Calls to the store for the configuration, by status or failure.",
    "peer_messages": "Digests, requests and answers exchanged with other nodes.",
    "peer_datagrams": "Datagrams between nodes, by what became of them.",
    "log_lines": "Log lines left out, and writes that failed.",
    "open_flows": "Flows that this node has seen and that have not ended.",
    "backends": "Backends that packets may go to, gone ones among them.",
    "configuration_version": "The version in force; -1 before the first.",
    "backends_revision": "The store's revision up to which backends are known.",
    "backends_age_seconds": "How long ago the store last confirmed the view of the backends.",
    "configuration_age_seconds": "How long ago the store last confirmed the configuration.",
    "peers": "Other nodes heard of lately.",
    "reads_store": "1 where this node reads the store for others.",
    "ready": "1 where packets may be sent to this node.",
    "opening_seconds": "From an opening packet to the first packet of the open flow.",
    "answer_seconds": "From a client's data to the first sign that it got an answer.",
    "loop_lag_seconds": "How late the event loop ran a timer.",
    "catch_up_seconds": "From hearing that a peer knows more to knowing it.",
    "list_seconds": "Lists of backends, from question to answer.",
}


def metric_sources(node: TokenNode) -> TokenMetricSources:
    """Return where the figures of a node come from."""
    core, follower = node.core, node.follower
    backend_reader, configuration_reader = follower.readers

    def exchange_counters() -> Counter[str]:
        return Counter() if core.exchange is None else core.exchange.counters

    def link_counters() -> Counter[str]:
        return Counter() if follower.link is None else follower.link.counters

    return TokenMetricSources(
        counters={
            "packets": lambda: core.router.counters,
            "backend_store_calls": lambda: backend_reader.counters,
            "configuration_store_calls": lambda: configuration_reader.counters,
            "peer_messages": exchange_counters,
            "peer_datagrams": link_counters,
            "log_lines": lambda: node.log.counters,
        },
        gauges={
            "open_flows": lambda: len(core.router.flows),
            "backends": lambda: len(core.router.backends),
            "configuration_version": lambda: core.router.routes.version,
            "backends_revision": lambda: core.backends.revision,
            "backends_age_seconds": lambda: _age(core.backends),
            "configuration_age_seconds": lambda: _age(core.configuration),
            "peers": lambda: 0 if core.exchange is None else len(core.exchange.peers),
            "reads_store": lambda: int(core.duty.reading),
            "ready": lambda: int(node.ready),
        },
        histograms={
            "opening_seconds": core.router.flows.opening_seconds,
            "answer_seconds": core.router.flows.answer_seconds,
            "loop_lag_seconds": node.loop_lag,
            "catch_up_seconds": core.catch_up_seconds,
            "list_seconds": backend_reader.list_seconds,
        },
        help_texts=HELP_TEXTS,
    )


def _age(view: StoreView[Any]) -> float | None:
    if view.confirmed_at is None:
        return None
    return asyncio.get_running_loop().time() - view.confirmed_at
