"""Errors of experiments; each message names the remedy."""

from __future__ import annotations


class ExperimentError(Exception):
    """An experiment cannot be run, or its results cannot be joined."""


class PartError(ExperimentError):
    """The text does not name a part."""

    def __init__(self, text: str) -> None:
        super().__init__(f"{text!r} is not a part: give K/N, for example 1/4, with K from 1 to N")


class ResultsIncompleteError(ExperimentError):
    """Results are unreadable, missing, duplicated or from another experiment."""

    def __init__(self, directory: str, detail: str) -> None:
        super().__init__(
            f"the results in {directory} do not match the experiment ({detail}): "
            "remove its part-*.jsonl files and run every part again with the same file and version"
        )
