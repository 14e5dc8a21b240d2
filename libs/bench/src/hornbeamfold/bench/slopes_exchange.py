"""Slopes of exchanges: heartbeats, worker syncs, keepers, the list and the log."""

import os
import subprocess
import sys
from collections.abc import Iterator
from dataclasses import replace
from json import dumps
from time import process_time

import eventlet
from eventlet import hubs

hubs.use_hub("eventlet.hubs.asyncio")
eventlet.monkey_patch()

# The modules below take the sockets that were replaced above.
from hornbeamfold.bench.fitting import REPEATS, Point, processor_ms  # noqa: E402
from hornbeamfold.bench.scale import (  # noqa: E402
    INSTANCES,
    TASKS,
    WORKERS,
    Cluster,
    configured,
    heartbeat_of,
    single_specs,
    workers_of,
)
from hornbeamfold.bench.usage import processor_s, traffic  # noqa: E402
from hornbeamfold.daemon.clock import monotonic_ms  # noqa: E402
from hornbeamfold.daemon.follower import Loaded  # noqa: E402
from hornbeamfold.daemon.instance import Lifecycle, Parts, build  # noqa: E402
from hornbeamfold.logclient import LogClient  # noqa: E402
from hornbeamfold.membership import ListClient, ListedInstance  # noqa: E402
from hornbeamfold.model import Worker, task_id  # noqa: E402
from hornbeamfold.rpc.peer_adapters import write_heartbeat  # noqa: E402
from hornbeamfold.rpc.peers import PeerConnection  # noqa: E402
from hornbeamfold.rpc.server import serve  # noqa: E402
from hornbeamfold.rpc.services import build_services  # noqa: E402
from hornbeamfold.settings import Settings  # noqa: E402
from hornbeamfold.standins.launch import StandIn  # noqa: E402
from hornbeamfold.workers import (  # noqa: E402
    SyncReply,
    SyncRequest,
    TaskRenewal,
    TaskStart,
    WorkerClient,
)

EXCHANGES = 300
CALL_MS = 2_000
SERVED_BOUND_S = 60
KEPT = (53, 106, 211)
KEPT_WINDOW_S = 4.0
SYNC_INTERVAL_MS = 2_000
LONG_RUN = dumps({"run_ms": 3_600_000})
LONG_LEASE_MS = 600_000


def exchange_points() -> Iterator[Point]:
    """Yield all points of this part."""
    yield from _heartbeat_points()
    yield from _list_points()
    yield from _log_points()
    yield from _sync_points()
    yield from _keeper_points()
    yield from _candidate_points()


def settings_of(name: str = "entry-0", region: str = "region-0") -> Settings:
    """Return settings of an instance that serves on free ports and reaches no service."""
    nowhere = "http://127.0.0.1:9"
    free = "127.0.0.1:0"
    return Settings(name, "zone-00", region, free, free, nowhere, nowhere, 3_600_000)


def serve_peer() -> None:
    """Serve the peer front end of an instance; ends by itself if it is not terminated."""
    parts = build(settings_of("entry-8"), Lifecycle())
    server = serve("127.0.0.1:0", build_services(parts.frontend, parts.peer_frontend))
    print(server.address, flush=True)
    eventlet.sleep(SERVED_BOUND_S)
    os._exit(0)


