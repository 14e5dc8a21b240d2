"""Decides when an instance claims the coordinator role.

The store decides which claim wins: it accepts only the records with a producer's highest epoch.
"""

from collections.abc import Callable
from random import Random

from hornbeamfold.batch import Clock, Fence, Fenced, Stored, TopicPort
from hornbeamfold.coordinator.announcer import HEARTBEAT_MS
from hornbeamfold.coordinator.fenced_writer import PRODUCER
from hornbeamfold.coordinator.latency import StoreLatency
from hornbeamfold.ledger import CoordinatorRecord, Replica, encode_coordinator
from hornbeamfold.telemetry import counter, get_logger

logger = get_logger("hornbeamfold.coordinator.election")
_claims = counter("hornbeamfold_claims", "Claims to be the coordinator by outcome.")

# Three missed heartbeats, so that one slow append does not trigger an election. When the store is
# 60 times slower than usual, the coordinator's records are about 700 ms apart.
ELECTION_TIMEOUT_MS = 3 * HEARTBEAT_MS + 200
# A read waits this long for records. A longer gap between reads is not the coordinator's silence.
MAX_READ_GAP_MS = 600
# Random delay that spreads the claims of several instances.
JITTER_MS = 250
# A longer round trip to the store crosses regions. A coordinator there pays it on every append, so
# instances there claim later.
SAME_REGION_ROUND_TRIP_MS = 25
OTHER_REGION_DELAY_MS = 400
# With fewer cores, a planning pass and the orders of a burst take several times as long, so such
# instances claim later.
FULL_SPEED_CORES = 1.0
SLOW_PROCESSOR_DELAY_MS = 400
CLAIM_TIMEOUT_MS = 1_200
# The election timeout grows by this factor of the store's excess latency: a heartbeat takes an
# append and the pause after it, and its reader may be two reads behind.
SLOW_STORE_TIMEOUT_FACTOR = 4
# The jitter grows by its own length for each such excess latency of the store, as a slow store
# refuses appends when too many are queued.
JITTER_GROWTH_MS = 50
# Older latency samples of the store are renewed before a claim.
MAX_SAMPLE_AGE_MS = 400
# The minimum time between claims. A claim that the store accepted is read back well within it.
CLAIM_COOLDOWN_MS = 700
# First sequence numbers are random: two claims of one epoch with the same sequence number would
# look like a retry of one append.
MAX_FIRST_SEQUENCE = 1 << 40


class Election:
    """Detects a silent coordinator and claims the next epoch."""

    def __init__(
        self,
        incarnation: str,
        topic: TopicPort,
        replica: Replica,
        clock: Clock,
        may_claim: Callable[[], bool],
        latency: StoreLatency,
        cores: float = FULL_SPEED_CORES,
        request_read: Callable[[], None] = lambda: None,
    ) -> None:
        self._incarnation = incarnation
        self._topic = topic
        self._replica = replica
        self._clock = clock
        self._may_claim = may_claim
        self._latency = latency
        self._cores = cores
        self._request_read = request_read
        self._random = Random(incarnation)
        self._last_read_ms: int | None = None
        self._silence_ms = 0
        self._coordinator_seen = False
        self._jitter_ms = self._random.randrange(JITTER_MS)
        self._claimed_epoch = 0
        self._claimed_ms: int | None = None
        self._sequences: dict[int, int] = {}

    def sequence_of(self, epoch: int) -> int:
        """Return the sequence number with which this instance claimed an epoch."""
        return self._sequences[epoch]

    @property
    def is_preferred(self) -> bool:
        """Whether this instance claims without extra delay: close to the store and fast."""
        return self._latency.min_ms <= SAME_REGION_ROUND_TRIP_MS and self._cores >= FULL_SPEED_CORES

    def on_read(self, confirmed_ms: int | None) -> None:
        """Count the time in which the log was readable and had no coordinator records.

        `confirmed_ms` is when the log was last known to be read to its end; None after a failure.
        """
        if confirmed_ms is None or self._last_read_ms is None:
            # While the log is unreadable, missing records say nothing about the coordinator.
            self._silence_ms = 0
            self._last_read_ms = confirmed_ms
            return
        self._silence_ms += min(confirmed_ms - self._last_read_ms, MAX_READ_GAP_MS)
        if self._coordinator_seen:
            self._silence_ms = 0
            self._coordinator_seen = False
        self._last_read_ms = confirmed_ms

    def on_coordinator_records(self) -> None:
        """Record that the read being applied contains records of the coordinator."""
        self._coordinator_seen = True

    def is_own(self, record: CoordinatorRecord | None) -> bool:
        """Return whether a record names this incarnation as the coordinator."""
        return (
            record is not None
            and record.incarnation == self._incarnation
            and not record.resigned
            and record.epoch in self._sequences
        )

    def claim_if_due(self) -> None:
        """Claim the next epoch if the current coordinator is silent or has resigned."""
        now = self._clock()
        if self._claimed_ms is not None and now - self._claimed_ms < CLAIM_COOLDOWN_MS:
            return
        current = self._replica.coordinator
        if self._silence_ms < self._claim_delay_ms(current) or not self._may_claim():
            return
        if self._latency.age_ms > MAX_SAMPLE_AGE_MS:
            # The instance may have read through a relay instead of the store.
            self._latency.sample()
            if self._silence_ms < self._claim_delay_ms(current):
                return
        self._claim(current.epoch if current is not None else 0, now)

    def _claim_delay_ms(self, current: CoordinatorRecord | None) -> float:
        """Return the silence after which this instance claims."""
        excess_ms = self._latency.excess_ms
        wait_ms = self._jitter_ms * (1 + excess_ms / JITTER_GROWTH_MS)
        if self._latency.min_ms > SAME_REGION_ROUND_TRIP_MS:
            wait_ms += OTHER_REGION_DELAY_MS
        if self._cores < FULL_SPEED_CORES:
            wait_ms += SLOW_PROCESSOR_DELAY_MS
        if current is not None and not current.resigned:
            wait_ms += ELECTION_TIMEOUT_MS + SLOW_STORE_TIMEOUT_FACTOR * excess_ms
        return wait_ms

    def _claim(self, known_epoch: int, now: int) -> None:
        epoch = max(known_epoch, self._claimed_epoch) + 1
        sequence = self._random.randrange(1, MAX_FIRST_SEQUENCE)
        self._sequences[epoch] = sequence
        self._claimed_epoch = epoch
        record = encode_coordinator(CoordinatorRecord(self._incarnation, epoch))
        outcome = self._topic.append([record], Fence(PRODUCER, epoch, sequence), CLAIM_TIMEOUT_MS)
        # Whatever the outcome, an instance is the coordinator only once it reads the record back.
        self._claimed_ms = self._clock()
        self._jitter_ms = self._random.randrange(JITTER_MS)
        taken = isinstance(outcome, Stored)
        self._request_read()
        if isinstance(outcome, Fenced):
            self._silence_ms = 0
        _claims(1, taken=taken)
        logger.info(
            "claimed",
            extra={
                "epoch": epoch,
                "silence_ms": self._silence_ms,
                "outcome": type(outcome).__name__,
                "took_ms": self._claimed_ms - now,
            },
        )
