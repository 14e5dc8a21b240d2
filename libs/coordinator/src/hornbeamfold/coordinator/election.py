"""Decides when an instance claims to be the coordinator.

The store decides who is: it accepts the records of one producer with the highest epoch only.
"""

from collections.abc import Callable
from random import Random

from hornbeamfold.batch import Clock, Fence, Fenced, Stored, TopicPort
from hornbeamfold.coordinator.announcer import BEAT_MS
from hornbeamfold.coordinator.fenced_writer import PRODUCER
from hornbeamfold.coordinator.latency import StoreLatency
from hornbeamfold.ledger import CoordinatorRecord, Replica, encode_coordinator
from hornbeamfold.telemetry import counter, get_logger

logger = get_logger("hornbeamfold.coordinator.election")
_claims = counter("hornbeamfold_claims", "Claims to be the coordinator by outcome.")

# Three missed beats, so that a coordinator whose append is slow once is left alone. In a store that
# is 60 times slower than usual its records are about 700 ms apart.
SILENCE_MS = 3 * BEAT_MS + 200
# A read waits this long for records; more time between two reads says nothing of the coordinator.
MAX_READ_GAP_MS = 600
# Spreads the claims of several instances.
JITTER_MS = 250
# A round trip longer than this crosses regions. A coordinator there spends it on every append.
NEAR_ROUND_TRIP_MS = 25
FAR_DELAY_MS = 400
# A planning pass and the orders of a burst take a slow processor several times as long.
FAST_CORES = 1.0
SLOW_DELAY_MS = 400
CLAIM_TIMEOUT_MS = 1_200
# For each millisecond that the store is slower than at its best, silence has to last so much
# longer: a beat takes an append and the pause after it, and its reader may be two reads behind.
SLOW_STORE_FACTOR = 4
# In a slow store claims are spread over a longer time. It refuses appends when too many wait.
JITTER_GROWTH_MS = 50
# A time of the store that is older is measured again before a claim.
MAX_SAMPLE_AGE_MS = 400
# A claim that the store took is read back well within this time.
CLAIM_PAUSE_MS = 700
# Two claims of one epoch with the same sequence number would look like one that is repeated.
MAX_FIRST_SEQUENCE = 1 << 40


class Election:
    """Watches for silence of the coordinator, and claims."""

    def __init__(
        self,
        incarnation: str,
        topic: TopicPort,
        replica: Replica,
        clock: Clock,
        may_claim: Callable[[], bool],
        latency: StoreLatency,
        cores: float = FAST_CORES,
        read_soon: Callable[[], None] = lambda: None,
    ) -> None:
        self._incarnation = incarnation
        self._topic = topic
        self._replica = replica
        self._clock = clock
        self._may_claim = may_claim
        self._latency = latency
        self._cores = cores
        self._read_soon = read_soon
        self._random = Random(incarnation)
        self._last_read_ms: int | None = None
        self._silence_ms = 0
        self._heard = False
        self._jitter_ms = self._random.randrange(JITTER_MS)
        self._claimed_epoch = 0
        self._claimed_ms: int | None = None
        self._sequences: dict[int, int] = {}

    def sequence_of(self, epoch: int) -> int:
        """Return the sequence number with which an epoch was claimed here."""
        return self._sequences[epoch]

    @property
    def favoured(self) -> bool:
        """Whether this instance is near the store and fast, and so claims before others."""
        return self._latency.least_ms <= NEAR_ROUND_TRIP_MS and self._cores >= FAST_CORES

    def on_read(self, confirmed_ms: int | None) -> None:
        """Count the time in which the log was read and the coordinator wrote nothing.

        `confirmed_ms` is when all of the log was known last, or None after a failed read.
        """
        if confirmed_ms is None or self._last_read_ms is None:
            # Silence that an instance could not have heard is not the coordinator's.
            self._silence_ms = 0
            self._last_read_ms = confirmed_ms
            return
        self._silence_ms += min(confirmed_ms - self._last_read_ms, MAX_READ_GAP_MS)
        if self._heard:
            self._silence_ms = 0
            self._heard = False
        self._last_read_ms = confirmed_ms

    def heard(self) -> None:
        """Note that the records of the read that is being applied have some of the coordinator."""
        self._heard = True

    def is_own(self, record: CoordinatorRecord | None) -> bool:
        """Tell whether this incarnation is the coordinator that a record names."""
        return (
            record is not None
            and record.incarnation == self._incarnation
            and not record.resigned
            and record.epoch in self._sequences
        )

    def claim_if_due(self) -> None:
        """Claim the next epoch if the present coordinator is silent or has resigned."""
        now = self._clock()
        if self._claimed_ms is not None and now - self._claimed_ms < CLAIM_PAUSE_MS:
            return
        present = self._replica.coordinator
        if self._silence_ms < self._wait_ms(present) or not self._may_claim():
            return
        if self._latency.age_ms > MAX_SAMPLE_AGE_MS:
            # Others may have read the store for this instance.
            self._latency.sample()
            if self._silence_ms < self._wait_ms(present):
                return
        self._claim(present.epoch if present is not None else 0, now)

    def _wait_ms(self, present: CoordinatorRecord | None) -> float:
        """Return after how much silence this instance claims."""
        slower_ms = self._latency.slower_ms
        wait_ms = self._jitter_ms * (1 + slower_ms / JITTER_GROWTH_MS)
        if self._latency.least_ms > NEAR_ROUND_TRIP_MS:
            wait_ms += FAR_DELAY_MS
        if self._cores < FAST_CORES:
            wait_ms += SLOW_DELAY_MS
        if present is not None and not present.resigned:
            wait_ms += SILENCE_MS + SLOW_STORE_FACTOR * slower_ms
        return wait_ms

    def _claim(self, known_epoch: int, now: int) -> None:
        epoch = max(known_epoch, self._claimed_epoch) + 1
        sequence = self._random.randrange(1, MAX_FIRST_SEQUENCE)
        self._sequences[epoch] = sequence
        self._claimed_epoch = epoch
        record = encode_coordinator(CoordinatorRecord(self._incarnation, epoch))
        outcome = self._topic.append([record], Fence(PRODUCER, epoch, sequence), CLAIM_TIMEOUT_MS)
        # Whatever the answer, only the record that is read from the log makes a coordinator.
        self._claimed_ms = self._clock()
        self._jitter_ms = self._random.randrange(JITTER_MS)
        taken = isinstance(outcome, Stored)
        self._read_soon()
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
