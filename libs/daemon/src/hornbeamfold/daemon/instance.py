"""Puts the parts of one entry instance together and runs its green threads."""

import os
from dataclasses import dataclass
from random import Random
from uuid import uuid4

import eventlet

from hornbeamfold.daemon.claims import ClaimService
from hornbeamfold.daemon.clock import Clock, monotonic_ms, wall_ms
from hornbeamfold.daemon.dispatch import MIN_INSTANCES, WORKER_CONNECTIONS, Dispatcher
from hornbeamfold.daemon.follower import LogFollower, load
from hornbeamfold.daemon.frontend import DaemonFrontend, DaemonPeerFrontend
from hornbeamfold.daemon.heartbeat import heartbeat_source
from hornbeamfold.daemon.http import serve_http
from hornbeamfold.daemon.idempotent import IdempotentService, checked_answer
from hornbeamfold.daemon.job_ages import JobAges
from hornbeamfold.daemon.jobs import JobService
from hornbeamfold.daemon.keepers import Keepers
from hornbeamfold.daemon.operators import OperatorService
from hornbeamfold.daemon.peering import Peering
from hornbeamfold.daemon.placer import Placer
from hornbeamfold.daemon.requests import RequestService
from hornbeamfold.daemon.resolver import ClaimResolver
from hornbeamfold.daemon.snapshots import Snapshotter
from hornbeamfold.daemon.worker_session import SessionParts
from hornbeamfold.logclient import Expired, LogClient, LogFailure, LogWriter, follow
from hornbeamfold.membership import Freshness, ListClient, PeerTable
from hornbeamfold.model.timing import HEARTBEAT_INTERVAL_MS
from hornbeamfold.placement import guarantees_fit
from hornbeamfold.rpc.server import ServerHandle, serve
from hornbeamfold.rpc.services import build_services
from hornbeamfold.settings import Settings
from hornbeamfold.telemetry import gauge, get_logger
from hornbeamfold.workers import WorkerClient

LOAD_RETRY_MS = 500
# With longer polls an idle instance would use up most of the freshness bound between two reads.
READ_WAIT_MS = 500
STOP_POLL_MS = 50
# After this instance left the ranking, its keepers renew on until the others have taken over.
HAND_OVER_MS = 2 * HEARTBEAT_INTERVAL_MS + 500
# The part of the stop bound that is kept for the log, the list and the server.
STOP_RESERVE_MS = 4_000

logger = get_logger("hornbeamfold.daemon.instance")


@dataclass(frozen=True)
class Parts:
    """The parts of a running instance."""

    follower: LogFollower
    client: LogClient
    writer: LogWriter
    peers: PeerTable
    freshness: Freshness
    dispatcher: Dispatcher
    requests: RequestService
    resolver: ClaimResolver
    keepers: Keepers
    placer: Placer
    peering: Peering
    snapshotter: Snapshotter
    frontend: DaemonFrontend
    peer_frontend: DaemonPeerFrontend


class Lifecycle:
    """Whether the instance is starting, serving or draining."""

    def __init__(self) -> None:
        self._draining = False

    @property
    def draining(self) -> bool:
        """Whether the instance takes no new work."""
        return self._draining

    def drain(self) -> None:
        """Take no new work from now on."""
        self._draining = True


