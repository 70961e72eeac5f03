"""Fetches the fleet's secret from other nodes if the store fails or holds none; no I/O.

The store is always asked first, then the seeds as well. They answer only hosts that were members
recently. Answers go to the address of a member, so a client or a backend cannot obtain the secret
by sending requests in a member's name. On the way an answer is as readable as the store's own,
which is sent over the same network.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from beamloom.protocol.messages import Message
from beamloom.protocol.secret_messages import SecretAnswer, SecretRequest

NONCE_BYTES = 16
MEMBER_SECONDS = 600.0
"""How long a host counts as a member after its last signed message, to cover a restart."""
MAXIMUM_MEMBERS = 4096
ANSWER_INTERVAL_SECONDS = 0.2


class OpenMessage(NamedTuple):
    """A message to be sent to the node at `host`, authenticated by no secret."""

    host: str
    message: Message


class SecretRequester:
    """Requests the secret for a node without it; `nonce` holds `NONCE_BYTES` random bytes."""

    def __init__(self, nonce: bytes, secret_bytes: int) -> None:
        self._nonce = nonce
        self._secret_bytes = secret_bytes
        self._requested_hosts: set[str] = set()

    def requests(self, hosts: Iterable[str]) -> list[OpenMessage]:
        """Return requests to `hosts`; to be repeated until there is an answer."""
        targets = sorted(hosts)
        self._requested_hosts.update(targets)
        return [OpenMessage(host, SecretRequest(self._nonce)) for host in targets]

    def take(self, host: str, message: Message) -> bytes | None:
        """Return the secret in a message if it answers a request of this node, else None."""
        if not isinstance(message, SecretAnswer) or host not in self._requested_hosts:
            return None
        if message.nonce != self._nonce or not isinstance(message.secret, bytes):
            return None
        return message.secret if len(message.secret) == self._secret_bytes else None


class SecretResponder:
    """Answers requests for the `secret` from hosts that were members recently."""

    def __init__(self, secret: bytes) -> None:
        self.secret = secret
        self._members: dict[str, float] = {}
        self._answered_at: dict[str, float] = {}

    def note_member(self, host: str, now: float) -> None:
        """Record that a host has proved that it has the secret."""
        if host in self._members or len(self._members) < MAXIMUM_MEMBERS:
            self._members[host] = now

    def answer(self, host: str, message: Message, now: float) -> OpenMessage | None:
        """Return the answer to a request, or None if the host is not answered."""
        if not isinstance(message, SecretRequest) or not isinstance(message.nonce, bytes):
            return None
        if len(message.nonce) != NONCE_BYTES or not self._is_member(host, now):
            return None
        if now - self._answered_at.get(host, float("-inf")) < ANSWER_INTERVAL_SECONDS:
            return None
        self._answered_at[host] = now
        return OpenMessage(host, SecretAnswer(message.nonce, self.secret))

    def _is_member(self, host: str, now: float) -> bool:
        at = self._members.get(host)
        if at is None:
            return False
        if now - at < MEMBER_SECONDS:
            return True
        del self._members[host]
        self._answered_at.pop(host, None)
        return False
