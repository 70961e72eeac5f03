"""Reads the fields of a settings file by name and collects all faults."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, TypeVar

from beamloom.settings.token_node import Endpoint
from beamloom.units import MILLISECONDS

Value = TypeVar("Value")
Fallback = TypeVar("Fallback")


class FieldReader:
    """Reads fields by dotted name; `faults` describes those that are missing or unusable."""

    def __init__(self, document: Mapping[str, Any]) -> None:
        self.faults: list[str] = []
        self._document = document

    def read(
        self,
        name: str,
        convert: Callable[[Any], Value],
        fallback: Fallback,
        *,
        required: bool = True,
    ) -> Value | Fallback:
        """Return a field, or the fallback if it is missing or unusable, which is a fault.

        If the field is not `required`, it may be missing without a fault.
        """
        value: Any = self._document
        for part in name.split("."):
            value = value.get(part) if isinstance(value, Mapping) else None
        if value is None:
            if required:
                self.faults.append(f"{name} is missing")
            return fallback
        try:
            return convert(value)
        except (TypeError, ValueError, IndexError, OverflowError) as error:
            import reprlib  # only here, as few files have faults

            self.faults.append(f"{name} = {reprlib.repr(value)} is not usable ({error})")
            return fallback


def to_text(value: Any) -> str:  # noqa: ANN401 - any value of a file
    """Return a string that is not empty; raises ValueError otherwise."""
    if not isinstance(value, str) or not value:
        raise ValueError("a non-empty string is expected")
    return value


def to_endpoint(value: Any) -> Endpoint:  # noqa: ANN401 - any value of a file
    """Return an address with its port; raises ValueError."""
    host, _, port = to_text(value).rpartition(":")
    if not host:
        raise ValueError("ADDRESS:PORT is expected")
    return Endpoint(host, int(port))


def to_first_port(value: Any) -> int:  # noqa: ANN401 - any value of a file
    """Return the first port of a range; raises TypeError or ValueError."""
    first, last = value
    if not 0 < int(first) <= int(last):
        raise ValueError("two ports are expected, the lower one first")
    return int(first)


def to_hosts(value: Any) -> tuple[str, ...]:  # noqa: ANN401 - any value of a file
    """Return the hosts of a list of addresses; raises TypeError or ValueError."""
    return tuple(to_endpoint(entry).host for entry in value)


def to_names(value: Any) -> tuple[str, ...]:  # noqa: ANN401 - any value of a file
    """Return the sorted keys of a table; raises TypeError."""
    if not isinstance(value, Mapping):
        raise TypeError("a table is expected")
    return tuple(sorted(str(name) for name in value))


def to_positive(value: Any) -> float:  # noqa: ANN401 - any value of a file
    """Return a finite number above 0; raises TypeError, ValueError or OverflowError."""
    number = float(value)
    if not 0 < number < float("inf"):
        raise ValueError("a positive number is expected")
    return number


def to_number(value: Any) -> float:  # noqa: ANN401 - any value of a file
    """Return a number of any size; raises TypeError or OverflowError."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError("a number is expected")
    return float(value)


def to_seconds(value: Any) -> float:  # noqa: ANN401 - any value of a file
    """Convert a positive number of milliseconds to seconds; raises as `to_positive`."""
    return to_positive(value) / MILLISECONDS
