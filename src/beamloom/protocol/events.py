"""Events: everything that the adapters tell the decision core. Each arrives with a time `now`."""

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
    """Bytes arrived on the control socket."""

    data: bytes
    source: SocketAddress


@dataclass(frozen=True, slots=True)
class TimerExpired(Event):
    """The time that `NodeCore.next_timer` named has come."""


@dataclass(frozen=True, slots=True)
class StopRequested(Event):
    """A planned stop: hand over, finish, then answer with `StopNode`."""


@dataclass(frozen=True, slots=True)
class StoredObject:
    """One object of the platform's store; `value` is None once deleted.

    `revision` is the store-wide revision of the object's last change. `created_revision` is the
    one at which it was created: its number for ever.
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
    """The watch delivered changes, in store order; `revision` is the store's newest known."""

    revision: int
    changes: tuple[StoredObject, ...]


@dataclass(frozen=True, slots=True)
class StoreObjectRead(StoreAnswer):
    """The answer to `ReadObject`; `found` is None where there is no such object."""

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
    """A store request failed or its answer was lost; `gone` says the watch must start anew."""

    reason: str
    gone: bool = False


@dataclass(frozen=True, slots=True)
class MachinesListed(Event):
    """The platform's lagging list of live machines and of leaving ones: a hint, no more."""

    live: tuple[Machine, ...]
    leaving: tuple[Machine, ...]


@dataclass(frozen=True, slots=True)
class BackendChecked(Event):
    """The answer to `CheckBackend`.

    `load` is the reported share of the backend's slots in use (0 to 1, or more when it queues),
    `answer_seconds` the observed time of the check; `shedding` is what the backend says.
    """

    backend_number: int
    healthy: bool
    shedding: bool
    load: float
    answer_seconds: float
