"""A clock, factories and hooks for tests of the coordinator."""

from collections.abc import Callable

from hornbeamfold.batch import (
    BatchJob,
    Bounds,
    JobProgress,
    LeaseRenewal,
    LeaseReport,
    NoAnswer,
    Refused,
    Resources,
    Step,
    Worker,
    WorkerPort,
)
from hornbeamfold.coordinator.job_tracker import JobTracker
from hornbeamfold.coordinator.orders import OrderHooks
from hornbeamfold.coordinator.session import MIN_BUSY_RENEWAL_WAIT_MS, Session, SessionHooks

CAPACITY = Resources(64_000, 256_000, 8)
BOUNDS = Bounds()


class ManualClock:
    """A clock that advances only on request."""

    def __init__(self, now_ms: int = 1_000_000) -> None:
        self._now_ms = now_ms

    def __call__(self) -> int:
        return self._now_ms

    def move(self, by_ms: int) -> None:
        """Advance the clock."""
        self._now_ms += by_ms


def worker(worker_id: str = "w1", born_ms: int = 1) -> Worker:
    """Return a worker with 8 accelerators."""
    return Worker(worker_id, born_ms, "planner", "127.0.0.1:1", "sousse", CAPACITY, rack="r1")


def job(job_id: str, *steps: Step, max_attempts: int = 2, **changes: object) -> BatchJob:
    """Return a job; by default it has one step of two tasks."""
    fields = {
        "job_id": job_id,
        "queue": "queue",
        "service": "planner",
        "organisation": "sousse-crew",
        "payload": "{}",
        "steps": steps or (Step(2, Resources(1_000, 1_000, 1), 1_000),),
        "priority": 1,
        "max_attempts": max_attempts,
        "stretch": 3.0,
        "slack_ms": 1_000,
        "submitted_ms": 0,
    }
    return BatchJob(**{**fields, **changes})  # type: ignore[arg-type]


def tracker_with(clock: ManualClock, *jobs: BatchJob) -> JobTracker:
    """Return a tracker of these jobs."""
    tracker = JobTracker(clock)
    for each in jobs:
        tracker.add(each, JobProgress())
    return tracker


class RecordedCalls:
    """Records the calls of a session to its coordinator and simulates the coordinator's state."""

    def __init__(self) -> None:
        self._events: list[tuple[str, object]] = []
        self._active = True
        self._state_age_ms = 0

    @property
    def state_age_ms(self) -> int:
        """The age of the coordinator's last confirmed state."""
        return self._state_age_ms

    def set_state_age(self, age_ms: int) -> None:
        """Set the age of the coordinator's last confirmed state."""
        self._state_age_ms = age_ms

    @property
    def events(self) -> list[tuple[str, object]]:
        """The name and argument of each call, in order."""
        return self._events

    def named(self, name: str) -> list[object]:
        """Return the arguments of the calls with this name."""
        return [argument for event, argument in self._events if event == name]

    def note(self, name: str, argument: object) -> None:
        """Record a call."""
        self._events.append((name, argument))

    def end(self) -> None:
        """End the coordinator's term."""
        self._active = False

    def begin(self) -> None:
        """Begin the coordinator's term again."""
        self._active = True

    @property
    def active(self) -> bool:
        """Whether the term continues."""
        return self._active


def hooks(calls: RecordedCalls, clock: ManualClock) -> SessionHooks:
    """Return hooks that record every call and report changes as stored at once."""
    return SessionHooks(
        orders=OrderHooks(
            is_active=lambda: calls.active,
            state_confirmed_ms=lambda: clock() - calls.state_age_ms,
            on_settled=lambda name: calls.note("settled", name),
            on_not_started=lambda run, reason: calls.note("not started", reason),
            on_fenced=lambda reason: (calls.note("fenced", reason), calls.end())[0],
            is_active_run=lambda name: True,
            may_start=lambda run, worker: not calls.named("draining"),
            on_sent=lambda name, born_ms: calls.note("sent", (name, born_ms)),
            on_held=lambda name, holding: calls.note("held", holding),
        ),
        busy_wait_ms=lambda: MIN_BUSY_RENEWAL_WAIT_MS,
        on_report=lambda session, report, sent_ms: calls.note("report", report),
        on_ended=lambda session, ended: (calls.note("ended", ended), len(ended))[1],
        on_runs_lost=lambda session, reason, born_ms: calls.note("runs lost", reason),
        after_store=lambda callback: callback(),
    )


Renew = Callable[[LeaseRenewal], LeaseReport | Refused | NoAnswer]


def session(
    calls: RecordedCalls,
    clock: ManualClock,
    renew: Renew,
    born_ms: int = 1,
    worker_id: str = "w1",
    bounds: Bounds = BOUNDS,
    **port: Callable,
) -> Session:
    """Return a session whose worker answers renewals with `renew`."""

    def refuse(*_: object) -> NoAnswer:
        return NoAnswer("not expected in this test")

    workers = WorkerPort(
        renew=lambda _, renewal: renew(renewal),
        start=port.get("start", refuse),
        stop=port.get("stop", refuse),
    )
    return Session(
        worker(worker_id, born_ms), 7, workers, hooks(calls, clock), bounds, clock, clock()
    )
