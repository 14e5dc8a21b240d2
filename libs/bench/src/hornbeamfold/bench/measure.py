"""Measures this version against the baseline in both trials and prints one JSON document."""

from argparse import ArgumentParser
from collections.abc import Callable, Iterable, Mapping
from dataclasses import asdict, dataclass
from json import dumps
from statistics import median
from time import process_time

from hornbeamfold.bench import placement_trial
from hornbeamfold.bench.request_policies import PLAIN, ROUTED
from hornbeamfold.bench.request_trial import run_one

DEFAULT_SEEDS = 3
HOUR_MS = 3_600_000

Row = Mapping[str, float]
# Returns a figure from the rows of this version and of the baseline for one seed.
Figure = Callable[[Row, Row], float | None]


@dataclass(frozen=True)
class Spread:
    """A figure over the seeds."""

    median: float
    smallest: float
    largest: float


@dataclass(frozen=True)
class Trial:
    """The rows of both policies; one row for each seed, in the same order."""

    this_version: tuple[Row, ...]
    baseline: tuple[Row, ...]


@dataclass(frozen=True)
class Goal:
    """A goal of section 1.3 of the design page, judged on one figure of one trial."""

    name: str
    trial: str
    figure_name: str
    bound: float
    at_most: bool
    figure: Figure


@dataclass(frozen=True)
class Verdict:
    """Whether the median over the seeds meets a goal; `met` is null without a figure."""

    goal: str
    trial: str
    figure: str
    bound: str
    measured: Spread | None
    met: bool | None
    seeds_met: int


def flatten(values: Mapping[str, object], prefix: str = "") -> dict[str, float]:
    """Return the numbers of nested mappings under joined names."""
    row: dict[str, float] = {}
    for name, value in values.items():
        if isinstance(value, Mapping):
            row.update(flatten(value, f"{prefix}{name}_"))
            continue
        if isinstance(value, int | float):
            row[prefix + name] = float(value)
    return row


def request_rows(seeds: Iterable[int]) -> Trial:
    """Run the request trial."""
    rows: list[tuple[Row, Row]] = []
    for seed in seeds:
        routed, plain = (asdict(run_one(seed, policy)) for policy in (ROUTED, PLAIN))
        del routed["seed"], plain["seed"]
        rows.append((flatten(routed), flatten(plain)))
    return Trial(tuple(routed for routed, _ in rows), tuple(plain for _, plain in rows))


def job_rows(seeds: Iterable[int]) -> Trial:
    """Run the placement trial; work becomes busy accelerators and a share of what was allowed."""
    results = placement_trial.run_trial(seeds)
    begin, end = placement_trial.ZONE_OUT_MS
    # The last period has no fixed length: it lasts until the last job ends.
    lengths = {"before": begin, "during": end - begin}

    def row_of(result: placement_trial.PolicyResult) -> Row:
        row = flatten(asdict(result))
        for name in ("before", "during", "after"):
            kept = row.get(f"{name}_done", 0.0) - row.get(f"{name}_lost", 0.0)
            if row.get(f"{name}_allowed"):
                row[f"{name}_share"] = kept / row[f"{name}_allowed"]
            if name in lengths:
                row[f"{name}_busy_accelerators"] = kept * HOUR_MS / lengths[name]
        return row

    return Trial(
        tuple(row_of(result) for result in results["policy"]),
        tuple(row_of(result) for result in results["baseline"]),
    )


def own(name: str) -> Figure:
    """Return a figure that is a value of this version."""
    return lambda this_version, _: this_version.get(name)


def ratio(name: str) -> Figure:
    """Return a figure that is this version's value as a share of the baseline's."""

    def figure(this_version: Row, baseline: Row) -> float | None:
        if name not in this_version or not baseline.get(name):
            return None
        return this_version[name] / baseline[name]

    return figure


BURST = "urgent p99 completion time in bursts is at most half of the baseline's"
FRAGMENTATION = "fragmentation is at most half of the baseline's"
WORK = "work done while a zone is out is at least 95% of what the remaining capacity allows"
START = "urgent work starts within 1.4 s"
REFUSED = "ratio of p99, with unanswered requests counted at their deadline"
RECLAIM = "p99 of the start in s; starts that need a reclaim are not left out"
GOALS = (
    Goal(BURST, "requests", "ratio of p99", 0.5, True, ratio("burst_urgent_p99")),
    Goal(BURST, "requests", REFUSED, 0.5, True, ratio("burst_urgent_p99_with_refused")),
    Goal(BURST, "jobs", "ratio of p99", 0.5, True, ratio("burst_completion_p99")),
    Goal(FRAGMENTATION, "jobs", "ratio, waiting shapes", 0.5, True, ratio("unusable_share")),
    Goal(FRAGMENTATION, "jobs", "ratio, all shapes", 0.5, True, ratio("layout_share")),
    Goal(WORK, "requests", "share", 0.95, False, own("work_out_share")),
    Goal(WORK, "jobs", "share", 0.95, False, own("during_share")),
    Goal(START, "requests", "p99 of the start in ms", 1_400.0, True, own("urgent_start_p99")),
    Goal(START, "jobs", RECLAIM, 1.4, True, own("urgent_start_p99")),
)


def spread(values: Iterable[float]) -> Spread:
    """Return the median with the smallest and the largest value."""
    found = list(values)
    return Spread(round(median(found), 4), round(min(found), 4), round(max(found), 4))


def spreads(rows: tuple[Row, ...]) -> dict[str, Spread]:
    """Return each figure over the seeds; hours by reason are 0 in a seed without that reason."""
    names = dict.fromkeys(name for row in rows for name in row)
    return {name: spread(row.get(name, 0.0) for row in rows) for name in names}


def judge(goal: Goal, trial: Trial) -> Verdict:
    """Return whether a goal is met, with the figure that says so."""
    bound = f"at {'most' if goal.at_most else 'least'} {goal.bound:g}"
    pairs = zip(trial.this_version, trial.baseline, strict=True)
    found = [value for pair in pairs if (value := goal.figure(*pair)) is not None]
    if not found:
        return Verdict(goal.name, goal.trial, goal.figure_name, bound, None, None, 0)

    def meets(value: float) -> bool:
        return value <= goal.bound if goal.at_most else value >= goal.bound

    return Verdict(
        goal.name,
        goal.trial,
        goal.figure_name,
        bound,
        spread(found),
        meets(median(found)),
        sum(1 for value in found if meets(value)),
    )


def measure(seeds: tuple[int, ...]) -> dict[str, object]:
    """Run both trials over the seeds and return the document."""
    begin = process_time()
    trials = {"requests": request_rows(seeds), "jobs": job_rows(seeds)}
    figures = {
        name: {
            "this_version": {key: asdict(s) for key, s in spreads(trial.this_version).items()},
            "baseline": {key: asdict(s) for key, s in spreads(trial.baseline).items()},
        }
        for name, trial in trials.items()
    }
    verdicts = [asdict(judge(goal, trials[goal.trial])) for goal in GOALS]
    conditions = {
        "seeds": list(seeds),
        "clock": "virtual; only times for each decision are processor time",
        "processor_s": round(process_time() - begin, 1),
    }
    return {"conditions": conditions, **figures, "goals": verdicts}


def main() -> None:
    """Print the document; goals that are missed do not change the exit code."""
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
