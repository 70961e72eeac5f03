"""What the token router decided and why, for logs; only openings, refusals and drops are told."""

from typing import NamedTuple

from beamloom.routing.tokens.packets import DropReason, RefusalReason
from beamloom.routing.tokens.records import ORDINARY_PRIORITY


class FlowPlaced(NamedTuple):
    """A backend was chosen for an opening packet (`copies` were sent before this one).

    `candidates` backends of `service` were listed, `load` is this node's own view of the chosen
    one: requests under way and openings not yet answered. `answer_seconds` is how long its answers
    took on average, 0 before the first. It was `doubted` if requests that may not run twice were to
    keep away; `repeatable` and `priority` are the route's.
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
    priority: int = ORDINARY_PRIORITY


class FlowRefused(NamedTuple):
    """A packet was answered with a reset.

    `services` are those of the packet's route, `known` is how many of their backends this node has
    heard of, draining and gone ones among them.
    """

    flow: bytes
    reason: RefusalReason
    version: int
    copies: int
    services: tuple[str, ...]
    known: int


class PacketDropped(NamedTuple):
    """A packet was dropped; `token` is what it carried."""

    flow: bytes
    reason: DropReason
    version: int
    token: int


class OpeningUnanswered(NamedTuple):
    """A backend did not answer an opening; `failures` in a row by now."""

    flow: bytes
    backend: str
    failures: int
    suspect: bool


class RequestStalled(NamedTuple):
    """A client has sent the same data `repeats` times again, for `seconds`, without an answer.

    `stalled` requests of that backend are in this state at this node.
    """

    flow: bytes
    backend: str
    repeats: int
    seconds: float
    stalled: int


Decision = RequestStalled | FlowPlaced | FlowRefused | PacketDropped | OpeningUnanswered
