"""Errors of the node-to-node protocol."""

from __future__ import annotations


class ProtocolError(Exception):
    """A datagram is rejected; `reason` is the counter label."""

    reason: str = "protocol"


class MalformedDatagramError(ProtocolError):
    """The datagram's bytes do not decode to a message of the expected shape."""

    reason = "malformed"


class OversizedDatagramError(ProtocolError):
    """The datagram is longer than the protocol allows."""

    reason = "oversized"


class AuthenticationError(ProtocolError):
    """The datagram's authentication tag matches no configured key."""

    reason = "authentication"


class ReplayedDatagramError(ProtocolError):
    """The datagram's sequence number was seen before or lies too far back."""

    reason = "replayed"


class UnknownMessageError(ProtocolError):
    """The message kind or envelope version is unknown, as of a newer node; it is ignored."""

    reason = "unknown_kind"
