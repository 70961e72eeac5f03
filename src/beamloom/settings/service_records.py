"""Stored services, in force or not: their generations, and which of them holds which address."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from beamloom.model.addresses import VirtualAddress
from beamloom.model.contracts import Backend, Generation
from beamloom.protocol.events import StoredObject

GENERATIONS_KEPT = 16


@dataclass(slots=True)
class ServiceRecord:
    """A service object with its generations, oldest first.

    `address` is None while the object cannot be read. `claim` is the address it competes for and
    `claimed` the revision since which it does, see `AddressClaims`.
    """

    stored: StoredObject
    address: VirtualAddress | None = None
    claim: VirtualAddress | None = None
    claimed: int = 0
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
    """Which services ask for which address; the one with the earliest claim holds it.

    A claim dates from the last change of its service object, or from its tenant's creation where
    that came later: so a service that moves, or comes back with its tenant, comes after whoever
    has the address by then. Both stand in the stored objects, so every node agrees.
    """

    _claims: dict[VirtualAddress, dict[str, ServiceRecord]] = field(default_factory=dict)

    def move(
        self, name: str, record: ServiceRecord, wanted: VirtualAddress | None, claimed: int = 0
    ) -> set[str]:
        """Let a service compete for an address; return the other services concerned."""
        if (record.claim, record.claimed) == (wanted, claimed):
            return set()
        concerned: set[str] = set()
        if record.claim is not None:
            concerned.update(self._withdraw(name, record.claim))
        record.claim, record.claimed = wanted, claimed
        if wanted is not None:
            competitors = self._claims.setdefault(wanted, {})
            concerned.update(competitors)
            competitors[name] = record
        return concerned

    def holder(self, address: VirtualAddress) -> str:
        """Return the service that keeps an address which at least one claims."""
        competitors = self._claims[address]
        return min(competitors, key=lambda name: _seniority(competitors[name]))

    def _withdraw(self, name: str, address: VirtualAddress) -> list[str]:
        competitors = self._claims[address]
        del competitors[name]
        if not competitors:
            del self._claims[address]
        return list(competitors)


def _seniority(record: ServiceRecord) -> tuple[int, int]:
    """Order claims; services that came back with one tenant are told apart by their change."""
    return record.claimed, record.stored.revision
