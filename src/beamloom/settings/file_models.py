"""Base class and types of the pydantic models of settings files; converts errors to faults."""

from __future__ import annotations

import ipaddress
import re
import reprlib
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Annotated, Any, Generic, TypeVar, get_args

from pydantic import (
    BaseModel,
    BeforeValidator,
    ConfigDict,
    Field,
    StringConstraints,
    TypeAdapter,
)
from pydantic import ValidationError as ModelError
from pydantic.fields import FieldInfo

from beamloom.model.addresses import SocketAddress
from beamloom.model.zones import Zone
from beamloom.settings.file_faults import (
    SettingsFileError,
    split_unit,
    unit_words,
    unknown_key_remedy,
)
from beamloom.settings.toml_source import KeyPath, TomlSource
from beamloom.settings.tree import NAME_PATTERN

IpNetwork = ipaddress.IPv4Network | ipaddress.IPv6Network
Model = TypeVar("Model", bound=BaseModel)
MAXIMUM_PORT = 65_535
_URL = re.compile(r"https?://[^/\s]+/?")


FIELD_CONFIGURATION = ConfigDict(strict=True, arbitrary_types_allowed=True)


class FileModel(BaseModel):
    """Base of every table of a settings file: immutable, strict types, no unknown keys."""

    model_config = ConfigDict(extra="forbid", frozen=True, **FIELD_CONFIGURATION)


def _parse_address(value: object) -> SocketAddress:
    if not isinstance(value, str):
        raise ValueError("give an address as HOST:PORT in quotes, by IP number")
    try:
        address = SocketAddress.parse(value)
    except ValueError:
        raise ValueError("give HOST:PORT with an IP number, for example 127.0.0.1:7000") from None
    if address.port > MAXIMUM_PORT:
        raise ValueError(f"give a port of at most {MAXIMUM_PORT}")
    return address


def _parse_network(value: object) -> IpNetwork:
    try:
        return ipaddress.ip_network(str(value))
    except ValueError:
        raise ValueError("give a network prefix, for example 10.1.0.0/16") from None


def _parse_ip(value: object) -> str:
    try:
        return str(ipaddress.ip_address(str(value)))
    except ValueError:
        raise ValueError("give an IPv4 or IPv6 address, for example 10.0.0.1") from None


def _parse_url(value: object) -> str:
    if not isinstance(value, str) or not _URL.fullmatch(value):
        raise ValueError("give http://HOST:PORT or https://HOST:PORT")
    return value.rstrip("/")


Url = Annotated[str, BeforeValidator(_parse_url)]
Address = Annotated[SocketAddress, BeforeValidator(_parse_address)]
Network = Annotated[IpNetwork, BeforeValidator(_parse_network)]
IpText = Annotated[str, BeforeValidator(_parse_ip)]
Name = Annotated[str, StringConstraints(pattern=f"^{NAME_PATTERN.pattern}$")]
Items = Annotated[tuple[Model, ...], Field(strict=False)]
"""An array of tables."""


class ZoneTable(FileModel):
    """`[[zones]]`: a zone, its region and the networks that its addresses must lie in."""

    name: Name
    region: Name
    networks: Annotated[tuple[Network, ...], Field(strict=False)] = ()

    @property
    def zone(self) -> Zone:
        """The zone as an object of the domain model."""
        return Zone(self.name, self.region)

    def contains(self, host: str) -> bool:
        """Whether an IP address lies in the zone; true when no networks are given."""
        address = ipaddress.ip_address(host)
        return not self.networks or any(address in network for network in self.networks)


@dataclass(frozen=True, slots=True)
class FileReading(Generic[Model]):
    """A file's model and the faults of single values.

    If there are faults, an unreadable field is None regardless of its type, so that checks across
    values can still run and all faults are reported at once.
    """

    tables: Model
    faults: tuple[SettingsFileError, ...]


def read_tables(model: type[Model], source: TomlSource) -> FileReading[Model]:
    """Parse a file into a model, with the faults of single values."""
    try:
        return FileReading(model.model_validate(source.data), ())
    except ModelError as error:
        faults = [_to_fault(model, source, details) for details in _root_errors(error)]
        return FileReading(_read_partially(model, source.data), tuple(faults))


def _read_partially(model: type[Model], data: object) -> Model:
    """Return a model with those values of the data that can be read."""
    given = data if isinstance(data, Mapping) else {}
    fields: dict[str, Any] = {
        name: _read_field(field, given.get(name)) for name, field in model.model_fields.items()
    }
    return model.model_construct(**fields)


def _read_field(field: FieldInfo, value: object) -> object:
    nested = _nested_model(field.annotation)
    if nested is not None:
        if get_args(field.annotation):
            items = value if isinstance(value, list) else []
            return tuple(_read_partially(nested, item) for item in items)
        return _read_partially(nested, value)
    if value is None:
        return None if field.is_required() else field.get_default(call_default_factory=True)
    kind: Any = field.annotation
    if field.metadata:
        kind = Annotated[kind, *field.metadata]
    try:
        return TypeAdapter(kind, config=FIELD_CONFIGURATION).validate_python(value)
    except ModelError:
        return None


