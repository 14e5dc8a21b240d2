"""Conversion between messages and data classes for requests and jobs.

A `read_` function for the input of a call validates it and returns a `Refused` that names each
invalid field. One for a reply trusts the instance that sent it.
"""

from collections.abc import Iterable

from hornbeamfold.model.errors import Refused
from hornbeamfold.model.status import JobList, JobStatus, RequestAnswer
from hornbeamfold.model.timing import MAX_DEADLINE_MS
from hornbeamfold.model.topology import Member, Shape, Span
from hornbeamfold.model.work import (
    Job,
    JobSpec,
    JobState,
    MemberState,
    MemberStatus,
    Request,
    StopReason,
)
from hornbeamfold.rpc import v1_pb2
from hornbeamfold.rpc.fields import MAX_ACCELERATORS, MAX_QUANTITY, FieldErrors

MAX_WAIT_MS = 60_000
MAX_DECLARED_MS = 365 * 24 * 3_600_000
MAX_ATTEMPT = 1_000_000

Key = tuple[str, str]


def read_request(message: v1_pb2.SubmitRequest, now_ms: int) -> Request | Refused:
    """Read a request; its deadline must be at most one hour after `now_ms`."""
    errors = FieldErrors()
    request = Request(
        organisation=errors.name("organisation", message.organisation),
        request_id=errors.name("request_id", message.request_id),
        kind=errors.name("kind", message.kind),
        body=errors.body("body", message.body),
        idempotent=message.idempotent,
        urgent=message.urgent,
        deadline_ms=errors.integer("deadline_ms", message.deadline_ms, 1, now_ms + MAX_DEADLINE_MS),
        # A missing attempt is invalid: it may be a retry, for which "not run" could be wrong.
        attempt=errors.integer("attempt", message.attempt, 1, MAX_ATTEMPT),
    )
    return errors.to_refusal() or request


def write_request(request: Request) -> v1_pb2.SubmitRequest:
    """Write a request."""
    return v1_pb2.SubmitRequest(
        organisation=request.organisation,
        request_id=request.request_id,
        kind=request.kind,
        body=request.body,
        idempotent=request.idempotent,
        urgent=request.urgent,
        deadline_ms=request.deadline_ms,
        attempt=request.attempt,
    )


def read_request_key(
    message: v1_pb2.CancelRequest | v1_pb2.FindAnswerRequest,
) -> Key | Refused:
    """Read the key of a request."""
    errors = FieldErrors()
    key = (
        errors.name("organisation", message.organisation),
        errors.name("request_id", message.request_id),
    )
    return errors.to_refusal() or key


def read_answer_query(message: v1_pb2.GetAnswerRequest) -> tuple[str, str, int] | Refused:
    """Read the key of a request and how long to wait for its answer."""
    errors = FieldErrors()
    query = (
        errors.name("organisation", message.organisation),
        errors.name("request_id", message.request_id),
        errors.integer("wait_ms", message.wait_ms, 0, MAX_WAIT_MS),
    )
    return errors.to_refusal() or query


def write_request_answer(answer: RequestAnswer) -> v1_pb2.RequestAnswer:
    """Write the answer to a request."""
    return v1_pb2.RequestAnswer(
        organisation=answer.organisation,
        request_id=answer.request_id,
        answer=answer.answer,
        worker=answer.worker,
        state=answer.state,
        digest=answer.digest,
    )


def read_request_answer(message: v1_pb2.RequestAnswer) -> RequestAnswer:
    """Read the answer to a request."""
    return RequestAnswer(
        organisation=message.organisation,
        request_id=message.request_id,
        answer=message.answer,
        worker=message.worker,
        state=message.state,
        digest=message.digest,
    )


def read_shape(message: v1_pb2.Shape, path: str, errors: FieldErrors) -> Shape:
    """Read a shape and record its errors."""
    return Shape(
        accelerators=errors.integer(
            f"{path}.accelerators", message.accelerators, 0, MAX_ACCELERATORS
        ),
        processors=errors.integer(f"{path}.processors", message.processors, 0, MAX_QUANTITY),
        memory_gb=errors.integer(f"{path}.memory_gb", message.memory_gb, 0, MAX_QUANTITY),
        span=_read_span(message.span, f"{path}.span", errors),
    )


def write_shape(shape: Shape) -> v1_pb2.Shape:
    """Write a shape."""
    return v1_pb2.Shape(
        accelerators=shape.accelerators,
        processors=shape.processors,
        memory_gb=shape.memory_gb,
        span=f"SPAN_{shape.span.name}",
    )


