"""The commands for gang jobs."""

import asyncio
from typing import Annotated, Any, Literal

from typer import Argument, Context, Exit, FileText, Option, Typer

from hornbeamfold.cli.output import describe_indices, describe_shape, emit, examples, table
from hornbeamfold.cli.session import (
    NO_ADDRESS,
    Session,
    change,
    fail,
    may_retry_read,
    read,
    session_of,
)
from hornbeamfold.model.errors import ERROR_RESPONSES, ErrorKind, Refused
from hornbeamfold.model.status import JobStatus
from hornbeamfold.model.topology import Shape, Span
from hornbeamfold.model.work import ENDED_JOBS, Job, JobSpec, JobState, StopReason
from hornbeamfold.rpc import client

# Following has no bound of its own; gRPC needs one.
FOLLOW_MS = 30 * 24 * 3_600_000
EXIT_CODES = {
    JobState.FAILED: ERROR_RESPONSES[ErrorKind.FAILED].exit_code,
    JobState.CANCELLED: ERROR_RESPONSES[ErrorKind.CANCELLED].exit_code,
}

job_app = Typer(no_args_is_help=True, help="Submit gang jobs and follow them.")

Organisation = Annotated[str, Argument(help="The organisation.", show_default=False)]
JobId = Annotated[str, Argument(help="The id that the caller chose.", show_default=False)]


@job_app.command(
    "submit",
    epilog=examples(
        "hornbeamfold job submit highwater proof-3 proof --accelerators 8 --minutes 90",
        "hornbeamfold job submit highwater proof-4 proof --accelerators 16 --processors 32 \\",
        "    --memory-gb 128 --span zone --minutes 240 --checkpointable --body-file proof.txt",
        "hornbeamfold job follow highwater proof-3",
    ),
)
def submit(
    ctx: Context,
    organisation: Organisation,
    job_id: JobId,
    kind: Annotated[str, Argument(help='For instance "proof".', show_default=False)],
    minutes: Annotated[float, Option(min=0.001, help="The run time that is expected.")],
    accelerators: Annotated[int, Option(min=0, max=1_024, help="Adjacent accelerators.")] = 1,
    processors: Annotated[int, Option(min=0, help="Processor cores in all.")] = 1,
    memory_gb: Annotated[int, Option(min=0, help="Memory in GB in all.")] = 1,
    span: Annotated[
        Literal["worker", "rack", "zone", "region"],
        Option(help="The widest distance over which it may be spread."),
    ] = "rack",
    body: Annotated[str | None, Option(help="The body of the job.")] = None,
    body_file: Annotated[
        FileText | None, Option(help="A file with the body; - is the standard input.")
    ] = None,
    urgent: Annotated[bool, Option("--urgent", help="Somebody waits for it.")] = False,
    checkpointable: Annotated[
        bool, Option("--checkpointable", help="It can be stopped and go on elsewhere.")
    ] = False,
) -> None:
    """Put a job into the queue; the same id with the same job is harmless."""
    session = session_of(ctx)
    if body is not None and body_file is not None:
        fail(session, Refused(ErrorKind.INVALID, "--body and --body-file exclude each other"))
    text = body_file.read() if body_file is not None else body or ""
    shape = Shape(accelerators, processors, memory_gb, Span[span.upper()])
    declared_ms = max(1, round(minutes * 60_000))
    spec = JobSpec(organisation, job_id, kind, text, shape, declared_ms, urgent, checkpointable)
    status = change(
        session,
        lambda address, timeout_ms: client.submit_job(address, spec, timeout_ms),
        {
            ErrorKind.OUTCOME_UNKNOWN: "Look for it, or submit the same job again: "
            f"hornbeamfold job show {organisation} {job_id}"
        },
    )
    follow = f"Follow it: hornbeamfold job follow {organisation} {job_id}"
    emit(session, job_fields(status), [describe_job(status), follow])


@job_app.command("show", epilog=examples("hornbeamfold job show highwater proof-3"))
def show(ctx: Context, organisation: Organisation, job_id: JobId) -> None:
    """Print the state of a job."""
    session = session_of(ctx)
    status = read(
        session,
        lambda address, timeout_ms: client.get_job(address, organisation, job_id, timeout_ms),
    )
    emit(session, job_fields(status), [describe_job(status), *_details(status)])


@job_app.command("cancel", epilog=examples("hornbeamfold job cancel highwater proof-3"))
def cancel(ctx: Context, organisation: Organisation, job_id: JobId) -> None:
    """Ask for the end of a job."""
    session = session_of(ctx)
    status = change(
        session,
        lambda address, timeout_ms: client.cancel_job(address, organisation, job_id, timeout_ms),
    )
    follow = f"See its end: hornbeamfold job follow {organisation} {job_id}"
    emit(session, job_fields(status), [describe_job(status), follow])


