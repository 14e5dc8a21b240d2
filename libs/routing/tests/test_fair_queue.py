"""Tests of the fair queue."""

import unittest
from collections import Counter
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from hornbeamfold.model.errors import ErrorKind, Refused
from hornbeamfold.routing import FairQueue, Queued, Waiting
from hornbeamfold.routing.fair_queue import AGED_SHARE, MAX_AGED_CREDIT_MS

AGEING_MS = 18_000


def waiting(
    organisation: str, number: int, urgent: bool = True, arrived_ms: int = 0, limit_ms: int = 10**6
) -> Waiting[None]:
    """Return a request of 100 ms."""
    deadline_ms = arrived_ms + limit_ms
    return Waiting((organisation, str(number)), urgent, arrived_ms, deadline_ms, 100.0, None)


def queue(limit: int = 1000, weights: dict[str, float] | None = None) -> FairQueue[None]:
    """Return a queue in which organisations weigh 1 unless given."""
    return FairQueue(limit, lambda name: (weights or {}).get(name, 1.0))


class FairQueueTest(unittest.TestCase):
    def organisations(self, target: FairQueue[None], count: int, now_ms: int = 0) -> list[str]:
        taken = [target.take(now_ms) for _ in range(count)]
        return [item.organisation for item in taken if item is not None]

    def test_shares_in_a_burst_follow_the_weights(self) -> None:
        """Guards against one organisation's burst that delays all others."""
        target = queue(weights={"heavy": 2.0})
        for number in range(300):
            target.offer(waiting("burst", number), 8, 0)
        for number in range(100):
            target.offer(waiting("small", number), 8, 0)
            target.offer(waiting("heavy", number), 8, 0)
        shares = Counter(self.organisations(target, 80))
        self.assertEqual(shares, {"heavy": 40, "burst": 20, "small": 20})

    def test_an_idle_organisation_saves_up_no_credit(self) -> None:
        """Guards against a long idle organisation that then blocks the others."""
        target = queue()
        for number in range(100):
            target.offer(waiting("a", number), 8, 0)
        self.organisations(target, 50)
        for number in range(50):
            target.offer(waiting("b", number), 8, 0)
        self.assertEqual(Counter(self.organisations(target, 20)), {"a": 10, "b": 10})

    def test_urgent_goes_first(self) -> None:
        """Guards against urgent requests behind patient ones."""
        target = queue()
        target.offer(waiting("a", 1, urgent=False), 8, 0)
        target.offer(waiting("a", 2), 8, 0)
        taken = target.take(0)
        assert taken is not None
        self.assertTrue(taken.urgent)

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(
        st.lists(st.tuples(st.sampled_from("abc"), st.booleans(), st.integers(0, 900)), max_size=80)
    )
    def test_nothing_is_lost_doubled_or_starved(self, steps: list[tuple[str, bool, int]]) -> None:
        """Guards against lost or doubled requests, and patient ones that wait past the bound."""
        target, now_ms = queue(limit=40), 0
        open_keys: dict[tuple[str, str], Waiting[None]] = {}
        for number, (organisation, urgent, pause_ms) in enumerate(steps * 3):
            now_ms += pause_ms
            item = waiting(organisation, number, urgent, now_ms, 60_000)
            offered = target.offer(item, 4, now_ms)
            if isinstance(offered, Queued):
                open_keys[item.key] = item
                if offered.displaced is not None:
                    del open_keys[offered.displaced.key]
            for late in target.expired(now_ms):
                self.assertLessEqual(late.deadline_ms, now_ms)
                del open_keys[late.key]
            if number % 7 == 3 and open_keys:
                key = min(open_keys)
                self.assertEqual(target.cancel(key), open_keys.pop(key))
            if number % 2 == 0:
                continue
            patient = [w.arrived_ms for w in open_keys.values() if not w.urgent]
            alone = all(not w.urgent for w in open_keys.values())
            taken = target.take(now_ms)
            if taken is None:
                self.assertFalse(open_keys)
                continue
            if patient and alone and now_ms - min(patient) >= AGEING_MS:
                self.assertEqual((taken.urgent, taken.arrived_ms), (False, min(patient)))
            if number % 5 == 1:
                target.put_back(taken)
                self.assertEqual(target.take(now_ms), taken)
            del open_keys[taken.key]
            self.assertEqual(len(target), len(open_keys))
            self.assertLessEqual(len(target), 40)

    @settings(derandomize=True, max_examples=40, deadline=None)
    @given(st.lists(st.integers(1, 1000), min_size=1, max_size=20))
    def test_aged_requests_get_their_share_of_the_work(self, sizes: list[int]) -> None:
        """Guards against starved patient requests, and urgent ones behind all aged ones."""
        target, now_ms = queue(), AGEING_MS
        for number, size in enumerate(sizes):
            patient = waiting("a", number, urgent=False)
            target.offer(replace(patient, service_ms=float(size)), 8, 0)
        for number in range(700):
            target.offer(waiting("b", number, arrived_ms=now_ms), 8, now_ms)
        urgent_ms = patient_ms = 0.0
        first = target.take(now_ms)
        assert first is not None
        self.assertEqual(first.key, ("a", "0"))
        target.put_back(first)
        while patient_ms < sum(sizes):
            taken = target.take(now_ms)
            assert taken is not None
            urgent_ms += taken.service_ms if taken.urgent else 0.0
            patient_ms += 0.0 if taken.urgent else taken.service_ms
            share_ms = (urgent_ms + patient_ms) * AGED_SHARE
            self.assertGreaterEqual(patient_ms, min(share_ms, sum(sizes)) - 100.0)
            self.assertLessEqual(patient_ms, share_ms + max(sizes) + MAX_AGED_CREDIT_MS)

    def test_a_wait_beyond_the_deadline_is_refused_early(self) -> None:
        """Guards against callers who wait for an answer that cannot come in time."""
        target = queue()
        for number in range(100):
            target.offer(waiting("a", number), 10, 0)
        refused = target.offer(waiting("a", 100, limit_ms=1_000), 10, 0)
        assert isinstance(refused, Refused), refused
        self.assertEqual(refused.kind, ErrorKind.OVERLOADED)
        self.assertIsInstance(target.offer(waiting("b", 1, limit_ms=1_000), 10, 0), Queued)

    def test_a_full_queue_displaces_the_largest_share(self) -> None:
        """Guards against a burst that shuts the other organisations out."""
        target = queue(limit=10)
        for number in range(10):
            target.offer(waiting("burst", number), 8, 0)
        offered = target.offer(waiting("small", 1), 8, 0)
        assert isinstance(offered, Queued) and offered.displaced is not None, offered
        self.assertEqual(offered.displaced.key, ("burst", "9"))
        self.assertIsInstance(target.offer(waiting("burst", 11), 8, 0), Refused)

    def test_a_weight_of_zero_is_served(self) -> None:
        """Guards against a configured weight that stops or empties the queue."""
        target = queue(weights={"zero": 0.0})
        target.offer(waiting("zero", 1), 8, 0)
        target.offer(waiting("a", 1), 8, 0)
        self.assertEqual(sorted(self.organisations(target, 2)), ["a", "zero"])

    def test_a_repeated_request_waits_once(self) -> None:
        """Guards against a second run of a request that is already queued."""
        target = queue()
        target.offer(waiting("a", 1), 8, 0)
        self.assertIsInstance(target.offer(waiting("a", 1), 8, 0), Refused)
