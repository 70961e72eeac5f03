"""Paths and JSON formats of the object API, shared by the client and the stand-in server."""

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
    """One object, or None if it does not exist, as of the store's `revision`."""

    revision: int
    found: StoredObject | None


@dataclass(frozen=True, slots=True)
class ChangeBatch:
    """Changes in the store's order, which bring the watch up to `revision`."""

    revision: int
    changes: tuple[StoredObject, ...]


@dataclass(frozen=True, slots=True)
class MachineListing:
    """The platform's list of live and leaving machines, which may be out of date."""

    live: tuple[Machine, ...]
    leaving: tuple[Machine, ...]


def decode(parse: Callable[[JsonObject], Decoded], body: object) -> Decoded:
    """Apply `parse` to a JSON body; raises MalformedAnswerError if its format is wrong."""
    if not isinstance(body, dict):
        raise MalformedAnswerError("the body is not a JSON object")
    try:
        return parse(body)
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
    """Parse the JSON form of one object."""
    value = body["value"]
    if value is not None and not isinstance(value, dict):
        raise ValueError("a value is neither an object nor null")
    return StoredObject(
        str(body["key"]),
        value,
        _parse_revision(body, "revision"),
        _parse_revision(body, "created_revision"),
    )


def optional_object_from_json(body: JsonObject | None) -> StoredObject | None:
    """Parse the JSON form of an object, which is null if the object does not exist."""
    return None if body is None else object_from_json(body)


def listing_from_json(body: JsonObject) -> ObjectListing:
    """Parse the response to a list request."""
    return ObjectListing(_parse_revision(body, "revision"), _parse_objects(body["objects"]))


def reading_from_json(body: JsonObject) -> ObjectReading:
    """Parse the response to the read of one object."""
    return ObjectReading(
        _parse_revision(body, "revision"), optional_object_from_json(body["object"])
    )


def batch_from_json(body: JsonObject) -> ChangeBatch:
    """Parse one line of a watch."""
    return ChangeBatch(_parse_revision(body, "revision"), _parse_objects(body["changes"]))


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
    """Parse the JSON form of a machine."""
    return Machine(
        NodeId(str(body["node_id"])),
        Zone(str(body["zone"]), str(body["region"])),
        SocketAddress.parse(body["data_address"]),
        SocketAddress.parse(body["peer_address"]),
        SocketAddress.parse(body["control_address"]),
    )


def machines_from_json(body: JsonObject) -> MachineListing:
    """Parse the lists of live and leaving machines."""
    return MachineListing(
        tuple(machine_from_json(item) for item in body["live"]),
        tuple(machine_from_json(item) for item in body["leaving"]),
    )


def revision_from_json(body: JsonObject) -> int:
    """Parse the revision in the response to a write."""
    return _parse_revision(body, "revision")


def _parse_revision(body: JsonObject, name: str) -> int:
    revision = body[name]
    if not isinstance(revision, int) or revision < 0:
        raise ValueError(f"{name} is {revision!r}, not a revision")
    return revision


def _parse_objects(items: list[JsonObject]) -> tuple[StoredObject, ...]:
    return tuple(object_from_json(item) for item in items)
