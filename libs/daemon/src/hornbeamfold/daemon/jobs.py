"""Job operations for callers."""

from collections.abc import Callable, Iterator

from hornbeamfold.daemon.clock import Clock
from hornbeamfold.daemon.follower import Confirm, LogFollower
from hornbeamfold.daemon.writes import rejection, write_event
from hornbeamfold.logclient import LogWriter
from hornbeamfold.model.errors import ErrorKind, ExecutionStatus, Refused
from hornbeamfold.model.events import JobCancelled, JobSubmitted
from hornbeamfold.model.status import JobList, JobStatus
from hornbeamfold.model.timing import LOG_WAIT_MS
from hornbeamfold.model.work import ENDED_JOBS, Job, JobSpec
from hornbeamfold.placement import entitled_keys, explain_infeasibility, order_queue

FOLLOW_WAIT_MS = 1_000


class JobService:
    """Submits, shows, follows and cancels jobs."""

    def __init__(
        self,
        follower: LogFollower,
        writer: LogWriter,
        confirm: Confirm,
        clock: Clock,
        wall_clock: Clock,
        draining: Callable[[], bool],
    ) -> None:
        self._follower = follower
        self._writer = writer
        self._confirm = confirm
        self._clock = clock
        self._wall_clock = wall_clock
        self._draining = draining

    def submit(self, spec: JobSpec) -> JobStatus | Refused:
        """Put a job into the queue; if the same job was submitted before, return its state."""
        arrived_ms = self._clock()
        outcome = self._submit(spec)
        if isinstance(outcome, Refused):
            return self._verify_not_run(spec, outcome, arrived_ms)
        return outcome

    def _submit(self, spec: JobSpec) -> JobStatus | Refused:
        refused = self._check_preconditions(spec)
        if refused is not None:
            return refused
        known = self._follower.view.jobs.get(spec.key)
        if known is not None:
            return self._status_if_same(known, spec)
        infeasible = explain_infeasibility(spec.shape, self._follower.view.capacities.values())
        if infeasible:
            return Refused(ErrorKind.INFEASIBLE, infeasible)
        verdict = write_event(self._writer, JobSubmitted(spec))
        if isinstance(verdict, Refused):
            return verdict
        job = self._follower.view.jobs.get(spec.key)
        if not verdict.accepted and job is None:
            return rejection(verdict)
        if job is None:
            return Refused(
                ErrorKind.OUTCOME_UNKNOWN, "The job was accepted but is no longer in the view."
            )
        return self._status_if_same(job, spec)

    def get(self, organisation: str, job_id: str) -> JobStatus | Refused:
        """Return the state of a job."""
        if not self._follower.ready:
            return Refused(ErrorKind.STALE_VIEW, "This instance has not read the log yet.")
        key = (organisation, job_id)
        job = self._follower.view.jobs.get(key)
        if job is not None:
            return self._status(job)
        # Another instance may have accepted the job a moment ago.
        confirmed = self._confirm(self._clock(), LOG_WAIT_MS)
        job = self._follower.view.jobs.get(key)
        if job is None:
            ran = ExecutionStatus.NOT_RUN if confirmed else ExecutionStatus.UNKNOWN
            detail = f"No job {job_id} of {organisation} is known."
            return Refused(ErrorKind.NOT_FOUND, detail, ran)
        return self._status(job)

    def cancel(self, organisation: str, job_id: str) -> JobStatus | Refused:
        """Request the cancellation of a job."""
        known = self.get(organisation, job_id)
        if isinstance(known, Refused) or known.job.state in ENDED_JOBS:
            return known
        verdict = write_event(self._writer, JobCancelled(organisation, job_id))
        if isinstance(verdict, Refused):
            return verdict
        if not verdict.accepted and verdict.kind == ErrorKind.NOT_FOUND:
            return rejection(verdict)
        return self.get(organisation, job_id)

    def list_jobs(self, organisation: str, state: str) -> JobList:
        """Return the active and ended jobs, then the queued jobs in queue order."""
        view = self._follower.view
        queued = order_queue(
            (*view.queued.values(), *view.active.values()), view.organisations, self._wall_clock()
        )
        others = [job for key, job in view.jobs.items() if key not in view.queued]
        statuses: list[JobStatus] = []
        for job in (*others, *queued):
            if organisation and job.spec.organisation != organisation:
                continue
            if state and job.state.value != state:
                continue
            statuses.append(self._status(job))
        return JobList(tuple(statuses), view.offset)

    def follow(self, organisation: str, job_id: str) -> Iterator[JobStatus | Refused]:
        """Yield the status at once and after each change until the job has ended."""
        last: Job | None = None
        while True:
            status = self.get(organisation, job_id)
            if isinstance(status, Refused):
                yield status
                return
            if status.job != last:
                last = status.job
                yield status
            if status.job.state in ENDED_JOBS or self._draining():
                return
            self._follower.changed.wait(FOLLOW_WAIT_MS)

    def _verify_not_run(self, spec: JobSpec, refused: Refused, arrived_ms: int) -> Refused:
        """Report "not run" only if a view confirmed after the call's arrival has no such job.

        An earlier call may have submitted the same job through an instance that has read more of
        the log.
        """
        if (
            refused.effective_ran != ExecutionStatus.NOT_RUN
            or refused.kind == ErrorKind.DUPLICATE_REQUEST
        ):
            return refused
        confirmed = self._confirm(arrived_ms, LOG_WAIT_MS)
        if confirmed and spec.key not in self._follower.view.jobs:
            return refused
        return Refused(
            ErrorKind.OUTCOME_UNKNOWN,
            f"Refused here ({refused.kind.value}: {refused.detail}), "
            "but an earlier call may have submitted the job; query its state.",
        )

    def _check_preconditions(self, spec: JobSpec) -> Refused | None:
        if self._draining():
            return Refused(ErrorKind.DRAINING, "This instance is shutting down.")
        if not self._follower.ready:
            return Refused(ErrorKind.STALE_VIEW, "This instance has not read the log yet.")
        if spec.organisation not in self._follower.view.organisations:
            return Refused(
                ErrorKind.UNKNOWN_ORGANISATION, f"No organisation {spec.organisation} is known."
            )
        return None

    def _status_if_same(self, job: Job, spec: JobSpec) -> JobStatus | Refused:
        if job.spec != spec:
            return Refused(
                ErrorKind.DUPLICATE_REQUEST, f"Job {spec.job_id} exists with other fields."
            )
        return self._status(job)

    def _status(self, job: Job) -> JobStatus:
        view = self._follower.view
        organisation = view.organisations.get(job.spec.organisation)
        if organisation is None:
            return JobStatus(job, view.offset, False)
        organisation_jobs = [
            active
            for active in view.active.values()
            if active.spec.organisation == organisation.name
        ]
        return JobStatus(
            job, view.offset, job.key in entitled_keys(organisation, organisation_jobs, job)
        )
