"""The lease of the runs on one worker, as far as orders that were sent may have extended it."""

from hornbeamfold.batch import Bounds, Clock

# Work on a lost worker restarts after its lease expires. Together with
# `session.MAX_RENEWAL_STATE_AGE_MS`, work continues for 12 s without the store.
MAX_LEASE_MS = 6_000
# A worker's clock may be 2% slow. The margin is for the delivery of the renewal.
MIN_CLOCK_RATE = 0.97
CLOCK_MARGIN_MS = 300


def lease_ms(bounds: Bounds) -> int:
    """Return for how long a renewal extends a worker's lease."""
    return min(bounds.lease_max_ms, MAX_LEASE_MS)


class WorkerLease:
    """Grants the lease deadlines of all orders to one worker, and knows when the last one expires.

    A worker applies the deadline of any order, a renewal or a start, to all of its runs, and it may
    have received orders that it did not answer. So each deadline is granted here before it is sent.
    """

    def __init__(self, bounds: Bounds, clock: Clock, expired_by_ms: int) -> None:
        self._longest_ms = int(bounds.lease_max_ms / MIN_CLOCK_RATE) + CLOCK_MARGIN_MS
        self._lease_ms = lease_ms(bounds)
        self._clock = clock
        self._expired_by_ms = expired_by_ms
        self._worker_clock_ms = 0
        self._worker_clock_read_ms: int | None = None
        # The last deadline that was granted to this incarnation, on its clock.
        self._granted_ms: int | None = None

    @property
    def expired_by_ms(self) -> int:
        """The time by which all runs on the worker have ended if no renewal reaches it."""
        return self._expired_by_ms

    def set_worker_clock(self, worker_clock_ms: int) -> None:
        """Note the reading of the worker's clock in an answer that has just been received."""
        self._worker_clock_ms = worker_clock_ms
        self._worker_clock_read_ms = self._clock()

    def begin_incarnation(self) -> None:
        """Note that another incarnation of the worker is known from now on, with another clock.

        A start order that was on its way to the previous incarnation may start its run on this one,
        with the longest lease that the worker allows.
        """
        self._expired_by_ms = max(self._expired_by_ms, self._clock() + self._longest_ms)
        self._worker_clock_read_ms = None
        self._granted_ms = None

    def grant_renewal(self) -> int | None:
        """Return the deadline of a renewal on the worker's clock, or None if that is unknown."""
        worker_clock_ms = self._worker_clock()
        if worker_clock_ms is None:
            return None
        return self._grant(worker_clock_ms, self._lease_ms)

    def grant_start(self, until_ms: int) -> int | None:
        """Return the deadline of a start that is valid until a local time, or None if too late.

        The deadline is on the worker's clock. It is at most that of the last renewal, so that
        starts do not extend the lease of a worker whose answers are lost.
        """
        worker_clock_ms = self._worker_clock()
        if worker_clock_ms is None:
            return None
        valid_ms = until_ms - self._clock()
        if self._granted_ms is None:
            valid_ms = min(valid_ms, self._lease_ms)
        else:
            valid_ms = min(valid_ms, self._granted_ms - worker_clock_ms)
        if valid_ms <= 0:
            return None
        return self._grant(worker_clock_ms, valid_ms)

    def _grant(self, worker_clock_ms: int, duration_ms: int) -> int:
        deadline_ms = worker_clock_ms + duration_ms
        if self._granted_ms is None or deadline_ms > self._granted_ms:
            self._granted_ms = deadline_ms
            expired_by_ms = self._clock() + int(duration_ms / MIN_CLOCK_RATE) + CLOCK_MARGIN_MS
            self._expired_by_ms = max(self._expired_by_ms, expired_by_ms)
        return deadline_ms

    def _worker_clock(self) -> int | None:
        """Return the lowest possible reading of the worker's clock, or None if it is unknown."""
        if self._worker_clock_read_ms is None:
            return None
        elapsed_ms = self._clock() - self._worker_clock_read_ms
        return self._worker_clock_ms + int(elapsed_ms * MIN_CLOCK_RATE)
