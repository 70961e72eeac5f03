"""Counters and snapshot of the membership component, for metrics."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from beamloom.model.machines import MemberState


@dataclass(slots=True)
class MembershipCounters:
    """Event counts since the start of the node."""

    probes_sent: int = 0
    probes_failed: int = 0
    suspicions_raised: int = 0
    deaths_declared: int = 0
    refutations: int = 0
    pauses: int = 0
    malformed_updates: int = 0
    unexpected_messages: int = 0
    unknown_senders: int = 0
    unknown_members: int = 0
    pages_sent: int = 0
    pages_refused: int = 0
    exchanges: int = 0


@dataclass(frozen=True, slots=True)
class MembershipSnapshot:
    """The state of the component; `health_score` is that of `LocalHealth`, 0 for healthy."""

    state: MemberState
    incarnation: int
    view_version: int
    synchronized: bool
    members_by_state: Mapping[MemberState, int]
    health_score: int
    suspicions: int
    updates_queued: int
    counters: MembershipCounters
