"""The subjects of `beamloom fuzz` by name, and the replay of tokens."""

from __future__ import annotations

from enum import StrEnum

from beamloom.fuzzing.errors import ReplayTokenError
from beamloom.fuzzing.steps import Failure, SubjectFactory, decode_token, run_steps
from beamloom.fuzzing.subjects.codec import CodecSubject
from beamloom.fuzzing.subjects.fleet import FleetSubject
from beamloom.fuzzing.subjects.flow_table import FlowTableSubject
from beamloom.fuzzing.subjects.settings import SettingsSubject
from beamloom.fuzzing.subjects.store import StoreSubject
from beamloom.fuzzing.subjects.token_router import TokenRouterSubject


class SubjectName(StrEnum):
    """Names of the subjects, as given to `beamloom fuzz --machine`."""

    FLEET = "fleet"
    SETTINGS = "settings"
    STORE = "store"
    FLOW_TABLE = "flow-table"
    TOKEN_ROUTER = "token-router"
    CODEC = "codec"


SUBJECTS: dict[SubjectName, SubjectFactory] = {
    SubjectName.FLEET: FleetSubject,
    SubjectName.SETTINGS: SettingsSubject,
    SubjectName.STORE: StoreSubject,
    SubjectName.FLOW_TABLE: FlowTableSubject,
    SubjectName.TOKEN_ROUTER: TokenRouterSubject,
    SubjectName.CODEC: CodecSubject,
}


def replay(token: str, make_subject: SubjectFactory | None = None) -> Failure | None:
    """Run the steps of a token; returns their failure, or None if they pass.

    `make_subject` replaces the factory in `SUBJECTS`. Raises ReplayTokenError.
    """
    name, steps = decode_token(token)
    if name not in SUBJECTS:
        raise ReplayTokenError(f"unknown subject {name!r}")
    return run_steps(name, make_subject or SUBJECTS[SubjectName(name)], steps)
