"""Messages by which nodes tell each other how much of the store they know.

A digest says up to which revision a node knows each kind of object, and how long ago the store
confirmed that. Who is behind asks, and gets the changes in parts. At 560 nodes a digest is about
200 bytes; a node sends one a second to one peer, and `FORWARD_PEERS` more for each change.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from beamloom.protocol.messages import Message, Priority, register_message

NEVER = -1
"""In place of a revision or an age: nothing is known yet."""


@register_message(80, Priority.CONFIGURATION)
@dataclass(frozen=True, slots=True)
class ViewDigest(Message):
    """What a node knows and whom.

    `views` holds for each kind of object `[the store's number of its revision, milliseconds since
    it was confirmed]`, and `eras` the store's era of each, none where the sender knows of no eras;
    `readers` holds `[id, milliseconds since the store last answered it]` of nodes that read the
    store; `peers` holds `[host, milliseconds since it was heard]`. `zone` is the sender's.
    `silent` holds `[backend, reporter, milliseconds since]` of openings that were not answered.
    `stop` is how far the sender's own planned stop is (`StopState`). `failing` holds the same as
    `silent` of answers that seem to be errors. `capacity` is the sender's own (`to_wire`), some 12
    bytes, and empty where the sender is of an earlier version; `ranks` holds those of `peers` in
    their order, -1 where the sender has not heard it. `marks` holds for each kind how far the
    sender is by the records' own marks, which a store that lost changes does not take back: the
    configuration's version, -1 for kinds without.
    """

    views: list[list[int]]
    readers: list[tuple[str, int]]
    peers: list[tuple[str, int]]
    zone: str = ""
    silent: list[tuple[str, str, int]] = field(default_factory=list)
    stop: int = 0
    failing: list[tuple[str, str, int]] = field(default_factory=list)
    capacity: list[int] = field(default_factory=list)
    ranks: list[int] = field(default_factory=list)
    eras: list[int] = field(default_factory=list)
    marks: list[int] = field(default_factory=list)


@register_message(81, Priority.CONFIGURATION)
@dataclass(frozen=True, slots=True)
class ViewRequest(Message):
    """Ask for the changes of one kind after a revision.

    `since` is the store's number of it (NEVER: everything is asked for), `era` the era.
    `versions` name what the answer may build on, the best first; what that is depends on the kind.
    Earlier releases named `bases` by the store's numbers, which may be given out twice: they are
    passed over, and what is asked for so is told whole. `attempt` is how often the answer was
    `AskElsewhere` before.
    """

    view: int
    since: int
    bases: list[int] = field(default_factory=list)
    attempt: int = 0
    era: int = 0
    versions: list[int] = field(default_factory=list)


@register_message(86, Priority.CONFIGURATION)
@dataclass(frozen=True, slots=True)
class AskElsewhere(Message):
    """A request is not answered, as the node has sent enough of its link; `hosts` may know more.

    Some 60 bytes in place of an answer of thousands. Nodes of an earlier version pass it over and
    repeat their request, as for one that was lost.
    """

    view: int
    hosts: list[str]


@register_message(82, Priority.CONFIGURATION)
@dataclass(frozen=True, slots=True)
class ViewPart(Message):
    """One of `parts` parts of an encoded delta; `transfer` is the same in all of them."""

    view: int
    transfer: int
    part: int
    parts: int
    data: bytes


@register_message(85, Priority.STATUS)
@dataclass(frozen=True, slots=True)
class BackendsDown(Message):
    """Backends that a check has just found dead, by name; see `replication/down_reports.py`.

    At 560 nodes a report takes about 100 bytes, which each node sends to `FORWARD_PEERS` others.
    """

    names: list[str]
