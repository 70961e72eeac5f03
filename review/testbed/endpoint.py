"""An endpoint of the platform: it registers itself, takes flows and answers their requests.

It takes datagrams at its address, answers health requests over TCP at the same address, and sends
its packets to the clients directly.
"""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable
from dataclasses import dataclass, field

from review.testbed.packets import (
    ACK,
    FIN,
    IDENTITY_BYTES,
    MAXIMUM_DATA_BYTES,
    RST,
    SYN,
    FlowKey,
    Packet,
    decode,
    encode,
    is_as_sent,
)
from review.testbed.record import Record
from review.testbed.store import Store

HEARTBEAT_SECONDS = 1.2
FIRST_RETRY_SECONDS = 0.2
LONGEST_RETRY_SECONDS = 1.6
MAXIMUM_RETRIES = 8
SERVERS_KIND = "servers"

Send = Callable[[bytes, str], None]
"""Sends a packet to the client at a host."""


@dataclass(eq=False)
class Flow:
    """One flow at an endpoint. `seq` is the next to send, `expected` the next to receive."""

    key: FlowKey
    first_seq: int
    seq: int
    expected: int
    echo: int
    opened: bool = False
    received: bytes = b""
    unacknowledged: list[Packet] = field(default_factory=list)
    retries: int = 0
    timer: asyncio.TimerHandle | None = None


