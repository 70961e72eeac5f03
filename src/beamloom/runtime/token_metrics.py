"""The metrics of a token node and their help texts; imported at the first scrape."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Iterator
from typing import TYPE_CHECKING

from beamloom.model.store_revision import number_of
from beamloom.telemetry.counters import Metric, MetricKind, gauge, histogram, labelled_metric

if TYPE_CHECKING:
    from beamloom.runtime.token_node import TokenNode

HELP_TEXTS = {
    "packets": "Packets by what became of them.",
    "backend_store_calls": "Calls to the store for backends, by status or failure.",
    "configuration_store_calls": "Calls to the store for the configuration, by status or failure.",
    "evacuation_store_calls": "Calls to the store for evacuations, by status or failure.",
    "evacuations": "Evacuations heard of that were not taken, by why.",
    "backend_checks": "Backends by why they were suspected, and by what a check found.",
    "store_calls_for": "Calls to the store for objects, by what each was for.",
    "silent_connections": "Connections given up as silent, by kind and what showed it.",
    "peer_messages": "Digests, requests and answers exchanged with other nodes.",
    "peer_datagrams": "Datagrams between nodes, by what became of them.",
    "peer_sent_bytes": "Bytes sent to other nodes, by kind of message.",
    "own_limits": "Changes of what this node gives up near a limit, by new state and limit.",
    "own_limits_state": "0: serves; 1: has given up roles; 2: answers peers nothing either.",
    "log_lines": "Log lines left out, and writes that failed.",
    "open_flows": "Flows that this node has seen and that have not ended.",
    "backends": "Backends that packets may go to, gone ones among them.",
    "configuration_version": "The version in force; -1 before the first.",
    "backends_revision": "The store's revision up to which backends are known.",
    "configuration_revision": "The store's revision up to which the configuration is known.",
    "store_era": "The newest era of the store that answered this node; none before the first.",
    "backends_age_seconds": "How long ago the store last confirmed the view of the backends.",
    "configuration_age_seconds": "How long ago the store last confirmed the configuration.",
    "backends_down": "Backends that a check found dead and that were not reached since.",
    "evacuated_zones": "Zones whose backends get no new flows, as operators evacuate them.",
    "evacuations_age_seconds": "How long ago the store last confirmed the evacuations.",
    "peers": "Other nodes heard of lately.",
    "reads_store": "1 where this node reads the store for others.",
    "ready": "1 where packets may be sent to this node.",
    "opening_seconds": "From an opening packet to the first packet of the open flow.",
    "answer_seconds": "From a client's data to the first sign that it got an answer.",
    "loop_lag_seconds": "How late the event loop ran a timer.",
    "catch_up_seconds": "From hearing that a peer knows more to knowing it.",
    "start_seconds": "From the beginning of the process to each moment of its start.",
    "starts": "Starts told, by how they ended: at most one for each process.",
    "start_ready_seconds": "From the beginning of the process to its readiness.",
    "start_forwarded_seconds": "From the beginning of the process to the first packet forwarded.",
    "start_processor_seconds": "Processor time used when the first packet was forwarded.",
    "list_seconds": "Lists of backends, from question to answer.",
}


def read_metrics(node: TokenNode) -> Iterator[Metric]:
    """Yield the current metrics of a node."""
    for name, counts in _counters(node).items():
        yield labelled_metric(name, MetricKind.COUNTER, HELP_TEXTS[name], "event", counts)
    moments: dict[str, float] = {str(name): at for name, at in node.start.timeline.seconds.items()}
    yield labelled_metric(
        "start_seconds", MetricKind.GAUGE, HELP_TEXTS["start_seconds"], "moment", moments
    )
    for name, value in _gauges(node).items():
        if value is not None:
            yield gauge(name, HELP_TEXTS[name], value)
    core, follower = node.core, node.follower
    for name, latencies in (
        ("opening_seconds", core.router.flows.opening_seconds),
        ("answer_seconds", core.router.flows.answer_seconds),
        ("loop_lag_seconds", node.loop_lag),
        ("catch_up_seconds", core.catch_up_seconds),
        ("list_seconds", follower.readers[0].list_seconds),
        ("start_ready_seconds", node.start.timeline.ready_seconds),
        ("start_forwarded_seconds", node.start.timeline.forwarded_seconds),
        ("start_processor_seconds", node.start.timeline.forwarded_processor_seconds),
    ):
        yield histogram(name, HELP_TEXTS[name], latencies)


def _counters(node: TokenNode) -> dict[str, Counter[str]]:
    core, follower = node.core, node.follower
    backend_reader, configuration_reader, *others = follower.readers
    evacuation_calls = others[0].counters if others else Counter()
    purposes: Counter[str] = sum((reader.purposes for reader in follower.readers), Counter())
    return {
        "packets": core.router.counters,
        "backend_store_calls": backend_reader.counters,
        "configuration_store_calls": configuration_reader.counters,
        "evacuation_store_calls": evacuation_calls,
        "evacuations": Counter() if core.evacuations is None else core.evacuations.counters,
        "backend_checks": core.checks.counters,
        "store_calls_for": purposes,
        "silent_connections": _silent_connections(node),
        "peer_messages": Counter() if core.exchange is None else core.exchange.counters,
        "peer_datagrams": Counter() if follower.link is None else follower.link.counters,
        "peer_sent_bytes": Counter() if follower.link is None else follower.link.sent_bytes,
        "own_limits": node.limit_watch.counters,
        "log_lines": node.log.counters,
        "starts": Counter([outcome] if (outcome := node.start.timeline.outcome) else ()),
    }


def _silent_connections(node: TokenNode) -> Counter[str]:
    counts = Counter(node.follower.silent_connections)
    for responder in node.responders:
        for cause, count in responder.counters.items():
            counts[f"{responder.kind.value}_{cause}"] += count
    return counts


def _gauges(node: TokenNode) -> dict[str, float | None]:
    core = node.core
    evacuations = core.evacuations
    now = asyncio.get_running_loop().time()
    return {
        "open_flows": len(core.router.flows),
        "backends": len(core.router.backends),
        "configuration_version": core.router.routes.version,
        "backends_revision": _store_number(core.backends.revision),
        "configuration_revision": _store_number(core.configuration.revision),
        "store_era": _newest_era(node),
        "backends_age_seconds": core.backends.age(now),
        "configuration_age_seconds": core.configuration.age(now),
        "backends_down": sum(item.down_since is not None for item in core.router.backends.all()),
        "evacuated_zones": None if evacuations is None else len(evacuations.evacuated_since),
        "evacuations_age_seconds": None if evacuations is None else evacuations.view.age(now),
        "peers": 0 if core.exchange is None else len(core.exchange.peers),
        "reads_store": int(core.role.reading),
        "own_limits_state": node.limit_watch.level,
        "ready": int(node.ready),
    }


def _store_number(revision: int | None) -> int | None:
    """Return a revision's number in the store, without its era."""
    return None if revision is None else number_of(revision)


def _newest_era(node: TokenNode) -> int | None:
    eras = [reader.era for reader in node.follower.readers if reader.era is not None]
    return max(eras, default=None)
