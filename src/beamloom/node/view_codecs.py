"""CBOR encoding of backends, configurations and evacuations in the exchange between nodes.

A record is an array of its fields in order; a reader ignores further fields. A configuration may
instead be sent as its difference from a version that the reader holds.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any, Generic, TypeVar

import cbor2

from beamloom.model.store_revision import (
    UNKNOWN_ERA,
    era_of,
    number_of,
    revision_in_era,
)
from beamloom.protocol.view_messages import NEVER
from beamloom.replication.shared_view import DeltaCodec
from beamloom.replication.store_view import EVERYTHING, ObjectChange, ViewDelta
from beamloom.routing.tokens.configuration_history import (
    ConfigurationDifference,
    ConfigurationHistory,
    apply_difference,
    difference_between,
)
from beamloom.routing.tokens.records import (
    DEFAULT_TERMS,
    BackendRecord,
    BackendState,
    RequestKind,
    RoutePart,
    RouteRecord,
    RouteTerms,
    RoutingConfiguration,
    ServiceWarmUp,
    ZoneEvacuation,
)
from beamloom.units import MILLISECONDS

Record = TypeVar("Record")

LENGTH_WITH_DIFFERENCE = 4
"""Number of fields of a change that carries a difference instead of a record."""
UNKNOWN_START = (0, 0)
"""Start time and sequence number of a backend in entries of earlier releases, which omit both."""
ROUTE_LENGTH_WITHOUT_TERMS = 3
"""Number of fields of a route with default terms; other terms follow as a fourth field."""
TERMS_LENGTH_WITHOUT_UNREADABLE = 4
"""Number of fields of terms that were all readable; the names of unreadable ones follow."""
REQUEST_KINDS = (RequestKind.UNSAFE, RequestKind.SAFE, RequestKind.DOWNLOAD)
"""The index of each is its number on the wire; new kinds are added at the end."""
MAXIMUM_BASES = 8
"""Versions that a node offers as bases; under frequent changes nodes skip different versions."""


class RecordCodec(DeltaCodec[Record], Generic[Record]):
    """Encodes deltas that hold whole records of one type."""

    def __init__(
        self, to_list: Callable[[Record], list[Any]], from_list: Callable[[list[Any]], Record]
    ) -> None:
        self._to_list = to_list
        self._from_list = from_list

    def encode(self, delta: ViewDelta[Record], base: int) -> bytes:
        """Return the CBOR of a delta."""
        changes = [self._fields(change, base) for change in delta.changes]
        since = delta.since if delta.since == EVERYTHING else number_of(delta.since)
        return cbor2.dumps([since, number_of(delta.upto), changes, era_of(delta.upto)])

    def decode(self, data: bytes) -> ViewDelta[Record]:
        """Return the delta; malformed data raises ValueError."""
        try:
            since, upto, entries, *others = cbor2.loads(data)
            era = int(others[0]) if others else UNKNOWN_ERA
            changes = tuple(self._change(entry, era) for entry in entries)
            after = EVERYTHING if since == EVERYTHING else revision_in_era(era, int(since))
            return ViewDelta(after, revision_in_era(era, int(upto)), changes)
        except (cbor2.CBORDecodeError, TypeError, IndexError, KeyError) as error:
            raise ValueError(f"not a delta: {error!r}") from error

    def _fields(self, change: ObjectChange[Record], _base: int) -> list[Any]:
        record = None if change.record is None else self._to_list(change.record)
        return [change.name, number_of(change.revision), record]

    def _change(self, entry: list[Any], era: int) -> ObjectChange[Record]:
        name, number, fields = entry[:3]
        record = None if fields is None else self._from_list(fields)
        return ObjectChange(str(name), revision_in_era(era, int(number)), record)


class ConfigurationCodec(RecordCodec[RoutingConfiguration]):
    """Encodes a configuration as its difference from a version that this node and the peer hold.

    A difference is the fourth element of a change, `[version of the base, fields]`, and the record
    is None then. The base is named by its version, as a restored store may reuse a revision number
    for another version. Without a common version, or without `sends_differences` (for
    measurements), the whole record is sent.
    """

    def __init__(self, history: ConfigurationHistory, *, sends_differences: bool = True) -> None:
        self._sends_differences = sends_differences
        super().__init__(configuration_to_list, configuration_from_list)
        self._history = history
        self._encoded: tuple[tuple[int, int, int], list[Any]] = ((NEVER, NEVER, NEVER), [])

    @property
    def bases(self) -> list[int]:
        """The last versions that this node holds, the newest first."""
        return self._history.newest_versions(MAXIMUM_BASES)

    def choose_base(self, bases: Sequence[int]) -> int:
        """Return the first of a peer's versions that this node holds as well, or NEVER."""
        if not self._sends_differences:
            return NEVER
        return next((base for base in bases if self._history.find(base) is not None), NEVER)

    def _fields(self, change: ObjectChange[RoutingConfiguration], base: int) -> list[Any]:
        """Return a change's fields; the last result is cached, as many peers request the same."""
        version = NEVER if change.record is None else change.record.version
        key = (change.revision, version, base)
        if self._encoded[0] != key:
            self._encoded = (key, self._make_fields(change, base))
        return self._encoded[1]

    def _make_fields(self, change: ObjectChange[RoutingConfiguration], base: int) -> list[Any]:
        known = self._history.find(base)
        difference = None
        if known is not None and change.record is not None:
            difference = difference_between(known, change.record)
        if difference is None:
            return super()._fields(change, base)
        number = number_of(change.revision)
        return [change.name, number, None, [base, difference_to_list(difference)]]

    def _change(self, entry: list[Any], era: int) -> ObjectChange[RoutingConfiguration]:
        if len(entry) < LENGTH_WITH_DIFFERENCE:
            return super()._change(entry, era)
        name, number, _, (base, fields) = entry[:LENGTH_WITH_DIFFERENCE]
        known = self._history.find(base)
        if known is None:
            raise ValueError(f"the difference is based on version {base}, which is not held here")
        record = apply_difference(known, difference_from_list(fields))
        return ObjectChange(str(name), revision_in_era(era, int(number)), record)


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
        record.born_at,
        record.sequence,
    ]


