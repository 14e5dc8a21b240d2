"""Tests of the choice of a worker."""

import unittest
from random import Random
from time import perf_counter

from hypothesis import given, settings
from hypothesis import strategies as st

from hornbeamfold.model.errors import ErrorKind, Refused
from hornbeamfold.model.topology import Worker, WorkerCapacity
from hornbeamfold.model.work import Request
from hornbeamfold.routing import (
    Candidate,
    Candidates,
    Choice,
    LatencyTable,
    LinkCosts,
    Router,
    make_candidates,
)
from hornbeamfold.routing.instance_share import fair_share
from hornbeamfold.routing.router import (
    BUSY_BACKOFF_MS,
    LOAD_REPORT_TTL_MS,
    MAX_YIELD_MS,
    PEER_DIGEST_TTL_MS,
)

SLOTS, CONNECTIONS = 8, 7
REQUEST = Request("o", "1", "k", "x" * 4096, True, True, 10**9)


def candidates(count: int, own: int, slots: int = SLOTS, region: str = "east") -> Candidates:
    """Return candidates w0, w1 and so on, of which the first `own` are in the own subset."""
    every = tuple(Candidate(f"w{n}", "z", region, slots, n < own) for n in range(count))
    return Candidates(every[:own], every)


def make_router(seed: int = 1) -> Router:
    """Return a router in the zone of the candidates."""
    return Router("z", "east", LinkCosts(), CONNECTIONS, LatencyTable(), Random(seed))


class ChooseTest(unittest.TestCase):
    def worker_of(self, found: Choice | Refused) -> str:
        assert isinstance(found, Choice), found
        return found.worker

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(
        st.integers(0, 1000),
        st.integers(1, 30),
        st.lists(st.integers(0, SLOTS), min_size=30, max_size=30),
        st.lists(st.sampled_from(["start", "end", "report", "busy"]), max_size=120),
    )
    def test_limits_are_never_exceeded(
        self, seed: int, count: int, peers: list[int], steps: list[str]
    ) -> None:
        """Guards against a request sent to a worker that is known to be full or excluded."""
        rng, router = Random(seed), make_router(seed)
        group = candidates(count, own=count // 3)
        router.record_peer_digest("p", {f"w{n}": peers[n] for n in range(count) if peers[n]}, 0, 0)
        busy_until: dict[str, int] = {}
        running: list[str] = []
        for now_ms, step in enumerate(steps):
            if step == "end" and running:
                ended = running.pop(rng.randrange(len(running)))
                router.request_ended(ended)
                busy_until.pop(ended, None)
            if step == "report":
                router.record_load_report(
                    f"w{rng.randrange(count)}", SLOTS, rng.randrange(SLOTS), now_ms
                )
            if step == "busy":
                name = f"w{rng.randrange(count)}"
                router.record_busy(name, now_ms)
                busy_until[name] = now_ms + BUSY_BACKOFF_MS
            exclude = frozenset({f"w{rng.randrange(count)}"})
            found = router.choose(REQUEST, group, now_ms, exclude)
            if isinstance(found, Refused):
                continue
            load = router.load(found.worker, now_ms)
            self.assertLessEqual(load.busy + 1, SLOTS)
            self.assertLess(load.own_in_flight, CONNECTIONS)
            self.assertNotIn(found.worker, exclude)
            self.assertLessEqual(busy_until.get(found.worker, 0), now_ms)
            router.request_started(found.worker)
            running.append(found.worker)

    def test_every_free_slot_is_found(self) -> None:
        """Guards against refusals while a worker still has a free slot."""
        router, group = make_router(), candidates(24, own=6)
        for _ in range(24 * CONNECTIONS):
            router.request_started(self.worker_of(router.choose(REQUEST, group, 0)))
        found = router.choose(REQUEST, group, 0)
        assert isinstance(found, Refused), found
        self.assertEqual(found.kind, ErrorKind.OVERLOADED)

    def test_the_own_subset_goes_first(self) -> None:
        """Guards against instances that all load the same workers."""
        router, group = make_router(), candidates(24, own=6)
        for _ in range(6 * CONNECTIONS):
            worker = self.worker_of(router.choose(REQUEST, group, 0))
            self.assertLess(int(worker[1:]), 6)
            router.request_started(worker)
        self.assertGreaterEqual(int(self.worker_of(router.choose(REQUEST, group, 0))[1:]), 6)

    def test_no_candidates_is_no_target(self) -> None:
        """Guards against telling callers to retry when no worker can take the request."""
        found = make_router().choose(REQUEST, candidates(2, 1), 0, frozenset({"w0", "w1"}))
        assert isinstance(found, Refused), found
        self.assertEqual(found.kind, ErrorKind.NO_TARGET)

    def test_gang_members_take_slots(self) -> None:
        """Guards against requests sent to slots that active gang members hold."""
        found = make_router().choose(REQUEST, candidates(3, 1, slots=0), 0)
        self.assertIsInstance(found, Refused)

    def test_a_slow_worker_loses_the_comparison(self) -> None:
        """Guards against treating all workers as equally fast: slow workers are not ejected."""
        router, group = make_router(), candidates(2, own=2)
        for now_ms in range(100):
            router.record_answer("w0", "k", 1_000.0, 10, now_ms)
            router.record_answer("w1", "k", 100.0, 10, now_ms)
        picks = {self.worker_of(router.choose(REQUEST, group, 100)) for _ in range(20)}
        self.assertEqual(picks, {"w1"})

    def test_crossing_regions_has_a_price(self) -> None:
        """Guards against billed traffic to a worker that is only a little less busy."""
        far = Candidate("far", "y", "south", SLOTS, True)
        near = Candidate("near", "z", "east", SLOTS, True)
        router = make_router()
        router.request_started("near")
        found = router.choose(REQUEST, Candidates((far, near), (far, near)), 0)
        self.assertEqual(self.worker_of(found), "near")
        found = router.choose(REQUEST, Candidates((far,), (far, near)), 0)
        assert isinstance(found, Choice), found
        self.assertTrue(found.crosses_regions)


class SpeedTest(unittest.TestCase):
    def test_a_choice_is_quick(self) -> None:
        """Guards against a choice that examines every worker; the fastest of 20 rounds counts."""
        for count, own, limit_us in ((24, 6, 100.0), (1_900, 152, 1_000.0)):
            for peers in (0, SLOTS):
                router, group = make_router(), candidates(count, own)
                router.record_peer_digest("p", {f"w{n}": peers for n in range(count)}, 0, 0)
                rounds: list[float] = []
                for _ in range(20):
                    started = perf_counter()
                    for _ in range(20):
                        router.choose(REQUEST, group, 0)
                    rounds.append((perf_counter() - started) / 20 * 1e6)
                self.assertLess(min(rounds), limit_us)


class ShareTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=100)
    @given(st.integers(1, 200), st.lists(st.integers(0, 100), min_size=1, max_size=25))
    def test_the_fair_share_uses_all_slots_and_no_more(
        self, slots: int, demands: list[int]
    ) -> None:
        """Guards against unused slots, and against shares that exceed the number of slots."""
        share = fair_share(slots, demands)
        used = sum(min(demand, share) for demand in demands)
        self.assertAlmostEqual(used, min(slots, sum(demands)))

    def test_an_instance_yields_only_to_a_peer_below_its_share(self) -> None:
        """Guards against an instance that keeps its slots in an overload or yields them in vain."""
        group = candidates(4, own=2, slots=5)
        for mine, peers, waiting, expected in (
            (15, 5, 9, True),
            (15, 5, 0, False),
            (10, 10, 9, False),
            (9, 5, 9, False),
        ):
            with self.subTest(mine=mine, peers=peers, waiting=waiting):
                router = make_router()
                for number in range(mine):
                    router.request_started(f"w{number % 4}")
                router.record_peer_digest("p", {"w0": peers}, waiting, 0)
                self.assertEqual(router.exceeds_fair_share(group, 20, 0), expected)

    def test_yielding_ends_if_the_peer_cannot_use_the_slots(self) -> None:
        """Guards against yielding slots for ever to a peer that may not start requests."""
        router, group = make_router(), candidates(4, own=2, slots=5)
        for number in range(15):
            router.request_started(f"w{number % 4}")
        for now_ms in range(0, MAX_YIELD_MS + 1_000, 500):
            router.record_peer_digest("p", {"w0": 5}, 9, now_ms)
            self.assertEqual(router.exceeds_fair_share(group, 20, now_ms), now_ms <= MAX_YIELD_MS)
        router.record_peer_digest("p", {"w0": 6}, 9, now_ms + 500)
        self.assertTrue(router.exceeds_fair_share(group, 20, now_ms + 500))


