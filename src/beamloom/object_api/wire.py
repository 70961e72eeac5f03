"""Shapes of the platform's HTTP/JSON API, shared by its client and by its stand-in."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, TypeVar

from beamloom.model.addresses import SocketAddress
from beamloom.model.machines import Machine, NodeId
from beamloom.model.zones import Zone
from beamloom.object_api.errors import MalformedAnswerError
from beamloom.protocol.events import StoredObject

JsonObject = dict[str, Any]
Decoded = TypeVar("Decoded")

OBJECTS_PATH = "/v1/objects"
WATCH_PATH = "/v1/watch"
MACHINES_PATH = "/v1/machines"
FAULTS_PATH = "/v1/faults"


@dataclass(frozen=True, slots=True)
class ObjectListing:
    """Every object under a prefix, sorted by key, as of the store's `revision`."""

    revision: int
    objects: tuple[StoredObject, ...]


@dataclass(frozen=True, slots=True)
class ObjectReading:
    """One object (None: there is none) as of the store's `revision`."""

    revision: int
    found: StoredObject | None


@dataclass(frozen=True, slots=True)
class ChangeBatch:
    """Changes in store order; all changes up to the store's `revision` have been delivered."""

    revision: int
    changes: tuple[StoredObject, ...]


@dataclass(frozen=True, slots=True)
class MachineListing:
    """The platform's lagging view of live and leaving machines, each sorted by name."""

    live: tuple[Machine, ...]
    leaving: tuple[Machine, ...]


def decode(reader: Callable[[JsonObject], Decoded], body: object) -> Decoded:
    """Apply `reader` to a JSON body; raises MalformedAnswerError where the shape is wrong."""
    if not isinstance(body, dict):
        raise MalformedAnswerError("the body is not a JSON object")
    try:
        return reader(body)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise MalformedAnswerError(f"{type(error).__name__}: {error}") from error


def object_to_json(stored: StoredObject) -> JsonObject:
    """Return the JSON form of one object."""
    return {
        "key": stored.key,
        "value": stored.value,
        "revision": stored.revision,
        "created_revision": stored.created_revision,
    }


def object_from_json(body: JsonObject) -> StoredObject:
    """Read the JSON form of one object."""
    value = body["value"]
    if value is not None and not isinstance(value, dict):
        raise ValueError("a value is neither an object nor null")
    return StoredObject(
        str(body["key"]), value, _revision(body, "revision"), _revision(body, "created_revision")
    )


def optional_object_from_json(body: JsonObject | None) -> StoredObject | None:
    """Read the JSON form of an object that may not exist (null)."""
    return None if body is None else object_from_json(body)


def listing_from_json(body: JsonObject) -> ObjectListing:
    """Read the answer to a listing."""
    return ObjectListing(_revision(body, "revision"), _objects(body["objects"]))


def reading_from_json(body: JsonObject) -> ObjectReading:
    """Read the answer to the reading of one object."""
    return ObjectReading(_revision(body, "revision"), optional_object_from_json(body["object"]))


def batch_from_json(body: JsonObject) -> ChangeBatch:
    """Read one line of a watch."""
    return ChangeBatch(_revision(body, "revision"), _objects(body["changes"]))


def machine_to_json(machine: Machine) -> JsonObject:
    """Return the JSON form of a machine."""
    return {
        "node_id": machine.node_id,
        "zone": machine.zone.name,
        "region": machine.zone.region,
        "data_address": str(machine.data_address),
        "peer_address": str(machine.peer_address),
        "control_address": str(machine.control_address),
    }


def machine_from_json(body: JsonObject) -> Machine:
    """Read the JSON form of a machine."""
    return Machine(
        NodeId(str(body["node_id"])),
        Zone(str(body["zone"]), str(body["region"])),
        SocketAddress.parse(body["data_address"]),
        SocketAddress.parse(body["peer_address"]),
        SocketAddress.parse(body["control_address"]),
    )


def machines_from_json(body: JsonObject) -> MachineListing:
    """Read the lists of live and leaving machines."""
    return MachineListing(
        tuple(machine_from_json(item) for item in body["live"]),
        tuple(machine_from_json(item) for item in body["leaving"]),
    )


def revision_from_json(body: JsonObject) -> int:
    """Read the revision that an answer names."""
    return _revision(body, "revision")


def _revision(body: JsonObject, name: str) -> int:
    revision = body[name]
    if not isinstance(revision, int) or revision < 0:
        raise ValueError(f"{name} is {revision!r}, not a revision")
    return revision


def _objects(items: list[JsonObject]) -> tuple[StoredObject, ...]:
    return tuple(object_from_json(item) for item in items)
