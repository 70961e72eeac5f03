"""Each mechanism can be switched off by name, which changes what a node does."""

import asyncio
import random
import unittest
from collections.abc import Callable

from beamloom.node.view_codecs import ConfigurationCodec
from beamloom.protocol.view_messages import NEVER, ViewDigest, ViewRequest
from beamloom.replication.reader_role import ReaderRole
from beamloom.replication.shared_view import SharedView
from beamloom.replication.stop_turns import ANNOUNCEMENT_DELAY_SECONDS, StopState
from beamloom.replication.store_call_times import store_call_times
from beamloom.replication.store_view import StoreView
from beamloom.replication.view_transfer import pack
from beamloom.routing.tokens.answer_pace import MINIMUM_SAMPLES
from beamloom.routing.tokens.backend_table import Backend
from beamloom.routing.tokens.configuration_history import ConfigurationHistory
from beamloom.routing.tokens.packets import ForwardPacket
from beamloom.routing.tokens.placement import placement_settings
from beamloom.routing.tokens.records import BackendRecord, RouteTerms
from beamloom.runtime.planned_stop import PlannedStop
from beamloom.runtime.token_node import first_tick_seconds
from beamloom.settings.capacity import LEAST, Capacity, to_wire
from beamloom.settings.mechanisms import (
    ALL_MECHANISMS,
    MECHANISMS_VARIABLE,
    Mechanisms,
    UnknownMechanismError,
    mechanisms_without,
    read_mechanisms,
)
from beamloom.settings.token_node import ColdStartLimits
from tests.unit.tokens.builders import (
    KEY,
    ZONE,
    backend,
    flow_id,
    make_change,
    make_core,
    make_router,
    many_routes,
    new_core,
    opening,
    packet,
    put_terms_in_force,
    two_priorities,
)

NOW = 10.0
SEED_COUNT = 20
IN_PROCESSES = {"key_from_peers", "waiting_packets", "discard_after_stall", "silence_probes"}
"""Tested with whole nodes, in tests/functional/test_mechanisms.py."""


def first_choices(mechanisms: Mechanisms, *records: BackendRecord, now: float = 0.0) -> set[str]:
    """Return the backends that the first openings of several flows and nodes go to."""
    chosen = set()
    for seed in range(SEED_COUNT):
        router = make_router(*records, settings=placement_settings(3.0, mechanisms), seed=seed)
        command = router.handle(opening(1), now)
        assert isinstance(command, ForwardPacket)
        chosen.add(f"i-{command.identity:08x}")
    return chosen


def own_zone(mechanisms: Mechanisms) -> object:
    return first_choices(mechanisms, backend(1), backend(2, zone="far"))


def answer_pace(mechanisms: Mechanisms) -> object:
    settings = placement_settings(3.0, mechanisms)
    router = make_router(backend(1), backend(2, zone="far"), settings=settings)
    for held, seconds in zip(router.backends.of_service("tracker"), (0.5, 0.05), strict=True):
        for _ in range(MINIMUM_SAMPLES):
            held.pace.note(seconds, 0.0)
    command = router.handle(opening(1), 0.0)
    assert isinstance(command, ForwardPacket)
    return command.identity


def observed_load(mechanisms: Mechanisms) -> object:
    router = make_router(
        backend(1), backend(2), settings=placement_settings(3.0, mechanisms), seed=1
    )
    for client in range(8):
        router.handle(opening(client), 0.0)
    return {router.backends.of_service("tracker")[0].pending == 4}


def suspicion(mechanisms: Mechanisms) -> object:
    chosen = set()
    for seed in range(SEED_COUNT):
        settings = placement_settings(3.0, mechanisms)
        router = make_router(backend(1), backend(2), settings=settings, seed=seed)
        router.backends.of_service("tracker")[0].suspect_until = 5.0
        command = router.handle(opening(1), 0.0)
        assert isinstance(command, ForwardPacket)
        chosen.add(command.identity)
    return chosen


def gone_grace(mechanisms: Mechanisms) -> object:
    router = make_router(backend(1), settings=placement_settings(3.0, mechanisms))
    router.backends.remove("i-00000001", 0.0)
    return type(router.handle(opening(1), 0.5))


