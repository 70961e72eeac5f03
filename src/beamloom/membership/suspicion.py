"""Suspicion timers that shorten with independent confirmations (Lifeguard, Dadgar et al. 2018)."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from beamloom.membership.settings import MembershipSettings
from beamloom.model.machines import NodeId

SMALLEST_SCALE = 1.5
"""Stands for log10 of the fleet's size where that is less, so that small fleets bear pauses too."""
CHECK_SHARE = 0.6
"""Part of the timer after which a node that suspects by hearsay asks the member itself."""


@dataclass(slots=True)
class Suspicion:
    """One suspected member: since when, by whom, and the bounds of its timer in seconds."""

    incarnation: int
    started: float
    minimum: float
    maximum: float
    needed: int
    accusers: set[NodeId] = field(default_factory=set)
    checked: bool = False

    def confirm(self, accuser: NodeId) -> bool:
        """Note an accuser; return whether it is new and still shortens the timer."""
        if accuser in self.accusers or self.is_confirmed:
            return False
        self.accusers.add(accuser)
        return True

    @property
    def is_confirmed(self) -> bool:
        """Whether further accusers would no longer shorten the timer."""
        return len(self.accusers) > self.needed

    def deadline(self, health_factor: int) -> float:
        """Return when to declare the member dead; a node that doubts itself waits longer."""
        confirmations = max(0, len(self.accusers) - 1)
        share = math.log(confirmations + 1) / math.log(self.needed + 1) if self.needed else 1.0
        timeout = self.maximum - (self.maximum - self.minimum) * share
        return self.started + max(self.minimum, timeout) * health_factor

    def next_step(self, health_factor: int) -> float:
        """Return when to check with the member itself, or, once checked, the deadline."""
        deadline = self.deadline(health_factor)
        if self.checked:
            return deadline
        return self.started + (deadline - self.started) * CHECK_SHARE


def suspicion_bounds(
    settings: MembershipSettings, members: int, factor: float
) -> tuple[float, float]:
    """Return the shortest and longest timer for a fleet size; `factor` lengthens both."""
    scale = max(SMALLEST_SCALE, math.log10(max(members, 1)))
    minimum = settings.suspicion_multiplier * scale * settings.probe_interval * factor
    return minimum, minimum * settings.suspicion_maximum_factor


class FlapHistory:
    """How often each member came back after a suspicion, within a sliding window."""

    def __init__(self, settings: MembershipSettings) -> None:
        self._settings = settings
        self._returns: dict[NodeId, list[float]] = {}

    def record_return(self, node_id: NodeId, now: float) -> None:
        """Note that a member came back."""
        recent = self._recent(node_id, now)
        limit = self._settings.flap_threshold + int(self._settings.flap_maximum_factor)
        self._returns[node_id] = [*recent, now][-limit:]

    def factor(self, node_id: NodeId, now: float) -> float:
        """Return by how much to lengthen the member's suspicion; 1 for a steady member."""
        excess = len(self._recent(node_id, now)) - self._settings.flap_threshold
        return min(self._settings.flap_maximum_factor, 1.0 + max(0, excess))

    def forget(self, node_id: NodeId) -> None:
        """Drop the history of a member that is no longer known."""
        self._returns.pop(node_id, None)

    def known(self) -> list[NodeId]:
        """Return the members that have a history."""
        return list(self._returns)

    def _recent(self, node_id: NodeId, now: float) -> list[float]:
        since = now - self._settings.flap_window
        return [moment for moment in self._returns.get(node_id, ()) if moment > since]
