"""The figures that the placement trial measures for one policy on one job stream."""

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

    `idle` holds the hours that were allowed but not done, by reason. `lost_by` divides the lost
    hours by the reason of the stop and by whether the job could checkpoint.
    """

    done: float
    lost: float
    allowed: float
    idle: Mapping[str, float]
    lost_by: Mapping[str, float]

    @property
    def share(self) -> float:
        """The work done, less the work lost to stops, as a share of the work allowed."""
        return (self.done - self.lost) / self.allowed if self.allowed else 1.0


@dataclass(frozen=True)
class PolicyResult:
    """The figures of one policy for one stream; "patient" jobs are those that are not urgent.

    `unusable_share` is the mean over the times when jobs wait, for the shapes that wait then. These
    shapes differ between policies: a policy that starts small jobs early leaves only large ones
    waiting. The layout figures are for all shapes of the stream, so they are comparable between
    policies.
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
    """Return the quantiles, in seconds, of values in milliseconds."""
    ordered = sorted(values)
    p50, p95, p99 = (
        round(ordered[min(len(ordered) - 1, int(len(ordered) * share))] / 1000, 3)
        for share in (0.5, 0.95, 0.99)
    )
    return Quantiles(p50, p95, p99)
