"""`beamloom bench`: benchmarks of the product on this machine."""

from __future__ import annotations

from dataclasses import asdict
from typing import Annotated

from cyclopts import App, Parameter
from cyclopts.validators import Number

from beamloom.bench.forwarding import MeasurementError, bench_forwarding
from beamloom.bench.scale import ScaleReport, bench_scale
from beamloom.bench.scale_options import ScaleOptions
from beamloom.bench.scale_report import RoleFigures
from beamloom.bench.token_path import measure_token_path
from beamloom.cli.errors import MeasurementFailedError
from beamloom.cli.exit_status import ExitStatus
from beamloom.cli.output import FormatFlag, OutputFormat, Row, write_json, write_rows

SHARE = Parameter(validator=Number(gte=0, lt=1))
POSITIVE = Parameter(validator=Number(gt=0))
NOT_NEGATIVE = Parameter(validator=Number(gte=0))
FORWARDING_COLUMNS = ("measure", "value")
COLUMNS = (
    "phase",
    "role",
    "nodes",
    "cpu % p50",
    "cpu % max",
    "sent B/s p50",
    "sent B/s max 10 s",
    "received B/s max 10 s",
    "in force p99 s",
)


def register(app: App) -> None:
    """Add the group of commands."""
    group = App(name="bench", help="Measure the product on this machine.")
    group.command(forwarding)
    group.command(scale)
    group.command(tokens)
    app.command(group)


def tokens(
    *,
    packets: Annotated[int, POSITIVE, Parameter(help="Packets per round.")] = 120_000,
    rounds: Annotated[int, POSITIVE, Parameter(help="Rounds; their median is reported.")] = 5,
    output_format: FormatFlag = OutputFormat.TABLE,
) -> None:
    """Measure the time per packet on the token path, with the event log off and on."""
    cost = measure_token_path(packets, rounds)
    rows: list[Row] = [
        {"measure": "microseconds a packet, log off", "value": round(cost.without_log, 3)},
        {"measure": "microseconds a packet, log on", "value": round(cost.with_log, 3)},
        {"measure": "share of the log", "value": round(cost.log_share, 4)},
    ]
    write_rows(FORWARDING_COLUMNS, rows, output_format)


async def forwarding(
    *,
    flows: Annotated[int, POSITIVE, Parameter(help="Open flows in the flow table.")] = 100_000,
    seconds: Annotated[float, POSITIVE, Parameter(help="Seconds to measure.")] = 5.0,
    output_format: FormatFlag = OutputFormat.TABLE,
) -> None:
    """Measure packets per second through one balancer, compared with a bare UDP relay."""
    try:
        report = await bench_forwarding(flows, seconds)
    except MeasurementError as error:
        raise MeasurementFailedError(str(error)) from error
    if output_format is OutputFormat.JSON:
        write_json(asdict(report))
        return
    rows = [{"measure": name, "value": value} for name, value in asdict(report).items()]
    write_rows(FORWARDING_COLUMNS, rows, output_format)


def scale(
    *,
    nodes: Annotated[int, Parameter(validator=Number(gte=3, lte=1000))] = 560,
    endpoints: Annotated[int, POSITIVE] = 4_400,
    services: Annotated[int, POSITIVE] = 360,
    flows_per_second: Annotated[float, POSITIVE] = 30_000.0,
    open_flows: Annotated[int, NOT_NEGATIVE] = 7_400_000,
    changes_per_day: Annotated[float, POSITIVE] = 1_400.0,
    regions: Annotated[int, POSITIVE] = 2,
    zones: Annotated[int, POSITIVE] = 5,
    loss: Annotated[float, SHARE] = 0.0,
    duration: Annotated[float, POSITIVE] = 30.0,
    warm_up: Annotated[float, POSITIVE] = 12.0,
    compression: Annotated[float, POSITIVE] = 40.0,
    never_repeat_share: Annotated[float, SHARE] = 0.1,
    long_flow_share: Annotated[float, SHARE] = 0.1,
    failures: bool = False,
    single_core: bool = True,
    seed: int = 1,
    output_format: FormatFlag = OutputFormat.TABLE,
) -> int:
    """Run a fleet of hollow nodes in this process and report the cost of control traffic by role.

    The nodes have complete decision cores on a simulated network; of the packets only those that a
    flow's home must process are simulated. Hundreds of nodes take minutes and gigabytes of memory.

    Parameters
    ----------
    nodes
        Number of nodes.
    endpoints
        Number of backends, assigned to the services in turn.
    services
        Number of services, two per tenant.
    flows_per_second
        New flows per second of the whole fleet.
    open_flows
        Flows of the whole fleet that are open from the start.
    changes_per_day
        Accepted configuration changes per day.
    regions
        Number of regions; the one-way delay between them is 40 ms.
    zones
        Number of zones; the one-way delay between zones of a region is 1.5 ms.
    loss
        Share of datagrams lost on every link.
    duration
        Virtual seconds of each phase.
    warm_up
        Virtual seconds before the first phase.
    compression
        Factor of the rate of changes in the second phase over the daily rate.
    never_repeat_share
        Share of services whose requests must not be repeated.
    long_flow_share
        Share of new flows that stay open beyond the run.
    failures
        Add a phase with crashes, replacements, the failure of a rack, a partition of two regions
        and the failure of a zone.
    single_core
        Also measure one core that shares no structures with others.
    seed
        Seed of all random draws.
    output_format
        A table, or JSON for programs.

    """
    report = bench_scale(
        ScaleOptions(
            nodes=nodes,
            endpoints=endpoints,
            services=services,
            flows_per_second=flows_per_second,
            open_flows=open_flows,
            changes_per_day=changes_per_day,
            regions=regions,
            zones=zones,
            loss=loss,
            duration=duration,
            warm_up=warm_up,
            compression=compression,
            never_repeat_share=never_repeat_share,
            long_flow_share=long_flow_share,
            failures=failures,
            seed=seed,
        ),
        with_single_core=single_core,
    )
    if output_format is OutputFormat.JSON:
        write_json(asdict(report))
    else:
        write_rows(COLUMNS, _rows(report), output_format)
    return ExitStatus.SUCCESS


def _rows(report: ScaleReport) -> list[Row]:
    rows: list[Row] = []
    for phase in report.phases:
        in_force = phase.in_force_seconds.p99 if phase.in_force_seconds else None
        rows.extend(_row(phase.phase, role, in_force) for role in phase.roles)
    return rows


def _row(phase: str, role: RoleFigures, in_force: float | None) -> Row:
    values = (
        phase,
        role.role,
        role.nodes,
        role.control_cpu_percent.p50,
        role.control_cpu_percent.max,
        role.sent_bytes_per_second.p50,
        role.largest_window_sent_bytes_per_second.max,
        role.largest_window_received_bytes_per_second.max,
        in_force,
    )
    return dict(zip(COLUMNS, values, strict=True))
