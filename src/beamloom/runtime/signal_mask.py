"""Signals that a node obeys wait while it cannot obey them.

Before its handlers are there, and again while its interpreter shuts down, the default action of
such a signal would end the process: a node that only should read its settings anew would be gone,
and one that has stopped as planned would seem to have been killed. The kernel keeps one of each
kind that is blocked, until it is unblocked or the process ends.

A program calls `block_signals` in its first lines, before what takes the most time of its start;
this module imports no more than it needs.
"""

from __future__ import annotations

import _signal  # type: ignore[import-not-found]

HANDLED_SIGNALS = (_signal.SIGTERM, _signal.SIGINT, _signal.SIGHUP)


def block_signals() -> None:
    """Let the signals that a node obeys wait."""
    _signal.pthread_sigmask(_signal.SIG_BLOCK, HANDLED_SIGNALS)


def unblock_signals() -> None:
    """Let them arrive, those that have waited at once: the node's handlers are there."""
    _signal.pthread_sigmask(_signal.SIG_UNBLOCK, HANDLED_SIGNALS)
