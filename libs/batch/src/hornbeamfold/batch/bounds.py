"""Time bounds that operators set for a deployment, in milliseconds."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Bounds:
    """Time bounds of one deployment."""

    lease_max_ms: int = 6_000  # the longest lease that a worker accepts
    stop_ms: int = 200  # a worker stops a run within this time
    revoke_ms: int = 5_000  # a revoked API key is rejected after this time
    zone_out_ms: int = 5_000  # no run starts in a zone later than this after it was taken out
    drain_ms: int = 2_500  # no run starts on a worker later than this after it began to drain
    configuration_ms: int = 2_500  # no run starts by a replaced configuration after this time
    cancel_ms: int = 3_000  # no run of a job starts later than this after its cancellation
    early_ms: int = 250  # a scheduled task may start this long before its time
    grace_period_ms: int = 6_000  # from SIGTERM to SIGKILL
    # A serving task may exceed its latency target for this long beside best-effort tasks.
    latency_grace_ms: int = 4_500
    pacing_ms: int = 100  # a worker paces a run within this time
