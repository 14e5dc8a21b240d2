"""The commands for availability zones."""

from typing import Annotated

from typer import Argument, Context, Option, Typer

from hornbeamfold.cli.configuration import change_hints, current, emit_change, find
from hornbeamfold.cli.output import emit, examples, table
from hornbeamfold.cli.session import Session, change, session_of
from hornbeamfold.model.topology import AvailabilityZone
from hornbeamfold.rpc import client

HINTS = change_hints("hornbeamfold zone list")

zone_app = Typer(no_args_is_help=True, help="Take availability zones out and bring them back.")

Name = Annotated[str, Argument(help="The availability zone.", show_default=False)]
Region = Annotated[
    str | None, Option(help="Its region; needed for a new zone and together with --version.")
]
Version = Annotated[
    int | None,
    Option(min=0, help="The version that was decided on; read first if left out."),
]


@zone_app.command(
    "out",
    epilog=examples(
        "hornbeamfold zone out sousse",
        "hornbeamfold zone out sousse --version 3 --region sahel-east",
    ),
)
def out(ctx: Context, name: Name, region: Region = None, version: Version = None) -> None:
    """Take an availability zone out of service.

    No task starts there 5 s after this; jobs there are checkpointed, stopped and queued again.
    """
    session = session_of(ctx)
    zone = _wanted(session, name, region, version, in_service=False)
    _set(session, zone, f"Availability zone {name} is out of service")


@zone_app.command(
    "in",
    epilog=examples(
        "hornbeamfold zone in sousse",
        "hornbeamfold zone in sfax --region sahel-south",
    ),
)
def bring_in(ctx: Context, name: Name, region: Region = None, version: Version = None) -> None:
    """Bring an availability zone back, or add a new one with --region."""
    session = session_of(ctx)
    zone = _wanted(session, name, region, version, in_service=True)
    _set(session, zone, f"Availability zone {name} is in service")


@zone_app.command("list", epilog=examples("hornbeamfold zone list"))
def list_zones(ctx: Context) -> None:
    """List the availability zones."""
    session = session_of(ctx)
    zones = current(session).zones
    rows: list[tuple[object, ...]] = []
    for zone in zones:
        rows.append((zone.name, zone.region, "in" if zone.in_service else "out", zone.version))
    emit(session, zones, table(("name", "region", "service", "version"), rows))


def _wanted(
    session: Session, name: str, region: str | None, version: int | None, in_service: bool
) -> AvailabilityZone:
    """Return the zone to set; what was not given is read from the present one."""
    if version is not None and region is not None:
        return AvailabilityZone(name, region, in_service, version)
    zones = current(session).zones
    known = any(zone.name == name for zone in zones)
    if not known and region is not None:
        return AvailabilityZone(name, region, in_service, version or 0)
    zone = find(session, "zone", name, zones, "For a new zone give --region.")
    expected = zone.version if version is None else version
    return AvailabilityZone(name, region or zone.region, in_service, expected)


def _set(session: Session, zone: AvailabilityZone, text: str) -> None:
    done = change(
        session,
        lambda address, timeout_ms: client.set_zone(address, zone, timeout_ms),
        HINTS,
    )
    emit_change(session, done, text)
