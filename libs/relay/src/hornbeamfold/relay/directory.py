"""Finds the relay of this region in the store, and claims the role when the relay has failed.

The topic of relays holds one record for each region. The last claim written there wins.
"""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

import eventlet

from hornbeamfold.batch import Clock, ReadFailed, TopicPort
from hornbeamfold.decoding import DecodeError
from hornbeamfold.relay.codec import RELAY_KEY_PREFIX, RelayRecord, decode_relay, encode_relay
from hornbeamfold.telemetry import get_logger

logger = get_logger("hornbeamfold.relay.directory")

# After a failed read from the relay, an instance reads from the store for this long.
BACKOFF_MS = 1_000
# A relay without a successful read for this long is replaced. This is longer than one backoff.
FAILOVER_MS = 1_600
CHECK_INTERVAL_MS = 200
# Spreads the claims of several instances over time.
CLAIM_JITTER_MS = 400
# A slow instance waits this much longer, so that a fast one becomes the relay if there is one.
SLOW_INSTANCE_DELAY_MS = 1_500
# A relay needs about 1 ms for each read of another instance, which reads several times a second.
MIN_FAST_CORES = 1.0
CLAIM_TIMEOUT_MS = 1_000


@dataclass(frozen=True)
class LocalInstance:
    """The region, incarnation, address and processor cores of this instance."""

    region: str
    incarnation: str
    address: str
    cores: float


class Directory:
    """The relay of this region, as far as this instance knows it."""

    def __init__(
        self, local: LocalInstance, topic: TopicPort, clock: Clock, may_claim: Callable[[], bool]
    ) -> None:
        self._local = local
        self._topic = topic
        self._clock = clock
        self._may_claim = may_claim
        self._random = Random(local.incarnation)
        self._relay: RelayRecord | None = None
        self._backoff_until_ms = 0
        self._relay_available_ms = clock()
        self._looked_up = False

    @property
    def is_relay(self) -> bool:
        """Whether this instance is the relay of its region."""
        return self._relay is not None and self._relay.incarnation == self._local.incarnation

    def relay_address(self) -> str:
        """Return the address of the relay to read from; empty means to read from the store."""
        if self._relay is None or self.is_relay or self._clock() < self._backoff_until_ms:
            return ""
        return self._relay.address

    def record_failure(self, reason: str) -> None:
        """Record a failed read from the relay."""
        now = self._clock()
        if now >= self._backoff_until_ms:
            logger.warning(
                "relay_failed", extra={"address": self._known_address(), "reason": reason}
            )
        self._backoff_until_ms = now + BACKOFF_MS
        self._looked_up = False

    def record_success(self) -> None:
        """Record a successful read from the relay."""
        self._relay_available_ms = self._clock()

    def _known_address(self) -> str:
        return self._relay.address if self._relay is not None else ""

    def run(self) -> None:
        """Look the relay up when it fails, and claim its role when it has failed for too long."""
        while True:
            if not self.is_relay and not self._looked_up:
                self._looked_up = self._look_up()
            if self._claim_is_due():
                # Another instance may have claimed the role meanwhile.
                self._look_up()
            if self._claim_is_due():
                self._claim()
            eventlet.sleep(CHECK_INTERVAL_MS / 1_000)

    def _claim_is_due(self) -> bool:
        if self.is_relay or not self._may_claim():
            return False
        wait_ms = FAILOVER_MS + self._random.randrange(CLAIM_JITTER_MS)
        if self._local.cores < MIN_FAST_CORES:
            wait_ms += SLOW_INSTANCE_DELAY_MS
        return self._clock() - self._relay_available_ms > wait_ms

    def _look_up(self) -> bool:
        """Read the record of the relay from the store; return whether the store answered."""
        page = self._topic.newest("")
        if isinstance(page, ReadFailed):
            return False
        for record in page.records:
            if record.key == RELAY_KEY_PREFIX + self._local.region:
                self._update_relay(record.value)
        return True

    def _update_relay(self, value: bytes) -> None:
        try:
            relay_record = decode_relay(value)
        except DecodeError as error:
            logger.error("relay_unreadable", extra={"error": str(error)})
            return
        if relay_record == self._relay:
            return
        self._relay = relay_record
        self._backoff_until_ms = 0
        self._relay_available_ms = self._clock()
        logger.info(
            "relay_found",
            extra={"address": relay_record.address, "relay": relay_record.incarnation},
        )

    def _claim(self) -> None:
        record = RelayRecord(self._local.region, self._local.incarnation, self._local.address)
        outcome = self._topic.append([encode_relay(record)], None, CLAIM_TIMEOUT_MS)
        logger.info("relay_claimed", extra={"outcome": type(outcome).__name__})
        # The last claim in the log wins, which may be that of another instance.
        self._look_up()
        self._relay_available_ms = self._clock()
