"""Load profiles: the mix of flows that the clients of a deployment open."""

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
    """Names of the load profiles."""

    VAKATALE = "vakatale"
    TAIRI = "tairi"


@dataclass(frozen=True, slots=True)
class FlowType:
    """A type of flow in a profile; `share` is its fraction of new flows.

    Answers have a random size between `minimum_size` and `maximum_size` bytes. Over TCP, a type
    with an `interval` (seconds between updates) is a stream; any other is a single request.
    """

    service: str
    share: float
    kind: RequestKind
    repeatable: bool = True
    minimum_size: int = 100
    maximum_size: int = 100
    interval: float = 0.0


@dataclass(frozen=True, slots=True)
class LoadProfile:
    """The types of flow of a profile, and the number of endpoints of each service."""

    name: ProfileName
    endpoints: Mapping[str, int]
    flow_types: tuple[FlowType, ...]


PROFILES = {
    ProfileName.VAKATALE: LoadProfile(
        ProfileName.VAKATALE,
        {"tracker": 7, "labeller": 3},
        (
            FlowType("tracker", 0.30, RequestKind.UPDATE, interval=2.0, maximum_size=400),
            FlowType("tracker", 0.60, RequestKind.UPDATE, repeatable=False),
            FlowType(
                "labeller", 0.10, RequestKind.DOCUMENT, minimum_size=20_000, maximum_size=60_000
            ),
        ),
    ),
    ProfileName.TAIRI: LoadProfile(
        ProfileName.TAIRI,
        {"bay-desk": 7, "catalogue": 3},
        (
            FlowType("bay-desk", 0.40, RequestKind.UPDATE, interval=2.0, maximum_size=400),
            FlowType("bay-desk", 0.50, RequestKind.UPDATE, repeatable=False),
            FlowType(
                "catalogue", 0.10, RequestKind.DOCUMENT, minimum_size=10_000, maximum_size=80_000
            ),
        ),
    ),
}


class FlowSource:
    """Creates the flows of a profile, each with its own client address and port."""

    def __init__(
        self,
        profile: LoadProfile,
        services: Mapping[str, VirtualAddress],
        rng: random.Random,
        deadline: float = 30.0,
        first_client_number: int = 0,
    ) -> None:
        """Raise ValueError if `services` lacks a service of the profile.

        Sources that share a fabric must have separate client hosts: see `first_client_of`.
        """
        missing = sorted(set(profile.endpoints) - set(services))
        if missing:
            raise ValueError(f"no virtual address for {', '.join(missing)}; specify one for each")
        self._profile = profile
        self._services = services
        self._rng = rng
        self._deadline = deadline
        self._client_numbers = count(first_client_number)
        self._shares = [flow_type.share for flow_type in profile.flow_types]

    def next_flow(self) -> tuple[str, ClientFlow]:
        """Return the name of a service and a new flow to it, not yet started."""
        flow_type = self._rng.choices(self._profile.flow_types, self._shares)[0]
        number = next(self._client_numbers)
        service = self._services[flow_type.service]
        local = client_address(number, ipaddress.ip_address(service.ip).version)
        size = self._rng.randint(flow_type.minimum_size, flow_type.maximum_size)
        flow_id = f"{flow_type.service}-{number}"
        if flow_type.interval and service.protocol is TransportProtocol.TCP:
            stream = StreamOptions(flow_id, local, service, flow_type.interval, size=size)
            return flow_type.service, StreamFlow(stream, self._rng)
        options = RequestOptions(
            flow_id,
            local,
            service,
            flow_id,
            flow_type.kind,
            flow_type.repeatable,
            self._deadline,
            size,
        )
        flow_class = RequestFlow if service.protocol is TransportProtocol.TCP else UdpRequestFlow
        return flow_type.service, flow_class(options, self._rng)


def first_client_of(group: int) -> int:
    """Return the first client number of a group; groups have separate client hosts."""
    return group * HOSTS_PER_GROUP * PORTS_PER_CLIENT


def client_address(number: int, version: int) -> SocketAddress:
    """Return the inner address and port of the client with this number, of IP version 4 or 6."""
    network = CLIENT_NETWORKS[version]
    group, index = divmod(number, HOSTS_PER_GROUP * PORTS_PER_CLIENT)
    host = network.network_address + 1 + group * HOSTS_PER_GROUP + index % HOSTS_PER_GROUP
    return SocketAddress(str(host), FIRST_PORT + index // HOSTS_PER_GROUP)
