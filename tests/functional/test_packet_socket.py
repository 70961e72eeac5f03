"""The packets' socket: what waited in it, and what a stall does to it."""

import asyncio
import socket
import unittest
from collections import Counter

from beamloom.platform.packet_layout import FLAG_ACK, FLAG_SYN, HEAD
from beamloom.routing.tokens.packets import ClientPacket, DropPacket, DropReason, PacketKind
from beamloom.runtime.bound_socket import bind_datagrams
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
            raise RuntimeError("a fault of ours")
        self.handled.append(packet.kind)
        return DropPacket(packet, DropReason.NO_TOKEN)


class PacketSocketTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        bound = bind_datagrams(Endpoint("127.0.0.1", 0))
        self.address = bound.getsockname()
        self.router = FakeRouter()
        self.faults: list[Exception] = []
        self.firsts: list[str] = []
        self.stalled = False
        self.packets = PacketSocket(
            bound,
            self.router,  # type: ignore[arg-type]
            self.faults.append,
            self.before_batch,
            lambda: None,
            on_first=self.firsts.append,
        )
        self.addCleanup(self.packets.close)
        self.sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(self.sender.close)

    def before_batch(self, _now: float) -> None:
        if self.stalled:
            self.packets.discard_waiting_openings()
            self.stalled = False

    async def send(self, *flags: int) -> None:
        for number, value in enumerate(flags):
            self.sender.sendto(datagram(value, number), self.address)
        await asyncio.sleep(0.05)

    async def test_what_waited_is_taken_at_the_start(self) -> None:
        await self.send(FLAG_SYN, FLAG_ACK)
        self.packets.start()
        await asyncio.sleep(0.05)
        self.assertEqual(self.router.handled, [PacketKind.OPEN, PacketKind.DATA])

    async def test_after_a_long_start_waiting_openings_are_dropped_and_later_ones_taken(
        self,
    ) -> None:
        """Found by quiet-1: the first opening after a start without any waiting was dropped."""
        await self.send(FLAG_SYN, FLAG_ACK)
        self.packets.start_without_waiting_openings()
        self.assertEqual(self.router.handled, [PacketKind.DATA])
        self.assertEqual(self.router.counters["dropped_late_opening"], 1)
        await self.send(FLAG_SYN)
        self.assertEqual(self.router.handled, [PacketKind.DATA, PacketKind.OPEN])

    async def test_the_first_packet_read_is_told_and_no_drop_counts_as_forwarded(self) -> None:
        self.packets.start()
        await self.send(FLAG_SYN, FLAG_ACK)
        self.assertEqual(set(self.firsts), {"packet_read"})

    async def test_a_start_with_nothing_waiting_drops_nothing_later(self) -> None:
        self.packets.start_without_waiting_openings()
        await self.send(FLAG_SYN)
        self.assertEqual(self.router.handled, [PacketKind.OPEN])

    async def test_after_a_stall_only_what_waited_is_dropped(self) -> None:
        self.packets.start()
        self.stalled = True
        await self.send(FLAG_SYN, FLAG_ACK)
        self.assertEqual(self.router.handled, [PacketKind.DATA])
        await self.send(FLAG_SYN)
        self.assertEqual(self.router.handled, [PacketKind.DATA, PacketKind.OPEN])

    async def test_a_fault_costs_one_packet(self) -> None:
        self.packets.start()
        self.router.fails = True
        await self.send(FLAG_SYN)
        self.router.fails = False
        await self.send(FLAG_SYN, 0xFF)
        self.assertEqual(len(self.faults), 1)
        self.assertEqual(self.router.counters["faults"], 1)
        self.assertEqual(len(self.router.handled), 2)
