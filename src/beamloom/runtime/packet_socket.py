"""Clients' packets in, decisions of the token router carried out."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import TYPE_CHECKING

from beamloom.platform import packet_layout
from beamloom.routing.tokens.packets import (
    DropPacket,
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
LARGEST_DATAGRAM = 2048
RESETS_AT_ONCE = 100
"""About 10 ms of a small machine; what is left goes with the next tick."""


class PacketSocket:
    """The socket that routers send clients' packets to.

    `datagrams` is bound and does not block; clients take resets at the same port number.
    `on_fault` hears of errors of our own; each costs the one packet that met it. `before_batch` is
    called with the time before each batch of packets, `after_batch` after it. `on_first` hears of
    the first packet that was judged and the first that was forwarded; after that it costs nothing.
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
        self._carry_out: Callable[[RouterCommand], None] = self._execute_until_forwarded
        self._after_batch = after_batch
        self._before_batch = before_batch
        self._client_port = datagrams.getsockname()[1]
        self._router = router
        self._on_fault = on_fault
        self._socket = datagrams
        self._discarding = False
        self._loop = asyncio.get_running_loop()

    def start(self) -> None:
        """Take packets from now on, those that have waited first; a second call does nothing."""
        self._loop.add_reader(self._socket, self._read_batch)

    def start_without_waiting_openings(self) -> None:
        """Take packets from now on, but drop the opening packets that have waited."""
        self.discard_waiting_openings()
        while self._discarding:
            self._read_batch()
        self.start()

    def discard_waiting_openings(self) -> None:
        """Drop the opening packets that wait in the socket; for a batch that is being read.

        Their clients have sent copies meanwhile, perhaps through other nodes: a second backend
        that answers such a flow would break it. Packets of open flows are taken.
        """
        self._discarding = True

    def close(self) -> None:
        """Take no more packets."""
        self._loop.remove_reader(self._socket)
        self._socket.close()

    def _read_batch(self) -> None:
        now = self._loop.time()
        self._before_batch(now)
        self._take_batch(now)
        self._after_batch()

    def _take_batch(self, now: float) -> None:
        receive = self._socket.recv
        for _ in range(BATCH_SIZE):
            try:
                data = receive(LARGEST_DATAGRAM)
            except BlockingIOError:
                self._discarding = False
                return
            except OSError:
                continue
            try:
                self._take(data, now)
            except Exception as error:
                self._router.counters["faults"] += 1
                self._on_fault(error)

    def _take(self, data: bytes, now: float) -> None:
        packet = packet_layout.parse_packet(data)
        if packet is None:
            self._router.counters[f"dropped_{DropReason.MALFORMED.value}"] += 1
            return
        if self._discarding and packet.kind is PacketKind.OPEN:
            self._router.counters[f"dropped_{DropReason.LATE_OPENING.value}"] += 1
            return
        self._carry_out(self._router.handle(packet, now))

    def _execute_until_forwarded(self, command: RouterCommand) -> None:
        self._on_first("packet_read")
        self._execute(command)
        if isinstance(command, ForwardPacket):
            self._on_first("packet_forwarded")
            self._carry_out = self._execute

    def _execute(self, command: RouterCommand) -> None:
        if isinstance(command, ForwardPacket):
            self._send(packet_layout.encode_forward(command), command.address)
        elif not isinstance(command, DropPacket):
            self._reset(command)

    def send_resets(self) -> None:
        """Send the resets of flows that have ended by themselves, as many as one call may take."""
        resets = self._router.resets
        for _ in range(min(RESETS_AT_ONCE, len(resets))):
            self._reset(resets.popleft())

    def _reset(self, command: ResetFlow) -> None:
        client = packet_layout.client_host(command.flow)
        self._send(packet_layout.encode_reset(command), (client, self._client_port))

    def _send(self, data: bytes, address: tuple[str, int]) -> None:
        try:
            self._socket.sendto(data, address)
        except OSError:
            self._router.counters["unsent"] += 1
