"""Slopes of network exchanges: heartbeats, worker syncs, the instance list and the log."""

import os
import subprocess
import sys
from collections.abc import Iterator
from dataclasses import replace
from functools import partial
from json import dumps
from time import process_time

import eventlet
from eventlet import hubs

hubs.use_hub("eventlet.hubs.asyncio")
eventlet.monkey_patch()

# The modules below must be imported after the monkey-patching, to use the patched sockets.
from hornbeamfold.bench.fitting import REPEATS, Point, processor_ms  # noqa: E402
from hornbeamfold.bench.scale import (  # noqa: E402
    INSTANCES,
    WORKERS,
    make_heartbeat,
    make_workers,
)
from hornbeamfold.bench.usage import processor_s, traffic  # noqa: E402
from hornbeamfold.daemon.clock import monotonic_ms  # noqa: E402
from hornbeamfold.daemon.instance import Lifecycle, build  # noqa: E402
from hornbeamfold.logclient import LogClient  # noqa: E402
from hornbeamfold.membership import ListClient, ListedInstance  # noqa: E402
from hornbeamfold.model import (  # noqa: E402
    Worker,
    task_id,
)
from hornbeamfold.model.status import PeerHeartbeat  # noqa: E402
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
PEER_LIFETIME_S = 60
LONG_TASK_BODY = dumps({"run_ms": 3_600_000})
LONG_LEASE_MS = 600_000


def exchange_points() -> Iterator[Point]:
    """Yield all points of this part."""
    yield from _heartbeat_points()
    yield from _list_points()
    yield from _log_points()
    yield from _sync_points()


def make_settings(name: str = "entry-0", region: str = "region-0") -> Settings:
    """Return settings of an instance that listens on free ports and can reach no other service."""
    unreachable = "http://127.0.0.1:9"
    free_port = "127.0.0.1:0"
    return Settings(
        name, "zone-00", region, free_port, free_port, unreachable, unreachable, 3_600_000
    )


def serve_peer() -> None:
    """Serve the peer front end of an instance; exits after a minute if it is not terminated."""
    parts = build(make_settings("entry-8"), Lifecycle())
    server = serve("127.0.0.1:0", build_services(parts.frontend, parts.peer_frontend))
    print(server.address, flush=True)
    eventlet.sleep(PEER_LIFETIME_S)
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
        connection.send_heartbeat(make_heartbeat(0, {}), CALL_MS)
        seq = 1
        for size in (0, 50, 100, 200):
            digest = {f"worker-{at // 100:02d}-{at % 100:03d}": 3 for at in range(size)}
            message = make_heartbeat(0, digest)
            encoded = write_heartbeat(message).SerializeToString()
            for repeat in range(REPEATS):
                yield Point(
                    "heartbeat message per busy worker", "bytes", size, repeat, len(encoded)
                )
                cost = processor_ms(partial(_encode_heartbeat, message), EXCHANGES)
                yield Point("heartbeat encode per busy worker", "ms", size, repeat, cost)
                before = processor_s(peer.pid), traffic(os.getpid(), port)
                started = process_time()
                for _ in range(EXCHANGES):
                    seq += 1
                    failure = connection.send_heartbeat(replace(message, seq=seq), CALL_MS)
                    assert failure is None, failure
                sent_ms = (process_time() - started) * 1_000 / EXCHANGES
                # The reply to a call shows that all heartbeats sent before it have been processed.
                connection.find_answer("o", "r", CALL_MS)
                after = processor_s(peer.pid), traffic(os.getpid(), port)
                received_ms = (after[0] - before[0]) * 1_000 / EXCHANGES
                sent = (after[1].sent - before[1].sent) / EXCHANGES
                replied = (after[1].received - before[1].received) / EXCHANGES
                yield Point("heartbeat send per busy worker", "ms", size, repeat, sent_ms)
                yield Point("heartbeat receive per busy worker", "ms", size, repeat, received_ms)
                yield Point("heartbeat on the wire per busy worker", "bytes", size, repeat, sent)
                yield Point("heartbeat replies per busy worker", "bytes", size, repeat, replied)
        connection.close()
    finally:
        peer.terminate()
        peer.wait(10)
        if peer.stdout is not None:
            peer.stdout.close()


def _encode_heartbeat(heartbeat: PeerHeartbeat) -> bytes:
    return write_heartbeat(heartbeat).SerializeToString()


def _list_points() -> Iterator[Point]:
    standin = StandIn("instances")
    try:
        client = ListClient(standin.url, "entry-0")
        port = frozenset({int(standin.url.rpartition(":")[2])})
        announced = 0
        for size in (9, 500, 1_000, 1_909):
            for worker in make_workers(WORKERS + INSTANCES)[announced:size]:
                entry = ListedInstance(
                    worker.name, "worker", worker.address, worker.availability_zone, "live"
                )
                assert client.announce(entry) is None
            announced = size
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
                cost = processor_ms(partial(client.append, data), 100)
                appended = traffic(os.getpid(), port)
                total = (appended.sent + appended.received - before.sent - before.received) / 100
                yield Point("log append per byte of a record", "ms", size, repeat, cost)
                yield Point("log append traffic per byte of a record", "bytes", size, repeat, total)
                cost = processor_ms(partial(client.read, offset, 100, 0)) / 100
                after = traffic(os.getpid(), port)
                received = (after.received - appended.received) / 100
                yield Point("log read per byte of a record", "ms", size, repeat, cost)
                yield Point("log read bytes per byte of a record", "bytes", size, repeat, received)
                offset += 100
        for repeat in range(REPEATS):
            before = traffic(os.getpid(), port)
            cost = processor_ms(partial(client.read, offset, 100, 0), 100)
            after = traffic(os.getpid(), port)
            total = (after.sent + after.received - before.sent - before.received) / 100
            yield Point("empty log read", "ms", 1, repeat, cost)
            yield Point("empty log read traffic", "bytes", 1, repeat, total)
    finally:
        standin.stop()


def serve_workers(workers: tuple[Worker, ...]) -> tuple[StandIn, tuple[Worker, ...]]:
    """Start stand-ins for the workers; return the process and the workers with their addresses."""
    specs = [
        {"name": worker.name, "accelerators": 1, "slots": worker.slots, "connections": 64}
        for worker in workers
    ]
    standin = StandIn("workers", "--topology", dumps({"workers": specs}))
    addresses = standin.addresses
    return standin, tuple(replace(worker, address=addresses[worker.name]) for worker in workers)


def _sync_points() -> Iterator[Point]:
    standin, (worker,) = serve_workers(make_workers(1))
    try:
        client = WorkerClient(monotonic_ms, 7, 2_000, "entry-0", "zone-00")
        port = frozenset({int(worker.address.rpartition(":")[2])})
        started = 0
        for size in (0, 1, 3, 8):
            starts = [
                TaskStart(_task(at, worker), 1, LONG_LEASE_MS, (), 1, 1, "train", LONG_TASK_BODY)
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
                cost = processor_ms(partial(client.sync, worker, request, CALL_MS), EXCHANGES)
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
