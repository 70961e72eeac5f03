"""Clients and backends on a simulated network: recorded outcomes must match what happened."""

import random
import unittest
from collections.abc import Iterable
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from beamloom.model.addresses import SocketAddress, VirtualAddress
from beamloom.standins.application import Request, RequestKind, answer_parts
from beamloom.standins.backend_health import HealthFaults
from beamloom.standins.backend_model import BackendOptions
from beamloom.standins.client_model import Outcome
from beamloom.standins.client_request import (
    AnswerAssembler,
    RequestFlow,
    RequestOptions,
    UdpRequestFlow,
)
from beamloom.standins.client_stream import StreamFlow, StreamOptions
from beamloom.standins.packets import build_unreachable
from tests.unit.standin_network import (
    CLIENT,
    CLIENT_V6,
    DELAY,
    SERVICE,
    SERVICE_V6,
    UDP_SERVICE,
    Network,
    make_backend,
)

SLOW = BackendOptions(slots=1, queue_limit=1, service_time=lambda request, rng: 1.0)


def request(
    request_id: str = "r1",
    port: int = CLIENT.port,
    service: VirtualAddress = SERVICE,
    size: int = 100,
    deadline: float = 30.0,
) -> RequestFlow:
    host = CLIENT_V6.host if ":" in service.ip else CLIENT.host
    options = RequestOptions(
        request_id, SocketAddress(host, port), service, request_id, deadline=deadline, size=size
    )
    return RequestFlow(options, random.Random(port))


def stream(duration: float = 0.0) -> StreamFlow:
    return StreamFlow(StreamOptions("s1", CLIENT, SERVICE, duration=duration), random.Random(1))


def udp_request(size: int = 100) -> UdpRequestFlow:
    options = RequestOptions("u1", CLIENT, UDP_SERVICE, "u1", RequestKind.UPDATE, size=size)
    return UdpRequestFlow(options, random.Random(1))


class ScriptedDelays:
    """Drops, duplicates or delays packets as listed, then delivers each once."""

    def __init__(self, script: list[tuple[float, ...]]) -> None:
        self._script = iter(script)

    def __call__(self) -> Iterable[float]:
        return next(self._script, (DELAY,))


