"""Clients: flows with one or more requests, opened, resent and given up as PROTOCOL.md says."""

from __future__ import annotations

import asyncio
import itertools
import random
import socket
from collections.abc import Callable

from standins.packets import ACK, FIN, MAXIMUM_DATA_BYTES, NUMBERS, RST, SYN, Packet, decode
from standins.record import Record

COPIES_AFTER_SECONDS = (0.2, 0.6)
OPENING_SECONDS = 1.4
RESEND_SECONDS = 0.2
LONGEST_RESEND_SECONDS = 1.6
RESET_WINDOW = 76_800


class ClientFlow:
    """One flow; `state` is opening, open or over, `end` says why it is over."""

    def __init__(
        self, host: ClientHost, port: int, service: tuple[str, int], plan: list[int], pause: float
    ) -> None:
        self.host, self.service, self.pause = host, service, pause
        self.source = (host.address, port)
        self.plan = plan
        self.state, self.end = "opening", ""
        self.endpoint = ""
        self.began_at = host.record.now()
        self.opened_at = self.over_at = 0.0
        self.requests: list[str] = []
        self.answers: list[str] = []
        self._seq = random.randrange(NUMBERS // 2)
        self._expected = 0
        self._echo = 0
        self._received = b""
        self._unacked: list[Packet] = []
        self._timer: asyncio.TimerHandle | None = None
        self._deadline: asyncio.TimerHandle | None = None
        self._copies = 0
        self._unacknowledged_answers = 0

    def open(self) -> None:
        """Send the opening packet, and its copies later."""
        loop = asyncio.get_running_loop()
        self.host.record.line("client-opens", flow=str(self))
        self._send_opening()
        for seconds in COPIES_AFTER_SECONDS:
            loop.call_later(seconds, self._send_copy)
        self._deadline = loop.call_later(OPENING_SECONDS, self._finish, "no answer to opening")

    def _send_copy(self) -> None:
        if self.state == "opening":
            self._send_opening()

    def _send_opening(self) -> None:
        packet = Packet(self.source, self.service, SYN, self._seq, self._copies)
        self._copies += 1
        self.host.send(packet)

    def handle(self, packet: Packet, sender: str) -> None:
        """Process a packet that came from a host."""
        if self.state == "over":
            return
        if packet.flags & RST:
            self._handle_reset(packet, sender)
            return
        if packet.flags & SYN:
            self._handle_answer_to_opening(packet)
            return
        if self.state != "open":
            return
        self._echo = packet.echo
        self._unacked = [sent for sent in self._unacked if not _is_acked(sent, packet.ack)]
        if packet.data:
            self._take_data(packet)
        if packet.flags & FIN and self.state == "open":
            self._finish("closed by endpoint" if self._is_waiting else "done")

    @property
    def _is_waiting(self) -> bool:
        return len(self.answers) < len(self.requests)

    def _handle_answer_to_opening(self, packet: Packet) -> None:
        self._echo = packet.echo
        if self.state != "opening":
            return
        self.state, self.opened_at = "open", self.host.record.now()
        self._seq = (self._seq + 1) % NUMBERS
        self._expected = (packet.seq + 1) % NUMBERS
        self._cancel_deadline()
        self._send_request()

    def _send_request(self) -> None:
        if self.state != "open":
            return
        work = self.plan[len(self.requests)]
        request = f"{self.host.name}-{next(self.host.numbers)}"
        self.requests.append(request)
        text = (
            f"POST /work HTTP/1.1\r\nHost: {self.service[0]}\r\nBeamloom-Request-Id: {request}\r\n"
            f"Work-Ms: {work}\r\nContent-Length: 0\r\n\r\n"
        ).encode()
        self.host.record.line("request", flow=str(self), request=request)
        for start in range(0, len(text), MAXIMUM_DATA_BYTES):
            packet = self._packet(ACK, text[start : start + MAXIMUM_DATA_BYTES])
            self._seq = (self._seq + len(packet.data)) % NUMBERS
            self._unacked.append(packet)
            self.host.send(packet)
        self._set_timer(RESEND_SECONDS)
        loop = asyncio.get_running_loop()
        self._cancel_deadline()
        self._deadline = loop.call_later(self.host.deadline, self._finish, "deadline")

    def _take_data(self, packet: Packet) -> None:
        if packet.seq == self._expected:
            self._expected = (self._expected + len(packet.data)) % NUMBERS
            self._received += packet.data
        self.host.send(self._packet(ACK))
        head, separator, body = self._received.partition(b"\r\n\r\n")
        length = next(
            (int(line[15:]) for line in head.split(b"\r\n") if line.startswith(b"Content-Length")),
            0,
        )
        if not separator or len(body) < length:
            return
        self._received = b""
        request, endpoint = body.decode().split()[:2]
        status = head.split()[1].decode()
        self.endpoint = endpoint
        self.host.record.line(
            "answer", flow=str(self), request=self.requests[-1], status=status, by=endpoint
        )
        if request != self.requests[-1]:
            self.host.record.line("mixed-answer", flow=str(self), got=request)
            self.host.mixed += 1
        self.answers.append(status)
        self._unacked = []
        self._stop_timer()
        self._cancel_deadline()
        if len(self.answers) == len(self.plan):
            self._finish("done")
        else:
            asyncio.get_running_loop().call_later(self.pause, self._send_request)

    def _handle_reset(self, packet: Packet, sender: str) -> None:
        distance = (packet.seq - self._expected) % NUMBERS
        near = min(distance, NUMBERS - distance) <= RESET_WINDOW
        if self.state == "open" and not near:
            return
        by_system = packet.sum == 0
        self.host.record.line(
            "reset", flow=str(self), state=self.state, by_system=by_system, sender=sender
        )
        if self.state == "open" and by_system:
            self.host.on_reset(self, sender)
        self._finish("reset")

    def _finish(self, end: str) -> None:
        if self.state == "over":
            return
        if self.state == "open" and end in ("done", "deadline"):
            self.host.send(self._packet(FIN | ACK))
        self.host.record.line("flow-over", flow=str(self), end=end.replace(" ", "-"))
        self.state, self.end, self.over_at = "over", end, self.host.record.now()
        self._stop_timer()
        self._cancel_deadline()
        self.host.forget(self)

    def _set_timer(self, seconds: float) -> None:
        self._stop_timer()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(seconds, self._resend, seconds)

    def _resend(self, waited: float) -> None:
        for packet in self._unacked:
            self.host.send(packet._replace(echo=self._echo, ack=self._expected))
        if self._unacked:
            self._set_timer(min(LONGEST_RESEND_SECONDS, 2 * waited))

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _cancel_deadline(self) -> None:
        if self._deadline is not None:
            self._deadline.cancel()
            self._deadline = None

    def _packet(self, flags: int, data: bytes = b"") -> Packet:
        return Packet(self.source, self.service, flags, self._seq, self._expected, self._echo, data)

    def __str__(self) -> str:
        return f"{self.source[0]}:{self.source[1]}>{self.service[0]}:{self.service[1]}"


class ClientHost:
    """The clients of one zone behind one address; `route` returns the node for a packet."""

    def __init__(
        self,
        record: Record,
        name: str,
        address: str,
        port: int,
        route: Callable[[Packet], str],
        deadline: float = 4.0,
    ) -> None:
        self.record, self.name, self.address, self.deadline = record, name, address, deadline
        self.numbers = itertools.count(1)
        self.mixed = 0
        self.over: list[ClientFlow] = []
        self.flows: dict[int, ClientFlow] = {}
        self.on_reset: Callable[[ClientFlow, str], None] = lambda flow, sender: None
        self._route = route
        self._ports = itertools.count(20_000)
        self._port = port
        self._is_closed = False
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind((address, port))
        asyncio.get_running_loop().add_reader(self._socket, self._read)

    def open(self, service: tuple[str, int], plan: list[int], pause: float = 0.5) -> ClientFlow:
        """Open a flow from a new port, with one request for each entry of `plan` (its work, ms)."""
        port = next(self._ports)
        flow = self.flows[port] = ClientFlow(self, port, service, plan, pause)
        flow.open()
        return flow

    def send(self, packet: Packet) -> None:
        """Send a packet by way of the routers."""
        if not self._is_closed:
            self._socket.sendto(packet.encode(), (self._route(packet), self._port))

    def forget(self, flow: ClientFlow) -> None:
        """Remove a flow that is over."""
        self.flows.pop(flow.source[1], None)
        self.over.append(flow)

    def close(self) -> None:
        """Close the socket; timers that are still due send nothing."""
        self._is_closed = True
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()

    def _read(self) -> None:
        while True:
            try:
                data, (sender, _) = self._socket.recvfrom(4096)
            except BlockingIOError:
                return
            except OSError:
                continue
            packet = decode(data)
            if packet is None:
                continue
            flow = self.flows.get(packet.dst[1])
            if flow is None or flow.service != packet.src:
                continue
            if not packet.flags & RST and not packet.is_as_written:
                self.record.line("forged-packet", client=self.name, sender=sender)
                continue
            flow.handle(packet, sender)


def _is_acked(sent: Packet, ack: int) -> bool:
    return (ack - sent.seq - len(sent.data)) % NUMBERS < NUMBERS // 2
