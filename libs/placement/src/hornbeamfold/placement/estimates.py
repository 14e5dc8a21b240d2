"""Corrected run time estimates, learned for each organisation and kind of job."""

from collections.abc import Mapping

from hornbeamfold.model import Job, JobSpec, JobState

# A stopping job has at most 5 s for its checkpoint and 5 s for its stop.
STOPPING_MS = 10_000
# A job that outlasts its estimate is expected to run this share of its elapsed time longer:
# with run times that are far off, the time left grows with the time already used.
OVERRUN_SHARE = 0.5


def estimated_ms(spec: JobSpec, estimates: Mapping[tuple[str, str], float]) -> int:
    """Return the declared time with the learned correction."""
    return int(spec.declared_ms * estimates.get((spec.organisation, spec.kind), 1.0))


def expected_end_ms(job: Job, estimates: Mapping[tuple[str, str], float], now_ms: int) -> int:
    """Return when an active job is expected to leave its accelerators; always after now."""
    if job.state is JobState.STOPPING:
        return max(now_ms + 1, job.stopping_ms + STOPPING_MS)
    started = job.running_ms or job.placed_ms
    end = started + estimated_ms(job.spec, estimates)
    if end > now_ms:
        return end
    return now_ms + max(1_000, int((now_ms - started) * OVERRUN_SHARE))
