"""Options that a balancer core is started with."""

from __future__ import annotations

from dataclasses import dataclass, field

from beamloom.membership.settings import MembershipSettings
from beamloom.model.addresses import SocketAddress
from beamloom.model.machines import Machine
from beamloom.protocol.codec import KeyRing

DEFAULT_CONTROL_BYTES_PER_SECOND = 4096
DEFAULT_TABLE_CAPACITY = 1_000_000
DEFAULT_STOP_TIMEOUT_SECONDS = 60.0


@dataclass(frozen=True, slots=True)
class NodeOptions:
    """Identity, seeds, keys, gateways and limits of one node.

    `seeds` are the addresses through which it joins the fleet. `hash_key` must be the same on every
    node; `seed` initializes the node's random number generator. `table_capacity` is the number of
    flows that the flow table may hold. `stop_timeout` is in seconds.
    """

    machine: Machine
    seeds: tuple[SocketAddress, ...]
    fleet_keys: KeyRing
    hash_key: bytes
    gateways: tuple[SocketAddress, ...]
    seed: int | str
    table_capacity: int = DEFAULT_TABLE_CAPACITY
    control_bytes_per_second: int = DEFAULT_CONTROL_BYTES_PER_SECOND
    stop_timeout: float = DEFAULT_STOP_TIMEOUT_SECONDS
    membership: MembershipSettings = field(default_factory=MembershipSettings)
