"""The node's own life cycle as a member, run by `transitions`.

Only the node's own life cycle is a machine of that library. What is believed of the other members
is a plain `MemberState` ordered by (incarnation, state): it follows from what they say, in any
order, and has no triggers or guards that a machine could check; 560 of them would cost memory in
each node for nothing.
"""

from __future__ import annotations

from transitions import Machine as StateMachine

from beamloom.model.machines import MemberState

TRANSITIONS = (
    {"trigger": "become_alive", "source": "JOINING", "dest": "ALIVE"},
    {"trigger": "leave", "source": ["JOINING", "ALIVE"], "dest": "LEAVING"},
    {"trigger": "complete", "source": ["JOINING", "ALIVE", "LEAVING"], "dest": "LEFT"},
)


class LifeCycle:
    """JOINING, ALIVE, LEAVING, LEFT; a trigger that does not apply changes nothing."""

    def __init__(self) -> None:
        self.name = MemberState.JOINING.name
        self._machine = StateMachine(
            model=self,
            states=["JOINING", "ALIVE", "LEAVING", "LEFT"],
            transitions=list(TRANSITIONS),
            initial="JOINING",
            model_attribute="name",
            auto_transitions=False,
            ignore_invalid_triggers=True,
        )

    @property
    def state(self) -> MemberState:
        """The state that the node announces of itself."""
        return MemberState[self.name]

    def fire(self, trigger: str) -> bool:
        """Run a trigger; return whether the state changed."""
        before = self.name
        self.trigger(trigger)  # type: ignore[attr-defined]
        return self.name != before
