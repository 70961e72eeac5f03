"""Errors of fuzzing."""

from __future__ import annotations


class FuzzingError(Exception):
    """A search or replay could not be run; the message names the remedy."""


class HypothesisMissingError(FuzzingError):
    """The optional dependency hypothesis is not installed."""

    def __init__(self) -> None:
        super().__init__(
            "the search needs hypothesis, which is not installed: "
            "install beamloom with its extra, pip install 'beamloom[fuzzing]'; "
            "replaying a token does not need hypothesis"
        )


class ReplayTokenError(FuzzingError):
    """A token cannot be replayed."""

    def __init__(self, detail: str) -> None:
        super().__init__(
            f"{detail}: pass the whole token that `beamloom fuzz` printed, "
            "to the version of beamloom that printed it"
        )


class InvariantViolationError(Exception):
    """A subject does not behave as its oracle requires."""
