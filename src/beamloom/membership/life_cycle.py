"""State machine of the node's own membership state, built with the `transitions` library.

Other members are not state machines: the highest (incarnation, state) received of a member is its
state, in whatever order updates arrive, so there are no transitions to check. 560 machines in each
node would cost memory for nothing.
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
    """JOINING, ALIVE, LEAVING, LEFT; triggers that do not apply to the state are ignored."""

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
        """The state that this node announces."""
        return MemberState[self.name]

    def fire(self, trigger: str) -> bool:
        """Run a trigger; return whether the state changed."""
        before = self.name
        self.trigger(trigger)  # type: ignore[attr-defined]
        return self.name != before
