"""The figures of a finished request trial."""

from dataclasses import dataclass

from hornbeamfold.bench.request_stream import SLOTS, URGENT_DEADLINE_MS, WORKERS, Job, in_burst
from hornbeamfold.bench.request_world import ZONES, World

OUTAGE_MS, OUTAGE_ZONE = (60_000, 85_000), "monastir"
URGENT_START_TARGET_MS = 1_400.0


@dataclass(frozen=True)
class Result:
    """The figures of one policy for one seed; times in milliseconds, work in busy slots.

    `urgent_start_in_target` is the share of all urgent requests, refused ones included.
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


def share_at(values: list[float], share: float) -> float:
    """Return a quantile of the values."""
    ordered = sorted(values)
    return round(ordered[min(len(ordered) - 1, int(share * len(ordered)))], 1) if ordered else 0.0


def slots_of(jobs: list[Job], begin_ms: float, end_ms: float, without: str = "") -> float:
    """Return the mean number of slots with work that was answered, all but one zone's.

    The work of a request is its first successful run, so repeated runs add nothing.
    """
    work_ms = 0.0
    for job in jobs:
        started_ms, ended_ms, zone = job.run
        if job.outcome == "done" and zone != without:
            work_ms += max(0.0, min(end_ms, ended_ms) - max(begin_ms, started_ms))
    return work_ms / (end_ms - begin_ms)


def possible_slots(jobs: list[Job]) -> float:
    """Return the slots that could be busy in the outage: what is offered, or all that remain."""
    begin, end = OUTAGE_MS
    offered = [j for j in jobs if j.arrived_ms < end and (j.ended_ms > begin or not j.outcome)]
    remaining = WORKERS * SLOTS * (1 - 1 / len(ZONES))
    return min(remaining, sum(j.service_ms for j in offered) / (end - begin))


def result_of(world: World, seed: int) -> Result:
    """Work out the figures of a finished run."""
    jobs = world.jobs
    done = [j for j in jobs if j.outcome == "done"]
    urgent = [j.ended_ms - j.arrived_ms for j in done if j.kind.urgent]
    patient = [j.ended_ms - j.arrived_ms for j in done if not j.kind.urgent]
    all_urgent = [j for j in jobs if j.kind.urgent]
    starts = [j.started_ms - j.arrived_ms for j in all_urgent if j.starts]
    in_target = sum(1 for start_ms in starts if start_ms <= URGENT_START_TARGET_MS)
    burst = [j for j in jobs if j.kind.urgent and in_burst(j.arrived_ms)]
    burst_done = [j.ended_ms - j.arrived_ms for j in burst if j.outcome == "done"]
    missed = [float(URGENT_DEADLINE_MS)] * (len(burst) - len(burst_done))
    refused = [j for j in jobs if j.outcome in ("refused", "unknown")]
    begin, end = OUTAGE_MS
    length = end - begin
    work_out = slots_of(jobs, begin, end, OUTAGE_ZONE)
    return Result(
        policy=world.policy.name,
        seed=seed,
        requests=len(jobs),
        urgent_p50=share_at(urgent, 0.5),
        urgent_p95=share_at(urgent, 0.95),
        urgent_p99=share_at(urgent, 0.99),
        burst_urgent_p99=share_at(burst_done, 0.99),
        burst_urgent_p99_with_refused=share_at(burst_done + missed, 0.99),
        urgent_start_p50=share_at(starts, 0.5),
        urgent_start_p95=share_at(starts, 0.95),
        urgent_start_p99=share_at(starts, 0.99),
        urgent_start_in_target=round(in_target / max(1, len(all_urgent)), 4),
        patient_p50=share_at(patient, 0.5),
        patient_p95=share_at(patient, 0.95),
        patient_p99=share_at(patient, 0.99),
        refused_urgent=sum(1 for j in refused if j.kind.urgent),
        refused_patient=sum(1 for j in refused if not j.kind.urgent),
        failed=sum(1 for j in jobs if j.outcome == "failed"),
        retries=sum(j.retries for j in jobs),
        busy_replies=world.busy_replies,
        duplicates=sum(max(0, j.starts - 1) for j in jobs if not j.kind.idempotent),
        lost=sum(1 for j in jobs if not j.outcome),
        false_reports=sum(1 for j in jobs if j.outcome == "refused" and j.starts),
        megabytes_across=round(world.bytes_across / 1e6, 1),
        work_before=round(slots_of(jobs, begin - length, begin), 1),
        work_out=round(work_out, 1),
        work_after=round(slots_of(jobs, end, end + length), 1),
        work_out_share=round(work_out / possible_slots(jobs), 3),
        decision_us=round(world.decision_ns / max(1, world.decisions) / 1000, 1),
    )
