"""The platform's list of live and leaving machines, which lags behind the truth."""

from __future__ import annotations

from dataclasses import dataclass, replace

from beamloom.model.machines import Machine, NodeId
from beamloom.object_api.wire import MachineListing


@dataclass(frozen=True, slots=True)
class MachineListSettings:
    """Times in seconds: how late the list is, and how long a machine without heartbeat stays."""

    lag_seconds: float = 2.0
    expiry_seconds: float = 30.0


@dataclass(frozen=True, slots=True)
class MachineRecord:
    """What one machine reported, and when."""

    machine: Machine
    registered_at: float
    heartbeat_at: float
    left_at: float | None = None


class MachineDirectory:
    """Sans-I/O record of machines; every time is in seconds on the caller's clock."""

    def __init__(self, settings: MachineListSettings | None = None) -> None:
        self._settings = settings or MachineListSettings()
        self._records: dict[NodeId, MachineRecord] = {}

    def register(self, machine: Machine, now: float) -> None:
        """Enter a machine; a known one counts as come back, under its new addresses."""
        self._records[machine.node_id] = MachineRecord(machine, now, now)

    def heartbeat(self, node_id: NodeId, now: float) -> bool:
        """Note that a machine lives; false where it must register (again)."""
        return self._update(node_id, heartbeat_at=now)

    def leave(self, node_id: NodeId, now: float) -> bool:
        """Note that a machine is leaving; false where it is not known."""
        return self._update(node_id, left_at=now)

    def listing(self, now: float) -> MachineListing:
        """Return the machines as the platform sees them: as they were `lag_seconds` ago."""
        seen_at = now - self._settings.lag_seconds
        self._forget_expired(seen_at)
        live: list[Machine] = []
        leaving: list[Machine] = []
        for node_id in sorted(self._records):
            record = self._records[node_id]
            if record.registered_at > seen_at:
                continue
            has_left = record.left_at is not None and record.left_at <= seen_at
            (leaving if has_left else live).append(record.machine)
        return MachineListing(tuple(live), tuple(leaving))

    def _update(self, node_id: NodeId, **changes: float) -> bool:
        record = self._records.get(node_id)
        if record is None:
            return False
        self._records[node_id] = replace(record, **changes)  # type: ignore[arg-type]
        return True

    def _forget_expired(self, seen_at: float) -> None:
        oldest = seen_at - self._settings.expiry_seconds
        expired = [name for name, record in self._records.items() if record.heartbeat_at < oldest]
        for name in expired:
            del self._records[name]
