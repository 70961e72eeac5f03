"""Stored services, in force or not: their generations and their claims to addresses."""

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

    `address` is None while the object cannot be read. `claim` is the address that it claims, and
    `claim_revision` the revision that the claim dates from (see `AddressClaims`).
    """

    stored: StoredObject
    address: VirtualAddress | None = None
    claim: VirtualAddress | None = None
    claim_revision: int = 0
    generations: tuple[Generation, ...] = ()

    def update_generation(self, unsorted: Iterable[Backend], revision: int) -> None:
        """Add a generation if the backends differ from those of the last one."""
        backends = tuple(sorted(unsorted, key=lambda backend: backend.backend_number))
        if not self.generations or self.generations[-1].backends != backends:
            generations = (*self.generations, Generation(revision, backends))
            self.generations = generations[-GENERATIONS_KEPT:]

    def find_last_known(self, backend_id: str, backend_number: int) -> Backend | None:
        """Return a backend from the last generation, unless it was created again since."""
        backends = self.generations[-1].backends if self.generations else ()
        for backend in backends:
            if (backend.backend_id, backend.backend_number) == (backend_id, backend_number):
                return backend
        return None


@dataclass(slots=True)
class AddressClaims:
    """The services that claim each address; the earliest claim holds it.

    A claim dates from the last change of its service object or from the creation of its tenant,
    whichever is later. A service that changes its address, or whose tenant is created again, thus
    comes after the current holder. Both revisions are stored, so that all nodes agree.
    """

    _claims: dict[VirtualAddress, dict[str, ServiceRecord]] = field(default_factory=dict)

    def move(
        self, name: str, record: ServiceRecord, address: VirtualAddress | None, revision: int = 0
    ) -> set[str]:
        """Change the address that a service claims; return the other services affected."""
        if (record.claim, record.claim_revision) == (address, revision):
            return set()
        affected: set[str] = set()
        if record.claim is not None:
            affected.update(self._withdraw(name, record.claim))
        record.claim, record.claim_revision = address, revision
        if address is not None:
            competitors = self._claims.setdefault(address, {})
            affected.update(competitors)
            competitors[name] = record
        return affected

    def holder(self, address: VirtualAddress) -> str:
        """Return the service that holds an address; at least one must claim it."""
        competitors = self._claims[address]
        return min(competitors, key=lambda name: _claim_order(competitors[name]))

    def _withdraw(self, name: str, address: VirtualAddress) -> list[str]:
        competitors = self._claims[address]
        del competitors[name]
        if not competitors:
            del self._claims[address]
        return list(competitors)


def _claim_order(record: ServiceRecord) -> tuple[int, int]:
    """Return the sort key of a claim; claims that date from one tenant go by service revision."""
    return record.claim_revision, record.stored.revision
