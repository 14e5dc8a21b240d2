"""What the placement trial measures about one policy on one stream."""

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True)
class Quantiles:
    """Quantiles of a sample in seconds."""

    p50: float
    p95: float
    p99: float


@dataclass(frozen=True)
class Work:
    """Accelerator hours in one period: done, lost to stops, and allowed by capacity and demand.

    `idle` are the hours that were allowed and not done, by reason. `lost_by` divides what was lost
    by the reason of the stop and by whether the job could checkpoint.
    """

    done: float
    lost: float
    allowed: float
    idle: Mapping[str, float]
    lost_by: Mapping[str, float]

    @property
    def share(self) -> float:
        """What was done, less what stops threw away, of what was allowed."""
        return (self.done - self.lost) / self.allowed if self.allowed else 1.0


@dataclass(frozen=True)
class PolicyResult:
    """What one policy did with one stream.

    `unusable_share` is over the shapes that wait under this policy while any do. The waiting
    shapes differ between policies: one that starts small jobs early leaves only large ones. The
    layout figures are over all shapes of the stream and so compare both on equal terms.
    """

    urgent_completion: Quantiles
    burst_completion: Quantiles
    patient_completion: Quantiles
    urgent_start: Quantiles
    unusable_share: float
    unusable_accelerators: float
    layout_share: float
    layout_accelerators: float
    largest_run: float
    before: Work
    during: Work
    after: Work
    decision_ms: Quantiles
    longest_patient_wait_s: float
    stops: int
    starved: int
    unfinished: int


def quantiles(values: list[int] | list[float]) -> Quantiles:
    """Return quantiles in seconds of a sample in milliseconds."""
    ranked = sorted(values)
    p50, p95, p99 = (
        round(ranked[min(len(ranked) - 1, int(len(ranked) * share))] / 1000, 3)
        for share in (0.5, 0.95, 0.99)
    )
    return Quantiles(p50, p95, p99)
