"""The datagrams between nodes: one socket, signed envelopes, each taken once."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable

from beamloom.model.addresses import SocketAddress
from beamloom.model.machines import NodeId
from beamloom.protocol.codec import KeyRing, decode_datagram, encode_datagram
from beamloom.protocol.errors import ProtocolError
from beamloom.protocol.messages import Message
from beamloom.protocol.replay import ReplayGuard
from beamloom.runtime.datagrams import DatagramSocket

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
        self._loop = asyncio.get_running_loop()
        self._socket = DatagramSocket(SocketAddress(host, port))
        self._socket.listen(self._take)

    def send(self, host: str, message: Message) -> None:
        """Send a message to the node at a host; what cannot be sent is counted and lost."""
        self._sequence += 1
        sent_at = int(self._loop.time() * MILLISECONDS)
        try:
            data = encode_datagram(self._keys, self._sender, self._sequence, sent_at, [message])
        except ProtocolError as error:
            self.counters[f"unsent_{type(error).__name__}"] += 1
            return
        if not self._socket.send(data, SocketAddress(host, self._port)):
            self.counters["unsent_OSError"] += 1
            return
        self.counters["sent"] += 1
        self.counters["sent_bytes"] += len(data)

    def close(self) -> None:
        """Stop receiving."""
        self._socket.close()

    def _take(self, data: bytes, source: SocketAddress) -> None:
        try:
            envelope = decode_datagram(self._keys, data)
            self._guard.check(envelope.sender, envelope.sequence)
        except ProtocolError as error:
            self.counters[f"refused_{error.reason}"] += 1
            return
        self.counters["received"] += 1
        for message in envelope.messages:
            self._received(source[0], message)
