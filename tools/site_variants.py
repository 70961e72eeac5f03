"""Derives other deployments from a site file of the users' bench.

Each variant is a function that changes the parsed tables in place. Names of zones, services and
days come from the file, so variants apply to any site.
"""

from __future__ import annotations

import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

import tomlkit

Site = dict[str, Any]
Variant = Callable[[Site], None]

SLOW_LINK_MEGABITS = 5.0
LOSS_SHARE = 0.02


def as_is(_site: Site) -> None:
    """Change nothing."""


def other_hash(site: Site) -> None:
    """Switch the routers' hash from `steady` to `mod` or back."""
    site["entry"]["hash"] = "mod" if site["entry"]["hash"] == "steady" else "steady"


def one_slot(site: Site) -> None:
    """Give each server one slot."""
    for service in site["services"]:
        service["slots"] = 1


def shorter_drain(site: Site) -> None:
    """Reduce the bound on draining servers by 500 ms."""
    site["bounds"]["drain_ms"] -= 500


def one_zone(site: Site) -> None:
    """Move all machines, servers and clients to the first zone."""
    first = site["zones"][0]["name"]
    site["zones"] = site["zones"][:1]
    for machines in site["machines"]:
        machines["zone"] = first
    for service in site["services"]:
        count = sum(servers["count"] for servers in service["servers"])
        service["servers"] = [{"zone": first, "count": count}]
    for table in (site, *site["day"]):
        for traffic in table.get("traffic", ()):
            traffic["zone"] = first


def two_a_zone(site: Site) -> None:
    """Limit each entry of machines to two."""
    for machines in site["machines"]:
        machines["count"] = min(2, machines["count"])


def half_deadlines(site: Site) -> None:
    """Halve the deadline of each class."""
    _scale_deadlines(site, 0.5)


def double_deadlines(site: Site) -> None:
    """Double the deadline of each class."""
    _scale_deadlines(site, 2.0)


def slow_links(site: Site) -> None:
    """Limit the link of each machine to SLOW_LINK_MEGABITS."""
    for machines in site["machines"]:
        machines["link_mbps"] = min(SLOW_LINK_MEGABITS, machines["link_mbps"])


def lossy(site: Site) -> None:
    """Add the fault `lossy` with LOSS_SHARE for the whole of each day."""
    for day in site["day"]:
        fault = {"kind": "lossy", "at": 0.0, "for_s": site["length_s"], "x": LOSS_SHARE}
        day["faults"] = [*day.get("faults", ()), fault]


def cold_rate_4(site: Site) -> None:
    """Set the rate of cold servers to 4 requests a second."""
    _set_cold_rate(site, 4.0)


def cold_rate_10(site: Site) -> None:
    """Set the rate of cold servers to 10 requests a second."""
    _set_cold_rate(site, 10.0)


def cold_rate_40(site: Site) -> None:
    """Set the rate of cold servers to 40 requests a second."""
    _set_cold_rate(site, 40.0)


def _set_cold_rate(site: Site, per_second: float) -> None:
    for service in site["services"]:
        service["cold_per_s"] = per_second


def _scale_deadlines(site: Site, factor: float) -> None:
    for request_class in site["classes"]:
        request_class["deadline_ms"] = factor * request_class["deadline_ms"]


VARIANTS: dict[str, Variant] = {
    variant.__name__.replace("_", "-"): variant
    for variant in (
        as_is,
        other_hash,
        one_slot,
        shorter_drain,
        one_zone,
        two_a_zone,
        half_deadlines,
        double_deadlines,
        slow_links,
        lossy,
        cold_rate_4,
        cold_rate_10,
        cold_rate_40,
    )
}


def derive_site(site: Path, folder: Path, name: str) -> Path:
    """Copy the site's folder to `folder`, apply the named variant and return the new site file."""
    for file in site.parent.iterdir():
        (folder / file.name).write_bytes(file.read_bytes())
    path = folder / site.name
    if name != "as-is":
        tables = tomllib.loads(path.read_text())
        VARIANTS[name](tables)
        path.write_text(tomlkit.dumps(tables))
    return path
