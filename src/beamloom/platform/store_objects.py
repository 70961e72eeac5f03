"""The platform's store: paths of calls, and conversion of its objects to beamloom's records."""

from __future__ import annotations

import json
import socket
from collections.abc import Callable, Mapping
from typing import Any, TypeVar

from beamloom.model.store_revision import number_of
from beamloom.platform.errors import PlatformFormatError
from beamloom.platform.packet_layout import destination_key
from beamloom.replication.object_answers import (
    EntryFormat,
    ObjectCollector,
    parse_answer,
    read_number,
)
from beamloom.replication.object_watch import ChangeBatch, ListPage, ListRequest, WatchRequest
from beamloom.routing.tokens.backend_fields import read_backend
from beamloom.routing.tokens.records import (
    BackendRecord,
    RoutePart,
    RouteRecord,
    RoutingConfiguration,
    ServiceWarmUp,
    ZoneEvacuation,
    read_terms,
)
from beamloom.routing.tokens.token import KEY_BYTES
from beamloom.units import MILLISECONDS

READINESS_PATH = "/beamloom/readiness"
OBJECTS_PATH = "/beamloom/objects/"
BACKENDS_KIND = "servers"
CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
EVACUATIONS_KIND = "evacuations"
SECRETS_KIND = "beamloom-secrets"
TOKEN_SECRET_NAME = "routing-token"

STALE_QUERY = "stale=1"

ERA_HEADER = b"store-era"
"""Sent with every answer of the store; rises each time that it loses acknowledged changes."""

MAXIMUM_ERA_DIGITS = 9
"""A store is not restored more often; more digits are malformed."""

BACKEND_KEYS = {
    "service": "service",
    "address": "address",
    "zone": "zone",
    "software": "version",
    "slots": "slots",
    "state": "state",
    "warm_up": "warmup-left-ms",
    "sequence": "sequence",
    "born_at": "born",
}
"""Keys of an endpoint's entry on the wire, by the name of the field."""
TERM_KEYS = {
    "kind": "type",
    "timeout_seconds": "timeout-ms",
    "objective_seconds": "target-latency-ms",
    "priority": "priority",
}
"""Keys of a route's terms on the wire, by the name of the field."""

ENTRY = EntryFormat(
    head=r'\{\s*(?:"gone"\s*:\s*(?:true|false)\s*,\s*"object"\s*:\s*\{\s*)?"meta"\s*:\s*',
    wrapper="object",
    members=frozenset({"meta", "spec", "status"}),
)
"""Objects in a list, and changes in the answer to a watch, as the store writes them."""

Record = TypeVar("Record")
Translate = Callable[[str, Any], Record]
"""Builds a record from an object's name and content; the content may be null."""


def read_era(headers: Mapping[bytes, bytes]) -> int | None:
    """Return the era in an answer's headers; None if it is missing or malformed."""
    value = headers.get(ERA_HEADER, b"")
    return int(value) if value.isdigit() and len(value) <= MAXIMUM_ERA_DIGITS else None


def list_path(kind: str, request: ListRequest) -> str:
    """Return the path that lists the objects of a kind."""
    query = [f"after={_percent_encode(request.after)}"] if request.after else []
    if request.stale:
        query.append(STALE_QUERY)
    return f"{OBJECTS_PATH}{kind}" + (f"?{'&'.join(query)}" if query else "")


def _percent_encode(text: str) -> str:
    """Encode a query value; the import is late, as few lists have a second page.

    Bytes that are not UTF-8 remain as they are in names that a store returned.
    """
    from urllib.parse import quote

    try:
        return quote(text, safe="", errors="surrogateescape")
    except UnicodeEncodeError:
        return quote(text, safe="", errors="surrogatepass")


def watch_path(kind: str, request: WatchRequest, wait_seconds: float) -> str:
    """Return the path that waits for changes of the objects of a kind."""
    wait = int(wait_seconds * MILLISECONDS)
    return f"{OBJECTS_PATH}{kind}?watch={number_of(request.revision)}&wait-ms={wait}"


def secret_path(*, stale: bool) -> str:
    """Return the path of the fleet's secret, an object that beamloom itself creates."""
    query = f"?{STALE_QUERY}" if stale else ""
    return f"{OBJECTS_PATH}{SECRETS_KIND}/{TOKEN_SECRET_NAME}{query}"


def new_secret_path() -> str:
    """Return the path at which the fleet's secret is created."""
    return f"{OBJECTS_PATH}{SECRETS_KIND}"


