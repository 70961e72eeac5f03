"""Builds and runs one balancer from its settings: sockets, core, store, checks, admin and signals.

SIGTERM and SIGINT request a planned stop (exit status 0 once it is complete); a second one stops
the node at once (1). SIGHUP reloads the fleet's key files. runtime/faults.py describes which
exceptions end the process.
"""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Callable
from contextlib import AsyncExitStack
from pathlib import Path
from random import SystemRandom

import structlog

from beamloom.model.addresses import SocketAddress
from beamloom.model.machines import NodeId
from beamloom.node.core import NodeCore
from beamloom.node.options import NodeOptions
from beamloom.object_api.adapter import StoreAdapter
from beamloom.object_api.client import PlatformClient
from beamloom.object_api.options import PlatformOptions, TlsFiles
from beamloom.object_api.retry import Retrier
from beamloom.protocol.events import StopRequested
from beamloom.runtime.admin import AdminServer
from beamloom.runtime.balancer import BalancerProcess
from beamloom.runtime.datagrams import DatagramSocket
from beamloom.runtime.errors import AddressUnavailableError, StopTimeoutError
from beamloom.runtime.health_checks import HealthChecks
from beamloom.runtime.machine_list import MachineList
from beamloom.runtime.machine_sockets import MachineSockets
from beamloom.runtime.node_metrics import NodeMetrics
from beamloom.runtime.readiness import Readiness, readiness_of
from beamloom.runtime.secrets import (
    NodeSecrets,
    admin_tls_context,
    read_fleet_keys,
    read_secrets,
)
from beamloom.runtime.signal_mask import block_signals, unblock_signals
from beamloom.settings.node_file import NodeSettings
from beamloom.units import MILLISECONDS

STOP_MARGIN_SECONDS = 5.0
LEAVE_REPORT_TIMEOUT_SECONDS = 2.0


def new_node_id(configured: str, start_milliseconds: int) -> NodeId:
    """Return the node ID of one start: the configured ID and the time of the start.

    It must differ for each start. Peers keep a replay window and the left or dead state by node ID.
    A restarted node counts sequence numbers from one; under its old ID its messages would be
    rejected as replays and it would be considered dead.
    """
    return NodeId(f"{configured}-{start_milliseconds:x}")


