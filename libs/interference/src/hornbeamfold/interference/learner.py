"""Learns from reports which kinds of tasks slow each other down on one worker.

A run is compared with itself: its rate of progress, or its latency, before and after tasks of one
other kind arrive at its worker or leave it. Tasks of different lengths and workers of different
speeds therefore need no correction. What happens to several runs at once is one sample, as one
cause may be behind all of it.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace
from math import exp, log
from statistics import median

from hornbeamfold.batch import RunName, WorkKind
from hornbeamfold.interference.evidence import (
    NO_EVIDENCE,
    Evidence,
    certain_effect,
    with_sample,
)

# A rate of progress over less than this is too uncertain.
MIN_SEGMENT_PERCENT = 5.0
MIN_SEGMENT_MS = 500
# A latency is the median of at least this many reports.
MIN_LATENCIES = 2
MAX_LATENCIES = 9
# A change of less than this many tasks of a kind, paced ones counted in part, shows too little.
MIN_CHANGE = 0.4
# The pairs of kinds that are remembered; those without news for the longest time are forgotten.
MAX_PAIRS = 2_048

_Pair = tuple[WorkKind, WorkKind]


@dataclass(frozen=True)
class Observation:
    """What a worker reports about one run.

    `share` is how much of its usual work the run may do (0 to 1). `percent` is its progress, or
    None if it tells nothing of its speed, and `latency_ms` the tail of its response times, or None.
    """

    name: RunName
    kind: WorkKind
    share: float = 1.0
    percent: float | None = None
    latency_ms: float | None = None


@dataclass(frozen=True)
class Finding:
    """Tasks of kind `victim` take `factor` times as long beside one of kind `cause`."""

    victim: WorkKind
    cause: WorkKind
    factor: float


@dataclass(frozen=True)
class _Segment:
    """The time during which the runs beside a run are the same; times are on the worker's clock."""

    tasks: Mapping[WorkKind, float]
    begun_ms: int
    from_percent: float | None
    until_ms: int
    percent: float | None
    latencies_ms: tuple[float, ...] = ()

    @property
    def cost(self) -> float | None:
        """The logarithm of the time for one percent, or of the latency; None if too uncertain."""
        if self.latencies_ms:
            if len(self.latencies_ms) < MIN_LATENCIES:
                return None
            return log(max(1.0, median(self.latencies_ms)))
        took_ms = self.until_ms - self.begun_ms
        if self.from_percent is None or self.percent is None or took_ms < MIN_SEGMENT_MS:
            return None
        progress = self.percent - self.from_percent
        return log(took_ms / progress) if progress >= MIN_SEGMENT_PERCENT else None


@dataclass(frozen=True)
class _Watched:
    """A run with its current segment, and the one before that, if its cost is known."""

    kind: WorkKind
    current: _Segment
    previous: _Segment | None = None


@dataclass(frozen=True)
class _WorkerView:
    """The runs of the last report of a worker."""

    clock_ms: int
    tasks: Mapping[WorkKind, float]
    runs: Mapping[RunName, _Watched]


