"""Datagram codec: an authenticated CBOR envelope with any number of messages.

Envelope: `[version, sender, sequence, sent_milliseconds, [message, ...]]` followed by a 16-byte
keyed BLAKE2 tag (RFC 7693) over everything before it.
"""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Sequence
from dataclasses import dataclass, fields
from io import BytesIO

import cbor2

from beamloom.model.machines import NodeId
from beamloom.protocol.errors import (
    AuthenticationError,
    MalformedDatagramError,
    OversizedDatagramError,
    UnknownMessageError,
)
from beamloom.protocol.messages import MESSAGE_TYPES, Message, required_field_count

ENVELOPE_VERSION = 1
TAG_SIZE = 16
MAXIMUM_DATAGRAM_SIZE = 1400
ENVELOPE_FIELDS = 5


@dataclass(frozen=True, slots=True)
class Envelope:
    """A decoded datagram; `unknown_messages` counts skipped messages of unknown kinds."""

    sender: NodeId
    sequence: int
    sent_milliseconds: int
    messages: tuple[Message, ...]
    unknown_messages: int = 0


@dataclass(frozen=True, slots=True)
class KeyRing:
    """Keys of the fleet: the first one signs, all of them verify (two during a rotation)."""

    keys: tuple[bytes, ...]

    def sign(self, body: bytes) -> bytes:
        """Return the tag of `body` under the signing key."""
        return _tag(self.keys[0], body)

    def verify(self, body: bytes, tag: bytes) -> None:
        """Raise AuthenticationError unless `tag` matches one of the keys."""
        if not any(hmac.compare_digest(_tag(key, body), tag) for key in self.keys):
            raise AuthenticationError("the tag matches no configured key; check the key files")


def _tag(key: bytes, body: bytes) -> bytes:
    return hashlib.blake2b(body, key=key, digest_size=TAG_SIZE).digest()


def message_to_list(message: Message) -> list[object]:
    """Return the CBOR array of a message: its kind, then its fields in order."""
    return [message.KIND, *(getattr(message, item.name) for item in fields(message))]


def message_from_list(parts: object) -> Message:
    """Build a message from its CBOR array; raises UnknownMessageError or MalformedDatagramError."""
    if not isinstance(parts, list) or not parts or not isinstance(parts[0], int):
        raise MalformedDatagramError("a message is not an array that starts with its kind")
    message_type = MESSAGE_TYPES.get(parts[0])
    if message_type is None:
        raise UnknownMessageError(f"message kind {parts[0]} is newer than this node; upgrade it")
    known = len(fields(message_type))
    values = parts[1 : known + 1]
    if len(values) < required_field_count(message_type):
        raise MalformedDatagramError(f"{message_type.__name__} lacks fields")
    try:
        return message_type(*values)
    except (TypeError, ValueError) as error:
        raise MalformedDatagramError(f"{message_type.__name__}: {error}") from error


def encode_datagram(
    keys: KeyRing,
    sender: NodeId,
    sequence: int,
    sent_milliseconds: int,
    messages: Sequence[Message],
) -> bytes:
    """Return the signed datagram; raises OversizedDatagramError when it is too long to send."""
    parts = [message_to_list(message) for message in messages]
    body = cbor2.dumps([ENVELOPE_VERSION, sender, sequence, sent_milliseconds, parts])
    if len(body) + TAG_SIZE > MAXIMUM_DATAGRAM_SIZE:
        raise OversizedDatagramError(f"{len(body)} bytes; split the message into parts")
    return body + keys.sign(body)


def decode_datagram(keys: KeyRing, datagram: bytes) -> Envelope:
    """Verify and decode one datagram; raises ProtocolError, whose `reason` labels the counter."""
    if len(datagram) > MAXIMUM_DATAGRAM_SIZE:
        raise OversizedDatagramError(f"{len(datagram)} bytes; the sender must split it")
    if len(datagram) <= TAG_SIZE:
        raise MalformedDatagramError("shorter than its authentication tag")
    body, tag = datagram[:-TAG_SIZE], datagram[-TAG_SIZE:]
    keys.verify(body, tag)
    return _decode_body(body)


def _decode_body(body: bytes) -> Envelope:
    try:
        parts = cbor2.CBORDecoder(BytesIO(body)).decode()
    except Exception as error:
        raise MalformedDatagramError(f"not CBOR: {error}") from error
    if not isinstance(parts, list) or len(parts) < ENVELOPE_FIELDS:
        raise MalformedDatagramError("the envelope is not an array of five fields")
    version, sender, sequence, sent_milliseconds, encoded = parts[:ENVELOPE_FIELDS]
    if version != ENVELOPE_VERSION:
        raise UnknownMessageError(f"envelope version {version}; upgrade this node")
    shape = (isinstance(sender, str), isinstance(sequence, int), isinstance(sent_milliseconds, int))
    if not all(shape) or not isinstance(encoded, list):
        raise MalformedDatagramError("an envelope field has the wrong type")
    return _decode_messages(NodeId(sender), sequence, sent_milliseconds, encoded)


def _decode_messages(
    sender: NodeId, sequence: int, sent_milliseconds: int, encoded: list[object]
) -> Envelope:
    messages: list[Message] = []
    unknown = 0
    for parts in encoded:
        try:
            messages.append(message_from_list(parts))
        except UnknownMessageError:
            unknown += 1
    return Envelope(sender, sequence, sent_milliseconds, tuple(messages), unknown)
