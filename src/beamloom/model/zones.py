"""Regions, zones and the links between them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Zone:
    """A failure domain within a region; names are unique in the fleet."""

    name: str
    region: str


@dataclass(frozen=True, slots=True)
class Link:
    """The path between two zones; `one_way_delay` is in seconds, `loss` is a share from 0 to 1."""

    first_zone: str
    second_zone: str
    one_way_delay: float
    loss: float = 0.0
