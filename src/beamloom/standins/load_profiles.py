"""What the users' clients ask for: the mixture of flows of each load profile."""

from __future__ import annotations

import ipaddress
import random
from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from itertools import count

from beamloom.model.addresses import SocketAddress, TransportProtocol, VirtualAddress
from beamloom.standins.application import RequestKind
from beamloom.standins.client_model import ClientFlow
from beamloom.standins.client_request import RequestFlow, RequestOptions, UdpRequestFlow
from beamloom.standins.client_stream import StreamFlow, StreamOptions

FIRST_PORT = 1_024
PORTS_PER_CLIENT = 60_000
HOSTS_PER_GROUP = 250
CLIENT_NETWORKS = {
    4: ipaddress.ip_network("198.18.0.0/15"),
    6: ipaddress.ip_network("2001:db8:1::/64"),
}


class ProfileName(StrEnum):
    """The load profiles."""

    VAKATALE = "vakatale"
    TAIRI = "tairi"


@dataclass(frozen=True, slots=True)
class FlowMix:
    """One kind of flow; `share` is its part of all new flows, sizes are in bytes.

    A flow with an `interval` (seconds) is a stream, one without is a single request.
    """

    service: str
    share: float
    kind: RequestKind
    repeatable: bool = True
    smallest: int = 100
    largest: int = 100
    interval: float = 0.0


@dataclass(frozen=True, slots=True)
class LoadProfile:
    """A mixture of flows, and how many endpoints stand behind each service."""

    name: ProfileName
    endpoints: Mapping[str, int]
    mixes: tuple[FlowMix, ...]


PROFILES = {
    ProfileName.VAKATALE: LoadProfile(
        ProfileName.VAKATALE,
        {"tracker": 7, "labeller": 3},
        (
            FlowMix("tracker", 0.30, RequestKind.UPDATE, interval=2.0, largest=400),
            FlowMix("tracker", 0.60, RequestKind.UPDATE, repeatable=False),
            FlowMix("labeller", 0.10, RequestKind.DOCUMENT, smallest=20_000, largest=60_000),
        ),
    ),
    ProfileName.TAIRI: LoadProfile(
        ProfileName.TAIRI,
        {"bay-desk": 7, "catalogue": 3},
        (
            FlowMix("bay-desk", 0.40, RequestKind.UPDATE, interval=2.0, largest=400),
            FlowMix("bay-desk", 0.50, RequestKind.UPDATE, repeatable=False),
            FlowMix("catalogue", 0.10, RequestKind.DOCUMENT, smallest=10_000, largest=80_000),
        ),
    ),
}


class FlowSource:
    """Makes the flows of a profile, each from a client address and port of its own."""

    def __init__(
        self,
        profile: LoadProfile,
        services: Mapping[str, VirtualAddress],
        chance: random.Random,
        deadline: float = 30.0,
        first_client: int = 0,
    ) -> None:
        """Raise ValueError when `services` lacks one that the profile uses.

        Sources that share a fabric need client hosts of their own: see `first_client_of`.
        """
        missing = sorted(set(profile.endpoints) - set(services))
        if missing:
            raise ValueError(f"no virtual address for {', '.join(missing)}; give one for each")
        self._profile = profile
        self._services = services
        self._chance = chance
        self._deadline = deadline
        self._numbers = count(first_client)
        self._shares = [mix.share for mix in profile.mixes]

    def next_flow(self) -> tuple[str, ClientFlow]:
        """Return the service's name and a flow that has not started."""
        mix = self._chance.choices(self._profile.mixes, self._shares)[0]
        number = next(self._numbers)
        service = self._services[mix.service]
        local = client_address(number, ipaddress.ip_address(service.ip).version)
        size = self._chance.randint(mix.smallest, mix.largest)
        flow_id = f"{mix.service}-{number}"
        if mix.interval and service.protocol is TransportProtocol.TCP:
            stream = StreamOptions(flow_id, local, service, mix.interval, size=size)
            return mix.service, StreamFlow(stream, self._chance)
        options = RequestOptions(
            flow_id, local, service, flow_id, mix.kind, mix.repeatable, self._deadline, size
        )
        make = RequestFlow if service.protocol is TransportProtocol.TCP else UdpRequestFlow
        return mix.service, make(options, self._chance)


def first_client_of(group: int) -> int:
    """Return the first client number of a group; groups share no client host."""
    return group * HOSTS_PER_GROUP * PORTS_PER_CLIENT


def client_address(number: int, version: int) -> SocketAddress:
    """Return the inner address of the client that opens flow `number`."""
    network = CLIENT_NETWORKS[version]
    group, within = divmod(number, HOSTS_PER_GROUP * PORTS_PER_CLIENT)
    host = network.network_address + 1 + group * HOSTS_PER_GROUP + within % HOSTS_PER_GROUP
    return SocketAddress(str(host), FIRST_PORT + within // HOSTS_PER_GROUP)
