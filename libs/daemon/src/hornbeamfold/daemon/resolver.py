"""Resolves open claims whose holder is gone, or whose call has ended without an outcome."""

from collections.abc import Callable

import eventlet

from hornbeamfold.daemon.claim_outcomes import (
    claim_end_event,
    query_run_outcome,
    unknown_outcome_event,
    verify_claim_answer,
)
from hornbeamfold.daemon.clock import Clock
from hornbeamfold.daemon.follower import LogFollower
from hornbeamfold.logclient import LogWriter
from hornbeamfold.membership import Freshness, PeerTable
from hornbeamfold.model.errors import ErrorKind, Refused
from hornbeamfold.model.events import ClaimReleased, Event
from hornbeamfold.model.timing import LOG_WAIT_MS
from hornbeamfold.model.work import Claim, request_task_id
from hornbeamfold.telemetry import get_logger, log_decision
from hornbeamfold.workers import RunDone, RunFailed, RunRefused, WorkerClient

RESOLVE_INTERVAL_MS = 1_000
# Other instances resolve the claims of a holder that they have not heard for this long.
HOLDER_TIMEOUT_MS = 3_000

logger = get_logger("hornbeamfold.daemon.resolver")

Key = tuple[str, str]


class ClaimResolver:
    """Ends abandoned claims; of the live instances, the first-ranked one resolves a claim first."""

    def __init__(
        self,
        incarnation: str,
        follower: LogFollower,
        writer: LogWriter,
        freshness: Freshness,
        peers: PeerTable,
        client: WorkerClient,
        is_serving: Callable[[Key], bool],
        was_sent: Callable[[Claim], bool],
        clock: Clock,
        wall_clock: Clock,
    ) -> None:
        self._incarnation = incarnation
        self._follower = follower
        self._writer = writer
        self._freshness = freshness
        self._peers = peers
        self._client = client
        self._is_serving = is_serving
        self._was_sent = was_sent
        self._clock = clock
        self._wall_clock = wall_clock
        self._unheard_since: dict[str, int] = {}
        self._resolving: set[Key] = set()

    def run(self) -> None:
        """Periodically resolve open claims that no instance serves any more."""
        while True:
            eventlet.sleep(RESOLVE_INTERVAL_MS / 1_000)
            try:
                self._resolve_all()
            except Exception:
                logger.exception("Resolving claims failed")

    def _resolve_all(self) -> None:
        if not self._follower.ready or not self._freshness.may_start(self._clock()).granted:
            return
        now = self._clock()
        for claim in tuple(self._follower.view.open_claims.values()):
            if self._is_serving(claim.key) or claim.key in self._resolving:
                continue
            if not self._is_abandoned(claim, now):
                continue
            self._resolving.add(claim.key)
            eventlet.spawn(self._resolve, claim)

    def _is_abandoned(self, claim: Claim, now: int) -> bool:
        """Return whether this instance should resolve a claim now."""
        if claim.holder == self._incarnation:
            return True
        if self._peers.incarnation_live(claim.holder, now):
            self._unheard_since.pop(claim.holder, None)
            return False
        unheard_ms = now - self._unheard_since.setdefault(claim.holder, now)
        rank = self._peers.rank(f"{claim.organisation}/{claim.request_id}", now)
        return unheard_ms >= HOLDER_TIMEOUT_MS + rank * RESOLVE_INTERVAL_MS

    def _resolve(self, claim: Claim) -> None:
        try:
            event = self.resolution(claim)
            if event is None:
                return
            log_decision(
                "resolve",
                type(event).__name__,
                "the holder of the claim is gone",
                organisation=claim.organisation,
                request_id=claim.request_id,
                worker=claim.worker,
                epoch=claim.epoch,
            )
            self._writer.submit((event,)).wait(LOG_WAIT_MS)
        finally:
            self._resolving.discard(claim.key)

    def resolution(self, claim: Claim) -> Event | None:
        """Return the event that ends a claim, or None while its outcome is not determined."""
        worker = self._follower.view.workers.get(claim.worker)
        if worker is None:
            return unknown_outcome_event(claim, "The worker has left the configuration.")
        task = request_task_id(claim.key, claim.epoch)
        if claim.holder == self._incarnation and not self._was_sent(claim):
            return ClaimReleased(claim.organisation, claim.request_id, claim.epoch, "never sent")
        result = query_run_outcome(self._client, worker, task, claim)
        if result is None:
            return None
        if isinstance(result, RunDone):
            return claim_end_event(claim, verify_claim_answer(claim, result))
        if isinstance(result, RunFailed):
            return claim_end_event(claim, Refused(ErrorKind.FAILED, result.detail))
        if isinstance(result, RunRefused):
            return ClaimReleased(claim.organisation, claim.request_id, claim.epoch, "voided")
        if self._wall_clock() < claim.deadline_ms:
            return None
        return unknown_outcome_event(claim, getattr(result, "detail", ""))
