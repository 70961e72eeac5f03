"""The settings file of a balancer node: its identity, addresses, peers and object API."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Annotated, Any

from pydantic import Field

from beamloom.model.machines import Machine, NodeId
from beamloom.settings.file_faults import SettingsFileError
from beamloom.settings.file_models import (
    Address,
    FileModel,
    Items,
    Name,
    Url,
    ZoneTable,
    address_faults,
    fault_at,
    raise_faults,
    read_tables,
    zone_faults,
    zones_by_name,
)
from beamloom.settings.toml_source import KeyPath, TomlSource, load_toml
from beamloom.telemetry.log_format import LogFormat

DEFAULT_CONTROL_BUDGET = 4096
DEFAULT_REQUEST_TIMEOUT = 2.0
DEFAULT_STOP_TIMEOUT = 60.0
UDP_ADDRESSES = ("data_address", "peer_address", "control_address")
ADDRESSES = (*UDP_ADDRESSES, "admin_address")
Addresses = Annotated[tuple[Address, ...], Field(strict=False)]


class NodeTable(FileModel):
    """`[node]`: the node itself; data, peer and control addresses are UDP, admin is TCP."""

    id: Name
    region: Name
    zone: Name
    data_address: Address
    peer_address: Address
    control_address: Address
    admin_address: Address
    stop_timeout_seconds: Annotated[float, Field(gt=0, le=3600)] = DEFAULT_STOP_TIMEOUT


class PlatformTable(FileModel):
    """`[platform]`: the object API."""

    url: Url
    token_file: str
    certificate_authority_file: str | None = None
    request_timeout_seconds: Annotated[float, Field(gt=0, le=60)] = DEFAULT_REQUEST_TIMEOUT


class FleetTable(FileModel):
    """`[fleet]`: the other nodes; the first key signs, both are accepted.

    `hash_key_file` holds the key of the flow hash, which is the same on every node. It must not
    change while flows are open, as another key would place them differently.
    """

    key_files: Annotated[tuple[str, ...], Field(strict=False, min_length=1, max_length=2)]
    hash_key_file: str
    seeds: Addresses = ()
    control_budget_bytes_per_second: Annotated[int, Field(ge=512, le=1_000_000)] = (
        DEFAULT_CONTROL_BUDGET
    )


class FabricTable(FileModel):
    """`[fabric]`: the gateways that answers to clients are sent to."""

    gateways: Annotated[tuple[Address, ...], Field(strict=False, min_length=1)]


class AdminTable(FileModel):
    """`[admin]`: the admin API; with certificate and key it uses TLS."""

    token_file: str | None = None
    certificate_file: str | None = None
    key_file: str | None = None


class LogTable(FileModel):
    """`[log]`: the format of log lines."""

    format: Annotated[LogFormat, Field(strict=False)] = LogFormat.CONSOLE


class NodeSettings(FileModel):
    """The whole file of a node."""

    node: NodeTable
    platform: PlatformTable
    fleet: FleetTable
    fabric: FabricTable
    admin: AdminTable = AdminTable()
    log: LogTable = LogTable()
    zones: Items[ZoneTable] = Field(min_length=1)

    @property
    def machine(self) -> Machine:
        """The node as an object of the domain model."""
        zone = next(table.zone for table in self.zones if table.name == self.node.zone)
        return Machine(
            NodeId(self.node.id),
            zone,
            self.node.data_address,
            self.node.peer_address,
            self.node.control_address,
        )


def load_node_settings(path: Path, overrides: Mapping[str, Any] | None = None) -> NodeSettings:
    """Read and check a node's settings file.

    `overrides` are command-line flags by dotted key (`node.id`); they take precedence over the
    file. Raises an ExceptionGroup that holds a SettingsFileError for each fault.
    """
    try:
        source = load_toml(path)
    except SettingsFileError as fault:
        raise ExceptionGroup("the settings file has faults", [fault]) from None
    return check_node_settings(_with_overrides(source, overrides or {}))


def check_node_settings(source: TomlSource) -> NodeSettings:
    """Return a checked file; raises an ExceptionGroup of SettingsFileErrors."""
    reading = read_tables(NodeSettings, source)
    settings = reading.tables
    zones = zone_faults(source, settings.zones)
    raise_faults([*reading.faults, *zones, *_cross_field_faults(source, settings)])
    return settings


def _cross_field_faults(source: TomlSource, settings: NodeSettings) -> Iterator[SettingsFileError]:
    node = settings.node
    zones = zones_by_name(settings.zones)
    if node.zone is not None and node.zone not in zones:
        reason = f"there is no zone {node.zone}"
        yield fault_at(source, ("node", "zone"), reason, f"give one of {', '.join(zones)}")
    elif node.zone in zones and zones[node.zone].region != node.region:
        reason = f"zone {node.zone} lies in region {zones[node.zone].region}"
        yield fault_at(source, ("node", "region"), reason, "give the zone's region")
    for name in ADDRESSES:
        path: KeyPath = ("node", name)
        yield from address_faults(source, zones, node.zone, path, getattr(node, name))
    yield from _shared_address_faults(source, node)
    if (settings.admin.certificate_file is None) != (settings.admin.key_file is None):
        reason = "TLS needs a certificate and its key"
        yield fault_at(source, ("admin",), reason, "give certificate_file and key_file, or neither")


def _shared_address_faults(source: TomlSource, node: NodeTable) -> Iterator[SettingsFileError]:
    seen: dict[object, str] = {}
    for name in UDP_ADDRESSES:
        address = getattr(node, name)
        if address is None:
            continue
        if address.port and address in seen:
            reason = f"{address} is also the {seen[address]}"
            yield fault_at(source, ("node", name), reason, "give each UDP address its own port")
        seen[address] = name


def _with_overrides(source: TomlSource, overrides: Mapping[str, Any]) -> TomlSource:
    data = {
        key: dict(table) if isinstance(table, dict) else table for key, table in source.data.items()
    }
    lines = dict(source.lines)
    for dotted, value in overrides.items():
        table, _, key = dotted.partition(".")
        target = data.setdefault(table, {})
        if not isinstance(target, dict):
            continue
        target[key] = value
        lines[table, key] = 0
    return TomlSource(data, lines)
