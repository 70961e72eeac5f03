"""Errors of fuzzing; each message names the remedy."""

from __future__ import annotations


class FuzzingError(Exception):
    """A search or replay that could not be run."""


class HypothesisMissingError(FuzzingError):
    """The library that draws the steps is not installed."""

    def __init__(self) -> None:
        super().__init__(
            "searching needs hypothesis, which is not installed: "
            "install beamloom with its extra, pip install 'beamloom[fuzzing]'; "
            "replaying a token works without"
        )


class ReplayTokenError(FuzzingError):
    """A token that cannot be replayed."""

    def __init__(self, detail: str) -> None:
        super().__init__(
            f"{detail}: give the whole token that `beamloom fuzz` printed, "
            "to the version of beamloom that printed it"
        )


class BrokenPromiseError(Exception):
    """The oracle of a subject saw something that must never be."""
