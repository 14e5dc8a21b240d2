"""Tests of claims on non-idempotent requests (P6)."""

from dataclasses import replace

from view_folding import ViewMixin

from hornbeamfold.model import (
    ClaimDone,
    ClaimMade,
    ClaimMoved,
    ClaimReleased,
    ErrorKind,
    TargetDrain,
)
from hornbeamfold.model.timing import CLAIM_RETENTION_MS, MAX_DEADLINE_MS

KEY = ("a", "r")
CONFLICT, INVALID = ErrorKind.CONFLICT, ErrorKind.INVALID


class ClaimTest(ViewMixin):
    def setUp(self) -> None:
        super().setUp()
        self.made = ClaimMade(*KEY, "d1", "i1", "w0", self.at_ms + 60_000)

    def test_refused_claims(self) -> None:
        """Guards against two holders of one request, and claims that can never be dispatched."""
        self.accept(TargetDrain("w1", True, 1))
        late, far = self.at_ms, self.at_ms + 2 * MAX_DEADLINE_MS
        self.refuse(
            (ErrorKind.UNKNOWN_ORGANISATION, "'x'", replace(self.made, organisation="x")),
            (INVALID, "request id", replace(self.made, request_id="")),
            (ErrorKind.NOT_FOUND, "'w9'", replace(self.made, worker="w9")),
            (CONFLICT, "is draining", replace(self.made, worker="w1")),
            (ErrorKind.DEADLINE_PASSED, "passed", replace(self.made, deadline_ms=late)),
            (INVALID, "away", replace(self.made, deadline_ms=far)),
        )
        self.accept(self.made)
        self.refuse(
            (CONFLICT, "claimed by i1", replace(self.made, holder="i2")),
            (ErrorKind.DUPLICATE_REQUEST, "another body", replace(self.made, digest="d2")),
        )

    def test_release_decided_before_a_move_fails(self) -> None:
        """Guards against a second execution after a look-up at the worker that a claim left."""
        self.accept(self.made)
        self.refuse((CONFLICT, "held by i1", ClaimMoved(*KEY, 1, "i2", "w1")))
        self.accept(ClaimMoved(*KEY, 1, "i1", "w1"))
        self.refuse((CONFLICT, "epoch 2", ClaimReleased(*KEY, 1, "voided on w0")))
        self.assertEqual(self.view.claims[KEY].worker, "w1")

    def test_released_claim_may_be_claimed_again(self) -> None:
        """Guards against a previous holder completing a new claim, and against a second answer."""
        self.accept(self.made, ClaimReleased(*KEY, 1), replace(self.made, holder="i2"))
        self.refuse((CONFLICT, "epoch 2", ClaimDone(*KEY, 1, "late")))
        self.accept(ClaimDone(*KEY, 2, "answer"))
        self.refuse(
            (CONFLICT, "done", ClaimReleased(*KEY, 2)),
            (CONFLICT, "done", ClaimMoved(*KEY, 2, "i2", "w2")),
            (CONFLICT, "claimed", self.made),
            (ErrorKind.NOT_FOUND, "not claimed", ClaimDone("a", "x", 1, "")),
        )
        self.assertEqual(self.view.claims[KEY].answer, "answer")

    def test_claims_are_kept_past_the_deadline(self) -> None:
        """Guards against forgetting a request while its caller may retry it."""
        later = replace(self.made, deadline_ms=self.made.deadline_ms + 100)
        self.accept(self.made, ClaimReleased(*KEY, 1), later)
        self.send(after_ms=later.deadline_ms + CLAIM_RETENTION_MS - 1 - self.at_ms)
        self.assertIn(KEY, self.view.claims)
        self.send()
        self.assertNotIn(KEY, self.view.claims)
