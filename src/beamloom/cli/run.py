"""`beamloom run`: run one balancer or one stand-in in this process."""

from __future__ import annotations

import asyncio
import math
import random
import signal
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Annotated

from cyclopts import App, Parameter

from beamloom.cli.errors import UsageError
from beamloom.cli.flags import (
    AddressText,
    VirtualAddressText,
    parse_address,
    parse_virtual_address,
)
from beamloom.cli.output import write_json, write_line
from beamloom.cli.token_files import read_token
from beamloom.model.addresses import TransportProtocol
from beamloom.runtime.node_process import NodeProcess, handle_signals
from beamloom.settings.deployment import load_deployment
from beamloom.settings.node_file import load_node_settings
from beamloom.standins.backend_model import BackendModel, BackendOptions
from beamloom.standins.backend_process import BackendProcess
from beamloom.standins.client_process import ClientProcess
from beamloom.standins.client_stream import StreamFlow, StreamOptions
from beamloom.standins.fabric_model import FabricModel
from beamloom.standins.fabric_process import FabricProcess
from beamloom.standins.platform_server import PlatformServer
from beamloom.standins.platform_store import PlatformStore
from beamloom.telemetry.logs import configure_logs

ANY_ADDRESS = "127.0.0.1:0"
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
CLIENT_CLOSE_TIMEOUT_SECONDS = 5.0
POLL_INTERVAL_SECONDS = 0.02

run_app = App(name="run", help="Run a balancer, or one of the stand-ins, until SIGTERM or SIGINT.")


def register(app: App) -> None:
    """Add the group of commands."""
    app.command(run_app)


@run_app.command
async def balancer(
    *, settings: Annotated[Path, Parameter(help="The node's settings file (TOML).")]
) -> int:
    """Run one balancer from its settings file.

    SIGTERM or SIGINT starts a planned stop (exit status 0); a second one stops at once (1).
    SIGHUP reloads the fleet's key files.
    """
    node_settings = load_node_settings(settings)
    limit = configure_logs(node_settings.log.format)
    async with NodeProcess(node_settings, settings.parent) as process:
        process.metrics.extra["log_lines"] = limit.counters
        restore = handle_signals(process)
        try:
            return await process.run()
        finally:
            restore()


@run_app.command
async def platform(
    *,
    token_file: Annotated[Path, Parameter(help="File with the token that requests must carry.")],
    address: Annotated[AddressText, Parameter(help="Address to listen on (HTTP).")] = ANY_ADDRESS,
    deployment: Annotated[
        Path | None, Parameter(help="Deployment file with the initial objects.")
    ] = None,
) -> None:
    """Run the platform's stand-in: object API, watches and machine list, in memory."""
    store = PlatformStore(random.Random())
    if deployment is not None:
        for key, value in load_deployment(deployment).to_objects():
            store.write(key, value, 0)
    server = PlatformServer(store, read_token(token_file), parse_address(address))
    async with stop_signal() as stop:
        try:
            _announce(f"platform listens on http://{await server.start()}")
            await stop.wait()
        finally:
            await server.stop()


@run_app.command
async def backend(
    name: Annotated[str, Parameter(help="TENANT/SERVICE/BACKEND, sent in answers.")],
    /,
    *,
    service: Annotated[
        VirtualAddressText, Parameter(help="Virtual address that it serves: tcp://IP:PORT.")
    ],
    address: Annotated[
        AddressText, Parameter(help="Address for packets from balancers (UDP).")
    ] = ANY_ADDRESS,
    health: Annotated[
        AddressText, Parameter(help="Address of health, faults and drain (HTTP).")
    ] = ANY_ADDRESS,
    balancers: Annotated[
        tuple[AddressText, ...],
        Parameter(negative="", help="Send answers to these, chosen at random."),
    ] = (),
    cold_seconds: Annotated[
        float, Parameter(help="Seconds of slow answers after its start.")
    ] = 0.0,
) -> None:
    """Run a stand-in backend; SIGTERM drains it, then it exits once idle or on a second signal."""
    rng = random.Random()
    started_at = asyncio.get_running_loop().time()
    options = BackendOptions(cold_seconds=cold_seconds)
    model = BackendModel(name, parse_virtual_address(service), rng, started_at, options)
    process = BackendProcess(model, rng, [parse_address(text) for text in balancers])
    async with stop_signal() as stop:
        await process.start(parse_address(address), parse_address(health))
        try:
            _announce(
                f"backend {name} listens on {process.data_address}, health on "
                f"http://{process.health_address}/health"
            )
            await stop.wait()
            model.drain()
            stop.clear()
            await _wait_first(process.wait_idle(), stop.wait())
        finally:
            await process.stop()


