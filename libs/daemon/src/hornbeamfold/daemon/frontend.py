"""Implements the front-end protocols of the RPC server with the services of one instance."""

from collections.abc import Iterator

from hornbeamfold.daemon.clock import Clock
from hornbeamfold.daemon.dispatch import Dispatcher
from hornbeamfold.daemon.follower import LogFollower
from hornbeamfold.daemon.heartbeat import handle_heartbeat
from hornbeamfold.daemon.jobs import JobService
from hornbeamfold.daemon.operators import OperatorService
from hornbeamfold.daemon.requests import RequestService
from hornbeamfold.membership import PeerTable
from hornbeamfold.model.errors import Refused
from hornbeamfold.model.status import (
    CancelState,
    Change,
    Configuration,
    FoundAnswer,
    InstanceStatus,
    JobList,
    JobStatus,
    PeerHeartbeat,
    PlacementList,
    RelayedEntries,
    RequestAnswer,
)
from hornbeamfold.model.topology import AvailabilityZone, Organisation, Worker
from hornbeamfold.model.work import JobSpec, Request


class DaemonFrontend:
    """Operations for callers and operators; implements `hornbeamfold.rpc.frontend.Frontend`."""

    def __init__(
        self, requests: RequestService, jobs: JobService, operators: OperatorService
    ) -> None:
        self._requests = requests
        self._jobs = jobs
        self._operators = operators

    def submit(self, request: Request) -> RequestAnswer | Refused:
        """Run a request and return its whole answer."""
        return self._requests.submit(request)

    def get_answer(
        self, organisation: str, request_id: str, wait_ms: int
    ) -> RequestAnswer | Refused:
        """Return the answer of an earlier request."""
        return self._requests.get_answer(organisation, request_id, wait_ms)

    def cancel(self, organisation: str, request_id: str) -> Refused | None:
        """Cancel a request that has not been dispatched."""
        return self._requests.cancel(organisation, request_id)

    def submit_job(self, spec: JobSpec) -> JobStatus | Refused:
        """Put a job into the queue."""
        return self._jobs.submit(spec)

    def get_job(self, organisation: str, job_id: str) -> JobStatus | Refused:
        """Return the state of a job."""
        return self._jobs.get(organisation, job_id)

    def cancel_job(self, organisation: str, job_id: str) -> JobStatus | Refused:
        """Request the cancellation of a job."""
        return self._jobs.cancel(organisation, job_id)

    def list_jobs(self, organisation: str, state: str) -> JobList:
        """Return jobs filtered by organisation and state; an empty string matches all."""
        return self._jobs.list_jobs(organisation, state)

    def follow_job(self, organisation: str, job_id: str) -> Iterator[JobStatus | Refused]:
        """Yield the status at once and after each change until the job has ended."""
        return self._jobs.follow(organisation, job_id)

    def put_organisation(self, organisation: Organisation) -> Change | Refused:
        """Create or change an organisation."""
        return self._operators.put_organisation(organisation)

    def remove_organisation(self, name: str, version: int) -> Change | Refused:
        """Remove an organisation."""
        return self._operators.remove_organisation(name, version)

    def set_zone(self, zone: AvailabilityZone) -> Change | Refused:
        """Take an availability zone out of service or bring it back."""
        return self._operators.set_zone(zone)

    def drain_target(self, worker: str, draining: bool, version: int) -> Change | Refused:
        """Start or end the drain of a worker."""
        return self._operators.drain_target(worker, draining, version)

    def put_workers(
        self, workers: tuple[Worker, ...], removed: tuple[str, ...], version: int
    ) -> Change | Refused:
        """Add, replace and remove workers."""
        return self._operators.put_workers(workers, removed, version)

    def get_configuration(self) -> Configuration:
        """Return the configuration in force."""
        return self._operators.configuration()

    def list_placements(self) -> PlacementList:
        """Return the active jobs and the free accelerators."""
        return self._operators.placements()

    def list_instances(self) -> tuple[InstanceStatus, ...]:
        """Return the entry instances and their states as this instance sees them."""
        return self._operators.instances()


class DaemonPeerFrontend:
    """Operations for peers; implements `hornbeamfold.rpc.frontend.PeerFrontend`."""

    def __init__(
        self,
        peers: PeerTable,
        dispatcher: Dispatcher,
        requests: RequestService,
        follower: LogFollower,
        clock: Clock,
    ) -> None:
        self._peers = peers
        self._dispatcher = dispatcher
        self._requests = requests
        self._follower = follower
        self._clock = clock

    def heartbeat(self, heartbeat: PeerHeartbeat) -> None:
        """Process a heartbeat of a peer."""
        handle_heartbeat(self._peers, self._dispatcher, heartbeat, self._clock())

    def peer_disconnected(self, name: str) -> None:
        """Record that the heartbeat stream of a peer has ended."""
        self._peers.record_disconnect(name)

    def find_answer(self, organisation: str, request_id: str) -> FoundAnswer:
        """Return what this instance knows of a request."""
        return self._requests.local_answer(organisation, request_id)

    def cancel_waiting(self, organisation: str, request_id: str) -> CancelState:
        """Cancel a request if it is queued in this instance."""
        return self._requests.cancel_local(organisation, request_id)

    def read_records(self, start: int, limit: int) -> RelayedEntries:
        """Return applied log entries from an offset on."""
        return self._follower.relay(start, limit)
