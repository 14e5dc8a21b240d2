"""A small cluster and fakes shared by the daemon tests."""

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
    """A clock that the test sets."""

    def __init__(self, now_ms=0):
        self.now_ms = now_ms

    def __call__(self):
        """Return the current time."""
        return self.now_ms


def make_worker(name):
    """Return a worker of zone z with four accelerators."""
    return Worker(name, "127.0.0.1:1", "z", "r", int(name[1:]), 8, 16, 4, 4, 8)


class Cluster:
    """A view of a zone with two workers, built from the records of one writer."""

    def __init__(self):
        self.view = View()
        self.at_ms = WALL_MS
        self.apply(
            OrganisationPut("a", (), 1.0, 0),
            ZoneSet("z", "east", True, 0),
            WorkersPut((make_worker("w0"), make_worker("w1")), (), 0),
        )

    def entry(self, *events):
        """Return the next log entry, with the given events."""
        offset = self.view.offset
        return Entry(offset, self.at_ms, Record("w", offset + 1, events))

    def apply(self, *events):
        """Apply events to the view and return their verdicts."""
        return self.view.apply(self.entry(*events))

    def place(self, workers=("w0", "w1"), checkpointable=False):
        """Submit job j and place it with two accelerators on each worker."""
        size = 2 * len(workers)
        spec = JobSpec(*KEY, "train", "{}", Shape(size, size), 1_000, checkpointable=checkpointable)
        members = tuple(Member(name, (0, 1), 2, 1) for name in workers)
        self.apply(JobSubmitted(spec), JobPlaced(*KEY, 1, members, 0))
        return self.view.jobs[KEY]

    def report(self, name, state):
        """Apply a report of the state of the member on one worker."""
        self.apply(MembersReported((MemberReport(*KEY, 1, name, state),)))
        return self.view.jobs[KEY]

    def run(self, **values):
        """Place job j and report all its members as running."""
        job = self.place(**values)
        for status in job.members:
            job = self.report(status.member.worker, MemberState.RUNNING)
        return job


class Ticket:
    """The verdicts of submitted events; None if the log does not answer."""

    def __init__(self, applied):
        self.applied = applied

    def wait(self, timeout_ms):
        """Return the verdicts."""
        return self.applied

    def withdraw(self):
        """Return False: the record may already have been sent."""
        return False


class Writer:
    """Applies submitted events immediately, or loses them while `down`."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.down = False
        self.events = []

    def submit(self, events):
        """Apply events and return their ticket."""
        self.events += events
        return Ticket(None if self.down else self.cluster.apply(*events))


def make_follower(cluster):
    """Return a fake follower with the attributes that the services use."""
    changed = SimpleNamespace(wait=lambda timeout_ms: True, notify=lambda: None)
    return SimpleNamespace(view=cluster.view, changed=changed, ready=True)
