"""The settings file that the platform lays for each process."""

from __future__ import annotations

import os
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from beamloom.platform.errors import PlatformSettingsError
from beamloom.settings.token_node import Endpoint, TokenNodeSettings

SETTINGS_VARIABLE = "BEAMLOOM_CONFIG"
METRICS_VARIABLE = "BEAMLOOM_METRICS_PORT"
"""Set by deploy/system.toml, next to the address that it tells the platform."""
DEFAULT_SETTINGS_PATH = "/etc/beamloom/node.toml"


def settings_path() -> Path:
    """Return where the settings file lies."""
    return Path(os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS_PATH))


def read_settings(path: Path) -> TokenNodeSettings:
    """Read the settings file; raises PlatformSettingsError."""
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise PlatformSettingsError(str(path), str(error)) from error
    try:
        return _translate(document)
    except (KeyError, TypeError, ValueError, IndexError) as error:
        raise PlatformSettingsError(str(path), f"field {error} is missing or not usable") from error


def _translate(document: Mapping[str, Any]) -> TokenNodeSettings:
    addresses = document["bind-addrs"]
    bounds = document.get("bounds", {})
    first_port, _ = document["port-range"]
    return TokenNodeSettings(
        node=str(document["node-name"]),
        host=str(document["ip"]),
        zone=str(document["zone"]),
        packets=_endpoint(addresses["datagram-addr"]),
        readiness=_endpoint(addresses["readiness"]),
        store=_endpoint(document["platform"]["address"]),
        peer_port=int(first_port),
        metrics=_metrics_endpoint(str(document["ip"])),
        seeds=tuple(_endpoint(seed).host for seed in document.get("seeds", ())),
        stop_seconds=float(bounds.get("grace-s", 6)),
        flow_seconds=float(bounds.get("flow-max-s", 60)),
        apply_seconds=float(bounds.get("config-apply-ms", 3000)) / 1000,
        drain_seconds=float(bounds.get("drain-ms", 3000)) / 1000,
        contact_seconds=float(bounds.get("contact-ms", 4000)) / 1000,
    )


def _metrics_endpoint(host: str) -> Endpoint | None:
    port = os.environ.get(METRICS_VARIABLE, "")
    return Endpoint(host, int(port)) if port else None


def _endpoint(text: str) -> Endpoint:
    host, _, port = text.rpartition(":")
    return Endpoint(host, int(port))
