"""The configuration in force, and the commands that show the system."""

from collections.abc import Sequence
from typing import Protocol, TypeVar

from typer import Context, Typer

from hornbeamfold.cli.jobs import describe_members, members_fields
from hornbeamfold.cli.output import emit, examples, table
from hornbeamfold.cli.session import NO_HINTS, Hints, Session, fail, read, session_of
from hornbeamfold.model.errors import ErrorKind, Refused
from hornbeamfold.model.status import Change, Configuration
from hornbeamfold.rpc import client

configuration_app = Typer(no_args_is_help=True, help="The configuration in force.")


class Named(Protocol):
    """A part of the configuration that has a name."""

    @property
    def name(self) -> str:
        """The name."""


Part = TypeVar("Part", bound=Named)


def current(session: Session) -> Configuration:
    """Return the configuration in force."""
    return read(session, client.get_configuration)


def find(session: Session, what: str, name: str, parts: Sequence[Part], hint: str = "") -> Part:
    """Return the part with that name; end the command if there is none."""
    for part in parts:
        if part.name == name:
            return part
    known = ", ".join(part.name for part in parts) or "none"
    hints = {ErrorKind.NOT_FOUND: hint} if hint else NO_HINTS
    fail(session, Refused(ErrorKind.NOT_FOUND, f"no {what} {name}; known: {known}"), hints)


def change_hints(look: str) -> Hints:
    """Return what to do when a change was not accepted, or perhaps was."""
    return {
        ErrorKind.CONFLICT: f"Another operator was first. Look at it and decide again: {look}",
        ErrorKind.OUTCOME_UNKNOWN: f"Look whether it is in force before anything else: {look}",
    }


def emit_change(session: Session, change: Change, text: str) -> None:
    """Say that a change was accepted and how to see that it is in force."""
    where = f"(version {change.version}, offset {change.offset})"
    lines = [f"{text} everywhere within 5 s {where}."]
    lines.append("See which instance has it: hornbeamfold configuration show")
    emit(session, change, lines)


@configuration_app.command("show", epilog=examples("hornbeamfold configuration show"))
def show(ctx: Context) -> None:
    """Print the configuration and which instance has which offset of it."""
    session = session_of(ctx)
    configuration = current(session)
    out = [zone.name for zone in configuration.zones if not zone.in_service]
    lines = [
        f"offset              {configuration.offset}",
        f"organisations       {len(configuration.organisations)}",
        f"availability zones  {len(configuration.zones)}, out: {', '.join(out) or 'none'}",
        f"workers             {len(configuration.workers)} "
        f"(version {configuration.workers_version}), "
        f"draining: {', '.join(sorted(configuration.draining)) or 'none'}",
    ]
    if configuration.guarantees_suspended:
        lines.append("Some guarantees are suspended: the zones in service cannot hold them all.")
    rows: list[tuple[object, ...]] = []
    for name, offset in sorted(configuration.instances.items()):
        rows.append((name, offset, "yes" if offset >= configuration.offset else "not yet"))
    emit(session, configuration, [*lines, *table(("instance", "offset", "in force"), rows)])


def placements(ctx: Context) -> None:
    """Print where active jobs are and what is free."""
    session = session_of(ctx)
    found = read(session, client.list_placements)
    rows: list[tuple[object, ...]] = []
    plain: list[dict[str, object]] = []
    for job in found.jobs:
        rows.append((*job.key, job.state, describe_members(job)))
        organisation, job_id = job.key
        members = members_fields(job)
        plain.append(
            {"organisation": organisation, "job_id": job_id, "state": job.state, "members": members}
        )
    free = f"{found.free_accelerators} accelerators free, {found.largest_free_run} of them adjacent"
    value = {
        "placements": plain,
        "free_accelerators": found.free_accelerators,
        "largest_free_run": found.largest_free_run,
        "offset": found.offset,
    }
    emit(session, value, [free, *table(("organisation", "job", "state", "members"), rows)])


def instances(ctx: Context) -> None:
    """Print the entry instances as the one that answers sees them."""
    session = session_of(ctx)
    found = read(session, client.list_instances)
    rows: list[tuple[object, ...]] = []
    for one in found:
        log = f"confirmed {one.confirmed_age_ms} ms ago" if one.log_reachable else "unreachable"
        place = (one.name, one.address, one.availability_zone, one.state)
        rows.append((*place, one.log_offset, one.configuration_offset, log))
    titles = ("name", "address", "zone", "state", "offset", "configuration", "log")
    emit(session, found, table(titles, rows))