def _read_span(value: int, path: str, errors: FieldErrors) -> Span:
    if value == v1_pb2.SPAN_UNSPECIFIED:
        return Span.RACK
    if not v1_pb2.SPAN_WORKER <= value <= v1_pb2.SPAN_REGION:
        errors.add(path, f"{value} is not a known span")
        return Span.RACK
    return Span(value - 1)


def read_job_spec(message: v1_pb2.JobSpec) -> JobSpec | Refused:
    """Read a job as submitted."""
    errors = FieldErrors()
    if not message.HasField("shape"):
        errors.add("shape", "is missing")
    spec = _read_spec(message, errors)
    return errors.to_refusal() or spec


def _read_spec(message: v1_pb2.JobSpec, errors: FieldErrors) -> JobSpec:
    return JobSpec(
        organisation=errors.name("organisation", message.organisation),
        job_id=errors.name("job_id", message.job_id),
        kind=errors.name("kind", message.kind),
        body=errors.body("body", message.body),
        shape=read_shape(message.shape, "shape", errors),
        declared_ms=errors.integer("declared_ms", message.declared_ms, 1, MAX_DECLARED_MS),
        urgent=message.urgent,
        checkpointable=message.checkpointable,
    )


def write_job_spec(spec: JobSpec) -> v1_pb2.JobSpec:
    """Write a job as submitted."""
    return v1_pb2.JobSpec(
        organisation=spec.organisation,
        job_id=spec.job_id,
        kind=spec.kind,
        body=spec.body,
        shape=write_shape(spec.shape),
        declared_ms=spec.declared_ms,
        urgent=spec.urgent,
        checkpointable=spec.checkpointable,
    )


def read_job_key(message: v1_pb2.JobRef) -> Key | Refused:
    """Read the key of a job."""
    errors = FieldErrors()
    key = (
        errors.name("organisation", message.organisation),
        errors.name("job_id", message.job_id),
    )
    return errors.to_refusal() or key


def read_job_filter(message: v1_pb2.ListJobsRequest) -> Key | Refused:
    """Read the organisation and the state to list; an empty string selects all."""
    errors = FieldErrors()
    organisation = errors.optional_name("organisation", message.organisation)
    states = [state.value for state in JobState]
    if message.state and message.state not in states:
        errors.add("state", f"must be empty or one of {', '.join(states)}, is {message.state!r}")
    return errors.to_refusal() or (organisation, message.state)


def write_members(members: Iterable[MemberStatus]) -> list[v1_pb2.Member]:
    """Write the members of a gang."""
    return [
        v1_pb2.Member(
            worker=status.member.worker,
            accelerators=status.member.accelerators,
            state=status.state.value,
            processors=status.member.processors,
            memory_gb=status.member.memory_gb,
        )
        for status in members
    ]


def read_members(messages: Iterable[v1_pb2.Member]) -> tuple[MemberStatus, ...]:
    """Read the members of a gang."""
    members: list[MemberStatus] = []
    for message in messages:
        accelerators = tuple(message.accelerators)
        member = Member(message.worker, accelerators, message.processors, message.memory_gb)
        members.append(MemberStatus(member, MemberState(message.state)))
    return tuple(members)


def write_job_status(status: JobStatus) -> v1_pb2.JobStatus:
    """Write the state of a job."""
    job = status.job
    return v1_pb2.JobStatus(
        spec=write_job_spec(job.spec),
        state=job.state.value,
        attempt=job.attempt,
        failures=job.failures,
        members=write_members(job.members),
        stop_reason=job.stop_reason.value,
        infeasible=job.infeasible,
        detail=job.detail,
        submitted_ms=job.submitted_ms,
        running_ms=job.running_ms,
        offset=status.offset,
        entitled=status.entitled,
    )


def read_job_status(message: v1_pb2.JobStatus) -> JobStatus:
    """Read the state of a job; fields that the schema lacks have their defaults."""
    job = Job(
        spec=_read_spec(message.spec, FieldErrors()),
        submitted_ms=message.submitted_ms,
        state=JobState(message.state),
        attempt=message.attempt,
        failures=message.failures,
        members=read_members(message.members),
        running_ms=message.running_ms,
        stop_reason=StopReason(message.stop_reason or StopReason.NONE),
        infeasible=message.infeasible,
        detail=message.detail,
    )
    return JobStatus(job, message.offset, message.entitled)


def write_job_list(jobs: JobList) -> v1_pb2.ListJobsReply:
    """Write a list of jobs."""
    return v1_pb2.ListJobsReply(
        jobs=[write_job_status(status) for status in jobs.jobs], offset=jobs.offset
    )


def read_job_list(message: v1_pb2.ListJobsReply) -> JobList:
    """Read a list of jobs."""
    return JobList(tuple(read_job_status(job) for job in message.jobs), message.offset)
