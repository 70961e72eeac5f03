"""Differences between two values of an object, and the edit conflict that lists them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from beamloom.object_api.errors import PlatformError
from beamloom.protocol.events import StoredObject

OPERATION_FIELD = "operation"


@dataclass(frozen=True, slots=True)
class FieldDifference:
    """A field whose value differs; `old` or `new` is None if the field is absent there."""

    name: str
    old: object
    new: object

    def __str__(self) -> str:
        """Return `name: old -> new`."""
        return f"{self.name}: {self.old!r} -> {self.new!r}"


def differences(
    old: dict[str, Any] | None, new: dict[str, Any] | None, prefix: str = ""
) -> tuple[FieldDifference, ...]:
    """Compare two values by field, ignoring operation ids; nested fields have dotted names."""
    old, new = old or {}, new or {}
    found: list[FieldDifference] = []
    for name in sorted(old.keys() | new.keys()):
        before, after = old.get(name), new.get(name)
        if before == after or (not prefix and name == OPERATION_FIELD):
            continue
        if isinstance(before, dict) and isinstance(after, dict):
            found.extend(differences(before, after, f"{prefix}{name}."))
        else:
            found.append(FieldDifference(prefix + name, before, after))
    return tuple(found)


def operation_of(stored: StoredObject | None) -> str | None:
    """Return the operation id of an object's last write; None if it has none or is deleted."""
    if stored is None or stored.value is None:
        return None
    operation = stored.value.get(OPERATION_FIELD)
    return None if operation is None else str(operation)


class EditConflictError(PlatformError):
    """Another writer changed the object first; this write did not and will not take effect."""

    def __init__(self, key: str, base: StoredObject | None, current: StoredObject | None) -> None:
        self.key = key
        self.current = current
        old = base.value if base else None
        new = current.value if current else None
        self.changes = differences(old, new)
        super().__init__(f"{key} {self._describe(base)}; nothing of yours was written: {REMEDY}")

    def _describe(self, base: StoredObject | None) -> str:
        if self.current is None or self.current.value is None:
            return "was deleted by another writer"
        operation = operation_of(self.current)
        verb = "exists already" if base is None else "was changed by another writer"
        listed = ", ".join(str(change) for change in self.changes) or "no field differs"
        return f"{verb} (operation {operation}, revision {self.current.revision}): {listed}"


REMEDY = "read the object and decide whether to repeat your change"
