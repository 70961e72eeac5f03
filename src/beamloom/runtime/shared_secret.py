"""Reads or creates the fleet's shared secret over a connection to the store."""

import asyncio
import os
from collections.abc import Callable, Mapping
from typing import NamedTuple

from beamloom.replication.shared_secret import SecretStep, SharedSecret
from beamloom.routing.tokens.token import KEY_BYTES
from beamloom.runtime.connection_limits import SECRET_LIMITS
from beamloom.runtime.http_client import CallFailedError, HttpConnection

STATUS_CONFLICT = 409
STATUS_NOT_FOUND = 404
STATUSES_DONE = frozenset({200, 201})


class SecretFormat(NamedTuple):
    """Paths and codecs of the object that holds the secret; `decode` raises ValueError."""

    read_path: str
    stale_path: str
    create_path: str
    encode: Callable[[bytes], bytes]
    decode: Callable[[bytes], bytes]
    read_era: Callable[[Mapping[bytes, bytes]], int | None]


def no_pause() -> float:
    """Return 0.0: by default there is no minimum pause."""
    return 0.0


async def fetch_shared_secret(
    secret: SharedSecret,
    connection: HttpConnection,
    secret_format: SecretFormat,
    *,
    offered: bytes | None = None,
    first_start: bool = True,
    pause: Callable[[], float] = no_pause,
) -> bytes:
    """Return the secret in the store, created first if there is none; retries until it succeeds.

    The `offered` secret is created, or else a random one. Before a random one, peers get time to
    provide theirs: more if this is not the `first_start` of the fleet or the store was restored.
    `pause` returns the minimum seconds between a failure and the next call.
    """
    while secret.value is None:
        try:
            if secret.step is SecretStep.CREATE:
                if offered is None:
                    await asyncio.sleep(secret.create_delay_seconds(first_start=first_start))
                new_secret = os.urandom(KEY_BYTES) if offered is None else offered
                done = await _create(secret, connection, secret_format, new_secret)
            else:
                done = await _read(secret, connection, secret_format)
        except (CallFailedError, ValueError):
            done = False
        if not done:
            await asyncio.sleep(max(pause(), secret.handle_failure()))
    return secret.value


async def _read(
    secret: SharedSecret, connection: HttpConnection, secret_format: SecretFormat
) -> bool:
    path = (
        secret_format.stale_path
        if secret.step is SecretStep.READ_STALE
        else secret_format.read_path
    )
    answer = await connection.call("GET", path, SECRET_LIMITS)
    secret.era = secret_format.read_era(answer.headers)
    if answer.status == STATUS_NOT_FOUND:
        secret.handle_absent()
        return True
    if answer.status not in STATUSES_DONE:
        return False
    secret.handle_secret(secret_format.decode(answer.body))
    return True


async def _create(
    secret: SharedSecret, connection: HttpConnection, secret_format: SecretFormat, new_secret: bytes
) -> bool:
    body = secret_format.encode(new_secret)
    answer = await connection.call("POST", secret_format.create_path, SECRET_LIMITS, body)
    if answer.status in STATUSES_DONE or answer.status == STATUS_CONFLICT:
        secret.handle_created()
        return True
    return False
