"""Settings of the membership protocol; all times are in seconds."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Intervals, limits and shares.

    `suspicion_multiplier` and `suspicion_maximum_factor` are alpha and beta of Lifeguard,
    `transmission_multiplier` is lambda of SWIM. `suspect_checkers` is the average number of nodes
    that ping a suspect before its suspicion expires. While more than `maximum_probed_suspects`
    members are suspected, the regular probes skip suspects. `update_bytes_per_second` limits what
    is sent from the gossip queue. A member that came back more than `flap_threshold` times within
    `flap_window` gets longer suspicion timers, up to `flap_maximum_factor` times as long.
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
    suspect_checkers: int = 40
    recheck_interval: float = 0.2
    maximum_probed_suspects: int = 8
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
    leave_peers: int = 6
    flap_window: float = 300.0
    flap_threshold: int = 3
    flap_maximum_factor: float = 4.0
