"""Errors of experiments; each message names the remedy."""

from __future__ import annotations


class ExperimentError(Exception):
    """An experiment that could not be run or joined."""


class PartError(ExperimentError):
    """A part that does not exist."""

    def __init__(self, text: str) -> None:
        super().__init__(f"{text!r} is no part: give K/N, for example 1/4, with K from 1 to N")


class ResultsIncompleteError(ExperimentError):
    """Results are missing, given twice or of another experiment."""

    def __init__(self, directory: str, detail: str) -> None:
        super().__init__(
            f"the results in {directory} do not make up the experiment ({detail}): "
            "remove its part-*.jsonl and run every part of the same file and version again"
        )
