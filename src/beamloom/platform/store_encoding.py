"""Objects and answers of the platform's store as the store itself writes them; for stand-ins."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple
from urllib.parse import parse_qs, unquote, urlsplit

from beamloom.platform.store_objects import BACKEND_KEYS, OBJECTS_PATH, TERM_KEYS
from beamloom.routing.tokens.backend_fields import plain_backend
from beamloom.routing.tokens.records import BackendRecord, RoutingConfiguration, plain_terms
from beamloom.settings.token_node import TokenNodeSettings
from beamloom.units import MILLISECONDS


class StoreCall(NamedTuple):
    """A call to the store. `watch` is the revision to watch from; `wait_seconds` goes with it.

    `stale` asks for an answer that may be old.
    """

    kind: str
    name: str | None
    after: str
    watch: int | None
    wait_seconds: float
    stale: bool


def parse_call(target: str) -> StoreCall | None:
    """Read path and query of a call; None where it is no call for objects."""
    parts = urlsplit(target)
    if not parts.path.startswith(OBJECTS_PATH):
        return None
    kind, _, name = unquote(parts.path[len(OBJECTS_PATH) :]).partition("/")
    query = {key: values[0] for key, values in parse_qs(parts.query).items()}
    watch = int(query["watch"]) if "watch" in query else None
    wait = int(query.get("wait-ms", 0)) / MILLISECONDS
    stale = query.get("stale") == "1"
    return StoreCall(kind, name or None, query.get("after", ""), watch, wait, stale)


def encode_object(name: str, revision: int, made: int, content: object) -> dict[str, Any]:
    """Return an object as the store shows it."""
    meta = {"name": name, "revision": revision, "made": made, "finalizers": [], "deleting": False}
    return {"meta": meta, "spec": content, "status": None}


def encode_list(objects: Iterable[Mapping[str, Any]], more: bool, revision: int) -> dict[str, Any]:
    """Return the answer to a list."""
    return {"items": list(objects), "more": more, "at": revision}


def encode_changes(changes: Iterable[tuple[bool, object]], revision: int) -> dict[str, Any]:
    """Return the answer to a watch; each change is whether the object has gone, and the object."""
    events = [{"gone": gone, "object": content} for gone, content in changes]
    return {"events": events, "at": revision}


def encode_backend(record: BackendRecord) -> dict[str, Any]:
    """Return the entry by which an endpoint announces itself."""
    return {BACKEND_KEYS[field]: value for field, value in plain_backend(record).items()}


def encode_configuration(configuration: RoutingConfiguration) -> dict[str, Any]:
    """Return what an operator writes."""
    routes = []
    for route in configuration.routes:
        parts = [{"service": part.service, "weight": part.weight} for part in route.parts]
        routes.append(
            {
                "name": route.name,
                "hostname": ".".join(str(byte) for byte in route.destination[:4]),
                "path-prefix": f"/{int.from_bytes(route.destination[4:], 'big')}/",
                "split": parts,
                **{TERM_KEYS[field]: value for field, value in plain_terms(route.terms).items()},
            }
        )
    return {
        "version": configuration.version,
        "routes": routes,
        "services": [
            {
                "name": warm_up.service,
                "warmup-s": warm_up.seconds,
                "warmup-per-s": warm_up.requests_per_second,
            }
            for warm_up in configuration.warm_ups
        ],
        "limits": {"idle-timeout-ms": int(configuration.idle_seconds * MILLISECONDS)},
    }


def encode_settings(settings: TokenNodeSettings) -> str:
    """Return the settings file of a node, as far as a stand-in gives it."""
    seeds = ", ".join(f'"{seed}:1"' for seed in settings.seeds)
    zones = "\n".join(f'"{zone}" = "region"' for zone in settings.zones)
    seconds, limits = settings.evacuate_seconds, settings.cold_starts
    evacuate = "" if seconds is None else f"evacuate-ms = {seconds * MILLISECONDS}"
    warm_up = "" if limits is None else "warmup-excess = {}\nwarmup-slack = {}".format(*limits)
    return f"""
node-name = "{settings.node}"
role = "balancer"
ip = "{settings.host}"
zone = "{settings.zone}"
heartbeat-ms = {settings.heartbeat_seconds * MILLISECONDS}
port-range = [{settings.peer_port}, {settings.peer_port + 10}]
seeds = [{seeds}]
[bind-addrs]
datagram-addr = "{settings.packets.text}"
readiness = "{settings.readiness.text}"
[bounds]
grace-s = {settings.stop_seconds}
flow-max-s = {settings.flow_seconds}
config-apply-ms = {settings.apply_seconds * MILLISECONDS}
drain-ms = {settings.drain_seconds * MILLISECONDS}
contact-ms = {settings.contact_seconds * MILLISECONDS}
{evacuate}
{warm_up}
[limits]
cpu-share = {settings.capacity.cores}
link-mbps = {settings.capacity.link_megabits}
memory-mb = {settings.capacity.memory_megabytes}
max-fds = {settings.capacity.descriptors}
[zones]
{zones}
[platform]
address = "{settings.store.text}"
"""
