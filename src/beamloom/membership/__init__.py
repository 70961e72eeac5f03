"""Membership: probing, suspicion, and the list of members that each node holds."""

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
