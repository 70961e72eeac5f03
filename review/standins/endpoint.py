"""One endpoint: a socket for its flows, a TCP listener for health, an entry in the store."""

from __future__ import annotations

import asyncio
import json
import random
import socket
import time

from standins.packets import (
    ACK,
    FIN,
    IDENTITY,
    MAXIMUM_DATA_BYTES,
    NUMBERS,
    RST,
    SYN,
    Packet,
    decode,
)
from standins.record import Record
from standins.store import Store

HEARTBEAT_SECONDS = 1.2
RESEND_SECONDS = 0.2
LONGEST_RESEND_SECONDS = 1.6
MAXIMUM_RESENDS = 8
SLOTS = 2
QUEUE = 8

FlowKey = tuple[tuple[str, int], tuple[str, int]]


class Flow:
    """One flow at an endpoint; `opening` is when and through which node it was opened."""

    def __init__(self, packet: Packet, at: float, node: str) -> None:
        self.opening = (at, node)
        self.client, self.service = packet.src, packet.dst
        self.is_open = False
        self.is_closed = False
        self.echo = packet.echo
        self.seq = random.randrange(NUMBERS // 2)
        self.expected = (packet.seq + 1) % NUMBERS
        self.received = b""
        self.unacked: list[Packet] = []
        self.resends = 0
        self.timer: asyncio.TimerHandle | None = None


class Endpoint:
    """One incarnation of an endpoint."""

    def __init__(
        self, store: Store, record: Record, name: str, service: str, host: str, zone: str
    ) -> None:
        self.name, self.service, self.zone, self.host = name, service, zone, host
        self.identity = int(name.rpartition("-")[2], 16)
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.ended_at: float | None = None
        self.openings: list[tuple[float, str, FlowKey]] = []
        self.flows: dict[FlowKey, Flow] = {}
        self.answered: set[str] = set()
        self.started: dict[str, Flow] = {}
        self._store, self._record = store, record
        self._sequence = 0
        self._working = 0
        self._waiting: list[tuple[str, Flow, float]] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._leaves_entry = True

    async def start(self) -> None:
        """Bind the address, and write the entry now and at each heartbeat."""
        loop = asyncio.get_running_loop()
        self._health = await asyncio.start_server(self._answer_health, self.host, 0)
        self.port = int(self._health.sockets[0].getsockname()[1])
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind((self.host, self.port))
        loop.add_reader(self._socket, self._read)
        self.write_entry()
        self._tasks.append(loop.create_task(self._beat()))

    def entry(self) -> dict[str, object]:
        """Return the entry that this endpoint writes into the store."""
        return {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": SLOTS,
            "state": self.state,
            "warmup-left-ms": 0,
            "sequence": self._sequence,
            "born": self.born,
        }

    def write_entry(self, *, changes: bool = True) -> int:
        """Write the entry; return the store's revision, which acknowledges it."""
        self._sequence += 1
        return self._store.put(
            "servers", self.name, json.dumps(self.entry()).encode(), changes=changes
        )

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            if self._leaves_entry:
                self.write_entry(changes=False)

    def drain(self) -> None:
        """Say `draining` before a planned end."""
        self.state = "draining"
        revision = self.write_entry()
        self._record.line("says-draining", endpoint=self.name, revision=revision)

    def withdraw(self) -> None:
        """Begin a planned end without saying so: the entry goes, and the endpoint serves on."""
        self._leaves_entry = False
        revision = self._store.remove("servers", self.name)
        self._record.line("entry-gone", endpoint=self.name, revision=revision)

    def end(self) -> None:
        """End the process: the address is free, all flows are forgotten."""
        if self.ended_at is not None:
            return
        self.ended_at = self._record.now()
        self._record.line("endpoint-ended", endpoint=self.name)
        self._leaves_entry = False
        if self._store.holds("servers", self.name):
            self._store.remove("servers", self.name)
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()
        self._health.close()
        for task in self._tasks:
            task.cancel()
        for flow in self.flows.values():
            _stop_timer(flow)

    async def _answer_health(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            if await reader.readline():
                status = "200 OK" if self.state == "ready" else "503 Service Unavailable"
                writer.write(f"HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n".encode())
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()

    def _read(self) -> None:
        while True:
            try:
                data, (node, _) = self._socket.recvfrom(4096)
            except BlockingIOError:
                return
            except OSError:
                continue
            packet = decode(data[IDENTITY.size :])
            meant = IDENTITY.unpack_from(data)[0] if len(data) >= IDENTITY.size else None
            if packet is None or not packet.is_as_written:
                self._record.line("forged-packet", endpoint=self.name, node=node)
            elif meant in (0, self.identity):
                self._handle(packet, node)

    def _handle(self, packet: Packet, node: str) -> None:
        key = (packet.src, packet.dst)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            self._open(key, flow, packet, node)
        elif flow is None or (flow.is_closed and packet.data):
            self._send(Packet(packet.dst, packet.src, RST, packet.ack, 0, packet.echo))
        elif packet.flags & RST:
            _stop_timer(flow)
            del self.flows[key]
        else:
            self._continue(key, flow, packet)

    def _open(self, key: FlowKey, flow: Flow | None, packet: Packet, node: str) -> None:
        if flow is not None and (flow.is_open or flow.is_closed):
            return
        if flow is None:
            flow = self.flows[key] = Flow(packet, self._record.now(), node)
            self._record.line("opening-at-endpoint", endpoint=self.name, flow=_text(key), node=node)
            self.openings.append((self._record.now(), node, key))
        flow.echo = packet.echo
        self._send(self._packet(flow, SYN | ACK))

    def _continue(self, key: FlowKey, flow: Flow, packet: Packet) -> None:
        flow.echo = packet.echo
        if not flow.is_open and not flow.is_closed:
            if packet.ack != (flow.seq + 1) % NUMBERS:
                self._send(Packet(packet.dst, packet.src, RST, packet.ack, 0, packet.echo))
                return
            flow.is_open, flow.seq = True, (flow.seq + 1) % NUMBERS
        flow.unacked = [sent for sent in flow.unacked if not _is_acked(sent, packet.ack)]
        if not flow.unacked:
            _stop_timer(flow)
        if packet.data:
            if packet.seq == flow.expected:
                flow.expected = (flow.expected + len(packet.data)) % NUMBERS
                flow.received += packet.data
                self._take_requests(flow)
            self._send(self._packet(flow, ACK))
        if packet.flags & FIN:
            flow.is_open, flow.is_closed = False, True
            self._send(self._packet(flow, FIN | ACK))

    def _take_requests(self, flow: Flow) -> None:
        while b"\r\n\r\n" in flow.received:
            head, _, rest = flow.received.partition(b"\r\n\r\n")
            fields = dict(
                line.split(": ", 1) for line in head.decode().split("\r\n")[1:] if ": " in line
            )
            length = int(fields.get("Content-Length", "0"))
            if len(rest) < length:
                return
            flow.received = rest[length:]
            work = int(fields["Work-Ms"]) / 1000
            self._admit(fields["Beamloom-Request-Id"], flow, work)

    def _admit(self, request: str, flow: Flow, work: float) -> None:
        if self._working < SLOTS:
            self._work(request, flow, work)
        elif len(self._waiting) < QUEUE:
            self._waiting.append((request, flow, work))
        else:
            self._reply(flow, request, "503 Service Unavailable", "Beamloom-Not-Executed: 1\r\n")

    def _work(self, request: str, flow: Flow, work: float) -> None:
        self._working += 1
        self.started[request] = flow
        at, node = flow.opening
        self._record.line("run", endpoint=self.name, request=request, opened=f"{at:.3f}", node=node)
        asyncio.get_running_loop().call_later(work, self._finish, request, flow)

    def _finish(self, request: str, flow: Flow) -> None:
        if self.ended_at is not None:
            return
        self._working -= 1
        self.answered.add(request)
        self._reply(flow, request, "200 OK", f"Beamloom-Response-Signature: {self.name}\r\n")
        if self._waiting:
            self._work(*self._waiting.pop(0))

    def _reply(self, flow: Flow, request: str, status: str, headers: str) -> None:
        body = f"{request} {self.name} ".ljust(600, ".")
        text = f"HTTP/1.1 {status}\r\n{headers}Content-Length: {len(body)}\r\n\r\n{body}".encode()
        for start in range(0, len(text), MAXIMUM_DATA_BYTES):
            packet = self._packet(flow, ACK, text[start : start + MAXIMUM_DATA_BYTES])
            flow.unacked.append(packet)
            flow.seq = (flow.seq + len(packet.data)) % NUMBERS
            self._send(packet)
        if self.state == "draining":
            self._send(self._packet(flow, FIN | ACK))
        flow.resends = 0
        self._set_timer(flow, RESEND_SECONDS)

    def _set_timer(self, flow: Flow, seconds: float) -> None:
        _stop_timer(flow)
        flow.timer = asyncio.get_running_loop().call_later(seconds, self._resend, flow, seconds)

    def _resend(self, flow: Flow, waited: float) -> None:
        flow.timer = None
        flow.resends += 1
        if not flow.unacked or flow.resends > MAXIMUM_RESENDS:
            return
        for packet in flow.unacked:
            self._send(packet._replace(echo=flow.echo))
        self._set_timer(flow, min(LONGEST_RESEND_SECONDS, 2 * waited))

    def _packet(self, flow: Flow, flags: int, data: bytes = b"") -> Packet:
        return Packet(flow.service, flow.client, flags, flow.seq, flow.expected, flow.echo, data)

    def _send(self, packet: Packet) -> None:
        self._socket.sendto(packet.encode(), (packet.dst[0], self.client_port))

    client_port = 0
    """The port at which clients receive packets: the number that `datagram-addr` has."""


def _is_acked(sent: Packet, ack: int) -> bool:
    return (ack - sent.seq - len(sent.data)) % NUMBERS < NUMBERS // 2


def _stop_timer(flow: Flow) -> None:
    if flow.timer is not None:
        flow.timer.cancel()
        flow.timer = None


def _text(key: FlowKey) -> str:
    (client, client_port), (service, service_port) = key
    return f"{client}:{client_port}>{service}:{service_port}"
