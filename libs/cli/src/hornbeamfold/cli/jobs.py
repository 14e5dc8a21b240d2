"""The commands for gang jobs."""

import asyncio
from typing import Annotated, Any, Literal

from typer import Argument, Context, Exit, FileText, Option, Typer

from hornbeamfold.cli.output import (
    emit,
    format_examples,
    format_indices,
    format_shape,
    format_table,
)
from hornbeamfold.cli.session import (
    NO_ADDRESS,
    Session,
    change,
    exit_with_error,
    get_session,
    may_retry_read,
    read,
)
from hornbeamfold.model.errors import ERROR_RESPONSES, ErrorKind, Refused
from hornbeamfold.model.status import JobStatus
from hornbeamfold.model.topology import Shape, Span
from hornbeamfold.model.work import ENDED_JOBS, Job, JobSpec, JobState, StopReason
from hornbeamfold.rpc import client

# Following a job has no time limit, but gRPC needs a timeout.
FOLLOW_TIMEOUT_MS = 30 * 24 * 3_600_000
EXIT_CODES = {
    JobState.FAILED: ERROR_RESPONSES[ErrorKind.FAILED].exit_code,
    JobState.CANCELLED: ERROR_RESPONSES[ErrorKind.CANCELLED].exit_code,
}

job_app = Typer(no_args_is_help=True, help="Submit and follow gang jobs.")

OrganisationArgument = Annotated[str, Argument(help="The organisation.", show_default=False)]
JobIdArgument = Annotated[
    str, Argument(help="Id chosen by the caller, unique in the organisation.", show_default=False)
]


@job_app.command(
    "submit",
    epilog=format_examples(
        "hornbeamfold job submit highwater proof-3 proof --accelerators 8 --minutes 90",
        "hornbeamfold job submit highwater proof-4 proof --accelerators 16 --processors 32 \\",
        "    --memory-gb 128 --span zone --minutes 240 --checkpointable --body-file proof.txt",
        "hornbeamfold job follow highwater proof-3",
    ),
)
def submit(
    ctx: Context,
    organisation: OrganisationArgument,
    job_id: JobIdArgument,
    kind: Annotated[str, Argument(help='Kind of job, for example "proof".', show_default=False)],
    minutes: Annotated[float, Option(min=0.001, help="Expected run time in minutes.")],
    accelerators: Annotated[
        int, Option(min=0, max=1_024, help="Number of adjacent accelerators.")
    ] = 1,
    processors: Annotated[int, Option(min=0, help="Total processor cores.")] = 1,
    memory_gb: Annotated[int, Option(min=0, help="Total memory in GB.")] = 1,
    span: Annotated[
        Literal["worker", "rack", "zone", "region"],
        Option(help="Widest topology level over which the job may be spread."),
    ] = "rack",
    body: Annotated[str | None, Option(help="Body of the job.")] = None,
    body_file: Annotated[
        FileText | None, Option(help="File with the body; - is standard input.")
    ] = None,
    urgent: Annotated[bool, Option("--urgent", help="A person is waiting for it.")] = False,
    checkpointable: Annotated[
        bool, Option("--checkpointable", help="The job can be stopped and resumed elsewhere.")
    ] = False,
) -> None:
    """Add a job to the queue; submitting the same job again with the same id has no effect."""
    session = get_session(ctx)
    if body is not None and body_file is not None:
        exit_with_error(
            session, Refused(ErrorKind.INVALID, "--body and --body-file are mutually exclusive")
        )
    text = body_file.read() if body_file is not None else body or ""
    shape = Shape(accelerators, processors, memory_gb, Span[span.upper()])
    declared_ms = max(1, round(minutes * 60_000))
    spec = JobSpec(organisation, job_id, kind, text, shape, declared_ms, urgent, checkpointable)
    status = change(
        session,
        lambda address, timeout_ms: client.submit_job(address, spec, timeout_ms),
        {
            ErrorKind.OUTCOME_UNKNOWN: "Check whether it exists, or submit the same job again: "
            f"hornbeamfold job show {organisation} {job_id}"
        },
    )
    follow_hint = f"Follow the job: hornbeamfold job follow {organisation} {job_id}"
    emit(session, job_to_json(status), [format_job(status), follow_hint])


@job_app.command("show", epilog=format_examples("hornbeamfold job show highwater proof-3"))
def show(ctx: Context, organisation: OrganisationArgument, job_id: JobIdArgument) -> None:
    """Print the state of a job."""
    session = get_session(ctx)
    status = read(
        session,
        lambda address, timeout_ms: client.get_job(address, organisation, job_id, timeout_ms),
    )
    emit(session, job_to_json(status), [format_job(status), *_format_details(status)])


