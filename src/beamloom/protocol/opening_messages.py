"""Messages about opening packets whose copies reached another node than the originals."""

from __future__ import annotations

from dataclasses import dataclass, field

from beamloom.protocol.messages import Message, Priority, register_message


@register_message(87, Priority.MEMBERSHIP)
@dataclass(frozen=True, slots=True)
class OpeningQuery(Message):
    """Asks whether the receiver has forwarded the opening packets of these flows.

    A flow is its 4-tuple as in `ClientPacket`. Nodes of earlier versions do not answer.
    """

    flows: list[bytes]


@register_message(88, Priority.MEMBERSHIP)
@dataclass(frozen=True, slots=True)
class OpeningReport(Message):
    """Where flows are, in answer to an OpeningQuery or unasked; see `tokens/told_openings.py`.

    `openings` holds `[flow, name of its backend, acknowledgement number]`, `unknown` the flows of a
    query whose opening packets the sender has not forwarded.
    """

    openings: list[tuple[bytes, str, int]]
    unknown: list[bytes] = field(default_factory=list)
