"""Estimates how long messages of peers were held up on their way; no I/O.

A message states how old its information was when it was sent, and the time of its sender's clock.
The clocks of two machines have an unknown but constant offset, so that the difference between
arrival and sending is compared with the least one of the same sender's recent messages.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import NamedTuple

WINDOW_SECONDS = 10.0
"""The least difference is that of one to two windows, as a clock starts anew with its machine."""
MAXIMUM_DELAY_SECONDS = 60.0
"""A longer apparent delay shows that the sender's clock has started anew."""


class _Sender(NamedTuple):
    """The least differences of the last whole window and of the present one, since `began_at`.

    `newest` is the latest time at which a message was sent, by its sender's clock.
    """

    last: float
    present: float
    began_at: float
    newest: float


class MessageDelay(NamedTuple):
    """How long a message was held up, and whether a newer one of its sender came before."""

    seconds: float
    is_overtaken: bool = False


class MessageDelays:
    """The delays of the messages from each host, in seconds beyond its fastest recent one."""

    def __init__(self) -> None:
        self._senders: dict[str, _Sender] = {}

    def note(self, host: str, sent_at: float, now: float) -> MessageDelay:
        """Record a message of a host, sent at a time of its clock; return its delay."""
        difference = now - sent_at
        known = self._senders.get(host)
        least = difference if known is None else min(known.last, known.present, difference)
        if known is None or difference - least > MAXIMUM_DELAY_SECONDS:
            self._senders[host] = _Sender(difference, difference, now, sent_at)
            return MessageDelay(0.0)
        last, began_at = known.last, known.began_at
        if now - began_at >= WINDOW_SECONDS:
            last, began_at = known.present, now
        present = min(known.present, difference) if began_at == known.began_at else difference
        newest = max(known.newest, sent_at)
        self._senders[host] = _Sender(last, present, began_at, newest)
        return MessageDelay(difference - least, sent_at < known.newest)

    def keep(self, hosts: Collection[str]) -> None:
        """Forget all hosts but these."""
        self._senders = {host: known for host, known in self._senders.items() if host in hosts}
