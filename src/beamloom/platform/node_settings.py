"""The settings file that the platform writes for each process.

It is TOML, or JSON with the same fields if a role names `deploy/node-settings.json` as template.
"""

from __future__ import annotations

import os
from collections.abc import Mapping
from typing import Any

from beamloom.platform.errors import PlatformSettingsError
from beamloom.settings.capacity import CheckedCapacity, check_capacity
from beamloom.settings.document import read_document
from beamloom.settings.field_reader import (
    FieldReader,
    to_endpoint,
    to_first_port,
    to_hosts,
    to_names,
    to_number,
    to_positive,
    to_seconds,
    to_text,
)
from beamloom.settings.token_node import ColdStartLimits, Endpoint, TokenNodeSettings

SETTINGS_VARIABLE = "BEAMLOOM_CONFIG"
METRICS_VARIABLE = "BEAMLOOM_METRICS_PORT"
"""Set by deploy/system.toml, next to the address of the metrics that it gives the platform."""
DEFAULT_SETTINGS_PATH = "/etc/beamloom/node.toml"
SETTINGS_FILE_KEY = "bind-addrs"
"""A table that only this kind of file has; it identifies the kind."""


def settings_path() -> str:
    """Return the path of the settings file."""
    return os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS_PATH)


def read_settings(path: str | os.PathLike[str]) -> TokenNodeSettings:
    """Read the settings file; raises PlatformSettingsError, whose text names every fault."""
    try:
        document = read_document(path)
    except (OSError, ValueError) as error:
        raise PlatformSettingsError(str(path), str(error)) from error
    return check_settings(document, str(path))


def check_settings(document: Mapping[str, Any], path: str) -> TokenNodeSettings:
    """Convert the contents of a settings file; raises PlatformSettingsError."""
    fields = FieldReader(document)
    limits = _limits(fields)
    settings = TokenNodeSettings(
        node=fields.read("node-name", to_text, ""),
        host=fields.read("ip", to_text, ""),
        zone=fields.read("zone", to_text, ""),
        packets=fields.read("bind-addrs.datagram-addr", to_endpoint, _NO_ENDPOINT),
        readiness=fields.read("bind-addrs.readiness", to_endpoint, _NO_ENDPOINT),
        store=fields.read("platform.address", to_endpoint, _NO_ENDPOINT),
        peer_port=fields.read("port-range", to_first_port, 0),
        metrics=_metrics_endpoint(document),
        seeds=fields.read("seeds", to_hosts, (), required=False),
        heartbeat_seconds=fields.read("heartbeat-ms", to_seconds, 1.2, required=False),
        stop_seconds=fields.read("bounds.grace-s", to_positive, 6.0, required=False),
        flow_seconds=fields.read("bounds.flow-max-s", to_positive, 60.0, required=False),
        apply_seconds=fields.read("bounds.config-apply-ms", to_seconds, 3.0, required=False),
        drain_seconds=fields.read("bounds.drain-ms", to_seconds, 3.0, required=False),
        capacity=limits.capacity,
        unusable_limits=limits.unusable,
        contact_seconds=fields.read("bounds.contact-ms", to_seconds, 4.0, required=False),
        evacuate_seconds=fields.read("bounds.evacuate-ms", to_seconds, None, required=False),
        zones=fields.read("zones", to_names, (), required=False),
        cold_starts=_cold_start_limits(fields),
        first_start=fields.read("bootstrap", bool, True, required=False),
    )
    if fields.faults:
        raise PlatformSettingsError(path, "; ".join(fields.faults))
    return settings


def _limits(fields: FieldReader) -> CheckedCapacity:
    """Return the machine's capacity; missing and implausible values are replaced by the minimum.

    `cpu-share` is a share of one core, and `cores` is how many times as fast that core runs.
    """
    names = ("cpu-share", "link-mbps", "memory-mb", "max-fds")
    values = [fields.read(f"limits.{name}", to_number, None, required=False) for name in names]
    speed = fields.read("limits.cores", to_number, 1.0, required=False)
    cores = None if values[0] is None else values[0] * speed
    return check_capacity((cores, *values[1:]))


def _cold_start_limits(fields: FieldReader) -> ColdStartLimits | None:
    excess = fields.read("bounds.warmup-excess", to_positive, None, required=False)
    slack = fields.read("bounds.warmup-slack", to_positive, 0.0, required=False)
    return None if excess is None else ColdStartLimits(excess, slack)


_NO_ENDPOINT = Endpoint("", 0)


def _metrics_endpoint(document: Mapping[str, Any]) -> Endpoint | None:
    port = os.environ.get(METRICS_VARIABLE, "")
    return Endpoint(str(document.get("ip", "")), int(port)) if port.isdecimal() else None
