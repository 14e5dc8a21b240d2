"""Keeps what organisations have running within their limits during a planning pass.

The inputs count all that may be running. A step is offered to the rest of the pass only with the
tasks that its organisation's limit has room for, so that nothing is placed, reserved or preempted
for others.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from hornbeamfold.batch import Resources, within_limit
from hornbeamfold.scheduling.idle_jobs import MAX_IDLE_MS
from hornbeamfold.scheduling.inputs import PlacedRun, ReadyStep
from hornbeamfold.scheduling.reclaim import PreemptibleRuns

NOTHING = Resources()


@dataclass(frozen=True)
class OrganisationUse:
    """What the runs of an organisation use at the begin of a pass, and what they may use.

    In `limit`, a resource that is 0 is not limited. `weight` is the organisation's share when all
    is full, relative to others; None if it has none. `uncertain` is what runs of it may use in
    addition that are not known.
    """

    used: Resources = field(default_factory=Resources)
    limit: Resources = field(default_factory=Resources)
    weight: float | None = None
    uncertain: Resources = field(default_factory=Resources)

    @property
    def most_used(self) -> Resources:
        """The most that its runs may be using."""
        return self.used + self.uncertain


NO_ORGANISATIONS: Mapping[str, OrganisationUse] = {}


def exceeding(used: Resources, limit: Resources) -> Resources:
    """Return by how much an amount exceeds a limit; a resource that is 0 there is not limited."""
    excess = _above_zero(used - limit)
    return Resources(
        excess.cpu_millis if limit.cpu_millis else 0,
        excess.memory_mb if limit.memory_mb else 0,
        excess.accelerators if limit.accelerators else 0,
    )


def _above_zero(amount: Resources) -> Resources:
    return Resources(
        max(0, amount.cpu_millis), max(0, amount.memory_mb), max(0, amount.accelerators)
    )


def _frees(run: PlacedRun, missing: Resources) -> bool:
    """Return whether the end of a run frees anything of what is missing."""
    return bool(
        (missing.cpu_millis and run.used.cpu_millis)
        or (missing.memory_mb and run.used.memory_mb)
        or (missing.accelerators and run.used.accelerators)
    )


def tasks_within_limit(used: Resources, limit: Resources, demand: Resources, most: int) -> int:
    """Return how many tasks, at most `most`, may start beside what is used.

    None may while any resource exceeds its limit, whether the tasks need it or not.
    """
    if not within_limit(used, limit):
        return 0
    left = limit - used
    count = most
    if limit.cpu_millis and demand.cpu_millis:
        count = min(count, left.cpu_millis // demand.cpu_millis)
    if limit.memory_mb and demand.memory_mb:
        count = min(count, left.memory_mb // demand.memory_mb)
    if limit.accelerators and demand.accelerators:
        count = min(count, left.accelerators // demand.accelerators)
    return count


@dataclass(frozen=True)
class _Hold:
    """A part of a limit that is kept for the first step that waits for it.

    `used` is what will be in use at `start_ms`, when the step may start, together with its tasks.
    """

    start_ms: int
    used: Resources


def can_start_any(step: ReadyStep, organisations: Mapping[str, OrganisationUse]) -> bool:
    """Return whether a limit has room for a task of a step, or for its gang, as a pass begins."""
    use = organisations.get(step.job.organisation)
    needed = len(step.waiting) if step.step.gang else 1
    return use is None or (
        tasks_within_limit(use.most_used, use.limit, step.step.demand, needed) == needed
    )


class OrganisationLimits:
    """What organisations use in one pass, which grows as their tasks are placed."""

    def __init__(
        self,
        organisations: Mapping[str, OrganisationUse],
        placed_runs: Sequence[PlacedRun],
        now_ms: int,
    ) -> None:
        self._limits = {
            name: each.limit for name, each in organisations.items() if each.limit != NOTHING
        }
        self._used = {name: organisations[name].most_used for name in self._limits}
        self._uncertain = {name: organisations[name].uncertain for name in self._limits}
        self._placed_runs = placed_runs
        self._now_ms = now_ms
        self._holds: dict[str, _Hold] = {}
        self._limited: set[str] = set()
        # What steps wait for that runs are preempted for.
        self._promised: dict[str, Resources] = {}

    @property
    def limited(self) -> frozenset[str]:
        """The organisations with steps that wait for their limits."""
        return frozenset(self._limited)

    def startable(self, step: ReadyStep) -> int:
        """Return how many waiting tasks of a step may start: all or none of a gang."""
        waiting = len(step.waiting)
        name = step.job.organisation
        limit = self._limits.get(name)
        if limit is None:
            return waiting
        demand = step.step.demand
        count = tasks_within_limit(self._used[name], limit, demand, waiting)
        hold = self._holds.get(name)
        if hold is not None and self._outlasts(step, hold) and not self._passes_hold(step, limit):
            count = min(count, tasks_within_limit(hold.used, limit, demand, waiting))
        return 0 if step.step.gang and count < waiting else count

    def _outlasts(self, step: ReadyStep, hold: _Hold) -> bool:
        return self._now_ms + step.expected_ms > hold.start_ms

    def _passes_hold(self, step: ReadyStep, limit: Resources) -> bool:
        """Return whether a step's job has waited for long while half of the limit is unused."""
        if step.idle_ms(self._now_ms) < MAX_IDLE_MS:
            return False
        return within_limit(self._used[step.job.organisation].times(2), limit)

    def start(self, step: ReadyStep, count: int) -> None:
        """Count tasks of a step that the pass has placed."""
        name = step.job.organisation
        if name not in self._limits:
            return
        added = step.step.demand.times(count)
        self._used[name] = self._used[name] + added
        hold = self._holds.get(name)
        if hold is not None and self._outlasts(step, hold):
            self._holds[name] = _Hold(hold.start_ms, hold.used + added)

    def hold(self, step: ReadyStep, preempts: bool) -> int | None:
        """Keep a part of the limit for a step that waits for it; return when it may start.

        One step of an organisation has such a part, and others of it that may preempt. Work that
        ends before the first may start can use it. Returns None if the step does not start then, or
        never.
        """
        name = step.job.organisation
        self._limited.add(name)
        limit = self._limits[name]
        needed = step.step.demand.times(len(step.waiting) if step.step.gang else 1)
        first = self._holds.get(name)
        if first is not None:
            if preempts:
                self._holds[name] = _Hold(first.start_ms, first.used + needed)
            return None
        used = self._used[name] + needed
        start_ms = self._now_ms
        for run in self._runs_by_end_time(name):
            end_ms = self._now_ms + run.remaining_ms
            if within_limit(used, limit) and end_ms > start_ms:
                break
            used = used - run.used
            start_ms = end_ms
        if not within_limit(used, limit):
            return None
        self._holds[name] = _Hold(start_ms, used)
        return start_ms

    def _runs_by_end_time(self, organisation: str) -> Sequence[PlacedRun]:
        runs = [each for each in self._placed_runs if each.organisation == organisation]
        return sorted(runs, key=lambda each: (each.remaining_ms, each.name))

    def runs_to_preempt(
        self, step: ReadyStep, runs: PreemptibleRuns, max_lost_work: float
    ) -> tuple[PlacedRun, ...]:
        """Return runs of a step's organisation to stop, so that the limit has room for the step.

        Returns none if those that are stopping are enough, or if more than `max_lost_work` would be
        lost. Runs that may not exist are waited for, not compensated.
        """
        name = step.job.organisation
        promised = self._promised.get(name, NOTHING) + step.step.demand.times(len(step.waiting))
        known = self._used[name] - self._uncertain[name]
        needed = known + promised - runs.stopping_of(name)
        missing = exceeding(needed, self._limits[name])
        victims: dict[PlacedRun, None] = {}
        lost_work = 0.0
        for run in runs.in_organisation(step):
            if missing == NOTHING:
                break
            if run in victims or not _frees(run, missing):
                continue
            for member in runs.gang_members(run):
                victims[member] = None
                lost_work += member.lost_work
                missing = _above_zero(missing - member.used)
        if missing != NOTHING or lost_work > max_lost_work:
            return ()
        self._promised[name] = promised
        self._holds[name] = _Hold(
            self._now_ms, self._used_after_stops(name, promised, runs, victims)
        )
        return tuple(victims)

    def _used_after_stops(
        self,
        name: str,
        promised: Resources,
        runs: PreemptibleRuns,
        victims: Iterable[PlacedRun],
    ) -> Resources:
        """Return what is used once all stops have ended and what they were for has started.

        Other work may not use what the stops free, however short it is: it would have to be stopped
        in turn.
        """
        used = self._used[name] + promised - runs.stopping_of(name)
        for run in victims:
            used = used - run.used
        return used
