"""Slopes of syncing the workers assigned to an instance, and of its routing candidates."""

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
    configured_cluster,
    make_claims,
    make_heartbeat,
    make_workers,
    single_specs,
)
from hornbeamfold.bench.slopes_exchange import (
    CALL_MS,
    LONG_LEASE_MS,
    LONG_TASK_BODY,
    make_settings,
    serve_workers,
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

ASSIGNED_WORKERS = (53, 106, 211)
SYNC_INTERVAL_MS = 2_000


def keeper_points() -> Iterator[Point]:
    """Yield all points of this part."""
    yield from _assigned_worker_points()
    yield from _candidate_points()


def build_instance(cluster: Cluster, listed: int = WORKERS + INSTANCES) -> Components:
    """Return the components of an instance with a cluster's view and its workers in the list."""
    parts = build(replace(make_settings(), sync_interval_ms=SYNC_INTERVAL_MS), Lifecycle())
    now = monotonic_ms()
    parts.follower.replace_view(LoadedView(cluster.view, cluster.view.offset, now))
    entries = [
        ListedInstance(worker.name, "worker", worker.address, worker.availability_zone, "live")
        for worker in make_workers(listed)
    ]
    parts.peers.update_list(entries, now)
    return parts


def record_peer_heartbeats(parts: Components, seq: int) -> None:
    """Record a heartbeat from each other instance, and confirm that the view is up to date."""
    now = monotonic_ms()
    parts.freshness.record_confirmation(now, parts.follower.view.offset)
    for number in range(1, INSTANCES):
        parts.peers.record_heartbeat(make_heartbeat(number, {}, seq), now)


def _assigned_worker_points() -> Iterator[Point]:
    """Yield the cost of an instance that only syncs its workers, by their number."""
    setup_metrics("entry-0")
    standin, served_workers = serve_workers(make_workers(ASSIGNED_WORKERS[-1]))
    try:
        for size in ASSIGNED_WORKERS:
            cluster = configured_cluster(served_workers[:size])
            cluster.run(single_specs(round(size * TASKS / WORKERS)))
            parts = build_instance(cluster)
            _start_tasks(cluster)
            manager_thread = eventlet.spawn(parts.session_manager.run)
            _sleep_confirming_log(parts, 2.0)
            ports = frozenset(
                int(worker.address.rpartition(":")[2]) for worker in served_workers[:size]
            )
            # One sync with each worker takes place in a window.
            window_s = routine_sync_ms(SYNC_INTERVAL_MS, size) / 1_000
            for repeat in range(REPEATS):
                yield from _sync_window(parts, ports, window_s, repeat)
            parts.session_manager.stop()
            manager_thread.kill()
            eventlet.sleep(0.1)
    finally:
        standin.stop()


def _sync_window(
    parts: Components, ports: frozenset[int], window_s: float, repeat: int
) -> Iterator[Point]:
    size = len(parts.session_manager.assigned_workers)
    before = traffic(os.getpid(), ports), process_time(), _syncs()
    _sleep_confirming_log(parts, window_s)
    spent_ms = (process_time() - before[1]) * 1_000
    after = traffic(os.getpid(), ports)
    total = after.sent + after.received - before[0].sent - before[0].received
    syncs = _syncs() - before[2]
    rate = syncs / window_s
    yield Point("keeper exchanges a second by kept workers", "count", size, repeat, rate)
    yield Point("keeper time per exchange by kept workers", "ms", size, repeat, spent_ms / syncs)
    yield Point("keeper bytes per exchange by kept workers", "bytes", size, repeat, total / syncs)


def _syncs() -> float:
    for line in metrics_text().decode().splitlines():
        if line.startswith("hornbeamfold_worker_syncs_total"):
            return float(line.split()[-1])
    return 0.0


def _sleep_confirming_log(parts: Components, seconds: float) -> None:
    ends = monotonic_ms() + seconds * 1_000
    while monotonic_ms() < ends:
        parts.freshness.record_confirmation(monotonic_ms(), parts.follower.view.offset)
        eventlet.sleep(0.5)


def _start_tasks(cluster: Cluster) -> None:
    client = WorkerClient(monotonic_ms, 7, 2_000, "entry-0", "zone-00")
    for name, worker in cluster.view.workers.items():
        starts = [
            TaskStart(
                task_id(job.key, 1, name),
                job.fence,
                LONG_LEASE_MS,
                (),
                1,
                1,
                "train",
                LONG_TASK_BODY,
            )
            for job in cluster.view.jobs_on(name)
        ]
        reply = client.sync(worker, SyncRequest("entry-0", tuple(starts)), CALL_MS)
        assert isinstance(reply, SyncReply), reply
    client.close()


def _candidate_points() -> Iterator[Point]:
    """Yield the cost of a new log record in the dispatcher and in the assignment of workers."""
    for size in (475, 950, WORKERS):
        cluster = configured_cluster(make_workers(size))
        cluster.run(single_specs(size))
        parts = build_instance(cluster, size)
        record_peer_heartbeats(parts, 1)
        parts.dispatcher._current_candidates()
        jobs = iter(tuple(cluster.view.active.values()))
        claim = next(make_claims(1))

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

                def apply_record(
                    cluster: Cluster = cluster,
                    parts: Components = parts,
                    event: Callable[[], Event] = event,
                ) -> None:
                    entry = cluster.entry((event(),))
                    parts.follower.on_entries((entry,), entry.offset + 1, monotonic_ms())
                    parts.dispatcher._current_candidates()

                measure = f"record and candidates after a {name} per worker"
                yield Point(measure, "ms", size, repeat, processor_ms(apply_record, 20))

            def reconcile(parts: Components = parts) -> None:
                parts.session_manager._ranking_key = ()
                parts.session_manager._reconcile()

            def scan_leaving_workers(parts: Components = parts) -> None:
                frozenset(parts.peers.leaving_workers)

            # The worker sessions that this starts never run: this green thread does not yield.
            yield Point("reconcile per worker", "ms", size, repeat, processor_ms(reconcile))
            cost = processor_ms(scan_leaving_workers, 20)
            yield Point("scan for leaving workers per listed instance", "ms", size, repeat, cost)
        parts.session_manager.stop()
