"""Packets of clients, and the commands that the token router returns for them."""

from enum import Enum
from typing import NamedTuple


class PacketKind(Enum):
    """Effect of a packet on its flow."""

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
    COPY_WITHOUT_ORIGINAL = "copy_without_original"


class RefusalReason(Enum):
    """Why a flow was answered with a reset.

    Two are for open flows that their backend no longer holds: BACKEND_ENDED, as a later incarnation
    has its address, and BACKEND_DOWN, as a check found it dead.
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
    """Reset a flow that was not opened, or whose backend is dead.

    `flow` is its 4-tuple as in `ClientPacket`, `sequence` the number that the client expects next
    from its backend.
    """

    flow: bytes
    reason: RefusalReason
    sequence: int = 0


class DropPacket(NamedTuple):
    """Send nothing, which does not break a flow that may be open."""

    packet: ClientPacket
    reason: DropReason


class HoldPacket(NamedTuple):
    """Send nothing yet; the router returns a command for the packet later."""

    packet: ClientPacket


RouterCommand = ForwardPacket | ResetFlow | DropPacket | HoldPacket
