"""The platform's list of live and leaving machines, which lags behind their reports."""

from __future__ import annotations

from dataclasses import dataclass, replace

from beamloom.model.machines import Machine, NodeId
from beamloom.object_api.wire import MachineListing


@dataclass(frozen=True, slots=True)
class MachineListSettings:
    """Lag of the list, and time after which a machine without heartbeats expires (seconds)."""

    lag_seconds: float = 2.0
    expiry_seconds: float = 30.0


@dataclass(frozen=True, slots=True)
class MachineRecord:
    """One machine and the times of its reports."""

    machine: Machine
    registered_at: float
    heartbeat_at: float
    left_at: float | None = None


class MachineDirectory:
    """Sans-I/O registry of machines; times are in seconds on the caller's clock."""

    def __init__(self, settings: MachineListSettings | None = None) -> None:
        self._settings = settings or MachineListSettings()
        self._records: dict[NodeId, MachineRecord] = {}

    def register(self, machine: Machine, now: float) -> None:
        """Register a machine, replacing any earlier registration and departure."""
        self._records[machine.node_id] = MachineRecord(machine, now, now)

    def heartbeat(self, node_id: NodeId, now: float) -> bool:
        """Record a heartbeat; returns False if the machine must register first."""
        return self._update(node_id, heartbeat_at=now)

    def leave(self, node_id: NodeId, now: float) -> bool:
        """Mark a machine as leaving; returns False if it is unknown."""
        return self._update(node_id, left_at=now)

    def listing(self, now: float) -> MachineListing:
        """Return the list; registrations and departures appear after `lag_seconds`."""
        listed_at = now - self._settings.lag_seconds
        self._remove_expired(listed_at)
        live: list[Machine] = []
        leaving: list[Machine] = []
        for node_id in sorted(self._records):
            record = self._records[node_id]
            if record.registered_at > listed_at:
                continue
            has_left = record.left_at is not None and record.left_at <= listed_at
            (leaving if has_left else live).append(record.machine)
        return MachineListing(tuple(live), tuple(leaving))

    def _update(self, node_id: NodeId, **changes: float) -> bool:
        record = self._records.get(node_id)
        if record is None:
            return False
        self._records[node_id] = replace(record, **changes)  # type: ignore[arg-type]
        return True

    def _remove_expired(self, listed_at: float) -> None:
        oldest = listed_at - self._settings.expiry_seconds
        expired = [name for name, record in self._records.items() if record.heartbeat_at < oldest]
        for name in expired:
            del self._records[name]
