"""Which instance relays for this region: found in the store, claimed when there is none."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

import eventlet
import msgspec

from hornbeamfold.batch import Clock, ReadFailed, TopicPort
from hornbeamfold.relay.codec import RELAY, RelayRecord, decode_relay, encode_relay
from hornbeamfold.telemetry import get_logger

logger = get_logger("hornbeamfold.relay.directory")

# After a failed read of the relay its readers go to the store for this time.
REST_MS = 1_000
# A relay that has failed its readers for so long is replaced; it is longer than one rest.
SILENCE_MS = 1_600
CHECK_MS = 200
# Spreads the claims of several instances.
JITTER_MS = 400
# A slow instance leaves the task to a fast one, if there is one.
SLOW_DELAY_MS = 1_500
# A relay spends about 1 ms for each read of another instance, several a second for each.
FAST_CORES = 1.0
CLAIM_TIMEOUT_MS = 1_000


@dataclass(frozen=True)
class Place:
    """Where this instance is, at which address others reach it, and its processor's speed."""

    region: str
    incarnation: str
    address: str
    cores: float


class Directory:
    """The relay of this region, as far as it is known here."""

    def __init__(
        self, place: Place, topic: TopicPort, clock: Clock, may_claim: Callable[[], bool]
    ) -> None:
        self._place = place
        self._topic = topic
        self._clock = clock
        self._may_claim = may_claim
        self._random = Random(place.incarnation)
        self._relay: RelayRecord | None = None
        self._resting_until_ms = 0
        self._without_since_ms = clock()
        self._looked_up = False

    @property
    def is_relay(self) -> bool:
        """Whether this instance relays for its region."""
        return self._relay is not None and self._relay.incarnation == self._place.incarnation

    def relay_address(self) -> str:
        """Return the address to read from now; empty if the store itself has to be read."""
        if self._relay is None or self.is_relay or self._clock() < self._resting_until_ms:
            return ""
        return self._relay.address

    def failed(self, reason: str) -> None:
        """Note that the relay did not answer a read."""
        now = self._clock()
        if now >= self._resting_until_ms:
            logger.warning("relay_failed", extra={"address": self._address(), "reason": reason})
        self._resting_until_ms = now + REST_MS
        self._looked_up = False

    def answered(self) -> None:
        """Note that the relay answered a read."""
        self._without_since_ms = self._clock()

    def _address(self) -> str:
        return self._relay.address if self._relay is not None else ""

    def run(self) -> None:
        """Look the relay up when it fails, and claim the task when it has failed for too long."""
        while True:
            if not self.is_relay and not self._looked_up:
                self._looked_up = self._look_up()
            if self._claim_is_due():
                # Another instance may have claimed meanwhile.
                self._look_up()
            if self._claim_is_due():
                self._claim()
            eventlet.sleep(CHECK_MS / 1_000)

    def _claim_is_due(self) -> bool:
        if self.is_relay or not self._may_claim():
            return False
        wait_ms = SILENCE_MS + self._random.randrange(JITTER_MS)
        if self._place.cores < FAST_CORES:
            wait_ms += SLOW_DELAY_MS
        return self._clock() - self._without_since_ms > wait_ms

    def _look_up(self) -> bool:
        """Read who relays; return whether the store answered."""
        page = self._topic.newest("")
        if isinstance(page, ReadFailed):
            return False
        for record in page.records:
            if record.key == RELAY + self._place.region:
                self._take(record.value)
        return True

    def _take(self, value: bytes) -> None:
        try:
            found = decode_relay(value)
        except msgspec.MsgspecError as error:
            logger.error("relay_unreadable", extra={"error": str(error)})
            return
        if found == self._relay:
            return
        self._relay = found
        self._resting_until_ms = 0
        self._without_since_ms = self._clock()
        logger.info("relay_found", extra={"address": found.address, "relay": found.incarnation})

    def _claim(self) -> None:
        record = RelayRecord(self._place.region, self._place.incarnation, self._place.address)
        outcome = self._topic.append([encode_relay(record)], None, CLAIM_TIMEOUT_MS)
        logger.info("relay_claimed", extra={"outcome": type(outcome).__name__})
        # The last claim counts, also for this instance.
        self._look_up()
        self._without_since_ms = self._clock()