def other_backend_for_copies(mechanisms: Mechanisms) -> object:
    core = make_core(mechanisms, backend(1), backend(2))
    first = core.router.handle(opening(1), NOW)
    assert isinstance(first, ForwardPacket)
    ended = core.router.backends.find(f"i-{first.identity:08x}")
    assert ended is not None
    ended.was_refused, ended.down_since, ended.flows_lost_until = True, NOW + 0.1, NOW + 0.06
    copy = core.router.handle(opening(1, 1), NOW + 0.2)
    assert isinstance(copy, ForwardPacket)
    return first.identity == copy.identity


def token_corrections(mechanisms: Mechanisms) -> object:
    core = make_core(mechanisms, backend(1), backend(2))
    assert core.router.codec is not None
    tokens = {number: core.router.codec.mint(flow_id(1), number) for number in (1, 2)}
    core.router.handle(packet(1, token=tokens[1], acknowledged=1000), NOW)
    late = core.router.handle(packet(1, token=tokens[2], acknowledged=1000), NOW + 1.0)
    assert isinstance(late, ForwardPacket)
    return late.identity


def opening_queries(mechanisms: Mechanisms) -> object:
    core = make_core(mechanisms, backend(1))
    core.join_peers("10.0.0.1", ("10.0.0.2",))
    core.handle_message("10.0.0.2", ViewDigest([], [], []), NOW)
    core.advance(NOW)
    return type(core.router.handle(opening(1, 2), NOW))


def liveness_checks(mechanisms: Mechanisms) -> object:
    core = make_core(mechanisms, backend(1))
    begun: list[Backend] = []
    core.checks.start_check = begun.append
    core.router.handle(opening(1), NOW)
    core.router.advance(NOW + 1.0)
    return len(begun)


def error_answers(mechanisms: Mechanisms) -> object:
    core = make_core(mechanisms, backend(1))
    core.join_peers("10.0.0.1", ("10.0.0.2:1",))
    core.router.flows.on_short_answer(Backend(backend(1), 1), NOW)
    core.advance(NOW)
    digests = [send.message for send in core.take_sends() if isinstance(send.message, ViewDigest)]
    return any(digest.failing for digest in digests)


def overdue_answers(mechanisms: Mechanisms) -> object:
    core = make_core(mechanisms, backend(1))
    put_terms_in_force(core, RouteTerms(0.4))
    core.advance(NOW)
    command = core.router.handle(opening(1), NOW)
    assert isinstance(command, ForwardPacket)
    core.router.handle(packet(1, token=command.token, data_length=9), NOW + 0.01)
    core.router.advance(NOW + 0.32)
    return core.router.backends.of_service("tracker")[0].doubted_until > NOW


def risk_aversion(mechanisms: Mechanisms) -> object:
    chosen = set()
    for seed in range(SEED_COUNT):
        settings = placement_settings(3.0, mechanisms)
        router = make_router(backend(1), backend(2), settings=settings, seed=seed)
        router.backends.of_service("tracker")[0].mark_doubted(5.0)
        command = router.handle(opening(1), 0.0)
        assert isinstance(command, ForwardPacket)
        chosen.add(command.identity)
    return chosen


def longer_relapses(mechanisms: Mechanisms) -> object:
    core = make_core(mechanisms, *(backend(number) for number in range(1, 6)))
    core.join_peers("10.0.0.1", ())
    assert core.exchange is not None
    core.exchange.reports.on_failing("i-00000001", NOW, NOW)
    core.exchange.reports.on_failing("i-00000001", NOW + 3.0, NOW + 3.0)
    failing = core.router.backends.find("i-00000001")
    assert failing is not None
    return failing.failing_until


def priority_reserve(mechanisms: Mechanisms) -> object:
    settings = placement_settings(3.0, mechanisms)
    records = (backend(1, slots=4), backend(2, zone="far", slots=1))
    router = make_router(*records, settings=settings)
    router.activate(two_priorities(2))
    for client in range(4):
        router.handle(opening(client), 0.0)
    return [held.pending for held in router.backends.of_service("tracker")]


