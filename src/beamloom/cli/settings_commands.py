"""`beamloom settings`: show and change the tree of settings in the platform's store."""

from __future__ import annotations

from collections.abc import AsyncGenerator, Callable
from contextlib import aclosing
from dataclasses import asdict
from typing import Annotated, Any

from cyclopts import App, Parameter

from beamloom.cli.admin_access import AdminAccess
from beamloom.cli.output import FormatFlag, OutputFormat, write_line, write_rows
from beamloom.cli.platform_access import PlatformAccess, PlatformSession, open_platform
from beamloom.cli.waiting import WaitFlags, make_waiter, report_in_force
from beamloom.object_api.errors import WatchGoneError
from beamloom.object_api.operator import AcceptedWrite
from beamloom.object_api.wire import ChangeBatch
from beamloom.protocol.events import StoredObject
from beamloom.settings.configuration import Configuration
from beamloom.settings.errors import MissingParentError
from beamloom.settings.tree import Scope, TreeNode, settings_at
from beamloom.settings.validation import find_declaration

ScopeOption = Annotated[str, Parameter(name="--at", help="global, tenant/T or tenant/T/service/S.")]
SettingName = Annotated[
    str, Parameter(help="Name of the setting; `beamloom settings get` lists them.")
]
SettingText = Annotated[str, Parameter(help="The value in the setting's unit.")]
Values = dict[str, Any]

TREE_COLUMNS = ("scope", "setting", "value", "unit")
GET_COLUMNS = ("setting", "value", "unit", "level", "scope_key", "since_revision")
HISTORY_COLUMNS = ("revision", "operation", "values")

settings_app = App(name="settings", help="Show and change the tree of settings.")


def register(app: App) -> None:
    """Add the group of commands."""
    app.command(settings_app)


@settings_app.command
async def tree(
    *, access: PlatformAccess | None = None, output_format: FormatFlag = OutputFormat.TABLE
) -> None:
    """Show the values set at each scope, from the root down; other settings have their defaults."""
    async with open_platform(access) as session:
        configuration = await _read_configuration(session)
    rows: list[Values] = []
    _add_rows(configuration.tree.render(), rows)
    write_rows(TREE_COLUMNS, rows, output_format)


@settings_app.command
async def get(
    name: SettingName | None = None,
    /,
    *,
    at: ScopeOption = "global",
    access: PlatformAccess | None = None,
    output_format: FormatFlag = OutputFormat.TABLE,
) -> None:
    """Show the settings in force at a scope and where each value comes from; NAME selects one."""
    scope = Scope.parse(at)
    names = (
        [declaration.name for declaration in settings_at(scope.level)] if name is None else [name]
    )
    declarations = [find_declaration(wanted) for wanted in names]
    async with open_platform(access) as session:
        configuration = await _read_configuration(session)
    rows = [
        {
            "setting": declaration.name,
            "unit": declaration.unit,
            **asdict(configuration.effective_setting(scope, declaration.name)),
        }
        for declaration in declarations
    ]
    write_rows(GET_COLUMNS, rows, output_format)


@settings_app.command(name="set")
async def set_value(
    name: SettingName,
    value: SettingText,
    /,
    *,
    at: ScopeOption = "global",
    access: PlatformAccess | None = None,
    admin: AdminAccess | None = None,
    wait: WaitFlags | None = None,
) -> None:
    """Set a value at a scope; scopes below it inherit the value unless they set their own."""
    scope = Scope.parse(at)
    declaration = find_declaration(name)
    declaration.require_level(scope.level)
    checked = declaration.parse(value)
    waiter = make_waiter(admin, wait)
    async with open_platform(access) as session:
        await _require_owner(session, scope)
        accepted = await _write_values(session, scope, lambda values: {**values, name: checked})
    write_line(f"{name} = {checked} at {scope} accepted at revision {accepted.revision}")
    await report_in_force(accepted, waiter)


@settings_app.command
async def unset(
    name: SettingName,
    /,
    *,
    at: ScopeOption = "global",
    access: PlatformAccess | None = None,
    admin: AdminAccess | None = None,
    wait: WaitFlags | None = None,
) -> None:
    """Remove a value from a scope, so that it is inherited again.

    It also removes a stored value whose name this version does not know.
    """
    scope = Scope.parse(at)
    waiter = make_waiter(admin, wait)
    async with open_platform(access) as session:
        found = (await session.client.read(scope.object_key)).found
        if found is None or name not in _values_of(found.value):
            find_declaration(name)
            write_line(f"{name} was not set at {scope}; nothing was changed")
            return
        accepted = await _write_values(session, scope, lambda values: _without(values, name))
    write_line(f"{name} at {scope} removed at revision {accepted.revision}")
    await report_in_force(accepted, waiter)


@settings_app.command
async def history(
    *,
    at: ScopeOption = "global",
    access: PlatformAccess | None = None,
    output_format: FormatFlag = OutputFormat.TABLE,
) -> None:
    """Show the changes of a scope that the store still keeps, oldest first."""
    scope = Scope.parse(at)
    async with open_platform(access) as session:
        changes = await _read_history(session, scope.object_key)
    write_rows(HISTORY_COLUMNS, [_history_row(change) for change in changes], output_format)


async def _read_configuration(session: PlatformSession) -> Configuration:
    listing = await session.client.list_objects()
    return Configuration.load(listing.objects)


async def _require_owner(session: PlatformSession, scope: Scope) -> None:
    """Raise MissingParentError where the scope's tenant or service does not exist."""
    key = scope.owner_key
    if key is not None and (await session.client.read(key)).found is None:
        raise MissingParentError(f"there is no {key}", "check the name or create it first")


async def _write_values(
    session: PlatformSession, scope: Scope, change: Callable[[Values], Values]
) -> AcceptedWrite:
    """Replace a scope's values by what `change` returns for the current ones."""
    key = scope.object_key
    if (await session.client.read(key)).found is None:
        return await session.writer.create_object(key, {"values": change({})})
    return await session.writer.update_object(
        key, lambda value: {**value, "values": change(_values_of(value))}
    )


async def _read_history(session: PlatformSession, key: str) -> list[StoredObject]:
    """Return the changes of a key, or only its current state if older changes are not kept."""
    reading = await session.client.read(key)
    if reading.found is None:
        return []
    start = reading.found.created_revision - 1
    try:
        async with aclosing(_watch(session, start, key)) as batches:
            async for batch in batches:
                return [change for change in batch.changes if change.key == key]
    except WatchGoneError:
        return [reading.found]
    return []


def _watch(session: PlatformSession, start: int, key: str) -> AsyncGenerator[ChangeBatch, None]:
    return session.client.watch(start, key)


def _values_of(value: Values | None) -> Values:
    values = (value or {}).get("values")
    return dict(values) if isinstance(values, dict) else {}


def _without(values: Values, name: str) -> Values:
    return {other: value for other, value in values.items() if other != name}


def _history_row(change: StoredObject) -> Values:
    operation = (change.value or {}).get("operation")
    values = None if change.value is None else _values_of(change.value)
    return {"revision": change.revision, "operation": operation, "values": values}


def _add_rows(node: TreeNode, rows: list[Values]) -> None:
    for name, value in sorted(node.overrides.items()):
        unit = find_declaration(name).unit
        rows.append({"scope": str(node.scope), "setting": name, "value": value, "unit": unit})
    for child in node.children:
        _add_rows(child, rows)
