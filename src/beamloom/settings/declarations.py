"""Declarations of all settings, from which their checks and documentation are derived."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from types import MappingProxyType

from beamloom.model.contracts import (
    PlacementPreference,
    RepeatPolicy,
    ServicePolicy,
    TenantLimits,
)
from beamloom.settings.errors import (
    OutOfBoundsError,
    WrongLevelError,
    WrongTypeError,
)

SettingValue = bool | int | float | str
"""The value of a setting; a choice is held as its text."""

LIMIT_PREFIX = "limit."


class SettingLevel(StrEnum):
    """Levels of the tree, from the root down."""

    GLOBAL = "global"
    TENANT = "tenant"
    SERVICE = "service"


class SettingType(StrEnum):
    """Types of a setting's value."""

    BOOLEAN = "boolean"
    INTEGER = "integer"
    FLOAT = "float"
    CHOICE = "choice"


ALL_LEVELS = (SettingLevel.GLOBAL, SettingLevel.TENANT, SettingLevel.SERVICE)
TENANT_LEVELS = (SettingLevel.GLOBAL, SettingLevel.TENANT)


@dataclass(frozen=True, slots=True)
class SettingDeclaration:
    """The name, type, default, bounds (inclusive) and levels of a setting."""

    name: str
    value_type: SettingType
    unit: str
    default: SettingValue
    summary: str
    minimum: float = -math.inf
    maximum: float = math.inf
    choices: tuple[str, ...] = ()
    levels: tuple[SettingLevel, ...] = ALL_LEVELS

    @property
    def field_name(self) -> str:
        """The field of `ServicePolicy` or `TenantLimits` that the setting fills."""
        return self.name.removeprefix(LIMIT_PREFIX).replace(".", "_")

    @property
    def is_limit(self) -> bool:
        """Whether the setting belongs to `TenantLimits` instead of `ServicePolicy`."""
        return self.name.startswith(LIMIT_PREFIX)

    @property
    def bounds_text(self) -> str:
        """The permitted values, for messages and documentation."""
        if self.choices:
            return " or ".join(self.choices)
        if self.value_type is SettingType.BOOLEAN:
            return "true or false"
        return f"{self.minimum:g} to {self.maximum:g}"

    def require_level(self, level: SettingLevel) -> None:
        """Raise WrongLevelError if the setting does not exist at a level."""
        if level not in self.levels:
            allowed = " or ".join(allowed.value for allowed in self.levels)
            raise WrongLevelError(
                f"{self.name} has no value at level {level.value}", f"use level {allowed}"
            )

    def check(self, value: object) -> SettingValue:
        """Return the value, converted to the type of the setting.

        Raises WrongTypeError or OutOfBoundsError.
        """
        if self.value_type is SettingType.CHOICE:
            return self._check_choice(value)
        if self.value_type is SettingType.BOOLEAN:
            return self._check_boolean(value)
        return self._check_number(value)

    def parse(self, text: str) -> SettingValue:
        """Parse a value that an operator typed; raises WrongTypeError or OutOfBoundsError."""
        try:
            return self.check(self._convert(text))
        except ValueError:
            raise self._wrong_type(text) from None

    def _convert(self, text: str) -> object:
        if self.value_type is SettingType.INTEGER:
            return int(text)
        if self.value_type is SettingType.FLOAT:
            return float(text)
        if self.value_type is SettingType.BOOLEAN:
            return {"true": True, "false": False}.get(text, text)
        return text

    def _check_choice(self, value: object) -> SettingValue:
        if not isinstance(value, str):
            raise self._wrong_type(value)
        if value not in self.choices:
            raise self._out_of_bounds(value)
        return str(value)

    def _check_boolean(self, value: object) -> SettingValue:
        if not isinstance(value, bool):
            raise self._wrong_type(value)
        return value

    def _check_number(self, value: object) -> SettingValue:
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise self._wrong_type(value)
        if self.value_type is SettingType.INTEGER and not isinstance(value, int):
            raise self._wrong_type(value)
        if not self.minimum <= value <= self.maximum or math.isinf(value):
            raise self._out_of_bounds(value)
        return value if self.value_type is SettingType.INTEGER else float(value)

    def _wrong_type(self, value: object) -> WrongTypeError:
        unit = f" in {self.unit}" if self.unit else ""
        reason = f"{self.name} must be of type {self.value_type.value}{unit}, not {value!r}"
        return WrongTypeError(reason, f"give {self.bounds_text}, for example {self.default}")

    def _out_of_bounds(self, value: object) -> OutOfBoundsError:
        unit = f" {self.unit}" if self.unit else ""
        return OutOfBoundsError(
            f"{self.name} cannot be {value!r}", f"give {self.bounds_text}{unit}"
        )


