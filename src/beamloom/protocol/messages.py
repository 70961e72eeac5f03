"""Registry of node-to-node messages: each is a frozen dataclass with a kind number.

On the wire a message is a CBOR array `[kind, field, field, ...]` in declaration order. A receiver
ignores trailing fields it does not know; fields added later need a default. Messages of an unknown
kind are ignored and counted, which allows rolling upgrades.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import MISSING, dataclass, fields
from enum import IntEnum
from typing import ClassVar, TypeVar


class Priority(IntEnum):
    """Order in which the control budget serves messages, the lowest number first."""

    MEMBERSHIP = 0
    CONFIGURATION = 1
    TRANSFER = 2
    REPLICA = 3
    STATUS = 4
    CACHE = 5


@dataclass(frozen=True, slots=True)
class Message:
    """Base of every node-to-node message."""

    KIND: ClassVar[int] = 0
    PRIORITY: ClassVar[Priority] = Priority.CACHE


MessageType = TypeVar("MessageType", bound=type[Message])
MESSAGE_TYPES: dict[int, type[Message]] = {}


def register_message(kind: int, priority: Priority) -> Callable[[MessageType], MessageType]:
    """Register a message class under its kind number; raises ValueError if the number is taken."""

    def register(message_type: MessageType) -> MessageType:
        if kind in MESSAGE_TYPES:
            raise ValueError(f"message kind {kind} is taken by {MESSAGE_TYPES[kind].__name__}")
        message_type.KIND = kind
        message_type.PRIORITY = priority
        MESSAGE_TYPES[kind] = message_type
        return message_type

    return register


def required_field_count(message_type: type[Message]) -> int:
    """Return how many leading fields of a message have no default."""
    return sum(
        1
        for item in fields(message_type)
        if item.default is MISSING and item.default_factory is MISSING
    )
