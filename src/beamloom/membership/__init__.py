"""Membership: failure detection by probes, suspicion, and each node's member list."""

from beamloom.membership.core import MembershipCore
from beamloom.membership.settings import MembershipSettings
from beamloom.membership.snapshot import MembershipCounters, MembershipSnapshot
from beamloom.membership.view import MembershipView

__all__ = [
    "MembershipCore",
    "MembershipCounters",
    "MembershipSettings",
    "MembershipSnapshot",
    "MembershipView",
]
