"""Run time estimates, corrected by a factor learned for each organisation and kind of job."""

from collections.abc import Mapping

from hornbeamfold.model import Job, JobSpec, JobState

# A stopping job has at most 5 s for its checkpoint and 5 s for its stop.
MAX_STOPPING_MS = 10_000
# A job that exceeds its estimate is expected to run for this share of its elapsed time more:
# when estimates are far off, the remaining time grows with the elapsed time.
OVERRUN_SHARE = 0.5


def estimated_ms(spec: JobSpec, estimates: Mapping[tuple[str, str], float]) -> int:
    """Return the declared run time multiplied by the learned correction factor."""
    return int(spec.declared_ms * estimates.get((spec.organisation, spec.kind), 1.0))


def expected_end_ms(job: Job, estimates: Mapping[tuple[str, str], float], now_ms: int) -> int:
    """Return when an active job is expected to release its accelerators, always after `now_ms`."""
    if job.state is JobState.STOPPING:
        return max(now_ms + 1, job.stopping_ms + MAX_STOPPING_MS)
    started_ms = job.running_ms or job.placed_ms
    end_ms = started_ms + estimated_ms(job.spec, estimates)
    if end_ms > now_ms:
        return end_ms
    return now_ms + max(1_000, int((now_ms - started_ms) * OVERRUN_SHARE))
