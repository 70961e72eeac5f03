"""The applied state together with the log of the changes that led to it."""

from __future__ import annotations

from beamloom.protocol.configuration_messages import ReplicatedChange
from beamloom.protocol.events import StoredObject
from beamloom.replication.change_log import ChangeLog
from beamloom.replication.configuration_state import ConfigurationState


class AppliedState:
    """Applies changes and snapshots, and collects the changed objects for its consumer."""

    def __init__(self) -> None:
        self.state = ConfigurationState()
        self.log = ChangeLog()
        self.applied_steps = 0
        self.loaded_snapshots = 0
        self._unseen: list[StoredObject] = []

    @property
    def revision(self) -> int:
        """The applied revision."""
        return self.state.revision

    def apply(self, step: ReplicatedChange) -> None:
        """Apply one change that follows the applied revision."""
        self.state.apply(step)
        self.log.append(step)
        self._unseen.extend(step.objects)
        self.applied_steps += 1

    def load(self, state: ConfigurationState) -> None:
        """Replace the state by that of a verified snapshot, which must be newer."""
        if state.revision <= self.revision:
            raise ValueError(
                f"snapshot {state.revision} is not newer; keep the applied revision {self.revision}"
            )
        self._unseen.extend(self.state.difference(state.revision, state.objects.values()).objects)
        self.state = state
        self.log.clear()
        self.loaded_snapshots += 1

    def take_unseen(self) -> list[StoredObject]:
        """Return the objects changed since the last call, in order."""
        unseen, self._unseen = self._unseen, []
        return unseen