_POLICY = ServicePolicy()
_LIMITS = TenantLimits()
_DAY = 86_400.0
MAXIMUM_LIMIT = 1e12

_DECLARATIONS = (
    SettingDeclaration(
        "placement.prefer",
        SettingType.CHOICE,
        "",
        _POLICY.placement_prefer.value,
        "Whether the placement of new flows favours keeping flows where they were (stickiness) "
        "or an even spread of open flows (balance).",
        choices=tuple(choice.value for choice in PlacementPreference),
    ),
    SettingDeclaration(
        "placement.imbalance_bound",
        SettingType.FLOAT,
        "share",
        _POLICY.placement_imbalance_bound,
        "Fraction by which a backend may exceed its share of open flows before new flows go to "
        "their second candidate; ignored if `placement.prefer` is balance.",
        minimum=0.01,
        maximum=2.0,
    ),
    SettingDeclaration(
        "flow.idle_timeout",
        SettingType.FLOAT,
        "seconds",
        _POLICY.flow_idle_timeout,
        "A flow without a packet for this long is removed.",
        minimum=1.0,
        maximum=_DAY,
    ),
    SettingDeclaration(
        "flow.maximum_age",
        SettingType.FLOAT,
        "seconds",
        _POLICY.flow_maximum_age,
        "Upper estimate of the age of a flow; flows are not ended at this age. A node that takes "
        "over flows assumes that it knows all of them after this time at the latest.",
        minimum=60.0,
        maximum=7 * _DAY,
    ),
    SettingDeclaration(
        "request.repeat",
        SettingType.CHOICE,
        "",
        _POLICY.request_repeat.value,
        "Whether a request may be offered to a second backend if its payload was not sent yet.",
        choices=tuple(choice.value for choice in RepeatPolicy),
    ),
    SettingDeclaration(
        "request.deadline",
        SettingType.FLOAT,
        "seconds",
        _POLICY.request_deadline,
        "A TCP flow still open after this time is reset at client and backend; 0 means never. "
        "With a deadline, other nodes relay all packets of a flow to its home node. UDP flows "
        "have no reset and are not ended.",
        minimum=0.0,
        maximum=_DAY,
    ),
    SettingDeclaration(
        "retry.budget_ratio",
        SettingType.FLOAT,
        "share",
        _POLICY.retry_budget_ratio,
        "Limit on offers of refused flows to a second backend, as a share of new flows.",
        minimum=0.0,
        maximum=1.0,
    ),
    SettingDeclaration(
        "backend.cold_start_ramp",
        SettingType.FLOAT,
        "seconds",
        _POLICY.backend_cold_start_ramp,
        "Time over which a new backend's share of new flows rises to its full weight.",
        minimum=0.0,
        maximum=3600.0,
    ),
    SettingDeclaration(
        "backend.check_interval",
        SettingType.FLOAT,
        "seconds",
        _POLICY.backend_check_interval,
        "Time between two checks of a backend's health endpoint.",
        minimum=0.1,
        maximum=300.0,
    ),
    SettingDeclaration(
        "limit.new_flows_per_second",
        SettingType.FLOAT,
        "flows per second",
        _LIMITS.new_flows_per_second,
        "New flows per second of one tenant across the fleet; 0 means unlimited.",
        minimum=0.0,
        maximum=MAXIMUM_LIMIT,
        levels=TENANT_LEVELS,
    ),
    SettingDeclaration(
        "limit.open_flows",
        SettingType.INTEGER,
        "flows",
        _LIMITS.open_flows,
        "Open flows of one tenant across the fleet; 0 means unlimited.",
        minimum=0.0,
        maximum=MAXIMUM_LIMIT,
        levels=TENANT_LEVELS,
    ),
    SettingDeclaration(
        "limit.packets_per_second",
        SettingType.FLOAT,
        "packets per second",
        _LIMITS.packets_per_second,
        "Packets per second of one tenant across the fleet; 0 means unlimited.",
        minimum=0.0,
        maximum=MAXIMUM_LIMIT,
        levels=TENANT_LEVELS,
    ),
    SettingDeclaration(
        "limit.table_share",
        SettingType.FLOAT,
        "share",
        _LIMITS.table_share,
        "Share of a node's flow table that one tenant may hold.",
        minimum=0.001,
        maximum=1.0,
        levels=TENANT_LEVELS,
    ),
)

DECLARATIONS: Mapping[str, SettingDeclaration] = MappingProxyType(
    {declaration.name: declaration for declaration in _DECLARATIONS}
)
"""Every setting of the tree by name, in the order of the reference page."""
