"""The interfaces between the front end and the daemon, in data classes without messages."""

from collections.abc import Iterator
from typing import Protocol

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


class Frontend(Protocol):
    """Operations for callers and operators; each may block its green thread."""

    def submit(self, request: Request) -> RequestAnswer | Refused:
        """Run a request and return its complete answer."""

    def get_answer(
        self, organisation: str, request_id: str, wait_ms: int
    ) -> RequestAnswer | Refused:
        """Return the answer of an earlier request."""

    def cancel(self, organisation: str, request_id: str) -> Refused | None:
        """Cancel a request that has not been dispatched; return None on success."""

    def submit_job(self, spec: JobSpec) -> JobStatus | Refused:
        """Add a job to the queue."""

    def get_job(self, organisation: str, job_id: str) -> JobStatus | Refused:
        """Return the state of a job."""

    def cancel_job(self, organisation: str, job_id: str) -> JobStatus | Refused:
        """Request the cancellation of a job."""

    def list_jobs(self, organisation: str, state: str) -> JobList:
        """List jobs, filtered by each argument that is not empty."""

    def follow_job(self, organisation: str, job_id: str) -> Iterator[JobStatus | Refused]:
        """Yield the current status and then each change until the job has ended."""

    def put_organisation(self, organisation: Organisation) -> Change | Refused:
        """Create or update an organisation whose current version is the given one."""

    def remove_organisation(self, name: str, version: int) -> Change | Refused:
        """Remove an organisation."""

    def set_zone(self, zone: AvailabilityZone) -> Change | Refused:
        """Put an availability zone in or out of service if its version is the given one."""

    def drain_target(self, worker: str, draining: bool, version: int) -> Change | Refused:
        """Start or end the drain of a worker."""

    def put_workers(
        self, workers: tuple[Worker, ...], removed: tuple[str, ...], version: int
    ) -> Change | Refused:
        """Add, replace and remove workers in one change."""

    def get_configuration(self) -> Configuration:
        """Return the configuration in force."""

    def list_placements(self) -> PlacementList:
        """Return the placements of active jobs and the free capacity."""

    def list_instances(self) -> tuple[InstanceStatus, ...]:
        """Return the entry instances as seen by this one."""


class PeerFrontend(Protocol):
    """Operations for peers."""

    def heartbeat(self, heartbeat: PeerHeartbeat) -> None:
        """Process a heartbeat of a peer."""

    def peer_disconnected(self, name: str) -> None:
        """Process the end of a peer's heartbeat stream."""

    def find_answer(self, organisation: str, request_id: str) -> FoundAnswer:
        """Return what this instance knows about a request."""

    def cancel_waiting(self, organisation: str, request_id: str) -> CancelState:
        """Cancel a request if it is queued on this instance."""

    def read_records(self, start: int, limit: int) -> RelayedEntries:
        """Return up to `limit` folded log entries, starting at an offset."""
