"""Timeouts and limits for silent connections of a node, for each kind of connection.

A connection may go silent for good without a reset: sent data is lost and nothing is received. The
kernel detects that the other machine's kernel no longer acknowledges data; the node's own timeouts
cover the case that something in between still acknowledges it. docs/design/silent-connections.md
lists all of them.
"""

import socket
from enum import Enum
from typing import NamedTuple

from beamloom.replication.store_call_times import CALL_TIMEOUT_SECONDS
from beamloom.units import MILLISECONDS

CONNECT_SECONDS = 0.7
"""TCP retransmits a lost SYN only after a second or more, so a new connection is faster."""
LIST_SECONDS = 2.0
"""First deadline of a list. A list of 500 objects takes a tenth of that on an idle store."""
MAXIMUM_LIST_SECONDS = 8.0
"""Longest deadline of a list. When a large fleet starts at once, the store's link is saturated, and
giving up and retrying would only add load.
"""
SECRET_SECONDS = 1.5
"""Deadline of a call for the fleet's secret, which is a single object."""
PROGRESS_SHARE = 0.5
"""A list, or the secret, is given up if its answer stalls for this share of the deadline."""

UNACKNOWLEDGED_SECONDS = 0.5
"""Allows data on a reused connection to be lost once and retransmitted (after 0.2 s). Linux checks
this limit only at a retransmission, so that detection takes about 1 s.
"""
KEEP_ALIVE_SECONDS = 1
"""The shortest that the kernel allows: an idle connection is probed after this time, and closed if
the probe is not answered within the same time.
"""

CHECK_ATTEMPTS = 2
"""More than one, so that one lost packet does not count as silence."""
CHECK_ATTEMPT_SECONDS = 0.1
"""More than ten times the longest round trip to a backend."""
REFERENCE_SECONDS = 0.2
"""How long a silent check waits for the answers of references."""
REFERENCE_MARGIN_SECONDS = 0.05
"""How much longer than the references the backend may take: it may be in another zone."""

MAXIMUM_CONNECTIONS = 64
"""Limit per responder: enough for a dozen callers with several silent connections each."""
IDLE_SECONDS = 30.0
"""How long a connection may be idle: longer than the usual interval of scrapes (15 s) and of
readiness probes (0.5 s).
"""
REQUEST_SECONDS = 2.0
"""How long a request may be incomplete: enough for three retransmissions of its one packet."""
UNREAD_ANSWER_SECONDS = 5.0
"""How long an answer may be unread by the caller."""


class ConnectionKind(Enum):
    """What a connection is for; the values are labels in counters and logs."""

    BACKENDS = "backends"
    CONFIGURATION = "configuration"
    EVACUATIONS = "evacuations"
    SECRET = "secret"
    READINESS = "readiness"
    METRICS = "metrics"


class CallLimits(NamedTuple):
    """How long a call may take, and how long an answer that has begun may stall.

    With `waits` the server may delay its answer on purpose (a watch), so that only the kernel's
    probes can detect a silent connection before the deadline.
    """

    deadline_seconds: float
    progress_seconds: float
    waits: bool = False


class ResponderLimits(NamedTuple):
    """How many connections a responder keeps, and for how long in each state."""

    connections: int = MAXIMUM_CONNECTIONS
    idle_seconds: float = IDLE_SECONDS
    request_seconds: float = REQUEST_SECONDS
    unread_seconds: float = UNREAD_ANSWER_SECONDS


SECRET_LIMITS = CallLimits(SECRET_SECONDS, PROGRESS_SHARE * SECRET_SECONDS)


def list_limits(deadline_seconds: float) -> CallLimits:
    """Return the limits of a list; its reader raises the deadline while the store is slow."""
    return CallLimits(deadline_seconds, PROGRESS_SHARE * deadline_seconds)


def watch_limits(wait_seconds: float) -> CallLimits:
    """Return the limits of a watch whose answer the store may delay by `wait_seconds`."""
    deadline = wait_seconds + CALL_TIMEOUT_SECONDS
    return CallLimits(deadline, CALL_TIMEOUT_SECONDS, waits=wait_seconds > 0)


def enable_silence_detection(connection: socket.socket) -> None:
    """Have the kernel close a connection that is no longer acknowledged; raises OSError."""
    unacknowledged = int(UNACKNOWLEDGED_SECONDS * MILLISECONDS)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unacknowledged)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_SECONDS)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_SECONDS)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 1)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
