"""Tests of what is believed of the speeds of workers."""

import unittest
from collections.abc import Mapping, Sequence
from math import log
from random import Random

from hornbeamfold.batch import RunName, RunningTask, TaskRef
from hornbeamfold.estimates import ProgressRates, SiblingDurations, WorkerSpeeds
from hornbeamfold.estimates.sibling_durations import MAX_SIBLINGS

USUAL_WORKERS = 20


def run_name(job_id: str, index: int = 0) -> RunName:
    """Return the name of the first run of a task."""
    return RunName(job_id, TaskRef(0, 0, index), 1)


class Fleet:
    """Workers that run tasks one after the other, and report each second."""

    def __init__(self, speeds: Mapping[str, float], seed: int = 1) -> None:
        self._speeds = dict(speeds)
        self._random = Random(seed)
        self._now_ms = 0
        self._jobs = 0
        self._durations_ms: dict[RunName, float] = {}
        self._progress: dict[RunName, float] = {}
        self._workers: dict[RunName, str] = {}
        self._rates = ProgressRates()
        self._siblings = SiblingDurations()
        self._known = WorkerSpeeds()

    @property
    def known(self) -> WorkerSpeeds:
        """What is believed of the workers."""
        return self._known

    def set_speed(self, worker_id: str, speed: float) -> None:
        """Change how fast a worker is."""
        self._speeds[worker_id] = speed

    def submit(self, tasks_per_worker: int = 3, longest_share: float = 0.03) -> None:
        """Start a job with some tasks on each worker, which differ in length."""
        self._jobs += 1
        index = 0
        for worker_id in self._speeds:
            for _ in range(tasks_per_worker):
                name = run_name(f"j{self._jobs}", index)
                index += 1
                tail = 7 if self._random.random() < longest_share else 1
                self._durations_ms[name] = 5_000 * tail * self._random.lognormvariate(0, 0.3)
                self._progress[name] = 0.0
                self._workers[name] = worker_id

    def run(self, seconds: int) -> None:
        """Let time pass, with one report of each run in each second."""
        for _ in range(seconds):
            self._now_ms += 1_000
            for name, worker_id in tuple(self._workers.items()):
                step = 100_000 * self._speeds[worker_id] / self._durations_ms[name]
                self._progress[name] += step
                if self._progress[name] >= 100:
                    del self._workers[name]
                    continue
                self._report(name, worker_id)
            self._known.update(self._now_ms)

    def _report(self, name: RunName, worker_id: str) -> None:
        task = RunningTask(name, "", self._progress[name])
        duration_ms = self._rates.duration_ms(task, self._now_ms)
        if duration_ms is None:
            return
        self._siblings.add(name, worker_id, duration_ms)
        usual = self._siblings.log_usual_ms(name, worker_id, self.known.log_speed)
        if usual is not None:
            log_speed = usual - log(duration_ms)
            self.known.add_sample(worker_id, 1, name, log_speed, self._now_ms)

    def speeds(self) -> Sequence[float]:
        """Return the believed speeds, in the order of the workers."""
        beliefs = self.known.beliefs
        return [beliefs[each].speed if each in beliefs else 1.0 for each in self._speeds]


class WorkerSpeedsTest(unittest.TestCase):
    def known_after(self, samples: Mapping[str, Sequence[float]], now_ms: int = 0) -> WorkerSpeeds:
        """Return what is known once runs have suggested these speeds for workers."""
        known = WorkerSpeeds()
        for worker_id, speeds in samples.items():
            for index, speed in enumerate(speeds):
                known.add_sample(worker_id, 1, run_name(worker_id, index), log(speed), now_ms)
        known.update(now_ms)
        return known

    def usual_workers(self) -> dict[str, list[float]]:
        return {f"u{index}": [0.8, 0.9, 1.0, 1.1, 1.25] for index in range(USUAL_WORKERS)}

    def test_one_slow_task_is_no_slow_worker(self) -> None:
        known = self.known_after({**self.usual_workers(), "w": [0.14]})
        self.assertEqual(dict(known.slowdowns), {})

    def test_many_slow_tasks_are_a_slow_worker(self) -> None:
        known = self.known_after({**self.usual_workers(), "w": [0.2, 0.25, 0.2, 0.17, 1.0]})
        self.assertEqual(list(known.slowdowns), ["w"])
        self.assertGreater(known.slowdowns["w"], 3)
        self.assertEqual(known.very_slow(["w", "u1", "u2"]), {"w"})

    def test_workers_of_several_speeds_are_told_apart(self) -> None:
        """Load: workers at 0.6, 1.0 and 1.6 of the usual speed, tasks that vary, one in 30 long."""
        actual = [(0.6, 1.0, 1.6)[index % 3] for index in range(48)]
        fleet = Fleet({f"w{index}": speed for index, speed in enumerate(actual)})
        for _ in range(2):
            fleet.submit()
        fleet.run(5)
        close = [
            abs(log(believed / speed)) < log(1.3)
            for believed, speed in zip(fleet.speeds(), actual, strict=True)
        ]
        self.assertGreater(sum(close), 0.8 * len(actual))

    def test_workers_that_are_alike_stay_alike(self) -> None:
        """Load: tasks that vary, one in 30 long, on workers that don't: plans must not change."""
        for seed in range(5):
            fleet = Fleet({f"w{index}": 1.0 for index in range(48)}, seed)
            for _ in range(3):
                fleet.submit()
                fleet.run(3)
            with self.subTest(seed=seed):
                self.assertLessEqual(len(fleet.known.slowdowns), 2)

    def test_nobody_is_slow_if_the_whole_service_is(self) -> None:
        fleet = Fleet({f"w{index}": 1.0 for index in range(24)})
        fleet.submit(5)
        fleet.run(3)
        for index in range(24):
            fleet.set_speed(f"w{index}", 0.2)
        fleet.submit(5)
        fleet.run(5)
        self.assertEqual(fleet.known.very_slow([f"w{index}" for index in range(24)]), frozenset())
        self.assertLessEqual(len(fleet.known.slowdowns), 2)

    def test_a_worker_that_turns_slow_is_found_within_seconds_and_returns(self) -> None:
        """Load: workers turn slow by five times for some seconds."""
        fleet = Fleet({f"w{index}": 1.0 for index in range(24)})
        fleet.submit(5, longest_share=0)
        fleet.run(2)
        fleet.set_speed("w3", 0.2)
        fleet.run(3)
        self.assertGreater(fleet.known.slowdowns.get("w3", 1.0), 2)
        fleet.set_speed("w3", 1.0)
        for _ in range(3):
            fleet.submit(5, longest_share=0)
            fleet.run(4)
        self.assertLess(fleet.known.slowdowns.get("w3", 1.0), 1.3)

    def test_a_slow_worker_without_new_tasks_is_tried_again(self) -> None:
        known = self.known_after({"w": [0.2] * 6, **self.usual_workers()})
        self.assertIn("w", known.slowdowns)
        known.update(300_000)
        self.assertNotIn("w", known.slowdowns)

    def test_most_workers_are_never_shut_out(self) -> None:
        known = self.known_after(
            {**self.usual_workers(), **{f"s{index}": [0.2] * 6 for index in range(5)}}
        )
        self.assertEqual(len(known.very_slow([*(f"s{i}" for i in range(5)), "u1"])), 0)
        self.assertEqual(len(known.very_slow([*(f"s{i}" for i in range(5)), *known.beliefs])), 5)

    def test_a_new_incarnation_starts_with_the_speed_of_its_machine(self) -> None:
        """Load: workers leave and come back, on the same machine or on another one."""
        known = self.known_after({**self.usual_workers(), "w": [0.2] * 6})
        known.add_sample("w", 2, run_name("b", 0), log(0.2), 1_000)
        known.update(1_000)
        self.assertGreater(known.slowdowns["w"], 2)
        self.assertLess(known.beliefs["w"].weight, 2)
        for index in range(5):
            known.add_sample("w", 2, run_name("b", index), 0.0, 2_000)
        known.update(2_000)
        self.assertLess(known.slowdowns.get("w", 1.0), 1.3)


