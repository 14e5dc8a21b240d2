"""The commands for workers and targets."""

from typing import Annotated

from typer import Argument, Context, FileText, Option, Typer

from hornbeamfold.cli.configuration import (
    change_hints,
    emit_change,
    find_by_name,
    read_configuration,
)
from hornbeamfold.cli.output import emit, format_examples, format_table
from hornbeamfold.cli.session import Session, change, exit_with_error, get_session
from hornbeamfold.cli.worker_file import read_worker_file
from hornbeamfold.model.errors import Refused
from hornbeamfold.rpc import client

HINTS = change_hints("hornbeamfold target list")

target_app = Typer(no_args_is_help=True, help="Drain targets and put them back in service.")
workers_app = Typer(no_args_is_help=True, help="Change the set of workers.")

NameArgument = Annotated[str, Argument(help="Name of the worker.", show_default=False)]
VersionOption = Annotated[
    int | None,
    Option(min=0, help="Expected version of the worker set; by default, it is read first."),
]


@target_app.command("drain", epilog=format_examples("hornbeamfold target drain depot-7"))
def drain(ctx: Context, name: NameArgument, version: VersionOption = None) -> None:
    """Stop sending new work to a target; 5 s after the reply, no task starts there any more."""
    _set_drain(get_session(ctx), name, version, True)


@target_app.command("undrain", epilog=format_examples("hornbeamfold target undrain depot-7"))
def undrain(ctx: Context, name: NameArgument, version: VersionOption = None) -> None:
    """Send work to a target again."""
    _set_drain(get_session(ctx), name, version, False)


@target_app.command("list", epilog=format_examples("hornbeamfold target list"))
def list_targets(ctx: Context) -> None:
    """List the targets with their location and state."""
    session = get_session(ctx)
    configuration = read_configuration(session)
    rows: list[tuple[object, ...]] = []
    for worker in configuration.workers:
        state = "draining" if worker.name in configuration.draining else "in service"
        location = (worker.availability_zone, worker.rack, worker.position)
        rows.append((worker.name, worker.address, *location, worker.accelerators, state))
    value = {
        "workers": configuration.workers,
        "draining": configuration.draining,
        "version": configuration.workers_version,
    }
    titles = ("name", "address", "zone", "rack", "position", "accelerators", "state")
    emit(session, value, format_table(titles, rows))


@workers_app.command(
    "put",
    epilog=format_examples(
        "hornbeamfold workers put workers.yaml",
        "hornbeamfold workers put - --version 4 < workers.yaml",
        "# workers.yaml:",
        "  workers:",
        "    - {name: depot-7, address: '127.0.0.1:9007', availability_zone: sousse, rack: r1,",
        "       position: 6, processors: 64, memory_gb: 256, accelerators: 8, slots: 8,",
        "       connections: 64}",
        "  removed: [depot-3]",
    ),
)
def put(
    ctx: Context,
    file: Annotated[FileText, Argument(help="YAML file; - is standard input.")],
    version: VersionOption = None,
) -> None:
    """Add, replace and remove the workers named in a YAML file; others are unchanged."""
    session = get_session(ctx)
    requested = read_worker_file(file.read())
    if isinstance(requested, Refused):
        exit_with_error(session, requested)
    current_version = read_configuration(session).workers_version if version is None else version
    accepted = change(
        session,
        lambda address, timeout_ms: client.put_workers(
            address, requested.workers, requested.removed, current_version, timeout_ms
        ),
        HINTS,
    )
    counts = f"{len(requested.workers)} workers set and {len(requested.removed)} removed"
    emit_change(session, accepted, f"{counts}, in force")


def _set_drain(session: Session, name: str, version: int | None, draining: bool) -> None:
    current_version = version
    if current_version is None:
        configuration = read_configuration(session)
        find_by_name(session, "target", name, configuration.workers)
        current_version = configuration.workers_version
    expected_version: int = current_version
    accepted = change(
        session,
        lambda address, timeout_ms: client.drain_target(
            address, name, draining, expected_version, timeout_ms
        ),
        HINTS,
    )
    state = "gets no new work" if draining else "gets work again"
    emit_change(session, accepted, f"Target {name} {state}")
