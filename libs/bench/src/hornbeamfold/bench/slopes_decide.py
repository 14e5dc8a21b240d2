"""Slopes of the decision code: placement, choice of a worker, and routing candidates."""

from collections.abc import Iterator
from random import Random

from hornbeamfold.bench.fitting import REPEATS, Point, processor_ms
from hornbeamfold.bench.scale import (
    INSTANCES,
    LOG_TIME_MS,
    QUEUED,
    WORKERS,
    Cluster,
    design_cluster,
    make_heartbeat,
)
from hornbeamfold.membership import PeerTable, rank_names
from hornbeamfold.model import Request
from hornbeamfold.placement import PlanningState, plan
from hornbeamfold.routing import LatencyTable, LinkCosts, Router, make_candidates

SHARES = (0.4, 0.7, 1.0)
CHOICES = 300
NOW_MS = LOG_TIME_MS + 60_000


def decide_points() -> Iterator[Point]:
    """Yield all points of this part."""
    for share in SHARES:
        cluster = design_cluster(share, int(QUEUED * share))
        workers = int(WORKERS * share)
        yield from _plan_points(cluster, workers, "placement plan per worker, all in proportion")
        yield from _candidate_points(cluster, workers)
        yield from _ranking_points(cluster, workers)
    for queued in (300, 1_000, QUEUED):
        cluster = design_cluster(1.0, queued)
        yield from _plan_points(cluster, queued, "placement plan per queued job")


def _plan_points(cluster: Cluster, size: int, measure: str) -> Iterator[Point]:
    view = cluster.view
    state = PlanningState(
        jobs=tuple(view.queued.values()) + tuple(view.active.values()),
        capacities=dict(view.capacities),
        organisations=view.organisations,
        reservations=tuple(view.reservations.values()),
        estimates=view.estimates,
        offset=view.offset,
    )
    for repeat in range(REPEATS):
        yield Point(measure, "ms", size, repeat, processor_ms(lambda: plan(state, NOW_MS)))
    decisions = len(plan(state, NOW_MS))
    yield Point(f"decisions: {measure}", "count", size, 0, decisions)


def _candidate_points(cluster: Cluster, workers: int) -> Iterator[Point]:
    names = [f"entry-{number}" for number in range(INSTANCES)]
    capacities = cluster.view.capacities

    def rank_own_subset() -> frozenset[str]:
        return frozenset(
            worker for worker in capacities if "entry-0" in rank_names(worker, names)[:3]
        )

    own_subset = rank_own_subset()
    candidates = make_candidates(capacities.values(), own_subset, frozenset())
    router = Router("zone-00", "region-0", LinkCosts(), 6, LatencyTable(), Random(1))
    request = Request("organisation-00", "r", "quote", "x" * 500, True, True, NOW_MS + 10_000)

    def choose() -> None:
        chosen = router.choose(request, candidates, NOW_MS)
        router.request_started(getattr(chosen, "worker", ""))

    for repeat in range(REPEATS):
        rebuild = processor_ms(
            lambda: make_candidates(capacities.values(), own_subset, frozenset()), 20
        )
        yield Point("candidates rebuilt per worker", "ms", workers, repeat, rebuild)
        cost = processor_ms(choose, CHOICES)
        yield Point("request choice per worker", "ms", workers, repeat, cost)
        yield Point(
            "own subset ranked per worker", "ms", workers, repeat, processor_ms(rank_own_subset)
        )


def _ranking_points(cluster: Cluster, workers: int) -> Iterator[Point]:
    peers = PeerTable("entry-0", "region-0")
    for number in range(1, INSTANCES):
        peers.record_heartbeat(make_heartbeat(number, {}), NOW_MS)
    capacities = cluster.view.capacities

    def rank() -> None:
        for name, capacity in capacities.items():
            peers.is_keeper(name, capacity.region, NOW_MS)

    for repeat in range(REPEATS):
        yield Point("keepers ranked per worker", "ms", workers, repeat, processor_ms(rank))
