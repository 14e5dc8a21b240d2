"""Compares this version with the baseline in both trials and prints one JSON document."""

from argparse import ArgumentParser
from collections.abc import Callable, Iterable, Mapping
from dataclasses import asdict, dataclass
from json import dumps
from statistics import median
from time import process_time

from hornbeamfold.bench import placement_trial
from hornbeamfold.bench.request_policies import BASELINE, ROUTED
from hornbeamfold.bench.request_trial import run_one

DEFAULT_SEEDS = 3
HOUR_MS = 3_600_000

Row = Mapping[str, float]
# Computes a figure from the rows of this version and of the baseline for one seed.
Figure = Callable[[Row, Row], float | None]


@dataclass(frozen=True)
class Spread:
    """The median and the extremes of a figure over the seeds."""

    median: float
    smallest: float
    largest: float


@dataclass(frozen=True)
class TrialRows:
    """The figures of both policies, with one row for each seed in the same order."""

    this_version: tuple[Row, ...]
    baseline: tuple[Row, ...]


@dataclass(frozen=True)
class Goal:
    """A goal of section 1.3 of the design page, evaluated on one figure of one trial."""

    name: str
    trial: str
    figure_name: str
    bound: float
    at_most: bool
    figure: Figure


@dataclass(frozen=True)
class GoalResult:
    """Whether the median over the seeds meets a goal; `met` is null if no seed has the figure."""

    goal: str
    trial: str
    figure: str
    bound: str
    measured: Spread | None
    met: bool | None
    seeds_met: int


def flatten(values: Mapping[str, object], prefix: str = "") -> dict[str, float]:
    """Return the numbers of nested mappings, with the keys of each path joined by underscores."""
    row: dict[str, float] = {}
    for name, value in values.items():
        if isinstance(value, Mapping):
            row.update(flatten(value, f"{prefix}{name}_"))
            continue
        if isinstance(value, int | float):
            row[prefix + name] = float(value)
    return row


def run_request_trial(seeds: Iterable[int]) -> TrialRows:
    """Run the request trial with both policies."""
    pairs: list[tuple[Row, Row]] = []
    for seed in seeds:
        routed, baseline = (asdict(run_one(seed, policy)) for policy in (ROUTED, BASELINE))
        del routed["seed"], baseline["seed"]
        pairs.append((flatten(routed), flatten(baseline)))
    return TrialRows(tuple(routed for routed, _ in pairs), tuple(baseline for _, baseline in pairs))


def run_placement_trial(seeds: Iterable[int]) -> TrialRows:
    """Run the placement trial with both policies.

    Work is added as busy accelerators and as a share of the work that capacity and demand allowed.
    """
    results = placement_trial.run_trial(seeds)
    begin, end = placement_trial.ZONE_OUT_MS
    # The last period has no fixed length: it lasts until the last job ends.
    period_ms = {"before": begin, "during": end - begin}

    def row_of(result: placement_trial.PolicyResult) -> Row:
        row = flatten(asdict(result))
        for name in ("before", "during", "after"):
            net_work = row.get(f"{name}_done", 0.0) - row.get(f"{name}_lost", 0.0)
            if row.get(f"{name}_allowed"):
                row[f"{name}_share"] = net_work / row[f"{name}_allowed"]
            if name in period_ms:
                row[f"{name}_busy_accelerators"] = net_work * HOUR_MS / period_ms[name]
        return row

    return TrialRows(
        tuple(row_of(result) for result in results["policy"]),
        tuple(row_of(result) for result in results["baseline"]),
    )


def own_value(name: str) -> Figure:
    """Return a figure that takes the value of this version."""
    return lambda this_version, _: this_version.get(name)


def ratio(name: str) -> Figure:
    """Return a figure that divides the value of this version by that of the baseline."""

    def figure(this_version: Row, baseline: Row) -> float | None:
        if name not in this_version or not baseline.get(name):
            return None
        return this_version[name] / baseline[name]

    return figure


