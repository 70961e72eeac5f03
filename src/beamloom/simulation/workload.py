"""Client traffic: streams that last until the end of the run, and single requests."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from beamloom.model.addresses import SocketAddress, TransportProtocol
from beamloom.simulation.clock import VirtualClock
from beamloom.simulation.deployment import ServiceSpec
from beamloom.simulation.observations import ObservedFlow
from beamloom.simulation.traffic import ClientEdge
from beamloom.standins.application import RequestKind
from beamloom.standins.client_model import ClientFlow
from beamloom.standins.client_request import RequestFlow, RequestOptions, UdpRequestFlow
from beamloom.standins.client_stream import StreamFlow, StreamOptions

FIRST_FLOW_AT = 3.0
"""Time from which flows are opened, in seconds, so that the fleet can load its configuration."""
RAMP_SECONDS = 10.0
"""Period over which the streams are opened."""
CLIENT_HOSTS = 250
"""Number of client addresses of each site."""
FIRST_CLIENT_PORT = 1024
DOCUMENT_SIZE = 3_000
UPDATE_SIZE = 100
REQUEST_DEADLINE = 9.0
"""Seconds after which a client gives up on a request."""


@dataclass(frozen=True, slots=True)
class WorkloadOptions:
    """Number of streams, seconds between the updates of each, and requests per second in all."""

    flows: int = 500
    update_interval: float = 10.0
    requests_per_second: float = 5.0
    duration: float = 600.0


class Workload:
    """Opens flows at the clients' edges and passes each to `record_flow`."""

    def __init__(
        self,
        clock: VirtualClock,
        edges: list[ClientEdge],
        options: WorkloadOptions,
        rng: random.Random,
        record_flow: Callable[[ObservedFlow], None],
    ) -> None:
        self._clock = clock
        self._options = options
        self._rng = rng
        self._record_flow = record_flow
        self._flow_number = 0
        self._targets = [(edge, service) for edge in edges for service in edge.site.services]
        self._weights = [service.backend_count for _, service in self._targets]
        self._schedule_streams()
        self._schedule_requests()

    def _schedule_streams(self) -> None:
        for _ in range(self._options.flows):
            delay = FIRST_FLOW_AT + self._rng.random() * RAMP_SECONDS
            edge, service = self._draw_target()
            self._clock.call_later(delay, self.open_stream, edge, service)

    def _schedule_requests(self) -> None:
        rate = self._options.requests_per_second
        for number in range(int(rate * max(self._options.duration - FIRST_FLOW_AT, 0.0))):
            time = FIRST_FLOW_AT + (number + self._rng.random()) / rate
            edge, service = self._draw_target()
            self._clock.call_at(time, self.send_request, edge, service)

    def _draw_target(self) -> tuple[ClientEdge, ServiceSpec]:
        return self._rng.choices(self._targets, self._weights)[0]

    def target(self, tenant: str) -> tuple[ClientEdge, ServiceSpec]:
        """Return the first service of a tenant and the edge of its clients."""
        return next(item for item in self._targets if item[1].tenant == tenant)

    def open_stream(self, edge: ClientEdge, service: ServiceSpec) -> None:
        """Open a stream that lasts until the run ends."""
        flow_id, local = self._next_flow(edge)
        options = StreamOptions(
            flow_id,
            local,
            service.virtual_address,
            interval=self._options.update_interval,
            size=UPDATE_SIZE,
        )
        flow = StreamFlow(options, self._rng)
        self._start(edge, flow, ObservedFlow(service.service_id, flow.truth))

    def send_request(self, edge: ClientEdge, service: ServiceSpec) -> None:
        """Open a flow for one request: a document if the service is repeatable, else an update."""
        flow_id, local = self._next_flow(edge)
        kind = RequestKind.DOCUMENT if service.repeatable else RequestKind.UPDATE
        options = RequestOptions(
            flow_id,
            local,
            service.virtual_address,
            request_id=flow_id,
            deadline=REQUEST_DEADLINE,
            kind=kind,
            repeatable=service.repeatable,
            size=DOCUMENT_SIZE if service.repeatable else UPDATE_SIZE,
        )
        over_udp = service.protocol is TransportProtocol.UDP
        flow_type = UdpRequestFlow if over_udp else RequestFlow
        flow = flow_type(options, self._rng)
        observed = ObservedFlow(service.service_id, flow.truth, flow_id, service.repeatable)
        self._start(edge, flow, observed)

    def _next_flow(self, edge: ClientEdge) -> tuple[str, SocketAddress]:
        number = self._flow_number
        self._flow_number += 1
        host = f"10.{edge.site.network_number}.200.{1 + number % CLIENT_HOSTS}"
        return f"flow-{number}", SocketAddress(host, FIRST_CLIENT_PORT + number // CLIENT_HOSTS)

    def _start(self, edge: ClientEdge, flow: ClientFlow, observed: ObservedFlow) -> None:
        self._record_flow(observed)
        edge.start(flow)
