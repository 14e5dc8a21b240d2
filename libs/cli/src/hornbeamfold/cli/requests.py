"""The commands for short requests."""

from time import time_ns
from typing import Annotated

from typer import Argument, Context, FileText, Option, Typer

from hornbeamfold.cli.output import emit, format_examples
from hornbeamfold.cli.session import change, exit_with_error, get_session, read
from hornbeamfold.model.errors import ErrorKind, Refused
from hornbeamfold.model.status import RequestAnswer
from hornbeamfold.model.work import Request
from hornbeamfold.rpc import client

DEFAULT_DEADLINE_S = 30.0
# An answer may arrive just before the deadline of its request.
DEADLINE_MARGIN_MS = 2_000

request_app = Typer(no_args_is_help=True, help="Submit short requests and read their answers.")

OrganisationArgument = Annotated[str, Argument(help="The organisation.", show_default=False)]
RequestIdArgument = Annotated[
    str, Argument(help="Id chosen by the caller, unique in the organisation.", show_default=False)
]


@request_app.command(
    "submit",
    epilog=format_examples(
        "hornbeamfold request submit rampes q-17 quote --body 'stairs, 4 m'",
        "hornbeamfold request submit rampes r-9 render --body-file scene.txt --idempotent --urgent",
        "hornbeamfold request submit rampes q-17 quote --body 'stairs, 4 m' --attempt 2",
    ),
)
def submit(
    ctx: Context,
    organisation: OrganisationArgument,
    request_id: RequestIdArgument,
    kind: Annotated[
        str, Argument(help='Kind of request, for example "quote".', show_default=False)
    ],
    body: Annotated[str | None, Option(help="Body of the request.")] = None,
    body_file: Annotated[
        FileText | None, Option(help="File with the body; - is standard input.")
    ] = None,
    idempotent: Annotated[
        bool, Option("--idempotent", help="The request can safely run more than once.")
    ] = False,
    urgent: Annotated[bool, Option("--urgent", help="A person is waiting for it.")] = False,
    deadline: Annotated[
        float, Option(min=0.001, max=3_600, help="Seconds after which the answer is useless.")
    ] = DEFAULT_DEADLINE_S,
    attempt: Annotated[
        int, Option(min=1, help="1 for the first attempt, larger for a retry with the same id.")
    ] = 1,
) -> None:
    """Run a request and print its answer.

    A request that is not idempotent runs at most once. After an error that says that it may have
    run, ask for the answer first; to retry the request, use the same id and a larger --attempt.
    """
    session = get_session(ctx)
    if body is not None and body_file is not None:
        exit_with_error(
            session, Refused(ErrorKind.INVALID, "--body and --body-file are mutually exclusive")
        )
    text = body_file.read() if body_file is not None else body or ""
    wait_ms = round(deadline * 1_000)
    deadline_ms = time_ns() // 1_000_000 + wait_ms
    request = Request(
        organisation, request_id, kind, text, idempotent, urgent, deadline_ms, attempt
    )
    answer = change(
        session,
        lambda address, timeout_ms: client.submit(address, request, timeout_ms),
        {
            ErrorKind.OUTCOME_UNKNOWN: "Ask for its answer before you retry the request: "
            f"hornbeamfold request answer {organisation} {request_id} --wait 30"
        },
        default_timeout_ms=wait_ms + DEADLINE_MARGIN_MS,
    )
    emit(session, answer, [answer.answer])


@request_app.command(
    "answer",
    epilog=format_examples(
        "hornbeamfold request answer rampes q-17",
        "hornbeamfold request answer rampes q-17 --wait 10",
    ),
)
def answer(
    ctx: Context,
    organisation: OrganisationArgument,
    request_id: RequestIdArgument,
    wait: Annotated[float, Option(min=0, max=60, help="Seconds to wait for the answer.")] = 0.0,
) -> None:
    """Print the answer to an earlier request."""
    session = get_session(ctx)
    wait_ms = round(wait * 1_000)

    async def call(address: str, timeout_ms: int) -> RequestAnswer | Refused:
        call_timeout_ms = max(timeout_ms, wait_ms + DEADLINE_MARGIN_MS)
        return await client.get_answer(address, organisation, request_id, wait_ms, call_timeout_ms)

    result = read(session, call)
    running_message = f"{organisation}/{request_id} is running; ask again with --wait 10."
    emit(session, result, [running_message if result.state == "running" else result.answer])


@request_app.command("cancel", epilog=format_examples("hornbeamfold request cancel rampes r-9"))
def cancel(ctx: Context, organisation: OrganisationArgument, request_id: RequestIdArgument) -> None:
    """Cancel a request that has not been dispatched to a worker."""
    session = get_session(ctx)
    advice = f"Ask for its answer: hornbeamfold request answer {organisation} {request_id}"
    change(
        session,
        lambda address, timeout_ms: client.cancel(address, organisation, request_id, timeout_ms),
        {ErrorKind.CONFLICT: advice, ErrorKind.OUTCOME_UNKNOWN: advice},
    )
    emit(session, {"state": "cancelled"}, [f"{organisation}/{request_id} is cancelled; not run."])
