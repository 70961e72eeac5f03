"""Messages of configuration replication: changes, digests and snapshots (kinds 20 to 39)."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from beamloom.protocol.events import StoredObject
from beamloom.protocol.messages import Message, Priority, register_message


@dataclass(frozen=True, slots=True)
class ReplicatedChange:
    """One step of the configuration, from `previous_revision` to `revision`.

    A step from a watch has one object. A step from a listing (`from_listing`) has all differences
    between the two revisions, and applies only to the state at exactly `previous_revision`.
    """

    previous_revision: int
    revision: int
    objects: tuple[StoredObject, ...]
    from_listing: bool = False

    def follows(self, applied_revision: int) -> bool:
        """Return whether this step can be applied to the state at `applied_revision`."""
        if self.from_listing:
            return self.previous_revision == applied_revision
        return self.previous_revision <= applied_revision < self.revision


def object_to_list(stored: StoredObject) -> list[object]:
    """Return the CBOR array of a stored object."""
    return [stored.key, stored.value, stored.revision, stored.created_revision]


def object_from_list(parts: object) -> StoredObject:
    """Build a stored object from its CBOR array; raises ValueError when the shape is wrong."""
    if not isinstance(parts, list | tuple) or len(parts) != 4:
        raise ValueError("a stored object is not an array of four fields")
    key, value, revision, created_revision = parts
    if not isinstance(key, str) or not isinstance(value, dict | None):
        raise ValueError("a stored object's key or value has the wrong type")
    if not isinstance(revision, int) or not isinstance(created_revision, int):
        raise ValueError("a stored object's revision is not a number")
    return StoredObject(key, value, revision, created_revision)


def change_to_list(change: ReplicatedChange) -> list[object]:
    """Return the CBOR array of a change."""
    objects = [object_to_list(stored) for stored in change.objects]
    return [change.previous_revision, change.revision, objects, change.from_listing]


def change_from_list(parts: object) -> ReplicatedChange:
    """Build a change from its CBOR array; raises ValueError when the shape is wrong."""
    if not isinstance(parts, list | tuple) or len(parts) != 4 or not isinstance(parts[2], list):
        raise ValueError("a change is not an array of four fields")
    previous, revision, objects, from_listing = parts
    if not isinstance(previous, int) or not isinstance(revision, int) or previous >= revision:
        raise ValueError("a change does not raise the revision")
    stored = tuple(object_from_list(item) for item in objects)
    return ReplicatedChange(previous, revision, stored, bool(from_listing))


def _require(condition: bool, reason: str) -> None:
    if not condition:
        raise ValueError(reason)


@register_message(20, Priority.CONFIGURATION)
@dataclass(frozen=True, slots=True)
class ChangesPushed(Message):
    """Changes in order, each encoded by `change_to_list`, and the sender's applied revision."""

    changes: list[list[object]]
    applied_revision: int

    def __post_init__(self) -> None:
        """Raise ValueError when a field has the wrong type."""
        _require(isinstance(self.changes, list), "changes is not an array")
        _require(isinstance(self.applied_revision, int), "applied_revision is not a number")


@register_message(21, Priority.CONFIGURATION)
@dataclass(frozen=True, slots=True)
class DigestOffered(Message):
    """The sender's applied revision, whether it is ready, and the reader leases it knows.

    `leases` holds `[lease number, holder, store revision]`; the highest revision is the newest.
    `wants_answer` requests the receiver's own digest.
    """

    applied_revision: int
    ready: bool
    wants_answer: bool
    leases: list[list[Any]]

    def __post_init__(self) -> None:
        """Raise ValueError when a field has the wrong type."""
        _require(isinstance(self.applied_revision, int), "applied_revision is not a number")
        _require(isinstance(self.leases, list), "leases is not an array")
        for lease in self.leases:
            _require(isinstance(lease, list) and len(lease) == 3, "a lease has three fields")
            number, holder, revision = lease
            _require(isinstance(number, int) and isinstance(revision, int), "a lease is malformed")
            _require(isinstance(holder, str), "a lease's holder is not a name")


@register_message(22, Priority.CONFIGURATION)
@dataclass(frozen=True, slots=True)
class ChangesRequested(Message):
    """Requests the changes after a revision; answer: `ChangesPushed` or `ChangesUnavailable`."""

    after_revision: int

    def __post_init__(self) -> None:
        """Raise ValueError when a field has the wrong type."""
        _require(isinstance(self.after_revision, int), "after_revision is not a number")


@register_message(23, Priority.CONFIGURATION)
@dataclass(frozen=True, slots=True)
class ChangesUnavailable(Message):
    """The requested changes are no longer logged, or too long to send: fetch a snapshot instead."""

    applied_revision: int

    def __post_init__(self) -> None:
        """Raise ValueError when a field has the wrong type."""
        _require(isinstance(self.applied_revision, int), "applied_revision is not a number")


@register_message(24, Priority.CONFIGURATION)
@dataclass(frozen=True, slots=True)
class SnapshotRequested(Message):
    """Requests an offer of the snapshot with this digest or, if `digest` is empty, a newer one."""

    revision: int
    digest: bytes

    def __post_init__(self) -> None:
        """Raise ValueError when a field has the wrong type."""
        _require(isinstance(self.revision, int), "revision is not a number")
        _require(isinstance(self.digest, bytes), "digest is not bytes")


@register_message(25, Priority.CONFIGURATION)
@dataclass(frozen=True, slots=True)
class SnapshotOffered(Message):
    """A snapshot that can be fetched: its revision, BLAKE2 digest and number of parts.

    `held` is a bitmap of the parts that the sender has, lowest bit first; empty means all.
    """

    revision: int
    digest: bytes
    part_count: int
    held: bytes = b""

    def __post_init__(self) -> None:
        """Raise ValueError when a field has the wrong type."""
        _require(isinstance(self.revision, int), "revision is not a number")
        _require(isinstance(self.digest, bytes), "digest is not bytes")
        _require(isinstance(self.part_count, int), "part_count is not a number")
        _require(isinstance(self.held, bytes), "held is not bytes")
        _require(0 < self.part_count <= MAXIMUM_PART_COUNT, "part_count is out of bounds")


@register_message(26, Priority.CONFIGURATION)
@dataclass(frozen=True, slots=True)
class SnapshotPartsRequested(Message):
    """Requests some parts of one snapshot."""

    revision: int
    digest: bytes
    indexes: list[int]

    def __post_init__(self) -> None:
        """Raise ValueError when a field has the wrong type."""
        _require(isinstance(self.revision, int), "revision is not a number")
        _require(isinstance(self.digest, bytes), "digest is not bytes")
        _require(isinstance(self.indexes, list), "indexes is not an array")
        _require(all(isinstance(item, int) for item in self.indexes), "an index is not a number")


@register_message(27, Priority.CONFIGURATION)
@dataclass(frozen=True, slots=True)
class SnapshotPartSent(Message):
    """One part of a snapshot."""

    revision: int
    digest: bytes
    index: int
    data: bytes

    def __post_init__(self) -> None:
        """Raise ValueError when a field has the wrong type."""
        _require(isinstance(self.revision, int), "revision is not a number")
        _require(isinstance(self.digest, bytes), "digest is not bytes")
        _require(isinstance(self.index, int), "index is not a number")
        _require(isinstance(self.data, bytes), "data is not bytes")


MAXIMUM_PART_COUNT = 16_384
