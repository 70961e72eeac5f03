"""Messages by which a node that cannot read the fleet's secret asks its neighbours for it.

They travel under a key that everybody knows, so nothing in them is proof of anything but the
nonce: who answers has got the request.
"""

from __future__ import annotations

from dataclasses import dataclass

from beamloom.protocol.messages import Message, Priority, register_message

OPEN_KEY = b"beamloom-no-secret"
"""Signs these messages alone; it only tells them from damaged datagrams."""


@register_message(83, Priority.CONFIGURATION)
@dataclass(frozen=True, slots=True)
class SecretRequest(Message):
    """Ask for the fleet's secret; `nonce` is drawn anew at each start."""

    nonce: bytes


@register_message(84, Priority.CONFIGURATION)
@dataclass(frozen=True, slots=True)
class SecretAnswer(Message):
    """The fleet's secret, for the one who drew the nonce."""

    nonce: bytes
    secret: bytes
