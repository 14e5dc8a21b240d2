"""The commands for workers and targets."""

from typing import Annotated

from typer import Argument, Context, FileText, Option, Typer

from hornbeamfold.cli.configuration import change_hints, current, emit_change, find
from hornbeamfold.cli.output import emit, examples, table
from hornbeamfold.cli.session import Session, change, fail, session_of
from hornbeamfold.cli.worker_file import read_worker_file
from hornbeamfold.model.errors import Refused
from hornbeamfold.rpc import client

HINTS = change_hints("hornbeamfold target list")

target_app = Typer(no_args_is_help=True, help="Drain targets and bring them back.")
workers_app = Typer(no_args_is_help=True, help="The set of workers.")

Name = Annotated[str, Argument(help="The worker.", show_default=False)]
Version = Annotated[
    int | None,
    Option(min=0, help="The version of the worker set; read first if left out."),
]


@target_app.command("drain", epilog=examples("hornbeamfold target drain depot-7"))
def drain(ctx: Context, name: Name, version: Version = None) -> None:
    """Give a target no new work; no task starts there 5 s after this."""
    _set_drain(session_of(ctx), name, version, True)


@target_app.command("undrain", epilog=examples("hornbeamfold target undrain depot-7"))
def undrain(ctx: Context, name: Name, version: Version = None) -> None:
    """Give a target work again."""
    _set_drain(session_of(ctx), name, version, False)


@target_app.command("list", epilog=examples("hornbeamfold target list"))
def list_targets(ctx: Context) -> None:
    """List the targets."""
    session = session_of(ctx)
    configuration = current(session)
    rows: list[tuple[object, ...]] = []
    for worker in configuration.workers:
        state = "draining" if worker.name in configuration.draining else "in service"
        place = (worker.availability_zone, worker.rack, worker.position)
        rows.append((worker.name, worker.address, *place, worker.accelerators, state))
    value = {
        "workers": configuration.workers,
        "draining": configuration.draining,
        "version": configuration.workers_version,
    }
    titles = ("name", "address", "zone", "rack", "position", "accelerators", "state")
    emit(session, value, table(titles, rows))


@workers_app.command(
    "put",
    epilog=examples(
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
    file: Annotated[FileText, Argument(help="A YAML file; - is the standard input.")],
    version: Version = None,
) -> None:
    """Add, replace and remove workers as a YAML file says; others stay as they are."""
    session = session_of(ctx)
    wanted = read_worker_file(file.read())
    if isinstance(wanted, Refused):
        fail(session, wanted)
    expected = current(session).workers_version if version is None else version
    done = change(
        session,
        lambda address, timeout_ms: client.put_workers(
            address, wanted.workers, wanted.removed, expected, timeout_ms
        ),
        HINTS,
    )
    counts = f"{len(wanted.workers)} workers set and {len(wanted.removed)} removed"
    emit_change(session, done, f"{counts}, in force")


def _set_drain(session: Session, name: str, version: int | None, draining: bool) -> None:
    expected = version
    if expected is None:
        configuration = current(session)
        find(session, "target", name, configuration.workers)
        expected = configuration.workers_version
    known: int = expected
    done = change(
        session,
        lambda address, timeout_ms: client.drain_target(address, name, draining, known, timeout_ms),
        HINTS,
    )
    state = "gets no new work" if draining else "gets work again"
    emit_change(session, done, f"Target {name} {state}")
