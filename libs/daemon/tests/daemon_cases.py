"""A small cluster and fakes that the tests of the daemon share."""

from types import SimpleNamespace

from hornbeamfold.model.events import (
    Entry,
    JobPlaced,
    JobSubmitted,
    MemberReport,
    MembersReported,
    OrganisationPut,
    Record,
    WorkersPut,
    ZoneSet,
)
from hornbeamfold.model.topology import Member, Shape, Worker
from hornbeamfold.model.work import JobSpec, MemberState
from hornbeamfold.view import View

WALL_MS = 1_700_000_000_000
KEY = ("a", "j")


class Clock:
    """A clock that the test moves."""

    def __init__(self, now_ms=0):
        self.now_ms = now_ms

    def __call__(self):
        """Return the present time."""
        return self.now_ms


def worker(name):
    """Return a worker of zone z with four accelerators."""
    return Worker(name, "127.0.0.1:1", "z", "r", int(name[1:]), 8, 16, 4, 4, 8)


class Cluster:
    """A view of two workers, folded from one writer's records."""

    def __init__(self):
        self.view = View()
        self.at_ms = WALL_MS
        self.fold(
            OrganisationPut("a", (), 1.0, 0),
            ZoneSet("z", "east", True, 0),
            WorkersPut((worker("w0"), worker("w1")), (), 0),
        )

    def entry(self, *events):
        """Return the next entry of the log."""
        offset = self.view.offset
        return Entry(offset, self.at_ms, Record("w", offset + 1, events))

    def fold(self, *events):
        """Fold events and return their verdicts."""
        return self.view.apply(self.entry(*events))

    def place(self, workers=("w0", "w1"), checkpointable=False):
        """Submit job j and place it with two accelerators on each worker."""
        size = 2 * len(workers)
        spec = JobSpec(*KEY, "train", "{}", Shape(size, size), 1_000, checkpointable=checkpointable)
        members = tuple(Member(name, (0, 1), 2, 1) for name in workers)
        self.fold(JobSubmitted(spec), JobPlaced(*KEY, 1, members, 0))
        return self.view.jobs[KEY]

    def report(self, name, state):
        """Fold a report on the member on one worker."""
        self.fold(MembersReported((MemberReport(*KEY, 1, name, state),)))
        return self.view.jobs[KEY]

    def run(self, **values):
        """Place job j and let all its members run."""
        job = self.place(**values)
        for status in job.members:
            job = self.report(status.member.worker, MemberState.RUNNING)
        return job


class Ticket:
    """The verdicts of submitted events; None stands for a log that does not answer."""

    def __init__(self, applied):
        self.applied = applied

    def wait(self, timeout_ms):
        """Return the verdicts."""
        return self.applied

    def withdraw(self):
        """Take nothing back: the record may be on its way."""
        return False


class Writer:
    """Folds what is submitted at once, or loses it while `down`."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.down = False
        self.events = []

    def submit(self, events):
        """Fold events and return their ticket."""
        self.events += events
        return Ticket(None if self.down else self.cluster.fold(*events))


def follower_of(cluster):
    """Return what services use of a follower."""
    changed = SimpleNamespace(wait=lambda timeout_ms: True, notify=lambda: None)
    return SimpleNamespace(view=cluster.view, changed=changed, ready=True)
