"""Tests of the retry budget."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from hornbeamfold.routing import RetryBudget
from hornbeamfold.routing.retry_budget import (
    RESERVE_REFILL_PER_MS,
    RESERVE_TOKENS,
    TOKENS_PER_REQUEST,
)


class RetryBudgetTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=100)
    @given(st.lists(st.tuples(st.booleans(), st.integers(0, 5_000)), max_size=300))
    def test_is_never_overdrawn(self, steps: list[tuple[bool, int]]) -> None:
        """Guards against retries that multiply the load when all requests fail."""
        budget = RetryBudget(0)
        now_ms = earned = spent = 0
        for is_request, pause_ms in steps:
            now_ms += pause_ms
            if is_request:
                budget.deposit()
                earned += 1
            elif budget.try_withdraw(now_ms):
                spent += 1
            floor = RESERVE_TOKENS + now_ms * RESERVE_REFILL_PER_MS
            self.assertLessEqual(spent, earned * TOKENS_PER_REQUEST + floor + 1e-6)
            self.assertGreaterEqual(budget.tokens, 0.0)

    def test_an_instance_with_little_traffic_can_retry(self) -> None:
        """Guards against a first request that cannot be retried."""
        self.assertTrue(RetryBudget(0).try_withdraw(0))
