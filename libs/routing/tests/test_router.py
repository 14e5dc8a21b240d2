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
    Links,
    Router,
    make_candidates,
)
from hornbeamfold.routing.instance_share import fair_share
from hornbeamfold.routing.router import BUSY_HOLD_MS, PEER_KEEP_MS, REPORT_KEEP_MS, YIELD_LIMIT_MS

SLOTS, CONNECTIONS = 8, 7
REQUEST = Request("o", "1", "k", "x" * 4096, True, True, 10**9)


def candidates(count: int, own: int, slots: int = SLOTS, region: str = "east") -> Candidates:
    """Return candidates w0 and up, the first of them in the own subset."""
    every = tuple(Candidate(f"w{n}", "z", region, slots, n < own) for n in range(count))
    return Candidates(every[:own], every)


def router(seed: int = 1) -> Router:
    """Return a router in the zone of the candidates."""
    return Router("z", "east", Links(), CONNECTIONS, LatencyTable(), Random(seed))


class ChooseTest(unittest.TestCase):
    def chosen(self, found: Choice | Refused) -> str:
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
        rng, target = Random(seed), router(seed)
        group = candidates(count, own=count // 3)
        target.peer_reported("p", {f"w{n}": peers[n] for n in range(count) if peers[n]}, 0, 0)
        held: dict[str, int] = {}
        running: list[str] = []
        for now_ms, step in enumerate(steps):
            if step == "end" and running:
                ended = running.pop(rng.randrange(len(running)))
                target.ended(ended)
                held.pop(ended, None)
            if step == "report":
                target.reported(f"w{rng.randrange(count)}", SLOTS, rng.randrange(SLOTS), now_ms)
            if step == "busy":
                name = f"w{rng.randrange(count)}"
                target.busy(name, now_ms)
                held[name] = now_ms + BUSY_HOLD_MS
            exclude = frozenset({f"w{rng.randrange(count)}"})
            found = target.choose(REQUEST, group, now_ms, exclude)
            if isinstance(found, Refused):
                continue
            load = target.load(found.worker, now_ms)
            self.assertLessEqual(load.busy + 1, SLOTS)
            self.assertLess(load.own_in_flight, CONNECTIONS)
            self.assertNotIn(found.worker, exclude)
            self.assertLessEqual(held.get(found.worker, 0), now_ms)
            target.started(found.worker)
            running.append(found.worker)

    def test_every_free_slot_is_found(self) -> None:
        """Guards against refusals while a worker still has room."""
        target, group = router(), candidates(24, own=6)
        for _ in range(24 * CONNECTIONS):
            target.started(self.chosen(target.choose(REQUEST, group, 0)))
        found = target.choose(REQUEST, group, 0)
        assert isinstance(found, Refused), found
        self.assertEqual(found.kind, ErrorKind.OVERLOADED)

    def test_the_own_subset_goes_first(self) -> None:
        """Guards against instances that all crowd the same workers."""
        target, group = router(), candidates(24, own=6)
        for _ in range(6 * CONNECTIONS):
            worker = self.chosen(target.choose(REQUEST, group, 0))
            self.assertLess(int(worker[1:]), 6)
            target.started(worker)
        self.assertGreaterEqual(int(self.chosen(target.choose(REQUEST, group, 0))[1:]), 6)

    def test_no_candidates_is_no_target(self) -> None:
        """Guards against callers told to wait when waiting cannot help."""
        found = router().choose(REQUEST, candidates(2, 1), 0, frozenset({"w0", "w1"}))
        assert isinstance(found, Refused), found
        self.assertEqual(found.kind, ErrorKind.NO_TARGET)

    def test_gang_members_take_slots(self) -> None:
        """Guards against requests in slots that active gang members hold."""
        found = router().choose(REQUEST, candidates(3, 1, slots=0), 0)
        self.assertIsInstance(found, Refused)

    def test_a_slow_worker_loses_the_comparison(self) -> None:
        """Guards against treating all workers as equally fast; slow ones are not ejected."""
        target, group = router(), candidates(2, own=2)
        for now_ms in range(100):
            target.answered("w0", "k", 1_000.0, 10, now_ms)
            target.answered("w1", "k", 100.0, 10, now_ms)
        picks = {self.chosen(target.choose(REQUEST, group, 100)) for _ in range(20)}
        self.assertEqual(picks, {"w1"})

    def test_crossing_regions_has_a_price(self) -> None:
        """Guards against paid traffic for a worker that is only a little less busy."""
        far = Candidate("far", "y", "south", SLOTS, True)
        near = Candidate("near", "z", "east", SLOTS, True)
        target = router()
        target.started("near")
        found = target.choose(REQUEST, Candidates((far, near), (far, near)), 0)
        self.assertEqual(self.chosen(found), "near")
        found = target.choose(REQUEST, Candidates((far,), (far, near)), 0)
        assert isinstance(found, Choice), found
        self.assertTrue(found.crosses_regions)


class SpeedTest(unittest.TestCase):
    def test_a_choice_is_quick(self) -> None:
        """Guards against a choice that looks at every worker; the best of 20 rounds counts."""
        for count, own, limit_us in ((24, 6, 100.0), (1_900, 152, 1_000.0)):
            for peers in (0, SLOTS):
                target, group = router(), candidates(count, own)
                target.peer_reported("p", {f"w{n}": peers for n in range(count)}, 0, 0)
                rounds: list[float] = []
                for _ in range(20):
                    started = perf_counter()
                    for _ in range(20):
                        target.choose(REQUEST, group, 0)
                    rounds.append((perf_counter() - started) / 20 * 1e6)
                self.assertLess(min(rounds), limit_us)


class ShareTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=100)
    @given(st.integers(1, 200), st.lists(st.integers(0, 100), min_size=1, max_size=25))
    def test_the_level_uses_all_slots_and_no_more(self, slots: int, demands: list[int]) -> None:
        """Guards against slots that stay empty, and shares that exceed what is there."""
        level = fair_share(slots, demands)
        used = sum(min(demand, level) for demand in demands)
        self.assertAlmostEqual(used, min(slots, sum(demands)))

    def test_an_instance_yields_only_to_a_peer_that_is_short(self) -> None:
        """Guards against slots kept by one instance through an overload, or given up in vain."""
        group = candidates(4, own=2, slots=5)
        for mine, peers, waiting, expected in (
            (15, 5, 9, True),
            (15, 5, 0, False),
            (10, 10, 9, False),
            (9, 5, 9, False),
        ):
            with self.subTest(mine=mine, peers=peers, waiting=waiting):
                target = router()
                for number in range(mine):
                    target.started(f"w{number % 4}")
                target.peer_reported("p", {"w0": peers}, waiting, 0)
                self.assertEqual(target.exceeds_share(group, 20, 0), expected)

    def test_yielding_ends_if_the_peer_cannot_use_the_slots(self) -> None:
        """Guards against slots left for ever to a peer that may not start anything."""
        target, group = router(), candidates(4, own=2, slots=5)
        for number in range(15):
            target.started(f"w{number % 4}")
        for now_ms in range(0, YIELD_LIMIT_MS + 1_000, 500):
            target.peer_reported("p", {"w0": 5}, 9, now_ms)
            self.assertEqual(target.exceeds_share(group, 20, now_ms), now_ms <= YIELD_LIMIT_MS)
        target.peer_reported("p", {"w0": 6}, 9, now_ms + 500)
        self.assertTrue(target.exceeds_share(group, 20, now_ms + 500))