def backend_from_list(fields: list[Any]) -> BackendRecord:
    """Return the backend of these fields."""
    name, identity, service, host, port, zone, slots, state, warm_up, *others = fields
    born_at, sequence = others[:2] or UNKNOWN_START
    return BackendRecord(
        name,
        identity,
        service,
        host,
        port,
        zone,
        slots,
        BackendState(state),
        warm_up,
        born_at,
        sequence,
    )


def configuration_to_list(record: RoutingConfiguration) -> list[Any]:
    """Return the fields of a configuration."""
    routes = [_route_to_list(route) for route in record.routes]
    warm_ups = list(map(list, record.warm_ups))
    return [record.version, routes, record.idle_seconds, warm_ups, record.includes_terms]


def configuration_from_list(fields: list[Any]) -> RoutingConfiguration:
    """Return the configuration of these fields."""
    version, routes, idle_seconds = fields[:3]
    records = tuple(map(_route_from_list, routes))
    warm_ups = _warm_ups_from(fields[3:4])
    return RoutingConfiguration(
        version, records, idle_seconds, warm_ups, _includes_terms(fields, 4)
    )


def difference_to_list(difference: ConfigurationDifference) -> list[Any]:
    """Return the fields of a difference."""
    changed = [_route_to_list(route) for route in difference.changed]
    return [
        difference.version,
        difference.idle_seconds,
        changed,
        list(difference.removed),
        list(map(list, difference.warm_ups)),
        difference.includes_terms,
    ]


def difference_from_list(fields: list[Any]) -> ConfigurationDifference:
    """Return the difference of these fields."""
    version, idle_seconds, changed, removed = fields[:4]
    routes = tuple(map(_route_from_list, changed))
    warm_ups = _warm_ups_from(fields[4:5])
    return ConfigurationDifference(
        version, idle_seconds, routes, tuple(removed), warm_ups, _includes_terms(fields, 5)
    )


def _warm_ups_from(field: list[Any]) -> tuple[ServiceWarmUp, ...]:
    """Return the warm-ups; nodes of earlier releases omit the field."""
    return tuple(ServiceWarmUp(*fields[:3]) for fields in (field[0] if field else ()))


def _includes_terms(fields: list[Any], position: int) -> bool:
    """Return whether a configuration includes route terms; earlier releases omit the field."""
    return len(fields) > position and fields[position] is True


def _route_to_list(route: RouteRecord) -> list[Any]:
    parts = [[part.service, part.weight] for part in route.parts]
    fields: list[Any] = [route.name, route.destination, parts]
    if route.terms != DEFAULT_TERMS:
        fields.append(_terms_to_list(route.terms))
    return fields


def _route_from_list(fields: list[Any]) -> RouteRecord:
    name, destination, parts = fields[:3]
    terms = (
        _terms_from_list(fields[3]) if len(fields) > ROUTE_LENGTH_WITHOUT_TERMS else DEFAULT_TERMS
    )
    return RouteRecord(name, destination, tuple(RoutePart(*part[:2]) for part in parts), terms)


def _terms_to_list(terms: RouteTerms) -> list[Any]:
    """Return the fields of terms, with times in whole milliseconds to keep the encoding short."""
    fields: list[Any] = [
        _milliseconds(terms.objective_seconds),
        _milliseconds(terms.timeout_seconds),
        terms.priority,
        REQUEST_KINDS.index(terms.kind),
    ]
    return [*fields, list(terms.unreadable)] if terms.unreadable else fields


def _terms_from_list(fields: list[Any]) -> RouteTerms:
    """Return the terms of these fields; an unknown kind, of a later release, counts as UNSAFE."""
    objective, timeout, priority, kind = fields[:4]
    known = REQUEST_KINDS[kind] if 0 <= kind < len(REQUEST_KINDS) else RequestKind.UNSAFE
    unreadable = tuple(map(str, fields[4])) if len(fields) > TERMS_LENGTH_WITHOUT_UNREADABLE else ()
    return RouteTerms(_seconds(objective), _seconds(timeout), int(priority), known, unreadable)


def _milliseconds(seconds: float | None) -> int | None:
    return None if seconds is None else round(seconds * MILLISECONDS)


def _seconds(milliseconds: int | None) -> float | None:
    return None if milliseconds is None else milliseconds / MILLISECONDS


def evacuation_to_list(record: ZoneEvacuation) -> list[Any]:
    """Return the fields of an evacuation."""
    return [record.zone]


def evacuation_from_list(fields: list[Any]) -> ZoneEvacuation:
    """Return the evacuation of these fields."""
    return ZoneEvacuation(str(fields[0]))


BACKEND_CODEC = RecordCodec(backend_to_list, backend_from_list)
EVACUATION_CODEC = RecordCodec(evacuation_to_list, evacuation_from_list)
