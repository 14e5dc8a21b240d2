"""The commands for short requests."""

from time import time_ns
from typing import Annotated

from typer import Argument, Context, FileText, Option, Typer

from hornbeamfold.cli.output import emit, examples
from hornbeamfold.cli.session import change, fail, read, session_of
from hornbeamfold.model.errors import ErrorKind, Refused
from hornbeamfold.model.status import RequestAnswer
from hornbeamfold.model.work import Request
from hornbeamfold.rpc import client

DEFAULT_DEADLINE_S = 30.0
# The answer to a request may arrive right at its deadline.
DEADLINE_MARGIN_MS = 2_000

request_app = Typer(no_args_is_help=True, help="Send short requests and read their answers.")

Organisation = Annotated[str, Argument(help="The organisation.", show_default=False)]
RequestId = Annotated[str, Argument(help="The id that the caller chose.", show_default=False)]


@request_app.command(
    "submit",
    epilog=examples(
        "hornbeamfold request submit rampes q-17 quote --body 'stairs, 4 m'",
        "hornbeamfold request submit rampes r-9 render --body-file scene.txt --idempotent --urgent",
        "hornbeamfold request submit rampes q-17 quote --body 'stairs, 4 m' --attempt 2",
    ),
)
def submit(
    ctx: Context,
    organisation: Organisation,
    request_id: RequestId,
    kind: Annotated[str, Argument(help='For instance "quote".', show_default=False)],
    body: Annotated[str | None, Option(help="The body of the request.")] = None,
    body_file: Annotated[
        FileText | None, Option(help="A file with the body; - is the standard input.")
    ] = None,
    idempotent: Annotated[
        bool, Option("--idempotent", help="It may run more than once without harm.")
    ] = False,
    urgent: Annotated[bool, Option("--urgent", help="Somebody waits for it.")] = False,
    deadline: Annotated[
        float, Option(min=0.001, max=3_600, help="Seconds within which the answer is of use.")
    ] = DEFAULT_DEADLINE_S,
    attempt: Annotated[
        int, Option(min=1, help="1 for the first try, larger for a retry of the same id.")
    ] = 1,
) -> None:
    """Run a request and print its answer.

    A request that is not idempotent runs at most once. After "may have run", ask for the answer
    first; to send it again, use the same id and a larger --attempt.
    """
    session = session_of(ctx)
    if body is not None and body_file is not None:
        fail(session, Refused(ErrorKind.INVALID, "--body and --body-file exclude each other"))
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
            ErrorKind.OUTCOME_UNKNOWN: "Ask for its answer before sending anything: "
            f"hornbeamfold request answer {organisation} {request_id} --wait 30"
        },
        default_ms=wait_ms + DEADLINE_MARGIN_MS,
    )
    emit(session, answer, [answer.answer])


@request_app.command(
    "answer",
    epilog=examples(
        "hornbeamfold request answer rampes q-17",
        "hornbeamfold request answer rampes q-17 --wait 10",
    ),
)
def answer(
    ctx: Context,
    organisation: Organisation,
    request_id: RequestId,
    wait: Annotated[float, Option(min=0, max=60, help="Seconds to wait for the answer.")] = 0.0,
) -> None:
    """Print the answer to an earlier request."""
    session = session_of(ctx)
    wait_ms = round(wait * 1_000)

    async def call(address: str, timeout_ms: int) -> RequestAnswer | Refused:
        bound_ms = max(timeout_ms, wait_ms + DEADLINE_MARGIN_MS)
        return await client.get_answer(address, organisation, request_id, wait_ms, bound_ms)

    found = read(session, call)
    running = f"{organisation}/{request_id} is running; ask again with --wait 10."
    emit(session, found, [running if found.state == "running" else found.answer])


@request_app.command("cancel", epilog=examples("hornbeamfold request cancel rampes r-9"))
def cancel(ctx: Context, organisation: Organisation, request_id: RequestId) -> None:
    """Cancel a request that was not given to a worker yet."""
    session = session_of(ctx)
    ask = f"Ask for its answer: hornbeamfold request answer {organisation} {request_id}"
    change(
        session,
        lambda address, timeout_ms: client.cancel(address, organisation, request_id, timeout_ms),
        {ErrorKind.CONFLICT: ask, ErrorKind.OUTCOME_UNKNOWN: ask},
    )
    emit(session, {"state": "cancelled"}, [f"{organisation}/{request_id} is cancelled; not run."])
