"""Compiles the changes that the replica applied into contracts, identical on every node."""

from __future__ import annotations

from beamloom.model.contracts import Backend, Generation
from beamloom.replication.backend_history import BackendHistory, BackendSet
from beamloom.replication.configuration_replica import ConfigurationReplica
from beamloom.settings.configuration import Configuration
from beamloom.settings.configuration_changes import ConfigurationDelta
from beamloom.settings.errors import SettingsError
from beamloom.settings.stored_objects import read_backend


class ConfigurationFollower:
    """Keeps the compiled configuration up to date with the replica."""

    def __init__(self, replica: ConfigurationReplica) -> None:
        self.configuration = Configuration()
        self._replica = replica
        self._source = replica.backend_histories
        self._histories: dict[str, BackendHistory] = {}

    def catch_up(self) -> ConfigurationDelta | None:
        """Compile what was applied since the last call; return None if nothing was."""
        changes = self._replica.take_applied_changes()
        if not changes and self._replica.backend_histories is self._source:
            return None
        touched = {
            change.key.removeprefix("service/")
            for change in changes
            if change.key.startswith("service/")
        }
        touched |= self._replaced_histories()
        histories = {
            name: read_generations(self._replica.backend_histories.get(name, ()))
            for name in sorted(touched)
        }
        return self.configuration.apply_batch(changes, histories)

    def _replaced_histories(self) -> set[str]:
        """Return the services whose backend history differs from the one at the last call.

        Changes alone are not enough: a snapshot may add generations of a backend that was created
        and removed between two snapshots.
        """
        self._source = self._replica.backend_histories
        before, self._histories = self._histories, dict(self._source)
        return {
            name for name, history in self._histories.items() if before.get(name) is not history
        }


def read_generations(history: BackendHistory) -> tuple[Generation, ...]:
    """Return the generations of a service; consecutive equal ones are merged.

    An unreadable backend object is replaced by its version in the previous generation, or left out.
    """
    generations: list[Generation] = []
    for backend_set in history:
        known = generations[-1].backends if generations else ()
        backends = _read_backends(backend_set, known)
        if not generations or generations[-1].backends != backends:
            generations.append(Generation(backend_set.revision, backends))
    return tuple(generations)


def _read_backends(backend_set: BackendSet, known: tuple[Backend, ...]) -> tuple[Backend, ...]:
    last_good = {backend.backend_number: backend for backend in known}
    backends: list[Backend] = []
    for stored in backend_set.objects:
        try:
            backends.append(read_backend(stored))
        except SettingsError:
            if stored.created_revision in last_good:
                backends.append(last_good[stored.created_revision])
    return tuple(sorted(backends, key=lambda backend: backend.backend_number))
