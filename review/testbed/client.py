"""Clients of the platform: one UDP socket for a host, and flows that carry HTTP requests."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from review.testbed.packets import (
    ACK,
    FIN,
    RESET_WINDOW,
    RST,
    SYN,
    FlowKey,
    Packet,
    decode,
    distance,
    encode,
    is_as_sent,
)
from review.testbed.record import Record

OPENING_COPIES_SECONDS = (0.2, 0.6)
OPENING_SECONDS = 1.4
FIRST_RETRY_SECONDS = 0.2
LONGEST_RETRY_SECONDS = 1.6
FIRST_PORT = 20_000
ACKNOWLEDGE_EVERY = 2

Route = Callable[[bytes, FlowKey], None]
"""Hands a packet to the router, which picks the node."""


class FlowState(Enum):
    """State of a client's flow."""

    OPENING = "opening"
    OPEN = "open"
    CLOSED = "closed"
    REFUSED = "refused"
    UNOPENED = "unopened"
    RESET = "reset"


class RequestState(Enum):
    """What became of a request."""

    WAITING = "waiting"
    ANSWERED = "answered"
    LOST = "lost"


@dataclass(eq=False)
class Request:
    """One request of a flow."""

    name: str
    method: str
    state: RequestState = RequestState.WAITING
    answered_by: str = ""


@dataclass(eq=False)
class ClientFlow:
    """One flow. `seq` is the next to send, `expected` the next to receive, `echo` the last got."""

    key: FlowKey
    first_seq: int
    started_at: float
    state: FlowState = FlowState.OPENING
    seq: int = 0
    expected: int = 0
    echo: int = 0
    opened_at: float | None = None
    reset_by: str = ""
    reset_at: float | None = None
    received: bytes = b""
    unacknowledged_packets: int = 0
    requests: list[Request] = field(default_factory=list)
    pending: tuple[int, bytes] | None = None
    changed: asyncio.Event = field(default_factory=asyncio.Event)


