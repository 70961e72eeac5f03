"""Metrics of one node, read from snapshots of its components at each scrape."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import asdict, dataclass, field

from beamloom.node.core import NodeCore
from beamloom.replication.backend_status.watchers import BackendWatchersStatus
from beamloom.replication.budget import BudgetSnapshot
from beamloom.runtime.admission_metrics import read_tenant_metrics
from beamloom.runtime.balancer import BalancerProcess
from beamloom.telemetry.counters import Metric, MetricKind, Sample, counter, gauge, labelled_metric

Counts = Mapping[str, int]

REPLICA_COUNTERS = {
    "applied_changes": "Configuration changes applied.",
    "duplicate_changes": "Configuration changes that were known already.",
    "malformed_changes": "Configuration changes that could not be read.",
    "pulls": "Requests to peers for changes.",
    "snapshots_loaded": "Configuration snapshots loaded.",
    "corrupt_snapshots": "Configuration snapshots refused as corrupt.",
}

GOSSIP_COUNTERS = {
    "pushed_records": "Statuses of backends sent on at once.",
    "pulled_records": "Statuses of backends that peers' digests brought.",
    "deferred": "Messages of backend status held back by their rate limit.",
}

ROUTING_GAUGES = {
    "flows": "Flows in this node's table.",
    "partitions_owned": "Partitions that this node decides.",
    "partitions_awaited": "Partitions whose records are still coming.",
    "partitions_frozen": "Partitions that are being handed over.",
    "exceptions": "Flows that are not where the base generation places them.",
    "replicas_held": "Records kept for other homes.",
    "records_waiting": "Records that wait for the control budget or an acknowledgement.",
    "bindings_waiting": "First packets held until their binding is replicated.",
    "deadlines": "Flows that this node will end at their deadline.",
}


@dataclass(slots=True)
class NodeMetrics:
    """Reads one node; `extra` maps metrics of the adapters to their counts by label `kind`."""

    balancer: BalancerProcess
    extra: dict[str, Counts] = field(default_factory=dict)

    def read(self) -> Iterator[Metric]:
        """Yield every metric with its current value."""
        core = self.balancer.core
        yield gauge("ready", "Whether packets may be sent to this node.", core.ready)
        yield from _packets(core)
        yield from _members(core)
        yield from _configuration(core)
        yield from read_tenant_metrics(core)
        yield from _backends(core)
        yield from _budget(core.channel.snapshot())
        yield from self._process()

    def _process(self) -> Iterator[Metric]:
        faults = {source.value: count for source, count in self.balancer.faults.counts.items()}
        yield _by_kind("faults", "Exceptions that escaped, by where.", faults, "source")
        unsent = {local.value: count for local, count in self.balancer.unsent_datagrams.items()}
        yield _by_kind("unsent_datagrams", "Datagrams the kernel refused.", unsent, "socket")
        for name, counts in self.extra.items():
            yield _by_kind(name, f"Totals of {name.replace('_', ' ')}, by kind.", counts)


def _packets(core: NodeCore) -> Iterator[Metric]:
    routing = core.forwarder.snapshot()
    yield _by_kind("packets", "Packets and flow events, by what became of them.", routing.counters)
    for name, help_text in ROUTING_GAUGES.items():
        yield gauge(name, help_text, getattr(routing, name))
    yield _by_kind(
        "control_datagrams_dropped", "Control input not taken, by reason.", core.channel.counters
    )


def _members(core: NodeCore) -> Iterator[Metric]:
    snapshot = core.membership.snapshot()
    states = {state.name.lower(): n for state, n in snapshot.members_by_state.items()}
    yield labelled_metric("members", MetricKind.GAUGE, "Members by state.", "state", states)
    yield gauge("member_health_score", "0 when the node trusts itself.", snapshot.health_score)
    yield gauge("member_synchronized", "Whether the member list is whole.", snapshot.synchronized)
    events = asdict(snapshot.counters)
    yield _by_kind("membership_events", "Events of membership, by kind.", events)


def _configuration(core: NodeCore) -> Iterator[Metric]:
    replica = core.replica.snapshot()
    election = core.election.snapshot()
    status = core.fleet_status.snapshot()
    configuration = core.configuration.configuration
    yield gauge("revision_in_force", "Newest revision in force here.", replica.applied_revision)
    yield gauge("configuration_objects", "Objects in force here.", replica.object_count)
    yield gauge("configuration_pending", "Changes that wait for others.", replica.pending_changes)
    problems = len(configuration.problems)
    yield gauge("configuration_problems", "Stored objects that are not in force.", problems)
    yield gauge("services", "Services in force.", len(configuration.services))
    for name, help_text in REPLICA_COUNTERS.items():
        yield counter(f"configuration_{name}", help_text, getattr(replica, name))
    yield gauge("reader", "Whether this node reads the store.", election.is_reader)
    yield counter("store_watch_failures", "Watches that ended.", election.watch_failures)
    yield counter("store_listings", "Whole listings of the store.", election.listings)
    lapsed = sum(lease.times_lapsed for lease in election.leases)
    yield counter("reader_leases_lapsed", "Leases that lapsed while held.", lapsed)
    yield gauge("fleet_status_reports", "Members whose revision is known.", status.known_reports)
    yield counter("fleet_status_questions", "Questions where a revision is.", status.questions)


def _backends(core: NodeCore) -> Iterator[Metric]:
    watchers = core.watchers.snapshot()
    yield gauge("backends_watched", "Backends that this node checks.", watchers.watched)
    yield gauge("backend_records", "Backends whose status is known here.", watchers.records)
    yield gauge(
        "backend_checks_distrusted",
        "Whether this node's own checks all fail, so that it says nothing of backends.",
        watchers.suspects_local_fault,
    )
    yield counter(
        "backend_records_unknown",
        "Statuses received of backends that are not in force here.",
        watchers.unknown_records,
    )
    yield from _observed_backends(watchers)
    gossip = watchers.gossip
    yield gauge("backend_status_queued", "Statuses that wait to be sent on.", gossip.queued)
    for name, help_text in GOSSIP_COUNTERS.items():
        yield counter(f"backend_status_{name}", help_text, getattr(gossip, name))


def _observed_backends(watchers: BackendWatchersStatus) -> Iterator[Metric]:
    yield counter(
        "backend_refusals_seen",
        "Connections that backends refused to flows of this home.",
        watchers.refusals,
    )
    yield counter(
        "backend_answer_times_seen",
        "Answer times taken from flows of this home.",
        watchers.answer_times,
    )
    yield gauge(
        "backend_reports_contradicted",
        "Backends whose load report has no say at this home.",
        watchers.contradicted,
    )


def _budget(snapshot: BudgetSnapshot) -> Iterator[Metric]:
    yield counter("control_bytes_sent", "Control bytes sent, headers too.", snapshot.sent_bytes)
    yield counter("control_datagrams_sent", "Control datagrams sent.", snapshot.sent_datagrams)
    yield gauge("control_bytes_available", "Bytes that may go now.", snapshot.available_bytes)
    yield counter(
        "control_messages_oversized", "Messages too large to send.", snapshot.oversized_messages
    )
    queues = {priority.name.lower(): item for priority, item in snapshot.priorities.items()}
    for name, kind, help_text in (
        ("queued_messages", MetricKind.GAUGE, "Control messages that wait."),
        ("queued_bytes", MetricKind.GAUGE, "Control bytes that wait."),
        ("longest_delay", MetricKind.GAUGE, "Longest wait of a control message, in seconds."),
        ("sent_messages", MetricKind.COUNTER, "Control messages sent."),
        ("delayed_messages", MetricKind.COUNTER, "Control messages delayed by the budget."),
        ("delayed_bytes", MetricKind.COUNTER, "Control bytes delayed by the budget."),
        ("coalesced_messages", MetricKind.COUNTER, "Messages replaced by newer ones."),
        ("dropped_messages", MetricKind.COUNTER, "Control messages dropped, cache hints only."),
    ):
        values = {priority: float(getattr(item, name)) for priority, item in queues.items()}
        yield labelled_metric(f"control_{name}", kind, help_text, "priority", values)


def _by_kind(name: str, help_text: str, counts: Counts, label: str = "kind") -> Metric:
    samples = tuple(Sample(counts[kind], (str(kind),)) for kind in sorted(counts))
    return Metric(name, MetricKind.COUNTER, help_text, samples, (label,))
