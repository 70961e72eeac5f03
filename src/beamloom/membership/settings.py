"""Settings of the membership protocol; all times are in seconds."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Intervals, bounds and shares; the defaults are those measured at 560 nodes.

    `suspicion_multiplier` and `suspicion_maximum_factor` are alpha and beta of Lifeguard.
    `hearsay_checkers` is how many nodes, on average, ask a member that others suspect.
    From `crowd_of_suspects` on, suspects are not probed again. `transmission_multiplier` is lambda
    of SWIM; `update_bytes_per_second` bounds all updates that a node passes on. `flap_window` and
    `flap_threshold` say how often a member may come back before its suspicions are given more time.
    """

    probe_interval: float = 0.4
    probe_timeout_floor: float = 0.1
    probe_timeout_initial: float = 0.3
    probe_timeout_maximum: float = 0.6
    indirect_probes: int = 3
    cross_region_share: float = 0.2
    cross_region_suspicion_factor: float = 2.0
    suspicion_multiplier: float = 3.0
    suspicion_maximum_factor: float = 4.0
    suspicion_confirmations: int = 3
    hearsay_checkers: int = 40
    recheck_interval: float = 0.2
    crowd_of_suspects: int = 8
    health_maximum: int = 8
    pause_threshold: float = 0.4
    gossip_interval: float = 0.2
    refutation_peers: int = 6
    death_peers: int = 3
    transmission_multiplier: float = 5.0
    update_bytes: int = 400
    update_bytes_per_second: float = 600.0
    update_burst_bytes: float = 800.0
    page_bytes: int = 1000
    page_interval: float = 0.6
    join_retry: float = 1.0
    join_retry_maximum: float = 5.0
    digest_interval: float = 10.0
    digest_dead_share: float = 0.25
    dead_retention: float = 10_800.0
    left_retention: float = 600.0
    farewell_peers: int = 6
    flap_window: float = 300.0
    flap_threshold: int = 3
    flap_maximum_factor: float = 4.0
