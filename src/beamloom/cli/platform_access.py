"""Flags, environment variables and session with which commands access the platform's store."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from random import SystemRandom
from typing import Annotated

from cyclopts import Parameter

from beamloom.cli.errors import PlatformOptionMissingError
from beamloom.cli.token_files import read_token
from beamloom.object_api.client import PlatformClient
from beamloom.object_api.operator import OperatorWriter
from beamloom.object_api.options import PlatformOptions, TlsFiles
from beamloom.object_api.retry import Retrier

URL_VARIABLE = "BEAMLOOM_PLATFORM"
TOKEN_VARIABLE = "BEAMLOOM_PLATFORM_TOKEN_FILE"


@Parameter(name="*")
@dataclass(frozen=True, slots=True)
class PlatformAccess:
    """Flags of every command that uses the platform's store."""

    platform: Annotated[str | None, Parameter(name="--platform", env_var=URL_VARIABLE)] = None
    """Address of the platform's object API, such as http://127.0.0.1:7900."""
    token_file: Annotated[
        Path | None, Parameter(name="--platform-token-file", env_var=TOKEN_VARIABLE)
    ] = None
    """File that holds the token for the platform."""
    authority_file: Annotated[Path | None, Parameter(name="--platform-authority-file")] = None
    """Certificate of the authority that signed the platform's certificate, for https."""


@dataclass(frozen=True, slots=True)
class PlatformSession:
    """An open client of the platform, and a writer that uses it."""

    client: PlatformClient
    writer: OperatorWriter


@asynccontextmanager
async def open_platform(access: PlatformAccess | None) -> AsyncIterator[PlatformSession]:
    """Open a session; raises PlatformOptionMissingError, UnreadableTokenError or PlatformError."""
    options = _read_options(access or PlatformAccess())
    retrier = Retrier(options.retry, SystemRandom())
    async with PlatformClient(options, retrier) as client:
        yield PlatformSession(client, OperatorWriter(client, SystemRandom(), retrier))


def _read_options(access: PlatformAccess) -> PlatformOptions:
    if access.platform is None:
        raise PlatformOptionMissingError("--platform", URL_VARIABLE)
    if access.token_file is None:
        raise PlatformOptionMissingError("--platform-token-file", TOKEN_VARIABLE)
    tls = None if access.authority_file is None else TlsFiles(authority=access.authority_file)
    return PlatformOptions(access.platform, read_token(access.token_file), tls=tls)
