"""Tests of learning which kinds of tasks disturb each other, from reports with noise."""

import unittest
from collections.abc import Mapping
from random import Random

from interference_cases import SharedWorker, kind

from hornbeamfold.batch import RunName, TaskRef
from hornbeamfold.interference import MIN_SAMPLES, DisturbanceLearner, Observation
from hornbeamfold.interference.learner import MAX_PAIRS

SEED = 41
REPORT_MS = 800
IMAGES = ("frame", "index", "noise")
FACTORS = {("frame", "noise"): 1.8}
# Two reports in the same state of the worker give one segment.
REPORTS_PER_STATE = 3


def watch(
    learner: DisturbanceLearner, shared: SharedWorker, reports: int = REPORTS_PER_STATE
) -> None:
    """Report the worker several times."""
    for _ in range(reports):
        seen = shared.advance(REPORT_MS)
        learner.observe(shared.worker_id, shared.clock_ms, seen)


def finish(learner: DisturbanceLearner, shared: SharedWorker) -> None:
    """End all tasks of a worker, after which their last segments count."""
    for name in shared.running:
        shared.end(name)
    watch(learner, shared, 1)


def trial(
    learner: DisturbanceLearner,
    factors: Mapping[tuple[str, str], float] = FACTORS,
    changes: int = 60,
    noise: float = 0.1,
    seed: int = SEED,
) -> None:
    """Let tasks arrive and leave at random on three workers of different speeds."""
    random = Random(seed)
    workers = [
        SharedWorker(f"w{number}", factors, random, speed, noise)
        for number, speed in enumerate((1.0, 0.6, 1.4))
    ]
    for shared in workers:
        learner.forget_worker(shared.worker_id)
    for _ in range(changes):
        for shared in workers:
            running = shared.running
            if len(running) > 3 or (running and random.random() < 0.3):
                shared.end(random.choice(running))
            else:
                shared.start(random.choice(IMAGES), random.choice((6_000, 12_000, 24_000)))
            watch(learner, shared)


class LearnerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.learner = DisturbanceLearner()

    def pairs(self) -> set[tuple[str, str]]:
        return {(each.victim.image, each.cause.image) for each in self.learner.findings}

    def test_finds_the_pair_that_disturbs_and_no_other(self) -> None:
        """Guards against pairs that are missed, or found, because samples are rough.

        Load: tasks of three lengths on workers of three speeds, with 10% noise in each report.
        """
        for seed in range(SEED, SEED + 10):
            with self.subTest(seed=seed):
                self.learner = DisturbanceLearner()
                trial(self.learner, seed=seed)
                self.assertEqual(self.pairs(), {("frame", "noise")})
                finding = self.learner.findings[0]
                self.assertGreater(finding.factor, 1.3)
                self.assertLess(finding.factor, 2.2)

    def test_finds_nothing_where_nothing_disturbs(self) -> None:
        """Guards against plans that change because of noise."""
        for seed in range(SEED, SEED + 20):
            with self.subTest(seed=seed):
                self.learner = DisturbanceLearner()
                trial(self.learner, {}, seed=seed)
                self.assertFalse(self.learner.has_findings)

    def test_finds_kinds_that_disturb_each_other(self) -> None:
        """Guards against effects in one direction only, and tasks that disturb their own kind."""
        factors = {("frame", "index"): 1.7, ("index", "frame"): 1.7, ("noise", "noise"): 1.7}
        trial(self.learner, factors, changes=120)
        self.assertEqual(self.pairs(), set(factors))

    def test_few_samples_are_no_evidence(self) -> None:
        """Guards against conclusions from a single coincidence."""
        random = Random(SEED)
        for number in range(2):
            shared = SharedWorker(f"w{number}", FACTORS, random)
            shared.start("frame", 15_000)
            watch(self.learner, shared)
            shared.start("noise", 60_000)
            watch(self.learner, shared)
            finish(self.learner, shared)
        self.assertFalse(self.learner.has_findings)

    def test_one_slow_worker_is_no_evidence(self) -> None:
        """Guards against blaming a neighbour for a worker that turns slow again and again."""
        random = Random(SEED)
        slow = SharedWorker("w1", {}, random)
        for _ in range(3 * MIN_SAMPLES):
            slow.start("frame", 20_000)
            slow.set_speed(1.0)
            watch(self.learner, slow, 5)
            slow.start("noise", 20_000)
            slow.set_speed(0.5)
            watch(self.learner, slow, 5)
            finish(self.learner, slow)
        self.assertFalse(self.learner.has_findings)

    def test_a_worker_that_turns_slow_under_many_runs_is_one_sample(self) -> None:
        """Guards against one event that counts once for each of the runs that it met."""
        random = Random(SEED)
        for number in range(2):
            shared = SharedWorker(f"w{number}", {}, random)
            for _ in range(4 * MIN_SAMPLES):
                shared.start("frame", 12_000)
            watch(self.learner, shared)
            shared.start("noise", 60_000)
            shared.set_speed(0.4)
            watch(self.learner, shared, 2 * REPORTS_PER_STATE)
            finish(self.learner, shared)
        self.assertFalse(self.learner.has_findings)

    def test_one_slow_task_among_several_is_no_evidence(self) -> None:
        """Guards against a task that turns slow by itself when a neighbour comes."""
        random = Random(SEED)
        for number in range(4 * MIN_SAMPLES):
            shared = SharedWorker(f"w{number}", {}, random)
            frames = [shared.start("frame", 12_000) for _ in range(3)]
            watch(self.learner, shared)
            shared.start("noise", 60_000)
            shared.lengthen(frames[0], 2.0)
            watch(self.learner, shared, 2 * REPORTS_PER_STATE)
            finish(self.learner, shared)
        self.assertFalse(self.learner.has_findings)

    def test_one_slow_task_is_no_evidence(self) -> None:
        """Guards against a long task that is compared with shorter ones of its kind."""
        random = Random(SEED)
        for number in range(4 * MIN_SAMPLES):
            shared = SharedWorker(f"w{number}", {}, random)
            shared.start("frame", 10_000 if number % 2 else 60_000)
            if number % 2 == 0:
                shared.start("noise", 60_000)
            watch(self.learner, shared)
            finish(self.learner, shared)
        self.assertFalse(self.learner.has_findings)

    def test_forgets_what_is_no_longer_so(self) -> None:
        """Guards against keeping kinds apart for good after a new version of one of them."""
        trial(self.learner, changes=600)
        self.assertEqual(self.pairs(), {("frame", "noise")})
        trial(self.learner, {}, changes=300, seed=SEED + 1)
        self.assertEqual(self.pairs(), set())
        self.assertFalse(self.learner.is_involved(kind("noise")))

    def test_learns_from_latencies(self) -> None:
        """Guards against serving tasks whose percent says nothing of their speed."""
        random = Random(SEED)
        clock_ms = 0
        for change in range(6 * MIN_SAMPLES):
            for _ in range(REPORTS_PER_STATE):
                clock_ms += REPORT_MS
                observed = []
                for number in range(2):
                    beside = change % 2
                    latency = 100 * (2.0 if beside else 1.0) * random.uniform(0.8, 1.25)
                    serving = RunName(f"s{number}", TaskRef(0, 0, 0), 1)
                    observed = [Observation(serving, kind("site"), latency_ms=latency)]
                    if beside:
                        filling = RunName(f"f{change}", TaskRef(0, 0, 0), 1)
                        observed.append(Observation(filling, kind("batch"), percent=10.0))
                    self.learner.observe(f"w{number}", clock_ms, observed)
        self.assertEqual(self.pairs(), {("site", "batch")})

    def test_reports_out_of_order_are_ignored(self) -> None:
        """Guards against late reports, which would show progress that goes backwards."""
        random = Random(SEED)
        shared = SharedWorker("w1", {}, random)
        shared.start("frame", 60_000)
        reports = []
        for _ in range(6):
            seen = shared.advance(REPORT_MS)
            reports.append((shared.clock_ms, seen))
        for clock_ms, seen in (reports[0], reports[4], reports[1], reports[5], reports[2]):
            self.learner.observe("w1", clock_ms, seen)
        self.assertFalse(self.learner.has_findings)

    def test_memory_is_bounded(self) -> None:
        """Guards against callers whose tasks never have the same needs twice."""
        random = Random(SEED)
        for number in range(MAX_PAIRS // 4):
            shared = SharedWorker("w1", {}, random)
            shared.start(f"a{number}", 20_000)
            shared.start(f"b{number}", 20_000)
            watch(self.learner, shared)
            shared.start(f"c{number}", 20_000)
            watch(self.learner, shared)
            self.learner.forget_worker("w1")
        self.assertLessEqual(len(self.learner._evidence), MAX_PAIRS)


if __name__ == "__main__":
    unittest.main()
