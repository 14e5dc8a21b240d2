"""The gRPC handlers: each converts a message, calls the daemon and sends the reply."""

# ruff: noqa: N802
# The method names come from the schema.

from asyncio import timeout
from functools import partial
from time import time_ns
from typing import Any

from eventlet import spawn

from hornbeamfold.model.errors import ErrorKind, Refused
from hornbeamfold.model.timing import PEER_RETENTION_MS
from hornbeamfold.rpc import v1_pb2
from hornbeamfold.rpc.adapters import (
    read_answer_query,
    read_job_filter,
    read_job_key,
    read_job_spec,
    read_request,
    read_request_key,
    write_job_list,
    write_job_status,
    write_request_answer,
)
from hornbeamfold.rpc.calls import answer_stream, answer_unary, answer_uncancelled, catch_exceptions
from hornbeamfold.rpc.errors import send_refusal
from hornbeamfold.rpc.frontend import Frontend, PeerFrontend
from hornbeamfold.rpc.operator_adapters import (
    read_drain,
    read_organisation,
    read_organisation_ref,
    read_workers,
    read_zone,
    write_change,
    write_configuration,
    write_instances,
    write_placements,
)
from hornbeamfold.rpc.peer_adapters import (
    read_heartbeat,
    read_records_query,
    write_found_answer,
    write_relayed_entries,
)
from hornbeamfold.rpc.v1_grpc import JobsBase, OperatorsBase, PeersBase, RequestsBase


def build_services(
    frontend: Frontend, peer_frontend: PeerFrontend
) -> tuple[RequestsBase, JobsBase, OperatorsBase, PeersBase]:
    """Return the handlers of all services."""
    return _Requests(frontend), _Jobs(frontend), _Operators(frontend), _Peers(peer_frontend)


def _now_ms() -> int:
    return time_ns() // 1_000_000


class _Requests(RequestsBase):
    """Handlers for the requests of callers."""

    def __init__(self, frontend: Frontend) -> None:
        self._frontend = frontend

    async def Submit(self, stream: Any) -> None:
        await answer_uncancelled(
            stream,
            lambda message: read_request(message, _now_ms()),
            self._frontend.submit,
            write_request_answer,
        )

    async def GetAnswer(self, stream: Any) -> None:
        await answer_unary(
            stream,
            read_answer_query,
            lambda query: self._frontend.get_answer(*query),
            write_request_answer,
        )

    async def Cancel(self, stream: Any) -> None:
        await answer_uncancelled(
            stream,
            read_request_key,
            lambda key: self._frontend.cancel(*key),
            lambda cancelled: v1_pb2.CancelReply(state="cancelled"),
        )


class _Jobs(JobsBase):
    """Handlers for the gang jobs of callers."""

    def __init__(self, frontend: Frontend) -> None:
        self._frontend = frontend

    async def SubmitJob(self, stream: Any) -> None:
        await answer_uncancelled(stream, read_job_spec, self._frontend.submit_job, write_job_status)

    async def GetJob(self, stream: Any) -> None:
        await answer_unary(
            stream, read_job_key, lambda key: self._frontend.get_job(*key), write_job_status
        )

    async def CancelJob(self, stream: Any) -> None:
        await answer_uncancelled(
            stream, read_job_key, lambda key: self._frontend.cancel_job(*key), write_job_status
        )

    async def ListJobs(self, stream: Any) -> None:
        await answer_unary(
            stream,
            read_job_filter,
            lambda wanted: self._frontend.list_jobs(*wanted),
            write_job_list,
        )

    async def FollowJob(self, stream: Any) -> None:
        await answer_stream(
            stream, read_job_key, lambda key: self._frontend.follow_job(*key), write_job_status
        )


class _Operators(OperatorsBase):
    """Handlers for the configuration and the state of the system."""

    def __init__(self, frontend: Frontend) -> None:
        self._frontend = frontend

    async def PutOrganisation(self, stream: Any) -> None:
        await answer_uncancelled(
            stream, read_organisation, self._frontend.put_organisation, write_change
        )

    async def RemoveOrganisation(self, stream: Any) -> None:
        await answer_uncancelled(
            stream,
            read_organisation_ref,
            lambda ref: self._frontend.remove_organisation(*ref),
            write_change,
        )

    async def SetZone(self, stream: Any) -> None:
        await answer_uncancelled(stream, read_zone, self._frontend.set_zone, write_change)

    async def DrainTarget(self, stream: Any) -> None:
        await answer_uncancelled(
            stream, read_drain, lambda drain: self._frontend.drain_target(*drain), write_change
        )

    async def PutWorkers(self, stream: Any) -> None:
        await answer_uncancelled(
            stream, read_workers, lambda change: self._frontend.put_workers(*change), write_change
        )

    async def GetConfiguration(self, stream: Any) -> None:
        await answer_unary(
            stream,
            _ignore_fields,
            lambda _: self._frontend.get_configuration(),
            write_configuration,
        )

    async def ListPlacements(self, stream: Any) -> None:
        await answer_unary(
            stream, _ignore_fields, lambda _: self._frontend.list_placements(), write_placements
        )

    async def ListInstances(self, stream: Any) -> None:
        await answer_unary(
            stream, _ignore_fields, lambda _: self._frontend.list_instances(), write_instances
        )


class _Peers(PeersBase):
    """Handlers for the calls of peers; keeps the newest heartbeat stream of each peer."""

    def __init__(self, frontend: PeerFrontend) -> None:
        self._frontend = frontend
        self._newest_streams: dict[str, Any] = {}

    async def Heartbeats(self, stream: Any) -> None:
        name = ""
        try:
            while True:
                # Without a timeout, the stream of a peer behind a partition would stay open for
                # hours.
                async with timeout(PEER_RETENTION_MS / 1_000):
                    message = await stream.recv_message()
                if message is None:
                    await stream.send_message(v1_pb2.HeartbeatsClosed())
                    return
                heartbeat = read_heartbeat(message)
                if isinstance(heartbeat, Refused):
                    await send_refusal(stream, heartbeat)
                    return
                name = heartbeat.name
                self._newest_streams[name] = stream
                await spawn(catch_exceptions(partial(self._frontend.heartbeat, heartbeat)))
        except TimeoutError:
            refused = Refused(
                ErrorKind.DEADLINE_PASSED, f"no heartbeat within {PEER_RETENTION_MS} ms"
            )
            await send_refusal(stream, refused)
        finally:
            # An older stream may fail long after the peer has opened a new one.
            if self._newest_streams.get(name) is stream:
                del self._newest_streams[name]
                spawn(catch_exceptions(partial(self._frontend.peer_disconnected, name)))

    async def FindAnswer(self, stream: Any) -> None:
        await answer_unary(
            stream,
            read_request_key,
            lambda key: self._frontend.find_answer(*key),
            write_found_answer,
        )

    async def CancelWaiting(self, stream: Any) -> None:
        await answer_uncancelled(
            stream,
            read_request_key,
            lambda key: self._frontend.cancel_waiting(*key),
            lambda state: v1_pb2.CancelWaitingReply(state=state.value),
        )

    async def ReadRecords(self, stream: Any) -> None:
        await answer_unary(
            stream,
            read_records_query,
            lambda query: self._frontend.read_records(*query),
            write_relayed_entries,
        )


def _ignore_fields(message: Any) -> None:
    """Accept a message without fields."""
