"""Events: the inputs that the adapters pass to the decision core, each with a time `now`."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from beamloom.model.addresses import SocketAddress
from beamloom.model.machines import Machine


@dataclass(frozen=True, slots=True)
class Event:
    """Base of every event."""


@dataclass(frozen=True, slots=True)
class ControlDatagramReceived(Event):
    """A datagram arrived on the control socket."""

    data: bytes
    source: SocketAddress


@dataclass(frozen=True, slots=True)
class TimerExpired(Event):
    """The time that `NodeCore.next_timer` returned is reached."""


@dataclass(frozen=True, slots=True)
class StopRequested(Event):
    """A planned stop is requested: the core hands over its partitions, then sends `StopNode`."""


@dataclass(frozen=True, slots=True)
class StoredObject:
    """One object of the platform's store; `value` is None once deleted.

    `revision` is the store-wide revision of the object's last change. `created_revision` is the
    one at which it was created, and serves as its permanent number.
    """

    key: str
    value: dict[str, Any] | None
    revision: int
    created_revision: int


@dataclass(frozen=True, slots=True)
class StoreAnswer(Event):
    """Base of every answer of the platform's store; `request_id` is that of the command."""

    request_id: int


@dataclass(frozen=True, slots=True)
class StoreListed(StoreAnswer):
    """The answer to `ListStore`: every object, as of `revision`."""

    revision: int
    objects: tuple[StoredObject, ...]


@dataclass(frozen=True, slots=True)
class StoreChanged(StoreAnswer):
    """The watch delivered changes, in store order; `revision` is the newest known of the store."""

    revision: int
    changes: tuple[StoredObject, ...]


@dataclass(frozen=True, slots=True)
class StoreObjectRead(StoreAnswer):
    """The answer to `ReadObject`; `found` is None if the object does not exist."""

    found: StoredObject | None


@dataclass(frozen=True, slots=True)
class StoreWritten(StoreAnswer):
    """A conditional write took effect at `revision`."""

    revision: int


@dataclass(frozen=True, slots=True)
class StoreConflict(StoreAnswer):
    """A conditional write was refused: the object is now `current` (None: it does not exist)."""

    current: StoredObject | None


@dataclass(frozen=True, slots=True)
class StoreFailed(StoreAnswer):
    """A store request failed or its answer was lost; if `gone`, the store must be listed again."""

    reason: str
    gone: bool = False


@dataclass(frozen=True, slots=True)
class MachinesListed(Event):
    """The platform's lists of live and of leaving machines, which may be outdated."""

    live: tuple[Machine, ...]
    leaving: tuple[Machine, ...]


@dataclass(frozen=True, slots=True)
class BackendChecked(Event):
    """The answer to `CheckBackend`.

    `load` is the reported share of the backend's slots in use (0 to 1, or more when it queues),
    `answer_seconds` the observed time of the check; `shedding` is as the backend reports it.
    """

    backend_number: int
    healthy: bool
    shedding: bool
    load: float
    answer_seconds: float