BURST_GOAL = "urgent p99 completion time in bursts is at most half of the baseline's"
FRAGMENTATION_GOAL = "fragmentation is at most half of the baseline's"
WORK_GOAL = "work done while a zone is out is at least 95% of what the remaining capacity allows"
START_GOAL = "urgent work starts within 1.4 s"
P99_WITH_REFUSED = "ratio of p99, with unanswered requests counted at their deadline"
START_WITH_RECLAIM = "p99 of the start in s; starts that need a reclaim are not left out"
GOALS = (
    Goal(BURST_GOAL, "requests", "ratio of p99", 0.5, True, ratio("burst_urgent_p99")),
    Goal(
        BURST_GOAL, "requests", P99_WITH_REFUSED, 0.5, True, ratio("burst_urgent_p99_with_refused")
    ),
    Goal(BURST_GOAL, "jobs", "ratio of p99", 0.5, True, ratio("burst_completion_p99")),
    Goal(FRAGMENTATION_GOAL, "jobs", "ratio, waiting shapes", 0.5, True, ratio("unusable_share")),
    Goal(FRAGMENTATION_GOAL, "jobs", "ratio, all shapes", 0.5, True, ratio("layout_share")),
    Goal(WORK_GOAL, "requests", "share", 0.95, False, own_value("work_out_share")),
    Goal(WORK_GOAL, "jobs", "share", 0.95, False, own_value("during_share")),
    Goal(
        START_GOAL,
        "requests",
        "p99 of the start in ms",
        1_400.0,
        True,
        own_value("urgent_start_p99"),
    ),
    Goal(START_GOAL, "jobs", START_WITH_RECLAIM, 1.4, True, own_value("urgent_start_p99")),
)


def spread(values: Iterable[float]) -> Spread:
    """Return the median with the smallest and the largest value."""
    sample = list(values)
    return Spread(round(median(sample), 4), round(min(sample), 4), round(max(sample), 4))


def spread_by_figure(rows: tuple[Row, ...]) -> dict[str, Spread]:
    """Return the spread of each figure; hours by reason are 0 in a seed that lacks the reason."""
    names = dict.fromkeys(name for row in rows for name in row)
    return {name: spread(row.get(name, 0.0) for row in rows) for name in names}


def evaluate_goal(goal: Goal, trial: TrialRows) -> GoalResult:
    """Evaluate a goal on the median of its figure over the seeds."""
    bound = f"at {'most' if goal.at_most else 'least'} {goal.bound:g}"
    pairs = zip(trial.this_version, trial.baseline, strict=True)
    values = [value for pair in pairs if (value := goal.figure(*pair)) is not None]
    if not values:
        return GoalResult(goal.name, goal.trial, goal.figure_name, bound, None, None, 0)

    def meets(value: float) -> bool:
        return value <= goal.bound if goal.at_most else value >= goal.bound

    return GoalResult(
        goal.name,
        goal.trial,
        goal.figure_name,
        bound,
        spread(values),
        meets(median(values)),
        sum(1 for value in values if meets(value)),
    )


def measure(seeds: tuple[int, ...]) -> dict[str, object]:
    """Run both trials over the seeds and return the JSON document."""
    begin = process_time()
    trials = {"requests": run_request_trial(seeds), "jobs": run_placement_trial(seeds)}
    figures = {
        name: {
            "this_version": {
                key: asdict(s) for key, s in spread_by_figure(trial.this_version).items()
            },
            "baseline": {key: asdict(s) for key, s in spread_by_figure(trial.baseline).items()},
        }
        for name, trial in trials.items()
    }
    goal_results = [asdict(evaluate_goal(goal, trials[goal.trial])) for goal in GOALS]
    conditions = {
        "seeds": list(seeds),
        "clock": "virtual; only times for each decision are processor time",
        "processor_s": round(process_time() - begin, 1),
    }
    return {"conditions": conditions, **figures, "goals": goal_results}


def main() -> None:
    """Print the document; missed goals do not change the exit code."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=DEFAULT_SEEDS, help="number of seeds")
    parser.add_argument("--quick", action="store_true", help="one seed")
    options = parser.parse_args()
    if options.seeds < 1:
        parser.error("--seeds must be at least 1")
    count = 1 if options.quick else options.seeds
    print(dumps(measure(tuple(range(1, count + 1))), indent=2))


if __name__ == "__main__":
    main()
