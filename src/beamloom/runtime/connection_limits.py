"""What proves that each connection of a node lives, and how long a node does without that proof.

A connection may fall silent for good without a reset: what was sent on it is lost, and nothing ever
comes. The kernel tells where the other machine's kernel acknowledges nothing any more, and times of
the node's own tell where something between the two machines still does. The table of all of them
is in docs/design/silent-connections.md.
"""

import socket
from enum import Enum
from typing import NamedTuple

from beamloom.replication.reading_times import CALL_PATIENCE_SECONDS
from beamloom.units import MILLISECONDS

CONNECT_SECONDS = 0.7
"""Connecting anew beats waiting: a lost opening packet is repeated only after a second or more."""
LIST_SECONDS = 2.0
"""A list of 500 objects takes a tenth of that on a store at ease."""
LONGEST_LIST_SECONDS = 8.0
"""Where a whole large fleet starts at once, the store's link is full; giving up would only add."""
SECRET_SECONDS = 1.5
"""A read of one object, by a node of which nothing else depends on it yet."""
PROGRESS_SHARE = 0.5
"""A list whose next bytes take longer than this share of its deadline will not be whole by then."""

UNACKNOWLEDGED_SECONDS = 0.5
"""What is sent on a kept connection may be lost once and be repeated (after 0.2 s) by then. Linux
looks at its next repetition only: 0.93 s after the call on loopback.
"""
KEEP_ALIVE_SECONDS = 1
"""The kernel's shortest: a connection on which nothing comes is probed after so long, and given up
when a probe has no answer for as long again. A probe and its answer are 40 bytes each.
"""

CHECK_ATTEMPTS = 2
"""One lost packet must not count as silence."""
CHECK_ATTEMPT_SECONDS = 0.1
"""More than ten times the longest way to a backend and back."""

MAXIMUM_CONNECTIONS = 64
"""Of one responder: a dozen callers, and several connections of each that fell silent."""
IDLE_SECONDS = 30.0
"""Scrapes come each 15 s as a rule, calls for readiness each 0.5 s."""
REQUEST_SECONDS = 2.0
"""A request is one packet; repeated three times it is there by then."""
UNREAD_ANSWER_SECONDS = 5.0
"""How long an answer may wait for a caller that does not read."""


class ConnectionKind(Enum):
    """Whose connection it is; the values are labels in counters and logs."""

    BACKENDS = "backends"
    CONFIGURATION = "configuration"
    EVACUATIONS = "evacuations"
    SECRET = "secret"
    READINESS = "readiness"
    METRICS = "metrics"


class CallLimits(NamedTuple):
    """How long a call may take as a whole, and how long the rest of an answer may stand still.

    `waits` says that the server may take its time on purpose, so that only the kernel's probes show
    before the deadline that the connection lives.
    """

    deadline_seconds: float
    progress_seconds: float
    waits: bool = False


class ResponderLimits(NamedTuple):
    """How many connections a responder holds, and for how long each in which state."""

    connections: int = MAXIMUM_CONNECTIONS
    idle_seconds: float = IDLE_SECONDS
    request_seconds: float = REQUEST_SECONDS
    unread_seconds: float = UNREAD_ANSWER_SECONDS


SECRET_LIMITS = CallLimits(SECRET_SECONDS, PROGRESS_SHARE * SECRET_SECONDS)


def list_limits(deadline_seconds: float) -> CallLimits:
    """Return the limits of a list, whose deadline grows while the store is slow."""
    return CallLimits(deadline_seconds, PROGRESS_SHARE * deadline_seconds)


def watch_limits(wait_seconds: float) -> CallLimits:
    """Return the limits of a watch that the store may let wait."""
    deadline = wait_seconds + CALL_PATIENCE_SECONDS
    return CallLimits(deadline, CALL_PATIENCE_SECONDS, waits=wait_seconds > 0)


def notice_silence(connection: socket.socket) -> None:
    """Let the kernel end a connection whose other end acknowledges nothing; raises OSError."""
    unacknowledged = int(UNACKNOWLEDGED_SECONDS * MILLISECONDS)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unacknowledged)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_SECONDS)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_SECONDS)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 1)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
