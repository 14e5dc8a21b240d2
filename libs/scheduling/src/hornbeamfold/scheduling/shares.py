"""The order of the queue by shares: organisations that use less than theirs come first.

Shares only decide who starts next, so a share that nobody asks for is lent as long as it is idle,
and comes back as runs end: none is stopped for it.
"""

from collections.abc import Iterable, Iterator, Mapping, Sequence
from itertools import groupby

from hornbeamfold.batch import Resources
from hornbeamfold.scheduling.inputs import CandidateWorker, ReadyStep
from hornbeamfold.scheduling.organisation_limits import OrganisationUse

NOTHING = Resources()


class OrganisationShares:
    """What organisations use of all workers in one pass, relative to their shares.

    Organisations with ready steps or runs divide the whole by their weights. What counts is the
    resource of which an organisation uses the most.
    """

    def __init__(
        self,
        organisations: Mapping[str, OrganisationUse],
        steps: Sequence[ReadyStep],
        workers: Iterable[CandidateWorker],
        now_ms: int,
    ) -> None:
        self._now_ms = now_ms
        self._used: dict[str, Resources] = {}
        self._share: dict[str, float] = {}
        weights = _competing_weights(organisations, steps)
        if len(weights) < 2:
            return
        self._total = sum((each.capacity for each in workers), NOTHING)
        all_weights = sum(weights.values())
        for name, weight in weights.items():
            self._share[name] = weight / all_weights
            self._used[name] = organisations[name].used

    def in_order(self, steps: Iterable[ReadyStep]) -> Iterator[ReadyStep]:
        """Yield steps in queue order, but of equal rank those beyond their share last.

        What is placed must be counted with `start` before the next step is taken.
        """
        for _, equals in groupby(steps, self._rank):
            deferred: list[ReadyStep] = []
            for step in equals:
                if self._is_beyond_share(step):
                    deferred.append(step)
                    continue
                yield step
            yield from deferred

    def start(self, step: ReadyStep, count: int) -> None:
        """Count tasks of a step that the pass has placed."""
        name = step.job.organisation
        if name in self._used:
            self._used[name] = self._used[name] + step.step.demand.times(count)

    def _rank(self, step: ReadyStep) -> tuple[bool, bool, int, bool]:
        expired = self._now_ms + step.expected_ms > step.expired_ms
        return step.entitled, expired, step.job.priority, step.beyond_owed

    def _is_beyond_share(self, step: ReadyStep) -> bool:
        """Return whether one more task would bring an organisation above its share."""
        name = step.job.organisation
        if step.entitled or name not in self._share:
            return False
        used = self._used[name] + step.step.demand
        return _dominant_share(used, self._total) > self._share[name]


def _competing_weights(
    organisations: Mapping[str, OrganisationUse], steps: Iterable[ReadyStep]
) -> dict[str, float]:
    """Return the weights of the organisations that have ready steps or runs."""
    waiting = {step.job.organisation for step in steps}
    return {
        name: each.weight
        for name, each in organisations.items()
        if each.weight and (name in waiting or each.used != NOTHING)
    }


def _dominant_share(used: Resources, total: Resources) -> float:
    """Return the part that is used of the resource of which most is used."""
    return max(
        used.cpu_millis / total.cpu_millis if total.cpu_millis else 0.0,
        used.memory_mb / total.memory_mb if total.memory_mb else 0.0,
        used.accelerators / total.accelerators if total.accelerators else 0.0,
    )
