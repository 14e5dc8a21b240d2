"""An asyncio client with one function for each call of callers and operators.

Outcomes are data classes or `Refused`. For a call that changes something, `UNREACHABLE` with
`NOT_RUN` means that it was not sent.
"""

from collections.abc import AsyncIterator, Callable
from typing import Any, TypeVar

from grpclib.client import Channel, ServiceMethod
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from hornbeamfold.model.errors import ErrorKind, ExecutionStatus, Refused
from hornbeamfold.model.status import (
    Change,
    Configuration,
    InstanceStatus,
    JobList,
    JobStatus,
    PlacementList,
    RequestAnswer,
)
from hornbeamfold.model.topology import AvailabilityZone, Organisation, Worker
from hornbeamfold.model.work import JobSpec, Request
from hornbeamfold.rpc import v1_pb2
from hornbeamfold.rpc.adapters import (
    read_job_list,
    read_job_status,
    read_request_answer,
    write_job_spec,
    write_request,
)
from hornbeamfold.rpc.addresses import split_address
from hornbeamfold.rpc.errors import refusal_from_error
from hornbeamfold.rpc.operator_adapters import (
    read_change,
    read_configuration,
    read_instances,
    read_placements,
    write_organisation,
    write_workers,
    write_zone,
)
from hornbeamfold.rpc.v1_grpc import JobsStub, OperatorsStub, RequestsStub

Result = TypeVar("Result")
MethodSelector = Callable[[Channel], ServiceMethod[Any, Any]]


async def submit(address: str, request: Request, timeout_ms: int) -> RequestAnswer | Refused:
    """Run a request and return its complete answer."""
    return await _change(
        address,
        lambda channel: RequestsStub(channel).Submit,
        write_request(request),
        read_request_answer,
        timeout_ms,
    )


async def get_answer(
    address: str, organisation: str, request_id: str, wait_ms: int, timeout_ms: int
) -> RequestAnswer | Refused:
    """Return the answer of an earlier request."""
    message = v1_pb2.GetAnswerRequest(
        organisation=organisation, request_id=request_id, wait_ms=wait_ms
    )
    return await _read(
        address,
        lambda channel: RequestsStub(channel).GetAnswer,
        message,
        read_request_answer,
        timeout_ms,
    )


async def cancel(
    address: str, organisation: str, request_id: str, timeout_ms: int
) -> Refused | None:
    """Cancel a request that has not been dispatched; return None on success."""
    message = v1_pb2.CancelRequest(organisation=organisation, request_id=request_id)
    return await _change(
        address, lambda channel: RequestsStub(channel).Cancel, message, lambda _: None, timeout_ms
    )


async def submit_job(address: str, spec: JobSpec, timeout_ms: int) -> JobStatus | Refused:
    """Add a job to the queue."""
    return await _change(
        address,
        lambda channel: JobsStub(channel).SubmitJob,
        write_job_spec(spec),
        read_job_status,
        timeout_ms,
    )


async def get_job(
    address: str, organisation: str, job_id: str, timeout_ms: int
) -> JobStatus | Refused:
    """Return the state of a job."""
    message = v1_pb2.JobRef(organisation=organisation, job_id=job_id)
    return await _read(
        address, lambda channel: JobsStub(channel).GetJob, message, read_job_status, timeout_ms
    )


async def cancel_job(
    address: str, organisation: str, job_id: str, timeout_ms: int
) -> JobStatus | Refused:
    """Request the cancellation of a job."""
    message = v1_pb2.JobRef(organisation=organisation, job_id=job_id)
    return await _change(
        address, lambda channel: JobsStub(channel).CancelJob, message, read_job_status, timeout_ms
    )


async def list_jobs(
    address: str, organisation: str, state: str, timeout_ms: int
) -> JobList | Refused:
    """List jobs, filtered by each argument that is not empty."""
    message = v1_pb2.ListJobsRequest(organisation=organisation, state=state)
    return await _read(
        address, lambda channel: JobsStub(channel).ListJobs, message, read_job_list, timeout_ms
    )


def follow_job(
    address: str, organisation: str, job_id: str, timeout_ms: int
) -> AsyncIterator[JobStatus | Refused]:
    """Yield the current status and then each change; a refusal can only be the last item."""
    message = v1_pb2.JobRef(organisation=organisation, job_id=job_id)
    return _call(
        address,
        lambda channel: JobsStub(channel).FollowJob,
        message,
        read_job_status,
        timeout_ms,
        True,
    )


async def put_organisation(
    address: str, organisation: Organisation, timeout_ms: int
) -> Change | Refused:
    """Create or update an organisation whose current version is the given one."""
    return await _change(
        address,
        lambda channel: OperatorsStub(channel).PutOrganisation,
        write_organisation(organisation),
        read_change,
        timeout_ms,
    )


async def remove_organisation(
    address: str, name: str, version: int, timeout_ms: int
) -> Change | Refused:
    """Remove an organisation."""
    return await _change(
        address,
        lambda channel: OperatorsStub(channel).RemoveOrganisation,
        v1_pb2.OrganisationRef(name=name, version=version),
        read_change,
        timeout_ms,
    )