class Endpoint(asyncio.DatagramProtocol):
    """One incarnation of an endpoint of a service, with an id of its own.

    `runs` counts how often each request ran, `faults` lists packets that no node may send it.
    `resets_sent` holds the flows that it has reset, `taken_from` the node that sent each opening
    packet. It is slow until `warm_at`, in seconds of the record.
    """

    def __init__(
        self,
        service: str,
        host: str,
        port: int,
        zone: str,
        store: Store,
        record: Record,
        *,
        identity: int | None = None,
    ) -> None:
        self.identity = secrets.randbits(32) if identity is None else identity
        self.name = f"i-{self.identity:08x}"
        self.host = host
        self.port = port
        self.zone = zone
        self.service = service
        self.state = "ready"
        self.alive = False
        self.runs: dict[str, int] = {}
        self.opened: dict[FlowKey, float] = {}
        self.faults: list[str] = []
        self.resets_sent: list[tuple[float, FlowKey]] = []
        self.send: Send = lambda data, host: None
        self.on_run: Callable[[Endpoint, str], None] = lambda endpoint, request: None
        self.work_seconds = 0.025
        self.warm_at = 0.0
        self.entry_written_at = 0.0
        self.taken_from: dict[FlowKey, str] = {}
        self._store = store
        self._record = record
        self._flows: dict[FlowKey, Flow] = {}
        self._sequence = 0
        self._transport: asyncio.DatagramTransport | None = None
        self._health: asyncio.Server | None = None
        self._heartbeat: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen, and register in the store."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.host, self.port)
        )
        self._health = await asyncio.start_server(self._answer_health, self.host, self.port)
        self.alive = True
        self._heartbeat = loop.create_task(self._write_entries())

    def crash(self) -> None:
        """End at once, without a word."""
        self.alive = False
        for flow in self._flows.values():
            _stop_timer(flow)
        self._flows.clear()
        if self._heartbeat is not None:
            self._heartbeat.cancel()
        if self._transport is not None:
            self._transport.close()
        if self._health is not None:
            self._health.close()

    def send_datagram(self, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram from this endpoint's address."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, address)

    def drain(self) -> None:
        """Announce a planned end; the store takes it at once."""
        self.state = "draining"
        self.write_entry()

    def end(self) -> None:
        """Take the entry away and end, after draining."""
        self.leave_unsaid()
        self.crash()

    def leave_unsaid(self) -> int:
        """Take the entry away without having said `draining`, and serve on; return the revision."""
        if self._heartbeat is not None:
            self._heartbeat.cancel()
        return self._store.delete(SERVERS_KIND, self.name)

    def write_entry(self) -> None:
        """Write this endpoint's entry into the store."""
        self._sequence += 1
        entry = {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 2,
            "state": self.state,
            "warmup-left-ms": max(0, int(1000 * (self.warm_at - self._record.now))),
            "sequence": 0,
        }
        self.entry_written_at = self._record.now
        self._store.put(SERVERS_KIND, self.name, entry)

    async def _write_entries(self) -> None:
        while True:
            self.write_entry()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _answer_health(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            status = "200 OK" if self.state == "ready" else "503 Service Unavailable"
            writer.write(f"HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n".encode())
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Process a datagram of a node: the identity that is meant, then the packet."""
        identity = int.from_bytes(data[:IDENTITY_BYTES], "big")
        decoded = decode(data[IDENTITY_BYTES:])
        if identity not in (0, self.identity) or decoded is None:
            return
        packet, sent_sum = decoded
        if not is_as_sent(packet, sent_sum):
            self.faults.append(f"{self.name} got a packet that is not as its sender wrote it")
            return
        if packet.flags & SYN:
            self.taken_from[packet.from_client] = addr[0]
        self._handle(packet)

    def _handle(self, packet: Packet) -> None:
        key = packet.from_client
        flow = self._flows.get(key)
        if packet.flags & SYN:
            self._take_opening(packet, flow)
        elif flow is None or not self._is_of_flow(packet, flow):
            self._reset(packet)
        else:
            flow.echo = packet.echo
            self._take(packet, flow)

    def _is_of_flow(self, packet: Packet, flow: Flow) -> bool:
        """Whether this endpoint holds the flow of a packet.

        A flow opens here once a packet arrives that acknowledges this endpoint's own `seq`.
        """
        return flow.opened or packet.ack == flow.first_seq + 1 or bool(packet.flags & RST)

    def _take_opening(self, packet: Packet, flow: Flow | None) -> None:
        if flow is None:
            first_seq = secrets.randbits(30)
            flow = Flow(packet.from_client, first_seq, first_seq + 1, packet.seq + 1, packet.echo)
            self._flows[flow.key] = flow
            self._record.add(f"{self.name} takes a SYN of {flow.key.client_port}")
            self._send_again_later(flow)
        elif flow.opened:
            return
        flow.echo = packet.echo
        self._send_opening_answer(flow)

    def _send_opening_answer(self, flow: Flow) -> None:
        self._send(flow, self._packet(flow, SYN | ACK, flow.first_seq))

    def _take(self, packet: Packet, flow: Flow) -> None:
        if packet.flags & RST:
            self._forget(flow)
            return
        if not flow.opened:
            flow.opened = True
            flow.retries = 0
            _stop_timer(flow)
            self.opened[flow.key] = self._record.now
            self._record.add(f"{self.name} has an open flow from {flow.key.client_port}")
        flow.unacknowledged = [
            sent for sent in flow.unacknowledged if sent.seq + len(sent.data) > packet.ack
        ]
        if not flow.unacknowledged:
            flow.retries = 0
            _stop_timer(flow)
        if packet.data:
            self._take_data(packet, flow)
        if packet.flags & FIN:
            flow.expected += 1
            self._send(flow, self._packet(flow, ACK | FIN, flow.seq))
            self._forget(flow)

    def _take_data(self, packet: Packet, flow: Flow) -> None:
        if packet.seq != flow.expected:
            self._send(flow, self._packet(flow, ACK, flow.seq))
            return
        flow.expected += len(packet.data)
        flow.received += packet.data
        head, separator, rest = flow.received.partition(b"\r\n\r\n")
        if not separator:
            return
        fields = dict(line.split(": ", 1) for line in head.decode().split("\r\n")[1:])
        if len(rest) < int(fields.get("Content-Length", "0")):
            return
        flow.received = b""
        request = fields["Beamloom-Request-Id"]
        self.runs[request] = self.runs.get(request, 0) + 1
        self._record.add(f"{self.name} runs request {request}")
        self.on_run(self, request)
        asyncio.get_running_loop().call_later(self.work_seconds, self._answer, flow, request)

    def _answer(self, flow: Flow, request: str) -> None:
        if not self.alive or self._flows.get(flow.key) is not flow:
            return
        body = f"{request} {self.name} ".encode().ljust(600, b".")
        head = [
            "HTTP/1.1 200 OK",
            f"Content-Length: {len(body)}",
            f"Beamloom-Response-Signature: {self.name}",
        ]
        data = "\r\n".join([*head, "", ""]).encode() + body
        for start in range(0, len(data), MAXIMUM_DATA_BYTES):
            part = data[start : start + MAXIMUM_DATA_BYTES]
            packet = self._packet(flow, ACK, flow.seq)._replace(data=part)
            flow.seq += len(part)
            flow.unacknowledged.append(packet)
            self._send(flow, packet)
        self._record.add(f"{self.name} answers request {request}")
        self._send_again_later(flow)

    def _send_again_later(self, flow: Flow) -> None:
        """Send what is not acknowledged again after 0.2 s, then after twice as long each time."""
        _stop_timer(flow)
        delay = min(LONGEST_RETRY_SECONDS, FIRST_RETRY_SECONDS * 2**flow.retries)
        flow.timer = asyncio.get_running_loop().call_later(delay, self._send_again, flow)

    def _send_again(self, flow: Flow) -> None:
        flow.timer = None
        flow.retries += 1
        if flow.retries > MAXIMUM_RETRIES:
            self._forget(flow)
            return
        if not flow.opened:
            self._send_opening_answer(flow)
        for packet in flow.unacknowledged:
            self._send(flow, packet._replace(echo=flow.echo))
        self._send_again_later(flow)

    def _reset(self, packet: Packet) -> None:
        """Answer a packet of a flow that this endpoint does not hold."""
        if packet.flags & RST:
            return
        key = packet.from_client
        reset = Packet(
            key.route, key.route_port, key.client, key.client_port, packet.ack, 0, packet.echo, RST
        )
        self.resets_sent.append((self._record.now, key))
        self._record.add(f"{self.name} resets {key.client_port}, a flow that it does not hold")
        self.send(encode(reset), key.client)

    def _packet(self, flow: Flow, flags: int, seq: int) -> Packet:
        key = flow.key
        return Packet(
            key.route,
            key.route_port,
            key.client,
            key.client_port,
            seq,
            flow.expected,
            flow.echo,
            flags,
        )

    def _send(self, flow: Flow, packet: Packet) -> None:
        self.send(encode(packet), flow.key.client)

    def _forget(self, flow: Flow) -> None:
        _stop_timer(flow)
        if self._flows.get(flow.key) is flow:
            del self._flows[flow.key]


def _stop_timer(flow: Flow) -> None:
    if flow.timer is not None:
        flow.timer.cancel()
        flow.timer = None
