"""CBOR form of what nodes tell each other about backends and the configuration.

A record is an array in the order of its fields; a reader ignores further fields.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Generic, TypeVar

import cbor2

from beamloom.replication.store_view import ObjectChange, ViewDelta
from beamloom.routing.tokens.records import (
    BackendRecord,
    BackendState,
    RoutePart,
    RouteRecord,
    RoutingConfiguration,
)

Record = TypeVar("Record")


class RecordCodec(Generic[Record]):
    """Encodes deltas with records of one type."""

    def __init__(
        self, to_list: Callable[[Record], list[Any]], from_list: Callable[[list[Any]], Record]
    ) -> None:
        self._to_list = to_list
        self._from_list = from_list

    def encode(self, delta: ViewDelta[Record]) -> bytes:
        """Return the CBOR of a delta."""
        changes = [
            [
                change.name,
                change.revision,
                None if change.record is None else self._to_list(change.record),
            ]
            for change in delta.changes
        ]
        return cbor2.dumps([delta.since, delta.upto, changes])

    def decode(self, data: bytes) -> ViewDelta[Record]:
        """Return the delta; raises ValueError where it is none."""
        try:
            since, upto, entries = cbor2.loads(data)[:3]
            changes = tuple(self._change(entry) for entry in entries)
            return ViewDelta(int(since), int(upto), changes)
        except (cbor2.CBORDecodeError, TypeError, IndexError, KeyError) as error:
            raise ValueError(f"not a delta: {error!r}") from error

    def _change(self, entry: list[Any]) -> ObjectChange[Record]:
        name, revision, fields = entry[:3]
        record = None if fields is None else self._from_list(fields)
        return ObjectChange(str(name), int(revision), record)


def backend_to_list(record: BackendRecord) -> list[Any]:
    """Return the fields of a backend."""
    return [
        record.name,
        record.identity,
        record.service,
        record.host,
        record.port,
        record.zone,
        record.slots,
        record.state.value,
        record.warm_up_seconds,
    ]


def backend_from_list(fields: list[Any]) -> BackendRecord:
    """Return the backend of these fields."""
    name, identity, service, host, port, zone, slots, state, warm_up = fields[:9]
    return BackendRecord(
        name, identity, service, host, port, zone, slots, BackendState(state), warm_up
    )


def configuration_to_list(record: RoutingConfiguration) -> list[Any]:
    """Return the fields of a configuration."""
    routes = [
        [
            route.name,
            route.destination,
            [[part.service, part.weight] for part in route.parts],
        ]
        for route in record.routes
    ]
    return [record.version, routes, record.idle_seconds]


def configuration_from_list(fields: list[Any]) -> RoutingConfiguration:
    """Return the configuration of these fields."""
    version, routes, idle_seconds = fields[:3]
    records = tuple(
        RouteRecord(name, destination, tuple(RoutePart(*part[:2]) for part in parts))
        for name, destination, parts in (route[:3] for route in routes)
    )
    return RoutingConfiguration(version, records, idle_seconds)


BACKEND_CODEC = RecordCodec(backend_to_list, backend_from_list)
CONFIGURATION_CODEC = RecordCodec(configuration_to_list, configuration_from_list)
