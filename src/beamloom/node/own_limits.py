"""What a node gives up as it comes near one of its own limits, and takes up again after.

`serving` -> `roles_shed` -> `closed_to_peers`, run by `transitions`, and back one state at a time.
Roles are given up first (reading the store, opening flows at cold backends, most answers to peers);
the last step is to answer peers nothing for which another node can be asked. Clients' packets are
forwarded in all three states. Changes need several samples in a row, so that a burst moves no
role.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from transitions import Machine

SERVING = "serving"
ROLES_SHED = "roles_shed"
CLOSED_TO_PEERS = "closed_to_peers"
STATES = (SERVING, ROLES_SHED, CLOSED_TO_PEERS)
"""From the least load to the most; the index is the value of the gauge."""

SAMPLE_SECONDS = 1.0
"""Between two samples: a heartbeat of nodes, as roles move no faster than these."""
SHED_SHARE = 0.7
"""Of a limit; what is left bears the burst until roles have moved."""
CLOSE_SHARE = 0.9
"""Of a limit; what is left is for clients' packets alone."""
RETURN_MARGIN_SHARE = 0.2
"""Below the share at which a state was entered by so much, it is left."""
SAMPLES_TO_SHED = 2
"""In a row: a burst of one second, such as a list of all backends, sheds nothing."""
SAMPLES_TO_RETURN = 5
"""Roles come back after 5 s of less load: longer than peers take to find others (4 s), so that a
role does not go to and fro.
"""

TRANSITIONS = (
    {"trigger": "exceed", "source": SERVING, "dest": ROLES_SHED},
    {"trigger": "exceed", "source": ROLES_SHED, "dest": CLOSED_TO_PEERS},
    {"trigger": "recover", "source": CLOSED_TO_PEERS, "dest": ROLES_SHED},
    {"trigger": "recover", "source": ROLES_SHED, "dest": SERVING},
)


class Usage(NamedTuple):
    """What a node uses of each of its limits, 1 being all; None where that is not known."""

    processor: float | None = None
    peer_link: float | None = None
    memory: float | None = None
    descriptors: float | None = None

    def fullest(self) -> tuple[str, float]:
        """Return the limit that is nearest and its share; an empty name where none is known."""
        known = [
            (share, name)
            for name, share in zip(self._fields, self, strict=True)
            if share is not None
        ]
        share, name = max(known, default=(0.0, ""))
        return name, share


class OwnLimits:
    """The state of one node. `on_change` hears of the new state, that before, limit and share."""

    def __init__(self, on_change: Callable[[str, str, str, float], None]) -> None:
        self.state = SERVING
        self.counters: Counter[str] = Counter()
        self._on_change = on_change
        self._samples_above = 0
        self._samples_below = 0
        self._machine = Machine(
            model=self,
            states=list(STATES),
            transitions=list(TRANSITIONS),
            initial=SERVING,
            auto_transitions=False,
            ignore_invalid_triggers=True,
        )

    def take(self, usage: Usage) -> None:
        """Take a sample, one each SAMPLE_SECONDS."""
        limit, share = usage.fullest()
        rises, falls = self._direction(share)
        self._samples_above = self._samples_above + 1 if rises else 0
        self._samples_below = self._samples_below + 1 if falls else 0
        if self._samples_above >= SAMPLES_TO_SHED:
            self._fire("exceed", limit, share)
        elif self._samples_below >= SAMPLES_TO_RETURN:
            self._fire("recover", limit, share)

    def _direction(self, share: float) -> tuple[bool, bool]:
        """Return whether a share is above that of the next state, and below that of this one."""
        if self.state == SERVING:
            return share >= SHED_SHARE, False
        if self.state == ROLES_SHED:
            return share >= CLOSE_SHARE, share < SHED_SHARE - RETURN_MARGIN_SHARE
        return False, share < CLOSE_SHARE - RETURN_MARGIN_SHARE

    def _fire(self, trigger: str, limit: str, share: float) -> None:
        before = self.state
        self._samples_above = self._samples_below = 0
        self.trigger(trigger)  # type: ignore[attr-defined]
        if self.state != before:
            self.counters[f"{self.state}_{limit}"] += 1
            self._on_change(self.state, before, limit, share)
