"""Options of the platform client, and the TLS context made from them."""

from __future__ import annotations

import ssl
from dataclasses import dataclass, field
from pathlib import Path

from beamloom.object_api.errors import TlsConfigurationError
from beamloom.object_api.retry import RetryPolicy


@dataclass(frozen=True, slots=True)
class TlsFiles:
    """PEM files: authority of the platform's certificate, and the client's certificate and key."""

    authority: Path | None = None
    certificate: Path | None = None
    private_key: Path | None = None


@dataclass(frozen=True, slots=True)
class PlatformOptions:
    """The platform's URL, and the credentials, timeouts and retries of the client.

    `watch_idle_timeout_seconds` must exceed the interval at which the platform sends empty batches.
    """

    url: str
    token: str = field(repr=False)
    request_timeout_seconds: float = 2.0
    watch_idle_timeout_seconds: float = 10.0
    retry: RetryPolicy = field(default_factory=RetryPolicy)
    tls: TlsFiles | None = None


def client_tls_context(files: TlsFiles | None) -> ssl.SSLContext | None:
    """Return the SSL context for the configured files; raises TlsConfigurationError.

    Without files the result is None, and https connections use the system's authorities.
    """
    if files is None:
        return None
    try:
        context = ssl.create_default_context(cafile=files.authority)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        if files.certificate is not None:
            context.load_cert_chain(files.certificate, files.private_key)
    except (OSError, ValueError) as error:
        raise TlsConfigurationError(f"{files}: {error}") from error
    return context
