"""Computes the figures of a finished request trial."""

from dataclasses import dataclass

from hornbeamfold.bench.request_simulation import ZONES, Simulation
from hornbeamfold.bench.request_stream import SLOTS, URGENT_DEADLINE_MS, WORKERS, Job, in_burst

OUTAGE_MS, OUTAGE_ZONE = (60_000, 85_000), "monastir"
URGENT_START_TARGET_MS = 1_400.0


@dataclass(frozen=True)
class Result:
    """The figures of one policy for one seed; times in milliseconds, work in mean busy slots.

    "Patient" requests are those that are not urgent. `urgent_start_in_target` is a share of all
    urgent requests, including refused ones.
    """

    policy: str
    seed: int
    requests: int
    urgent_p50: float
    urgent_p95: float
    urgent_p99: float
    burst_urgent_p99: float
    burst_urgent_p99_with_refused: float
    urgent_start_p50: float
    urgent_start_p95: float
    urgent_start_p99: float
    urgent_start_in_target: float
    patient_p50: float
    patient_p95: float
    patient_p99: float
    refused_urgent: int
    refused_patient: int
    failed: int
    retries: int
    busy_replies: int
    duplicates: int
    lost: int
    false_reports: int
    megabytes_across: float
    work_before: float
    work_out: float
    work_after: float
    work_out_share: float
    decision_us: float


def quantile(values: list[float], share: float) -> float:
    """Return a quantile of the values, or 0 without values."""
    ordered = sorted(values)
    return round(ordered[min(len(ordered) - 1, int(share * len(ordered)))], 1) if ordered else 0.0


def mean_busy_slots(jobs: list[Job], begin_ms: float, end_ms: float, without: str = "") -> float:
    """Return the mean number of slots busy with answered requests, leaving out one zone.

    Only the first successful run of a request counts, so repeated runs add nothing.
    """
    work_ms = 0.0
    for job in jobs:
        started_ms, ended_ms, zone = job.first_success
        if job.outcome == "done" and zone != without:
            work_ms += max(0.0, min(end_ms, ended_ms) - max(begin_ms, started_ms))
    return work_ms / (end_ms - begin_ms)


def possible_slots(jobs: list[Job]) -> float:
    """Return the slots that could be busy in the outage: the offered load or all that remain."""
    begin_ms, end_ms = OUTAGE_MS
    offered_jobs = [
        j for j in jobs if j.arrived_ms < end_ms and (j.ended_ms > begin_ms or not j.outcome)
    ]
    remaining = WORKERS * SLOTS * (1 - 1 / len(ZONES))
    return min(remaining, sum(j.service_ms for j in offered_jobs) / (end_ms - begin_ms))


def summarise(simulation: Simulation, seed: int) -> Result:
    """Compute the figures of a finished run."""
    jobs = simulation.jobs
    answered = [j for j in jobs if j.outcome == "done"]
    urgent_ms = [j.ended_ms - j.arrived_ms for j in answered if j.kind.urgent]
    non_urgent_ms = [j.ended_ms - j.arrived_ms for j in answered if not j.kind.urgent]
    all_urgent = [j for j in jobs if j.kind.urgent]
    starts_ms = [j.started_ms - j.arrived_ms for j in all_urgent if j.starts]
    in_target = sum(1 for start_ms in starts_ms if start_ms <= URGENT_START_TARGET_MS)
    burst_jobs = [j for j in jobs if j.kind.urgent and in_burst(j.arrived_ms)]
    burst_ms = [j.ended_ms - j.arrived_ms for j in burst_jobs if j.outcome == "done"]
    missed_ms = [float(URGENT_DEADLINE_MS)] * (len(burst_jobs) - len(burst_ms))
    refused = [j for j in jobs if j.outcome in ("refused", "unknown")]
    begin_ms, end_ms = OUTAGE_MS
    length_ms = end_ms - begin_ms
    work_out = mean_busy_slots(jobs, begin_ms, end_ms, OUTAGE_ZONE)
    return Result(
        policy=simulation.policy.name,
        seed=seed,
        requests=len(jobs),
        urgent_p50=quantile(urgent_ms, 0.5),
        urgent_p95=quantile(urgent_ms, 0.95),
        urgent_p99=quantile(urgent_ms, 0.99),
        burst_urgent_p99=quantile(burst_ms, 0.99),
        burst_urgent_p99_with_refused=quantile(burst_ms + missed_ms, 0.99),
        urgent_start_p50=quantile(starts_ms, 0.5),
        urgent_start_p95=quantile(starts_ms, 0.95),
        urgent_start_p99=quantile(starts_ms, 0.99),
        urgent_start_in_target=round(in_target / max(1, len(all_urgent)), 4),
        patient_p50=quantile(non_urgent_ms, 0.5),
        patient_p95=quantile(non_urgent_ms, 0.95),
        patient_p99=quantile(non_urgent_ms, 0.99),
        refused_urgent=sum(1 for j in refused if j.kind.urgent),
        refused_patient=sum(1 for j in refused if not j.kind.urgent),
        failed=sum(1 for j in jobs if j.outcome == "failed"),
        retries=sum(j.retries for j in jobs),
        busy_replies=simulation.busy_replies,
        duplicates=sum(max(0, j.starts - 1) for j in jobs if not j.kind.idempotent),
        lost=sum(1 for j in jobs if not j.outcome),
        false_reports=sum(1 for j in jobs if j.outcome == "refused" and j.starts),
        megabytes_across=round(simulation.cross_region_bytes / 1e6, 1),
        work_before=round(mean_busy_slots(jobs, begin_ms - length_ms, begin_ms), 1),
        work_out=round(work_out, 1),
        work_after=round(mean_busy_slots(jobs, end_ms, end_ms + length_ms), 1),
        work_out_share=round(work_out / possible_slots(jobs), 3),
        decision_us=round(simulation.decision_ns / max(1, simulation.decisions) / 1000, 1),
    )