def timely_refusals(mechanisms: Mechanisms) -> object:
    core = new_core(mechanisms, cold_starts=ColdStartLimits(1.0, 0.0))
    core.set_secrets(KEY)
    put_terms_in_force(core, RouteTerms(timeout_seconds=0.15))
    core.router.may_refuse = True
    core.router.backends.update(backend(1, warm_up=5.0), 1, NOW)
    core.router.handle(opening(1), NOW)
    return type(core.router.handle(opening(2), NOW))


def told_silence(mechanisms: Mechanisms) -> object:
    core = make_core(mechanisms, backend(1))
    core.join_peers("10.0.0.1", ("10.0.0.2:1",))
    core.advance(NOW)
    core.router.handle(opening(1), NOW)
    for step in range(1, 9):
        core.advance(NOW + 0.25 * step)
    digests = [send.message for send in core.take_sends() if isinstance(send.message, ViewDigest)]
    return any(digest.silent for digest in digests)


def confirmed_refusals(mechanisms: Mechanisms) -> object:
    core = make_core(mechanisms)
    core.advance(NOW)
    return core.router.may_refuse


def few_readers(mechanisms: Mechanisms) -> object:
    role = ReaderRole("5", random.Random(1), store_call_times(), mechanisms)
    for reader in ("1", "2"):
        role.note_reader(reader, NOW)
    role.advance(NOW)
    return role.reading


def shared_kinds(mechanisms: Mechanisms) -> object:
    role = ReaderRole("5", random.Random(1), store_call_times(), mechanisms)
    role.reading = True
    role.note_reader("1", NOW)
    return [role.reads(kind) for kind in (0, 1)]


def gathering(mechanisms: Mechanisms) -> object:
    return store_call_times(mechanisms=mechanisms).gather_seconds > 0


def stale_start(mechanisms: Mechanisms) -> object:
    return new_core(mechanisms).configuration_watch.next_request()


def evacuations_from_peers(mechanisms: Mechanisms) -> object:
    evacuations = new_core(mechanisms, evacuate_seconds=5.0).evacuations
    assert evacuations is not None
    return evacuations.schedule.must_ask(NOW)


def early_confirmation(mechanisms: Mechanisms) -> object:
    view: StoreView[BackendRecord] = StoreView()
    view.replace([], 5)
    codec = ConfigurationCodec(ConfigurationHistory())
    shared = SharedView(
        view,  # type: ignore[arg-type]
        codec,
        lambda changes: None,
        late_seconds=store_call_times().late_seconds,
        confirms_early=mechanisms.early_confirmation,
    )
    shared.note_pending_confirmation(7, NOW)
    source: StoreView[BackendRecord] = StoreView()
    source.replace([], 7)
    delta = source.since(5)
    assert delta is not None
    shared.merge(codec.encode(delta, NEVER))  # type: ignore[arg-type]
    return view.confirmed_at


def configuration_differences(mechanisms: Mechanisms) -> object:
    core = make_core(mechanisms)
    core.join_peers("10.0.0.1", ())
    assert core.exchange is not None
    shared = core.exchange.views[1]
    whole = pack(ConfigurationCodec(ConfigurationHistory()).encode(shared.view.since(-1), NEVER))
    record = many_routes(2, 50, 1)
    core.configuration.apply([make_change(12, many_routes(1, 50))], 12)
    core.apply_configuration((make_change(12, many_routes(1, 50)),), NOW)
    core.configuration.apply([make_change(20, record)], 20)
    core.apply_configuration((make_change(20, record),), NOW)
    encoded = shared.encode_for(ViewRequest(1, 12, versions=[1]))
    assert encoded is not None
    return len(encoded) < 2 * len(whole)


def flow_bound_tokens(mechanisms: Mechanisms) -> object:
    codec = make_core(mechanisms).router.codec
    assert codec is not None
    return codec.mint(flow_id(1), 7) == codec.mint(flow_id(2), 7)


