"""The subjects of `beamloom fuzz` by name."""

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
    """What can be fuzzed."""

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
    """Run the steps of a token; returns how they failed, or None.

    `make_subject` replaces the product's own subject. Raises ReplayTokenError.
    """
    name, steps = decode_token(token)
    if name not in SUBJECTS:
        raise ReplayTokenError(f"there is no subject {name!r}")
    return run_steps(name, make_subject or SUBJECTS[SubjectName(name)], steps)
