"""Scenarios without faults: operators change settings, backends and balancers."""

from __future__ import annotations

from functools import partial

import cbor2

from beamloom.protocol.codec import ENVELOPE_VERSION, KeyRing
from beamloom.simulation.deployment import VAKATALE
from beamloom.simulation.fleet import FLEET_KEY
from beamloom.simulation.scenario import (
    CONTROL_BUDGET,
    NO_BROKEN_FLOW,
    Scenario,
    ScenarioContext,
    imbalance_at_most,
)

TRACKER = VAKATALE.services[0]
SETTING = "placement.imbalance_bound"
UNKNOWN_KIND = 60_000
"""Kind number that no message of this version has."""


def _steady(context: ScenarioContext) -> None:
    context.at(0.5, partial(context.operations.change_setting, "tenant/vakatale", SETTING, 0.1))


def _backend_drain(context: ScenarioContext) -> None:
    context.at(0.3, partial(context.operations.drain_backend, "tracker-1"))
    context.at(0.6, partial(context.operations.drain_backend, "labeller-2"))


def _rolling_replacement(context: ScenarioContext) -> None:
    _replace_every_node(context)
    context.at(0.25, partial(context.operations.drain_backend, "tracker-3"))
    context.at(0.4, partial(context.operations.add_backend, VAKATALE, TRACKER))
    context.at(0.6, partial(context.operations.drain_backend, "tracker-5"))
    context.at(0.7, partial(context.operations.add_backend, VAKATALE, TRACKER))


def _replace_every_node(context: ScenarioContext) -> None:
    names = list(context.fleet.nodes)
    for index, name in enumerate(names):
        share = 0.2 + 0.6 * index / len(names)
        context.at(share, partial(context.operations.replace_node, name))


def _upgrade(context: ScenarioContext) -> None:
    _replace_every_node(context)
    for index in range(20):
        context.at(0.2 + 0.035 * index, partial(_send_unknown_message, context, index))


def _send_unknown_message(context: ScenarioContext, sequence: int) -> None:
    """Send a message of an unknown kind from the newest balancer to all others."""
    milliseconds = int(context.fleet.clock.now * 1000)
    nodes = context.fleet.running_nodes()
    sender = nodes[-1]
    body = cbor2.dumps([ENVELOPE_VERSION, "newer", sequence, milliseconds, [[UNKNOWN_KIND, 1]]])
    datagram = body + KeyRing((FLEET_KEY,)).sign(body)
    source = sender.machine.control_address
    for node in nodes[:-1]:
        destination = node.machine.control_address
        context.fleet.network.send(sender.host, source, destination, datagram)


STEADY = Scenario(
    "steady",
    "Nothing fails; one setting is changed.",
    _steady,
    (NO_BROKEN_FLOW, imbalance_at_most(1.10), CONTROL_BUDGET),
)
ROLLING_REPLACEMENT = Scenario(
    "rolling-replacement",
    "Every balancer is replaced while backends are drained and added.",
    _rolling_replacement,
    (NO_BROKEN_FLOW, CONTROL_BUDGET),
    duration=240.0,
)
BACKEND_DRAIN = Scenario(
    "backend-drain",
    "Two backends drain; their flows continue, and none is opened there after 3 s.",
    _backend_drain,
    (NO_BROKEN_FLOW, CONTROL_BUDGET),
)
UPGRADE = Scenario(
    "upgrade",
    "Every balancer is replaced; meanwhile the newest sends messages of an unknown kind.",
    _upgrade,
    (NO_BROKEN_FLOW, CONTROL_BUDGET),
    duration=240.0,
)