class LoadTest(unittest.TestCase):
    def test_load_that_nobody_counts_fades_with_its_age(self) -> None:
        """Guards against trusting a report for as long as no newer one comes."""
        target = router()
        target.reported("w0", SLOTS, 4, 0)
        self.assertEqual(target.load("w0", 0).busy, 4)
        self.assertEqual(target.load("w0", REPORT_KEEP_MS // 2).busy, 2)
        self.assertEqual(target.load("w0", REPORT_KEEP_MS).busy, 0)

    def test_a_silent_peer_is_forgotten(self) -> None:
        """Guards against slots that a dead instance seems to hold for ever."""
        target = router()
        target.peer_reported("dead", {"w0": 3}, 0, 0)
        target.peer_reported("live", {"w0": 1, "w1": 1}, 0, 0)
        target.peer_reported("live", {"w0": 2}, 0, PEER_KEEP_MS + 1)
        self.assertEqual(target.load("w0", 0).peers_in_flight, 2)
        self.assertEqual(target.load("w1", 0).peers_in_flight, 0)

    def test_candidates_of_the_view(self) -> None:
        """Guards against workers out of service, draining or leaving as candidates."""
        worker = [Worker(f"w{n}", "a", "z", "r", n, 1, 1, 1, 8, 64) for n in range(3)]
        capacities = [
            WorkerCapacity(worker[0], "east", 1, 1, 1, 5, True),
            WorkerCapacity(worker[1], "east", 1, 1, 1, 5, False),
            WorkerCapacity(worker[2], "east", 1, 1, 1, 5, True),
        ]
        made = make_candidates(capacities, own={"w0"}, leaving={"w2"})
        expected = (Candidate("w0", "z", "east", 5, True),)
        self.assertEqual((made.own, made.every), (expected, expected))
