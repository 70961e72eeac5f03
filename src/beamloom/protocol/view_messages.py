"""Messages that synchronize the nodes' views of the store.

A digest has the revision of each kind of object that a node holds, and how long ago the store
confirmed it. A node that is behind requests the changes and receives them in parts.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from beamloom.protocol.messages import Message, Priority, register_message

NEVER = -1
"""Stands for a revision or an age that is not known yet."""


@register_message(80, Priority.CONFIGURATION)
@dataclass(frozen=True, slots=True)
class ViewDigest(Message):
    """The sender's views of the store, and the readers, peers and backend faults that it knows.

    `views` holds for each kind of object `[revision number, milliseconds since the store confirmed
    it]`, and `eras` the store's era of each revision; senders of earlier versions leave it empty.
    `marks` holds for each kind the highest version in the records themselves, which is independent
    of store revisions, or -1 for kinds without versions.

    `readers` holds `[id, milliseconds since the store last answered it]` of nodes that read the
    store, `peers` holds `[host, milliseconds since its last message]`, and `ranks` the capacity
    ranks of these peers in the same order, -1 if unknown. `zone`, `stop` (a `StopState`) and
    `capacity` (encoded by `to_wire`, empty from earlier versions) are the sender's own.

    `silent` holds `[backend, reporter, milliseconds since]` for openings without an answer, and
    `failing` the same for answers that look like errors. All these times are as of `sent_at`, in
    milliseconds of the sender's monotonic clock; NEVER from earlier versions.
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
    sent_at: int = NEVER


@register_message(81, Priority.CONFIGURATION)
@dataclass(frozen=True, slots=True)
class ViewRequest(Message):
    """Requests the changes of one kind after a revision.

    `since` is the number of the revision (NEVER requests everything), `era` its store era.
    `versions` are versions that the sender holds and that the answer may be a difference to, the
    best first. Earlier releases sent revision numbers as `bases`; these are not unique and are
    ignored, so the answer is not a difference. `attempt` is 0 at first and rises with each
    `AskElsewhere`.
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
    """Refers a request to `hosts` that may have the changes.

    It is sent to limit the load of answers, and without hosts if the sender lacks the changes too.
    Nodes of earlier versions ignore it and repeat their request, as if it was lost.
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
    """Names of backends that a check has just found dead; see `replication/down_reports.py`.

    At 560 nodes a report takes about 100 bytes, which each node sends to FORWARD_PEERS others.
    """

    names: list[str]
