"""Keeps what is believed of the speed of each worker."""

from collections.abc import Iterable, Mapping, Sequence
from collections.abc import Set as AbstractSet
from dataclasses import dataclass, replace
from itertools import islice
from math import log
from statistics import median

from hornbeamfold.batch import RunName, TaskRef
from hornbeamfold.estimates.speed import (
    MIN_WEIGHT,
    UNEVEN_SPREAD,
    USUAL,
    SpeedBelief,
    SpeedSample,
    Surroundings,
    belief,
    speed_of_level,
    standard_error,
)

# The runs whose samples are kept for each worker, the last ones.
MAX_SAMPLES = 16
# A sample counts at most as this factor in either direction, as the logarithm.
MAX_LOG_SPEED = 2.5
# If the rate of one run changes by this factor, as the logarithm, its worker has changed: samples
# of runs that have ended say nothing of it any more.
CHANGED_LOG_SPEED = 0.7
# Workers with fewer samples say nothing of what is usual, nor of how samples differ.
MIN_SAMPLES = 3
# The beliefs are updated at most this often.
UPDATE_MS = 1_000
# The lower bound of the standard deviation of the samples of one worker.
MIN_NOISE = 0.1
# With fewer workers, the middle and the spread of all of them are not known.
MIN_WORKERS = 5
# The standard deviation of a normal distribution relative to its median absolute deviation.
DEVIATION_RATIO = 1.48
# What an earlier coordinator believed counts like this number of runs.
RESTORED_SAMPLES = 4
RESTORED_INCARNATION = 0
MAX_LEVEL = 12
# Workers are taken for uneven if an earlier coordinator thought more than this share unusual.
MIN_UNEVEN_SHARE = 0.3
# Workers without news for this long are forgotten.
RETENTION_MS = 600_000
# A worker this many times as slow as usual gets tasks only as a last resort, unless it is one of
# too many.
VERY_SLOW = 3.0
MAX_VERY_SLOW_SHARE = 0.5


@dataclass(frozen=True)
class SpeedChange:
    """A worker that is thought to have another speed than before."""

    worker_id: str
    before: SpeedBelief
    after: SpeedBelief


@dataclass(frozen=True)
class _Record:
    """The samples of one incarnation of a worker, and what its machine was like before."""

    incarnation: int
    samples: tuple[SpeedSample, ...] = ()
    belief: SpeedBelief = USUAL
    former: SpeedBelief = USUAL