async def set_zone(address: str, zone: AvailabilityZone, timeout_ms: int) -> Change | Refused:
    """Put an availability zone in or out of service if its version is the given one."""
    return await _change(
        address,
        lambda channel: OperatorsStub(channel).SetZone,
        write_zone(zone),
        read_change,
        timeout_ms,
    )


async def drain_target(
    address: str, worker: str, draining: bool, version: int, timeout_ms: int
) -> Change | Refused:
    """Start or end the drain of a worker."""
    return await _change(
        address,
        lambda channel: OperatorsStub(channel).DrainTarget,
        v1_pb2.DrainTargetRequest(worker=worker, draining=draining, version=version),
        read_change,
        timeout_ms,
    )


async def put_workers(
    address: str,
    workers: tuple[Worker, ...],
    removed: tuple[str, ...],
    version: int,
    timeout_ms: int,
) -> Change | Refused:
    """Add, replace and remove workers in one change."""
    return await _change(
        address,
        lambda channel: OperatorsStub(channel).PutWorkers,
        write_workers((workers, removed, version)),
        read_change,
        timeout_ms,
    )


async def get_configuration(address: str, timeout_ms: int) -> Configuration | Refused:
    """Return the configuration in force."""
    return await _read(
        address,
        lambda channel: OperatorsStub(channel).GetConfiguration,
        v1_pb2.GetConfigurationRequest(),
        read_configuration,
        timeout_ms,
    )


async def list_placements(address: str, timeout_ms: int) -> PlacementList | Refused:
    """Return the placements of active jobs and the free capacity."""
    return await _read(
        address,
        lambda channel: OperatorsStub(channel).ListPlacements,
        v1_pb2.ListPlacementsRequest(),
        read_placements,
        timeout_ms,
    )


async def list_instances(address: str, timeout_ms: int) -> tuple[InstanceStatus, ...] | Refused:
    """Return the entry instances as seen by the one at the address."""
    return await _read(
        address,
        lambda channel: OperatorsStub(channel).ListInstances,
        v1_pb2.ListInstancesRequest(),
        read_instances,
        timeout_ms,
    )


async def _read(
    address: str,
    select_method: MethodSelector,
    message: Any,
    convert: Callable[[Any], Result],
    timeout_ms: int,
) -> Result | Refused:
    return await _last_reply(
        _call(address, select_method, message, convert, timeout_ms, True), True
    )


async def _change(
    address: str,
    select_method: MethodSelector,
    message: Any,
    convert: Callable[[Any], Result],
    timeout_ms: int,
) -> Result | Refused:
    return await _last_reply(
        _call(address, select_method, message, convert, timeout_ms, False), False
    )


async def _last_reply(replies: AsyncIterator[Result | Refused], is_read: bool) -> Result | Refused:
    """Return the last reply of a unary call; an error status can follow a message."""
    outcome: Result | Refused = _connection_lost("the call ended without a reply", is_read)
    async for reply in replies:
        outcome = reply
    return outcome


async def _call(
    address: str,
    select_method: MethodSelector,
    message: Any,
    convert: Callable[[Any], Result],
    timeout_ms: int,
    is_read: bool,
) -> AsyncIterator[Result | Refused]:
    """Send a message and yield the replies; a refusal can only be the last item."""
    try:
        host, port = split_address(address)
    except ValueError as error:
        yield Refused(ErrorKind.INVALID, f"address: {error}")
        return
    channel = Channel(host, port)
    stream = select_method(channel).open(timeout=timeout_ms / 1_000)
    sent = False
    try:
        async with stream:
            await stream.send_request()
            sent = True
            await stream.send_message(message, end=True)
            async for reply in stream:
                yield convert(reply)
    except GRPCError as error:
        yield refusal_from_error(error, stream.trailing_metadata, is_read)
    except (OSError, StreamTerminatedError, ProtocolError) as error:
        if not sent:
            detail = f"no connection to {address}: {error or type(error).__name__}"
            yield Refused(ErrorKind.UNREACHABLE, detail, ExecutionStatus.NOT_RUN)
        elif isinstance(error, TimeoutError):
            yield _timed_out(f"no answer from {address} within {timeout_ms} ms", is_read)
        else:
            yield _connection_lost(f"the connection to {address} was lost: {error}", is_read)
    except ValueError as error:
        yield Refused(ErrorKind.INTERNAL, f"the reply of {address} is invalid: {error}")
    finally:
        channel.close()


def _timed_out(detail: str, is_read: bool) -> Refused:
    if is_read:
        return Refused(ErrorKind.DEADLINE_PASSED, detail)
    return Refused(ErrorKind.OUTCOME_UNKNOWN, detail)


def _connection_lost(detail: str, is_read: bool) -> Refused:
    if is_read:
        return Refused(ErrorKind.UNREACHABLE, detail, ExecutionStatus.NOT_RUN)
    return Refused(ErrorKind.OUTCOME_UNKNOWN, detail)
