"""`beamloom nodes`: the state of a fleet's token nodes, read from their metrics endpoints."""

from __future__ import annotations

import urllib.request
from collections.abc import Iterable, Mapping
from concurrent.futures import ThreadPoolExecutor
from typing import Annotated, NamedTuple

from cyclopts import App, Parameter
from prometheus_client.parser import text_string_to_metric_families

from beamloom.cli.exit_status import ExitStatus
from beamloom.cli.output import FormatFlag, OutputFormat, Row, write_rows
from beamloom.telemetry.counters import NAME_PREFIX

METRICS_PATH = "/metrics"
REQUEST_TIMEOUT_SECONDS = 2.0
PARALLEL_REQUESTS = 16
COLUMNS = (
    "node",
    "state",
    "version",
    "backends",
    "down",
    "evacuated zones",
    "view age s",
    "reads",
    "peers",
    "flows",
    "refused",
    "dropped",
    "trouble",
)
STALE_SECONDS = 4.0
"""Age from which a view of the backends counts as not confirmed."""

Samples = Mapping[str, float]


class NodeState(NamedTuple):
    """Samples of one node by metric name and, after a colon, labels.

    `failure` is the reason if they could not be read.
    """

    address: str
    samples: Samples
    failure: str = ""


def register(app: App) -> None:
    """Add the command."""
    app.command(nodes)


def nodes(
    *addresses: Annotated[str, Parameter(help="Metrics addresses, HOST:PORT, one for each node.")],
    output_format: FormatFlag = OutputFormat.TABLE,
) -> ExitStatus:
    """Show the state of token nodes and what is wrong with them.

    Exit status: 0 no node has trouble, 1 at least one has.
    """
    with ThreadPoolExecutor(PARALLEL_REQUESTS) as pool:
        states = list(pool.map(fetch, addresses))
    rows = [describe(state, newest_version(states)) for state in states]
    write_rows(COLUMNS, rows, output_format)
    return ExitStatus.FAILED if any(row["trouble"] for row in rows) else ExitStatus.SUCCESS


def fetch(address: str) -> NodeState:
    """Read the samples of the node at a metrics address."""
    try:
        with urllib.request.urlopen(
            f"http://{address}{METRICS_PATH}", timeout=REQUEST_TIMEOUT_SECONDS
        ) as answer:
            return NodeState(address, read_samples(answer.read().decode()))
    except (OSError, ValueError) as error:
        return NodeState(address, {}, str(error))


def read_samples(text: str) -> Samples:
    """Return the samples of a metrics page; raises ValueError if it cannot be parsed."""
    samples: dict[str, float] = {}
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            label = ":".join(sample.labels.values())
            name = sample.name.removeprefix(NAME_PREFIX)
            samples[f"{name}:{label}" if label else name] = sample.value
    return samples


def newest_version(states: Iterable[NodeState]) -> float:
    """Return the newest configuration version in force on any node, or -1.0 if unknown."""
    return max((state.samples.get("configuration_version", -1.0) for state in states), default=-1.0)


def describe(state: NodeState, newest: float) -> Row:
    """Return a node's row; `newest` is the newest version in force anywhere."""
    samples = state.samples
    ready = samples.get("ready") == 1.0
    age = samples.get("backends_age_seconds")
    return {
        "node": state.address,
        "state": "unreachable" if state.failure else "ready" if ready else "not ready",
        "version": _to_int(samples.get("configuration_version")),
        "backends": _to_int(samples.get("backends")),
        "down": _to_int(samples.get("backends_down")),
        "evacuated zones": _to_int(samples.get("evacuated_zones")),
        "view age s": None if age is None else round(age, 1),
        "reads": "yes" if samples.get("reads_store") == 1.0 else "",
        "peers": _to_int(samples.get("peers")),
        "flows": _to_int(samples.get("open_flows")),
        "refused": _sum_of(samples, "packets_total:refused_"),
        "dropped": _sum_of(samples, "packets_total:dropped_"),
        "trouble": ", ".join(_find_troubles(state, ready, newest)),
    }


def _find_troubles(state: NodeState, ready: bool, newest: float) -> list[str]:
    if state.failure:
        return [state.failure]
    samples = state.samples
    found = [] if ready else ["takes no packets"]
    if samples.get("configuration_version", -1.0) < newest:
        found.append(f"version {newest:g} is in force elsewhere")
    age = samples.get("backends_age_seconds")
    if age is None or age > STALE_SECONDS:
        found.append("its view of the backends is not confirmed")
    if samples.get("peers") == 0.0:
        found.append("has no peers")
    return found


def _to_int(value: float | None) -> int | None:
    return None if value is None else int(value)


def _sum_of(samples: Samples, prefix: str) -> int:
    return int(sum(value for name, value in samples.items() if name.startswith(prefix)))
