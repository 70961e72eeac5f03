"""`beamloom status` and `beamloom explain`: a node's state, and the reasons for it."""

from __future__ import annotations

from typing import Annotated, Any

from cyclopts import App, Parameter

from beamloom.cli.admin_access import AdminAccess, make_admin_client
from beamloom.cli.exit_status import ExitStatus
from beamloom.cli.flags import AddressText
from beamloom.cli.output import FormatFlag, OutputFormat, write_json, write_rows

Answer = dict[str, Any]
COLUMNS = ("name", "value")

explain_app = App(name="explain", help="Explain the state of a flow, backend or setting.")


def register(app: App) -> None:
    """Add the commands."""
    app.command(status)
    app.command(explain_app)


async def status(
    *,
    revision: Annotated[int | None, Parameter(help="Also show where it is in force.")] = None,
    access: AdminAccess | None = None,
    output_format: FormatFlag = OutputFormat.TABLE,
) -> ExitStatus:
    """Show a node: its state, members, configuration, control traffic and problems.

    Exit status: 1 when the node is not ready, or --revision is not in force everywhere.
    """
    client = make_admin_client(access)
    answer = await client.get("/v1/status")
    succeeded = bool(answer["ready"])
    if revision is not None:
        in_force = await client.get("/v1/in-force", {"revision": str(revision)})
        answer["in_force"] = in_force
        succeeded = succeeded and bool(in_force["everywhere"])
    _write(answer, output_format)
    return ExitStatus.SUCCESS if succeeded else ExitStatus.FAILED


@explain_app.command
async def flow(
    client: Annotated[AddressText, Parameter(help="The client's IP:PORT.")],
    service: Annotated[AddressText, Parameter(help="The service's virtual IP:PORT.")],
    /,
    *,
    protocol: Annotated[str, Parameter(help="tcp or udp.")] = "tcp",
    access: AdminAccess | None = None,
    output_format: FormatFlag = OutputFormat.TABLE,
) -> None:
    """Show the backend that this node knows for a flow, the reason, and which node decides it."""
    parameters = {"client": client, "service": service, "protocol": protocol}
    answer = await make_admin_client(access).get("/v1/explain/flow", parameters)
    _write(answer, output_format)


@explain_app.command
async def backend(
    name: Annotated[str, Parameter(help="TENANT/SERVICE/BACKEND.")],
    /,
    *,
    access: AdminAccess | None = None,
    output_format: FormatFlag = OutputFormat.TABLE,
) -> None:
    """Show whether a backend gets new flows, and why."""
    answer = await make_admin_client(access).get("/v1/explain/backend", {"name": name})
    _write(answer, output_format)


@explain_app.command
async def setting(
    name: Annotated[str, Parameter(help="The setting's name.")],
    /,
    *,
    at: Annotated[str, Parameter(help="global, tenant/T or tenant/T/service/S.")] = "global",
    access: AdminAccess | None = None,
    output_format: FormatFlag = OutputFormat.TABLE,
) -> None:
    """Show a setting's value at a scope, its origin, and the nodes where it is not in force."""
    client = make_admin_client(access)
    answer = await client.get("/v1/explain/setting", {"name": name, "at": at})
    if answer["since_revision"]:
        parameters = {"revision": str(answer["since_revision"])}
        answer["not_in_force"] = (await client.get("/v1/in-force", parameters))["not_in_force"]
    _write(answer, output_format)


def _write(answer: Answer, output_format: OutputFormat) -> None:
    if output_format is OutputFormat.JSON:
        write_json(answer)
        return
    rows = [{"name": name, "value": value} for name, value in _flatten(answer)]
    write_rows(COLUMNS, rows, output_format)


def _flatten(answer: Answer, prefix: str = "") -> list[tuple[str, object]]:
    """Return dotted names and their values; entries of a list of objects are numbered from 1."""
    rows: list[tuple[str, object]] = []
    for name, value in answer.items():
        if isinstance(value, dict):
            rows += _flatten(value, f"{prefix}{name}.")
        elif isinstance(value, list) and value and isinstance(value[0], dict):
            for number, entry in enumerate(value, 1):
                rows += _flatten(entry, f"{prefix}{name}.{number}.")
        elif isinstance(value, list):
            rows.append((prefix + name, ", ".join(map(str, value))))
        else:
            rows.append((prefix + name, value))
    return rows
