"""The commands that show the configuration and the state of the system."""

from collections.abc import Sequence
from typing import Protocol, TypeVar

from typer import Context, Typer

from hornbeamfold.cli.jobs import format_members, members_to_json
from hornbeamfold.cli.output import emit, format_examples, format_table
from hornbeamfold.cli.session import NO_HINTS, Hints, Session, exit_with_error, get_session, read
from hornbeamfold.model.errors import ErrorKind, Refused
from hornbeamfold.model.status import Change, Configuration
from hornbeamfold.rpc import client

configuration_app = Typer(no_args_is_help=True, help="The configuration in force.")


class Named(Protocol):
    """An item of the configuration that has a name."""

    @property
    def name(self) -> str:
        """The name, unique among the items of its kind."""


Item = TypeVar("Item", bound=Named)


def read_configuration(session: Session) -> Configuration:
    """Return the configuration in force."""
    return read(session, client.get_configuration)


def find_by_name(
    session: Session, kind: str, name: str, items: Sequence[Item], hint: str = ""
) -> Item:
    """Return the item with that name; exit with an error if there is none."""
    for item in items:
        if item.name == name:
            return item
    known = ", ".join(item.name for item in items) or "none"
    hints = {ErrorKind.NOT_FOUND: hint} if hint else NO_HINTS
    exit_with_error(
        session, Refused(ErrorKind.NOT_FOUND, f"no {kind} {name}; known: {known}"), hints
    )


def change_hints(show_command: str) -> Hints:
    """Return hints for a change that was rejected or whose outcome is unknown."""
    return {
        ErrorKind.CONFLICT: "Another operator changed it first. Review the current state, "
        f"then decide again: {show_command}",
        ErrorKind.OUTCOME_UNKNOWN: "Check whether the change is in force before you retry it: "
        f"{show_command}",
    }


def emit_change(session: Session, change: Change, text: str) -> None:
    """Print that a change was accepted and how to check that it is in force."""
    where = f"(version {change.version}, offset {change.offset})"
    lines = [f"{text} everywhere within 5 s {where}."]
    lines.append("Check which instances have it: hornbeamfold configuration show")
    emit(session, change, lines)


@configuration_app.command("show", epilog=format_examples("hornbeamfold configuration show"))
def show(ctx: Context) -> None:
    """Print a summary of the configuration and the offset in force on each instance."""
    session = get_session(ctx)
    configuration = read_configuration(session)
    zones_out = [zone.name for zone in configuration.zones if not zone.in_service]
    lines = [
        f"offset              {configuration.offset}",
        f"organisations       {len(configuration.organisations)}",
        f"availability zones  {len(configuration.zones)}, out: {', '.join(zones_out) or 'none'}",
        f"workers             {len(configuration.workers)} "
        f"(version {configuration.workers_version}), "
        f"draining: {', '.join(sorted(configuration.draining)) or 'none'}",
    ]
    if configuration.guarantees_suspended:
        lines.append(
            "Some guarantees are suspended: the zones in service lack the capacity for all."
        )
    rows: list[tuple[object, ...]] = []
    for name, offset in sorted(configuration.instances.items()):
        rows.append((name, offset, "yes" if offset >= configuration.offset else "not yet"))
    emit(session, configuration, [*lines, *format_table(("instance", "offset", "in force"), rows)])


def placements(ctx: Context) -> None:
    """Print the placements of active jobs and the free capacity."""
    session = get_session(ctx)
    result = read(session, client.list_placements)
    rows: list[tuple[object, ...]] = []
    job_values: list[dict[str, object]] = []
    for job in result.jobs:
        rows.append((*job.key, job.state, format_members(job)))
        organisation, job_id = job.key
        members = members_to_json(job)
        job_values.append(
            {"organisation": organisation, "job_id": job_id, "state": job.state, "members": members}
        )
    summary = (
        f"{result.free_accelerators} accelerators free, {result.largest_free_run} of them adjacent"
    )
    value = {
        "placements": job_values,
        "free_accelerators": result.free_accelerators,
        "largest_free_run": result.largest_free_run,
        "offset": result.offset,
    }
    emit(
        session, value, [summary, *format_table(("organisation", "job", "state", "members"), rows)]
    )


def instances(ctx: Context) -> None:
    """Print the entry instances as seen by the one that answers."""
    session = get_session(ctx)
    statuses = read(session, client.list_instances)
    rows: list[tuple[object, ...]] = []
    for status in statuses:
        log_state = (
            f"confirmed {status.confirmed_age_ms} ms ago" if status.log_reachable else "unreachable"
        )
        columns = (status.name, status.address, status.availability_zone, status.state)
        rows.append((*columns, status.log_offset, status.configuration_offset, log_state))
    titles = ("name", "address", "zone", "state", "offset", "configuration", "log")
    emit(session, statuses, format_table(titles, rows))
