"""The datagrams between nodes: one socket, signed envelopes, each taken once."""

from __future__ import annotations

import asyncio
import socket
from collections import Counter
from collections.abc import Callable

from beamloom.model.machines import NodeId
from beamloom.protocol.codec import KeyRing, decode_datagram, encode_datagram
from beamloom.protocol.errors import ProtocolError
from beamloom.protocol.messages import Message
from beamloom.protocol.replay import ReplayGuard

LARGEST_DATAGRAM = 2048
BATCH_SIZE = 64
MILLISECONDS = 1000

Received = Callable[[str, Message], None]


class PeerLink:
    """Sends and receives messages; raises OSError where the address cannot be bound."""

    def __init__(self, host: str, port: int, sender: str, key: bytes, received: Received) -> None:
        self.counters: Counter[str] = Counter()
        self._port = port
        self._sender = NodeId(sender)
        self._keys = KeyRing((key,))
        self._guard = ReplayGuard()
        self._received = received
        self._sequence = 0
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        try:
            self._socket.bind((host, port))
        except OSError:
            self._socket.close()
            raise
        self._loop = asyncio.get_running_loop()
        self._loop.add_reader(self._socket, self._read_batch)

    def send(self, host: str, message: Message) -> None:
        """Send a message to the node at a host; what cannot be sent is counted and lost."""
        self._sequence += 1
        sent_at = int(self._loop.time() * MILLISECONDS)
        try:
            data = encode_datagram(self._keys, self._sender, self._sequence, sent_at, [message])
            self._socket.sendto(data, (host, self._port))
        except (ProtocolError, OSError) as error:
            self.counters[f"unsent_{type(error).__name__}"] += 1
            return
        self.counters["sent"] += 1
        self.counters["sent_bytes"] += len(data)

    def close(self) -> None:
        """Stop receiving."""
        self._loop.remove_reader(self._socket)
        self._socket.close()

    def _read_batch(self) -> None:
        for _ in range(BATCH_SIZE):
            try:
                data, source = self._socket.recvfrom(LARGEST_DATAGRAM)
            except BlockingIOError:
                return
            except OSError:
                continue
            self._take(data, str(source[0]))

    def _take(self, data: bytes, host: str) -> None:
        try:
            envelope = decode_datagram(self._keys, data)
            self._guard.check(envelope.sender, envelope.sequence)
        except ProtocolError as error:
            self.counters[f"refused_{error.reason}"] += 1
            return
        self.counters["received"] += 1
        for message in envelope.messages:
            self._received(host, message)
