"""Slopes of an instance's duties as keeper and of its routing candidates."""

import os
from collections.abc import Callable, Iterator
from dataclasses import replace
from time import process_time

import eventlet

from hornbeamfold.bench.fitting import REPEATS, Point, processor_ms
from hornbeamfold.bench.scale import (
    INSTANCES,
    TASKS,
    WORKERS,
    Cluster,
    claims_of,
    configured,
    heartbeat_of,
    single_specs,
    workers_of,
)
from hornbeamfold.bench.slopes_exchange import (
    CALL_MS,
    LONG_LEASE_MS,
    LONG_RUN,
    served_workers,
    settings_of,
)
from hornbeamfold.bench.usage import traffic
from hornbeamfold.daemon.clock import monotonic_ms
from hornbeamfold.daemon.follower import LoadedView
from hornbeamfold.daemon.instance import Components, Lifecycle, build
from hornbeamfold.daemon.worker_sync import routine_sync_ms
from hornbeamfold.membership import ListedInstance
from hornbeamfold.model import (
    Event,
    Job,
    MemberReport,
    MembersReported,
    MemberState,
    task_id,
)
from hornbeamfold.telemetry import metrics_text, setup_metrics
from hornbeamfold.workers import SyncReply, SyncRequest, TaskStart, WorkerClient

KEPT = (53, 106, 211)
SYNC_INTERVAL_MS = 2_000


def keeper_points() -> Iterator[Point]:
    """Yield all points of this part."""
    yield from _keeper_points()
    yield from _candidate_points()


def instance_of(cluster: Cluster, listed: int = WORKERS + INSTANCES) -> Components:
    """Return the parts of an instance that has folded a cluster and hears eight others."""
    parts = build(replace(settings_of(), sync_interval_ms=SYNC_INTERVAL_MS), Lifecycle())
    now = monotonic_ms()
    parts.follower.replace_view(LoadedView(cluster.view, cluster.view.offset, now))
    entries = [
        ListedInstance(one.name, "worker", one.address, one.availability_zone, "live")
        for one in workers_of(listed)
    ]
    parts.peers.update_list(entries, now)
    return parts


def hear_peers(parts: Components, seq: int) -> None:
    """Take in one heartbeat from each other instance, and confirm the log's end."""
    now = monotonic_ms()
    parts.freshness.record_confirmation(now, parts.follower.view.offset)
    for number in range(1, INSTANCES):
        parts.peers.record_heartbeat(heartbeat_of(number, {}, seq), now)


def _keeper_points() -> Iterator[Point]:
    """Yield the processor time of an instance that only keeps workers, by their number."""
    setup_metrics("entry-0")
    standin, served = served_workers(workers_of(KEPT[-1]))
    try:
        for size in KEPT:
            cluster = configured(served[:size])
            cluster.run(single_specs(round(size * TASKS / WORKERS)))
            parts = instance_of(cluster)
            _start_all(cluster)
            keeping = eventlet.spawn(parts.session_manager.run)
            _sleep_confirmed(parts, 2.0)
            kept = frozenset(int(one.address.rpartition(":")[2]) for one in served[:size])
            # One window holds one exchange with each worker.
            window_s = routine_sync_ms(SYNC_INTERVAL_MS, size) / 1_000
            for repeat in range(REPEATS):
                yield from _keeper_window(parts, kept, window_s, repeat)
            parts.session_manager.stop()
            keeping.kill()
            eventlet.sleep(0.1)
    finally:
        standin.stop()


def _keeper_window(
    parts: Components, ports: frozenset[int], window_s: float, repeat: int
) -> Iterator[Point]:
    size = len(parts.session_manager.assigned_workers)
    before = traffic(os.getpid(), ports), process_time(), _syncs()
    _sleep_confirmed(parts, window_s)
    spent = (process_time() - before[1]) * 1_000
    after = traffic(os.getpid(), ports)
    both = after.sent + after.received - before[0].sent - before[0].received
    syncs = _syncs() - before[2]
    rate = syncs / window_s
    yield Point("keeper exchanges a second by kept workers", "count", size, repeat, rate)
    yield Point("keeper time per exchange by kept workers", "ms", size, repeat, spent / syncs)
    yield Point("keeper bytes per exchange by kept workers", "bytes", size, repeat, both / syncs)


def _syncs() -> float:
    for line in metrics_text().decode().splitlines():
        if line.startswith("hornbeamfold_worker_syncs_total"):
            return float(line.split()[-1])
    return 0.0


def _sleep_confirmed(parts: Components, seconds: float) -> None:
    ends = monotonic_ms() + seconds * 1_000
    while monotonic_ms() < ends:
        parts.freshness.record_confirmation(monotonic_ms(), parts.follower.view.offset)
        eventlet.sleep(0.5)


def _start_all(cluster: Cluster) -> None:
    client = WorkerClient(monotonic_ms, 7, 2_000, "entry-0", "zone-00")
    for name, worker in cluster.view.workers.items():
        starts = [
            TaskStart(
                task_id(job.key, 1, name), job.fence, LONG_LEASE_MS, (), 1, 1, "train", LONG_RUN
            )
            for job in cluster.view.jobs_on(name)
        ]
        reply = client.sync(worker, SyncRequest("entry-0", tuple(starts)), CALL_MS)
        assert isinstance(reply, SyncReply), reply
    client.close()


def _candidate_points() -> Iterator[Point]:
    """Yield what one new log offset costs the dispatcher and the keepers' ranking."""
    for size in (475, 950, WORKERS):
        cluster = configured(workers_of(size))
        cluster.run(single_specs(size))
        parts = instance_of(cluster, size)
        hear_peers(parts, 1)
        parts.dispatcher._current_candidates()
        jobs = iter(tuple(cluster.view.active.values()))
        claim = next(claims_of(1))

        def report(jobs: Iterator[Job] = jobs) -> MembersReported:
            job = next(jobs)
            worker = job.members[0].member.worker
            return MembersReported((MemberReport(*job.key, 1, worker, MemberState.FINISHED),))

        events: dict[str, Callable[[], Event]] = {
            "claim": lambda claim=claim: claim,  # type: ignore[misc]
            "member report": report,
        }
        for repeat in range(REPEATS):
            for name, event in events.items():

                def move(
                    cluster: Cluster = cluster,
                    parts: Components = parts,
                    event: Callable[[], Event] = event,
                ) -> None:
                    entry = cluster.entry((event(),))
                    parts.follower.on_entries((entry,), entry.offset + 1, monotonic_ms())
                    parts.dispatcher._current_candidates()

                measure = f"record and candidates after a {name} per worker"
                yield Point(measure, "ms", size, repeat, processor_ms(move, 20))

            def rank(parts: Components = parts) -> None:
                parts.session_manager._ranking_key = ()
                parts.session_manager._reconcile()

            def scan(parts: Components = parts) -> None:
                frozenset(parts.peers.leaving_workers)

            # The keepers that it starts never run, because this thread does not wait.
            yield Point("reconcile per worker", "ms", size, repeat, processor_ms(rank))
            cost = processor_ms(scan, 20)
            yield Point("scan for leaving workers per listed instance", "ms", size, repeat, cost)
        parts.session_manager.stop()
