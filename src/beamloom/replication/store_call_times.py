"""Derives the intervals of calls to the store from how soon a change must be in force.

In the worst case all readers die just after their last answers. Then each node asks the store
itself once its view is stale.
"""

from typing import NamedTuple

from beamloom.settings.mechanisms import ALL_MECHANISMS, Mechanisms

CALL_TIMEOUT_SECONDS = 0.7
"""How long an answer may take, in addition to the wait that the call requests."""
FIRST_PAUSE_SECONDS = 0.1
MAXIMUM_PAUSE_SECONDS = 0.8
"""The base and the upper limit of the random pause between failing calls."""
STALE_SPREAD_SECONDS = 0.3
"""Spreads the calls of nodes whose views become stale together; the first answer is gossiped."""
MAXIMUM_STALE_SECONDS = 3.0
"""The upper limit of staleness, even if the bound allows more."""
MAXIMUM_WAIT_SECONDS = 2.2
"""The upper limit of a watch's wait: WAIT_SHARE_OF_STALE of the longest staleness, rounded down."""
MAXIMUM_EVACUATION_STALE_SECONDS = 4.0
"""Evacuations are rare, and a late one does no harm within its bound."""
MAXIMUM_UNCONFIRMED_SECONDS = 1.6
"""After a start of all nodes, a reader is usually known by then: joining, discovery and the random
delay take 0.7 to 1.4 s.
"""
MAXIMUM_GATHER_SECONDS = 0.6
GATHER_SHARE_OF_WAIT = 0.25
"""Gathered changes are delayed by up to this share of the wait."""
WAIT_SHARE_OF_STALE = 0.75
"""The rest is left for a late confirmation from peers or from the other reader."""
MINIMUM_SECONDS = 0.1
"""The lower limit of staleness and wait, whatever the bounds."""
LATE_SHARE = 0.2
OVERDUE_SHARE = 0.6
"""The points between a watch's wait and staleness at which a node probes its peers (late), and a
reader of other kinds calls the store (overdue).
"""
DEFAULT_BOUND_SECONDS = 3.0
DEFAULT_CONTACT_SECONDS = 4.0


class StoreCallTimes(NamedTuple):
    """The times of a node's calls to the store, in seconds.

    - `wait_seconds`: how long a reader's watch may wait.
    - `stale_seconds`: how long without a confirmation until a node asks the store itself.
    - `silence_seconds`: how long after its last answer a reader expires.
    - `unconfirmed_seconds`: how long a node that began with a stale list waits for changes from
      its peers.
    - `gather_seconds`: how long a reader pauses after changes, to read further ones together.
    - `overdue_seconds`: how long without a confirmation until a reader calls the store for a kind
      that another reader reads.
    - `late_seconds`: how long without a confirmation until a node probes its peers.
    - `outage_pause_seconds`: the longest pause between failing calls in a large fleet.
    """

    wait_seconds: float
    stale_seconds: float
    silence_seconds: float
    unconfirmed_seconds: float
    gather_seconds: float
    overdue_seconds: float
    late_seconds: float
    outage_pause_seconds: float


def store_call_times(
    bound_seconds: float = DEFAULT_BOUND_SECONDS,
    contact_seconds: float = DEFAULT_CONTACT_SECONDS,
    mechanisms: Mechanisms = ALL_MECHANISMS,
    *,
    longest_stale_seconds: float = MAXIMUM_STALE_SECONDS,
    longest_wait_seconds: float = MAXIMUM_WAIT_SECONDS,
) -> StoreCallTimes:
    """Return the times for a bound on the delay of changes.

    After an outage of the store a node must read again within `contact_seconds`, in which a hanging
    watch, a pause and one more call must fit. `longest_stale_seconds` and `longest_wait_seconds`
    limit staleness and a watch's wait where the bound would allow more.
    """
    call = CALL_TIMEOUT_SECONDS + STALE_SPREAD_SECONDS
    stale = min(longest_stale_seconds, bound_seconds - call)
    hanging = contact_seconds - 2 * CALL_TIMEOUT_SECONDS - MAXIMUM_PAUSE_SECONDS
    wait = min(longest_wait_seconds, WAIT_SHARE_OF_STALE * stale, hanging)
    wait = max(MINIMUM_SECONDS, wait)
    stale = max(MINIMUM_SECONDS, stale)
    gather = min(MAXIMUM_GATHER_SECONDS, GATHER_SHARE_OF_WAIT * wait)
    return StoreCallTimes(
        wait_seconds=wait,
        stale_seconds=stale,
        silence_seconds=2 * wait + 0.2,
        unconfirmed_seconds=min(MAXIMUM_UNCONFIRMED_SECONDS, stale),
        gather_seconds=gather if mechanisms.gathering else 0.0,
        overdue_seconds=wait + OVERDUE_SHARE * (stale - wait),
        late_seconds=wait + LATE_SHARE * (stale - wait),
        outage_pause_seconds=max(MAXIMUM_PAUSE_SECONDS, hanging),
    )


def evacuation_store_call_times(
    evacuate_seconds: float,
    contact_seconds: float = DEFAULT_CONTACT_SECONDS,
    mechanisms: Mechanisms = ALL_MECHANISMS,
) -> StoreCallTimes:
    """Return the times for evacuations, which are read less often than the other kinds.

    A node that has just started waits for its peers for at least `wait_seconds`.
    """
    times = store_call_times(
        evacuate_seconds,
        contact_seconds,
        mechanisms,
        longest_stale_seconds=MAXIMUM_EVACUATION_STALE_SECONDS,
        longest_wait_seconds=WAIT_SHARE_OF_STALE * MAXIMUM_EVACUATION_STALE_SECONDS,
    )
    return times._replace(unconfirmed_seconds=max(times.unconfirmed_seconds, times.wait_seconds))
