"""Receives clients' packets and executes the token router's commands."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import TYPE_CHECKING

from beamloom.platform import packet_layout
from beamloom.routing.tokens.packets import (
    DropReason,
    ForwardPacket,
    PacketKind,
    ResetFlow,
    RouterCommand,
)
from beamloom.routing.tokens.router import TokenRouter

if TYPE_CHECKING:
    from beamloom.runtime.start_timeline import Moment

BATCH_SIZE = 64
MAXIMUM_DATAGRAM_BYTES = 2048
MAXIMUM_RESETS_PER_CALL = 100
"""Bounds the time of one call of `send_resets`, during which no packets are handled: about 10 ms on
a small machine. The rest is sent with the next tick.
"""


class PacketSocket:
    """The socket to which routers send clients' packets.

    `datagrams` is a bound, non-blocking socket; resets are sent to clients at the same port number.
    An exception during the handling of a packet drops that packet and is passed to `on_fault`.
    `before_batch` is called with the time before each batch of packets, `after_batch` after it.
    `on_first` is called with "packet_read" for each packet handled up to the first forwarded one,
    and then with "packet_forwarded" for that one.
    """

    def __init__(
        self,
        datagrams: socket.socket,
        router: TokenRouter,
        on_fault: Callable[[Exception], None],
        before_batch: Callable[[float], None],
        after_batch: Callable[[], None],
        *,
        on_first: Callable[[Moment], None] = lambda moment: None,
    ) -> None:
        self._on_first = on_first
        self._execute_command: Callable[[RouterCommand], None] = self._execute_until_forwarded
        self._after_batch = after_batch
        self._before_batch = before_batch
        self._client_port = datagrams.getsockname()[1]
        self._router = router
        self._on_fault = on_fault
        self._socket = datagrams
        self._drops_openings = False
        self._loop = asyncio.get_running_loop()

    def start(self) -> None:
        """Start to receive packets, beginning with those queued in the socket; may be repeated."""
        self._loop.add_reader(self._socket, self._read_batch)

    def start_dropping_queued_openings(self) -> None:
        """Start to receive packets, but drop the opening packets queued in the socket."""
        self.drop_queued_openings()
        while self._drops_openings:
            self._read_batch()
        self.start()

    def drop_queued_openings(self) -> None:
        """Drop opening packets until the socket's queue is empty; may be called in `before_batch`.

        Their clients may have sent copies through other nodes, and a flow breaks if a second
        backend answers it. Packets of open flows are handled.
        """
        self._drops_openings = True

    def close(self) -> None:
        """Stop receiving packets and close the socket."""
        self._loop.remove_reader(self._socket)
        self._socket.close()

    def _read_batch(self) -> None:
        now = self._loop.time()
        self._before_batch(now)
        self._receive_batch(now)
        self._after_batch()

    def _receive_batch(self, now: float) -> None:
        receive = self._socket.recv
        for _ in range(BATCH_SIZE):
            try:
                data = receive(MAXIMUM_DATAGRAM_BYTES)
            except BlockingIOError:
                self._drops_openings = False
                return
            except OSError:
                continue
            try:
                self._handle_packet(data, now)
            except Exception as error:
                self._router.counters["faults"] += 1
                self._on_fault(error)

    def _handle_packet(self, data: bytes, now: float) -> None:
        packet = packet_layout.parse_packet(data)
        if packet is None:
            self._router.counters[f"dropped_{DropReason.MALFORMED.value}"] += 1
            return
        if self._drops_openings and packet.kind is PacketKind.OPEN:
            self._router.note_late_opening(packet, now)
            return
        self._execute_command(self._router.handle(packet, now))

    def _execute_until_forwarded(self, command: RouterCommand) -> None:
        self._on_first("packet_read")
        self._execute(command)
        if isinstance(command, ForwardPacket):
            self._on_first("packet_forwarded")
            self._execute_command = self._execute

    def _execute(self, command: RouterCommand) -> None:
        if isinstance(command, ForwardPacket):
            self._send(packet_layout.encode_forward(command), command.address)
        elif isinstance(command, ResetFlow):
            self._reset(command)

    def send_late_commands(self) -> None:
        """Execute the router's commands for packets that it had held."""
        commands = self._router.late_commands
        while commands:
            self._execute(commands.popleft())

    def send_resets(self) -> None:
        """Send queued resets of the router, up to MAXIMUM_RESETS_PER_CALL."""
        resets = self._router.resets
        for _ in range(min(MAXIMUM_RESETS_PER_CALL, len(resets))):
            self._reset(resets.popleft())

    def _reset(self, command: ResetFlow) -> None:
        client = packet_layout.client_host(command.flow)
        self._send(packet_layout.encode_reset(command), (client, self._client_port))

    def _send(self, data: bytes, address: tuple[str, int]) -> None:
        try:
            self._socket.sendto(data, address)
        except OSError:
            self._router.counters["unsent"] += 1
