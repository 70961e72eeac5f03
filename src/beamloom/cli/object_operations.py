"""Store operations behind the commands on tenants, services and backends."""

from __future__ import annotations

from typing import Any

from beamloom.cli.errors import ObjectInUseError
from beamloom.cli.output import OutputFormat, write_json, write_line, write_rows
from beamloom.cli.platform_access import PlatformAccess, PlatformSession, open_platform
from beamloom.cli.waiting import Waiter, report_in_force
from beamloom.model.contracts import BackendAdministrativeState
from beamloom.object_api.errors import ObjectNotFoundError
from beamloom.object_api.operator import AcceptedWrite
from beamloom.protocol.events import StoredObject
from beamloom.settings.configuration import Configuration
from beamloom.settings.errors import MissingParentError
from beamloom.settings.stored_objects import DEFAULT_WEIGHT, ObjectKey, ObjectKind

Value = dict[str, Any]

COLUMNS = {
    ObjectKind.TENANT: ("name", "revision"),
    ObjectKind.SERVICE: ("name", "protocol", "ip", "port", "revision"),
    ObjectKind.BACKEND: ("name", "address", "health", "zone", "weight", "state", "revision"),
}
CHILDREN = {ObjectKind.TENANT: ObjectKind.SERVICE, ObjectKind.SERVICE: ObjectKind.BACKEND}
BACKEND_DEFAULTS = {"weight": DEFAULT_WEIGHT, "state": BackendAdministrativeState.ACTIVE.value}


def object_key(kind: ObjectKind, name: str) -> str:
    """Return an object's key; raises UnknownObjectKeyError where the name cannot be one."""
    key = f"{kind}/{name}"
    ObjectKey.parse(key)
    return key


async def create_object(
    kind: ObjectKind,
    name: str,
    value: Value,
    access: PlatformAccess | None,
    waiter: Waiter | None,
) -> None:
    """Create an object after checking that it can take effect.

    Raises SettingsError and PlatformError.
    """
    key = object_key(kind, name)
    async with open_platform(access) as session:
        await _require_valid(session, key, value)
        accepted = await session.writer.create_object(key, value)
    await report_accepted(f"{key} created", accepted, waiter)


async def _require_valid(session: PlatformSession, key: str, value: Value) -> None:
    """Raise the error that would prevent an object from taking effect in the current store."""
    parent = _parent_key(key)
    listing = await session.client.list_objects()
    if parent is not None and all(stored.key != parent for stored in listing.objects):
        raise MissingParentError(f"there is no {parent}", "check the name or create it first")
    if any(stored.key == key for stored in listing.objects):
        return  # The writer reports the existing object.
    revision = listing.revision + 1
    candidate = StoredObject(key, value, revision, revision)
    for problem in Configuration.load([*listing.objects, candidate]).problems:
        if problem.key == key:
            raise problem.error


def _parent_key(key: str) -> str | None:
    kind, *names = key.split("/")
    for parent, child in CHILDREN.items():
        if child == kind:
            return "/".join((parent, *names[:-1]))
    return None


async def delete_object(
    kind: ObjectKind,
    name: str,
    access: PlatformAccess | None,
    waiter: Waiter | None,
    force: bool = False,
) -> None:
    """Delete an object; raises PlatformError and, without `force`, ObjectInUseError."""
    key = object_key(kind, name)
    async with open_platform(access) as session:
        if not force:
            await _require_unused(session, kind, key, name)
        accepted = await session.writer.delete_object(key)
    await report_accepted(f"{key} deleted", accepted, waiter)


async def _require_unused(session: PlatformSession, kind: ObjectKind, key: str, name: str) -> None:
    if kind is ObjectKind.BACKEND:
        found = (await session.client.read(key)).found
        state = (found.value or {}).get("state") if found is not None else None
        if found is not None and state != BackendAdministrativeState.DRAINING:
            remedy = (
                f"run `beamloom backend drain {name}` and wait until its flows have ended, "
                "or give --force"
            )
            raise ObjectInUseError(key, "it is not draining and may have flows", remedy)
        return
    child = CHILDREN[kind]
    listing = await session.client.list_objects(f"{child}/{name}/")
    if listing.objects:
        reason = f"it has {len(listing.objects)} {child} objects"
        raise ObjectInUseError(key, reason, "delete these first")


async def list_objects(
    kind: ObjectKind, parent: str, access: PlatformAccess | None, output_format: OutputFormat
) -> None:
    """Print the objects of a kind below a parent, or all of them if the parent is empty."""
    prefix = f"{kind}/{parent}/" if parent else f"{kind}/"
    async with open_platform(access) as session:
        listing = await session.client.list_objects(prefix)
    objects = sorted(listing.objects, key=lambda stored: stored.key)
    write_rows(COLUMNS[kind], [_row(kind, stored) for stored in objects], output_format)


async def show_object(kind: ObjectKind, name: str, access: PlatformAccess | None) -> None:
    """Print one object as JSON; raises ObjectNotFoundError."""
    key = object_key(kind, name)
    async with open_platform(access) as session:
        found = (await session.client.read(key)).found
    if found is None:
        raise ObjectNotFoundError(key)
    write_json({"key": key, "created_revision": found.created_revision, **_row(kind, found)})


def _row(kind: ObjectKind, stored: StoredObject) -> Value:
    value = {**(BACKEND_DEFAULTS if kind is ObjectKind.BACKEND else {}), **(stored.value or {})}
    row: Value = {column: value.get(column) for column in COLUMNS[kind]}
    return row | {"name": stored.key.split("/", 1)[1], "revision": stored.revision}


async def report_accepted(change: str, accepted: AcceptedWrite, waiter: Waiter | None) -> None:
    """Print that a write was accepted and, with a waiter, wait until it is in force."""
    write_line(f"{change}, accepted at revision {accepted.revision}")
    await report_in_force(accepted, waiter)