class ClientHost(asyncio.DatagramProtocol):
    """The clients at one address; `faults` lists what no client may get."""

    def __init__(self, host: str, port: int, route: Route, record: Record) -> None:
        self.host = host
        self.flows: dict[FlowKey, ClientFlow] = {}
        self.faults: list[str] = []
        self._port = port
        self._route = route
        self._record = record
        self._next_port = FIRST_PORT
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Bind the address at which this host gets its packets."""
        self._transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=(self.host, self._port)
        )

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    async def open(self, route: str, route_port: int) -> ClientFlow:
        """Open a flow from a port that was not used before; return it open or ended."""
        self._next_port += 1
        key = FlowKey(self.host, self._next_port, route, route_port)
        first_seq = secrets.randbits(30)
        flow = ClientFlow(key, first_seq, self._record.now, seq=first_seq + 1)
        self.flows[key] = flow
        for copies, at in enumerate((0.0, *OPENING_COPIES_SECONDS)):
            await self._until_opened(flow, at)
            if flow.state is not FlowState.OPENING:
                return flow
            self._send(flow, SYN, seq=first_seq, ack=copies)
        await self._until_opened(flow, OPENING_SECONDS)
        if flow.state is FlowState.OPENING:
            flow.state = FlowState.UNOPENED
        return flow

    async def _until_opened(self, flow: ClientFlow, seconds: float) -> None:
        remaining = flow.started_at + seconds - self._record.now
        if remaining <= 0:
            return
        try:
            async with asyncio.timeout(remaining):
                while flow.state is FlowState.OPENING:
                    flow.changed.clear()
                    await flow.changed.wait()
        except TimeoutError:
            return

    async def request(self, flow: ClientFlow, method: str, deadline_seconds: float) -> Request:
        """Send a request on an open flow, again until it is answered, and return its outcome."""
        request = Request(f"{flow.key.client}-{flow.key.client_port}-{len(flow.requests)}", method)
        flow.requests.append(request)
        body = b"" if method == "GET" else b"x" * 900
        lines = [
            f"{method} /work HTTP/1.1",
            f"Beamloom-Request-Id: {request.name}",
            f"Content-Length: {len(body)}",
        ]
        data = "\r\n".join([*lines, "", ""]).encode() + body
        seq = flow.seq
        flow.seq += len(data)
        self._record.add(f"client sends {method} request {request.name}")
        ends_at = self._record.now + deadline_seconds
        delay = FIRST_RETRY_SECONDS
        while flow.state is FlowState.OPEN and request.state is RequestState.WAITING:
            self._send(flow, ACK, seq=seq, data=data)
            await self._until_answered(flow, request, min(delay, ends_at - self._record.now))
            delay = min(LONGEST_RETRY_SECONDS, 2 * delay)
            if self._record.now >= ends_at:
                break
        if request.state is RequestState.WAITING:
            request.state = RequestState.LOST
            self._record.add(
                f"request {request.name} has no answer; the flow is {flow.state.value}"
            )
        return request

    async def _until_answered(self, flow: ClientFlow, request: Request, seconds: float) -> None:
        try:
            async with asyncio.timeout(max(0.0, seconds)):
                while flow.state is FlowState.OPEN and request.state is RequestState.WAITING:
                    flow.changed.clear()
                    await flow.changed.wait()
        except TimeoutError:
            return

    def close_flow(self, flow: ClientFlow) -> None:
        """Close a flow."""
        if flow.state is FlowState.OPEN:
            self._send(flow, ACK | FIN, seq=flow.seq)
            flow.seq += 1
            flow.state = FlowState.CLOSED

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Process a packet of an endpoint, or a reset of the system."""
        decoded = decode(data)
        flow = None if decoded is None else self.flows.get(decoded[0].from_endpoint)
        if decoded is None or flow is None:
            self.faults.append(f"{self.host} got a packet of no flow of its own")
            return
        packet, sent_sum = decoded
        if packet.flags & RST:
            self._take_reset(flow, packet, addr[0])
            return
        if not is_as_sent(packet, sent_sum):
            self.faults.append(f"{self.host} got a packet that is not as its sender wrote it")
            return
        if flow.state not in (FlowState.OPENING, FlowState.OPEN):
            return
        flow.echo = packet.echo
        if packet.flags & SYN:
            self._take_opening_answer(flow, packet, addr[0])
        else:
            self._take(flow, packet)

    def _take_opening_answer(self, flow: ClientFlow, packet: Packet, sender: str) -> None:
        if flow.state is not FlowState.OPENING:
            self._record.add(
                f"{flow.key.client_port} is open and gets a further SYN+ACK, of {sender}"
            )
            return
        flow.state = FlowState.OPEN
        flow.opened_at = self._record.now
        flow.expected = packet.seq + 1
        flow.changed.set()

    def _take(self, flow: ClientFlow, packet: Packet) -> None:
        if flow.state is not FlowState.OPEN or not packet.data:
            return
        if packet.seq != flow.expected:
            self._send(flow, ACK, seq=flow.seq)
            return
        flow.expected += len(packet.data)
        flow.received += packet.data
        self._take_answer(flow)
        self._send(flow, ACK, seq=flow.seq)

    def _take_answer(self, flow: ClientFlow) -> None:
        head, separator, rest = flow.received.partition(b"\r\n\r\n")
        if not separator:
            return
        lines = head.decode().split("\r\n")
        fields = dict(line.split(": ", 1) for line in lines[1:])
        if len(rest) < int(fields["Content-Length"]):
            return
        flow.received = b""
        waiting = [one for one in flow.requests if one.state is RequestState.WAITING]
        name = rest.split()[0].decode()
        if not waiting or waiting[0].name != name:
            self.faults.append(f"{flow.key.client_port} got the answer of request {name}")
            return
        waiting[0].state = RequestState.ANSWERED
        waiting[0].answered_by = fields["Beamloom-Response-Signature"]
        flow.changed.set()

    def _take_reset(self, flow: ClientFlow, packet: Packet, sender: str) -> None:
        if flow.state is FlowState.OPENING:
            flow.state = FlowState.REFUSED
        elif flow.state is FlowState.OPEN and distance(packet.seq, flow.expected) <= RESET_WINDOW:
            flow.state = FlowState.RESET
            flow.reset_by = sender
            flow.reset_at = self._record.now
            self._record.add(f"{flow.key.client_port} is open and gets a reset, of {sender}")
        flow.changed.set()

    def _send(
        self, flow: ClientFlow, flags: int, *, seq: int, ack: int | None = None, data: bytes = b""
    ) -> None:
        key = flow.key
        acknowledged = flow.expected if ack is None else ack
        packet = Packet(
            key.client,
            key.client_port,
            key.route,
            key.route_port,
            seq,
            acknowledged,
            flow.echo,
            flags,
            data,
        )
        self._route(encode(packet), key)
