"""Datagrams between nodes: one socket, signed envelopes, replay protection.

Until the fleet's secret is known, only unsigned messages are sent and accepted. Only requests for
the secret and their answers are accepted unsigned.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable

from beamloom.model.addresses import SocketAddress
from beamloom.model.machines import NodeId
from beamloom.protocol.codec import Envelope, KeyRing, decode_datagram, encode_datagram
from beamloom.protocol.errors import AuthenticationError, ProtocolError
from beamloom.protocol.messages import Message
from beamloom.protocol.replay import ReplayGuard
from beamloom.protocol.secret_messages import OPEN_KEY, SecretAnswer, SecretRequest
from beamloom.runtime.datagrams import DatagramSocket
from beamloom.units import MILLISECONDS

UNSIGNED_KEYS = KeyRing((OPEN_KEY,))

MessageHandler = Callable[[str, Message], None]


class PeerLink:
    """Sends and receives messages; raises OSError if the address cannot be bound.

    `on_message` gets the sender's host and each signed message, `on_unsigned` the same for
    unsigned ones.
    """

    def __init__(
        self,
        host: str,
        port: int,
        sender: str,
        on_message: MessageHandler,
        on_unsigned: MessageHandler,
    ) -> None:
        self.counters: Counter[str] = Counter()
        self.sent_bytes: Counter[str] = Counter()
        self._port = port
        self._sender = NodeId(sender)
        self._keys: KeyRing | None = None
        self._replay_guard = ReplayGuard()
        self._on_message = on_message
        self._on_unsigned = on_unsigned
        self._sequence = 0
        self._loop = asyncio.get_running_loop()
        self._socket = DatagramSocket(SocketAddress(host, port))
        self._socket.listen(self._handle_datagram)

    def set_keys(self, keys: tuple[bytes, ...]) -> None:
        """Sign with the first key and accept signatures of all `keys` from now on."""
        self._keys = KeyRing(keys)

    def send(self, host: str, message: Message) -> None:
        """Send a signed message to the node at a host; a message that cannot be sent is counted."""
        if self._keys is None:
            self.counters["unsent_no_key"] += 1
        else:
            self._send(self._keys, host, message)

    def send_unsigned(self, host: str, message: Message) -> None:
        """Send an unsigned message to the node at a host."""
        self._send(UNSIGNED_KEYS, host, message)

    def close(self) -> None:
        """Stop receiving."""
        self._socket.close()

    def _send(self, keys: KeyRing, host: str, message: Message) -> None:
        self._sequence += 1
        sent_at = int(self._loop.time() * MILLISECONDS)
        try:
            data = encode_datagram(keys, self._sender, self._sequence, sent_at, [message])
        except ProtocolError as error:
            self.counters[f"unsent_{type(error).__name__}"] += 1
            return
        if not self._socket.send(data, SocketAddress(host, self._port)):
            self.counters["unsent_OSError"] += 1
            return
        self.counters["sent"] += 1
        self.counters["sent_bytes"] += len(data)
        self.sent_bytes[type(message).__name__] += len(data)

    def _handle_datagram(self, data: bytes, source: SocketAddress) -> None:
        try:
            envelope = self._decode_signed(data)
        except AuthenticationError as error:
            if not self._handle_unsigned(data, source[0]):
                self.counters[f"refused_{error.reason}"] += 1
            return
        except ProtocolError as error:
            self.counters[f"refused_{error.reason}"] += 1
            return
        self.counters["received"] += 1
        self.counters["received_bytes"] += len(data)
        for message in envelope.messages:
            self._on_message(source[0], message)

    def _decode_signed(self, data: bytes) -> Envelope:
        if self._keys is None:
            raise AuthenticationError("the fleet's secret is not known yet; read it first")
        envelope = decode_datagram(self._keys, data)
        self._replay_guard.check(envelope.sender, envelope.sequence)
        return envelope

    def _handle_unsigned(self, data: bytes, host: str) -> bool:
        """Handle a datagram if it is an unsigned one; return whether it is."""
        try:
            envelope = decode_datagram(UNSIGNED_KEYS, data)
        except ProtocolError:
            return False
        self.counters["received_open"] += 1
        for message in envelope.messages:
            if isinstance(message, SecretRequest | SecretAnswer):
                self._on_unsigned(host, message)
        return True