class SiblingDurationsTest(unittest.TestCase):
    def test_tasks_are_compared_with_siblings_elsewhere_only(self) -> None:
        """A job whose tasks are all longer than its caller said makes no worker slow."""
        siblings = SiblingDurations()
        for index in range(8):
            siblings.add(run_name("a", index), "w1", 50_000.0)
        name = run_name("a")
        self.assertIsNone(siblings.log_usual_ms(name, "w1", lambda _: 0.0))
        for index in range(8, 12):
            self.assertIsNone(siblings.log_usual_ms(name, "w1", lambda _: 0.0))
            siblings.add(run_name("a", index), f"w{2 + index // 11}", 10_000.0)
        usual = siblings.log_usual_ms(name, "w1", lambda _: 0.0)
        self.assertAlmostEqual(usual or 0.0, log(10_000))
        corrected = siblings.log_usual_ms(name, "w1", lambda _: log(2))
        self.assertAlmostEqual(corrected or 0.0, log(20_000))

    def test_of_a_wide_step_only_the_latest_tasks_are_compared(self) -> None:
        """Guards against reports that each cost as much as all tasks of the steps that run there.

        Load: jobs of a thousand tasks on hundreds of workers, of which each reports every second.
        """
        siblings = SiblingDurations()
        for index in range(1_000):
            duration_ms = 10_000.0 if index < 1_000 - MAX_SIBLINGS else 20_000.0
            siblings.add(run_name("a", index), f"w{index % 100}", duration_ms)
        compared: list[str] = []

        def log_speed(worker_id: str) -> float:
            compared.append(worker_id)
            return 0.0

        usual = siblings.log_usual_ms(run_name("a"), "new", log_speed)
        self.assertAlmostEqual(usual or 0.0, log(20_000))
        self.assertLessEqual(len(compared), MAX_SIBLINGS)

    def test_steps_that_are_not_open_are_forgotten(self) -> None:
        siblings = SiblingDurations()
        for index in range(3):
            siblings.add(run_name("a", index), f"w{2 + index}", 10_000.0)
        self.assertIsNotNone(siblings.log_usual_ms(run_name("a"), "w1", lambda _: 0.0))
        siblings.retain(lambda job_id, occurrence, step: (job_id, occurrence, step) == ("a", 0, 0))
        self.assertIsNotNone(siblings.log_usual_ms(run_name("a"), "w1", lambda _: 0.0))
        siblings.retain(lambda job_id, occurrence, step: False)
        self.assertIsNone(siblings.log_usual_ms(run_name("a"), "w1", lambda _: 0.0))


class ProgressRatesTest(unittest.TestCase):
    def test_the_latest_rate_counts(self) -> None:
        rates = ProgressRates()
        reports = [(0, 10.0, None), (100, 12.0, None), (1_000, 20.0, 10_000.0)]
        reports += [(2_000, 22.0, 50_000.0), (3_000, 22.5, None), (4_000, 23.0, 200_000.0)]
        for at_ms, percent, expected in reports:
            with self.subTest(at_ms=at_ms):
                task = RunningTask(run_name("a"), "", percent)
                self.assertEqual(rates.duration_ms(task, at_ms), expected)


if __name__ == "__main__":
    unittest.main()