class NodeProcess:
    """One balancer: `start` it, then `run` it until it stops; `async with` starts and closes it.

    Relative paths in the settings are relative to `folder`. `start` raises AddressUnavailableError,
    AdminTlsError, TlsConfigurationError, or an ExceptionGroup of SecretFileErrors. An unavailable
    platform is no error: the node waits for it, and `/readyz` returns the reason.
    """

    def __init__(
        self, settings: NodeSettings, folder: Path, start_milliseconds: int | None = None
    ) -> None:
        milliseconds = (
            int(time.time() * MILLISECONDS) if start_milliseconds is None else start_milliseconds
        )
        self.node_id = new_node_id(settings.node.id, milliseconds)
        self.admin_address = settings.node.admin_address
        self._settings = settings
        self._folder = folder
        self._stack = AsyncExitStack()
        self._stop_requested = asyncio.Event()
        self._stop_now = asyncio.Event()
        self._log = structlog.get_logger().bind(node=self.node_id)

    async def __aenter__(self) -> NodeProcess:
        """Start the node."""
        await self.start()
        return self

    async def __aexit__(self, *exception: object) -> None:
        """Close the node."""
        await self.close()

    async def start(self) -> None:
        """Read the secrets, bind every address and start the core."""
        secrets = read_secrets(self._settings, self._folder)
        tls = admin_tls_context(self._settings.admin, self._folder)
        async with AsyncExitStack() as stack:
            sockets = bind_sockets(self._settings, stack)
            self.balancer = BalancerProcess(self._make_core(sockets, secrets), sockets)
            stack.callback(self.balancer.close)
            await self._start_adapters(stack, secrets)
            self.metrics = NodeMetrics(self.balancer)
            self.admin = AdminServer(
                self.balancer, self.readiness, self.metrics.read, secrets.admin_token, tls
            )
            stack.push_async_callback(self.admin.close)
            self.metrics.extra = {
                "backend_checks": self.checks.counters,
                "machine_list": self.machines.counters,
                "admin_requests": self.admin.counters,
            }
            self.admin_address = await self._listen_admin()
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(self.balancer.faults.handle_loop_exception)
            stack.callback(loop.set_exception_handler, None)
            self.balancer.start()
            self._stack = stack.pop_all()
        self._log_state_change("new", "started", f"admin API on {self.admin_address}")

    async def close(self) -> None:
        """Close all sockets, tasks and connections without a planned stop."""
        await self._stack.aclose()

    def readiness(self) -> Readiness:
        """Return whether the node accepts packets now, and otherwise the reason."""
        return readiness_of(self.balancer, self.machines)

    def request_stop(self) -> None:
        """Request a planned stop; a second request stops the node at once."""
        if self._stop_requested.is_set():
            self._stop_now.set()
        self._stop_requested.set()

    def reload_keys(self) -> None:
        """Reload the fleet's key files; if one is invalid, log it and keep the old keys."""
        try:
            keys = read_fleet_keys(self._settings, self._folder)
        except ExceptionGroup as group:
            reason = "; ".join(str(fault) for fault in group.exceptions)
            self._log.warning("key_files_refused", subject="fleet keys", reason=reason)
            return
        self.balancer.core.channel.replace_keys(keys)
        self._log.info("key_files_read", subject="fleet keys", keys=len(keys.keys))

    async def run(self) -> int:
        """Run until the node has stopped; return the process's exit status.

        0 after a complete planned stop, 1 if it was cut short. Raises BrokenComponentError and
        StopTimeoutError.
        """
        machine_list_task = asyncio.create_task(self.machines.run())
        try:
            await self._wait_for_end(machine_list_task)
            return await self._shut_down()
        finally:
            machine_list_task.cancel()
            await asyncio.gather(machine_list_task, return_exceptions=True)

    async def _wait_for_end(self, machine_list_task: asyncio.Task[None]) -> None:
        """Return when a stop is requested or the core stops; raise if the machine list failed."""
        stop = asyncio.create_task(self._stop_requested.wait())
        core_stopped = asyncio.create_task(self.balancer.stopped.wait())
        tasks: set[asyncio.Task[object]] = {stop, core_stopped, machine_list_task}
        done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in (stop, core_stopped):
            task.cancel()
        if machine_list_task in done:
            error = machine_list_task.exception()
            if isinstance(error, Exception):
                raise self.balancer.faults.record_broken(error)

    async def _shut_down(self) -> int:
        """Perform a planned stop, which a second request cuts short; raise if the core failed."""
        if self.balancer.failure is not None:
            raise self.balancer.failure
        self._log_state_change("running", "stopping", "a planned stop was requested")
        stop_now = asyncio.create_task(self._stop_now.wait())
        planned = asyncio.create_task(self._perform_planned_stop())
        done, _ = await asyncio.wait({stop_now, planned}, return_when=asyncio.FIRST_COMPLETED)
        for task in (stop_now, planned):
            task.cancel()
        await asyncio.gather(stop_now, planned, return_exceptions=True)
        complete = planned in done and planned.result()
        self._log_state_change("stopping", "stopped", "complete" if complete else "cut short")
        return 0 if complete else 1

    async def _perform_planned_stop(self) -> bool:
        timeout = self._settings.node.stop_timeout_seconds + STOP_MARGIN_SECONDS
        try:
            async with asyncio.timeout(timeout):
                await self._report_leaving()
                self.balancer.deliver(StopRequested())
                await self.balancer.stopped.wait()
        except TimeoutError:
            raise StopTimeoutError(timeout) from None
        if self.balancer.failure is not None:
            raise self.balancer.failure
        return self.balancer.stop_complete

    async def _report_leaving(self) -> None:
        try:
            async with asyncio.timeout(LEAVE_REPORT_TIMEOUT_SECONDS):
                await self.machines.leave()
        except TimeoutError:
            self.machines.counters["leave_failed"] += 1

    def _make_core(self, sockets: MachineSockets, secrets: NodeSecrets) -> NodeCore:
        settings = self._settings
        options = NodeOptions(
            machine=sockets.machine(self.node_id, settings.machine.zone),
            seeds=settings.fleet.seeds,
            fleet_keys=secrets.fleet_keys,
            hash_key=secrets.hash_key,
            gateways=settings.fabric.gateways,
            seed=SystemRandom().getrandbits(64),
            control_bytes_per_second=settings.fleet.control_budget_bytes_per_second,
            stop_timeout=settings.node.stop_timeout_seconds,
        )
        return NodeCore(options, asyncio.get_running_loop().time())

    async def _start_adapters(self, stack: AsyncExitStack, secrets: NodeSecrets) -> None:
        options = self._platform_options(secrets)
        client = PlatformClient(options, Retrier(options.retry, SystemRandom()))
        await client.start()
        stack.push_async_callback(client.close)
        balancer = self.balancer
        store = StoreAdapter(client, balancer.deliver)
        stack.push_async_callback(store.close)
        self.checks = HealthChecks(balancer.deliver)
        stack.push_async_callback(self.checks.close)
        balancer.extra_handlers += [store.execute, self.checks.execute]
        self.machines = MachineList(client, balancer.core.options.machine, balancer.deliver)

    def _platform_options(self, secrets: NodeSecrets) -> PlatformOptions:
        platform = self._settings.platform
        authority = platform.certificate_authority_file
        return PlatformOptions(
            platform.url,
            secrets.platform_token,
            platform.request_timeout_seconds,
            tls=None if authority is None else TlsFiles(authority=self._folder / authority),
        )

    async def _listen_admin(self) -> SocketAddress:
        address = self._settings.node.admin_address
        try:
            return await self.admin.start(address)
        except OSError as error:
            raise AddressUnavailableError("node.admin_address", address, error) from error

    def _log_state_change(self, before: str, after: str, reason: str) -> None:
        self._log.info("state_changed", subject="node", before=before, after=after, reason=reason)


def bind_sockets(settings: NodeSettings, stack: AsyncExitStack) -> MachineSockets:
    """Bind the three UDP sockets; raises AddressUnavailableError."""
    opened: list[DatagramSocket] = []
    for name in ("data_address", "peer_address", "control_address"):
        address = getattr(settings.node, name)
        try:
            datagram_socket = DatagramSocket(address)
        except OSError as error:
            raise AddressUnavailableError(f"node.{name}", address, error) from error
        stack.callback(datagram_socket.close)
        opened.append(datagram_socket)
    return MachineSockets(*opened)


def handle_signals(process: NodeProcess) -> Callable[[], None]:
    """Install the signal handlers of a node; return a function that removes them."""
    loop = asyncio.get_running_loop()
    handlers = {
        signal.SIGTERM: process.request_stop,
        signal.SIGINT: process.request_stop,
        signal.SIGHUP: process.reload_keys,
    }
    for number, handler in handlers.items():
        loop.add_signal_handler(number, handler)
    unblock_signals()

    def restore() -> None:
        block_signals()
        for number in handlers:
            loop.remove_signal_handler(number)

    return restore