def build(
    settings: Settings,
    lifecycle: Lifecycle,
    clock: Clock = monotonic_ms,
    wall: Clock = wall_ms,
) -> Parts:
    """Create all parts of an instance; nothing runs yet."""
    incarnation = f"{settings.name}-{uuid4().hex[:12]}"
    peers = PeerTable(settings.name, settings.region)
    freshness = Freshness(peers, settings.region)
    client = LogClient(settings.log_url, clock, settings.name, settings.availability_zone)
    writer = LogWriter(incarnation, client.append, clock)
    follower = LogFollower(guarantees_fit, writer, freshness, clock)
    workers = WorkerClient(
        clock,
        WORKER_CONNECTIONS // MIN_INSTANCES,
        instance=settings.name,
        availability_zone=settings.availability_zone,
    )
    dispatcher = Dispatcher(
        settings.name,
        settings.availability_zone,
        settings.region,
        follower,
        peers,
        workers,
        clock,
        wall,
        settings.max_queue,
        Random(incarnation),
    )
    ages = JobAges(clock)

    session_parts = SessionParts(
        name=settings.name,
        follower=follower,
        writer=writer,
        freshness=freshness,
        client=workers,
        ages=ages,
        clock=clock,
        wall=wall,
        interval_ms=settings.sync_interval_ms,
        on_load=dispatcher.worker_reported,
        leaving=lambda: peers.leaving_workers,
        kept=lambda: len(keepers.kept),
    )
    keepers = Keepers(session_parts, peers)

    def leaving_workers() -> frozenset[str]:
        return keepers.leaving_workers | peers.leaving_workers

    def confirm(since_ms: int, timeout_ms: int) -> bool:
        return follower.confirm(client.read, since_ms, timeout_ms)

    def unavailable() -> frozenset[str]:
        """Return workers that get no new tasks: they leave, or an instance has ejected them."""
        reported = set(leaving_workers()) | set(dispatcher.set_aside)
        now = clock()
        for state in peers.peers().values():
            if state.is_recent(now):
                reported.update(state.heartbeat.set_aside)
        return frozenset(reported)

    def own_unavailable() -> frozenset[str]:
        dispatcher.set_leaving(unavailable() - frozenset(dispatcher.set_aside))
        return leaving_workers() | frozenset(dispatcher.set_aside)

    claims = ClaimService(
        incarnation,
        follower,
        writer,
        confirm,
        freshness,
        dispatcher,
        workers,
        checked_answer,
        clock,
        wall,
        lambda: lifecycle.draining,
    )
    resolver = ClaimResolver(
        incarnation,
        follower,
        writer,
        freshness,
        peers,
        workers,
        claims.is_serving,
        claims.was_sent,
        clock,
        wall,
    )
    peering = Peering(
        settings,
        peers,
        freshness,
        follower,
        ListClient(settings.instances_url, settings.name),
        clock,
        heartbeat_source(
            settings,
            incarnation,
            lambda: peering.address,
            peers,
            freshness,
            follower,
            dispatcher,
            own_unavailable,
            lambda: lifecycle.draining,
            clock,
        ),
    )
    requests = RequestService(
        follower,
        confirm,
        IdempotentService(incarnation, freshness, dispatcher, clock, wall),
        dispatcher,
        claims,
        peering.find_answer,
        peering.cancel_waiting,
        clock,
        wall,
        lambda: lifecycle.draining,
    )
    jobs = JobService(follower, writer, confirm, clock, wall, lambda: lifecycle.draining)
    operators = OperatorService(
        settings, lambda: peering.address, follower, writer, peers, freshness, clock
    )
    placer = Placer(
        follower, writer, peers, freshness, ages, clock, wall, unavailable, leaving_workers
    )
    snapshotter = Snapshotter(
        follower, writer, peers, freshness, clock, wall, settings.log_retention_ms
    )
    follower.add_listener(writer.folded)
    follower.add_listener(keepers.folded)
    follower.add_listener(dispatcher.folded)
    _add_gauges(follower, freshness, keepers, peers, clock)
    return Parts(
        follower,
        client,
        writer,
        peers,
        freshness,
        dispatcher,
        requests,
        resolver,
        keepers,
        placer,
        peering,
        snapshotter,
        DaemonFrontend(requests, jobs, operators),
        DaemonPeerFrontend(peers, dispatcher, requests, follower, clock),
    )


