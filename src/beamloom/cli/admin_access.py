"""Flags and client with which commands access a node's admin API."""

from __future__ import annotations

import json
import ssl
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import aiohttp
from cyclopts import Parameter

from beamloom.cli.errors import (
    AdminOptionMissingError,
    AdminRefusedError,
    AdminUnreachableError,
)
from beamloom.cli.token_files import read_token
from beamloom.object_api.options import TlsFiles, client_tls_context
from beamloom.object_api.statuses import HttpStatus

ADMIN_VARIABLE = "BEAMLOOM_ADMIN"
TOKEN_VARIABLE = "BEAMLOOM_ADMIN_TOKEN_FILE"
REQUEST_TIMEOUT_SECONDS = 5.0

Answer = dict[str, Any]


@Parameter(name="*")
@dataclass(frozen=True, slots=True)
class AdminAccess:
    """Flags of every command that uses a node's admin API."""

    admin: Annotated[str | None, Parameter(name="--admin", env_var=ADMIN_VARIABLE)] = None
    """Admin address of any node: IP:PORT, or https://IP:PORT."""
    token_file: Annotated[
        Path | None, Parameter(name=("--token-file", "--admin-token-file"), env_var=TOKEN_VARIABLE)
    ] = None
    """File that holds the token of the admin API."""
    authority_file: Annotated[Path | None, Parameter(name="--admin-authority-file")] = None
    """Certificate of the authority that signed the node's certificate, for https."""


@dataclass(frozen=True, slots=True)
class AdminClient:
    """Client of one node's admin API."""

    url: str
    token: str
    tls: ssl.SSLContext | None

    async def get(self, path: str, parameters: Mapping[str, str] | None = None) -> Answer:
        """Return the JSON object at a path; raises AdminUnreachableError or AdminRefusedError."""
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_SECONDS)
        headers = {"Authorization": f"Bearer {self.token}"}
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout, headers=headers) as session,
                session.get(
                    self.url + path, params=parameters, ssl=self.tls or True, allow_redirects=False
                ) as response,
            ):
                return _parse_answer(response.status, await response.text())
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            raise AdminUnreachableError(self.url, str(error) or repr(error)) from error


def make_admin_client(access: AdminAccess | None) -> AdminClient:
    """Return a client.

    Raises AdminOptionMissingError, UnreadableTokenError and TlsConfigurationError.
    """
    chosen = access or AdminAccess()
    if chosen.admin is None:
        raise AdminOptionMissingError("--admin", ADMIN_VARIABLE)
    if chosen.token_file is None:
        raise AdminOptionMissingError("--token-file", TOKEN_VARIABLE)
    url = chosen.admin if "://" in chosen.admin else f"http://{chosen.admin}"
    authority = chosen.authority_file
    tls = None if authority is None else client_tls_context(TlsFiles(authority=authority))
    return AdminClient(url.rstrip("/"), read_token(chosen.token_file), tls)


def _parse_answer(status: int, text: str) -> Answer:
    try:
        body = json.loads(text)
    except ValueError:
        body = None
    if status != HttpStatus.OK:
        detail = body.get("error") if isinstance(body, dict) else None
        raise AdminRefusedError(status, str(detail or "check that --admin is an admin address"))
    if not isinstance(body, dict):
        raise AdminRefusedError(status, "the answer is not a JSON object; check --admin")
    return body
