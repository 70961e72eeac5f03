"""Load shedding: which roles a node gives up as its usage nears one of its own limits.

The states are `serving` -> `roles_shed` -> `closed_to_peers`, and back one at a time. Roles are
shed first: reading the store, opening flows at cold backends and most answers to peers. A node that
is closed to peers answers only those that found no other node to ask. Clients' packets are
forwarded in all states. Each transition needs several consecutive samples, so that a burst causes
none.
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
"""In order of load; the index is the value of the gauge."""

SAMPLE_SECONDS = 1.0
"""Interval of samples: that of the heartbeats between nodes, as roles do not move faster."""
SHED_SHARE = 0.7
"""Usage of a limit at which roles are shed; the rest is headroom until other nodes take them."""
CLOSE_SHARE = 0.9
"""Usage of a limit at which a node closes to peers; the rest is for clients' packets."""
RETURN_MARGIN_SHARE = 0.2
"""Hysteresis: how far below the usage that enters a state it is left again."""
SAMPLES_TO_SHED = 2
"""Consecutive samples; a burst of one second, such as a list of all backends, sheds nothing."""
SAMPLES_TO_RETURN = 5
"""Consecutive samples: 5 s, longer than peers need to replace a node in its roles (4 s), so that
roles do not oscillate.
"""

TRANSITIONS = (
    {"trigger": "exceed", "source": SERVING, "dest": ROLES_SHED},
    {"trigger": "exceed", "source": ROLES_SHED, "dest": CLOSED_TO_PEERS},
    {"trigger": "recover", "source": CLOSED_TO_PEERS, "dest": ROLES_SHED},
    {"trigger": "recover", "source": ROLES_SHED, "dest": SERVING},
)


class Usage(NamedTuple):
    """The used share of each limit, 1 being all of it; None where the usage is unknown."""

    processor: float | None = None
    peer_link: float | None = None
    memory: float | None = None
    descriptors: float | None = None

    def highest(self) -> tuple[str, float]:
        """Return the limit with the highest usage, and that usage; an empty name for none."""
        known = [
            (share, name)
            for name, share in zip(self._fields, self, strict=True)
            if share is not None
        ]
        share, name = max(known, default=(0.0, ""))
        return name, share


class OwnLimits:
    """The state machine of one node.

    `on_change` is called with the new state, the previous one, the limit and its usage.
    """

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

    def add_sample(self, usage: Usage) -> None:
        """Process a sample; to be called every SAMPLE_SECONDS."""
        limit, share = usage.highest()
        rises, falls = self._direction(share)
        self._samples_above = self._samples_above + 1 if rises else 0
        self._samples_below = self._samples_below + 1 if falls else 0
        if self._samples_above >= SAMPLES_TO_SHED:
            self._fire("exceed", limit, share)
        elif self._samples_below >= SAMPLES_TO_RETURN:
            self._fire("recover", limit, share)

    def _direction(self, share: float) -> tuple[bool, bool]:
        """Return whether a usage is enough for the next state, and low enough to leave this one."""
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
