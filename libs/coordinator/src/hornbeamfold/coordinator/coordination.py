"""Runs the election, and a term whenever this instance becomes the coordinator."""

import eventlet

from hornbeamfold.coordinator.election import Election
from hornbeamfold.coordinator.term import Term, TermDependencies
from hornbeamfold.ledger import Replica
from hornbeamfold.telemetry import gauge, get_logger, log_exceptions

logger = get_logger("hornbeamfold.coordinator.coordination")

CHECK_INTERVAL_MS = 50


class Coordination:
    """Takes part in the election and owns the current term of this instance, if any."""

    def __init__(self, deps: TermDependencies, replica: Replica, election: Election) -> None:
        self._deps = deps
        self._replica = replica
        self._election = election
        self._term: Term | None = None
        self._stopping = False
        self._last_epoch = 0
        gauge("hornbeamfold_coordinator_epoch", "Epoch coordinated here, or 0", self._own_epoch)
        gauge(
            "hornbeamfold_organisations_at_limit",
            "Organisations that wait for their limits",
            self._organisations_at_limit,
        )

    def _own_epoch(self) -> int:
        return self._term.epoch if self.coordinating and self._term is not None else 0

    def _organisations_at_limit(self) -> int:
        term = self._term
        return term.limited_organisations if term is not None and term.active else 0

    @property
    def coordinating(self) -> bool:
        """Whether this instance is the coordinator, as far as it knows."""
        return self._term is not None and self._term.active

    def run(self) -> None:
        """Watch the coordinator record; claim epochs and begin and end terms."""
        while not self._stopping:
            self._check()
            eventlet.sleep(CHECK_INTERVAL_MS / 1_000)

    def _check(self) -> None:
        current = self._replica.coordinator
        term = self._term
        if term is not None and term.active:
            if current is not None and current.epoch > term.epoch:
                term.step_down(f"epoch {current.epoch} of {current.incarnation}")
            return
        if self._election.is_own(current):
            assert current is not None
            if current.epoch > self._last_epoch:
                self._last_epoch = current.epoch
                self._term = Term(
                    self._deps, current.epoch, self._election.sequence_of(current.epoch)
                )
                eventlet.spawn_n(log_exceptions(self._term.run))
                return
        self._election.claim_if_due()

    def stop(self, timeout_ms: int) -> None:
        """Stop claiming; resign from the current term."""
        self._stopping = True
        if self._term is not None and self._term.active:
            self._term.resign(timeout_ms)