class RequestTest(unittest.TestCase):
    def test_complete_answer_over_ipv4_and_ipv6_leaves_no_connection_open(self) -> None:
        for service in (SERVICE, SERVICE_V6):
            backend = make_backend(service=service)
            network = Network(backend)
            flow = request(service=service, size=60_000)
            network.from_client(network.host.start(flow, 0.0))
            network.run(20.0)
            self.assertEqual(flow.outcome, Outcome.ANSWERED)
            self.assertEqual(flow.truth.backends, ["b1"])
            self.assertEqual(len(backend.truth.runs["r1"]), 1)
            self.assertEqual((backend.open_connections, len(network.host)), (0, 0))

    def test_complete_answer_despite_loss_duplication_and_reordering(self) -> None:
        rng = random.Random(3)
        delay_choices = [(), (DELAY,), (DELAY, 3 * DELAY), (0.3,), (DELAY,)]
        backend = make_backend()
        network = Network(backend, next_delays=lambda: rng.choice(delay_choices))
        flow = request(size=40_000, deadline=300.0)
        network.from_client(network.host.start(flow, 0.0))
        network.run(400.0)
        self.assertEqual(flow.outcome, Outcome.ANSWERED)
        self.assertEqual(len(backend.truth.runs["r1"]), 1)

    def test_connection_limit_refuses_the_flow_before_its_request_runs(self) -> None:
        backend = make_backend(options=BackendOptions(connection_limit=0, retry_after=2.5))
        network = Network(backend)
        flow = request()
        network.from_client(network.host.start(flow, 0.0))
        network.run(1.0)
        self.assertEqual((flow.outcome, flow.truth.retry_after), (Outcome.REFUSED, 2.5))
        self.assertEqual((backend.truth.runs, flow.truth.broken), ({}, False))

    def test_icmp_unreachable_in_answer_to_syn_is_a_refusal(self) -> None:
        network = Network(make_backend())
        flow = request()
        syn = network.host.start(flow, 0.0)[0]
        network.host.receive(build_unreachable(syn, "10.0.0.9"), 0.1)
        self.assertEqual(flow.outcome, Outcome.REFUSED)

    def test_full_queue_sheds_requests_without_running_them(self) -> None:
        backend = make_backend(options=SLOW)
        network = Network(backend)
        flows = [request(f"r{number}", 40_000 + number) for number in range(3)]
        for flow in flows:
            network.from_client(network.host.start(flow, 0.0))
        network.run(0.5)
        self.assertTrue(backend.health(0.5).shedding)
        network.run(20.0)
        self.assertEqual(
            [flow.outcome for flow in flows],
            [Outcome.ANSWERED, Outcome.ANSWERED, Outcome.REFUSED],
        )
        self.assertEqual(
            (sorted(backend.truth.runs), backend.truth.shed_requests), (["r0", "r1"], 1)
        )

    def test_request_cancelled_before_its_start_does_not_run(self) -> None:
        backend = make_backend(options=SLOW)
        network = Network(backend)
        first, second = request("r0", 40_000), request("r1", 40_001)
        for flow in (first, second):
            network.from_client(network.host.start(flow, 0.0))
        network.run(0.5)
        network.from_client(network.host.cancel(second, 0.5))
        network.run(20.0)
        self.assertEqual((first.outcome, second.outcome), (Outcome.ANSWERED, Outcome.CANCELLED))
        self.assertNotIn("r1", backend.truth.runs)
        self.assertEqual(backend.truth.not_run, {"r1": "cancelled"})

    def test_cancellation_frees_the_slot(self) -> None:
        backend = make_backend(options=SLOW)
        network = Network(backend)
        first, second = request("r0", 40_000), request("r1", 40_001)
        for flow in (first, second):
            network.from_client(network.host.start(flow, 0.0))
        network.run(0.2)
        network.from_client(network.host.cancel(first, 0.2))
        network.run(0.3)
        self.assertIn("r1", backend.truth.runs)

    def test_request_whose_deadline_passed_in_the_queue_does_not_run(self) -> None:
        backend = make_backend(options=SLOW)
        network = Network(backend)
        first, second = request("r0", 40_000), request("r1", 40_001, deadline=0.9)
        for flow in (first, second):
            network.from_client(network.host.start(flow, 0.0))
        network.run(0.5)
        network.next_delays = lambda: ()
        network.run(20.0)
        self.assertEqual(second.outcome, Outcome.TIMED_OUT)
        self.assertNotIn("r1", backend.truth.runs)
        self.assertEqual(backend.truth.not_run, {"r1": "refused"})

    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(
        st.lists(
            st.lists(st.sampled_from([DELAY, 0.004, 0.5, 2.5]), max_size=2).map(tuple),
            max_size=40,
        ),
        st.sampled_from([1, 900, 9_000]),
        st.sampled_from([0, 1, 2_000]),
    )
    def test_outcome_matches_the_runs_under_any_delivery_schedule(
        self, script: list[tuple[float, ...]], size: int, connection_limit: int
    ) -> None:
        backend = make_backend(options=BackendOptions(connection_limit=connection_limit))
        network = Network(backend, next_delays=ScriptedDelays(script))
        flow = request(size=size)
        network.from_client(network.host.start(flow, 0.0))
        network.run(200.0)
        runs = len(backend.truth.runs.get("r1", []))
        self.assertIsNotNone(flow.outcome)
        self.assertLessEqual(runs, 1)
        if flow.outcome is Outcome.REFUSED:
            self.assertEqual(runs, 0)
        if flow.outcome is Outcome.ANSWERED:
            self.assertEqual(runs, 1)


class StreamTest(unittest.TestCase):
    def test_stream_sends_updates_and_receives_pushes_until_its_duration(self) -> None:
        backend = make_backend()
        network = Network(backend)
        flow = stream(duration=3_600.0)
        network.from_client(network.host.start(flow, 0.0))
        network.run(1_800.0)
        network.from_backend(backend.push(network.now, b"position"))
        network.run(4_000.0)
        truth = flow.truth
        self.assertEqual((truth.outcome, truth.broken), (Outcome.ANSWERED, False))
        self.assertEqual((truth.updates_answered, truth.pushes), (truth.updates_sent, 1))
        self.assertGreaterEqual(truth.updates_sent, 719)

    def test_poll_at_the_answer_timeout_ends_the_flow_at_any_start_time(self) -> None:
        for start in (0.1, 56.133782192566436, 91.99245395243423):
            flow = stream()
            flow.start(start)
            while flow.outcome is None:
                due = flow.next_timer()
                self.assertIsNotNone(due)
                flow.poll(due or 0.0)
                later = flow.next_timer()
                self.assertTrue(later is None or due is None or later > due)

    def test_mid_flow_segment_to_another_backend_breaks_the_flow(self) -> None:
        owner, other = make_backend("b1"), make_backend("b2")
        network = Network(owner, other)
        flow = stream()
        network.from_client(network.host.start(flow, 0.0))
        network.run(12.0)
        network.backend_index = 1
        network.run(20.0)
        self.assertEqual((flow.outcome, flow.truth.broken), (Outcome.RESET, True))
        self.assertEqual(other.truth.unknown_segments, 1)

    def test_unanswered_updates_break_the_flow(self) -> None:
        network = Network(make_backend())
        flow = stream()
        network.from_client(network.host.start(flow, 0.0))
        network.run(12.0)
        network.next_delays = lambda: ()
        network.run(60.0)
        self.assertEqual((flow.outcome, flow.truth.broken), (Outcome.TIMED_OUT, True))

    def test_drain_is_reported_and_ends_no_flow(self) -> None:
        backend = make_backend()
        network = Network(backend)
        flow = stream()
        network.from_client(network.host.start(flow, 0.0))
        network.run(10.0)
        backend.drain()
        network.run(100.0)
        self.assertTrue(backend.health(100.0).draining)
        self.assertIsNone(flow.outcome)
        self.assertEqual(backend.truth.new_connections, [DELAY])


