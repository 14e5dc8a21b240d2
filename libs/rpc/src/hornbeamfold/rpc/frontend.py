"""The protocols between the front end and the daemon: data classes only, no messages."""

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
    """What callers and operators may ask; every function may block its green thread."""

    def submit(self, request: Request) -> RequestAnswer | Refused:
        """Run a request and return its whole answer."""

    def get_answer(
        self, organisation: str, request_id: str, wait_ms: int
    ) -> RequestAnswer | Refused:
        """Return the answer of an earlier request."""

    def cancel(self, organisation: str, request_id: str) -> Refused | None:
        """Cancel a request that was not dispatched; None if it was cancelled."""

    def submit_job(self, spec: JobSpec) -> JobStatus | Refused:
        """Put a job into the queue."""

    def get_job(self, organisation: str, job_id: str) -> JobStatus | Refused:
        """Return the state of a job."""

    def cancel_job(self, organisation: str, job_id: str) -> JobStatus | Refused:
        """Ask for the end of a job."""

    def list_jobs(self, organisation: str, state: str) -> JobList:
        """Return jobs; an empty argument selects all."""

    def follow_job(self, organisation: str, job_id: str) -> Iterator[JobStatus | Refused]:
        """Yield the status at once and after each change until the job has ended."""

    def put_organisation(self, organisation: Organisation) -> Change | Refused:
        """Create or change an organisation; its version is the expected one."""

    def remove_organisation(self, name: str, version: int) -> Change | Refused:
        """Remove an organisation."""

    def set_zone(self, zone: AvailabilityZone) -> Change | Refused:
        """Take an availability zone out or bring it back; its version is the expected one."""

    def drain_target(self, worker: str, draining: bool, version: int) -> Change | Refused:
        """Start or end the drain of a worker."""

    def put_workers(
        self, workers: tuple[Worker, ...], removed: tuple[str, ...], version: int
    ) -> Change | Refused:
        """Add, replace and remove workers."""

    def get_configuration(self) -> Configuration:
        """Return the configuration in force."""

    def list_placements(self) -> PlacementList:
        """Return active jobs and what is free."""

    def list_instances(self) -> tuple[InstanceStatus, ...]:
        """Return the entry instances as this one sees them."""


class PeerFrontend(Protocol):
    """What peers may ask."""

    def heartbeat(self, heartbeat: PeerHeartbeat) -> None:
        """Take in one heartbeat."""

    def peer_disconnected(self, name: str) -> None:
        """Take in the end of a peer's heartbeat stream."""

    def find_answer(self, organisation: str, request_id: str) -> FoundAnswer:
        """Return what this instance knows of a request."""

    def cancel_waiting(self, organisation: str, request_id: str) -> CancelState:
        """Cancel a request if it waits here."""

    def read_records(self, start: int, limit: int) -> RelayedEntries:
        """Return folded log entries from an offset on."""
