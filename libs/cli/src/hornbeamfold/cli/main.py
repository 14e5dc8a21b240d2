"""The command-line program: its global options and its groups of commands."""

from typing import Annotated, Literal

from typer import Context, Option, Typer

from hornbeamfold.cli.configuration import configuration_app, instances, placements
from hornbeamfold.cli.explain import explain
from hornbeamfold.cli.jobs import job_app
from hornbeamfold.cli.organisations import organisation_app
from hornbeamfold.cli.output import format_examples
from hornbeamfold.cli.requests import request_app
from hornbeamfold.cli.session import DEFAULT_TIMEOUT_S, Session
from hornbeamfold.cli.workers import target_app, workers_app
from hornbeamfold.cli.zones import zone_app

app = Typer(
    no_args_is_help=True,
    rich_markup_mode=None,
    pretty_exceptions_enable=False,
    epilog=format_examples(
        "export HORNBEAMFOLD_ADDRESS='127.0.0.1:7001 127.0.0.1:7011'",
        "hornbeamfold request submit rampes q-17 quote --body 'stairs, 4 m'",
        "hornbeamfold job submit highwater proof-3 proof --accelerators 8 --minutes 90",
        "hornbeamfold zone out sousse",
        "hornbeamfold --output json configuration show",
    ),
)
app.add_typer(request_app, name="request")
app.add_typer(job_app, name="job")
app.add_typer(organisation_app, name="organisation")
app.add_typer(zone_app, name="zone")
app.add_typer(target_app, name="target")
app.add_typer(workers_app, name="workers")
app.add_typer(configuration_app, name="configuration")
app.command("placements", epilog=format_examples("hornbeamfold placements"))(placements)
app.command("instances", epilog=format_examples("hornbeamfold instances"))(instances)
app.command(
    "explain",
    epilog=format_examples("hornbeamfold explain 4d41419601fcd001 --logs a.log --logs b.log"),
)(explain)


@app.callback()
def common(
    ctx: Context,
    address: Annotated[
        list[str] | None,
        Option(
            help='"ip:port" of an entry instance; can be repeated. The next address is tried only '
            "if the call could not be sent or is a read.",
            envvar="HORNBEAMFOLD_ADDRESS",
        ),
    ] = None,
    output: Annotated[Literal["text", "json"], Option(help="Output format.")] = "text",
    timeout: Annotated[
        float | None,
        Option(
            min=0.001,
            help=f"Seconds to wait for a reply; {DEFAULT_TIMEOUT_S} by default. By default, a "
            "request waits until its deadline, and following a job has no time limit.",
        ),
    ] = None,
) -> None:
    """Send requests and jobs to hornbeamfold, and operate it.

    Exit codes: 0 success, 2 invalid, 3 not found, 4 deadline passed, 5 conflict or duplicate,
    6 infeasible, 7 not run and may be retried, 8 cancelled, 9 failed, 10 outcome unknown,
    11 unreachable, 12 internal error.
    """
    timeout_ms = None if timeout is None else max(1, round(timeout * 1_000))
    ctx.obj = Session(tuple(address or ()), output == "json", timeout_ms)


def main() -> None:
    """Run the command-line tool."""
    app(prog_name="hornbeamfold")
