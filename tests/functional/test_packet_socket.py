"""The packet socket: queued packets at the start and after a stall, and exceptions."""

import asyncio
import socket
import unittest
from collections import Counter

from beamloom.platform.packet_layout import FLAG_ACK, FLAG_SYN, HEAD
from beamloom.routing.tokens.packets import ClientPacket, DropPacket, DropReason, PacketKind
from beamloom.runtime.bound_socket import bind_datagram_socket
from beamloom.runtime.packet_socket import PacketSocket
from beamloom.settings.token_node import Endpoint


def datagram(flags: int, number: int) -> bytes:
    return HEAD.pack(bytes(4), number, bytes(4), 443, 1, 0, 0, 5, 9, flags, bytes(3))


class FakeRouter:
    def __init__(self) -> None:
        self.counters: Counter[str] = Counter()
        self.handled: list[PacketKind] = []
        self.fails = False

    def handle(self, packet: ClientPacket, now: float) -> DropPacket:
        if self.fails:
            raise RuntimeError("injected fault")
        self.handled.append(packet.kind)
        return DropPacket(packet, DropReason.NO_TOKEN)

    def note_late_opening(self, _packet: ClientPacket, _now: float) -> None:
        self.counters["dropped_late_opening"] += 1


class PacketSocketTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        datagram_socket = bind_datagram_socket(Endpoint("127.0.0.1", 0))
        self.address = datagram_socket.getsockname()
        self.router = FakeRouter()
        self.faults: list[Exception] = []
        self.reported_moments: list[str] = []
        self.stalled = False
        self.packets = PacketSocket(
            datagram_socket,
            self.router,  # type: ignore[arg-type]
            self.faults.append,
            self.before_batch,
            lambda: None,
            on_first=self.reported_moments.append,
        )
        self.addCleanup(self.packets.close)
        self.sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(self.sender.close)

    def before_batch(self, _now: float) -> None:
        if self.stalled:
            self.packets.drop_queued_openings()
            self.stalled = False

    async def send(self, *flags: int) -> None:
        for number, value in enumerate(flags):
            self.sender.sendto(datagram(value, number), self.address)
        await asyncio.sleep(0.05)

    async def test_queued_packets_are_handled_at_the_start(self) -> None:
        await self.send(FLAG_SYN, FLAG_ACK)
        self.packets.start()
        await asyncio.sleep(0.05)
        self.assertEqual(self.router.handled, [PacketKind.OPEN, PacketKind.DATA])

    async def test_after_a_long_start_only_queued_openings_are_dropped(
        self,
    ) -> None:
        """Guards against dropping the first opening that arrives after the start."""
        await self.send(FLAG_SYN, FLAG_ACK)
        self.packets.start_dropping_queued_openings()
        self.assertEqual(self.router.handled, [PacketKind.DATA])
        self.assertEqual(self.router.counters["dropped_late_opening"], 1)
        await self.send(FLAG_SYN)
        self.assertEqual(self.router.handled, [PacketKind.DATA, PacketKind.OPEN])

    async def test_a_dropped_packet_is_reported_as_read_and_not_as_forwarded(self) -> None:
        self.packets.start()
        await self.send(FLAG_SYN, FLAG_ACK)
        self.assertEqual(set(self.reported_moments), {"packet_read"})

    async def test_a_start_with_an_empty_queue_drops_nothing_later(self) -> None:
        self.packets.start_dropping_queued_openings()
        await self.send(FLAG_SYN)
        self.assertEqual(self.router.handled, [PacketKind.OPEN])

    async def test_after_a_stall_only_queued_openings_are_dropped(self) -> None:
        self.packets.start()
        self.stalled = True
        await self.send(FLAG_SYN, FLAG_ACK)
        self.assertEqual(self.router.handled, [PacketKind.DATA])
        await self.send(FLAG_SYN)
        self.assertEqual(self.router.handled, [PacketKind.DATA, PacketKind.OPEN])

    async def test_an_exception_drops_one_packet(self) -> None:
        self.packets.start()
        self.router.fails = True
        await self.send(FLAG_SYN)
        self.router.fails = False
        await self.send(FLAG_SYN, 0xFF)
        self.assertEqual(len(self.faults), 1)
        self.assertEqual(self.router.counters["faults"], 1)
        self.assertEqual(len(self.router.handled), 2)
