"""`beamloom tenant|service|backend`: operators' objects in the platform's store."""

from __future__ import annotations

from typing import Annotated

from cyclopts import App, Parameter

from beamloom.cli.admin_access import AdminAccess
from beamloom.cli.flags import AddressText, VirtualAddressText, parse_virtual_address
from beamloom.cli.object_operations import (
    create_object,
    delete_object,
    list_objects,
    object_key,
    report_accepted,
    show_object,
)
from beamloom.cli.output import FormatFlag, OutputFormat
from beamloom.cli.platform_access import PlatformAccess, open_platform
from beamloom.cli.waiting import WaitFlags, make_waiter
from beamloom.model.contracts import BackendAdministrativeState
from beamloom.settings.stored_objects import DEFAULT_WEIGHT, MAXIMUM_WEIGHT, ObjectKind

TenantName = Annotated[str, Parameter(help="The tenant's name.")]
ServiceName = Annotated[str, Parameter(help="TENANT/SERVICE.")]
BackendName = Annotated[str, Parameter(help="TENANT/SERVICE/BACKEND.")]

tenant_app = App(name="tenant", help="Tenants of the fleet.")
service_app = App(name="service", help="Services of tenants.")
backend_app = App(name="backend", help="Backends of services.")


def register(app: App) -> None:
    """Add the groups of commands."""
    for group in (tenant_app, service_app, backend_app):
        app.command(group)


@tenant_app.command(name="create")
async def create_tenant(
    name: TenantName,
    /,
    *,
    access: PlatformAccess | None = None,
    admin: AdminAccess | None = None,
    wait: WaitFlags | None = None,
) -> None:
    """Create a tenant."""
    await create_object(ObjectKind.TENANT, name, {}, access, make_waiter(admin, wait))


@service_app.command(name="create")
async def create_service(
    name: ServiceName,
    /,
    *,
    address: Annotated[VirtualAddressText, Parameter(help="tcp://IP:PORT or udp://IP:PORT.")],
    access: PlatformAccess | None = None,
    admin: AdminAccess | None = None,
    wait: WaitFlags | None = None,
) -> None:
    """Create a service; no other service may have its virtual IP, protocol and port."""
    virtual = parse_virtual_address(address)
    value = {"ip": virtual.ip, "protocol": virtual.protocol.name.lower(), "port": virtual.port}
    await create_object(ObjectKind.SERVICE, name, value, access, make_waiter(admin, wait))


@backend_app.command(name="create")
async def create_backend(
    name: BackendName,
    /,
    *,
    address: Annotated[AddressText, Parameter(help="Address for packets: IP:PORT (UDP).")],
    health: Annotated[AddressText, Parameter(help="The health endpoint: IP:PORT (HTTP).")],
    zone: Annotated[str, Parameter(help="The backend's zone.")],
    weight: Annotated[
        int, Parameter(help=f"Share of new flows, 0 to {MAXIMUM_WEIGHT}.")
    ] = DEFAULT_WEIGHT,
    access: PlatformAccess | None = None,
    admin: AdminAccess | None = None,
    wait: WaitFlags | None = None,
) -> None:
    """Create a backend in the active state, so that it gets new flows."""
    value = {"address": address, "health": health, "zone": zone, "weight": weight}
    value["state"] = BackendAdministrativeState.ACTIVE.value
    await create_object(ObjectKind.BACKEND, name, value, access, make_waiter(admin, wait))


@backend_app.command
async def drain(
    name: BackendName,
    /,
    *,
    undo: Annotated[bool, Parameter(negative="", help="Make it active again.")] = False,
    access: PlatformAccess | None = None,
    admin: AdminAccess | None = None,
    wait: WaitFlags | None = None,
) -> None:
    """Drain a backend: it gets no new flows, and its open flows continue until they end."""
    state = BackendAdministrativeState.ACTIVE if undo else BackendAdministrativeState.DRAINING
    key = object_key(ObjectKind.BACKEND, name)
    waiter = make_waiter(admin, wait)
    async with open_platform(access) as session:
        accepted = await session.writer.update_object(
            key, lambda value: {**value, "state": state.value}
        )
    await report_accepted(f"{key} is {state.value}", accepted, waiter)


@tenant_app.command(name="list")
async def list_tenants(
    *, access: PlatformAccess | None = None, output_format: FormatFlag = OutputFormat.TABLE
) -> None:
    """List the tenants."""
    await list_objects(ObjectKind.TENANT, "", access, output_format)


@service_app.command(name="list")
async def list_services(
    *,
    tenant: Annotated[str, Parameter(help="Only of this tenant.")] = "",
    access: PlatformAccess | None = None,
    output_format: FormatFlag = OutputFormat.TABLE,
) -> None:
    """List the services."""
    await list_objects(ObjectKind.SERVICE, tenant, access, output_format)


@backend_app.command(name="list")
async def list_backends(
    *,
    service: Annotated[str, Parameter(help="Only of this TENANT/SERVICE.")] = "",
    access: PlatformAccess | None = None,
    output_format: FormatFlag = OutputFormat.TABLE,
) -> None:
    """List the backends."""
    await list_objects(ObjectKind.BACKEND, service, access, output_format)


@tenant_app.command(name="show")
async def show_tenant(name: TenantName, /, *, access: PlatformAccess | None = None) -> None:
    """Show one tenant as JSON."""
    await show_object(ObjectKind.TENANT, name, access)


@service_app.command(name="show")
async def show_service(name: ServiceName, /, *, access: PlatformAccess | None = None) -> None:
    """Show one service as JSON."""
    await show_object(ObjectKind.SERVICE, name, access)


@backend_app.command(name="show")
async def show_backend(name: BackendName, /, *, access: PlatformAccess | None = None) -> None:
    """Show one backend as JSON."""
    await show_object(ObjectKind.BACKEND, name, access)


@tenant_app.command(name="delete")
async def delete_tenant(
    name: TenantName,
    /,
    *,
    access: PlatformAccess | None = None,
    admin: AdminAccess | None = None,
    wait: WaitFlags | None = None,
) -> None:
    """Delete a tenant that has no services."""
    await delete_object(ObjectKind.TENANT, name, access, make_waiter(admin, wait))


@service_app.command(name="delete")
async def delete_service(
    name: ServiceName,
    /,
    *,
    access: PlatformAccess | None = None,
    admin: AdminAccess | None = None,
    wait: WaitFlags | None = None,
) -> None:
    """Delete a service that has no backends."""
    await delete_object(ObjectKind.SERVICE, name, access, make_waiter(admin, wait))


@backend_app.command(name="delete")
async def delete_backend(
    name: BackendName,
    /,
    *,
    force: Annotated[
        bool,
        Parameter(negative="", help="Delete it also if it is not draining; its flows are cut."),
    ] = False,
    access: PlatformAccess | None = None,
    admin: AdminAccess | None = None,
    wait: WaitFlags | None = None,
) -> None:
    """Delete a backend; --force is needed unless it is draining."""
    await delete_object(ObjectKind.BACKEND, name, access, make_waiter(admin, wait), force)
