"""Messages with which a node that cannot read the fleet's secret requests it from other nodes.

They are signed with a well-known key, which authenticates no sender. The nonce only shows that an
answer comes from a node that received the request.
"""

from __future__ import annotations

from dataclasses import dataclass

from beamloom.protocol.messages import Message, Priority, register_message

OPEN_KEY = b"beamloom-no-secret"
"""Signs only these messages, so that damaged datagrams are detected."""


@register_message(83, Priority.CONFIGURATION)
@dataclass(frozen=True, slots=True)
class SecretRequest(Message):
    """Requests the fleet's secret; `nonce` is random and new at each start."""

    nonce: bytes


@register_message(84, Priority.CONFIGURATION)
@dataclass(frozen=True, slots=True)
class SecretAnswer(Message):
    """The fleet's secret, in answer to the request with this nonce."""

    nonce: bytes
    secret: bytes