class DisturbanceLearner:
    """The evidence on each pair of kinds, and the runs that are being watched."""

    def __init__(self) -> None:
        self._evidence: dict[_Pair, Evidence] = {}
        self._effects: dict[_Pair, float] = {}
        self._involved: set[WorkKind] = set()
        self._workers: dict[str, _WorkerView] = {}

    @property
    def has_findings(self) -> bool:
        """Whether any kind is known to disturb another."""
        return bool(self._effects)

    @property
    def findings(self) -> tuple[Finding, ...]:
        """The pairs of kinds of which one is known to disturb the other."""
        return tuple(
            Finding(victim, cause, exp(effect)) for (victim, cause), effect in self._effects.items()
        )

    def is_involved(self, kind: WorkKind) -> bool:
        """Return whether a kind is known to disturb another or to be disturbed."""
        return kind in self._involved

    def effect(self, victim: WorkKind, cause: WorkKind) -> float:
        """Return the logarithm of the slowdown by one task of `cause`; 0 if none is known."""
        return self._effects.get((victim, cause), 0.0)

    def forget_worker(self, worker_id: str) -> None:
        """Drop the runs of a worker; what they showed remains."""
        self._workers.pop(worker_id, None)

    def observe(
        self, worker_id: str, clock_ms: int, observations: Sequence[Observation]
    ) -> tuple[Finding, ...]:
        """Learn from a report with all runs of a worker; return what it shows for the first time.

        `clock_ms` is the worker's clock. Reports that arrive out of order are ignored.
        """
        view = self._workers.get(worker_id)
        if view is not None and clock_ms <= view.clock_ms:
            return ()
        tasks: dict[WorkKind, float] = {}
        for each in observations:
            tasks[each.kind] = tasks.get(each.kind, 0.0) + each.share
        runs: dict[RunName, _Watched] = {}
        ended: dict[RunName, _Watched] = dict(view.runs) if view is not None else {}
        samples: dict[_Pair, list[float]] = {}
        for each in observations:
            watched = ended.pop(each.name, None)
            # A paced run is slow for a known reason.
            if each.share < 1.0:
                continue
            runs[each.name] = _advanced(watched, each, tasks, clock_ms, samples)
        for watched in ended.values():
            _compare(watched, samples)
        self._workers[worker_id] = _WorkerView(clock_ms, tasks, runs)
        return self._add_samples(worker_id, samples)

    def _add_samples(
        self, worker_id: str, samples: Mapping[_Pair, Sequence[float]]
    ) -> tuple[Finding, ...]:
        found: list[Finding] = []
        for pair, values in samples.items():
            evidence = self._evidence.pop(pair, NO_EVIDENCE)
            self._evidence[pair] = with_sample(evidence, median(values), worker_id)
            effect = certain_effect(self._evidence[pair])
            if effect > 0 and pair not in self._effects:
                found.append(Finding(*pair, exp(effect)))
            self._set_effect(pair, effect)
        while len(self._evidence) > MAX_PAIRS:
            oldest = next(iter(self._evidence))
            del self._evidence[oldest]
            self._set_effect(oldest, 0.0)
        return tuple(found)

    def _set_effect(self, pair: _Pair, effect: float) -> None:
        if effect > 0:
            self._effects[pair] = effect
            self._involved.update(pair)
        elif self._effects.pop(pair, None) is not None:
            self._involved = {kind for each in self._effects for kind in each}


def _advanced(
    watched: _Watched | None,
    seen: Observation,
    tasks: Mapping[WorkKind, float],
    clock_ms: int,
    samples: dict[_Pair, list[float]],
) -> _Watched:
    """Return a run after one more report; add samples if the tasks beside it have changed."""
    percent = seen.percent
    # Before its work begins and after its end, a run tells nothing of its speed.
    if percent is not None and not 0 < percent < 100:
        percent = None
    if watched is not None and watched.current.tasks == tasks:
        return replace(watched, current=_extended(watched.current, seen, percent, clock_ms))
    # The change may have come at any time since the last report, so what this report says of that
    # time belongs to no segment.
    begun = _Segment(tasks, clock_ms, percent, clock_ms, percent)
    if watched is None:
        return _Watched(seen.kind, begun)
    _compare(watched, samples)
    known = watched.current if watched.current.cost is not None else watched.previous
    return _Watched(seen.kind, begun, known)


def _extended(
    segment: _Segment, seen: Observation, percent: float | None, clock_ms: int
) -> _Segment:
    """Return a segment with one more report."""
    if seen.latency_ms is not None:
        latencies = (*segment.latencies_ms, seen.latency_ms)[-MAX_LATENCIES:]
        return replace(segment, latencies_ms=latencies)
    if percent is None:
        return segment
    if segment.from_percent is None:
        return replace(
            segment, begun_ms=clock_ms, from_percent=percent, until_ms=clock_ms, percent=percent
        )
    return replace(segment, until_ms=clock_ms, percent=percent)


def _compare(watched: _Watched, samples: dict[_Pair, list[float]]) -> None:
    """Add a sample if the last two segments of a run differ in one kind of task beside it."""
    if watched.previous is None:
        return
    before, after = watched.previous.cost, watched.current.cost
    if before is None or after is None:
        return
    changed = _changes(watched.previous.tasks, watched.current.tasks)
    if len(changed) != 1:
        return
    ((kind, change),) = changed.items()
    if abs(change) >= MIN_CHANGE:
        samples.setdefault((watched.kind, kind), []).append((after - before) / change)


def _changes(
    before: Mapping[WorkKind, float], after: Mapping[WorkKind, float]
) -> dict[WorkKind, float]:
    """Return by how many tasks each kind differs, of those that differ."""
    changes: dict[WorkKind, float] = {}
    for kind in before.keys() | after.keys():
        change = after.get(kind, 0.0) - before.get(kind, 0.0)
        if change:
            changes[kind] = change
    return changes
