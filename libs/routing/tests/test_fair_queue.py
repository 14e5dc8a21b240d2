"""Tests of the fair queue."""

import unittest
from collections import Counter
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from hornbeamfold.model.errors import ErrorKind, Refused
from hornbeamfold.routing import FairQueue, Queued, QueuedRequest
from hornbeamfold.routing.fair_queue import AGED_SHARE, MAX_AGED_CREDIT_MS

AGEING_MS = 18_000


def make_request(
    organisation: str, number: int, urgent: bool = True, arrived_ms: int = 0, limit_ms: int = 10**6
) -> QueuedRequest[None]:
    """Return a request with an expected service time of 100 ms."""
    deadline_ms = arrived_ms + limit_ms
    return QueuedRequest((organisation, str(number)), urgent, arrived_ms, deadline_ms, 100.0, None)


def make_queue(limit: int = 1000, weights: dict[str, float] | None = None) -> FairQueue[None]:
    """Return a queue in which organisations have the weight 1 unless given."""
    return FairQueue(limit, lambda name: (weights or {}).get(name, 1.0))


class FairQueueTest(unittest.TestCase):
    def organisations(self, queue: FairQueue[None], count: int, now_ms: int = 0) -> list[str]:
        taken = [queue.take(now_ms) for _ in range(count)]
        return [item.organisation for item in taken if item is not None]

    def test_shares_in_a_burst_follow_the_weights(self) -> None:
        """Guards against one organisation's burst that delays all others."""
        queue = make_queue(weights={"heavy": 2.0})
        for number in range(300):
            queue.offer(make_request("burst", number), 8, 0)
        for number in range(100):
            queue.offer(make_request("small", number), 8, 0)
            queue.offer(make_request("heavy", number), 8, 0)
        shares = Counter(self.organisations(queue, 80))
        self.assertEqual(shares, {"heavy": 40, "burst": 20, "small": 20})

    def test_an_idle_organisation_accumulates_no_credit(self) -> None:
        """Guards against an organisation that blocks the others after a long idle time."""
        queue = make_queue()
        for number in range(100):
            queue.offer(make_request("a", number), 8, 0)
        self.organisations(queue, 50)
        for number in range(50):
            queue.offer(make_request("b", number), 8, 0)
        self.assertEqual(Counter(self.organisations(queue, 20)), {"a": 10, "b": 10})

    def test_urgent_goes_first(self) -> None:
        """Guards against urgent requests that wait behind patient ones."""
        queue = make_queue()
        queue.offer(make_request("a", 1, urgent=False), 8, 0)
        queue.offer(make_request("a", 2), 8, 0)
        taken = queue.take(0)
        assert taken is not None
        self.assertTrue(taken.urgent)

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(
        st.lists(st.tuples(st.sampled_from("abc"), st.booleans(), st.integers(0, 900)), max_size=80)
    )
    def test_no_request_is_lost_duplicated_or_starved(
        self, steps: list[tuple[str, bool, int]]
    ) -> None:
        """Guards against lost or duplicated requests, and patient ones that exceed the bound."""
        queue, now_ms = make_queue(limit=40), 0
        open_keys: dict[tuple[str, str], QueuedRequest[None]] = {}
        for number, (organisation, urgent, pause_ms) in enumerate(steps * 3):
            now_ms += pause_ms
            item = make_request(organisation, number, urgent, now_ms, 60_000)
            offered = queue.offer(item, 4, now_ms)
            if isinstance(offered, Queued):
                open_keys[item.key] = item
                if offered.evicted is not None:
                    del open_keys[offered.evicted.key]
            for late in queue.pop_expired(now_ms):
                self.assertLessEqual(late.deadline_ms, now_ms)
                del open_keys[late.key]
            if number % 7 == 3 and open_keys:
                key = min(open_keys)
                self.assertEqual(queue.cancel(key), open_keys.pop(key))
            if number % 2 == 0:
                continue
            patient = [w.arrived_ms for w in open_keys.values() if not w.urgent]
            alone = all(not w.urgent for w in open_keys.values())
            taken = queue.take(now_ms)
            if taken is None:
                self.assertFalse(open_keys)
                continue
            if patient and alone and now_ms - min(patient) >= AGEING_MS:
                self.assertEqual((taken.urgent, taken.arrived_ms), (False, min(patient)))
            if number % 5 == 1:
                queue.put_back(taken)
                self.assertEqual(queue.take(now_ms), taken)
            del open_keys[taken.key]
            self.assertEqual(len(queue), len(open_keys))
            self.assertLessEqual(len(queue), 40)

    @settings(derandomize=True, max_examples=40, deadline=None)
    @given(st.lists(st.integers(1, 1000), min_size=1, max_size=20))
    def test_aged_requests_get_their_share_of_the_work(self, sizes: list[int]) -> None:
        """Guards against starved patient requests, and urgent ones that wait for all aged ones."""
        queue, now_ms = make_queue(), AGEING_MS
        for number, size in enumerate(sizes):
            patient = make_request("a", number, urgent=False)
            queue.offer(replace(patient, service_ms=float(size)), 8, 0)
        for number in range(700):
            queue.offer(make_request("b", number, arrived_ms=now_ms), 8, now_ms)
        urgent_ms = patient_ms = 0.0
        first = queue.take(now_ms)
        assert first is not None
        self.assertEqual(first.key, ("a", "0"))
        queue.put_back(first)
        while patient_ms < sum(sizes):
            taken = queue.take(now_ms)
            assert taken is not None
            urgent_ms += taken.service_ms if taken.urgent else 0.0
            patient_ms += 0.0 if taken.urgent else taken.service_ms
            share_ms = (urgent_ms + patient_ms) * AGED_SHARE
            self.assertGreaterEqual(patient_ms, min(share_ms, sum(sizes)) - 100.0)
            self.assertLessEqual(patient_ms, share_ms + max(sizes) + MAX_AGED_CREDIT_MS)

    def test_a_wait_beyond_the_deadline_is_refused_early(self) -> None:
        """Guards against callers who wait for an answer that cannot come in time."""
        queue = make_queue()
        for number in range(100):
            queue.offer(make_request("a", number), 10, 0)
        refused = queue.offer(make_request("a", 100, limit_ms=1_000), 10, 0)
        assert isinstance(refused, Refused), refused
        self.assertEqual(refused.kind, ErrorKind.OVERLOADED)
        self.assertIsInstance(queue.offer(make_request("b", 1, limit_ms=1_000), 10, 0), Queued)

    def test_a_full_queue_evicts_from_the_largest_share(self) -> None:
        """Guards against a burst of one organisation that blocks the others."""
        queue = make_queue(limit=10)
        for number in range(10):
            queue.offer(make_request("burst", number), 8, 0)
        offered = queue.offer(make_request("small", 1), 8, 0)
        assert isinstance(offered, Queued) and offered.evicted is not None, offered
        self.assertEqual(offered.evicted.key, ("burst", "9"))
        self.assertIsInstance(queue.offer(make_request("burst", 11), 8, 0), Refused)

    def test_a_weight_of_zero_is_served(self) -> None:
        """Guards against a configured weight that starves its organisation or breaks the queue."""
        queue = make_queue(weights={"zero": 0.0})
        queue.offer(make_request("zero", 1), 8, 0)
        queue.offer(make_request("a", 1), 8, 0)
        self.assertEqual(sorted(self.organisations(queue, 2)), ["a", "zero"])

    def test_a_repeated_request_is_queued_once(self) -> None:
        """Guards against a second run of a request that is already queued."""
        queue = make_queue()
        queue.offer(make_request("a", 1), 8, 0)
        self.assertIsInstance(queue.offer(make_request("a", 1), 8, 0), Refused)
