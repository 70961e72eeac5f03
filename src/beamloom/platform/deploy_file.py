"""Checks of the deploy file, from which the platform builds and starts the system."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any

DEPLOY_FILE_KEY = "roles"
"""A table that only this kind of file has; it identifies the kind."""
SERVABLE = frozenset({"front", "control"})
MAXIMUM_ROLES = 2


def deploy_faults(document: Mapping[str, Any]) -> list[str]:
    """Return the faults of a deploy file; each text names the remedy."""
    faults = []
    if not isinstance(document.get("build"), str):
        faults.append("build is missing: give the command that fills target/")
    roles = document.get("roles")
    if not isinstance(roles, Mapping) or not roles:
        return [*faults, "roles is empty: add a table [roles.NAME]"]
    if len(roles) > MAXIMUM_ROLES:
        faults.append(f"{len(roles)} roles: give at most {MAXIMUM_ROLES}; a machine runs no more")
    served: list[str] = []
    for name, role in roles.items():
        faults.extend(f"roles.{name}: {fault}" for fault in _role_faults(role))
        served.extend(role.get("serves", ()))
    if len(served) != len(set(served)):
        faults.append("`serves` names the same thing twice: leave it to one role")
    if "front" not in served:
        faults.append('no role serves "front": add it to the role that receives client packets')
    return faults


def _role_faults(role: Mapping[str, Any]) -> Iterator[str]:
    for field in ("run", "on"):
        if not isinstance(role.get(field), str) or not role[field]:
            yield f"{field} is missing: give a string"
    unknown = set(role.get("serves", ())) - SERVABLE
    if unknown:
        yield f"serves {', '.join(sorted(unknown))}: give only {', '.join(sorted(SERVABLE))}"
    share = role.get("share", 1.0)
    if not isinstance(share, int | float) or not 0 < share <= 1:
        yield f"share = {share!r}: give a number above 0, up to 1"
    port, _, path = str(role.get("metrics", "1/x")).partition("/")
    if not port.isdecimal() or not path:
        yield f"metrics = {role['metrics']!r}: give PORT/PATH"