@run_app.command
async def fabric(
    *,
    balancers: Annotated[
        tuple[AddressText, ...],
        Parameter(negative="", help="Data addresses to spread packets over."),
    ] = (),
    client_address: Annotated[
        AddressText, Parameter(help="Address for packets from clients (UDP).")
    ] = ANY_ADDRESS,
    balancer_address: Annotated[
        AddressText, Parameter(help="Address for answers (UDP); balancers use it as a gateway.")
    ] = ANY_ADDRESS,
    admin_address: Annotated[
        AddressText, Parameter(help="Address of GET and PUT /balancers (HTTP).")
    ] = ANY_ADDRESS,
) -> None:
    """Run the network fabric's stand-in."""
    balancer_addresses = [parse_address(text) for text in balancers]
    process = FabricProcess(FabricModel(random.Random(), balancers=balancer_addresses))
    addresses = (parse_address(text) for text in (client_address, balancer_address, admin_address))
    async with stop_signal() as stop:
        await process.start(*addresses)
        try:
            _announce(
                f"fabric listens for clients on {process.client_address}, for balancers on "
                f"{process.balancer_address}, admin on http://{process.admin_address}/balancers"
            )
            await stop.wait()
        finally:
            await process.stop()


@run_app.command
async def client(
    *,
    fabric: Annotated[AddressText, Parameter(help="The fabric's client address.")],
    service: Annotated[VirtualAddressText, Parameter(help="tcp://IP:PORT of the service.")],
    local: Annotated[AddressText, Parameter(help="The client's own inner address.")],
    interval: Annotated[float, Parameter(help="Seconds between updates.")] = 1.0,
    updates: Annotated[
        int | None, Parameter(help="Exit after this many answered updates, or at SIGTERM.")
    ] = None,
) -> int:
    """Keep one stream open until SIGTERM, then print its outcome as JSON.

    Exit status: 1 when the stream broke or was not established.
    """
    target = parse_virtual_address(service)
    if target.protocol is not TransportProtocol.TCP:
        raise UsageError("A stream is TCP: give --service tcp://IP:PORT.")
    flow = StreamFlow(
        StreamOptions("stream", parse_address(local), target, interval), random.Random()
    )
    process = ClientProcess(parse_address(fabric))
    async with stop_signal() as stop:
        await process.open()
        try:
            process.start(flow)
            required_updates = math.inf if updates is None else updates
            await _wait_until(
                lambda: (
                    stop.is_set()
                    or bool(flow.truth.outcome)
                    or _count_answered_updates(flow) >= required_updates
                )
            )
            if flow.truth.outcome is None:
                process.close_stream(flow)
            async with asyncio.timeout(CLIENT_CLOSE_TIMEOUT_SECONDS):
                await _wait_until(lambda: not len(process.host))
        except TimeoutError:
            pass  # The outcome printed below shows that the stream was not closed.
        finally:
            process.close()
    truth = flow.truth
    write_json(
        {
            "outcome": None if truth.outcome is None else truth.outcome.value,
            "broken": truth.broken,
            "detail": truth.detail,
            "backends": truth.backends,
            "updates_sent": truth.updates_sent,
            "updates_answered": truth.updates_answered,
        }
    )
    return int(truth.broken or truth.established_at is None)


@asynccontextmanager
async def stop_signal() -> AsyncIterator[asyncio.Event]:
    """Yield an event that SIGTERM and SIGINT set."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, stop.set)
    try:
        yield stop
    finally:
        for number in STOP_SIGNALS:
            loop.remove_signal_handler(number)


def _announce(text: str) -> None:
    """Write a line and flush it, as the parent process may wait for it on a pipe."""
    write_line(text)
    sys.stdout.flush()


async def _wait_until(condition: Callable[[], bool]) -> None:
    """Poll until a condition holds."""
    while not condition():
        await asyncio.sleep(POLL_INTERVAL_SECONDS)


def _count_answered_updates(flow: StreamFlow) -> int:
    return flow.truth.updates_answered


async def _wait_first(*awaitables: Awaitable[object]) -> None:
    """Wait until the first awaitable is done, and cancel the rest."""
    tasks = [asyncio.ensure_future(awaitable) for awaitable in awaitables]
    await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
