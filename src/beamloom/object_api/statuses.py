"""HTTP statuses of the platform's API (RFC 9110, RFC 6585) and the errors for them."""

from __future__ import annotations

from collections.abc import Mapping
from http import HTTPStatus as HttpStatus

from beamloom.object_api.errors import (
    OutcomeUnknownError,
    PlatformError,
    RequestRefusedError,
    StoreUnavailableError,
    TooManyReadersError,
    UnauthorizedError,
)

DEFAULT_RETRY_AFTER_SECONDS = 1.0
MAXIMUM_DETAIL_LENGTH = 200

__all__ = ["HttpStatus", "error_for_status"]


def error_for_status(status: int, headers: Mapping[str, str], text: str) -> PlatformError:
    """Return the error for a status other than 200, 409 and 410.

    503 means that the request was not executed. Any other 5xx may come from a gateway after the
    request was executed.
    """
    detail = text[:MAXIMUM_DETAIL_LENGTH]
    if status in {HttpStatus.UNAUTHORIZED, HttpStatus.FORBIDDEN}:
        return UnauthorizedError()
    if status == HttpStatus.TOO_MANY_REQUESTS:
        return TooManyReadersError(_retry_after(headers))
    if status == HttpStatus.SERVICE_UNAVAILABLE:
        return StoreUnavailableError(f"status {status}: {detail}")
    if status >= HttpStatus.INTERNAL_SERVER_ERROR:
        return OutcomeUnknownError(f"status {status}: {detail}")
    return RequestRefusedError(status, detail)


def _retry_after(headers: Mapping[str, str]) -> float:
    try:
        return max(0.0, float(headers.get("Retry-After", DEFAULT_RETRY_AFTER_SECONDS)))
    except ValueError:
        return DEFAULT_RETRY_AFTER_SECONDS
