"""The commands for availability zones."""

from typing import Annotated

from typer import Argument, Context, Option, Typer

from hornbeamfold.cli.configuration import (
    change_hints,
    emit_change,
    find_by_name,
    read_configuration,
)
from hornbeamfold.cli.output import emit, format_examples, format_table
from hornbeamfold.cli.session import Session, change, get_session
from hornbeamfold.model.topology import AvailabilityZone
from hornbeamfold.rpc import client

HINTS = change_hints("hornbeamfold zone list")

zone_app = Typer(no_args_is_help=True, help="Take availability zones out of service and back in.")

NameArgument = Annotated[str, Argument(help="Name of the availability zone.", show_default=False)]
RegionOption = Annotated[
    str | None, Option(help="Region of the zone; required for a new zone and with --version.")
]
VersionOption = Annotated[
    int | None,
    Option(min=0, help="Expected current version; by default, the version is read first."),
]


@zone_app.command(
    "out",
    epilog=format_examples(
        "hornbeamfold zone out sousse",
        "hornbeamfold zone out sousse --version 3 --region sahel-east",
    ),
)
def out(
    ctx: Context, name: NameArgument, region: RegionOption = None, version: VersionOption = None
) -> None:
    """Take an availability zone out of service.

    5 s after the reply, no task starts there any more. Its jobs are checkpointed, stopped and
    queued again.
    """
    session = get_session(ctx)
    zone = _requested_zone(session, name, region, version, in_service=False)
    _set_zone(session, zone, f"Availability zone {name} is out of service")


@zone_app.command(
    "in",
    epilog=format_examples(
        "hornbeamfold zone in sousse",
        "hornbeamfold zone in sfax --region sahel-south",
    ),
)
def bring_in(
    ctx: Context, name: NameArgument, region: RegionOption = None, version: VersionOption = None
) -> None:
    """Put an availability zone back in service, or add a new one with --region."""
    session = get_session(ctx)
    zone = _requested_zone(session, name, region, version, in_service=True)
    _set_zone(session, zone, f"Availability zone {name} is in service")


@zone_app.command("list", epilog=format_examples("hornbeamfold zone list"))
def list_zones(ctx: Context) -> None:
    """List the availability zones."""
    session = get_session(ctx)
    zones = read_configuration(session).zones
    rows: list[tuple[object, ...]] = []
    for zone in zones:
        rows.append((zone.name, zone.region, "in" if zone.in_service else "out", zone.version))
    emit(session, zones, format_table(("name", "region", "service", "version"), rows))


def _requested_zone(
    session: Session, name: str, region: str | None, version: int | None, in_service: bool
) -> AvailabilityZone:
    """Return the zone to set; values that were not given are read from the current zone."""
    if version is not None and region is not None:
        return AvailabilityZone(name, region, in_service, version)
    zones = read_configuration(session).zones
    exists = any(zone.name == name for zone in zones)
    if not exists and region is not None:
        return AvailabilityZone(name, region, in_service, version or 0)
    zone = find_by_name(session, "zone", name, zones, "To add a new zone, give --region.")
    expected = zone.version if version is None else version
    return AvailabilityZone(name, region or zone.region, in_service, expected)


def _set_zone(session: Session, zone: AvailabilityZone, text: str) -> None:
    accepted = change(
        session,
        lambda address, timeout_ms: client.set_zone(address, zone, timeout_ms),
        HINTS,
    )
    emit_change(session, accepted, text)
