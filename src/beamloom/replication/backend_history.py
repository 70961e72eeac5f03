"""History of the backend sets of each service, derived from replicated changes alone."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from beamloom.protocol.events import StoredObject

HISTORY_LENGTH = 16
BACKEND_PREFIX = "backend/"


@dataclass(frozen=True, slots=True)
class BackendSet:
    """The backend objects of a service from `revision` on, sorted by created revision."""

    revision: int
    objects: tuple[StoredObject, ...]


BackendHistory = tuple[BackendSet, ...]
"""The recent backend sets of one service, oldest first."""


def service_of_backend(key: str) -> str | None:
    """Return `T/S` for a key `backend/T/S/B`, and None for every other key."""
    if not key.startswith(BACKEND_PREFIX):
        return None
    service, separator, backend = key.removeprefix(BACKEND_PREFIX).rpartition("/")
    return service if separator and service and backend else None


def extend_histories(
    histories: dict[str, BackendHistory], changed: Iterable[StoredObject], revision: int
) -> None:
    """Append one backend set to each service whose backends are among `changed`.

    The set's revision is that of its newest changed object, so that it does not depend on when the
    store was listed. `revision`, that of the change, is used where no changed object is newer than
    the previous set, as after a deletion.
    """
    by_service: dict[str, list[StoredObject]] = {}
    for stored in changed:
        service = service_of_backend(stored.key)
        if service is not None:
            by_service.setdefault(service, []).append(stored)
    for service, objects in by_service.items():
        history = histories.get(service, ())
        latest = history[-1].objects if history else ()
        newest = max((item.revision for item in objects if item.value is not None), default=0)
        since = newest if newest > (history[-1].revision if history else 0) else revision
        backend_set = BackendSet(since, _replace(latest, objects))
        histories[service] = (*history, backend_set)[-HISTORY_LENGTH:]


def _replace(
    latest: tuple[StoredObject, ...], changed: list[StoredObject]
) -> tuple[StoredObject, ...]:
    by_key = {stored.key: stored for stored in latest}
    for stored in changed:
        if stored.value is None:
            by_key.pop(stored.key, None)
        else:
            by_key[stored.key] = stored
    return tuple(sorted(by_key.values(), key=lambda item: (item.created_revision, item.key)))
