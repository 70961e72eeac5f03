"""Shares structures between the nodes of a scale run that are pure functions of the same inputs.

These are partition maps, placement tables and the typed form of stored backends. Real nodes build
their own; `scale_single` measures the processor time and memory of that on one core.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from types import ModuleType
from typing import Any

from beamloom.model.contracts import Backend, Generation
from beamloom.model.machines import Machine, NodeId
from beamloom.node import configuration_follower
from beamloom.protocol.events import StoredObject
from beamloom.routing import ownership, services
from beamloom.routing.partitions import PartitionMap
from beamloom.routing.placement import PlacementTable, build_placement_table
from beamloom.settings import configuration
from beamloom.settings.stored_objects import read_backend

MAXIMUM_MAPS = 64
MapKey = tuple[tuple[NodeId, str], ...]


class SharedPartitionMaps:
    """Builds each partition map once; the latest map saves work and does not affect the result."""

    def __init__(self) -> None:
        self._maps: OrderedDict[MapKey, PartitionMap] = OrderedDict()

    def __call__(
        self, machines: Sequence[Machine], previous: PartitionMap | None = None
    ) -> PartitionMap:
        """Return the map of these machines."""
        key = tuple(sorted((item.node_id, item.zone.name) for item in machines))
        found = self._maps.get(key)
        if found is None:
            latest = next(reversed(self._maps.values()), None)
            found = self._maps[key] = PartitionMap(machines, latest if key else None)
            if len(self._maps) > MAXIMUM_MAPS:
                self._maps.popitem(last=False)
        self._maps.move_to_end(key)
        return found


class SharedPlacementTables:
    """Builds the placement table of each generation once."""

    def __init__(self) -> None:
        self._tables: dict[int, list[tuple[Generation, PlacementTable]]] = {}

    def __call__(self, generation: Generation) -> PlacementTable:
        """Return the table of a generation."""
        known = self._tables.setdefault(generation.revision, [])
        for other, table in known:
            if other == generation:
                return table
        table = build_placement_table(generation)
        known.append((generation, table))
        return table


class SharedBackends:
    """Reads each stored backend once; keeps the objects, so that their ids are not reused."""

    def __init__(self) -> None:
        self._backends: dict[int, tuple[StoredObject, Backend]] = {}

    def __call__(self, stored: StoredObject) -> Backend:
        """Return the typed form of a stored backend."""
        known = self._backends.get(id(stored))
        if known is None:
            known = self._backends[id(stored)] = (stored, read_backend(stored))
        return known[1]


@contextmanager
def shared_structures() -> Iterator[None]:
    """Share maps and tables between all cores of this process inside the context."""
    backends = SharedBackends()
    with (
        _replaced(ownership, "PartitionMap", SharedPartitionMaps()),
        _replaced(configuration, "read_backend", backends),
        _replaced(configuration_follower, "read_backend", backends),
        _replaced(services, "build_placement_table", SharedPlacementTables()),
    ):
        yield


@contextmanager
def _replaced(module: ModuleType, name: str, builder: Callable[..., Any]) -> Iterator[None]:
    original = getattr(module, name)
    setattr(module, name, builder)
    try:
        yield
    finally:
        setattr(module, name, original)
