"""Balancer nodes: identity, addresses and membership state."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import NewType

from beamloom.model.addresses import SocketAddress
from beamloom.model.zones import Zone

NodeId = NewType("NodeId", str)
"""A node's name, unique in the fleet; a replacement machine gets a new one."""


class MemberState(IntEnum):
    """Membership state of a node; at the same incarnation the higher state takes precedence."""

    JOINING = 0
    ALIVE = 1
    SUSPECT = 2
    LEAVING = 3
    LEFT = 4
    DEAD = 5


@dataclass(frozen=True, slots=True)
class Machine:
    """One balancer node.

    `data_address` takes packets from the fabric and from backends, `peer_address` takes packets
    relayed by other nodes, `control_address` takes node-to-node messages. All are UDP.
    """

    node_id: NodeId
    zone: Zone
    data_address: SocketAddress
    peer_address: SocketAddress
    control_address: SocketAddress


@dataclass(frozen=True, slots=True)
class Member:
    """A machine with its membership state and the incarnation that the state belongs to."""

    machine: Machine
    state: MemberState
    incarnation: int

    @property
    def may_be_home(self) -> bool:
        """Whether partitions may be assigned to this node: it is alive or merely suspected."""
        return self.state in {MemberState.ALIVE, MemberState.SUSPECT}

    @property
    def is_reachable(self) -> bool:
        """Whether packets and messages may still be sent to this node."""
        return self.state <= MemberState.LEAVING
