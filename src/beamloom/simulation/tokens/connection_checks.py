"""Simulated checks of backends by connection attempts, as `runtime/backend_check.py` makes them."""

from __future__ import annotations

from collections.abc import Callable

from beamloom.routing.tokens.liveness import CheckOutcome, confirm_silence
from beamloom.runtime.connection_limits import (
    CHECK_ATTEMPT_SECONDS,
    CHECK_ATTEMPTS,
    REFERENCE_MARGIN_SECONDS,
    REFERENCE_SECONDS,
)
from beamloom.simulation.clock import VirtualClock

Address = tuple[str, int]
OnOutcome = Callable[[CheckOutcome], None]
FindReferences = Callable[[], list[Address]]

CHECK_TIMEOUT_SECONDS = CHECK_ATTEMPTS * CHECK_ATTEMPT_SECONDS
"""How long a check waits before it makes another attempt beside the references."""


class ConnectionChecks:
    """The checks of all nodes.

    `connect` returns the answer to an attempt to connect to an address, or None if there is none;
    `round_trip_seconds` returns how long a node at a host waits for an answer.
    """

    def __init__(
        self,
        clock: VirtualClock,
        connect: Callable[[Address], CheckOutcome | None],
        round_trip_seconds: Callable[[str], float],
    ) -> None:
        self._clock = clock
        self._connect = connect
        self._round_trip_seconds = round_trip_seconds

    def check(
        self, host: str, address: Address, find_references: FindReferences, on_outcome: OnOutcome
    ) -> None:
        """Report the outcome of a check that a node at a host begins now."""
        answer = self._connect(address)
        seconds = self._round_trip_seconds(host)
        if answer is not None and seconds <= CHECK_TIMEOUT_SECONDS:
            self._clock.call_later(seconds, on_outcome, answer)
            return
        self._clock.call_later(
            CHECK_TIMEOUT_SECONDS,
            self._compare_with_references,
            host,
            address,
            find_references,
            on_outcome,
        )

    def _compare_with_references(
        self, host: str, address: Address, find_references: FindReferences, on_outcome: OnOutcome
    ) -> None:
        answer = self._connect(address)
        seconds = self._round_trip_seconds(host)
        references = [self._connect(reference) for reference in find_references()]
        if seconds > REFERENCE_SECONDS:
            self._clock.call_later(REFERENCE_SECONDS, on_outcome, CheckOutcome.UNCONFIRMED)
        elif answer is not None:
            self._clock.call_later(seconds, on_outcome, answer)
        elif confirm_silence(references):
            seconds += REFERENCE_MARGIN_SECONDS
            self._clock.call_later(seconds, on_outcome, CheckOutcome.SILENT)
        else:
            self._clock.call_later(REFERENCE_SECONDS, on_outcome, CheckOutcome.UNCONFIRMED)
