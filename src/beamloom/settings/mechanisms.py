"""The mechanisms by which a token node decides, each of which can be switched off.

All are on. They are switched off one at a time to measure what each is worth
(`tools/ablation.py`, docs/DECIDING.md), never to serve.
"""

from collections.abc import Mapping
from typing import NamedTuple

MECHANISMS_VARIABLE = "BEAMLOOM_MECHANISMS_OFF"
"""Names of mechanisms, with commas between them."""


class UnknownMechanismError(ValueError):
    """A name is not that of a mechanism."""


class Mechanisms(NamedTuple):
    """What is on; a line each says what a node does without it.

    own_zone: backends of other zones cost the same.
    observed_load: the flows that a node sees do not count, only slots.
    answer_pace: a backend whose answers have become slow counts as usual.
    suspicion: backends that do not answer get flows like others.
    error_answers: nodes do not tell each other of backends that answer with errors.
    overdue_answers: backends that are late with answers, by the objective, are not told of.
    longer_relapses: backends that fail again and again are tried again each time as soon.
    risk_aversion: flows whose requests may not run twice are placed as all others.
    priority_reserve: backends keep no room for requests of the highest priority.
    timely_refusals: a client waits for cold backends though its time-out is over before its copy.
    told_silence: nodes do not tell each other of silent backends.
    other_backend_for_copies: copies of an opening go where the opening went.
    other_zone_for_copies: copies of an opening go to any zone, the silent one's too.
    liveness_checks: backends that seem dead are not checked, and their flows not ended.
    gone_grace: backends that have gone from the store get nothing, though no other is left.
    confirmed_refusals: what is not known is refused, though the view is not confirmed.
    few_readers: each node reads the store for itself.
    shared_kinds: each reader reads all kinds of object.
    gathering: a reader asks again at once after each change.
    stale_start: a node that starts reads the newest configuration from the store.
    evacuations_from_peers: a node that starts lists evacuations itself.
    early_confirmation: changes that a peer tells come without their confirmation.
    key_from_peers: a node that starts gets the key from the store only.
    configuration_differences: nodes tell configurations whole.
    flow_bound_tokens: a token is the same for all flows of a backend.
    waiting_packets: packets that come before a node is ready are dropped.
    forwarding_after_stop: a node that is asked to stop ends at once.
    stop_turns: nodes of a zone stop without regard to each other.
    discard_after_stall: opening packets that waited while a process stood still are sent on.
    capacity_roles: peers tell news, answer each other and open flows at cold backends whatever
        their machines can do, and a node near its own limits keeps its roles.
    spread_ticks: nodes that start together ask the store in the same moments.
    silence_probes: only its deadlines tell a node that a connection to the store is silent.
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
    other_zone_for_copies: bool = True
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
    """Return all mechanisms but these; raises UnknownMechanismError."""
    off = [name.strip() for name in names.split(",") if name.strip()]
    unknown = [name for name in off if name not in Mechanisms._fields]
    if unknown:
        known = ", ".join(Mechanisms._fields)
        raise UnknownMechanismError(
            f"{MECHANISMS_VARIABLE}: no such mechanism: {', '.join(unknown)}; give some of {known}"
        )
    return Mechanisms(**{name: name not in off for name in Mechanisms._fields})


def read_mechanisms(environment: Mapping[str, str]) -> Mechanisms:
    """Return the mechanisms that a process's variables leave on; raises UnknownMechanismError."""
    return mechanisms_without(environment.get(MECHANISMS_VARIABLE, ""))
