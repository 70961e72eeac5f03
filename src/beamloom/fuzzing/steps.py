"""Steps of a fuzzing run, and the tokens that encode them for replay.

A token is the name of a subject and its steps, as compressed JSON in URL-safe base64. It can be
pasted into a shell, and replaying it does not depend on hypothesis.
"""

from __future__ import annotations

import base64
import binascii
import json
import zlib
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any, Protocol

from beamloom.fuzzing.errors import ReplayTokenError

MAXIMUM_TOKEN_BYTES = 1 << 20
"""Limit of the decompressed JSON text of a token."""


@dataclass(frozen=True, slots=True)
class Step:
    """One call of a subject's action; its arguments are JSON values."""

    action: str
    arguments: Mapping[str, Any] = field(default_factory=dict)

    def __str__(self) -> str:
        """Return the step in the form of a call."""
        arguments = ", ".join(f"{name}={value!r}" for name, value in self.arguments.items())
        return f"{self.action}({arguments})"


class Subject(Protocol):
    """A component under test together with its oracle."""

    @property
    def actions(self) -> Mapping[str, Callable[..., object]]:
        """The actions by name; an action raises when the oracle detects a violation."""

    def finish(self) -> None:
        """Complete work in progress and check a last time; raises as actions do."""


SubjectFactory = Callable[[], Subject]


@dataclass(frozen=True, slots=True)
class Failure:
    """A failed run: the subject's name, the steps up to the failure and the described error."""

    subject: str
    steps: tuple[Step, ...]
    error: str

    @property
    def token(self) -> str:
        """The token that replays the run."""
        return encode_token(self.subject, self.steps)


def describe_error(error: BaseException) -> str:
    """Return the type and the message of an error in one line."""
    return f"{type(error).__name__}: {' '.join(str(error).split())}"


def run_steps(name: str, make_subject: SubjectFactory, steps: Sequence[Step]) -> Failure | None:
    """Run steps on a new subject; returns their failure, or None if they pass.

    Raises ReplayTokenError if the subject lacks an action of the steps.
    """
    subject = make_subject()
    for step in steps:
        if step.action not in subject.actions:
            raise ReplayTokenError(f"{name} has no action {step.action!r}")
    for done, step in enumerate(steps, start=1):
        try:
            subject.actions[step.action](**step.arguments)
        except Exception as error:
            return Failure(name, tuple(steps[:done]), describe_error(error))
    try:
        subject.finish()
    except Exception as error:
        return Failure(name, tuple(steps), describe_error(error))
    return None


def encode_token(subject: str, steps: Sequence[Step]) -> str:
    """Return the token that replays these steps."""
    pairs = [[step.action, dict(step.arguments)] for step in steps]
    text = json.dumps([subject, pairs], separators=(",", ":"), sort_keys=True)
    return base64.urlsafe_b64encode(zlib.compress(text.encode(), 9)).decode().rstrip("=")


def decode_token(token: str) -> tuple[str, tuple[Step, ...]]:
    """Return the subject's name and the steps of a token; raises ReplayTokenError."""
    try:
        packed = base64.urlsafe_b64decode(token + "=" * (-len(token) % 4))
        text = zlib.decompressobj().decompress(packed, MAXIMUM_TOKEN_BYTES)
        subject, pairs = json.loads(text)
        steps = tuple(Step(str(action), dict(arguments)) for action, arguments in pairs)
    except (binascii.Error, zlib.error, ValueError, TypeError) as error:
        raise ReplayTokenError(f"not a token ({type(error).__name__})") from error
    return str(subject), steps