def capacity_roles(mechanisms: Mechanisms) -> object:
    core = make_core(mechanisms)
    core.join_peers("10.0.0.1", ())
    assert core.exchange is not None
    core.exchange.peers.capacity = Capacity(2.0, 200.0, 300.0, 4100.0)
    for number in range(2, 42):
        digest = ViewDigest([], [], [], ZONE, capacity=to_wire(LEAST))
        core.handle_message(f"10.0.0.{number}", digest, NOW)
    core.advance(NOW)
    core.take_sends()
    core.exchange.announce(NOW)
    return len(core.take_sends())


def stop_turns(mechanisms: Mechanisms) -> object:
    core = make_core(mechanisms)
    core.join_peers("10.0.0.1", ())
    assert core.exchange is not None
    digest = ViewDigest([], [], [], ZONE, [], int(StopState.AWAY))
    core.handle_message("10.0.0.2", digest, NOW)
    core.request_stop(NOW)
    return core.may_stop(NOW + 2 * ANNOUNCEMENT_DELAY_SECONDS)


def forwarding_after_stop(mechanisms: Mechanisms) -> object:
    async def ends_at_once() -> bool:
        forwards = mechanisms.forwarding_after_stop
        stop = PlannedStop(1.0, lambda: True, lambda: None, forwards=forwards)
        stop.request()
        done, rest = await asyncio.wait({asyncio.create_task(stop.wait())}, timeout=0.05)
        for task in rest:
            task.cancel()
        return bool(done)

    return asyncio.run(ends_at_once())


def spread_ticks(mechanisms: Mechanisms) -> object:
    return first_tick_seconds(random.Random(1), mechanisms) > 0


PROBES: dict[str, Callable[[Mechanisms], object]] = {
    probe.__name__: probe
    for probe in (
        own_zone,
        answer_pace,
        observed_load,
        suspicion,
        gone_grace,
        other_backend_for_copies,
        token_corrections,
        opening_queries,
        liveness_checks,
        error_answers,
        overdue_answers,
        risk_aversion,
        longer_relapses,
        priority_reserve,
        timely_refusals,
        told_silence,
        confirmed_refusals,
        few_readers,
        shared_kinds,
        gathering,
        stale_start,
        evacuations_from_peers,
        early_confirmation,
        configuration_differences,
        flow_bound_tokens,
        stop_turns,
        capacity_roles,
        forwarding_after_stop,
        spread_ticks,
    )
}


class MechanismsTest(unittest.TestCase):
    def test_each_switch_changes_what_a_node_does(self) -> None:
        for name, probe in PROBES.items():
            with self.subTest(mechanism=name):
                self.assertNotEqual(probe(mechanisms_without(name)), probe(ALL_MECHANISMS))

    def test_no_switch_changes_what_another_one_does(self) -> None:
        for name in ("own_zone", "gathering", "stop_turns", "flow_bound_tokens"):
            for other in PROBES.keys() - {name, "few_readers"}:
                with self.subTest(mechanism=name, other=other):
                    probe = PROBES[other]
                    self.assertEqual(probe(mechanisms_without(name)), probe(ALL_MECHANISMS))

    def test_every_mechanism_is_tested(self) -> None:
        self.assertEqual(PROBES.keys() | IN_PROCESSES, set(Mechanisms._fields))

    def test_all_are_on_unless_a_variable_names_them(self) -> None:
        self.assertEqual(read_mechanisms({}), ALL_MECHANISMS)
        self.assertTrue(all(ALL_MECHANISMS))
        off = read_mechanisms({MECHANISMS_VARIABLE: "suspicion, own_zone"})
        names = [name for name in Mechanisms._fields if not getattr(off, name)]
        self.assertEqual(sorted(names), ["own_zone", "suspicion"])

    def test_an_unknown_name_is_refused_with_the_known_ones(self) -> None:
        with self.assertRaises(UnknownMechanismError) as caught:
            mechanisms_without("own_zone,speed")
        self.assertIn("no such mechanism: speed", str(caught.exception))
        self.assertIn("own_zone", str(caught.exception))

    def test_each_mechanism_is_documented(self) -> None:
        for name in Mechanisms._fields:
            self.assertIn(f"    {name}: ", Mechanisms.__doc__ or "")


if __name__ == "__main__":
    unittest.main()