def _add_gauges(
    follower: LogFollower, freshness: Freshness, keepers: Keepers, peers: PeerTable, clock: Clock
) -> None:
    gauge("hornbeamfold_log_offset", "Folded offset", lambda: follower.view.offset)
    gauge(
        "hornbeamfold_configuration_offset",
        "Offset of the configuration in force",
        lambda: follower.view.configuration_offset,
    )
    gauge(
        "hornbeamfold_confirmed_age",
        "Age of the last confirmation of the log's end in ms",
        lambda: freshness.confirmed_age(clock()),
    )
    gauge("hornbeamfold_kept_workers", "Workers kept here", lambda: len(keepers.kept))
    gauge("hornbeamfold_live_instances", "Live instances", lambda: len(peers.live(clock())))
    gauge("hornbeamfold_queued_jobs", "Jobs in the queue", lambda: len(follower.view.queued))


def follow_log(parts: Parts, clock: Clock, bootstrap: bool) -> None:
    """Load the view and follow the log for ever; load it again whenever entries were missed."""
    follower = parts.follower
    _load_until_done(parts, clock, bootstrap)

    def on_failure(failure: LogFailure | Expired) -> None:
        if isinstance(failure, LogFailure):
            follower.on_failure(failure)
            return
        logger.warning(
            "Entries have expired before they were read; loading a snapshot",
            extra={"first": failure.first, "offset": follower.view.offset},
        )
        _load_until_done(parts, clock, False)

    follow(
        parts.client.read,
        follower.next_offset,
        follower.on_entries,
        on_failure,
        # A resend after a lost reply waits for a read, which must then not wait for records.
        wait_ms=lambda: 0 if parts.writer.awaiting_confirmation else READ_WAIT_MS,
        on_skipped=follower.on_skipped,
    )


def _load_until_done(parts: Parts, clock: Clock, bootstrap: bool) -> None:
    while True:
        loaded = load(parts.client, parts.follower.guarantees_fit, clock, bootstrap)
        if not isinstance(loaded, LogFailure):
            parts.follower.adopt(loaded)
            return
        parts.follower.on_failure(loaded)
        eventlet.sleep(LOAD_RETRY_MS / 1_000)


def start(parts: Parts, settings: Settings, lifecycle: Lifecycle) -> ServerHandle:
    """Start the green threads and the server; return the server's handle."""
    handlers = build_services(parts.frontend, parts.peer_frontend)
    server = serve(settings.rpc_address, handlers)
    eventlet.spawn(parts.writer.run)
    eventlet.spawn(follow_log, parts, monotonic_ms, settings.bootstrap)
    parts.peering.start(server.address)
    eventlet.spawn(parts.keepers.run)
    eventlet.spawn(parts.placer.run)
    eventlet.spawn(parts.resolver.run)
    eventlet.spawn(parts.dispatcher.run_queue)
    eventlet.spawn(parts.snapshotter.run)

    def ready() -> str:
        if lifecycle.draining:
            return "draining"
        if not parts.follower.ready:
            return "the log has not been read yet"
        return ""

    http = serve_http(settings.http_address, ready)
    logger.info(
        "Serving",
        extra={"rpc_address": server.address, "http_address": http, "pid": os.getpid()},
    )
    return server


def stop(parts: Parts, server: ServerHandle, settings: Settings, lifecycle: Lifecycle) -> None:
    """Drain and stop within the bound; what has not ended by then is left to the others."""
    deadline = monotonic_ms() + settings.stop_bound_ms - STOP_RESERVE_MS
    lifecycle.drain()
    parts.peers.set_leaving()
    parts.placer.stop()
    parts.peering.leave()
    # The peers learn of the leave with the next heartbeat and take the workers over.
    eventlet.sleep(HAND_OVER_MS / 1_000)
    while parts.requests.in_flight and monotonic_ms() < deadline:
        eventlet.sleep(STOP_POLL_MS / 1_000)
    handed_over = parts.requests.hand_over()
    parts.keepers.stop()
    written = parts.writer.drain(max(500, deadline - monotonic_ms()))
    parts.peering.stop()
    server.stop(1_000)
    logger.info("Stopped", extra={"handed_over": handed_over, "written": written})