class WorkerSpeeds:
    """The believed speeds of workers, relative to the usual speed.

    Usual is the middle of the workers, so that a service whose workers are all slow has none that
    is slower than usual.
    """

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}
        self._updated_ms: int | None = None
        self._slowdowns: dict[str, float] = {}
        self._uneven = False
        self._known: set[str] = set()

    @property
    def slowdowns(self) -> Mapping[str, float]:
        """How many times as long as usual tasks take on the workers of other than usual speed."""
        return self._slowdowns

    @property
    def uneven(self) -> bool:
        """Whether the speeds of workers differ by more than chance explains."""
        return self._uneven

    @property
    def known(self) -> AbstractSet[str]:
        """The workers of which enough is known to tell them from those of usual speed."""
        return self._known

    @property
    def beliefs(self) -> Mapping[str, SpeedBelief]:
        """What is believed of each worker that has run something."""
        return {worker_id: record.belief for worker_id, record in self._records.items()}

    def levels(self, limit: int) -> Mapping[str, int]:
        """Return the levels of the known workers, at most so many, or none if all are usual."""
        if not self._slowdowns:
            return {}
        return {
            worker_id: self._records[worker_id].belief.level
            for worker_id in islice(sorted(self._known), limit)
        }

    def restore(self, levels: Mapping[str, int], now_ms: int) -> None:
        """Take over what was believed; it counts like some runs that have just ended."""
        for worker_id, level in levels.items():
            level = min(MAX_LEVEL, max(-MAX_LEVEL, level))
            log_speed = log(speed_of_level(level))
            samples = tuple(
                SpeedSample(RunName("", TaskRef(0, 0, index), 0), log_speed, now_ms)
                for index in range(RESTORED_SAMPLES)
            )
            self._records[worker_id] = _Record(RESTORED_INCARNATION, samples)
        unusual = sum(level != 0 for level in levels.values())
        self._uneven = unusual > MIN_UNEVEN_SHARE * len(levels)

    def log_speed(self, worker_id: str) -> float:
        """Return the logarithm of the believed speed of a worker."""
        record = self._records.get(worker_id)
        return 0.0 if record is None else record.belief.log_speed

    def very_slow(self, worker_ids: Sequence[str]) -> frozenset[str]:
        """Return those of a service's workers that are too slow to get tasks; none if most are."""
        found = [each for each in worker_ids if self._slowdowns.get(each, 1.0) >= VERY_SLOW]
        if len(found) > MAX_VERY_SLOW_SHARE * len(worker_ids):
            return frozenset()
        return frozenset(found)

    def add_sample(
        self, worker_id: str, incarnation: int, run: RunName, log_speed: float, now_ms: int
    ) -> None:
        """Add or replace what a run suggests about its worker."""
        record = self._current_record(worker_id, incarnation)
        log_speed = min(MAX_LOG_SPEED, max(-MAX_LOG_SPEED, log_speed))
        changed = False
        others: list[SpeedSample] = []
        for sample in record.samples:
            if sample.run != run:
                others.append(sample)
                continue
            changed = abs(sample.log_speed - log_speed) > CHANGED_LOG_SPEED
        if changed:
            others = [each for each in others if now_ms - each.at_ms <= 2 * UPDATE_MS]
        kept = (*others, SpeedSample(run, log_speed, now_ms))[-MAX_SAMPLES:]
        self._records[worker_id] = replace(record, samples=kept)

    def _current_record(self, worker_id: str, incarnation: int) -> _Record:
        """Return the record of a worker; a new incarnation starts with its machine's speed."""
        record = self._records.get(worker_id)
        if record is None:
            return _Record(incarnation)
        if record.incarnation == incarnation:
            return record
        if record.incarnation == RESTORED_INCARNATION:
            return replace(record, incarnation=incarnation)
        return _Record(incarnation, (), record.belief, record.belief)

    def update(self, now_ms: int) -> Sequence[SpeedChange] | None:
        """Update what is believed; return the workers with another speed, None if too early."""
        if self._updated_ms is not None and now_ms - self._updated_ms < UPDATE_MS:
            return None
        self._updated_ms = now_ms
        surroundings = _surroundings(self._records.values(), self._uneven)
        self._uneven = surroundings.uneven
        changes: list[SpeedChange] = []
        for worker_id, record in tuple(self._records.items()):
            if now_ms - record.samples[-1].at_ms > RETENTION_MS:
                del self._records[worker_id]
                self._slowdowns.pop(worker_id, None)
                self._known.discard(worker_id)
                continue
            before = record.belief
            after = belief(record.samples, surroundings, before, record.former, now_ms)
            self._records[worker_id] = replace(record, belief=after)
            if after.weight >= MIN_WEIGHT:
                self._known.add(worker_id)
            else:
                self._known.discard(worker_id)
            if after.level == before.level:
                continue
            changes.append(SpeedChange(worker_id, before, after))
            self._slowdowns.pop(worker_id, None)
            if after.level:
                self._slowdowns[worker_id] = 1 / speed_of_level(after.level)
        return changes


def _surroundings(records: Iterable[_Record], was_uneven: bool) -> Surroundings:
    """Return what the samples of the workers of which enough is known show of all of them."""
    by_worker = [
        observed
        for record in records
        if len(observed := [each.log_speed for each in record.samples if each.run.job_id])
        >= MIN_SAMPLES
    ]
    if len(by_worker) < MIN_WORKERS:
        return Surroundings(uneven=was_uneven)
    middles = [median(each) for each in by_worker]
    usual = _midmean(middles)
    residuals = [
        abs(value - middle)
        for values, middle in zip(by_worker, middles, strict=True)
        for value in values
    ]
    noise = max(MIN_NOISE, DEVIATION_RATIO * median(residuals))
    deviations = [
        abs(middle - usual) / standard_error(noise, len(values))
        for values, middle in zip(by_worker, middles, strict=True)
    ]
    return Surroundings(usual, noise, DEVIATION_RATIO * median(deviations) > UNEVEN_SPREAD)


def _midmean(values: Sequence[float]) -> float:
    """Return the mean of the middle half of the values."""
    quarter = len(values) // 4
    middle = sorted(values)[quarter : len(values) - quarter]
    return sum(middle) / len(middle)
