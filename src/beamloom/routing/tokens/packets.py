"""A client's packet as a token router reads it, and what the router answers."""

from enum import Enum
from typing import NamedTuple


class PacketKind(Enum):
    """What a packet does to its flow."""

    OPEN = "open"
    DATA = "data"
    END = "end"


class DropReason(Enum):
    """Why a packet was dropped; the values are counter labels."""

    MALFORMED = "malformed"
    NO_TOKEN = "no_token"
    UNKNOWN_TOKEN = "unknown_token"
    NO_KEY = "no_key"
    LATE_OPENING = "late_opening"
    NO_BACKEND_FOR_COPY = "no_backend_for_copy"
    UNCONFIRMED_VIEW = "unconfirmed_view"
    COLD_BACKENDS = "cold_backends"


class RefusalReason(Enum):
    """Why a flow was answered with a reset.

    Two are for flows that were open, which their backend cannot hold any more: BACKEND_ENDED, as
    its address has passed on, and BACKEND_DOWN, as a check found it dead.
    """

    NO_ROUTE = "no_route"
    NO_BACKEND = "no_backend"
    BACKEND_ENDED = "backend_ended"
    BACKEND_DOWN = "backend_down"


class ClientPacket(NamedTuple):
    """The fields of one packet. `flow` is its 4-tuple as on the wire, `destination` part of it.

    `sequence` and `acknowledged` are those of the client; in an opening packet the latter counts
    the copies sent before.
    """

    kind: PacketKind
    flow: bytes
    destination: bytes
    token: int
    sequence: int
    acknowledged: int
    data_length: int
    data: bytes


class ForwardPacket(NamedTuple):
    """Send the packet to a backend; `token`, unless NO_TOKEN, is written into it."""

    packet: ClientPacket
    identity: int
    address: tuple[str, int]
    token: int


class ResetFlow(NamedTuple):
    """Tell a client at once that its flow was not opened, or that its backend has ended.

    `flow` is its 4-tuple as in `ClientPacket`, `sequence` what the client expects next of its
    backend.
    """

    flow: bytes
    reason: RefusalReason
    sequence: int = 0


class DropPacket(NamedTuple):
    """Do nothing: silence breaks no open flow."""

    packet: ClientPacket
    reason: DropReason


RouterCommand = ForwardPacket | ResetFlow | DropPacket
