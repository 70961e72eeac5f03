"""Records, packets, routers and cores for tests of the token router."""

import random
from collections.abc import Iterable

from beamloom.node.token_core import TokenCore
from beamloom.replication.fleet_share import FleetShare
from beamloom.replication.peer_table import PeerTable
from beamloom.replication.reading_times import evacuation_store_call_times, store_call_times
from beamloom.replication.store_view import NamedRecord, ObjectChange
from beamloom.routing.tokens.decisions import Decision
from beamloom.routing.tokens.packets import (
    ClientPacket,
    ForwardPacket,
    PacketKind,
    RouterCommand,
)
from beamloom.routing.tokens.placement import Placement, PlacementSettings
from beamloom.routing.tokens.records import (
    BackendRecord,
    BackendState,
    RoutePart,
    RouteRecord,
    RouteTerms,
    RoutingConfiguration,
)
from beamloom.routing.tokens.router import TokenRouter
from beamloom.routing.tokens.token import NO_TOKEN, TokenCodec
from beamloom.settings.mechanisms import ALL_MECHANISMS, Mechanisms
from beamloom.settings.token_node import ColdStartLimits
from beamloom.simulation.tokens.quiet_observer import QuietObserver

KEY = bytes(range(16))
DESTINATION = bytes((198, 18, 0, 1, 1, 187))
OTHER_DESTINATION = bytes((198, 18, 0, 2, 1, 187))
ZONE = "west"


def backend(
    number: int,
    service: str = "tracker",
    *,
    state: BackendState = BackendState.READY,
    zone: str = ZONE,
    port: int | None = None,
    slots: int = 2,
    warm_up: float = 0.0,
) -> BackendRecord:
    port = 8000 + number if port is None else port
    return BackendRecord(
        f"i-{number:08x}", number, service, "127.0.0.1", port, zone, slots, state, warm_up
    )


def configuration(
    version: int, *services: str, destination: bytes = DESTINATION
) -> RoutingConfiguration:
    parts = tuple(RoutePart(service, 1.0) for service in services)
    return RoutingConfiguration(version, (RouteRecord("route", destination, parts),))


def with_terms(version: int, terms: RouteTerms) -> RoutingConfiguration:
    """Return a configuration whose one route has these terms."""
    plain = configuration(version, "tracker")
    return plain._replace(routes=(plain.routes[0]._replace(terms=terms),))


def two_priorities(version: int) -> RoutingConfiguration:
    """Return a configuration in which a route of the highest priority has the same backends."""
    plain = configuration(version, "tracker").routes[0]
    urgent = RouteRecord("urgent", OTHER_DESTINATION, plain.parts, RouteTerms(priority=0))
    return RoutingConfiguration(version, (plain, urgent))


def put_terms_in_force(core: TokenCore, terms: RouteTerms) -> None:
    """Activate a next version of the configuration of `make_core` with these terms."""
    core.router.activate(with_terms(core.router.routes.version + 1, terms))


def many_routes(version: int, count: int, changed: int = 0) -> RoutingConfiguration:
    """Return a configuration of `count` routes, of which the first `changed` differ by version."""
    return RoutingConfiguration(
        version,
        tuple(
            RouteRecord(
                f"route-{number}",
                bytes((198, 18, number >> 8, number & 255, 1, 187)),
                (RoutePart(f"tracker-v{version}" if number < changed else "tracker", 1.0),),
            )
            for number in range(count)
        ),
    )


def flow_id(client: int, destination: bytes = DESTINATION) -> bytes:
    return (
        destination[:4]
        + client.to_bytes(2, "big")
        + bytes((100, 64, client >> 8, client & 255))
        + destination[4:]
    )


def packet(
    client: int,
    kind: PacketKind = PacketKind.DATA,
    *,
    token: int = NO_TOKEN,
    sequence: int = 0,
    acknowledged: int = 0,
    data_length: int = 0,
    destination: bytes = DESTINATION,
) -> ClientPacket:
    flow = flow_id(client, destination)
    return ClientPacket(kind, flow, destination, token, sequence, acknowledged, data_length, b"")


def opening(client: int, copies: int = 0, destination: bytes = DESTINATION) -> ClientPacket:
    return packet(client, PacketKind.OPEN, acknowledged=copies, destination=destination)


def make_router(
    *records: BackendRecord,
    services: tuple[str, ...] = ("tracker",),
    version: int = 1,
    settings: PlacementSettings | None = None,
    decisions: list[Decision] | None = None,
    seed: int = 1,
) -> TokenRouter:
    """Return a router with these backends and a route from DESTINATION to the services."""
    recorded: list[Decision] = [] if decisions is None else decisions
    placement = Placement(ZONE, settings or PlacementSettings(), random.Random(seed))
    router = TokenRouter(placement, recorded.append)
    router.codec = TokenCodec(KEY)
    router.activate(configuration(version, *services))
    for revision, record in enumerate(records):
        router.backends.update(record, revision, now=0.0)
    return router


def forwarded_to(command: RouterCommand) -> int:
    """Return the identity of the backend that a packet was forwarded to; fails otherwise."""
    assert isinstance(command, ForwardPacket), command
    return command.identity


def new_core(
    mechanisms: Mechanisms = ALL_MECHANISMS,
    *,
    evacuate_seconds: float | None = None,
    cold_starts: ColdStartLimits | None = None,
) -> TokenCore:
    """Return a core that has just started; with `evacuate_seconds`, it follows evacuations."""
    evacuation_times = None
    if evacuate_seconds is not None:
        evacuation_times = evacuation_store_call_times(evacuate_seconds)
    return TokenCore(
        ZONE,
        "5-node",
        "main",
        QuietObserver(),
        rng=random.Random(1),
        times=store_call_times(),
        mechanisms=mechanisms,
        evacuation_times=evacuation_times,
        cold_starts=cold_starts,
    )


def settled_share(host: str, hosts: Iterable[str], count: int) -> FleetShare:
    """Return the share of a node that joined these hosts long ago."""
    peers = PeerTable(host, (), random.Random(1))
    for other in hosts:
        peers.note(other, 0.0, 0.0)
    return FleetShare(peers, count, float("-inf"))


def make_core(mechanisms: Mechanisms, *records: BackendRecord) -> TokenCore:
    """Return a core with the backends and a route for DESTINATION, both not confirmed yet."""
    core = new_core(mechanisms)
    core.set_secrets(KEY)
    core.backends.replace([NamedRecord(record.name, 3, record) for record in records], 9)
    core.apply_backends(tuple(ObjectChange(record.name, 3, record) for record in records), 10.0)
    change = make_change(3, configuration(1, "tracker"))
    core.configuration.replace([NamedRecord("main", 3, configuration(1, "tracker"))], 9)
    core.apply_configuration((change,), 10.0)
    return core


def make_change(revision: int, record: RoutingConfiguration) -> ObjectChange[RoutingConfiguration]:
    """Return a new version of the configuration as a change of the store."""
    return ObjectChange("main", revision, record)