def _heartbeat_points() -> Iterator[Point]:
    peer = subprocess.Popen(
        [sys.executable, "-m", "hornbeamfold.bench.slopes", "--part", "peer"],
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        assert peer.stdout is not None
        address = peer.stdout.readline().strip()
        connection = PeerConnection(address)
        port = frozenset({int(address.rpartition(":")[2])})
        connection.send_heartbeat(heartbeat_of(0, {}), CALL_MS)
        seq = 1
        for size in (0, 50, 100, 200):
            digest = {f"worker-{at // 100:02d}-{at % 100:03d}": 3 for at in range(size)}
            message = heartbeat_of(0, digest)
            encoded = write_heartbeat(message).SerializeToString()
            for repeat in range(REPEATS):
                yield Point(
                    "heartbeat message per busy worker", "bytes", size, repeat, len(encoded)
                )
                cost = processor_ms(
                    lambda message=message: write_heartbeat(message).SerializeToString(), EXCHANGES
                )
                yield Point("heartbeat encode per busy worker", "ms", size, repeat, cost)
                before = processor_s(peer.pid), traffic(os.getpid(), port)
                started = process_time()
                for _ in range(EXCHANGES):
                    seq += 1
                    failure = connection.send_heartbeat(replace(message, seq=seq), CALL_MS)
                    assert failure is None, failure
                sent_ms = (process_time() - started) * 1_000 / EXCHANGES
                # The answer of a call shows that all heartbeats before it were taken in.
                connection.find_answer("o", "r", CALL_MS)
                after = processor_s(peer.pid), traffic(os.getpid(), port)
                received_ms = (after[0] - before[0]) * 1_000 / EXCHANGES
                wire = (after[1].sent - before[1].sent) / EXCHANGES
                back = (after[1].received - before[1].received) / EXCHANGES
                yield Point("heartbeat send per busy worker", "ms", size, repeat, sent_ms)
                yield Point("heartbeat receive per busy worker", "ms", size, repeat, received_ms)
                yield Point("heartbeat on the wire per busy worker", "bytes", size, repeat, wire)
                yield Point("heartbeat replies per busy worker", "bytes", size, repeat, back)
        connection.close()
    finally:
        peer.terminate()
        peer.wait(10)
        if peer.stdout is not None:
            peer.stdout.close()


def _list_points() -> Iterator[Point]:
    standin = StandIn("instances")
    try:
        client = ListClient(standin.url, "entry-0")
        port = frozenset({int(standin.url.rpartition(":")[2])})
        listed = 0
        for size in (9, 500, 1_000, 1_909):
            for worker in workers_of(size)[listed:]:
                entry = ListedInstance(
                    worker.name, "worker", worker.address, worker.availability_zone, "live"
                )
                assert client.announce(entry) is None
            listed = size
            for repeat in range(REPEATS):
                before = traffic(os.getpid(), port)
                cost = processor_ms(client.read, 10)
                after = traffic(os.getpid(), port)
                received = (after.received - before.received) / 10
                yield Point("list read per listed instance", "ms", size, repeat, cost)
                yield Point("list read bytes per listed instance", "bytes", size, repeat, received)
    finally:
        standin.stop()


def _log_points() -> Iterator[Point]:
    standin = StandIn("log")
    try:
        client = LogClient(standin.url, monotonic_ms, "entry-0", "zone-00")
        port = frozenset({int(standin.url.rpartition(":")[2])})
        offset = 0
        for size in (200, 2_000, 20_000):
            for repeat in range(REPEATS):
                data = dumps({"writer": "e", "seq": 1, "events": [], "x": "y" * size})
                before = traffic(os.getpid(), port)
                cost = processor_ms(lambda data=data: client.append(data), 100)
                middle = traffic(os.getpid(), port)
                both = (middle.sent + middle.received - before.sent - before.received) / 100
                yield Point("log append per byte of a record", "ms", size, repeat, cost)
                yield Point("log append traffic per byte of a record", "bytes", size, repeat, both)
                cost = processor_ms(lambda start=offset: client.read(start, 100, 0)) / 100
                after = traffic(os.getpid(), port)
                received = (after.received - middle.received) / 100
                yield Point("log read per byte of a record", "ms", size, repeat, cost)
                yield Point("log read bytes per byte of a record", "bytes", size, repeat, received)
                offset += 100
        for repeat in range(REPEATS):
            before = traffic(os.getpid(), port)
            cost = processor_ms(lambda start=offset: client.read(start, 100, 0), 100)
            after = traffic(os.getpid(), port)
            both = (after.sent + after.received - before.sent - before.received) / 100
            yield Point("empty log read", "ms", 1, repeat, cost)
            yield Point("empty log read traffic", "bytes", 1, repeat, both)
    finally:
        standin.stop()


def _served(workers: tuple[Worker, ...]) -> tuple[StandIn, tuple[Worker, ...]]:
    specs = [
        {"name": one.name, "accelerators": 1, "slots": one.slots, "connections": 64}
        for one in workers
    ]
    standin = StandIn("workers", "--topology", dumps({"workers": specs}))
    addresses = standin.addresses
    return standin, tuple(replace(one, address=addresses[one.name]) for one in workers)


def _sync_points() -> Iterator[Point]:
    standin, (worker,) = _served(workers_of(1))
    try:
        client = WorkerClient(monotonic_ms, 7, 2_000, "entry-0", "zone-00")
        port = frozenset({int(worker.address.rpartition(":")[2])})
        started = 0
        for size in (0, 1, 3, 8):
            starts = [
                TaskStart(_task(at, worker), 1, LONG_LEASE_MS, (), 1, 1, "train", LONG_RUN)
                for at in range(started, size)
            ]
            started = size
            client.sync(worker, SyncRequest("entry-0", tuple(starts)), CALL_MS)
            renewals = [TaskRenewal(_task(at, worker), 1, LONG_LEASE_MS) for at in range(size)]
            request = SyncRequest("entry-0", (), tuple(renewals))
            reply = client.sync(worker, request, CALL_MS)
            assert isinstance(reply, SyncReply) and len(reply.tasks) == size, reply
            for repeat in range(REPEATS):
                before = traffic(os.getpid(), port)
                cost = processor_ms(lambda r=request: client.sync(worker, r, CALL_MS), EXCHANGES)
                after = traffic(os.getpid(), port)
                sent = (after.sent - before.sent) / EXCHANGES
                received = (after.received - before.received) / EXCHANGES
                yield Point("worker sync per renewal", "ms", size, repeat, cost)
                yield Point("worker sync sent per renewal", "bytes", size, repeat, sent)
                yield Point("worker sync received per renewal", "bytes", size, repeat, received)
    finally:
        standin.stop()


def _task(at: int, worker: Worker) -> str:
    return task_id(("organisation-00", f"single-{at:06d}"), 1, worker.name)


def instance_of(cluster: Cluster, listed: int = WORKERS + INSTANCES) -> Parts:
    """Return the parts of an instance that has folded a cluster and hears eight others."""
    parts = build(replace(settings_of(), sync_interval_ms=SYNC_INTERVAL_MS), Lifecycle())
    now = monotonic_ms()
    parts.follower.adopt(Loaded(cluster.view, cluster.view.offset, now))
    entries = [
        ListedInstance(one.name, "worker", one.address, one.availability_zone, "live")
        for one in workers_of(listed)
    ]
    parts.peers.set_list(entries, now)
    return parts


def hear_peers(parts: Parts, seq: int) -> None:
    """Take in one heartbeat from each other instance, and confirm the log's end."""
    now = monotonic_ms()
    parts.freshness.confirmed(now, parts.follower.view.offset)
    for number in range(1, INSTANCES):
        parts.peers.heard(heartbeat_of(number, {}, seq), now)


def _keeper_points() -> Iterator[Point]:
    """Yield the processor time of an instance that only keeps workers, by their number."""
    standin, served = _served(workers_of(KEPT[-1]))
    try:
        for size in KEPT:
            cluster = configured(served[:size])
            cluster.run(single_specs(round(size * TASKS / WORKERS)))
            parts = instance_of(cluster)
            _start_all(cluster)
            keeping = eventlet.spawn(parts.keepers.run)
            _sleep_confirmed(parts, 2.0)
            for repeat in range(REPEATS):
                kept = frozenset(
                    int(one.address.rpartition(":")[2]) for one in served[: len(parts.keepers.kept)]
                )
                before = traffic(os.getpid(), kept), process_time()
                _sleep_confirmed(parts, KEPT_WINDOW_S)
                spent = (process_time() - before[1]) * 1_000 / KEPT_WINDOW_S
                after = traffic(os.getpid(), kept)
                both = after.sent + after.received - before[0].sent - before[0].received
                yield Point("keeper time a second per kept worker", "ms", size, repeat, spent)
                yield Point(
                    "keeper traffic a second per kept worker",
                    "bytes",
                    size,
                    repeat,
                    both / KEPT_WINDOW_S,
                )
            parts.keepers.stop()
            keeping.kill()
            eventlet.sleep(0.1)
    finally:
        standin.stop()


def _sleep_confirmed(parts: Parts, seconds: float) -> None:
    ends = monotonic_ms() + seconds * 1_000
    while monotonic_ms() < ends:
        parts.freshness.confirmed(monotonic_ms(), parts.follower.view.offset)
        eventlet.sleep(0.5)


def _start_all(cluster: Cluster) -> None:
    client = WorkerClient(monotonic_ms, 7, 2_000, "entry-0", "zone-00")
    for name, worker in cluster.view.workers.items():
        starts = [
            TaskStart(
                task_id(job.key, 1, name), job.fence, LONG_LEASE_MS, (), 1, 1, "train", LONG_RUN
            )
            for job in cluster.view.tasks_on(name)
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
        parts.dispatcher._present_candidates()
        for repeat in range(REPEATS):

            def move(cluster: Cluster = cluster, parts: Parts = parts) -> None:
                cluster.fold_record(())
                parts.dispatcher._present_candidates()

            cost = processor_ms(move, 20)
            yield Point("candidates per empty record and worker", "ms", size, repeat, cost)

            def rank(parts: Parts = parts) -> None:
                parts.keepers._basis = ()
                parts.keepers._reconcile()

            # The keepers that it starts never run, because this thread does not wait.
            yield Point("reconcile per worker", "ms", size, repeat, processor_ms(rank))
            cost = processor_ms(parts.keepers._leaving_workers, 20)
            yield Point("scan for leaving workers per listed instance", "ms", size, repeat, cost)
        parts.keepers.stop()