class AnswerAssemblyTest(unittest.TestCase):
    def test_only_a_complete_correct_answer_of_one_backend_is_accepted(self) -> None:
        request_sent = Request("r1", RequestKind.DOCUMENT, size=2_500)
        parts = answer_parts(request_sent, "b1")
        others = answer_parts(replace(request_sent, request_id="r2"), "b2")
        assembler = AnswerAssembler("r1", 2_500)
        self.assertEqual([assembler.add(part) for part in (parts[2], parts[0])], [False, False])
        self.assertEqual([assembler.add(part) for part in others], [False, False, False])
        complete = [assembler.add(part) for part in (parts[1], parts[1], parts[2], parts[0])]
        self.assertEqual(complete, [False, False, False, True])


class DatagramTest(unittest.TestCase):
    def test_repeated_datagram_runs_once(self) -> None:
        backend = make_backend(service=UDP_SERVICE)
        network = Network(backend, next_delays=ScriptedDelays([(DELAY, 2 * DELAY), (), (), ()]))
        flow = udp_request(size=2_500)
        network.from_client(network.host.start(flow, 0.0))
        network.run(20.0)
        self.assertEqual(flow.outcome, Outcome.ANSWERED)
        self.assertEqual(len(backend.truth.runs["u1"]), 1)

    def test_unanswered_request_times_out(self) -> None:
        network = Network(make_backend(service=UDP_SERVICE), next_delays=lambda: ())
        flow = udp_request()
        network.from_client(network.host.start(flow, 0.0))
        network.run(60.0)
        self.assertEqual(flow.outcome, Outcome.TIMED_OUT)


class BackendTest(unittest.TestCase):
    def test_packet_of_another_service_is_a_tenancy_violation(self) -> None:
        backend = make_backend(service=VirtualAddress("10.0.0.2", SERVICE.protocol, SERVICE.port))
        network = Network(backend)
        network.from_client(network.host.start(request(), 0.0))
        network.run(0.5)
        self.assertEqual(len(backend.truth.tenancy_violations), 1)
        self.assertEqual(backend.truth.new_connections, [])

    def test_health_reports_lag_freeze_and_replace_the_load(self) -> None:
        backend = make_backend(options=SLOW)
        backend.health_reporter.faults = HealthFaults(lag=10.0)
        backend.poll(0.0)
        network = Network(backend)
        network.from_client(network.host.start(request(deadline=30.0), 0.0))
        network.run(0.5)
        self.assertEqual((backend.true_health().load, backend.health(0.5).load), (1.0, 0.0))
        backend.health_reporter.faults = HealthFaults(load=0.1)
        self.assertEqual(backend.health(0.6).load, 0.1)
        backend.health_reporter.faults = HealthFaults(frozen=True)
        self.assertEqual(backend.health(0.7).load, 0.1)

    def test_requests_are_slower_during_a_cold_start(self) -> None:
        options = BackendOptions(
            cold_seconds=10.0, cold_factor=4.0, service_time=lambda request, rng: 0.1
        )
        backend = make_backend(options=options)
        network = Network(backend)
        early, late = request("r0", 40_000), request("r1", 40_001)
        network.from_client(network.host.start(early, 0.0))
        network.run(20.0)
        network.from_client(network.host.start(late, 20.0))
        network.run(40.0)
        self.assertAlmostEqual(early.truth.latency or 0.0, 0.4 + 4 * DELAY)
        self.assertAlmostEqual(late.truth.latency or 0.0, 0.1 + 4 * DELAY)
