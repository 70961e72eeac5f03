"""The mechanisms of a token node, each of which can be switched off.

All are on in operation. They are switched off one at a time to measure the effect of each
(`tools/ablation.py`, docs/DECIDING.md).
"""

from collections.abc import Mapping
from typing import NamedTuple

MECHANISMS_VARIABLE = "BEAMLOOM_MECHANISMS_OFF"
"""Names the mechanisms that are off, separated by commas."""


class UnknownMechanismError(ValueError):
    """No mechanism has the given name."""


class Mechanisms(NamedTuple):
    """Which mechanisms are on. Each line says what happens if one is off.

    own_zone: backends in other zones have no higher cost.
    observed_load: the cost of a backend ignores the flows and requests that the node observes.
    answer_pace: the cost of a backend ignores that its answers have become slow.
    suspicion: suspected and failing backends get flows like others.
    error_answers: answers that may be errors have no effect on a backend.
    overdue_answers: answers that are late by the route's objective have no effect on a backend.
    longer_relapses: a backend that fails again and again is excluded no longer each time.
    risk_aversion: flows whose requests must not run twice are placed like others.
    priority_reserve: backends reserve no slots for requests of the highest priority.
    timely_refusals: a client waits for cold backends even if its timeout ends before its next copy.
    told_silence: nodes do not exchange reports of silent backends.
    other_backend_for_copies: copies of an opening packet go to the same backend even if its process
        has ended.
    token_corrections: a packet of an open flow goes to the backend that its token names, also if
        another backend that answered the opening has sent the token.
    opening_queries: other nodes are not asked about copies of opening packets whose originals this
        node has not received.
    liveness_checks: backends that may be dead are not checked, and their flows are not ended.
    gone_grace: backends that were removed from the store get no flows, even if no other is left.
    confirmed_refusals: flows are refused although the views are not confirmed.
    few_readers: every node reads the store.
    shared_kinds: every reader reads all kinds of object.
    gathering: a reader calls the store again without a pause after each change.
    stale_start: a starting node requests the newest configuration from the store.
    evacuations_from_peers: a starting node lists evacuations without waiting for its peers.
    early_confirmation: a confirmation of a revision that is merged only later has no effect.
    key_from_peers: a starting node gets the key from the store only.
    configuration_differences: nodes send each other whole configurations.
    flow_bound_tokens: a token is the same for all flows of a backend.
    waiting_packets: packets that arrive before a node is ready are dropped at once.
    forwarding_after_stop: a node ends as soon as it may stop, without further forwarding.
    stop_turns: nodes of a zone do not wait for each other to stop.
    discard_after_stall: opening packets that waited during a stall of the process are forwarded.
    capacity_roles: announcements and answers between peers, and flows at cold backends, do not
        depend on capacity, and a node near its own limits keeps its roles.
    spread_ticks: nodes that start together call the store at the same moments.
    silence_probes: a silent connection to the store is detected only by the timeouts of calls.
    """

    own_zone: bool = True
    observed_load: bool = True
    answer_pace: bool = True
    suspicion: bool = True
    error_answers: bool = True
    overdue_answers: bool = True
    longer_relapses: bool = True
    risk_aversion: bool = True
    priority_reserve: bool = True
    timely_refusals: bool = True
    told_silence: bool = True
    other_backend_for_copies: bool = True
    token_corrections: bool = True
    opening_queries: bool = True
    liveness_checks: bool = True
    gone_grace: bool = True
    confirmed_refusals: bool = True
    few_readers: bool = True
    shared_kinds: bool = True
    gathering: bool = True
    stale_start: bool = True
    evacuations_from_peers: bool = True
    early_confirmation: bool = True
    key_from_peers: bool = True
    configuration_differences: bool = True
    flow_bound_tokens: bool = True
    waiting_packets: bool = True
    forwarding_after_stop: bool = True
    stop_turns: bool = True
    discard_after_stall: bool = True
    capacity_roles: bool = True
    spread_ticks: bool = True
    silence_probes: bool = True


ALL_MECHANISMS = Mechanisms()


def mechanisms_without(names: str) -> Mechanisms:
    """Return all mechanisms but the named ones; raises UnknownMechanismError."""
    off = [name.strip() for name in names.split(",") if name.strip()]
    unknown = [name for name in off if name not in Mechanisms._fields]
    if unknown:
        known = ", ".join(Mechanisms._fields)
        raise UnknownMechanismError(
            f"{MECHANISMS_VARIABLE}: no such mechanism: {', '.join(unknown)}; give some of {known}"
        )
    return Mechanisms(**{name: name not in off for name in Mechanisms._fields})


def read_mechanisms(environment: Mapping[str, str]) -> Mechanisms:
    """Return the mechanisms by a process's environment; raises UnknownMechanismError."""
    return mechanisms_without(environment.get(MECHANISMS_VARIABLE, ""))
