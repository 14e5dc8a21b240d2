"""Kinds of work and a worker whose tasks disturb each other, for tests of interference."""

from collections.abc import Mapping
from random import Random

from hornbeamfold.batch import Resources, RunName, TaskRef, WorkKind
from hornbeamfold.interference import Observation


def kind(image: str) -> WorkKind:
    """Return the kind of the tasks of an image."""
    return WorkKind("sousse-crew", "queue", image, Resources())


class SharedWorker:
    """A worker on which tasks progress at rates that depend on the tasks beside them.

    `factors` has how many times as long a task of one image takes beside one of another. `speed` is
    that of the worker, and `noise` the relative error of a reported figure.
    """

    def __init__(
        self,
        worker_id: str,
        factors: Mapping[tuple[str, str], float],
        random: Random,
        speed: float = 1.0,
        noise: float = 0.0,
    ) -> None:
        self._worker_id = worker_id
        self._factors = factors
        self._random = random
        self._speed = speed
        self._noise = noise
        self._clock_ms = 1_000
        self._started = 0
        self._images: dict[RunName, str] = {}
        self._work_ms: dict[RunName, float] = {}
        self._percent: dict[RunName, float] = {}

    @property
    def worker_id(self) -> str:
        """The id of the worker."""
        return self._worker_id

    @property
    def clock_ms(self) -> int:
        """The worker's clock."""
        return self._clock_ms

    def set_speed(self, speed: float) -> None:
        """Change the speed of the worker."""
        self._speed = speed

    def lengthen(self, name: RunName, factor: float) -> None:
        """Let the rest of a task take this many times as long."""
        self._work_ms[name] *= factor

    def start(self, image: str, work_ms: float = 10_000) -> RunName:
        """Start a task that takes this long on a worker of its own."""
        self._started += 1
        name = RunName(f"{self._worker_id}-{self._started}", TaskRef(0, 0, 0), 1)
        self._images[name] = image
        self._work_ms[name] = work_ms
        self._percent[name] = 0.5
        return name

    def end(self, name: RunName) -> None:
        """End a task, unless it has ended."""
        for about in (self._images, self._work_ms, self._percent):
            about.pop(name, None)

    @property
    def running(self) -> tuple[RunName, ...]:
        """The tasks that have not ended."""
        return tuple(self._images)

    def advance(self, by_ms: int) -> list[Observation]:
        """Let time pass; return the report at its end. Tasks that are done then end."""
        self._clock_ms += by_ms
        for name, percent in tuple(self._percent.items()):
            if percent >= 100:
                self.end(name)
        for name, image in self._images.items():
            factor = 1.0
            for other, beside in self._images.items():
                if other != name:
                    factor *= self._factors.get((image, beside), 1.0)
            rate = self._speed / factor * (1 + self._random.gauss(0, self._noise))
            self._percent[name] += max(0.0, 100 * by_ms * rate / self._work_ms[name])
        return [
            Observation(name, kind(image), percent=min(100.0, int(self._percent[name])))
            for name, image in self._images.items()
        ]
