"""Random crashes, pauses, partitions, leaves and joins; the member lists converge afterwards."""

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from beamloom.model.machines import MemberState, NodeId
from tests.membership_harness import Fleet, machine

CALM = 240.0
SMALLEST = 4


class MembershipMachine(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.fleet = Fleet.settled(8, seed=1)
        self.next_number = 8
        self.gone: set[NodeId] = set()
        self.versions: dict[NodeId, int] = {}

    def pick(self, number: int) -> NodeId:
        running = sorted(self.fleet.cores)
        return running[number % len(running)]

    @rule(seconds=st.floats(0.1, 40.0))
    def time_passes(self, seconds: float) -> None:
        self.fleet.run(seconds)

    @precondition(lambda self: len(self.fleet.cores) > SMALLEST)
    @rule(number=st.integers(0, 20))
    def crash(self, number: int) -> None:
        node_id = self.pick(number)
        self.fleet.crash(node_id)
        self.gone.add(node_id)

    @precondition(lambda self: len(self.fleet.cores) > SMALLEST)
    @rule(number=st.integers(0, 20))
    def leave(self, number: int) -> None:
        node_id = self.pick(number)
        core = self.fleet.cores[node_id]
        self.fleet.do(node_id, core.leave(self.fleet.now))
        self.fleet.run(3.0)
        self.fleet.do(node_id, core.leave_complete(self.fleet.now))
        self.fleet.crash(node_id)
        self.gone.add(node_id)

    @rule(number=st.integers(0, 20), seconds=st.floats(0.5, 60.0))
    def pause(self, number: int, seconds: float) -> None:
        self.fleet.pause(self.pick(number), seconds)

    @precondition(lambda self: self.next_number < 14)
    @rule()
    def join(self) -> None:
        seeds = [self.fleet.machines[node_id] for node_id in sorted(self.fleet.cores)]
        item = machine(self.next_number)
        self.next_number += 1
        core = self.fleet.add(item, seeds)
        self.fleet.do(item.node_id, core.become_alive(self.fleet.now))

    @rule(loss=st.sampled_from([0.0, 0.1, 0.3]))
    def lose(self, loss: float) -> None:
        self.fleet.loss = lambda sender, receiver: loss

    @rule()
    def split(self) -> None:
        region = {node_id: item.zone.region for node_id, item in self.fleet.machines.items()}
        self.fleet.blocks = lambda a, b: region.get(a) != region.get(b)

    @rule()
    def heal(self) -> None:
        self.fleet.blocks = lambda a, b: False

    @invariant()
    def versions_rise_and_own_state_is_known(self) -> None:
        for node_id, core in self.fleet.cores.items():
            view = core.view
            assert view.version >= self.versions.get(node_id, 0)
            self.versions[node_id] = view.version
            assert view.members[node_id].state is MemberState.ALIVE

    def teardown(self) -> None:
        self.fleet.blocks = lambda a, b: False
        self.fleet.loss = lambda a, b: 0.0
        self.fleet.paused_until.clear()
        self.fleet.run(CALM)
        assert self.fleet.all_alive()
        for node_id in self.gone:
            seen = set(self.fleet.states(node_id).values())
            assert seen <= {MemberState.DEAD, MemberState.LEFT, None}, (node_id, seen)


MembershipStatefulTest = MembershipMachine.TestCase
MembershipStatefulTest.settings = settings(
    derandomize=True,
    max_examples=15,
    stateful_step_count=12,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
