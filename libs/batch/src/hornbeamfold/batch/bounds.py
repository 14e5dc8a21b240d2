"""The bounds that the operators of a deployment set, in milliseconds."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Bounds:
    """Time bounds of one deployment."""

    lease_max_ms: int = 6_000  # longest lease that a worker grants
    stop_ms: int = 200  # a worker stops a run within this time
    revoke_ms: int = 5_000  # a key that was taken away is refused after this time
    zone_out_ms: int = 5_000  # nothing starts in a zone that long after it was taken out
    drain_ms: int = 2_500  # nothing starts on a worker that long after it began to drain
    cancel_ms: int = 3_000  # nothing starts for a job that long after its cancellation
    early_ms: int = 250  # a scheduled task may start that much before its time
    grace_period_ms: int = 6_000  # from SIGTERM to SIGKILL