def _root_errors(error: ModelError) -> list[Any]:
    """Return the errors without those that follow from errors in nested values.

    pydantic reports an array as too short if it rejects items of the array.
    """
    errors = error.errors()
    return [
        details
        for details in errors
        if details["type"] != "too_short" or not any(_is_inside(other, details) for other in errors)
    ]


def _is_inside(other: Any, details: Any) -> bool:  # noqa: ANN401
    depth = len(details["loc"])
    return len(other["loc"]) > depth and other["loc"][:depth] == details["loc"]


def raise_faults(faults: Sequence[SettingsFileError]) -> None:
    """Raise an ExceptionGroup of the faults in the order of their lines, if there are any."""
    if faults:
        ordered = sorted(faults, key=lambda fault: fault.line)
        raise ExceptionGroup("the settings file has faults", ordered)


def zone_faults(source: TomlSource, zones: Sequence[ZoneTable]) -> Iterator[SettingsFileError]:
    """Yield faults between zones: duplicate names and overlapping networks."""
    seen: dict[str, ZoneTable] = {}
    for index, zone in enumerate(zones):
        path: KeyPath = ("zones", index)
        if zone.name is not None and zone.name in seen:
            reason = f"zone {zone.name} is given twice"
            yield fault_at(source, (*path, "name"), reason, "give each zone one name of its own")
        for other in seen.values():
            if _overlap(zone.networks, other.networks):
                reason = f"its networks overlap those of zone {other.name}"
                remedy = "give each network to one zone"
                yield fault_at(source, (*path, "networks"), reason, remedy)
        seen[zone.name] = zone


def zones_by_name(zones: Sequence[ZoneTable]) -> dict[str, ZoneTable]:
    """Return the zones by name; of zones with the same name, which is a fault, the first."""
    return {zone.name: zone for zone in reversed(zones) if zone.name is not None}


def address_faults(
    source: TomlSource,
    zones: Mapping[str, ZoneTable],
    zone: str,
    path: KeyPath,
    address: SocketAddress | None,
) -> Iterator[SettingsFileError]:
    """Yield a fault where an address lies outside its zone."""
    table = zones.get(zone)
    if address is None or table is None or table.contains(address.host):
        return
    networks = ", ".join(map(str, table.networks))
    reason = f"{address.host} lies outside zone {zone}"
    yield fault_at(source, path, reason, f"give an address in {networks}, or the right zone")


def fault_at(source: TomlSource, path: KeyPath, reason: str, remedy: str) -> SettingsFileError:
    """Return a fault of the value at a path."""
    return SettingsFileError(source.line_of(path), key_text(path), reason, remedy)


def key_text(path: KeyPath) -> str:
    """Return a path as operators read it, with indexes counted from 1."""
    text = ""
    for part in path:
        text += f"[{part + 1}]" if isinstance(part, int) else f".{part}"
    return text.lstrip(".")


def _overlap(networks: Sequence[IpNetwork], others: Sequence[IpNetwork]) -> bool:
    return any(
        network.version == other.version and network.overlaps(other)
        for network in networks or ()
        for other in others or ()
    )


def _to_fault(model: type[BaseModel], source: TomlSource, details: Any) -> SettingsFileError:  # noqa: ANN401
    path: KeyPath = tuple(details["loc"])
    key = str(path[-1])
    kind, value = details["type"], reprlib.repr(details["input"])
    if kind == "extra_forbidden":
        known = _known_keys(model, path[:-1])
        return fault_at(source, path, "there is no such key", unknown_key_remedy(key, known))
    if kind == "missing":
        return fault_at(source, path, "this key is missing", f"add {key}")
    return fault_at(source, path, f"{value} cannot be used", _remedy(key, details))


def _remedy(key: str, details: Any) -> str:  # noqa: ANN401
    """Return what to give instead of a value, with its unit if the key names one."""
    kind = details["type"]
    if kind == "value_error":
        return str(details["ctx"]["error"])
    if kind == "string_pattern_mismatch":
        return "give a name of letters, digits, -, _ and ., at most 63 long"
    if kind in {"too_short", "too_long"}:
        context = details["ctx"]
        if kind == "too_short":
            return f"give at least {context['min_length']}"
        return f"give at most {context['max_length']}"
    message = details["msg"].replace("Input should", "it should").replace("String", "it")
    unit = split_unit(key)[1]
    if not unit:
        return str(message)
    return f"give a number of {unit_words(unit)}" + (f", {message}" if kind in _BOUND_KINDS else "")


_BOUND_KINDS = frozenset({"greater_than", "greater_than_equal", "less_than", "less_than_equal"})


def _known_keys(model: type[BaseModel], path: KeyPath) -> list[str]:
    """Return the keys of the table at a path."""
    current = model
    for part in path:
        if isinstance(part, str) and part in current.model_fields:
            nested = _nested_model(current.model_fields[part].annotation)
            if nested is None:
                return []
            current = nested
    return list(current.model_fields)


def _nested_model(annotation: Any) -> type[BaseModel] | None:  # noqa: ANN401
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        return annotation
    for argument in get_args(annotation):
        nested = _nested_model(argument)
        if nested is not None:
            return nested
    return None