def encode_secret(secret: bytes) -> bytes:
    """Return the object that holds a secret."""
    meta = {"name": TOKEN_SECRET_NAME, "finalizers": []}
    return json.dumps({"meta": meta, "spec": {"key": secret.hex()}, "status": None}).encode()


def read_secret(body: bytes) -> bytes:
    """Parse the object that holds a secret; raises PlatformFormatError."""
    try:
        key = bytes.fromhex(json.loads(body)["spec"]["key"])
    except (KeyError, TypeError, ValueError, RecursionError) as error:
        raise PlatformFormatError(f"the fleet's secret cannot be read: {error!r}") from error
    if len(key) != KEY_BYTES:
        raise PlatformFormatError(f"the fleet's secret has {len(key)} bytes instead of {KEY_BYTES}")
    return key


def read_page(body: bytes, era: int, translate: Translate[Record]) -> ListPage[Record]:
    """Parse the answer to a list; only faults beyond single objects raise PlatformFormatError.

    The page ends at an entry that is not JSON.
    """
    objects = ObjectCollector(translate, era)
    try:
        answer = parse_answer(body, "items", ENTRY)
        for entry in answer.entries:
            _add_object(objects, entry)
        objects.end(answer)
        return objects.page(answer.document["at"], more=bool(answer.document["more"]))
    except (KeyError, TypeError, ValueError) as error:
        raise PlatformFormatError(f"a list of the store cannot be read: {error!r}") from error


def read_changes(body: bytes, era: int, translate: Translate[Record]) -> ChangeBatch[Record]:
    """Parse the answer to a watch; only faults beyond single objects raise PlatformFormatError.

    It is cut at an entry that is not JSON.
    """
    objects = ObjectCollector(translate, era)
    try:
        answer = parse_answer(body, "events", ENTRY)
        for event in answer.entries:
            if isinstance(event, dict):
                _add_object(objects, event.get("object"), gone=bool(event.get("gone")))
            else:
                _add_object(objects, event)
        objects.end(answer)
        return objects.batch(answer.document["at"], len(body))
    except (KeyError, TypeError, ValueError) as error:
        raise PlatformFormatError(f"changes of the store cannot be read: {error!r}") from error


def _add_object(objects: ObjectCollector[Record], entry: object, *, gone: bool = False) -> None:
    stored = entry if isinstance(entry, dict) else {}
    meta = stored["meta"] if isinstance(stored.get("meta"), dict) else {}
    content = stored.get("spec") or stored.get("status")
    objects.add(meta.get("name"), meta.get("revision"), content, gone=gone)


def translate_backend(name: str, entry: Mapping[str, Any]) -> BackendRecord:
    """Convert an endpoint's entry; any program may have written it."""
    return read_backend(
        name, {field: entry[key] for field, key in BACKEND_KEYS.items() if key in entry}
    )


def translate_configuration(name: str, entry: Mapping[str, Any]) -> RoutingConfiguration:
    """Convert the operator's configuration; raises ValueError for any other object."""
    if name != CONFIGURATION_NAME:
        raise PlatformFormatError("it is not the operator's configuration; remove it")
    limits = entry.get("limits", {})
    return RoutingConfiguration(
        version=read_number(entry["version"]),
        routes=tuple(_translate_route(route) for route in entry["routes"]),
        idle_seconds=float(limits.get("idle-timeout-ms", 15_000)) / MILLISECONDS,
        warm_ups=tuple(map(_translate_warm_up, entry.get("services", ()))),
    )


def _translate_warm_up(service: Mapping[str, Any]) -> ServiceWarmUp:
    seconds, rate = service.get("warmup-s", 0), service.get("warmup-per-s", 0)
    return ServiceWarmUp(str(service["name"]), float(seconds), float(rate))


def translate_evacuation(name: str, _entry: Mapping[str, Any] | None) -> ZoneEvacuation:
    """Convert a request to evacuate a zone: its name is the zone's, its content is ignored."""
    return ZoneEvacuation(name)


def _translate_route(route: Mapping[str, Any]) -> RouteRecord:
    address = socket.inet_aton(route["hostname"])
    port = int(str(route["path-prefix"]).strip("/"))
    split = route.get("split") or [{"service": route.get("service"), "weight": 1}]
    parts = tuple(RoutePart(str(part["service"]), float(part["weight"])) for part in split)
    terms = read_terms({field: route[key] for field, key in TERM_KEYS.items() if key in route})
    return RouteRecord(str(route["name"]), destination_key(address, port), parts, terms)
