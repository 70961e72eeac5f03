"""Encodes objects and answers in the format of the platform's store, for stand-ins and tests."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple
from urllib.parse import parse_qs, unquote, urlsplit

from beamloom.platform.store_objects import BACKEND_KEYS, OBJECTS_PATH, TERM_KEYS
from beamloom.routing.tokens.backend_fields import encode_backend_fields
from beamloom.routing.tokens.records import BackendRecord, RoutingConfiguration, encode_terms
from beamloom.settings.token_node import TokenNodeSettings
from beamloom.units import MILLISECONDS


class StoreCall(NamedTuple):
    """A call to the store. `watch` is the revision to watch from, for at most `wait_seconds`.

    `stale` allows an answer that is out of date.
    """

    kind: str
    name: str | None
    after: str
    watch: int | None
    wait_seconds: float
    stale: bool


def parse_call(target: str) -> StoreCall | None:
    """Parse the path and query of a call; None if it is not a call for objects."""
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
    """Return an object in the store's format."""
    meta = {"name": name, "revision": revision, "made": made, "finalizers": [], "deleting": False}
    return {"meta": meta, "spec": content, "status": None}


def encode_list(objects: Iterable[Mapping[str, Any]], more: bool, revision: int) -> dict[str, Any]:
    """Return the answer to a list request."""
    return {"items": list(objects), "more": more, "at": revision}


def encode_changes(changes: Iterable[tuple[bool, object]], revision: int) -> dict[str, Any]:
    """Return the answer to a watch; a change is whether the object was removed, and the object."""
    events = [{"gone": gone, "object": content} for gone, content in changes]
    return {"events": events, "at": revision}


def encode_backend(record: BackendRecord) -> dict[str, Any]:
    """Return the entry that an endpoint writes for itself."""
    return {BACKEND_KEYS[field]: value for field, value in encode_backend_fields(record).items()}


def encode_configuration(configuration: RoutingConfiguration) -> dict[str, Any]:
    """Return the configuration that an operator writes."""
    routes = []
    for route in configuration.routes:
        parts = [{"service": part.service, "weight": part.weight} for part in route.parts]
        routes.append(
            {
                "name": route.name,
                "hostname": ".".join(str(byte) for byte in route.destination[:4]),
                "path-prefix": f"/{int.from_bytes(route.destination[4:], 'big')}/",
                "split": parts,
                **{TERM_KEYS[field]: value for field, value in encode_terms(route.terms).items()},
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
    """Return a node's settings file, with the fields that stand-ins set."""
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
