"""Runs many client flows over one UDP socket, whose packets go to the fabric."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from beamloom.model.addresses import SocketAddress
from beamloom.standins.client_host import ClientHost
from beamloom.standins.client_model import ClientFlow, FlowTruth
from beamloom.standins.client_stream import StreamFlow
from beamloom.standins.udp_socket import PollTimer, UdpSocket

LOOPBACK = SocketAddress("127.0.0.1", 0)


class ClientProcess:
    """Runs a `ClientHost` on a socket; `flow_ended` is called with each flow that ends."""

    def __init__(
        self,
        fabric: SocketAddress,
        flow_ended: Callable[[ClientFlow], None] | None = None,
    ) -> None:
        self.host = ClientHost(self._handle_flow_end)
        self._fabric = fabric
        self._flow_ended = flow_ended
        self._outcome_futures: dict[ClientFlow, asyncio.Future[FlowTruth]] = {}
        self._socket: UdpSocket | None = None
        self._timer: PollTimer | None = None

    async def open(self, address: SocketAddress = LOOPBACK) -> None:
        """Bind the socket; raises OSError if the address is in use."""
        self._socket = await UdpSocket.open(address, self._receive)
        self._timer = PollTimer(self.host.next_timer, self._poll)

    def close(self) -> None:
        """Close the socket at once; flows that have not ended get no outcome."""
        if self._timer is not None:
            self._timer.stop()
        if self._socket is not None:
            self._socket.close()

    def start(self, flow: ClientFlow) -> None:
        """Start a flow; raises ValueError if a flow with its addresses exists."""
        self._send(self.host.start(flow, asyncio.get_running_loop().time()))

    def cancel(self, flow: ClientFlow) -> None:
        """Cancel a flow."""
        self._send(self.host.cancel(flow, asyncio.get_running_loop().time()))

    async def run(self, flow: ClientFlow) -> FlowTruth:
        """Start a flow and wait for its outcome; cancelling this call cancels the flow."""
        self._outcome_futures[flow] = asyncio.get_running_loop().create_future()
        self.start(flow)
        try:
            return await self._outcome_futures[flow]
        except asyncio.CancelledError:
            self.cancel(flow)
            raise
        finally:
            del self._outcome_futures[flow]

    def close_stream(self, flow: StreamFlow) -> None:
        """Stop a stream's updates, and close it once all of them are answered."""
        self._send(self.host.close_stream(flow, asyncio.get_running_loop().time()))

    def _handle_flow_end(self, flow: ClientFlow) -> None:
        future = self._outcome_futures.get(flow)
        if future is not None and not future.done():
            future.set_result(flow.truth)
        if self._flow_ended is not None:
            self._flow_ended(flow)

    def _receive(self, data: bytes, source: SocketAddress) -> None:
        self._send(self.host.receive(data, asyncio.get_running_loop().time()))

    def _poll(self, now: float) -> None:
        self._send(self.host.poll(now))

    def _send(self, packets: list[bytes]) -> None:
        if self._socket is None or self._timer is None:
            raise RuntimeError("the client is not open; await open first")
        for data in packets:
            self._socket.send(data, self._fabric)
        self._timer.rearm()
