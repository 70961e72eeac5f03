"""`beamloom load`: generate one user's traffic for a running fleet."""

from __future__ import annotations

from typing import Annotated

from cyclopts import App, Parameter
from cyclopts.validators import Number

from beamloom.cli.errors import UsageError
from beamloom.cli.exit_status import ExitStatus
from beamloom.cli.flags import AddressText, parse_address, parse_virtual_address
from beamloom.cli.output import FormatFlag, OutputFormat, write_json, write_rows
from beamloom.demo.tenants import example_deployment
from beamloom.model.addresses import VirtualAddress
from beamloom.standins.client_model import Outcome
from beamloom.standins.load import LoadResult, run_load
from beamloom.standins.load_profiles import ProfileName

POSITIVE = Parameter(validator=Number(gt=0))
COLUMNS = ("measure", "value")


def register(app: App) -> None:
    """Add the commands."""
    app.command(load)


async def load(
    *,
    profile: Annotated[ProfileName, Parameter(help="The user whose mix of flows is generated.")],
    rate: Annotated[float, POSITIVE, Parameter(help="New flows per second.")],
    duration: Annotated[float, POSITIVE, Parameter(help="Seconds during which flows are opened.")],
    fabric: Annotated[AddressText, Parameter(help="The fabric's client address.")],
    service: Annotated[
        tuple[str, ...],
        Parameter(help="NAME=tcp://IP:PORT, if it differs from the example deployment."),
    ] = (),
    seed: Annotated[int, Parameter(help="Seed of the random flows.")] = 1,
    output_format: FormatFlag = OutputFormat.TABLE,
) -> ExitStatus:
    """Open flows as one user's clients do, and report their outcomes.

    Exit status: 1 when an established flow broke, or no flow was answered.
    """
    services = example_services(profile) | dict(map(_parse_service, service))
    result = await run_load(
        profile, rate, duration, fabric=parse_address(fabric), services=services, seed=seed
    )
    if output_format is OutputFormat.JSON:
        write_json(result.to_json())
    else:
        write_rows(COLUMNS, _load_rows(result), output_format)
    answered = result.outcomes[Outcome.ANSWERED.value]
    return ExitStatus.FAILED if result.broken_flows or not answered else ExitStatus.SUCCESS


def example_services(profile: ProfileName) -> dict[str, VirtualAddress]:
    """Return the virtual addresses of a user's example deployment, by service name."""
    return {
        service.name: service.virtual_address
        for tenant in example_deployment(profile).tenants
        for service in tenant.services
    }


def _parse_service(text: str) -> tuple[str, VirtualAddress]:
    name, separator, address = text.partition("=")
    try:
        if not separator or not name:
            raise ValueError(f"{text!r} is not a service: give NAME=tcp://IP:PORT")
        return name, parse_virtual_address(address)
    except ValueError as error:
        raise UsageError(f"--service: {error}.") from None


def _load_rows(result: LoadResult) -> list[dict[str, object]]:
    """Return the result as rows; nested values get dotted names."""
    rows: list[dict[str, object]] = []
    for name, value in result.to_json().items():
        nested = value.items() if isinstance(value, dict) else ()
        if not isinstance(value, dict):
            rows.append({"measure": name, "value": value})
        rows += [{"measure": f"{name}.{inner}", "value": part} for inner, part in nested]
    return rows