class LoadTest(unittest.TestCase):
    def test_unaccounted_load_decays_with_the_age_of_the_report(self) -> None:
        """Guards against trusting a report for as long as no newer one arrives."""
        router = make_router()
        router.record_load_report("w0", SLOTS, 4, 0)
        self.assertEqual(router.load("w0", 0).busy, 4)
        self.assertEqual(router.load("w0", LOAD_REPORT_TTL_MS // 2).busy, 2)
        self.assertEqual(router.load("w0", LOAD_REPORT_TTL_MS).busy, 0)

    def test_the_load_of_a_silent_peer_expires(self) -> None:
        """Guards against counting the requests of a dead instance for ever."""
        router = make_router()
        router.record_peer_digest("dead", {"w0": 3}, 0, 0)
        router.record_peer_digest("live", {"w0": 1, "w1": 1}, 0, 0)
        router.record_peer_digest("live", {"w0": 2}, 0, PEER_DIGEST_TTL_MS + 1)
        self.assertEqual(router.load("w0", 0).peers_in_flight, 2)
        self.assertEqual(router.load("w1", 0).peers_in_flight, 0)

    def test_candidates_of_the_view(self) -> None:
        """Guards against candidates that are out of service, draining or leaving."""
        worker = [Worker(f"w{n}", "a", "z", "r", n, 1, 1, 1, 8, 64) for n in range(3)]
        capacities = [
            WorkerCapacity(worker[0], "east", 1, 1, 1, 5, True),
            WorkerCapacity(worker[1], "east", 1, 1, 1, 5, False),
            WorkerCapacity(worker[2], "east", 1, 1, 1, 5, True),
        ]
        made = make_candidates(capacities, own={"w0"}, leaving={"w2"})
        expected = (Candidate("w0", "z", "east", 5, True),)
        self.assertEqual((made.own_subset, made.all), (expected, expected))
