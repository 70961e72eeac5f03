"""Stored services, in force or not: their generations, and which of them holds which address."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from beamloom.protocol.events import StoredObject
from beamloom.world.addresses import VirtualAddress
from beamloom.world.contracts import Backend, Generation

GENERATIONS_KEPT = 16


@dataclass(slots=True)
class ServiceRecord:
    """A service object with its generations, oldest first.

    `address` is None while the object cannot be read; `claim` is the address it competes for.
    """

    stored: StoredObject
    address: VirtualAddress | None = None
    claim: VirtualAddress | None = None
    generations: tuple[Generation, ...] = ()

    def update_generation(self, unsorted: Iterable[Backend], revision: int) -> None:
        """Add a generation where the backends differ from the last one's."""
        backends = tuple(sorted(unsorted, key=lambda backend: backend.backend_number))
        if not self.generations or self.generations[-1].backends != backends:
            generations = (*self.generations, Generation(revision, backends))
            self.generations = generations[-GENERATIONS_KEPT:]

    def last_known(self, backend_id: str, backend_number: int) -> Backend | None:
        """Return a backend as the last generation has it, unless it was created anew since."""
        backends = self.generations[-1].backends if self.generations else ()
        for backend in backends:
            if (backend.backend_id, backend.backend_number) == (backend_id, backend_number):
                return backend
        return None


@dataclass(slots=True)
class AddressClaims:
    """Which services ask for which address; the oldest of them holds it."""

    _claims: dict[VirtualAddress, dict[str, ServiceRecord]] = field(default_factory=dict)

    def move(self, name: str, record: ServiceRecord, wanted: VirtualAddress | None) -> set[str]:
        """Let a service compete for another address; return the other services concerned."""
        if record.claim == wanted:
            return set()
        concerned: set[str] = set()
        if record.claim is not None:
            concerned.update(self._withdraw(name, record.claim))
        record.claim = wanted
        if wanted is not None:
            competitors = self._claims.setdefault(wanted, {})
            concerned.update(competitors)
            competitors[name] = record
        return concerned

    def holder(self, address: VirtualAddress) -> str:
        """Return the service that keeps an address which at least one claims."""
        competitors = self._claims[address]
        return min(competitors, key=lambda name: (_service_number(competitors[name]), name))

    def _withdraw(self, name: str, address: VirtualAddress) -> list[str]:
        competitors = self._claims[address]
        del competitors[name]
        if not competitors:
            del self._claims[address]
        return list(competitors)


def _service_number(record: ServiceRecord) -> int:
    return record.stored.created_revision
