"""Decisions of the token router, for logs: openings, refusals, drops and missing answers."""

from typing import NamedTuple

from beamloom.routing.tokens.packets import DropReason, RefusalReason
from beamloom.routing.tokens.records import DEFAULT_PRIORITY


class FlowPlaced(NamedTuple):
    """A backend was chosen for an opening packet, of which `copies` were sent before.

    `candidates` counts the known backends of `service`, including gone ones. `load` is the number
    of pending requests and unanswered openings that this node observed at the backend,
    `answer_seconds` the average of its answer times (0 before the first). With `doubted`, flows
    whose requests must not run twice should avoid it. `repeatable` and `priority` are the route's.
    """

    flow: bytes
    route: str
    version: int
    service: str
    backend: str
    copies: int
    candidates: int
    load: int
    suspect: bool
    gone: bool
    answer_seconds: float = 0.0
    doubted: bool = False
    repeatable: bool = False
    priority: int = DEFAULT_PRIORITY


class FlowRefused(NamedTuple):
    """A flow was refused or ended by a reset.

    `services` are those of the packet's route, and `known` counts their known backends, including
    draining and gone ones. If a flow ends without a packet, they are its backend's service and 0.
    """

    flow: bytes
    reason: RefusalReason
    version: int
    copies: int
    services: tuple[str, ...]
    known: int


class PacketDropped(NamedTuple):
    """A packet was dropped; `token` is its token."""

    flow: bytes
    reason: DropReason
    version: int
    token: int


class OpeningUnanswered(NamedTuple):
    """A backend did not answer an opening; `failures` counts unanswered openings in a row."""

    flow: bytes
    backend: str
    failures: int
    suspect: bool


class RequestStalled(NamedTuple):
    """A client has repeated a request `repeats` times within `seconds`, without an answer.

    `stalled` counts such requests of the backend at this node.
    """

    flow: bytes
    backend: str
    repeats: int
    seconds: float
    stalled: int


Decision = RequestStalled | FlowPlaced | FlowRefused | PacketDropped | OpeningUnanswered
