"""Collects the measurements of one run of the placement trial."""

from collections.abc import Collection, Iterable, Mapping
from statistics import fmean

from hornbeamfold.bench.placement_idle import REASONS, ReservedWindows, idle_by_reason
from hornbeamfold.bench.placement_results import PolicyResult, Work, quantiles
from hornbeamfold.bench.placement_stream import MINUTE_MS, Arrival
from hornbeamfold.model import Job, JobState, Shape, StopReason, WorkerCapacity
from hornbeamfold.placement import fragmentation

JobKey = tuple[str, str]

PERIODS = ("before", "during", "after")
ZONE_OUT_MS = (50 * MINUTE_MS, 70 * MINUTE_MS)
# The run ends when all jobs have ended, at the latest here. Jobs that still wait count as starved.
HORIZON_MS = 600 * MINUTE_MS
STARVED_MS = 60 * MINUTE_MS


class Samples:
    """Work for each period, fragmentation at each sampling time, and job start and end times."""

    def __init__(self, arrivals: Mapping[JobKey, Arrival]) -> None:
        self._arrivals = arrivals
        self._shapes = [item.spec.shape for item in arrivals.values()]
        self._layouts: list[tuple[float, float, float, float, int]] = []
        self._work = {name: [0.0, 0.0, 0.0] for name in PERIODS}
        self._idle = {name: dict.fromkeys(REASONS, 0.0) for name in PERIODS}
        self._lost_by: dict[str, dict[str, float]] = {name: {} for name in PERIODS}
        self._first_start_ms: dict[JobKey, int] = {}
        self._end_ms: dict[JobKey, int] = {}
        self._decision_ms: list[float] = []
        self._stops = 0

    def add_time(
        self,
        now_ms: int,
        until_ms: int,
        jobs: Collection[Job],
        capacities: Mapping[str, WorkerCapacity],
        reserved: ReservedWindows,
    ) -> None:
        """Add the work and the idle accelerators between two events to the current period."""
        running = 0
        waiting = 0
        for job in jobs:
            if job.state is JobState.RUNNING:
                running += job.spec.shape.accelerators
            else:
                waiting += job.spec.shape.accelerators
        capacity = sum(c.worker.accelerators for c in capacities.values() if c.eligible)
        hours = (until_ms - now_ms) / 3_600_000
        name = _period(now_ms)
        allowed = min(capacity, running + waiting)
        self._work[name][0] += running * hours
        self._work[name][2] += allowed * hours
        idle = idle_by_reason(allowed - running, jobs, capacities, reserved)
        for reason, accelerators in idle.items():
            self._idle[name][reason] += accelerators * hours

    def add_layout(
        self, capacities: Mapping[str, WorkerCapacity], waiting: Iterable[Shape]
    ) -> None:
        """Add a sample of the fragmentation of the waiting shapes and of all shapes."""
        for_waiting = fragmentation(capacities, waiting)
        for_all = fragmentation(capacities, self._shapes)
        self._layouts.append((
            for_waiting.unusable_share, for_waiting.unusable_share * for_waiting.free,
            for_all.unusable_share, for_all.unusable_share * for_waiting.free,
            for_waiting.largest_run,
        ))  # fmt: skip

    def add_decision(self, spent_ms: float) -> None:
        """Add the processor time of one planning decision."""
        self._decision_ms.append(spent_ms)

    def add_start(self, key: JobKey, now_ms: int) -> None:
        """Record the start of a job; later starts of the same job are ignored."""
        self._first_start_ms.setdefault(key, now_ms)

    def add_end(self, key: JobKey, now_ms: int) -> None:
        """Record the end of a job."""
        self._end_ms[key] = now_ms

    def add_stop(self, job: Job, now_ms: int, lost_ms: int, reason: StopReason) -> None:
        """Record a stop that the policy decided, with the run time that is lost by it."""
        self._stops += 1
        lost = lost_ms * job.spec.shape.accelerators / 3_600_000
        name = _period(now_ms)
        self._work[name][1] += lost
        kind = "checkpointable" if job.spec.checkpointable else "lasting"
        cause = f"{reason.value} {kind}"
        self._lost_by[name][cause] = self._lost_by[name].get(cause, 0.0) + lost

    def result(self, unfinished: int) -> PolicyResult:
        """Return the figures of the run; `unfinished` is the number of jobs that have not ended."""
        urgent: list[int] = []
        burst: list[int] = []
        non_urgent: list[int] = []
        starts: list[int] = []
        waits: list[int] = []
        for key, item in self._arrivals.items():
            end = self._end_ms.get(key, HORIZON_MS)
            start = self._first_start_ms.get(key, HORIZON_MS)
            if item.spec.urgent:
                urgent.append(end - item.at_ms)
                starts.append(start - item.at_ms)
                if item.spec.shape.accelerators <= 8:
                    burst.append(end - item.at_ms)
            else:
                non_urgent.append(end - item.at_ms)
                waits.append(start - item.at_ms)
        work = {
            name: Work(done, lost, allowed, self._idle[name], self._lost_by[name])
            for name, (done, lost, allowed) in self._work.items()
        }
        layout_means = [fmean(column) for column in zip(*self._layouts, strict=True)]
        return PolicyResult(
            urgent_completion=quantiles(urgent),
            burst_completion=quantiles(burst),
            patient_completion=quantiles(non_urgent),
            urgent_start=quantiles(starts),
            unusable_share=layout_means[0],
            unusable_accelerators=layout_means[1],
            layout_share=layout_means[2],
            layout_accelerators=layout_means[3],
            largest_run=layout_means[4],
            before=work["before"],
            during=work["during"],
            after=work["after"],
            decision_ms=quantiles([ms * 1000 for ms in self._decision_ms]),
            longest_patient_wait_s=max(waits) / 1000,
            stops=self._stops,
            starved=sum(1 for wait in waits if wait > STARVED_MS),
            unfinished=unfinished,
        )


def _period(at_ms: int) -> str:
    if at_ms < ZONE_OUT_MS[0]:
        return "before"
    return "during" if at_ms < ZONE_OUT_MS[1] else "after"
