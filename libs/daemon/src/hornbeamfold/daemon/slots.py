"""The slot on a worker that a request holds while it is dispatched."""

from collections.abc import Callable

from hornbeamfold.model.topology import Worker
from hornbeamfold.routing import Choice


class Slot:
    """A slot on a worker, held from the choice of the worker to the end of the run."""

    def __init__(self, worker: Worker, choice: Choice, on_release: Callable[[str], None]) -> None:
        self._worker = worker
        self._choice = choice
        self._on_release = on_release
        self._held = True

    @property
    def worker(self) -> Worker:
        """The chosen worker."""
        return self._worker

    @property
    def choice(self) -> Choice:
        """The routing decision that chose the worker."""
        return self._choice

    def release(self) -> None:
        """Release the slot; later calls have no effect."""
        if not self._held:
            return
        self._held = False
        self._on_release(self._worker.name)
