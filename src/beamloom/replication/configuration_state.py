"""The replicated state of the store, and its deterministic snapshot encoding."""

from __future__ import annotations

import hashlib
import zlib
from collections.abc import Callable, Iterable
from typing import Any

import cbor2

from beamloom.protocol.configuration_messages import (
    ReplicatedChange,
    object_from_list,
    object_to_list,
)
from beamloom.protocol.events import StoredObject
from beamloom.replication.backend_history import (
    BackendHistory,
    BackendSet,
    extend_histories,
)

LEASE_PREFIX = "lease/"
SNAPSHOT_DIGEST_SIZE = 16
MAXIMUM_SNAPSHOT_SIZE = 64 * 1024 * 1024
COMPRESSION_LEVEL = 9


class SnapshotCorruptError(Exception):
    """A snapshot does not match its digest or cannot be decoded; fetch it from another peer."""


def is_replicated(key: str) -> bool:
    """Return whether an object is replicated; leases are not."""
    return not key.startswith(LEASE_PREFIX)


def snapshot_digest(data: bytes) -> bytes:
    """Return the BLAKE2 digest (RFC 7693) that names a snapshot."""
    return hashlib.blake2b(data, digest_size=SNAPSHOT_DIGEST_SIZE).digest()


class ConfigurationState:
    """Every replicated object as of `revision`, and the backend history of each service."""

    def __init__(self) -> None:
        self.revision = 0
        self.objects: dict[str, StoredObject] = {}
        self.backend_histories: dict[str, BackendHistory] = {}

    def apply(self, change: ReplicatedChange) -> None:
        """Apply one change; raises ValueError unless it follows the current revision."""
        if not change.follows(self.revision):
            raise ValueError(
                f"change {change.revision} does not follow revision {self.revision};"
                " pull the changes between them first"
            )
        for stored in change.objects:
            if stored.value is None:
                self.objects.pop(stored.key, None)
            else:
                self.objects[stored.key] = stored
        extend_histories(self.backend_histories, change.objects, change.revision)
        self._forget_deleted_services(change.objects)
        self.revision = change.revision

    def difference(self, revision: int, listed: Iterable[StoredObject]) -> ReplicatedChange:
        """Return the change from this state to a listing of the store as of `revision`."""
        found = {stored.key: stored for stored in listed if is_replicated(stored.key)}
        changed = [stored for key, stored in found.items() if self.objects.get(key) != stored]
        deleted = [
            StoredObject(key, None, revision, stored.created_revision)
            for key, stored in self.objects.items()
            if key not in found
        ]
        changed.sort(key=lambda stored: stored.revision)
        return ReplicatedChange(self.revision, revision, tuple(deleted + changed), True)

    def _forget_deleted_services(self, changed: Iterable[StoredObject]) -> None:
        for stored in changed:
            if stored.value is not None:
                continue
            kind, _, rest = stored.key.partition("/")
            service = rest if kind == "service" else rest.rpartition("/")[0]
            history = self.backend_histories.get(service)
            if history and not history[-1].objects and f"service/{service}" not in self.objects:
                del self.backend_histories[service]

    def encode(self) -> bytes:
        """Return the snapshot: equal objects and histories are encoded to the same bytes."""
        pool = [self.objects[key] for key in sorted(self.objects)]
        indexes = {id(stored): index for index, stored in enumerate(pool)}
        by_name = {(item.key, item.revision): index for index, item in enumerate(pool)}

        def index_of(stored: StoredObject) -> int:
            index = indexes.get(id(stored))
            if index is None:
                name = (stored.key, stored.revision)
                index = by_name.setdefault(name, len(pool))
                if index == len(pool):
                    pool.append(stored)
                indexes[id(stored)] = index
            return index

        histories = [
            [service, _history_to_list([_indexed(item, index_of) for item in history])]
            for service, history in sorted(self.backend_histories.items())
        ]
        encoded = [object_to_list(stored) for stored in pool]
        parts = [self.revision, len(self.objects), encoded, histories]
        return zlib.compress(cbor2.dumps(parts, canonical=True), COMPRESSION_LEVEL)

    @classmethod
    def decode(cls, data: bytes, digest: bytes) -> ConfigurationState:
        """Return the state of a snapshot; raises SnapshotCorruptError unless it is intact."""
        if snapshot_digest(data) != digest:
            raise SnapshotCorruptError(
                "the snapshot does not match its digest; fetch it again from another peer"
            )
        try:
            return cls._decode(cbor2.loads(_decompress(data)))
        except (ValueError, TypeError, IndexError, zlib.error, cbor2.CBORDecodeError) as error:
            raise SnapshotCorruptError(
                f"{error}; the snapshot cannot be decoded: fetch it again from another peer"
            ) from error

    @classmethod
    def _decode(cls, parts: list[Any]) -> ConfigurationState:
        revision, object_count, encoded, histories = parts
        pool = [object_from_list(item) for item in encoded]
        state = cls()
        state.revision = int(revision)
        state.objects = {stored.key: stored for stored in pool[:object_count]}
        for service, history in histories:
            state.backend_histories[str(service)] = _history_from_list(history, pool)
        return state


def _decompress(data: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    content = decompressor.decompress(data, MAXIMUM_SNAPSHOT_SIZE)
    if not decompressor.eof:
        raise ValueError("the snapshot is truncated or too large")
    return content


def _indexed(
    backend_set: BackendSet, index_of: Callable[[StoredObject], int]
) -> tuple[int, list[int]]:
    return backend_set.revision, [index_of(stored) for stored in backend_set.objects]


def _history_to_list(history: list[tuple[int, list[int]]]) -> list[list[object]]:
    """Return each backend set as `[revision, removed indexes, added indexes]`."""
    encoded: list[list[object]] = []
    before: set[int] = set()
    for revision, indexes in history:
        present = set(indexes)
        encoded.append([revision, sorted(before - present), sorted(present - before)])
        before = present
    return encoded


def _history_from_list(encoded: list[Any], pool: list[StoredObject]) -> BackendHistory:
    sets: list[BackendSet] = []
    present: set[int] = set()
    for revision, removed, added in encoded:
        present = (present - set(removed)) | set(added)
        objects = [pool[index] for index in present]
        objects.sort(key=lambda item: (item.created_revision, item.key))
        sets.append(BackendSet(int(revision), tuple(objects)))
    return tuple(sets)
