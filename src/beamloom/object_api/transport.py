"""HTTP session whose errors distinguish requests that may have been executed from others."""

from __future__ import annotations

import aiohttp

from beamloom.object_api.errors import (
    OutcomeUnknownError,
    StoreUnavailableError,
    TlsConfigurationError,
)
from beamloom.object_api.options import PlatformOptions, client_tls_context


async def raise_typed_failures(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Convert connection failures to platform errors before aiohttp handles them.

    aiohttp would silently resend a PUT or DELETE, although the first may have taken effect.
    """
    try:
        return await handler(request)
    except aiohttp.ClientSSLError as error:
        raise TlsConfigurationError(str(error)) from error
    except aiohttp.ClientConnectorError as error:
        raise StoreUnavailableError(str(error)) from error
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise OutcomeUnknownError(f"{request.method} {request.url.path}: {error!r}") from error


def open_session(options: PlatformOptions) -> aiohttp.ClientSession:
    """Return a session with the token and certificates of `options`; raises TlsConfigurationError.

    Connections are not reused: a request on one that the platform has just closed would fail as if
    its response were lost.
    """
    tls = client_tls_context(options.tls)
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(force_close=True, ssl=tls or True),
        headers={"Authorization": f"Bearer {options.token}"},
        middlewares=(raise_typed_failures,),
    )
