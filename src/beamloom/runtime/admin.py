"""The admin API of a node: health, metrics, status and explanations over HTTP or HTTPS.

`/healthz` (the process is running) and `/readyz` (the node accepts packets; otherwise 503 with the
reason) need no authentication. All other paths need the bearer token (RFC 6750) and return 401 if
no token file is configured. Errors are returned as `{"error": TEXT}`.
"""

from __future__ import annotations

import asyncio
import hmac
import ipaddress
import ssl
import struct
from collections import Counter
from collections.abc import Awaitable, Callable

from aiohttp import web

from beamloom.model.addresses import SocketAddress, TransportProtocol
from beamloom.object_api.statuses import HttpStatus
from beamloom.routing.packet import FlowTuple
from beamloom.runtime import node_status
from beamloom.runtime.balancer import BalancerProcess
from beamloom.runtime.faults import FaultSource
from beamloom.runtime.readiness import Readiness
from beamloom.settings.errors import SettingsError
from beamloom.telemetry.counters import CONTENT_TYPE, ReadMetrics, make_registry, render

HEALTH_PATH = "/healthz"
READY_PATH = "/readyz"
METRICS_PATH = "/metrics"
STATUS_PATH = "/v1/status"
IN_FORCE_PATH = "/v1/in-force"
EXPLAIN_SETTING_PATH = "/v1/explain/setting"
EXPLAIN_BACKEND_PATH = "/v1/explain/backend"
EXPLAIN_FLOW_PATH = "/v1/explain/flow"
UNAUTHENTICATED_PATHS = frozenset({HEALTH_PATH, READY_PATH})

IN_FORCE_TIMEOUT_SECONDS = 1.0
IN_FORCE_POLL_SECONDS = 0.02
SHUTDOWN_TIMEOUT_SECONDS = 1.0
MAXIMUM_PORT = 65_535
NO_TOKEN_ERROR = "this node has no admin token; set admin.token_file in its settings"
WRONG_TOKEN_ERROR = (
    "send Authorization: Bearer TOKEN with the token of this node's admin.token_file"
)

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class BadParameterError(Exception):
    """A query parameter is missing or malformed."""

    def __init__(self, name: str, expected: str) -> None:
        super().__init__(f"query parameter {name} is missing or unreadable; give {expected}")


