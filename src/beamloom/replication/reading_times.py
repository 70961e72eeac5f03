"""How often a fleet asks the store, derived from how soon a change must be in force.

A change is heard late at worst when all readers died just after their last answers: then every
node notices that its view has become stale, and asks for itself.
"""

from typing import NamedTuple

from beamloom.settings.mechanisms import ALL_MECHANISMS, Mechanisms

CALL_PATIENCE_SECONDS = 0.7
"""How long an answer may take, beyond what the store was asked to wait."""
FIRST_PAUSE_SECONDS = 0.1
LONGEST_PAUSE_SECONDS = 0.8
"""The shortest bound and the longest pause between calls that fail."""
STALE_SPREAD_SECONDS = 0.3
"""Nodes whose views become stale together do not all ask at once: the first one tells the rest."""
LONGEST_STALE_SECONDS = 3.0
"""Where the bound leaves more, nobody is to hear so late all the same."""
LONGEST_WAIT_SECONDS = 2.2
"""Three quarters of the longest staleness, rounded down: see WAIT_SHARE_OF_STALE."""
LONGEST_EVACUATION_STALE_SECONDS = 4.0
"""Evacuations are rare, and nothing is lost by one that is heard late but within its bound."""
LONGEST_UNCONFIRMED_SECONDS = 1.6
"""After a common start a reader is heard of by then (0.7 to 1.4 s: join, listening, hesitation)."""
LONGEST_GATHER_SECONDS = 0.6
GATHER_SHARE_OF_WAIT = 0.25
"""What is gathered is heard by that much later."""
WAIT_SHARE_OF_STALE = 0.75
"""The rest is the time in which a late confirmation may come from peers or the other reader."""
SHORTEST_SECONDS = 0.1
"""No time becomes shorter, whatever the bounds say."""
LATE_SHARE = 0.2
OVERDUE_SHARE = 0.6
"""How far between a watch's wait and staleness a node asks its peers, and a reader of other kinds
steps in.
"""
DEFAULT_BOUND_SECONDS = 3.0
DEFAULT_CONTACT_SECONDS = 4.0


class ReadingTimes(NamedTuple):
    """How long things may take.

    `wait_seconds` is how long a reader lets a watch wait, `stale_seconds` after how long without a
    confirmation a node asks for itself, `silence_seconds` after how long without an answer a reader
    is not counted on any more. `unconfirmed_seconds` is how long a node that began with a stale
    list leaves it to its peers to tell what has changed since. `gather_seconds` is how long a
    reader lets further changes come together before it asks for them. `overdue_seconds` is after
    how long without a confirmation a reader asks for what another one reads, before all would;
    `late_seconds` is after how long a node asks its peers. `outage_pause_seconds` is the longest
    pause of a node between calls that fail, where many others call as well.
    """

    wait_seconds: float
    stale_seconds: float
    silence_seconds: float
    unconfirmed_seconds: float
    gather_seconds: float
    overdue_seconds: float
    late_seconds: float
    outage_pause_seconds: float


def reading_times(
    bound_seconds: float = DEFAULT_BOUND_SECONDS,
    contact_seconds: float = DEFAULT_CONTACT_SECONDS,
    mechanisms: Mechanisms = ALL_MECHANISMS,
    *,
    longest_stale_seconds: float = LONGEST_STALE_SECONDS,
    longest_wait_seconds: float = LONGEST_WAIT_SECONDS,
) -> ReadingTimes:
    """Return the times for a bound on hearing of changes.

    After an outage of the store a node must hear again within `contact_seconds`: a watch that
    hangs, a pause and one more call fit in there. `longest_stale_seconds` is how long a view may go
    without a confirmation, `longest_wait_seconds` how long a watch may wait, where the bound would
    leave more.
    """
    call = CALL_PATIENCE_SECONDS + STALE_SPREAD_SECONDS
    stale = min(longest_stale_seconds, bound_seconds - call)
    hanging = contact_seconds - 2 * CALL_PATIENCE_SECONDS - LONGEST_PAUSE_SECONDS
    wait = min(longest_wait_seconds, WAIT_SHARE_OF_STALE * stale, hanging)
    wait = max(SHORTEST_SECONDS, wait)
    stale = max(SHORTEST_SECONDS, stale)
    gather = min(LONGEST_GATHER_SECONDS, GATHER_SHARE_OF_WAIT * wait)
    return ReadingTimes(
        wait_seconds=wait,
        stale_seconds=stale,
        silence_seconds=2 * wait + 0.2,
        unconfirmed_seconds=min(LONGEST_UNCONFIRMED_SECONDS, stale),
        gather_seconds=gather if mechanisms.gathering else 0.0,
        overdue_seconds=wait + OVERDUE_SHARE * (stale - wait),
        late_seconds=wait + LATE_SHARE * (stale - wait),
        outage_pause_seconds=max(LONGEST_PAUSE_SECONDS, hanging),
    )


def evacuation_reading_times(
    evacuate_seconds: float,
    contact_seconds: float = DEFAULT_CONTACT_SECONDS,
    mechanisms: Mechanisms = ALL_MECHANISMS,
) -> ReadingTimes:
    """Return the times for evacuations, which are asked for less often than the other kinds.

    A node that has just started leaves them to its peers for as long as a watch may hang.
    """
    times = reading_times(
        evacuate_seconds,
        contact_seconds,
        mechanisms,
        longest_stale_seconds=LONGEST_EVACUATION_STALE_SECONDS,
        longest_wait_seconds=WAIT_SHARE_OF_STALE * LONGEST_EVACUATION_STALE_SECONDS,
    )
    return times._replace(unconfirmed_seconds=max(times.unconfirmed_seconds, times.wait_seconds))