@job_app.command(
    "list",
    epilog=examples(
        "hornbeamfold job list", "hornbeamfold job list --organisation highwater --state queued"
    ),
)
def list_jobs(
    ctx: Context,
    organisation: Annotated[str, Option(help="Only this organisation.")] = "",
    state: Annotated[str, Option(help="Only this state, for instance queued.")] = "",
) -> None:
    """List jobs, the queued ones in the order of the queue."""
    session = session_of(ctx)
    jobs = read(
        session,
        lambda address, timeout_ms: client.list_jobs(address, organisation, state, timeout_ms),
    )
    rows: list[tuple[object, ...]] = []
    for status in jobs.jobs:
        job = status.job
        rows.append((*job.key, job.state, job.attempt, job.spec.shape.accelerators, job.infeasible))
    titles = ("organisation", "job", "state", "attempt", "accelerators", "infeasible")
    plain = {"jobs": [job_fields(status) for status in jobs.jobs], "offset": jobs.offset}
    emit(session, plain, table(titles, rows))


@job_app.command(
    "follow",
    epilog=examples(
        "hornbeamfold job follow highwater proof-3",
        "hornbeamfold --output json job follow highwater proof-3",
    ),
)
def follow(ctx: Context, organisation: Organisation, job_id: JobId) -> None:
    """Print the state of a job at once and after each change until it has ended.

    The exit code is 0 if it finished, 9 if it failed and 8 if it was cancelled.
    """
    session = session_of(ctx)
    refused = NO_ADDRESS
    for address in session.addresses:
        ended = asyncio.run(_follow(session, address, organisation, job_id))
        if isinstance(ended, JobState):
            raise Exit(EXIT_CODES.get(ended, 0))
        refused = ended
        if refused.kind is ErrorKind.DEADLINE_PASSED or not may_retry_read(refused):
            break
    fail(session, refused)


async def _follow(
    session: Session, address: str, organisation: str, job_id: str
) -> JobState | Refused:
    """Print each status; return the last state, or why the stream broke."""
    timeout_ms = session.timeout_or(FOLLOW_MS)
    state = JobState.QUEUED
    async for status in client.follow_job(address, organisation, job_id, timeout_ms):
        if isinstance(status, Refused):
            return status
        state = status.job.state
        emit(session, job_fields(status), [describe_job(status), *_details(status)])
    if state not in ENDED_JOBS:
        return Refused(ErrorKind.UNREACHABLE, f"{address} ended the stream before the job ended")
    return state


def job_fields(status: JobStatus) -> dict[str, Any]:
    """Return what a caller is shown of a job."""
    job = status.job
    return {
        "organisation": job.spec.organisation,
        "job_id": job.spec.job_id,
        "kind": job.spec.kind,
        "state": job.state,
        "urgent": job.spec.urgent,
        "checkpointable": job.spec.checkpointable,
        "shape": job.spec.shape,
        "declared_ms": job.spec.declared_ms,
        "attempt": job.attempt,
        "failures": job.failures,
        "members": members_fields(job),
        "stop_reason": job.stop_reason,
        "infeasible": job.infeasible,
        "detail": job.detail,
        "submitted_ms": job.submitted_ms,
        "running_ms": job.running_ms,
        "entitled": status.entitled,
        "offset": status.offset,
    }


def members_fields(job: Job) -> list[dict[str, Any]]:
    """Return what a caller is shown of the members of a job."""
    return [
        {
            "worker": status.member.worker,
            "accelerators": status.member.accelerators,
            "processors": status.member.processors,
            "memory_gb": status.member.memory_gb,
            "state": status.state,
        }
        for status in job.members
    ]


def describe_members(job: Job) -> str:
    """Return where the members of a job are, for instance "w1[0-7]"."""
    places: list[str] = []
    for status in job.members:
        indices = describe_indices(status.member.accelerators)
        places.append(f"{status.member.worker}[{indices}]")
    return " ".join(places)


def describe_job(status: JobStatus) -> str:
    """Return one line that says where a job is."""
    job = status.job
    words = [f"{job.spec.organisation}/{job.spec.job_id}", job.state.value]
    words.append(f"attempt {job.attempt}")
    if status.entitled:
        words.append("entitled")
    if job.stop_reason is not StopReason.NONE:
        words.append(f"reason {job.stop_reason.value}")
    if job.members:
        words.append(f"on {describe_members(job)}")
    return "  ".join(words)


def _details(status: JobStatus) -> list[str]:
    job = status.job
    lines = [f"  {describe_shape(job.spec.shape)}"]
    if job.infeasible:
        lines.append(f"  Infeasible: {job.infeasible}. Ask for a smaller shape or a wider span.")
    if job.detail:
        lines.append(f"  {job.detail}")
    return lines
