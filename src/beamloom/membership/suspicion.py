"""Suspicion timers that shorten with independent confirmations (Lifeguard, Dadgar et al. 2018)."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from beamloom.membership.settings import MembershipSettings
from beamloom.model.machines import NodeId

MINIMUM_SCALE = 1.5
"""Lower bound of log10 of the fleet size, so that timers in small fleets outlast short pauses."""
CHECK_FRACTION = 0.6
"""Fraction of the timer after which some of the nodes ping the suspect directly."""


@dataclass(slots=True)
class Suspicion:
    """Suspicion of one member, with the bounds of its timer in seconds.

    `confirmations_needed` accusers after the first shorten the timer to its minimum.
    """

    incarnation: int
    started: float
    minimum: float
    maximum: float
    confirmations_needed: int
    accusers: set[NodeId] = field(default_factory=set)
    checked: bool = False

    def confirm(self, accuser: NodeId) -> bool:
        """Add an accuser; return False if it is already counted or the suspicion is confirmed."""
        if accuser in self.accusers or self.is_confirmed:
            return False
        self.accusers.add(accuser)
        return True

    @property
    def is_confirmed(self) -> bool:
        """Whether further accusers would no longer shorten the timer."""
        return len(self.accusers) > self.confirmations_needed

    def deadline(self, health_factor: int) -> float:
        """Return when to declare the member dead; `health_factor` multiplies the timer."""
        confirmations = max(0, len(self.accusers) - 1)
        share = (
            math.log(confirmations + 1) / math.log(self.confirmations_needed + 1)
            if self.confirmations_needed
            else 1.0
        )
        timeout = self.maximum - (self.maximum - self.minimum) * share
        return self.started + max(self.minimum, timeout) * health_factor

    def next_action(self, health_factor: int) -> float:
        """Return when the direct ping is due, or the deadline once `checked` is set."""
        deadline = self.deadline(health_factor)
        if self.checked:
            return deadline
        return self.started + (deadline - self.started) * CHECK_FRACTION


def suspicion_bounds(
    settings: MembershipSettings, members: int, factor: float
) -> tuple[float, float]:
    """Return the shortest and longest timer for a fleet size; `factor` lengthens both."""
    scale = max(MINIMUM_SCALE, math.log10(max(members, 1)))
    minimum = settings.suspicion_multiplier * scale * settings.probe_interval * factor
    return minimum, minimum * settings.suspicion_maximum_factor


class FlapHistory:
    """How often each member came back after a suspicion, within a sliding window."""

    def __init__(self, settings: MembershipSettings) -> None:
        self._settings = settings
        self._returns: dict[NodeId, list[float]] = {}

    def record_return(self, node_id: NodeId, now: float) -> None:
        """Record that a member came back."""
        recent = self._recent(node_id, now)
        limit = self._settings.flap_threshold + int(self._settings.flap_maximum_factor)
        self._returns[node_id] = [*recent, now][-limit:]

    def factor(self, node_id: NodeId, now: float) -> float:
        """Return the factor for the member's suspicion timers; 1 unless it flaps."""
        excess = len(self._recent(node_id, now)) - self._settings.flap_threshold
        return min(self._settings.flap_maximum_factor, 1.0 + max(0, excess))

    def remove(self, node_id: NodeId) -> None:
        """Remove the history of a member."""
        self._returns.pop(node_id, None)

    def members(self) -> list[NodeId]:
        """Return the members that have a history."""
        return list(self._returns)

    def _recent(self, node_id: NodeId, now: float) -> list[float]:
        since = now - self._settings.flap_window
        return [moment for moment in self._returns.get(node_id, ()) if moment > since]