class AdminServer:
    """Serves the admin API of one node."""

    def __init__(
        self,
        balancer: BalancerProcess,
        readiness: Callable[[], Readiness],
        read_metrics: ReadMetrics,
        token: str | None,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self.counters: Counter[str] = Counter()
        self._balancer = balancer
        self._readiness = readiness
        self._registry = make_registry(read_metrics)
        self._authorization = None if token is None else f"Bearer {token}".encode()
        self._tls = tls
        self._in_force_lock = asyncio.Lock()
        self._runner: web.AppRunner | None = None

    async def start(self, address: SocketAddress) -> SocketAddress:
        """Listen and return the bound address; raises OSError if the address cannot be bound."""
        runner = web.AppRunner(
            self._application(), access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_SECONDS
        )
        await runner.setup()
        try:
            await web.TCPSite(runner, address.host, address.port, ssl_context=self._tls).start()
        except OSError:
            await runner.cleanup()
            raise
        self._runner = runner
        host, port = runner.addresses[0][:2]
        return SocketAddress(host, port)

    async def close(self) -> None:
        """Stop listening; a second call does nothing."""
        runner, self._runner = self._runner, None
        if runner is not None:
            await runner.cleanup()

    def _application(self) -> web.Application:
        application = web.Application(middlewares=[self._handle_request])
        for path, handler in (
            (HEALTH_PATH, self._health),
            (READY_PATH, self._ready),
            (METRICS_PATH, self._metrics),
            (STATUS_PATH, self._status),
            (IN_FORCE_PATH, self._in_force),
            (EXPLAIN_SETTING_PATH, self._explain_setting),
            (EXPLAIN_BACKEND_PATH, self._explain_backend),
            (EXPLAIN_FLOW_PATH, self._explain_flow),
        ):
            application.router.add_get(path, handler)
        return application

    @web.middleware
    async def _handle_request(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        if (
            request.path not in UNAUTHENTICATED_PATHS
            and (error_text := self._authorization_error(request)) is not None
        ):
            self.counters["unauthorized"] += 1
            return _error_response(HttpStatus.UNAUTHORIZED, error_text)
        try:
            response = await handler(request)
        except BadParameterError as error:
            return _error_response(HttpStatus.BAD_REQUEST, str(error))
        except SettingsError as error:
            return _error_response(HttpStatus.NOT_FOUND, str(error))
        except web.HTTPException as error:
            return _error_response(HttpStatus(error.status), f"{request.path}: {error.reason}")
        except Exception as error:
            self._balancer.faults.record(FaultSource.ADMIN_REQUEST, error)
            return _error_response(
                HttpStatus.INTERNAL_SERVER_ERROR, "internal fault; see the node's log"
            )
        self.counters["answered"] += 1
        return response

    def _authorization_error(self, request: web.Request) -> str | None:
        if self._authorization is None:
            return NO_TOKEN_ERROR
        header = request.headers.get("Authorization", "").encode(errors="replace")
        return None if hmac.compare_digest(header, self._authorization) else WRONG_TOKEN_ERROR

    async def _health(self, request: web.Request) -> web.Response:
        return web.json_response({"alive": True})

    async def _ready(self, request: web.Request) -> web.Response:
        readiness = self._readiness()
        status = HttpStatus.OK if readiness.ready else HttpStatus.SERVICE_UNAVAILABLE
        return web.json_response(
            {"ready": readiness.ready, "reason": readiness.reason}, status=status
        )

    async def _metrics(self, request: web.Request) -> web.Response:
        return web.Response(body=render(self._registry), headers={"Content-Type": CONTENT_TYPE})

    async def _status(self, request: web.Request) -> web.Response:
        core = self._balancer.core
        answer = node_status.node_status(core)
        answer["reason"] = self._readiness().reason
        answer["backends"] = node_status.backend_objects(core, _now())
        return web.json_response(answer)

    async def _in_force(self, request: web.Request) -> web.Response:
        """Query the fleet; queries are serialized, since a node tracks one revision at a time."""
        revision = _revision(request)
        async with self._in_force_lock:
            self._balancer.query_in_force(revision)
            answer = await self._await_in_force(revision)
        return web.json_response(answer)

    async def _await_in_force(self, revision: int) -> node_status.JsonObject:
        """Return the report once the revision is in force everywhere, or after the timeout."""
        core = self._balancer.core
        loop = asyncio.get_running_loop()
        deadline = loop.time() + IN_FORCE_TIMEOUT_SECONDS
        while True:
            report = core.fleet_status.in_force(revision)
            answer = node_status.in_force_status(core, revision, report)
            if answer["everywhere"] or loop.time() >= deadline:
                return answer
            await asyncio.sleep(IN_FORCE_POLL_SECONDS)

    async def _explain_setting(self, request: web.Request) -> web.Response:
        name = _parameter(request, "name", "the name of a setting")
        at = request.query.get("at", "global")
        return web.json_response(node_status.explain_setting(self._balancer.core, name, at))

    async def _explain_backend(self, request: web.Request) -> web.Response:
        name = _parameter(request, "name", "TENANT/SERVICE/BACKEND")
        return web.json_response(node_status.explain_backend(self._balancer.core, name, _now()))

    async def _explain_flow(self, request: web.Request) -> web.Response:
        answer = node_status.explain_flow(self._balancer.core, _flow(request), _now())
        return web.json_response(answer)


def _now() -> float:
    """Return the event loop's time, which the core receives with its events."""
    return asyncio.get_running_loop().time()


def _flow(request: web.Request) -> FlowTuple:
    """Return the flow given by parameters `client` and `service` (IP:PORT) and `protocol`."""
    client = _address(request, "client")
    service = _address(request, "service")
    name = request.query.get("protocol", TransportProtocol.TCP.name)
    if name.upper() not in TransportProtocol.__members__:
        raise BadParameterError("protocol", "tcp or udp")
    source = ipaddress.ip_address(client.host)
    destination = ipaddress.ip_address(service.host)
    if source.version != destination.version:
        raise BadParameterError("client", "an address of the same IP version as the service")
    ports = struct.pack("!HH", client.port, service.port)
    protocol = TransportProtocol[name.upper()]
    return FlowTuple(source.packed, destination.packed, protocol, ports)


def _address(request: web.Request, name: str) -> SocketAddress:
    text = _parameter(request, name, "IP:PORT")
    try:
        address = SocketAddress.parse(text)
    except ValueError:
        raise BadParameterError(name, "IP:PORT") from None
    if not 0 < address.port <= MAXIMUM_PORT:
        raise BadParameterError(name, f"a port from 1 to {MAXIMUM_PORT}")
    return address


def _parameter(request: web.Request, name: str, expected: str) -> str:
    value = request.query.get(name, "")
    if not value:
        raise BadParameterError(name, expected)
    return value


def _revision(request: web.Request) -> int:
    expected = "a revision of the store, a number from 1"
    text = _parameter(request, "revision", expected)
    if not text.isascii() or not text.isdigit() or not int(text):
        raise BadParameterError("revision", expected)
    return int(text)


def _error_response(status: HttpStatus, detail: str) -> web.Response:
    return web.json_response({"error": detail}, status=status)
