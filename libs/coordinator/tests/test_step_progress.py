"""Tests of which tasks of a job wait and which are done."""

import random
import unittest

from coordinator_cases import job

from hornbeamfold.batch import BatchJob, Resources, Step, TaskRef
from hornbeamfold.coordinator.step_progress import StepProgress

SEEDS = range(20)
SMALL = Resources(1, 1)


class Model:
    """The same as StepProgress, with a phase for each task."""

    def __init__(self, modelled: BatchJob) -> None:
        self.job = modelled
        self.phases = {
            TaskRef(occurrence, step, index): "waiting"
            for occurrence in range(modelled.occurrences)
            for step, specification in enumerate(modelled.steps)
            for index in range(specification.count)
        }

    def of_step(self, occurrence: int, step: int) -> dict[int, str]:
        return {
            ref.index: phase for ref, phase in self.phases.items() if ref[:2] == (occurrence, step)
        }

    def is_done(self, occurrence: int, step: int) -> bool:
        return set(self.of_step(occurrence, step).values()) == {"done"}

    def waiting(self, occurrence: int, step: int) -> set[int]:
        tasks = self.of_step(occurrence, step)
        return {index for index, phase in tasks.items() if phase == "waiting"}

    def offerable(self, step: int) -> list[int]:
        return [
            occurrence
            for occurrence in range(self.job.occurrences)
            if self.waiting(occurrence, step)
            and all(self.is_done(occurrence, each) for each in self.job.steps[step].after)
        ]


class StepProgressTest(unittest.TestCase):
    def assert_equal(self, steps: StepProgress, model: Model) -> None:
        unfinished = sum(phase != "done" for phase in model.phases.values())
        self.assertEqual(steps.unfinished_tasks, unfinished)
        occurrences = model.job.occurrences
        for step in range(len(model.job.steps)):
            self.assertEqual(list(steps.offerable(step, 0, occurrences)), model.offerable(step))
            for occurrence in range(occurrences):
                waiting = model.waiting(occurrence, step)
                self.assertEqual(set(steps.waiting(occurrence, step)), waiting)
                self.assertEqual(steps.is_done(occurrence, step), model.is_done(occurrence, step))

    def test_random_runs_end_in_the_state_of_a_model(self) -> None:
        repeated = job(
            "a",
            Step(1, SMALL),
            Step(3, SMALL, after=(0,)),
            Step(2, SMALL),
            Step(1, SMALL, after=(1, 2)),
            repetitions=3,
        )
        for seed in SEEDS:
            with self.subTest(seed):
                choose = random.Random(seed)
                steps, model = StepProgress(repeated), Model(repeated)
                for _ in range(60):
                    ref = choose.choice(list(model.phases))
                    before = model.phases[ref]
                    if before == "waiting":
                        steps.begin(ref)
                        model.phases[ref] = "active"
                    elif before == "active" and choose.random() < 0.3:
                        steps.wait(ref)
                        model.phases[ref] = "waiting"
                    elif before == "active":
                        model.phases[ref] = "done"
                        self.assertEqual(steps.finish(ref), model.is_done(*ref[:2]))
                    self.assert_equal(steps, model)

    def test_a_gang_is_done_as_a_whole(self) -> None:
        """A member that ended is enough, so the others are done while they wait."""
        steps = StepProgress(job("a", Step(2, SMALL, gang=True)))
        steps.begin(TaskRef(0, 0, 0))
        self.assertFalse(steps.finish(TaskRef(0, 0, 0)))
        self.assertTrue(steps.finish(TaskRef(0, 0, 1)))
        self.assertEqual(steps.unfinished_tasks, 0)

    def test_occurrences_are_offered_within_a_range(self) -> None:
        steps = StepProgress(job("a", Step(1, SMALL), repetitions=10))
        steps.begin(TaskRef(4, 0, 0))
        self.assertEqual(list(steps.offerable(0, 3, 7)), [3, 5, 6])


if __name__ == "__main__":
    unittest.main()
