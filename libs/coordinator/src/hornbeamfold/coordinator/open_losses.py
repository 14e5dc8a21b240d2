"""Finds the tasks that have lost a worker which has not been heard of since."""

from collections.abc import Mapping
from dataclasses import dataclass

from hornbeamfold.batch import RunName, TaskRef, WorkerLoss
from hornbeamfold.coordinator.tracked import TrackedJob


@dataclass(frozen=True)
class OpenLoss:
    """A run that was lost with its worker, and the recorded loss."""

    name: RunName
    loss: WorkerLoss


class OpenLosses:
    """An index by worker of the losses in the progress of all tasks."""

    def __init__(self, jobs: Mapping[str, TrackedJob]) -> None:
        self._jobs = jobs
        self._tasks: dict[str, set[tuple[str, TaskRef]]] = {}

    def add(self, job_id: str, ref: TaskRef, loss: WorkerLoss) -> None:
        """Add a loss in the progress of a task."""
        self._tasks.setdefault(loss.worker_id, set()).add((job_id, ref))

    def add_all(self, tracked: TrackedJob) -> None:
        """Add all losses in the progress of a job."""
        for ref, task in tracked.tasks.items():
            for loss in task.losses:
                self.add(tracked.job.job_id, ref, loss)

    def of_worker(self, worker_id: str) -> tuple[OpenLoss, ...]:
        """Return the losses of a worker, also those that earlier coordinators recorded."""
        if worker_id not in self._tasks:
            return ()
        found: list[OpenLoss] = []
        for job_id, ref in sorted(self._tasks[worker_id]):
            tracked = self._jobs.get(job_id)
            if tracked is None:
                continue
            found.extend(
                OpenLoss(RunName(job_id, ref, loss.run), loss)
                for loss in tracked.task(ref).losses
                if loss.worker_id == worker_id
            )
        if not found:
            # The tasks have ended since.
            del self._tasks[worker_id]
        return tuple(found)

    def remove(self, job_id: str, ref: TaskRef, loss: WorkerLoss) -> None:
        """Remove a loss that is decided."""
        tasks = self._tasks.get(loss.worker_id, set())
        tasks.discard((job_id, ref))
        if not tasks:
            self._tasks.pop(loss.worker_id, None)

    def remove_all(self, tracked: TrackedJob) -> None:
        """Remove all losses in the progress of a job that has ended."""
        for ref, task in tracked.tasks.items():
            for loss in task.losses:
                self.remove(tracked.job.job_id, ref, loss)
