"""Keeps room for a step from one pass to the next.

Runs that are stopped for a step end one by one. Without claims, whichever step comes first in the
queue would start on what is free by then, and the step that they were stopped for would stop
others. A step that has waited for too long gets the room of runs as they end.
"""

from collections.abc import Iterable, Sequence

from hornbeamfold.scheduling.cluster import ClusterCapacity, Reservation, is_eligible, pack
from hornbeamfold.scheduling.inputs import Claim, ReadyStep
from hornbeamfold.scheduling.reclaim import PreemptibleRuns, free_soon


class ClaimedRoom:
    """The claims of a pass; those of the last pass hold against others until their step's turn."""

    def __init__(
        self,
        cluster: ClusterCapacity,
        claims: Iterable[Claim],
        steps: Sequence[ReadyStep],
        now_ms: int,
    ) -> None:
        self._cluster = cluster
        self._now_ms = now_ms
        self._held: dict[tuple[str, int, int], tuple[Reservation, ...]] = {}
        self._kept: list[Claim] = []
        self._ready = {step.key: step for step in steps if not step.isolated}
        for claim in claims:
            step = self._ready.get(claim.step_key)
            if step is None or not self._is_usable(step, claim.workers):
                continue
            self._held[claim.step_key] = self._reserve(step, claim.workers)

    @property
    def kept(self) -> tuple[Claim, ...]:
        """The claims for the next pass."""
        return tuple(self._kept)

    def take(self, step: ReadyStep) -> tuple[str, ...]:
        """Release the claim of a step at its turn; return its workers, or none without a claim."""
        if step.isolated:
            return ()
        held = self._held.pop(step.key, ())
        for reservation in held:
            self._cluster.remove_reservation(reservation)
        return tuple(reservation.worker_id for reservation in held)

    def release_without_guarantee(self) -> Sequence[Claim]:
        """Release and return the claims of steps without a guarantee."""
        steps = [self._ready[key] for key in self._held if not self._ready[key].entitled]
        return [Claim(*step.key, self.take(step)) for step in steps]

    def restore(self, claims: Iterable[Claim]) -> None:
        """Hold the room of released claims again."""
        for claim in claims:
            step = self._ready[claim.step_key]
            self._held[claim.step_key] = self._reserve(step, claim.workers)

    def add(self, step: ReadyStep, workers: Sequence[str], kept: bool = True) -> None:
        """Reserve room for the waiting tasks of a step on these workers, one for each task.

        If it is not `kept`, the claim holds for the rest of this pass only.
        """
        self._reserve(step, workers)
        if kept:
            self._kept.append(Claim(*step.key, tuple(workers)))

    def renew(self, step: ReadyStep, workers: Iterable[str], runs: PreemptibleRuns) -> bool:
        """Claim the same workers again if what is stopping there suffices; return success."""
        free = free_soon(self._cluster, dict.fromkeys(workers), runs)
        chosen = pack(self._cluster, step, len(step.waiting), free, free.__getitem__)
        if len(chosen) < len(step.waiting):
            return False
        self.add(step, chosen)
        return True

    def _reserve(self, step: ReadyStep, workers: Iterable[str]) -> tuple[Reservation, ...]:
        reservations = tuple(
            Reservation(worker_id, step.step.reserved, self._now_ms, firm=True)
            for worker_id in workers
        )
        for reservation in reservations:
            self._cluster.add_reservation(reservation)
        return reservations

    def _is_usable(self, step: ReadyStep, workers: Iterable[str]) -> bool:
        """Return whether the workers still accept new tasks and are eligible for the step."""
        cluster = self._cluster
        return all(
            cluster.has_worker(each) and is_eligible(step, cluster.worker(each)) for each in workers
        )