@job_app.command("cancel", epilog=format_examples("hornbeamfold job cancel highwater proof-3"))
def cancel(ctx: Context, organisation: OrganisationArgument, job_id: JobIdArgument) -> None:
    """Request the cancellation of a job."""
    session = get_session(ctx)
    status = change(
        session,
        lambda address, timeout_ms: client.cancel_job(address, organisation, job_id, timeout_ms),
    )
    follow_hint = (
        f"Follow the job until it has ended: hornbeamfold job follow {organisation} {job_id}"
    )
    emit(session, job_to_json(status), [format_job(status), follow_hint])


@job_app.command(
    "list",
    epilog=format_examples(
        "hornbeamfold job list", "hornbeamfold job list --organisation highwater --state queued"
    ),
)
def list_jobs(
    ctx: Context,
    organisation: Annotated[str, Option(help="List only the jobs of this organisation.")] = "",
    state: Annotated[
        str, Option(help="List only the jobs in this state, for example queued.")
    ] = "",
) -> None:
    """List jobs; queued jobs are in queue order."""
    session = get_session(ctx)
    jobs = read(
        session,
        lambda address, timeout_ms: client.list_jobs(address, organisation, state, timeout_ms),
    )
    rows: list[tuple[object, ...]] = []
    for status in jobs.jobs:
        job = status.job
        rows.append((*job.key, job.state, job.attempt, job.spec.shape.accelerators, job.infeasible))
    titles = ("organisation", "job", "state", "attempt", "accelerators", "infeasible")
    value = {"jobs": [job_to_json(status) for status in jobs.jobs], "offset": jobs.offset}
    emit(session, value, format_table(titles, rows))


@job_app.command(
    "follow",
    epilog=format_examples(
        "hornbeamfold job follow highwater proof-3",
        "hornbeamfold --output json job follow highwater proof-3",
    ),
)
def follow(ctx: Context, organisation: OrganisationArgument, job_id: JobIdArgument) -> None:
    """Print the current state of a job and then each change until it has ended.

    The exit code is 0 if it finished, 9 if it failed and 8 if it was cancelled.
    """
    session = get_session(ctx)
    refused = NO_ADDRESS
    for address in session.addresses:
        outcome = asyncio.run(_follow(session, address, organisation, job_id))
        if isinstance(outcome, JobState):
            raise Exit(EXIT_CODES.get(outcome, 0))
        refused = outcome
        if refused.kind is ErrorKind.DEADLINE_PASSED or not may_retry_read(refused):
            break
    exit_with_error(session, refused)


async def _follow(
    session: Session, address: str, organisation: str, job_id: str
) -> JobState | Refused:
    """Print each status; return the final state, or why the stream failed."""
    timeout_ms = session.timeout_or(FOLLOW_TIMEOUT_MS)
    state = JobState.QUEUED
    async for status in client.follow_job(address, organisation, job_id, timeout_ms):
        if isinstance(status, Refused):
            return status
        state = status.job.state
        emit(session, job_to_json(status), [format_job(status), *_format_details(status)])
    if state not in ENDED_JOBS:
        return Refused(ErrorKind.UNREACHABLE, f"{address} ended the stream before the job ended")
    return state


def job_to_json(status: JobStatus) -> dict[str, Any]:
    """Return the fields of a job for the JSON output."""
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
        "members": members_to_json(job),
        "stop_reason": job.stop_reason,
        "infeasible": job.infeasible,
        "detail": job.detail,
        "submitted_ms": job.submitted_ms,
        "running_ms": job.running_ms,
        "entitled": status.entitled,
        "offset": status.offset,
    }


def members_to_json(job: Job) -> list[dict[str, Any]]:
    """Return the members of a job for the JSON output."""
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


def format_members(job: Job) -> str:
    """Return the workers and accelerators of the members of a job, for example "w1[0-7]"."""
    members: list[str] = []
    for status in job.members:
        indices = format_indices(status.member.accelerators)
        members.append(f"{status.member.worker}[{indices}]")
    return " ".join(members)


def format_job(status: JobStatus) -> str:
    """Return a summary of the state of a job on one line."""
    job = status.job
    columns = [f"{job.spec.organisation}/{job.spec.job_id}", job.state.value]
    columns.append(f"attempt {job.attempt}")
    if status.entitled:
        columns.append("entitled")
    if job.stop_reason is not StopReason.NONE:
        columns.append(f"reason {job.stop_reason.value}")
    if job.members:
        columns.append(f"on {format_members(job)}")
    return "  ".join(columns)


def _format_details(status: JobStatus) -> list[str]:
    job = status.job
    lines = [f"  {format_shape(job.spec.shape)}"]
    if job.infeasible:
        lines.append(f"  Infeasible: {job.infeasible}. Request a smaller shape or a wider span.")
    if job.detail:
        lines.append(f"  {job.detail}")
    return lines
